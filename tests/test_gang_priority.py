"""Normal gangs in crowds of urgent and bulk work: what is kept and stopped for them."""

from __future__ import annotations

from collections.abc import Callable

from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask
from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.kept_workers import EQUAL_HELD_S, LOWER_HELD_S
from saddlestack.policy.cluster.reasons import WaitReason
from tests.test_cluster_state import NORMAL, URGENT
from tests.test_diagnosis import diagnosis_context
from tests.test_slack import MOMENT_S, ROUND_S, ContentionCase, work


class CrowdCase(ContentionCase):
    """A pool whose runs end by the clock, planned every half second."""

    def run_of(self, step: StepState) -> Run:
        run = step.tasks[0].run
        assert run is not None
        return run

    def started_at(self, step: StepState) -> float | None:
        """When the last start of a step was confirmed; ``None`` if it does not run."""
        runs = [task.run for task in step.tasks]
        return None if runs[0] is None else runs[0].started_s

    def job_of(self, step: StepState) -> str:
        return step.occurrence.job.job_id

    def report(self, step: StepState, percent: int, now: float) -> None:
        """Have the workers of a step report its progress."""
        for task in step.tasks:
            if task.run is not None:
                row = RunningTask(str(task.name), task.run.number, "", percent)
                self.cluster_state.worker_reported(task.run.worker_id, [row], now)

    def finish(self, run: Run, now: float, how: EndKind = EndKind.DONE) -> None:
        end = EndedTask(1, str(run.task.name), run.number, how, "")
        self.cluster_state.run_ended(run.worker_id, end, now)

    def advance(self, now: float, stop_s: float = 0.2) -> None:
        """End the runs that are done or stopped by a time."""
        for worker in list(self.cluster_state.workers.values()):
            for run in list(worker.runs.values()):
                work_s = run.task.step.step.estimate_ms / 1000
                if run.stopping:
                    if now - self.stop_ordered.setdefault(run, now) >= stop_s:
                        self.finish(run, now, EndKind.STOPPED)
                elif run.started_s is not None and now - run.started_s >= work_s:
                    self.finish(run, now)

    def play(self, until_s: float, submit: Callable[[float], None], begin_s: float = 0.0) -> None:
        """Plan every half second, with new work before each round."""
        self.stop_ordered: dict[Run, float] = {}
        number = 0
        while (now := begin_s + number * ROUND_S) <= until_s:
            self.advance(now)
            submit(now)
            self.round(now)
            for stop in self.changes.stops:
                task = next(
                    run
                    for run in self.cluster_state.workers[stop.worker_id].runs.values()
                    if (run.task.name, run.number) == (stop.task, stop.number)
                )
                self.stop_ordered[task] = now
            number += 1


