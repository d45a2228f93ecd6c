"""Waits of tasks that have to be started alone, since they may crash their workers.

Guards against this failure: a worker crashed once under a task. It was back seconds later, empty,
and no other worker that the task may run on had room. The task was never started again, since it
kept waiting for a worker on another machine.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from saddlestack.interfaces.machines import Leave
from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.changes import Start
from saddlestack.policy.cluster.crash_rule import LIMIT_STARTS_FROM, MAX_LATER_STARTS
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.isolated_starts import MAX_ISOLATED_PER_ROUND
from saddlestack.policy.cluster.records import MAX_LOG_ODDS, CrashRecord
from saddlestack.work import JobState
from tests.test_cluster_state import NORMAL, step
from tests.test_crashes import NOTICED_S, PAUSE_S, QUIET_S, SOON_S, CrashCase

DOWN_S = 4.5
"""Time from a crash until the machine has a worker again."""
ROUND_S = 0.5
MAX_STALL_S = 3.0
"""No accepted work may stall for this long beside free capacity."""


class WaitCase(CrashCase):
    """Crashes after which the same machine has a worker again, and rounds as the leader runs."""

    def setUp(self) -> None:
        super().setUp()
        self.lives = 0

    def crash_machine(self, worker_id: str, at_s: float) -> None:
        """Crash a worker; its machine has an empty one from :data:`DOWN_S` later on."""
        worker = self.cluster_state.workers[worker_id]
        self.cluster_state.record_answer(worker, at_s - 0.001)
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(at_s - 0.001, at_s + NOTICED_S))
        self.cluster_state.unlist_worker(worker_id)
        self.lives += 1
        life = replace(worker.record, worker_id=f"life{self.lives}")
        self.rounds(at_s + NOTICED_S, at_s + DOWN_S)
        self.cluster_state.set_worker(life, at_s + DOWN_S)

    def rounds(self, from_s: float, to_s: float) -> list[Start]:
        """Run planning rounds over some time; returns what they start."""
        starts: list[Start] = []
        now = from_s
        while now < to_s:
            starts += self.plan(now).starts
            now += ROUND_S
        return starts

    def serve(self, workers: int, accelerators: int) -> str:
        """Add lasting work to each of some workers."""
        serving = step(workers, accelerators, per_worker=1, long_running=True)
        job = self.add(serving, priority=NORMAL)
        self.assertEqual(len(self.plan().starts), workers)
        return job


class SameMachineTest(WaitCase):
    """The machine that crashed is the only one with room."""

    def check_restart(self, **kind: object) -> None:
        self.workers(racks=1, each=4)
        self.serve(3, 5)
        job = self.add(step(1, 4, **kind), priority=NORMAL)
        self.assertEqual(len(self.plan().starts), 1)
        worker_id = self.run_of(job).worker_id
        self.assertEqual(len(self.cluster_state.workers[worker_id].runs), 1)
        self.crash_machine(worker_id, SOON_S)
        back_s = SOON_S + DOWN_S
        starts = self.rounds(back_s, back_s + MAX_STALL_S)
        self.assertEqual([start.run.task.name.job_id for start in starts], [job])

    def test_a_suspect_returns_to_it(self) -> None:
        self.check_restart()

    def test_a_lasting_suspect_returns_to_it(self) -> None:
        self.check_restart(long_running=True)

    def test_a_gang_returns_to_it(self) -> None:
        """The gang has room there only, and on a machine that has not crashed under it."""
        self.workers(racks=1, each=5)
        self.serve(3, 5)
        gang = self.add(step(2, 8, gang=True), priority=NORMAL)
        self.assertEqual(len(self.plan().starts), 2)
        self.crash_machine(self.run_of(gang).worker_id, SOON_S)
        member = self.run_of(gang, 1)
        self.end_run(member.task, EndKind.STOPPED, SOON_S + NOTICED_S)
        back_s = SOON_S + DOWN_S
        starts = self.rounds(back_s, back_s + MAX_STALL_S)
        self.assertEqual([start.run.task.name.job_id for start in starts], [gang, gang])

    def test_another_machine_is_preferred(self) -> None:
        self.workers(racks=1, each=4)
        self.serve(2, 5)
        job = self.add(step(1, 4), priority=NORMAL)
        self.plan()
        crashed = self.cluster_state.workers[self.run_of(job).worker_id].machine
        self.crash_machine(self.run_of(job).worker_id, SOON_S)
        self.rounds(SOON_S + DOWN_S, SOON_S + DOWN_S + MAX_STALL_S)
        self.assertNotEqual(self.cluster_state.workers[self.run_of(job).worker_id].machine, crashed)

    def test_a_task_that_crashes_it_each_time_is_given_up_within_its_starts(self) -> None:
        self.workers(racks=1, each=4)
        self.serve(3, 5)
        job = self.add(step(1, 4), priority=NORMAL)
        self.plan()
        starts = 1
        now = 0.0
        while self.task(job).run is not None and starts <= LIMIT_STARTS_FROM + MAX_LATER_STARTS:
            self.crash_machine(self.run_of(job).worker_id, now + SOON_S)
            back_s = now + SOON_S + DOWN_S
            starts += len(self.rounds(back_s, back_s + MAX_STALL_S))
            now = back_s + MAX_STALL_S
        self.assertIs(self.state(job), JobState.FAILED)
        self.assertLessEqual(starts, LIMIT_STARTS_FROM + MAX_LATER_STARTS)


class OneAfterAnotherTest(WaitCase):
    """Tasks of one job that are likely to crash their workers, after a crash under each."""

    def crash_each(self, count: int, **kind: object) -> str:
        """Crash the workers of all tasks of a job soon after their start; returns the job."""
        self.workers(racks=3, each=8)
        job = self.add(step(count, 4, per_worker=1, **kind), priority=NORMAL)
        self.plan()
        for index in range(count):
            self.crash_under(job, 0.0, index)
            self.assertTrue(self.cluster_state._crashes.is_likely(self.task(job, index)))
        return job

    def waiting(self, job: str, count: int) -> int:
        return sum(1 for index in range(count) if self.task(job, index).run is None)

    def test_lasting_tasks_do_not_wait_for_each_other_to_survive(self) -> None:
        """The second one waited until the first had survived, 15 to 42 s in an idle pool."""
        job = self.crash_each(3, long_running=True)
        self.rounds(PAUSE_S, PAUSE_S + MAX_STALL_S)
        self.assertEqual(self.waiting(job, 3), 0)

    def test_other_tasks_wait_while_one_may_crash_at_the_age_of_the_last_crash(self) -> None:
        job = self.crash_each(2)
        self.assertEqual(len(self.plan(PAUSE_S).starts), 1)
        self.assertEqual(self.plan(PAUSE_S + SOON_S).starts, [])
        self.assertEqual(self.waiting(job, 2), 1)

    def test_other_tasks_start_once_one_has_outlived_the_last_crash(self) -> None:
        """The bound of the wait is the age at the crash, however strong the evidence is."""
        job = self.crash_each(2)
        for index in (0, 1):
            self.known(job, index).log_odds = MAX_LOG_ODDS
        self.plan(PAUSE_S)
        outlived_s = PAUSE_S + max(self.known(job, index).span_s for index in (0, 1))
        self.rounds(PAUSE_S, outlived_s + MAX_STALL_S)
        self.assertEqual(self.waiting(job, 2), 0)


class ShareTest(WaitCase):
    """Isolated work that lasts uses up the share of workers for isolated runs."""

    def test_a_likely_suspect_does_not_wait_for_its_end(self) -> None:
        self.workers(racks=6, each=1)
        racks = ("r1", "r2", "r3")
        jobs = [self.add(step(1, 4, long_running=True, label=rack)) for rack in racks]
        self.plan()
        for job in jobs:
            self.crash_under(job, 0.0)
            self.known(job).log_odds = MAX_LOG_ODDS
        self.rounds(PAUSE_S, PAUSE_S + MAX_STALL_S)
        self.assertEqual([job for job in jobs if self.task(job).run is None], [])

    def test_nor_does_another_one_of_its_job(self) -> None:
        self.workers(racks=6, each=1)
        lasting = [self.add(step(1, 5, long_running=True, label=rack)) for rack in ("r1", "r2")]
        job = self.add(step(2, 5, per_worker=1))
        self.plan()
        tasks = [self.task(lasting[0]), self.task(lasting[1]), self.task(job, 0), self.task(job, 1)]
        for task in tasks:
            self.crash_under(task.name.job_id, 0.0, task.name.index)
        for task in tasks:
            task.step.record.crashes[task.name.index].log_odds = MAX_LOG_ODDS
        self.rounds(PAUSE_S, PAUSE_S + 2 * MAX_STALL_S)
        self.assertEqual([task.name for task in tasks if task.run is None], [])


class SearchTest(WaitCase):
    """More suspects wait than a round searches workers for."""

    def add_suspect(self, **kind: object) -> str:
        job = self.add(step(1, 4, **kind), priority=NORMAL)
        self.task(job).step.record.crashes[0] = CrashRecord(1, log_odds=1.0, span_s=1.0)
        return job

    def test_suspects_without_a_worker_do_not_keep_others_waiting(self) -> None:
        self.workers(racks=1, each=4)
        for _ in range(2 * MAX_ISOLATED_PER_ROUND):
            self.add_suspect(label="none")
        job = self.add_suspect()
        self.rounds(0.0, MAX_STALL_S)
        self.assertIsNotNone(self.task(job).run)


class ApprovalTest(WaitCase):
    """Starts need the adviser's approval, and the approved worker is gone."""

    def test_approval_of_other_workers_is_requested_for_a_suspect(self) -> None:
        self.workers(racks=1, each=3)
        self.cluster_state.configure({}, {}, ["q"])
        job = self.add(step(1, 4), priority=NORMAL)
        advice = self.task(job).step.advice
        advice.record_answer(("w11",), [Leave("w11", "ticket", QUIET_S)], 0.0)
        self.assertEqual(len(self.plan().starts), 1)
        self.crash_under(job, 0.0)
        requests = self.plan(PAUSE_S).advice_requests
        self.assertEqual([request.step for request in requests], [self.task(job).step])


if __name__ == "__main__":
    unittest.main()
