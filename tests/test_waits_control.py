"""Every wait of accepted work in the control plane ends by itself.

Guards against jobs that are stalled for 3 s or more although capacity for twice their size is free
and other jobs start. Each test covers one kind of wait, and loses or delays the event that usually
ends it.
"""

from __future__ import annotations

import asyncio
import contextlib
import unittest
import unittest.mock
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from msgspec.structs import replace

from saddlestack.control.health import MIN_OVERDUE_S, StoreHealth
from saddlestack.control.journal import Journal
from saddlestack.control.keys import LEADER, PROGRESS, REQUESTS
from saddlestack.control.leaderrpc import LeaderRpc
from saddlestack.control.scheduler import TICK_S
from saddlestack.interfaces.machines import Leave, UpkeepOutcome
from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    Listing,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.kernel.clock import Clock
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.standins.pool.cluster import RETENTION_S, PoolCluster, job
from saddlestack.standins.pool.machines import PoolAdviser, PoolMachines
from saddlestack.standins.pool.store import CALL_TIMEOUT_S, WATCH_SLACK_S, StoreState, StoreView
from saddlestack.work import JobState
from tests.support import bare_context
from tests.test_pool import A, B, C, PoolTest

LINK_BYTES_S = 1_000_000
FOUND_WITHIN_S = 2.5
SOON_S = 1.0
"""If the store answers for other jobs, orders for them are sent within this time."""


@contextlib.contextmanager
def writes_of_job_are_lost(job_id: str) -> Iterator[None]:
    """The store neither answers nor applies writes of a job's progress."""
    transact = StoreView.transact

    async def unanswered(self: StoreView, transaction: Transaction) -> Committed | Conflict:
        if any(put.key.startswith(f"{PROGRESS}{job_id}") for put in transaction.puts):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WriteInDoubt("no answer")
        return await transact(self, transaction)

    with unittest.mock.patch.object(StoreView, "transact", unanswered):
        yield


@contextlib.contextmanager
def removals_are_lost() -> Iterator[None]:
    """The store neither answers nor applies transactions that remove keys."""
    transact = StoreView.transact

    async def unanswered(self: StoreView, transaction: Transaction) -> Committed | Conflict:
        if transaction.deletes:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WriteInDoubt("no answer")
        return await transact(self, transaction)

    with unittest.mock.patch.object(StoreView, "transact", unanswered):
        yield


