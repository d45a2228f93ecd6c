"""The stall detection of the simulation: the stalls that it finds and those that it explains.

Most tests make the planner skip one job for a while.
"""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from collections.abc import Collection, Iterator
from contextlib import contextmanager

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.step_placement import StepPlacement
from saddlestack.policy.stall import STALL_S
from saddlestack.standins.loop import WALL_EPOCH_S
from saddlestack.work import JobRequest, Step, TaskName
from tests.simulation.day import Day, day_of
from tests.simulation.jobs import OTHER_ACCOUNT, JobKinds
from tests.simulation.scene import BEGINS_S, JOB, OTHER, ROOM, SceneTest, job, tasks
from tests.simulation.standstills import LOOK_S, PoolView, Standstills
from tests.simulation.troubles import DOUBT_S, Rule
from tests.simulation.ways import ANY, STORE, Fault, SimOrders
from tests.simulation.workers import Plan, SimRun, SimWorker

SKIPPED_S = 5.0
SEED = 3
LOSS = 0.02
"""Share of lost calls: low enough that jobs are accepted and the leader stays the same."""


def after(step: Step, earlier: int) -> Step:
    """Return a step that waits for an earlier one."""
    return msgspec.structs.replace(step, after=(earlier,))


async def hanging(*args: object) -> None:
    """Never return, as an order that is never sent."""
    await asyncio.get_running_loop().create_future()


@contextmanager
def skipped_job(job_id: str, until: float) -> Iterator[None]:
    """Make the planner skip a job before a time."""
    plain = StepPlacement.place

    def place(self: StepPlacement, step: StepState, entitled: Collection[str], now: float) -> None:
        if step.occurrence.job.job_id != job_id or now >= until:
            plain(self, step, entitled, now)

    with unittest.mock.patch.object(StepPlacement, "place", place):
        yield


@contextmanager
def skipped_step(number: int, until: float) -> Iterator[None]:
    """Make the planner skip all steps with a number before a time."""
    plain = StepPlacement.place

    def place(self: StepPlacement, step: StepState, entitled: Collection[str], now: float) -> None:
        if step.number != number or now >= until:
            plain(self, step, entitled, now)

    with unittest.mock.patch.object(StepPlacement, "place", place):
        yield


