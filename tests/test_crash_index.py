"""The crashes that can still be reverted, and the index of those that are not confirmed."""

from __future__ import annotations

from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.latest_crashes import MAX_CRASHES, Crash, LatestCrashes
from saddlestack.policy.cluster.records import UnconfirmedCrash
from saddlestack.policy.cluster.unconfirmed_crashes import UnconfirmedCrashes
from saddlestack.policy.cluster.workers import Worker
from tests.test_cluster_state import step
from tests.test_crashes import CrashCase
from tests.test_silent_workers import record_at


class LatestCrashesTest(CrashCase):
    def crash_of(self, worker_id: str) -> Crash:
        return Crash(worker_id, "s", "r1", IncarnationEnd(0.0, 1.0), frozenset(), 1)

    def test_the_crashes_of_a_worker_are_taken_once(self) -> None:
        latest = LatestCrashes({})
        for worker_id in ("w1", "w2", "w1"):
            latest.add(self.crash_of(worker_id))
        self.assertEqual([crash.worker_id for crash in latest.take("w1")], ["w1", "w1"])
        self.assertEqual(latest.take("w1"), [])
        self.assertEqual([crash.worker_id for crash in latest], ["w2"])

    def test_the_oldest_crash_is_dropped(self) -> None:
        latest = LatestCrashes({})
        for number in range(MAX_CRASHES + 1):
            latest.add(self.crash_of(f"w{number}"))
        self.assertEqual(latest.take("w0"), [])
        self.assertEqual(len(latest.take("w1")), 1)


class UnconfirmedCrashesTest(CrashCase):
    def setUp(self) -> None:
        super().setUp()
        self.job_id = self.add(step(1, 1))
        self.index = UnconfirmedCrashes()
        self.crash_of_lost = UnconfirmedCrash("lost", 0.1, "m-lost", "lost:1")
        self.index.replace(self.task(self.job_id), (), (self.crash_of_lost,))

    def deciding(self, *workers: Worker) -> list[str]:
        found = self.index.deciding_workers({each.worker_id: each for each in workers})
        return [worker.worker_id for worker in found]

    def test_the_worker_itself_and_successors_by_machine_or_address_decide(self) -> None:
        same = Worker(record_at("lost"))
        successor = Worker(record_at("new", "lost"))
        other = Worker(record_at("other"))
        unlisted = Worker(record_at("gone", "lost"), listed=False)
        self.assertEqual(self.deciding(same, successor, other, unlisted), ["lost", "new"])
        self.assertEqual(self.index.predecessors_of(successor), ["lost"])
        self.assertEqual(self.index.predecessors_of(same), [])

    def test_nothing_decides_once_the_crash_is_removed(self) -> None:
        self.index.replace(self.task(self.job_id), (self.crash_of_lost,), ())
        self.assertTrue(self.index.is_empty)
        self.assertEqual(self.deciding(Worker(record_at("new", "lost"))), [])

    def test_a_job_that_is_over_is_forgotten(self) -> None:
        self.index.forget_job(self.job_id)
        self.assertTrue(self.index.is_empty)
        self.assertEqual(self.index.tasks_of("lost"), [])