class KeptWorkersTest(CrowdCase):
    """Narrow work took each gap, so that a gang never found its workers free together."""

    def two_racks(self) -> tuple[StepState, StepState]:
        """Two racks full of bulk work; the work of the second one ends a little later."""
        self.workers(racks=2, each=2)
        first = [self.occupy(work(8, 1, 20.0), name) for name in ("w11", "w12")]
        second = [self.occupy(work(8, 1, 20.0), name) for name in ("w21", "w22")]
        return first[0], second[0]

    def gang(self, now: float = 0.0, **more: object) -> StepState:
        gang = work(2, 8, gang=True, same_rack=True)
        return self.submit(gang, priority=NORMAL, now=now, **more)  # type: ignore[arg-type]

    def kept_from(self, step: StepState) -> set[str]:
        kept = self.cluster_state.planner.kept_from(step)
        workers = self.cluster_state.workers.values()
        return {w.worker_id for w in workers if kept is not None and kept(w)}

    def test_the_same_workers_are_kept_while_work_elsewhere_ends(self) -> None:
        """An end on the other rack made that one fit sooner, and narrow work filled the first."""
        _, second = self.two_racks()
        self.gang()
        bulk = self.submit(work(1, 1))
        self.round(0.0)
        self.assertEqual(self.kept_from(bulk), {"w11", "w12"})
        self.report(second, 50, 1.0)
        self.finish(self.run_of(second), 1.0)
        self.round(1.0)
        self.assertEqual(self.kept_from(bulk), {"w11", "w12"})

    def test_off_they_change_with_each_end(self) -> None:
        self.use(enabled=False)
        _, second = self.two_racks()
        self.gang()
        bulk = self.submit(work(8, 8))
        self.round(0.0)
        self.assertEqual(self.kept_from(bulk), {"w11", "w12"})
        self.finish(self.run_of(second), 1.0)
        self.round(1.0)
        self.assertEqual(self.kept_from(bulk), {"w21", "w22"})

    def progress(self, first_percent: int, second_percent: int) -> set[str]:
        """Workers kept after progress on both racks, of which the second has one run less."""
        _, second = self.two_racks()
        self.gang()
        bulk = self.submit(work(8, 8))
        self.round(0.0)
        for each in self.cluster_state.jobs.values():
            step = each.occurrences[0].steps[0]
            run = step.tasks[0].run
            if run is not None:
                on_first = run.worker_id.startswith("w1")
                self.report(step, first_percent if on_first else second_percent, 5.0)
        self.finish(self.run_of(second), 5.0)
        self.round(5.0)
        return self.kept_from(bulk)

    def test_others_replace_them_only_if_available_within_half_the_time(self) -> None:
        self.assertEqual(self.progress(50, 60), {"w11", "w12"})
        self.use(enabled=True)
        self.assertEqual(self.progress(50, 70), {"w21", "w22"})

    def test_unusable_workers_are_replaced(self) -> None:
        self.two_racks()
        self.gang()
        bulk = self.submit(work(1, 1))
        self.round(0.0)
        self.cluster_state.workers["w11"].suspected = True
        self.round(0.5)
        self.assertEqual(self.kept_from(bulk), {"w21", "w22"})

    def test_a_cancelled_gang_frees_them_in_the_same_round(self) -> None:
        first, _ = self.two_racks()
        gang = self.gang()
        bulk = self.submit(work(1, 1))
        self.finish(self.run_of(first), 0.0)
        self.assertEqual(self.round(0.5), [])
        self.cluster_state.cancel(self.job_of(gang))
        self.assertEqual(self.round(0.6), [self.job_of(bulk)])

    def test_normal_work_is_held_back_too_and_the_reason_names_the_gang(self) -> None:
        first, _ = self.two_racks()
        self.gang()
        self.round(0.0)
        self.finish(self.run_of(first), 0.5)
        narrow = self.submit(work(1, 1), priority=NORMAL, now=0.5)
        bulk = self.submit(work(1, 1), now=0.5)
        self.assertEqual(self.round(0.5), [])
        waits = Diagnosis(self.cluster_state).scan(diagnosis_context(0.5, wall_ms=500.0)).waits
        reasons = {wait.job_id: wait.reason for wait in waits}
        self.assertEqual(reasons[self.job_of(narrow)], WaitReason.GANG_FIRST)
        self.assertEqual(reasons[self.job_of(bulk)], WaitReason.GANG_FIRST)

    def test_urgent_work_is_not_held_back(self) -> None:
        first, _ = self.two_racks()
        self.gang()
        self.round(0.0)
        self.finish(self.run_of(first), 0.5)
        urgent = self.submit(work(1, 1, 2.0), priority=URGENT, now=0.5)
        self.assertEqual(self.round(0.5), [self.job_of(urgent)])

    def test_the_gang_whose_slack_ends_first_comes_first(self) -> None:
        self.workers(racks=1, each=2)
        for name in ("w11", "w12"):
            self.occupy(work(8, 1, 20.0), name)
        loose = self.gang()
        self.round(0.0)
        tight = self.submit(work(2, 8, 1.0, gang=True, same_rack=True), priority=NORMAL, now=0.5)
        self.round(0.5)
        self.round(1.0)
        self.assertEqual(self.kept_from(tight), set())
        self.assertEqual(self.kept_from(loose), {"w11", "w12"})

    def test_an_older_step_of_the_same_priority_is_held_back_for_a_time_only(self) -> None:
        first, _ = self.two_racks()
        self.cluster_state.workers["w21"].suspected = True
        older = self.submit(work(1, 2), priority=NORMAL, now=0.0)
        self.gang(now=0.1)
        self.round(0.1)
        self.finish(self.run_of(first), 0.5)
        self.finish(first.tasks[1].run, 0.5)  # type: ignore[arg-type]
        self.assertEqual(self.round(0.1 + EQUAL_HELD_S), [])
        self.assertEqual(self.round(0.1 + EQUAL_HELD_S + MOMENT_S), [self.job_of(older)])

    def test_bulk_work_is_held_back_for_a_time_only(self) -> None:
        first, _ = self.two_racks()
        self.cluster_state.workers["w21"].suspected = True
        self.gang()
        bulk = self.submit(work(1, 1))
        self.round(0.0)
        self.finish(self.run_of(first), 0.5)
        self.assertEqual(self.round(LOWER_HELD_S), [])
        self.assertEqual(self.round(LOWER_HELD_S + MOMENT_S), [self.job_of(bulk)])

    def test_nothing_is_held_back_beside_an_idle_pool(self) -> None:
        self.workers(racks=1, each=4)
        self.occupy(work(7, 1, 20.0), "w11")
        self.submit(work(4, 8, gang=True, same_rack=True), priority=NORMAL)
        bulk = self.submit(work(1, 1))
        self.assertEqual(self.round(0.0), [self.job_of(bulk)])