class StallDetectionTest(SceneTest):
    """Twelve workers of eight accelerators in four racks, three VMs, and a stall detector."""

    def found_while_skipped(self, request: JobRequest, seconds: float = SKIPPED_S) -> Standstills:
        """The stalls found when the planner skips a job for ``seconds``."""
        with skipped_job(JOB, self.now + seconds):
            self.hand_in(request)
            return self.after(seconds + 1.0)

    def test_a_skipped_job_is_found(self) -> None:
        found = self.found_while_skipped(job(tasks(4)))
        self.assertEqual([each.job_id for each in found.unexplained], [JOB])
        standstill = found.unexplained[0]
        self.assertAlmostEqual(standstill.since_s, BEGINS_S, delta=2 * LOOK_S)
        self.assertAlmostEqual(found.longest_s, SKIPPED_S, delta=2 * LOOK_S)
        self.assertEqual(found.explained.total(), 0)

    def test_a_job_that_starts_is_not_found(self) -> None:
        self.hand_in(job(tasks(4)))
        found = self.after(SKIPPED_S)
        self.assertEqual(len(self.site.workers.history), 4)
        self.assertEqual((found.unexplained, found.explained.total()), ([], 0))

    def test_a_job_that_is_skipped_for_a_shorter_time_is_not_found(self) -> None:
        found = self.found_while_skipped(job(tasks(4)), STALL_S - 2 * LOOK_S)
        self.assertEqual(found.unexplained, [])

    def test_none_is_found_while_half_of_the_pool_is_used(self) -> None:
        self.hand_in(job(tasks(6, ROOM, long_running=True), work_s=60.0), OTHER, "urgent")
        self.after(1.0)
        self.assertEqual(self.found_while_skipped(job(tasks(4))).unexplained, [])

    def test_one_is_found_while_less_than_half_of_the_pool_is_used(self) -> None:
        self.hand_in(job(tasks(5, ROOM, long_running=True), work_s=60.0), OTHER, "urgent")
        self.after(1.0)
        self.assertEqual(len(self.found_while_skipped(job(tasks(4))).unexplained), 1)

    def test_none_is_found_without_twice_the_free_capacity(self) -> None:
        self.assertEqual(self.found_while_skipped(job(tasks(7, ROOM, gang=True))).unexplained, [])

    def test_a_gang_with_twice_its_capacity_free_is_found(self) -> None:
        self.assertEqual(
            len(self.found_while_skipped(job(tasks(6, ROOM, gang=True))).unexplained), 1
        )

    def test_a_job_counts_from_when_it_is_due(self) -> None:
        due_s = self.now + 4.0
        due_ms = round((WALL_EPOCH_S + due_s) * 1000)
        request = job(tasks(2), times=1, first_at_ms=due_ms, interval_ms=1000)
        found = self.found_while_skipped(request, 4.0 + SKIPPED_S)
        self.assertEqual(len(found.unexplained), 1)
        self.assertAlmostEqual(found.unexplained[0].since_s, due_s, delta=2 * LOOK_S)

    def test_a_step_counts_from_when_those_before_it_are_done(self) -> None:
        first = tasks(2)
        request = msgspec.structs.replace(job(first, work_s=3.0), steps=(first, after(first, 0)))
        with skipped_step(1, self.now + 3.0 + SKIPPED_S):
            self.hand_in(request)
            found = self.after(3.0 + SKIPPED_S + 1.0)
        self.assertEqual(len(found.unexplained), 1)
        self.assertAlmostEqual(found.unexplained[0].since_s, BEGINS_S + 3.0, delta=2 * LOOK_S)

    def test_a_run_that_is_shorter_than_the_scan_interval_counts(self) -> None:
        steps = tuple(tasks(1) if not n else after(tasks(1), n - 1) for n in range(3))
        request = msgspec.structs.replace(job(steps[0], work_s=0.02), steps=steps)
        with skipped_job(JOB, self.now + STALL_S - 2 * LOOK_S):
            self.hand_in(request)
            self.after(STALL_S - 2 * LOOK_S)
        with skipped_step(1, self.now + STALL_S - 2 * LOOK_S):
            found = self.after(SKIPPED_S)
        self.assertEqual(len(self.site.workers.begun), 3)
        self.assertEqual(found.unexplained, [])

    def test_a_finished_job_is_not_found_after_its_removal(self) -> None:
        self.hand_in(job(tasks(2)))
        self.after(3.0)
        leader = self.leader
        assert leader.entry is not None
        assert leader.entry.scheduler is not None
        leader.entry.scheduler.cluster_state.remove_job(JOB)
        self.assertEqual(self.after(SKIPPED_S).unexplained, [])

    def test_a_fault_of_the_link_to_the_store_explains_a_stall(self) -> None:
        leader = self.leader
        self.site.ways.add(Fault("lossy", leader.name, STORE, self.now + SKIPPED_S, LOSS))
        found = self.found_while_skipped(job(tasks(4)))
        self.assertEqual(found.unexplained, [])
        self.assertEqual(found.explained, {Rule.STORE.value: 1})

    def test_one_that_outlasts_the_fault_of_the_link_to_the_store_is_found(self) -> None:
        leader = self.leader
        over_s = self.now + 2.0
        self.site.ways.add(Fault("lossy", leader.name, STORE, over_s, LOSS))
        found = self.found_while_skipped(job(tasks(4)), 2.0 + SKIPPED_S)
        self.assertEqual(len(found.unexplained), 1)
        self.assertAlmostEqual(found.unexplained[0].since_s, over_s, delta=2 * LOOK_S)

    def test_a_slow_link_to_the_store_with_answers_in_time_explains_nothing(self) -> None:
        leader = self.leader
        self.site.ways.add(Fault("slow", leader.name, STORE, self.now + SKIPPED_S, 0.05))
        self.assertEqual(len(self.found_while_skipped(job(tasks(4))).unexplained), 1)

    def test_a_fault_of_a_vm_that_does_not_lead_explains_nothing(self) -> None:
        leader = self.leader
        other = next(vm for vm in self.site.vms.values() if vm is not leader)
        self.site.ways.add(Fault("cut", other.name, STORE, self.now + SKIPPED_S))
        with skipped_job(JOB, self.now + SKIPPED_S):
            self.jobs[JOB] = ("normal", job(tasks(4)))
            self.site.submit(leader, JOB, *self.jobs[JOB])
            found = self.after(SKIPPED_S + 1.0)
        self.assertEqual(len(found.unexplained), 1)

    def test_a_run_on_a_crashed_worker_explains_until_its_lease_has_expired(self) -> None:
        self.hand_in(job(tasks(1), work_s=60.0))
        self.after(2.0)
        self.crash_worker_of(JOB)
        found = self.after(DOUBT_S + STALL_S)
        self.assertEqual(found.unexplained, [])
        self.assertEqual(found.explained, {Rule.DOUBT.value: 1})

    def test_a_crashed_worker_explains_no_longer_than_leases_hold(self) -> None:
        self.hand_in(job(tasks(1), work_s=60.0))
        self.after(20.0)
        crashed_s = self.now
        self.crash_worker_of(JOB)
        with skipped_job(JOB, crashed_s + DOUBT_S + 6.0):
            found = self.after(DOUBT_S + 6.0)
        self.assertEqual(len(found.unexplained), 1)
        self.assertGreaterEqual(found.unexplained[0].since_s, crashed_s + DOUBT_S)

    def test_a_run_that_a_lost_leader_assigned_and_did_not_order_explains(self) -> None:
        with unittest.mock.patch.object(SimOrders, "start", hanging):
            self.hand_in(job(tasks(1), work_s=60.0))
            self.after(0.2)
        self.assertEqual(self.site.workers.begun, [])
        given = next(iter(self.site.workers.lives.values()))
        self.site.ways.add(Fault("cut", ANY, given.worker_id, self.now + 30.0))
        self.site.kill(self.leader.name)
        found = self.after(10.0)
        self.assertEqual(found.unexplained, [])
        self.assertEqual(found.explained[Rule.DOUBT.value], 1)

    def test_a_crashed_worker_explains_nothing_of_a_job_without_runs_there(self) -> None:
        self.hand_in(job(tasks(1), work_s=60.0), OTHER)
        self.after(2.0)
        self.crash_worker_of(OTHER)
        self.assertEqual(
            [e.job_id for e in self.found_while_skipped(job(tasks(4))).unexplained], [JOB]
        )

    def test_allocations_on_unreachable_workers_explain_if_they_are_half_of_all(self) -> None:
        self.hand_in(job(tasks(6, ROOM, long_running=True), work_s=60.0), OTHER, "urgent")
        self.after(1.0)
        leader = self.leader
        for run in self.site.workers.begun:
            way = run.worker.worker_id
            self.site.ways.add(Fault("lossy", leader.name, way, self.now + SKIPPED_S, LOSS))
        found = self.found_while_skipped(job(tasks(4)))
        self.assertEqual(found.unexplained, [])
        self.assertEqual(found.explained, {Rule.OUT_OF_REACH.value: 1})

    def test_workers_that_share_an_address_are_not_counted(self) -> None:
        for life in list(self.site.workers.lives.values()):
            self.site.world.call_soon(self.site.add_worker, life.rack, life.hall, life.address)
        self.assertEqual(self.found_while_skipped(job(tasks(4))).unexplained, [])