class PendingRecordTest(PoolTest):
    """One job's record waits for the store.

    The write blocked the scheduling loop as soon as the next decision touched the same job: nothing
    of any job was started or stopped until the store answered.
    """

    async def run_two(self, cluster: PoolCluster) -> None:
        """Run job A, on two workers, and job C."""
        await cluster.submit(A, job(2, work_s=20.0, accelerators=8))
        await cluster.submit(C, job(1, work_s=20.0))
        await cluster.until(
            lambda: cluster.worker_pool.starts_of(A) + cluster.worker_pool.starts_of(C) == 3
        )
        await asyncio.sleep(SOON_S)

    async def queue_two_records(self, cluster: PoolCluster) -> None:
        """Report two ends of A one after the other, so that one record waits behind another."""
        last = next(run for run in cluster.worker_pool.history if run.task.job_id == A)
        worker = cluster.worker_pool.workers[last.worker]
        worker.lost_stops, worker.late_s = 1, SOON_S
        await cluster.cancel(A)
        await cluster.until(lambda: last.ended is not None)
        await asyncio.sleep(SOON_S)

    def test_other_jobs_start(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.run_two(cluster)
            with writes_of_job_are_lost(A):
                await self.queue_two_records(cluster)
                await cluster.submit(B, job(2))
                await cluster.until(lambda: cluster.worker_pool.starts_of(B) == 2, SOON_S)
            await cluster.until_state(A, JobState.CANCELLED)
            await cluster.until_state(B, JobState.COMPLETED)

        self.play(body)

    def test_other_jobs_are_stopped(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.run_two(cluster)
            with writes_of_job_are_lost(A):
                await self.queue_two_records(cluster)
                await cluster.cancel(C)
                runs = [run for run in cluster.worker_pool.history if run.task.job_id == C]
                await cluster.until(lambda: runs[0].stopping_at is not None, SOON_S)

        self.play(body)

    def test_ends_of_other_jobs_are_acknowledged(self) -> None:
        """They waited for all records, and each poll of a worker with ends took a second more."""

        async def body(cluster: PoolCluster) -> None:
            await self.run_two(cluster)
            with writes_of_job_are_lost(A):
                await self.queue_two_records(cluster)
                await cluster.submit(B, job(1, work_s=0.5))
                await cluster.until_state(B, JobState.COMPLETED, 3 * SOON_S)
                worker = next(
                    run.worker for run in cluster.worker_pool.history if run.task.job_id == B
                )
                ended = cluster.worker_pool.workers[worker].ended
                await cluster.submit("d" * 16, job(1, work_s=0.5))
                await asyncio.sleep(2 * SOON_S)
                self.assertEqual([end for end in ended if end.task.startswith(B)], [])

        self.play(body)


class TickTest(PoolTest):
    """Waits that end at a point in time are checked by the tick of 0.5 s.

    The tick also removed old jobs. Each of up to five removals per tick waited for the store, 1 s
    if it does not answer.
    """

    def test_a_job_starts_when_it_is_due_though_removals_are_not_answered(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old = [f"{number:016x}" for number in range(1, 11)]
            for job_id in old:
                await cluster.submit(job_id, job(1, work_s=0.2))
            for job_id in old:
                await cluster.until_state(job_id, JobState.COMPLETED)
            await asyncio.sleep(RETENTION_S - 2.0)
            clock = cluster.members["entry-1"].vm.context.clock
            due_ms = round(clock.wall() * 1000) + 6000
            once = job(1, work_s=0.2)
            request = replace(once, times=1, first_at_ms=due_ms, interval_ms=1000)
            await cluster.submit(A, request)
            with removals_are_lost():
                await asyncio.sleep(6.0 + 2 * TICK_S)
                self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            await cluster.until(lambda: len(cluster.store.keys(REQUESTS)) == 1)

        self.play(body)


class AdviserTest(PoolTest):
    """While the adviser is being asked about a step, it is not asked about it again.

    An unexpected error ended the call, but the step stayed marked as being asked about.
    """

    def test_a_failed_call_to_the_adviser_is_repeated(self) -> None:
        async def main() -> None:
            cluster = PoolCluster(advised=frozenset({"normal"}))
            await cluster.start()
            advise = PoolAdviser.advise
            failures = [KeyError()]

            async def fails_once(
                self: PoolAdviser, step: str, workers: tuple[str, ...]
            ) -> tuple[Leave, ...]:
                if failures:
                    raise failures.pop()
                return await advise(self, step, workers)

            with unittest.mock.patch.object(PoolAdviser, "advise", fails_once):
                await cluster.submit(A, job(1, work_s=0.2))
                await cluster.until_state(A, JobState.COMPLETED, 3.0)
            await cluster.stop()

        run(main())


@dataclass(slots=True)
class SlowLinkView(StoreView):
    """A connection to the store over a slow link."""

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        size = sum(len(put.value) for put in transaction.puts)
        await asyncio.sleep(size / LINK_BYTES_S)
        return await StoreView.transact(self, transaction)


class LargeRecordTest(unittest.TestCase):
    """A record takes longer to send than the timeout derived from heartbeats.

    Each try was given up after three times the duration of a heartbeat, at least 0.25 s, and sent
    again with the same timeout: it was never written, and its job was stalled for good.
    """

    def test_it_is_written_within_the_timeout(self) -> None:
        async def main() -> None:
            view = SlowLinkView(StoreState())
            fence = view.state.put(LEADER, b"leader")
            context = bare_context(VirtualClock(), store=view, health=StoreHealth(view, Clock()))
            journal = Journal(context, fence)
            sending_s = 3 * MIN_OVERDUE_S
            async with asyncio.timeout(10.0):
                await journal.commit({f"{PROGRESS}{A}.0": bytes(round(LINK_BYTES_S * sending_s))})

        run(main())


class RefusedUpkeepTest(PoolTest):
    """A machine of a wave is drained, and then its upkeep is refused for good: it is used again.

    Its worker took no work for the rest of the term, and its runs were to be stopped.
    """

    def play_refusal(self, outcome: UpkeepOutcome) -> None:
        async def refuse(*_: object) -> UpkeepOutcome:
            return outcome

        async def body(cluster: PoolCluster) -> None:
            machines = [worker.machine for worker in cluster.worker_pool.workers.values()]
            wave = {"wave": 1, "machines": machines, "deadline-s": 30, "max-tasks": 4}
            with unittest.mock.patch.object(PoolMachines, "upkeep", refuse):
                cluster.store.put("op/wave/1", msgspec.json.encode(wave))
                await asyncio.sleep(10.0)
                await cluster.submit(A, job(4, accelerators=8, work_s=0.5))
                await cluster.until_state(A, JobState.COMPLETED, 3.0)

        self.play(body)

    def test_a_machine_that_is_not_of_the_wave_is_used_again(self) -> None:
        self.play_refusal(UpkeepOutcome.NOT_IN_WAVE)

    def test_one_that_is_not_known_is_used_again(self) -> None:
        self.play_refusal(UpkeepOutcome.UNKNOWN_MACHINE)


class LostNoticeTest(PoolTest):
    """The notice of a job is lost, and the watch that would find it has a dead connection.

    The watch waited for 3 s and 1 s of slack before it was repeated, while the store answered all
    other calls.
    """

    def test_it_starts_before_it_has_waited_for_3_s(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            view = cluster.member(cluster.leader_name).view
            watch = StoreView.watch
            swallowed = True
            begun = asyncio.Event()

            async def unanswered(
                self: StoreView, prefix: str, after: int, wait_s: float
            ) -> Listing:
                if swallowed and self is view and prefix == REQUESTS:
                    begun.set()
                    await asyncio.sleep(wait_s + WATCH_SLACK_S)
                    raise StoreUnavailable("the watch was swallowed")
                return await watch(self, prefix, after, wait_s)

            with (
                unittest.mock.patch.object(StoreView, "watch", unanswered),
                unittest.mock.patch.object(LeaderRpc, "notify"),
            ):
                await asyncio.sleep(WATCH_SLACK_S)
                begun.clear()
                await begun.wait()
                swallowed = False
                await cluster.submit(A, job(1, work_s=0.2))
                await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1, FOUND_WITHIN_S)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
