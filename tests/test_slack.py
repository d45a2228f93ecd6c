"""Slack of steps, and the headroom that opens to normal gangs by it."""

from __future__ import annotations

from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.jobs import StepState, new_job
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.slack import Slack
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.wait_limits import HEADROOM_WAIT_S
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step
from tests.test_cluster_state import BULK, NORMAL, SERVICE, URGENT, ClusterCase
from tests.test_diagnosis import diagnosis_context

STRETCH = {URGENT: 1.5, NORMAL: 3.0, BULK: 3.0}
TARGET_MS = {URGENT: 300.0, NORMAL: 1_000.0, BULK: 3_000.0}
WORK_S = 6.0
ROUND_S = 0.5
MOMENT_S = 0.01
EPOCH_S = 1_000.0
"""The wall clock when the monotonic clock is at 0; jobs may be accepted before that."""


def work(count: int, accelerators: int, work_s: float | None = WORK_S, **more: object) -> Step:
    """A step of tasks that work for some time, with a correct estimate."""
    needs = Resources(1000, 1000, accelerators)
    estimate_ms = round((work_s or 0) * 1000)
    return Step(count=count, needs=needs, estimate_ms=estimate_ms, **more)  # type: ignore[arg-type]


class ContentionCase(ClusterCase):
    """A cluster state with the option on, whose wall clock equals its monotonic clock."""

    ENABLED = True

    def setUp(self) -> None:
        super().setUp()
        self.use(enabled=self.ENABLED)

    def use(self, *, enabled: bool, min_workers: int = 0) -> None:
        """Begin anew, with the option on or off."""
        options = SchedulingOptions(gang_priority=enabled, gang_priority_min_workers=min_workers)
        self.cluster_state = ClusterState(options)
        self.jobs = 0

    def submit(
        self,
        *steps: Step,
        priority: int = BULK,
        account: str = "depots",
        now: float = 0.0,
        attempts: int = 3,
    ) -> StepState:
        """Accept a job with the objective of its priority; returns its first step."""
        self.jobs += 1
        accepted = accepted_job(
            f"{self.jobs:016x}", steps, priority, account=account, now=now, attempts=attempts
        )
        return self.cluster_state.add_job(accepted, {}).occurrences[0].steps[0]

    def round(self, now: float) -> list[str]:
        """Run a round and confirm its starts; returns the jobs that start, in order."""
        self.cluster_state.plan(now, wall_ms(now))
        self.changes = self.cluster_state.take_changes()
        for start in self.changes.starts:
            self.cluster_state.run_started(start.run, now)
        started = [start.run.task.name.job_id for start in self.changes.starts]
        return list(dict.fromkeys(started))

    def occupy(
        self,
        job: Step,
        worker_id: str,
        *,
        priority: int = BULK,
        now: float = 0.0,
        accepted_s: float | None = None,
    ) -> StepState:
        """Run a job on one worker, whatever the rules would prefer."""
        since_s = now if accepted_s is None else accepted_s
        step = self.submit(job, priority=priority, now=since_s)
        for task in step.tasks:
            self.cluster_state.assign(task, self.cluster_state.workers[worker_id], 1, now)
            assert task.run is not None
            self.cluster_state.run_started(task.run, now)
        self.cluster_state.take_changes()
        return step


def wall_ms(now: float) -> float:
    """The wall clock at a time of the monotonic clock."""
    return (EPOCH_S + now) * 1000


def accepted_job(
    job_id: str,
    steps: tuple[Step, ...],
    priority: int,
    *,
    account: str = "depots",
    now: float = 0.0,
    attempts: int = 3,
) -> AcceptedJob:
    return AcceptedJob(
        job_id=job_id,
        account=account,
        queue="q",
        service=SERVICE,
        priority=priority,
        attempts=attempts,
        accepted_ms=round(wall_ms(now)),
        request=JobRequest(payload="", steps=steps),
        stretch=STRETCH[priority],
        target_ms=TARGET_MS[priority],
    )


