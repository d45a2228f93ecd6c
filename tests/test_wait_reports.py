"""What the leader reports about waits: log lines, metrics and answers to callers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from unittest import mock

from saddlestack.control import waits as waits_module
from saddlestack.control.journal import Journal
from saddlestack.control.storedjobs import StoredJobs
from saddlestack.control.waits import CHECK_INTERVAL_S, REPORT_AFTER_S, WaitMonitor, reset_gauges
from saddlestack.kernel.clock import Clock
from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.stall import STALL_S
from saddlestack.services.metrics import Metrics
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_cluster_state import BULK, ClusterCase, step
from tests.test_pool import PoolTest

A = "00000000000000aa"
QUARANTINED_S = 100.0
SLOW_S = 4.0


class SteppedClock(Clock):
    """A clock that is advanced by hand."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> float:
        return self.now_s

    def wall(self) -> float:
        return self.now_s


class WaitsCase(ClusterCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = SteppedClock()
        self.metrics = Metrics("vm", self.clock)
        self.waits = WaitMonitor(
            self.cluster_state, self.clock, self.metrics, lambda worker_id: 0.0
        )
        self.waits.register_gauges()
        self.lines: list[logging.LogRecord] = []
        handler = logging.Handler()
        handler.emit = self.lines.append  # type: ignore[method-assign]
        logger = logging.getLogger("saddlestack.scheduler")
        logger.addHandler(handler)
        before = logger.level
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.setLevel, before)
        self.addCleanup(logger.removeHandler, handler)

    def play(self, until_s: float) -> None:
        """Run rounds and checks until a point in time."""
        while self.clock.now_s < until_s:
            self.plan(self.clock.now_s)
            self.waits.round_finished(False)
            self.waits.check()
            self.clock.now_s += CHECK_INTERVAL_S

    def events_of(self, event: str) -> list[logging.LogRecord]:
        return [line for line in self.lines if line.event == event]  # type: ignore[attr-defined]

    def quarantine(self, *names: str) -> None:
        for name in names or self.cluster_state.workers:
            self.cluster_state.workers[name].quarantine_s = QUARANTINED_S

    def metric(self, name: str) -> int:
        return self.metrics.view().counters[name]