class FreeCapacityTest(unittest.TestCase):
    """Free capacity for gangs of one rack and for steps with a limit per worker."""

    def test_a_gang_of_one_rack_needs_its_capacity_in_one_rack(self) -> None:
        split = [worker(f"r{number}-1", used=3) for number in range(4)]
        self.assertFalse(pool(*split).has_free_capacity(tasks(2, 4, gang=True, same_rack=True)))
        self.assertTrue(pool(*split).has_free_capacity(tasks(2, 4, gang=True)))

    def test_a_gang_of_one_rack_needs_twice_its_capacity_in_the_pool(self) -> None:
        racks = [worker("r1-1"), worker("r1-1"), worker("r2-1")]
        gang = tasks(2, ROOM, gang=True, same_rack=True)
        self.assertFalse(pool(*racks).has_free_capacity(gang))
        self.assertTrue(pool(*racks, worker("r3-1")).has_free_capacity(gang))

    def test_no_more_tasks_fit_on_a_worker_than_its_step_allows(self) -> None:
        step = msgspec.structs.replace(tasks(4), per_worker=1)
        self.assertFalse(pool(worker("r1-1")).has_free_capacity(step))
        self.assertTrue(pool(worker("r1-1"), worker("r1-1")).has_free_capacity(step))

    def test_a_worker_that_no_start_reaches_counts_as_usage_but_not_as_capacity(self) -> None:
        reached, cut_off = [worker("r1-1")], [worker("r2-1")]
        self.assertFalse(PoolView([*reached, *cut_off], reached).has_free_capacity(tasks(1, ROOM)))
        self.assertTrue(PoolView([*reached, *cut_off], reached).has_free_capacity(tasks(1)))
        held = [worker("r2-1", ROOM)]
        self.assertFalse(PoolView([*reached, *held], reached).has_free_capacity(tasks(1)))

    def test_a_pool_without_workers_has_no_free_capacity(self) -> None:
        self.assertFalse(pool().has_free_capacity(tasks(1)))