class SlackTest(ContentionCase):
    def slack(self, step: StepState, now: float) -> float | None:
        slack = Slack()
        slack.begin_round(now, wall_ms(now))
        return slack.slack_s(step)

    def first(self, *steps: Step, now: float = 0.0) -> StepState:
        return new_job(accepted_job("1", steps, NORMAL, now=now), {}).occurrences[0].steps[0]

    def test_slack_is_what_the_objective_leaves_beside_the_work(self) -> None:
        step = self.first(work(2, 8), now=10.0)
        self.assertAlmostEqual(self.slack(step, 10.0) or 0, 13.0)
        self.assertAlmostEqual(self.slack(step, 23.0) or 0, 0.0)
        self.assertAlmostEqual(self.slack(step, 25.0) or 0, -2.0)

    def test_the_longest_chain_counts(self) -> None:
        """A short first step must not look as if its job had little to do."""
        first = self.first(
            work(1, 1, 1.0), work(1, 1, 4.0, after=(0,)), work(1, 1, 2.0, after=(0,))
        )
        self.assertAlmostEqual(self.slack(first, 0.0) or 0, 3 * 5 + 1 - 5)
        later = first.occurrence.steps[2]
        self.assertAlmostEqual(self.slack(later, 0.0) or 0, 3 * 5 + 1 - 2)

    def test_slack_is_unknown_without_work_of_every_step(self) -> None:
        self.assertIsNone(self.slack(self.first(work(1, 1, None)), 0.0))
        self.assertIsNone(self.slack(self.first(work(1, 1), work(1, 1, None)), 0.0))
        self.assertIsNone(self.slack(self.first(work(1, 1, long_running=True)), 0.0))

    def test_a_wall_clock_that_was_ahead_gives_no_endless_slack(self) -> None:
        """A job that was accepted by a clock an hour ahead would otherwise never become due."""
        step = self.first(work(2, 8), now=3_600.0)
        step.waiting_since_s = 0.0
        self.assertAlmostEqual(self.slack(step, 12.0) or 0, 1.0)

    def test_worthless_past_three_times_the_objective(self) -> None:
        step = self.first(work(2, 8))
        slack = Slack()
        for now, expected in ((57.0, None), (58.0, 1.0)):
            slack.begin_round(now, wall_ms(now))
            self.assertEqual(slack.worthless_for_s(step), expected)


