"""Each call that names a job is checked: who may see the job, and who may change it.

A caller without a key read the state of another account's job, and cancelled it, by the job's id on
the path of an open queue.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from saddlestack.control import leaderrpc
from saddlestack.control.configuration import Configuration
from saddlestack.control.jobaccess import JobAccessCheck
from saddlestack.control.leaderrpc import LeaderRpc, LeaderUnavailable
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces.clients import Caller, ClientCall, JobService
from saddlestack.policy.job_access import JobAccess, job_access
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.documents import ACCOUNT, HOST, KEY
from saddlestack.wire.http import HttpClient
from saddlestack.work import AcceptedJob, JobRequest, JobState
from tests.test_pool import IN_FORCE_S, PoolTest

OTHER = "others"
OTHER_KEY = "another-key"
KEYLESS = ""
CLOSED = "normal"
"""The queue on which the jobs with an owner are submitted."""
OPEN = "bulk"
JOB = "00000000000000aa"
OPEN_JOB = "00000000000000bb"
"""A job that was submitted on the open queue without a key."""

ALLOWED, HIDDEN, FORBIDDEN = JobAccess.ALLOWED, JobAccess.HIDDEN, JobAccess.FORBIDDEN


def accepted_job(account: str, queue: str) -> AcceptedJob:
    return AcceptedJob(
        job_id=JOB,
        account=account,
        queue=queue,
        service="pool",
        priority=1,
        attempts=1,
        accepted_ms=0,
        request=JobRequest(payload="", steps=()),
    )


class RuleTest(unittest.TestCase):
    def test_access_by_account_and_queue(self) -> None:
        cases = [
            ("the owner", (ACCOUNT, CLOSED), (ACCOUNT, CLOSED), ALLOWED),
            ("the owner on another queue", (ACCOUNT, "urgent"), (ACCOUNT, CLOSED), HIDDEN),
            ("the owner, who names no queue", (ACCOUNT, None), (ACCOUNT, CLOSED), ALLOWED),
            ("the owner, of a queue that is gone", (ACCOUNT, "urgent"), (ACCOUNT, "gone"), ALLOWED),
            ("another account", (OTHER, CLOSED), (ACCOUNT, CLOSED), FORBIDDEN),
            ("another account elsewhere", (OTHER, "urgent"), (ACCOUNT, CLOSED), FORBIDDEN),
            ("another account without a queue", (OTHER, None), (ACCOUNT, CLOSED), FORBIDDEN),
            ("another account, queue gone", (OTHER, CLOSED), (ACCOUNT, "gone"), FORBIDDEN),
            ("no key, on an open queue", (KEYLESS, OPEN), (ACCOUNT, CLOSED), HIDDEN),
            ("no key, queue gone", (KEYLESS, OPEN), (ACCOUNT, "gone"), HIDDEN),
            ("no key, no queue", (KEYLESS, None), (ACCOUNT, CLOSED), HIDDEN),
            ("no key, job of the open queue", (KEYLESS, OPEN), (KEYLESS, OPEN), ALLOWED),
            ("no key, job of an account there", (KEYLESS, OPEN), (ACCOUNT, OPEN), ALLOWED),
            ("a key, job without owner", (ACCOUNT, OPEN), (KEYLESS, OPEN), ALLOWED),
            ("a key elsewhere, job without owner", (ACCOUNT, CLOSED), (KEYLESS, OPEN), HIDDEN),
            ("a key of another account there", (OTHER, OPEN), (ACCOUNT, OPEN), FORBIDDEN),
            ("no key, open queue of the job gone", (KEYLESS, OPEN), (KEYLESS, "gone"), ALLOWED),
        ]
        for name, caller, owner, expected in cases:
            with self.subTest(name):
                found = job_access(Caller(*caller), accepted_job(*owner), lambda q: q != "gone")
                self.assertIs(found, expected)


class CheckTest(unittest.TestCase):
    def test_it_judges_by_the_configuration_in_force(self) -> None:
        """Before the first one, no queue is known, so jobs are judged by their account."""
        check = JobAccessCheck(cast(Configuration, SimpleNamespace(current=None)))
        found = accepted_job(ACCOUNT, CLOSED)
        self.assertIs(check.access(Caller(ACCOUNT, "urgent"), found), ALLOWED)
        self.assertIs(check.access(Caller(KEYLESS, OPEN), found), HIDDEN)
        current = SimpleNamespace(queues=(SimpleNamespace(name=CLOSED),))
        check = JobAccessCheck(cast(Configuration, SimpleNamespace(current=current)))
        self.assertIs(check.access(Caller(ACCOUNT, "urgent"), found), HIDDEN)
        self.assertIs(check.access(Caller(ACCOUNT, CLOSED), found), ALLOWED)


Call = Callable[[JobService, ClientCall], Awaitable[object]]

CALLS: dict[str, Call | None] = {
    "submit": lambda jobs, call: jobs.submit(call, JOB, job(1, work_s=60.0)),
    "accepted": lambda jobs, call: jobs.accepted(call, JOB),
    "state": lambda jobs, call: jobs.state(call, JOB),
    "waits": lambda jobs, call: jobs.waits(call, JOB),
    "cancel": lambda jobs, call: jobs.cancel(call, JOB),
    "clear": lambda jobs, call: jobs.clear(call, JOB),
    "pending": None,
}
"""Calls of clients; ``None`` for those that name no job."""
REFUSED: dict[str, tuple[object, ...]] = {
    "submit": (ErrorKind.FORBIDDEN,),
    "accepted": (None, ErrorKind.FORBIDDEN),
    "state": (None, ErrorKind.FORBIDDEN),
    "waits": (None,),
    "cancel": (False, ErrorKind.FORBIDDEN),
    "clear": (0, ErrorKind.CELL_UNAVAILABLE),
}
"""Outcomes of the calls for callers who may not access the job."""
QUESTIONS = ("StateQuestion", "WaitQuestion", "ClearOrder")
"""Questions to the leader that name a job."""


class TableTest(PoolTest):
    """All calls, by all callers, on all ways."""

    def callers(self, cluster: PoolCluster) -> dict[str, tuple[ClientCall, JobAccess]]:
        """Calls that are authenticated, and what they may do with a job of the first account."""
        own = cluster.call(CLOSED)
        return {
            "owner": (own, ALLOWED),
            "owner, no queue named": (replace(own, names_queue=False), ALLOWED),
            "owner on another queue": (cluster.call("urgent"), HIDDEN),
            "owner on the open queue": (cluster.call(OPEN), HIDDEN),
            "other account": (cluster.call(CLOSED, account=OTHER), FORBIDDEN),
            "other account, no queue named": (
                replace(cluster.call(CLOSED, account=OTHER), names_queue=False),
                FORBIDDEN,
            ),
            "other account on the open queue": (cluster.call(OPEN, account=OTHER), FORBIDDEN),
            "no key on the open queue": (cluster.call(OPEN, account=KEYLESS), HIDDEN),
        }

    def ways(self, cluster: PoolCluster) -> dict[str, tuple[JobService, Any]]:
        """The VMs that are called, and what is broken meanwhile."""
        leader = cluster.leader_name
        follower = next(name for name in cluster.members if name != leader)
        none = contextlib.nullcontext()
        no_leader = unittest.mock.patch.object(
            LeaderRpc, "_ask", side_effect=LeaderUnavailable("no leader is known")
        )
        return {
            "the leader": (cluster.members[leader].vm.jobs, none),
            "relayed to the leader": (cluster.members[follower].vm.jobs, none),
            "from the store": (cluster.members[follower].vm.jobs, no_leader),
        }

    def test_no_call_reaches_a_job_of_others(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(open_queues=[OPEN])
            await asyncio.sleep(IN_FORCE_S)
            await cluster.submit(JOB, job(1, work_s=60.0), queue=CLOSED)
            await cluster.until_state(JOB, JobState.RUNNING)
            for way, (jobs, broken) in self.ways(cluster).items():
                for name, (call, access) in self.callers(cluster).items():
                    if access is ALLOWED:
                        continue
                    for method, make in self.checked_calls():
                        with self.subTest(way=way, caller=name, call=method), broken:
                            outcome = await self.outcome(make(jobs, call))
                            self.assertIn(outcome, REFUSED[method])
            await asyncio.sleep(2.0)
            self.assertIs(await cluster.state(JOB), JobState.RUNNING)

        self.play(body)

    def test_the_owner_reaches_a_job_on_all_ways(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(open_queues=[OPEN])
            await asyncio.sleep(IN_FORCE_S)
            await cluster.submit(JOB, job(1, work_s=60.0), queue=CLOSED)
            await cluster.until_state(JOB, JobState.RUNNING)
            owners = [call for call, access in self.callers(cluster).values() if access is ALLOWED]
            for way, (jobs, broken) in self.ways(cluster).items():
                for call in owners:
                    with self.subTest(way=way, call=call), broken:
                        self.assertIs(await jobs.state(call, JOB), JobState.RUNNING)
                        self.assertIsNotNone(await jobs.accepted(call, JOB))
                        await jobs.submit(call, JOB, job(1, work_s=60.0))
            for way, (jobs, broken) in self.ways(cluster).items():
                for call in owners:
                    with self.subTest(way=way, call=call), broken:
                        self.assertTrue(await jobs.cancel(call, JOB))
            await cluster.until_state(JOB, JobState.CANCELLED)

        self.play(body)

    def test_callers_of_an_open_queue_share_its_jobs(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(open_queues=[OPEN])
            await asyncio.sleep(IN_FORCE_S)
            await cluster.submit(OPEN_JOB, job(1, work_s=60.0), queue=OPEN, account=KEYLESS)
            jobs = cluster.members[cluster.leader_name].vm.jobs
            for account in (KEYLESS, ACCOUNT, OTHER):
                call = cluster.call(OPEN, account=account)
                self.assertIsNotNone(await jobs.state(call, OPEN_JOB))
            self.assertIsNone(await jobs.state(cluster.call(CLOSED), OPEN_JOB))
            self.assertTrue(await jobs.cancel(cluster.call(OPEN, account=KEYLESS), OPEN_JOB))

        self.play(body)

    def test_a_job_stays_reachable_once_its_queue_is_gone(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(more_queues=["old"])
            await asyncio.sleep(IN_FORCE_S)
            call = cluster.call(CLOSED)
            old = replace(call, queue=replace(call.queue, name="old"))
            jobs = cluster.members[cluster.leader_name].vm.jobs
            await jobs.submit(old, JOB, job(1, work_s=60.0))
            self.assertIsNone(await jobs.state(call, JOB))
            cluster.configure()
            await asyncio.sleep(IN_FORCE_S)
            self.assertIsNotNone(await jobs.state(call, JOB))
            self.assertTrue(await jobs.cancel(call, JOB))

        self.play(body)

    def checked_calls(self) -> Iterator[tuple[str, Call]]:
        for method, make in CALLS.items():
            if make is not None:
                yield method, make

    async def outcome(self, call: Awaitable[object]) -> object:
        try:
            return await call
        except SaddlestackError as error:
            return error.kind


class CompletenessTest(unittest.TestCase):
    """A call that is added has to be added to the table as well."""

    def test_the_table_has_each_call(self) -> None:
        methods = {
            name
            for name, _ in inspect.getmembers(JobService, inspect.isfunction)
            if not name.startswith("_")
        }
        self.assertEqual(methods, set(CALLS))

    def test_the_table_has_each_question_that_names_a_job(self) -> None:
        questions = {
            name
            for name, each in vars(leaderrpc).items()
            if isinstance(each, type)
            and issubclass(each, msgspec.Struct)
            and "job_id" in each.__struct_fields__
        }
        self.assertEqual(questions, set(QUESTIONS))


class HttpTest(PoolTest):
    """What callers of the clients' interface get."""

    def test_statuses(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(open_queues=[OPEN])
            await asyncio.sleep(IN_FORCE_S)
            await cluster.submit(JOB, job(1, work_s=60.0), queue=CLOSED)
            vm = next(iter(cluster.members.values())).vm
            client = HttpClient("127.0.0.1", vm.clients.port)
            for queue, key, expected in (
                (OPEN, "", 410),
                (OPEN, KEY, 410),
                (OPEN, OTHER_KEY, 403),
                (CLOSED, "", 401),
                (CLOSED, OTHER_KEY, 403),
                (CLOSED, KEY, 200),
            ):
                for method in ("GET", "DELETE"):
                    with self.subTest(queue=queue, key=key, method=method):
                        answer = await client.request(
                            method,
                            f"/{queue}/{JOB}",
                            timeout=3.0,
                            headers=[("Saddlestack-Credential", key)] if key else [],
                            host=HOST,
                        )
                        self.assertEqual(answer.status, expected)
            client.close()

        self.play(body)


if __name__ == "__main__":
    unittest.main()