class LinesTest(WaitsCase):
    """Jobs with one attempt avoid workers in quarantine, whatever capacity the pool has free."""

    def test_a_stall_is_logged_once_with_its_reason_and_end(self) -> None:
        self.workers(each=4)
        self.quarantine()
        job_id = self.add(step(2, 4, gang=True), priority=BULK, attempts=1)
        self.play(3 * STALL_S)
        [line] = self.events_of("stands_still")
        self.assertEqual(line.job, job_id)
        self.assertEqual(line.reason, WaitReason.QUARANTINE.value)
        self.assertEqual((line.stood_s, line.tasks), (STALL_S, 2))
        self.assertEqual(line.ends_s, QUARANTINED_S - STALL_S)
        self.assertEqual(line.ends, WaitReason.QUARANTINE.ends)
        self.assertEqual(self.metric("standstills"), 1)

    def test_a_late_check_logs_its_delay(self) -> None:
        self.workers(each=4)
        self.quarantine()
        self.add(step(1, 1), priority=BULK, attempts=1)
        self.play(CHECK_INTERVAL_S)
        self.clock.now_s += 6.0
        self.play(self.clock.now_s + CHECK_INTERVAL_S)
        [line] = self.events_of("stands_still")
        self.assertEqual((line.stood_s, line.late_s), (6.5, 6.0))

    def test_a_full_pool_logs_no_stall(self) -> None:
        self.workers(each=2)
        self.add(step(2, 8))
        self.add(step(1, 1))
        self.play(3 * STALL_S)
        self.assertEqual(self.events_of("stands_still"), [])
        [line] = self.events_of("waits")
        self.assertEqual(line.reason, WaitReason.NO_ROOM.value)

    def test_a_job_that_is_too_wide_waits_and_is_not_stalled(self) -> None:
        self.workers(each=9)
        self.add(step(13, 8, gang=True))
        self.play(3 * STALL_S)
        self.assertEqual(self.events_of("stands_still"), [])
        [line] = self.events_of("waits")
        self.assertEqual(line.reason, WaitReason.TOO_WIDE.value)

    def test_a_wait_is_logged_after_a_second_and_again_when_its_reason_changes(self) -> None:
        self.workers(each=2)
        self.quarantine()
        self.add(step(1, 1), priority=BULK, attempts=1)
        self.play(REPORT_AFTER_S)
        self.assertEqual(self.events_of("waits"), [])
        self.play(3 * REPORT_AFTER_S)
        self.assertEqual(len(self.events_of("waits")), 1)
        for worker in self.cluster_state.workers.values():
            worker.quarantine_s = 0.0
            worker.reachable = False
        self.play(5 * REPORT_AFTER_S)
        reasons = [line.reason for line in self.events_of("waits")]
        self.assertEqual(reasons, [WaitReason.QUARANTINE.value, WaitReason.SILENT.value])

    def test_a_wait_that_recurs_is_logged_again(self) -> None:
        self.workers(each=2)
        self.quarantine()
        self.add(step(1, 1), priority=BULK)
        self.play(2.0)
        for worker in self.cluster_state.workers.values():
            worker.quarantine_s = 0.0
        self.play(3.0)
        for worker in self.cluster_state.workers.values():
            worker.reachable = False
        self.play(6.0)
        self.assertEqual(
            [line.reason for line in self.events_of("waits")],
            [WaitReason.QUARANTINE.value, WaitReason.LEASE.value],
        )

    def test_lines_are_limited_and_omitted_ones_counted(self) -> None:
        self.workers(each=4)
        self.quarantine()
        for _ in range(5):
            self.add(step(1, 1), priority=BULK, attempts=1)
        with (
            mock.patch.object(waits_module, "MAX_WAIT_LINES", 2),
            mock.patch.object(waits_module, "MAX_STALL_LINES", 2),
        ):
            self.play(STALL_S + CHECK_INTERVAL_S)
        self.assertEqual(len(self.events_of("stands_still")), 2)
        self.assertEqual(len(self.events_of("waits")), 5)
        left_out = [(line.of, line.lines) for line in self.events_of("waits_left_out")]
        self.assertEqual(left_out, [("waits", 3), ("waits", 1), ("stands_still", 3)])
        self.assertEqual(self.metric("standstills"), 5)

    def test_an_error_in_the_diagnosis_is_logged_and_stops_nothing(self) -> None:
        with mock.patch.object(Diagnosis, "scan", side_effect=KeyError("planted")):
            self.waits.check()
        self.assertEqual(len(self.events_of("waits_failed")), 1)
        self.assertEqual(self.metric("waits_failures"), 1)

    def test_a_write_that_waits_for_the_store(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        self.cluster_state.plan(0.0, 0.0)
        changes = self.cluster_state.take_changes()
        self.waits.write_started(each.job_id for each in changes.by_job())
        self.waits.check()
        self.assertIn(f"({WaitReason.WRITE})", self.waits.of(job_id) or "")
        self.waits.write_finished(each.job_id for each in changes.by_job())
        self.waits.check()
        self.assertIn(f"({WaitReason.STARTING})", self.waits.of(job_id) or "")


class MetricsTest(WaitsCase):
    def test_jobs_and_tasks_by_reason(self) -> None:
        self.workers(each=4)
        self.quarantine()
        self.add(step(2, 1), step(3, after=(0,)), priority=BULK)
        self.add(step(4, 1), priority=BULK)
        self.add(step(1, 9), priority=BULK)
        self.play(CHECK_INTERVAL_S)
        self.assertEqual(self.metric("waiting_jobs_quarantine"), 2)
        self.assertEqual(self.metric("waiting_tasks_quarantine"), 6)
        self.assertEqual(self.metric("waiting_tasks_earlier_step"), 3)
        self.assertEqual(self.metric("waiting_jobs_too_wide"), 1)
        self.assertEqual(self.metric("waiting_jobs_no_room"), 0)

    def test_the_share_of_the_pool_that_is_held_back(self) -> None:
        self.workers(each=4)
        self.quarantine("w11")
        self.cluster_state.workers["w11"].probation_s = QUARANTINED_S
        for name in ("w12", "w13"):
            self.cluster_state.workers[name].probation_s = QUARANTINED_S
        self.assertEqual(self.metric("pool_quarantine_percent"), 25)
        self.assertEqual(self.metric("pool_probation_percent"), 50)

    def test_all_read_0_once_the_term_is_over(self) -> None:
        self.workers(each=4)
        self.quarantine()
        self.add(step(2, 1), priority=BULK)
        self.play(CHECK_INTERVAL_S)
        self.waits.close()
        self.assertEqual(self.gauge_values(), {0})

    def test_all_read_0_on_a_vm_that_never_led(self) -> None:
        self.metrics = Metrics("other", self.clock)
        reset_gauges(self.metrics)
        self.assertEqual(self.gauge_values(), {0})

    def gauge_values(self) -> set[int]:
        counters = self.metrics.view().counters
        return {value for name, value in counters.items() if name.startswith(("waiting_", "pool_"))}


class LeaderTest(PoolTest):
    def test_only_the_leader_shows_what_waits(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(5, accelerators=8, gang=True))
            await asyncio.sleep(2 * REPORT_AFTER_S)
            counts = [
                member.vm.metrics.view().counters["waiting_jobs_too_wide"]
                for member in cluster.members.values()
            ]
            self.assertEqual(sorted(counts), [0, 0, 1])
            cluster.worker_pool.add("r1-1", "hall-1")
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_a_blocked_tick_delays_no_check(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(5, accelerators=8, gang=True))
            await asyncio.sleep(2 * REPORT_AFTER_S)
            self.assertIn("(too_wide)", self.wait_of(cluster) or "")

        with mock.patch.object(StoredJobs, "remove_expired", _block):
            self.play(body)

    def test_a_start_that_waits_for_a_slow_store(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(1), queue="urgent")
            await asyncio.sleep(2 * REPORT_AFTER_S)
            self.assertIn("(write)", self.wait_of(cluster) or "")
            await cluster.until_state(A, JobState.COMPLETED)

        commit = Journal.commit

        async def slow(journal: Journal, records: Mapping[str, bytes], tries: float) -> None:
            await asyncio.sleep(SLOW_S)
            await commit(journal, records, tries)

        with mock.patch.object(Journal, "commit", slow):
            self.play(body)

    def wait_of(self, cluster: PoolCluster) -> str | None:
        leader = cluster.leader
        assert leader is not None and leader.scheduler is not None
        return leader.scheduler.waits.of(A)


async def _block(requests: StoredJobs) -> None:
    await asyncio.sleep(QUARANTINED_S)