def pool(*workers: SimWorker) -> PoolView:
    """Return a pool of workers that all serve."""
    return PoolView(list(workers), list(workers))


def worker(rack: str, used: int = 0) -> SimWorker:
    """Return a worker of eight accelerators, some of them in use."""
    made = SimWorker("i-1", "127.0.0.1:1", rack, "hall-1", ROOM, 1.0, 0.0)
    if used:
        name = TaskName(OTHER, 0, 0, 0)
        run = SimRun(name, 1, made, Plan(1.0, used), "entry-1", 1, 0.0, 0.0)
        made.runs[(name, 1)] = run
    return made


class DayTest(unittest.TestCase):
    """Stall detection as part of a day, and the kinds of jobs and faults that are named."""

    def test_an_unexplained_stall_is_a_violation_of_its_day(self) -> None:
        with unittest.mock.patch.object(StepPlacement, "place", lambda *args: None):
            verdict = day_of(SEED, 6.0, calm=True).play()
        self.assertTrue(verdict.standstills.unexplained)
        self.assertEqual(verdict.broken, [str(e) for e in verdict.standstills.unexplained])

    def test_a_day_without_faults_has_no_stall(self) -> None:
        verdict = day_of(SEED, 6.0, calm=True).play()
        self.assertEqual(verdict.broken, [])
        self.assertGreater(verdict.starts, 0)

    def test_jobs_near_data_name_a_rack_of_the_day(self) -> None:
        day = self.played(JobKinds(frozenset({"near"})))
        racks = {each.rack for each in day.site.workers.lives.values()}
        steps = [request.steps[0] for _, request in day.jobs.values()]
        near = {step.data_rack for step in steps if step.data_rack}
        self.assertTrue(near)
        self.assertLessEqual(near, racks)

    def test_gangs_of_one_rack_fit_into_one(self) -> None:
        day = self.played(JobKinds(frozenset({"rack_gangs"})))
        gangs = [r.steps[0] for _, r in day.jobs.values() if r.steps[0].same_rack]
        self.assertTrue(gangs)
        for step in gangs:
            self.assertLessEqual(step.count * step.needs.accelerators, 2 * ROOM)

    def test_some_jobs_have_a_limit_per_worker(self) -> None:
        day = self.played(JobKinds(frozenset({"per_worker"})))
        self.assertTrue(any(r.steps[0].per_worker for _, r in day.jobs.values()))

    def test_failing_jobs_are_those_of_one_client_account(self) -> None:
        day = self.played(JobKinds(failing=0.5))
        others = {job_id for job_id, account in day.accounts.items() if account == OTHER_ACCOUNT}
        self.assertTrue(others)
        self.assertLess(others, day.jobs.keys())
        for job_id in others:
            plan = msgspec.json.decode(day.jobs[job_id][1].payload, type=Plan)
            self.assertEqual(plan.failures, 1)

    def test_failing_workers_and_hanging_work_violate_no_other_invariant(self) -> None:
        day = day_of(SEED, 8.0, ["grey", "hang", "failing"])
        verdict = day.play()
        violations = [text for text in verdict.broken if not text.startswith("stands still")]
        self.assertEqual(violations, [])
        runs = [run for each in day.site.workers.history.values() for run in each]
        self.assertTrue(any(run.how is EndKind.FAILED for run in runs))

    def played(self, kinds: JobKinds) -> Day:
        day = day_of(SEED, 8.0, calm=True, kinds=kinds)
        day.play()
        return day


if __name__ == "__main__":
    unittest.main()