class HeadroomBySlackTest(ContentionCase):
    """Normal gangs waited 15 s beside empty workers that were kept for urgent work."""

    def crowd(self, *, enabled: bool, min_workers: int = 0) -> None:
        """Four workers, of which bulk work fills all but one; that one is the headroom."""
        self.use(enabled=enabled, min_workers=min_workers)
        self.workers(each=4)
        for worker_id in ("w11", "w12", "w13"):
            self.occupy(work(8, 1, 60.0), worker_id)

    def first_start_s(self, gang: Step, *, enabled: bool, priority: int = NORMAL) -> float | None:
        """When a gang that is submitted at 0 s starts, by rounds of half a second."""
        self.crowd(enabled=enabled)
        step = self.submit(gang, priority=priority)
        for number in range(41):
            if step.occurrence.job.job_id in self.round(number * ROUND_S):
                return number * ROUND_S
        return None

    def test_the_headroom_opens_once_slack_is_below_the_work(self) -> None:
        gang = work(2, 4, gang=True)
        self.assertEqual(self.first_start_s(gang, enabled=False), 15.5)
        self.assertEqual(self.first_start_s(gang, enabled=True), 7.5)

    def test_a_pool_below_the_minimum_decides_as_without_the_option(self) -> None:
        """In a pool of few racks the workers kept for gangs left urgent work without a rack."""
        for min_workers, starts in ((4, True), (5, False)):
            self.crowd(enabled=True, min_workers=min_workers)
            step = self.submit(work(2, 4, gang=True), priority=NORMAL)
            self.assertEqual(self.round(0.0), [])
            expected = [step.occurrence.job.job_id] if starts else []
            self.assertEqual(self.round(7.5), expected)

    def test_the_threshold_is_the_work_from_both_sides(self) -> None:
        self.crowd(enabled=True)
        step = self.submit(work(2, 4, gang=True), priority=NORMAL)
        self.assertEqual(self.round(0.0), [])
        self.assertEqual(self.round(7.0), [])
        self.assertEqual(self.round(7.0 + MOMENT_S), [step.occurrence.job.job_id])

    def test_the_threshold_is_two_seconds_for_short_work(self) -> None:
        self.crowd(enabled=True)
        step = self.submit(work(2, 4, 1.0, gang=True), priority=NORMAL)
        self.assertEqual(self.round(0.0), [])
        self.assertEqual(self.round(1.0), [])
        self.assertEqual(self.round(1.0 + MOMENT_S), [step.occurrence.job.job_id])

    def test_a_gang_with_long_work_waits_no_longer_than_before(self) -> None:
        self.assertEqual(self.first_start_s(work(2, 4, 60.0, gang=True), enabled=True), 15.5)

    def test_other_work_waits_as_before(self) -> None:
        for job, priority in (
            (work(2, 4, gang=True), BULK),
            (work(2, 4, None, gang=True), NORMAL),
            (work(1, 8), NORMAL),
            (work(2, 4, gang=True, once=True), NORMAL),
        ):
            for enabled in (False, True):
                found = self.first_start_s(job, enabled=enabled, priority=priority)
                self.assertEqual(found, 15.5, (job, enabled))

    def headroom_until_s(self, job: Step, *, enabled: bool = True) -> float | None:
        """When the wait of a normal job on the headroom ends at the latest, by the diagnosis."""
        self.crowd(enabled=enabled)
        self.submit(job, priority=NORMAL)
        self.round(0.0)
        context = diagnosis_context(0.2, wall_ms=wall_ms(0.2), planned_s=0.0)
        (wait,) = Diagnosis(self.cluster_state).scan(context).waits
        self.assertEqual(wait.reason, WaitReason.HEADROOM)
        return wait.until_s

    def test_the_diagnosis_states_when_the_headroom_opens(self) -> None:
        """It stated the end of the fixed wait, although a gang starts when its slack runs out."""
        self.assertAlmostEqual(self.headroom_until_s(work(2, 4, gang=True)) or 0, 7.0)
        self.assertAlmostEqual(self.headroom_until_s(work(2, 4, 1.0, gang=True)) or 0, 1.0)
        for job, enabled in (
            (work(2, 4, gang=True), False),
            (work(2, 4, 60.0, gang=True), True),
            (work(2, 4, None, gang=True), True),
            (work(2, 4, gang=True, once=True), True),
        ):
            found = self.headroom_until_s(job, enabled=enabled)
            self.assertEqual(found, HEADROOM_WAIT_S, (job, enabled))

    def test_a_gang_past_any_value_does_not_get_the_headroom_by_slack(self) -> None:
        for accepted_s, expected in ((-57.0, 1), (-58.0, 0)):
            self.crowd(enabled=True)
            self.submit(work(2, 4, gang=True), priority=NORMAL, now=accepted_s)
            self.assertEqual(len(self.round(0.0)), expected)

    def test_a_gang_of_the_same_shape_with_more_slack_does_not_close_it(self) -> None:
        """The shape of the first one is recorded as kept from the headroom for the round."""
        self.crowd(enabled=True)
        self.submit(work(2, 4, gang=True), priority=NORMAL, account="a", now=0.0)
        other = self.submit(work(2, 4, 1.0, gang=True), priority=NORMAL, account="b", now=0.0)
        self.round(0.0)
        self.assertEqual(self.round(3.0), [other.occurrence.job.job_id])

    def test_urgent_work_gets_the_headroom_back_from_a_gang(self) -> None:
        self.crowd(enabled=True)
        gang = self.submit(work(2, 4, gang=True), priority=NORMAL)
        self.round(0.0)
        self.round(8.0)
        self.assertIsNotNone(gang.tasks[0].run)
        self.submit(work(1, 8, 2.0), priority=URGENT, now=9.0)
        self.round(9.0)
        self.assertTrue(self.changes.stops)
