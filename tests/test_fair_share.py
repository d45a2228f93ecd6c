"""Fair share of normal and bulk work among client accounts that compete in bursts."""

from __future__ import annotations

import unittest

from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.policy.cluster.fair_share import AGED_S, WORTHLESS_HELD_S
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.jobs import StepState
from tests.test_cluster_state import BULK, NORMAL, URGENT, record
from tests.test_slack import MOMENT_S, ROUND_S, ContentionCase, work


class FairShareCase(ContentionCase):
    """Workers with room for one job each. None is empty, so the headroom does not count."""

    def use(self, *, enabled: bool, workers: int = 2) -> None:
        super().use(enabled=enabled)
        self.accounts: dict[str, str] = {}
        for number in range(workers):
            self.add_worker(f"w{number}")

    def add_worker(self, name: str) -> None:
        """Add a worker with seven accelerators left beside a long urgent run."""
        self.cluster_state.set_worker(record(name), 0.0)
        self.occupy(work(1, 1, 600.0), name, priority=URGENT)

    def submit_for(self, account: str, count: int = 1, **more: object) -> list[StepState]:
        """Accept jobs of one task of seven accelerators each."""
        steps = []
        for _ in range(count):
            step = self.submit(work(1, 7), account=account, **more)  # type: ignore[arg-type]
            self.accounts[step.occurrence.job.job_id] = account
            steps.append(step)
        return steps

    def starts(self, now: float) -> list[str]:
        """Accounts whose jobs start in a round, in order."""
        return [self.accounts[job_id] for job_id in self.round(now)]

    def finish(self, step: StepState, how: EndKind = EndKind.DONE, now: float = 1.0) -> None:
        run = step.tasks[0].run
        assert run is not None
        end = EndedTask(1, str(run.task.name), run.number, how, "")
        self.cluster_state.run_ended(run.worker_id, end, now)


class OrderTest(FairShareCase):
    def test_a_burst_of_one_account_does_not_take_everything(self) -> None:
        """The first account to hand in its burst used to fill the pool."""
        for enabled, expected in ((True, ["a", "b"]), (False, ["a", "a"])):
            self.use(enabled=enabled)
            self.submit_for("a", 4)
            self.submit_for("b", 4)
            self.assertEqual(self.starts(0.0)[:2], expected)

    def test_the_account_that_holds_the_fewest_goes_first(self) -> None:
        self.submit_for("a", 2)
        self.round(0.0)
        later = self.submit_for("a", 1) + self.submit_for("b", 1)
        self.add_worker("w13")
        self.assertEqual(self.starts(1.0), ["b"])
        self.assertIsNone(later[0].tasks[0].run)

    def test_what_an_account_holds_of_another_priority_does_not_count(self) -> None:
        self.submit_for("a", 2, priority=URGENT)
        self.round(0.0)
        self.submit_for("a", 1)
        self.submit_for("b", 1)
        self.add_worker("w13")
        self.assertEqual(self.starts(1.0), ["a"])

    def test_a_higher_priority_goes_first_whatever_its_account_holds(self) -> None:
        self.submit_for("a", 2, priority=NORMAL)
        self.round(0.0)
        self.submit_for("b", 1, priority=BULK)
        self.submit_for("a", 1, priority=NORMAL)
        self.add_worker("w13")
        self.assertEqual(self.starts(1.0), ["a"])

    def test_urgent_work_keeps_its_order(self) -> None:
        self.submit_for("a", 2, priority=URGENT)
        self.submit_for("b", 2, priority=URGENT)
        self.assertEqual(self.starts(0.0), ["a", "a"])

    def test_ends_count_at_once(self) -> None:
        first, second = self.submit_for("a", 2)
        self.round(0.0)
        self.finish(first)
        self.finish(second, EndKind.STOPPED)
        self.submit_for("b", 1)
        self.submit_for("a", 1)
        self.assertEqual(sorted(self.starts(1.0)), ["a", "b"])

    def test_runs_that_lapse_are_held_no_more(self) -> None:
        """A leader that missed an end would push the account back for the rest of its term."""
        self.submit_for("a", 2)
        self.round(0.0)
        for name in ("w0", "w1"):
            self.cluster_state.worker_ended(name, IncarnationEnd(0.0, 1.0))
        self.assertEqual(sum(self.cluster_state._usage._held.values()), 0)


