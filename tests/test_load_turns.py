"""A new leader of a large pool reads all jobs without holding up its event loop."""

from __future__ import annotations

import asyncio
import sys
import unittest
from collections.abc import Awaitable
from types import FrameType
from typing import Any, cast

from saddlestack.codec import to_msgpack
from saddlestack.control import keys
from saddlestack.control.journal import Journal
from saddlestack.control.storedjobs import StoredJobs
from saddlestack.interfaces.store import Item, Listing, MetadataStore
from saddlestack.kernel.turns import Turns
from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.records import (
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.work import MAX_TASKS_OF_JOB, AcceptedJob, JobRequest, JobState
from tests.call_counts import count_calls, quiet_context
from tests.support import bare_context
from tests.test_cluster_state import SERVICE, step

JOBS = 12_000
"""Jobs of the target: 12,000 a day, most of them for hours."""
TASKS = 10
"""Tasks of each, 120,000 in all."""
WORKERS = 1_000
RENEWAL_INTERVAL_S = 0.25
WEAKEST_SHARE = 0.25
"""The share of a core that the weakest VMs have."""
CALLS_PER_CORE_S = 2_000_000
"""Function calls that a second of a core is good for."""
MAX_CALLS_PER_TURN = RENEWAL_INTERVAL_S * WEAKEST_SHARE * CALLS_PER_CORE_S
"""A turn with more calls delays the renewals of the leader's lease on the weakest VMs."""


def job_id_of(number: int) -> str:
    return f"{number:016x}"


def accepted_job(number: int, count: int, times: int) -> AcceptedJob:
    return AcceptedJob(
        job_id=job_id_of(number),
        account="depots",
        queue="q",
        service=SERVICE,
        priority=1,
        attempts=2,
        accepted_ms=number,
        request=JobRequest(payload="", steps=(step(count),), times=times),
    )


def progress_of(number: int, count: int) -> OccurrenceRecord:
    """The record of an occurrence all tasks of which run."""
    workers = [f"w{(number * count + index) % WORKERS}" for index in range(count)]
    tasks = [TaskRecord(TaskStatus.ASSIGNED, 1, worker) for worker in workers]
    addresses = dict.fromkeys(workers, "127.0.0.1:7000")
    return OccurrenceRecord(OccurrenceStatus.OPEN, [StepRecord(tasks)], addresses)


class StoredItems:
    """A store that has records of jobs and lists them.

    :param begun: whether the jobs have progress.
    :param times: how often each job runs; all times but the last are done.
    """

    def __init__(self, jobs: int, count: int, *, begun: bool = True, times: int = 0) -> None:
        numbers = range(jobs)
        self.requests = [
            Item(keys.job_key(job_id_of(each)), to_msgpack(accepted_job(each, count, times)), 2)
            for each in numbers
        ]
        done = to_msgpack(OccurrenceRecord(OccurrenceStatus.DONE))
        earlier = tuple(
            Item(keys.progress_key(f"{job_id_of(each)}.{time}"), done, 3)
            for each in numbers
            for time in range(times - 1)
        )
        last = max(0, times - 1)
        self.progress = earlier + tuple(
            Item(
                keys.progress_key(f"{job_id_of(each)}.{last}"),
                to_msgpack(progress_of(each, count)),
                3,
            )
            for each in numbers
            if begun
        )

    async def list(self, prefix: str) -> Listing:
        assert prefix == keys.PROGRESS
        return Listing(self.progress, 3)


class CallsPerTurn:
    """Counts the function calls of each turn of the event loop."""

    def __init__(self) -> None:
        self.most = 0
        self._count = 0

    async def of(self, work: Awaitable[object]) -> int:
        """Returns the largest number of calls in one turn while something is awaited."""
        ticker = asyncio.get_running_loop().create_task(self._tick())
        await asyncio.sleep(0)
        sys.setprofile(self._record)
        try:
            await work
        finally:
            sys.setprofile(None)
            ticker.cancel()
        return max(self.most, self._count)

    async def _tick(self) -> None:
        while True:
            self.most = max(self.most, self._count)
            self._count = 0
            await asyncio.sleep(0)

    def _record(self, frame: FrameType, event: str, argument: object) -> None:
        self._count += event in {"call", "c_call"}


class LoadTurnsTest(unittest.TestCase):
    def load(self, stored: StoredItems) -> tuple[ClusterState, int, int]:
        """Let a new leader read all jobs; returns the most calls in a turn, for each reading."""
        cluster_state = ClusterState()

        async def main() -> tuple[int, int]:
            store = cast(MetadataStore, cast(Any, stored))
            context = bare_context(VirtualClock(), store=store)
            jobs = StoredJobs(context, cluster_state, Journal(context, 1))
            progress = await CallsPerTurn().of(jobs.load())
            return progress, await CallsPerTurn().of(jobs.apply(stored.requests))

        progress, requests = run(main())
        return cluster_state, progress, requests

    def test_a_large_pool_is_read_in_many_turns(self) -> None:
        """All records in one turn took longer than the lease of the new leader."""
        cluster_state, progress, requests = self.load(StoredItems(JOBS, TASKS))
        runs = sum(job.run_count for job in cluster_state.jobs.values())
        self.assertEqual(runs, JOBS * TASKS)
        self.assertLess(progress, MAX_CALLS_PER_TURN)
        self.assertLess(requests, MAX_CALLS_PER_TURN)

    def test_a_scan_for_waiting_jobs_fits_in_a_turn(self) -> None:
        """It looked at each run, twice a second."""
        cluster_state, _, _ = self.load(StoredItems(JOBS, TASKS))
        for worker in cluster_state.workers.values():
            worker.reachable = True
            for each in worker.runs.values():
                each.started_s = 0.0
        diagnosis = Diagnosis(cluster_state)
        context = quiet_context(1.0)
        self.assertLess(count_calls(lambda: diagnosis.scan(context)), MAX_CALLS_PER_TURN)
        self.assertEqual(diagnosis.scan(context).waits, [])

    def test_the_largest_job_is_read_in_several_turns(self) -> None:
        _, progress, requests = self.load(StoredItems(1, MAX_TASKS_OF_JOB))
        self.assertLess(progress, MAX_CALLS_PER_TURN)
        self.assertLess(requests, MAX_CALLS_PER_TURN)

    def test_repeated_jobs_are_read_in_many_turns(self) -> None:
        """Each has run almost all of its times, and the target's 120,000 tasks are in them."""
        stored = StoredItems(12, 1, times=MAX_TASKS_OF_JOB)
        cluster_state, progress, requests = self.load(stored)
        jobs = cluster_state.jobs.values()
        self.assertEqual({job.done_occurrences for job in jobs}, {MAX_TASKS_OF_JOB - 1})
        self.assertLess(progress, MAX_CALLS_PER_TURN)
        self.assertLess(requests, MAX_CALLS_PER_TURN)

    def test_wide_jobs_that_have_not_begun_are_read_in_many_turns(self) -> None:
        cluster_state, _, requests = self.load(StoredItems(60, 2_000, begun=False))
        self.assertEqual(len(cluster_state.jobs), 60)
        self.assertLess(requests, MAX_CALLS_PER_TURN)

    def test_a_cancelled_job_is_never_seen_open(self) -> None:
        """Others may act between two turns of the reading."""
        stored = StoredItems(1_000, 1)
        cancels = [Item(keys.cancel_key(job_id_of(each)), b"", 4) for each in range(1_000)]
        for items in ([*cancels, *stored.requests], [*stored.requests, *cancels]):
            cluster_state = ClusterState()
            seen: set[JobState] = set()

            async def main(
                cluster_state: ClusterState = cluster_state,
                items: list[Item] = items,
                seen: set[JobState] = seen,
            ) -> None:
                context = bare_context(VirtualClock())
                jobs = StoredJobs(context, cluster_state, Journal(context, 1))
                reading = asyncio.ensure_future(jobs.apply(items))
                while not reading.done():
                    seen.update(job.state for job in cluster_state.jobs.values())
                    await asyncio.sleep(0)
                await reading

            run(main())
            self.assertEqual(len(cluster_state.jobs), 1_000)
            self.assertEqual(seen, {JobState.CANCELLED})


class TurnsTest(unittest.TestCase):
    def test_a_turn_ends_when_enough_is_done(self) -> None:
        async def main() -> list[int]:
            done: list[int] = []
            turns = Turns(3)

            async def work() -> None:
                for number in range(7):
                    done.append(number)
                    await turns.spend()

            task = asyncio.get_running_loop().create_task(work())
            seen = []
            while not task.done():
                await asyncio.sleep(0)
                seen.append(len(done))
            return seen

        self.assertEqual(run(main()), [3, 6, 7])


if __name__ == "__main__":
    unittest.main()