class AgeTest(FairShareCase):
    def wait(self, until_s: float) -> list[str]:
        """Accounts in order of start once one worker is free after a wait.

        ``a`` holds the pool and was first in line, ``b`` came later.
        """
        self.use(enabled=True)
        running = self.submit_for("a", 2)
        self.round(0.0)
        self.submit_for("a", 1)
        self.round(ROUND_S)
        self.submit_for("b", 1, now=1.0)
        self.round(1.0)
        self.finish(running[0], now=until_s)
        return self.starts(until_s)

    def test_a_step_that_has_waited_for_long_goes_first(self) -> None:
        self.assertEqual(self.wait(ROUND_S + AGED_S), ["b"])
        self.assertEqual(self.wait(ROUND_S + MOMENT_S + AGED_S), ["a"])

    def test_steps_that_have_waited_for_long_go_by_acceptance(self) -> None:
        self.assertEqual(self.wait(1.0 + AGED_S + MOMENT_S), ["a"])

    def test_a_job_past_any_value_goes_last_for_a_time_only(self) -> None:
        """Work of 6 s with a target of 3 s earns nothing after 63 s."""
        for past_s, expected in (
            (0.0, "late"),
            (MOMENT_S, "fresh"),
            (WORTHLESS_HELD_S, "fresh"),
            (WORTHLESS_HELD_S + MOMENT_S, "late"),
        ):
            self.use(enabled=True, workers=1)
            now = 63.0 + past_s
            late = self.submit_for("late", 1, now=0.0)[0]
            late.waiting_since_s = 0.0
            self.submit_for("fresh", 1, now=now)
            self.assertEqual(self.starts(now), [expected], past_s)

    def test_every_job_starts_while_others_keep_coming(self) -> None:
        """An account that always holds the fewest must not keep the others from ever starting."""
        steps = self.submit_for("a", 6)
        longest_s = 0.0
        for number in range(400):
            now = number * ROUND_S
            for worker in self.cluster_state.workers.values():
                for run in list(worker.runs.values()):
                    if run.started_s is not None and now - run.started_s >= 2.0:
                        self.finish(run.task.step, now=now)
            if number % 8 == 0 and now < 100:
                account = f"other-{number}"
                steps += self.submit_for(account, 2, now=now)
            self.round(now)
            waiting = [step for step in steps if not step.finished and step.tasks[0].run is None]
            longest_s = max([longest_s, *(step.waited_s(now) for step in waiting)])
        self.assertEqual([step for step in steps if not step.finished], [])
        self.assertLess(longest_s, 30.0)


class CancelledTest(FairShareCase):
    def test_reserved_room_of_a_cancelled_job_is_planned_in_the_same_round(self) -> None:
        """Room kept for a cancelled job stood empty until the reservation expired."""
        self.occupy(work(1, 7, 60.0), "w0")
        self.occupy(work(3, 1, 60.0), "w1")
        urgent = self.submit(work(2, 7, 2.0, gang=True), priority=URGENT)
        bulk = self.submit(work(1, 4))
        self.assertEqual(self.round(0.0), [])
        self.cluster_state.cancel(urgent.occurrence.job.job_id)
        self.assertEqual(self.round(0.1), [bulk.occurrence.job.job_id])

    def test_a_start_that_was_not_yet_ordered_frees_its_room_at_once(self) -> None:
        first = self.submit_for("a", 2)
        second = self.submit_for("b", 1)[0]
        self.cluster_state.plan(0.0, 0.0)
        run = first[0].tasks[0].run
        assert run is not None
        self.cluster_state.cancel(first[0].occurrence.job.job_id)
        self.cluster_state.run_not_started(run)
        self.cluster_state.plan(0.0, 0.0)
        self.assertIsNotNone(second.tasks[0].run)


if __name__ == "__main__":
    unittest.main()
