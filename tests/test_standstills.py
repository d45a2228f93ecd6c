"""The simulation's judge of work that stands still: what it finds, and what it explains.

The judge looks at a deployment whose planner passes over one job for a while.
"""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.planner import Planner
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
"""So few calls get lost that jobs are accepted and the leader stays the same."""


def after(step: Step, earlier: int) -> Step:
    """A step that waits for an earlier one."""
    return msgspec.structs.replace(step, after=(earlier,))


async def hanging(*args: object) -> None:
    """An order that does not leave."""
    await asyncio.get_running_loop().create_future()


@contextmanager
def passed_over(job_id: str, until: float) -> Iterator[None]:
    """The planner does not look at a job before some time."""
    plain = Planner._place

    def place(self: Planner, step: StepState, entitled: set[str], now: float) -> None:
        if step.occurrence.job.job_id != job_id or now >= until:
            plain(self, step, entitled, now)

    with unittest.mock.patch.object(Planner, "_place", place):
        yield


@contextmanager
def passed_over_step(number: int, until: float) -> Iterator[None]:
    """The planner does not look at steps of a number before some time."""
    plain = Planner._place

    def place(self: Planner, step: StepState, entitled: set[str], now: float) -> None:
        if step.number != number or now >= until:
            plain(self, step, entitled, now)

    with unittest.mock.patch.object(Planner, "_place", place):
        yield


class JudgeTest(SceneTest):
    """Twelve workers of eight accelerators in four racks, three VMs, and the judge."""

    def held_up(self, request: JobRequest, seconds: float = SKIPPED_S) -> Standstills:
        """What is found where a job is passed over for so long."""
        with passed_over(JOB, self.now + seconds):
            self.hand_in(request)
            return self.after(seconds + 1.0)

    def test_a_job_that_is_passed_over_is_found(self) -> None:
        found = self.held_up(job(tasks(4)))
        self.assertEqual([each.job_id for each in found.unexplained], [JOB])
        standstill = found.unexplained[0]
        self.assertAlmostEqual(standstill.since_s, BEGINS_S, delta=2 * LOOK_S)
        self.assertAlmostEqual(found.longest_s, SKIPPED_S, delta=2 * LOOK_S)
        self.assertEqual(found.explained.total(), 0)

    def test_a_job_that_starts_is_none(self) -> None:
        self.hand_in(job(tasks(4)))
        found = self.after(SKIPPED_S)
        self.assertEqual(len(self.site.workers.history), 4)
        self.assertEqual((found.unexplained, found.explained.total()), ([], 0))

    def test_a_job_that_is_passed_over_for_less_is_none(self) -> None:
        found = self.held_up(job(tasks(4)), STALL_S - 2 * LOOK_S)
        self.assertEqual(found.unexplained, [])

    def test_beside_a_pool_that_is_half_used_none_is_found(self) -> None:
        self.hand_in(job(tasks(6, ROOM, long_running=True), work_s=60.0), OTHER, "urgent")
        self.after(1.0)
        self.assertEqual(self.held_up(job(tasks(4))).unexplained, [])

    def test_beside_a_pool_that_is_used_by_less_than_half_one_is_found(self) -> None:
        self.hand_in(job(tasks(5, ROOM, long_running=True), work_s=60.0), OTHER, "urgent")
        self.after(1.0)
        self.assertEqual(len(self.held_up(job(tasks(4))).unexplained), 1)

    def test_without_room_twice_over_none_is_found(self) -> None:
        self.assertEqual(self.held_up(job(tasks(7, ROOM, gang=True))).unexplained, [])

    def test_a_gang_with_room_twice_over_is_found(self) -> None:
        self.assertEqual(len(self.held_up(job(tasks(6, ROOM, gang=True))).unexplained), 1)

    def test_a_job_counts_from_when_it_is_due(self) -> None:
        due_s = self.now + 4.0
        due_ms = round((WALL_EPOCH_S + due_s) * 1000)
        request = job(tasks(2), times=1, first_at_ms=due_ms, interval_ms=1000)
        found = self.held_up(request, 4.0 + SKIPPED_S)
        self.assertEqual(len(found.unexplained), 1)
        self.assertAlmostEqual(found.unexplained[0].since_s, due_s, delta=2 * LOOK_S)

    def test_a_step_counts_from_when_those_before_it_are_done(self) -> None:
        first = tasks(2)
        request = msgspec.structs.replace(job(first, work_s=3.0), steps=(first, after(first, 0)))
        with passed_over_step(1, self.now + 3.0 + SKIPPED_S):
            self.hand_in(request)
            found = self.after(3.0 + SKIPPED_S + 1.0)
        self.assertEqual(len(found.unexplained), 1)
        self.assertAlmostEqual(found.unexplained[0].since_s, BEGINS_S + 3.0, delta=2 * LOOK_S)

    def test_a_run_that_is_shorter_than_the_gap_between_looks_counts(self) -> None:
        steps = tuple(tasks(1) if not n else after(tasks(1), n - 1) for n in range(3))
        request = msgspec.structs.replace(job(steps[0], work_s=0.02), steps=steps)
        with passed_over(JOB, self.now + STALL_S - 2 * LOOK_S):
            self.hand_in(request)
            self.after(STALL_S - 2 * LOOK_S)
        with passed_over_step(1, self.now + STALL_S - 2 * LOOK_S):
            found = self.after(SKIPPED_S)
        self.assertEqual(len(self.site.workers.begun), 3)
        self.assertEqual(found.unexplained, [])

    def test_a_job_that_is_over_is_none_after_it_was_forgotten(self) -> None:
        self.hand_in(job(tasks(2)))
        self.after(3.0)
        leader = self.leader
        assert leader.entry is not None
        assert leader.entry.scheduler is not None
        leader.entry.scheduler.cluster_state.remove_job(JOB)
        self.assertEqual(self.after(SKIPPED_S).unexplained, [])

    # Explained

    def test_one_while_the_store_is_out_of_reach_is_told_as_explained(self) -> None:
        leader = self.leader
        self.site.ways.add(Fault("lossy", leader.name, STORE, self.now + SKIPPED_S, LOSS))
        found = self.held_up(job(tasks(4)))
        self.assertEqual(found.unexplained, [])
        self.assertEqual(found.explained, {Rule.STORE.value: 1})

    def test_one_that_outlasts_the_trouble_of_the_store_is_found(self) -> None:
        leader = self.leader
        over_s = self.now + 2.0
        self.site.ways.add(Fault("lossy", leader.name, STORE, over_s, LOSS))
        found = self.held_up(job(tasks(4)), 2.0 + SKIPPED_S)
        self.assertEqual(len(found.unexplained), 1)
        self.assertAlmostEqual(found.unexplained[0].since_s, over_s, delta=2 * LOOK_S)

    def test_a_way_to_the_store_that_is_slow_but_answers_in_time_explains_nothing(self) -> None:
        leader = self.leader
        self.site.ways.add(Fault("slow", leader.name, STORE, self.now + SKIPPED_S, 0.05))
        self.assertEqual(len(self.held_up(job(tasks(4))).unexplained), 1)

    def test_one_beside_trouble_of_a_vm_that_does_not_lead_is_found(self) -> None:
        leader = self.leader
        other = next(vm for vm in self.site.vms.values() if vm is not leader)
        self.site.ways.add(Fault("cut", other.name, STORE, self.now + SKIPPED_S))
        with passed_over(JOB, self.now + SKIPPED_S):
            self.jobs[JOB] = ("normal", job(tasks(4)))
            self.site.submit(leader, JOB, *self.jobs[JOB])
            found = self.after(SKIPPED_S + 1.0)
        self.assertEqual(len(found.unexplained), 1)

    def test_a_run_on_a_worker_that_has_crashed_explains_until_its_lease_is_over(self) -> None:
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
        with passed_over(JOB, crashed_s + DOUBT_S + 6.0):
            found = self.after(DOUBT_S + 6.0)
        self.assertEqual(len(found.unexplained), 1)
        self.assertGreaterEqual(found.unexplained[0].since_s, crashed_s + DOUBT_S)

    def test_a_run_that_a_lost_leader_had_assigned_and_not_ordered_explains(self) -> None:
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
        self.assertEqual([e.job_id for e in self.held_up(job(tasks(4))).unexplained], [JOB])

    def test_what_workers_out_of_reach_hold_explains_where_it_is_half_of_all(self) -> None:
        self.hand_in(job(tasks(6, ROOM, long_running=True), work_s=60.0), OTHER, "urgent")
        self.after(1.0)
        leader = self.leader
        for run in self.site.workers.begun:
            way = run.worker.worker_id
            self.site.ways.add(Fault("lossy", leader.name, way, self.now + SKIPPED_S, LOSS))
        found = self.held_up(job(tasks(4)))
        self.assertEqual(found.unexplained, [])
        self.assertEqual(found.explained, {Rule.OUT_OF_REACH.value: 1})

    def test_workers_at_one_address_at_once_are_no_room(self) -> None:
        for life in list(self.site.workers.lives.values()):
            self.site.world.call_soon(self.site.add_worker, life.rack, life.hall, life.address)
        self.assertEqual(self.held_up(job(tasks(4))).unexplained, [])


class RoomTest(unittest.TestCase):
    """Room for gangs of one rack, and for steps with a limit a worker."""

    def test_a_gang_of_one_rack_needs_its_room_in_one(self) -> None:
        split = [worker(f"r{number}-1", used=3) for number in range(4)]
        self.assertFalse(pool(*split).has_free_capacity(tasks(2, 4, gang=True, same_rack=True)))
        self.assertTrue(pool(*split).has_free_capacity(tasks(2, 4, gang=True)))

    def test_a_gang_of_one_rack_needs_its_room_twice_over_in_the_pool(self) -> None:
        racks = [worker("r1-1"), worker("r1-1"), worker("r2-1")]
        gang = tasks(2, ROOM, gang=True, same_rack=True)
        self.assertFalse(pool(*racks).has_free_capacity(gang))
        self.assertTrue(pool(*racks, worker("r3-1")).has_free_capacity(gang))

    def test_no_more_tasks_fit_on_a_worker_than_its_step_allows(self) -> None:
        step = msgspec.structs.replace(tasks(4), per_worker=1)
        self.assertFalse(pool(worker("r1-1")).has_free_capacity(step))
        self.assertTrue(pool(worker("r1-1"), worker("r1-1")).has_free_capacity(step))

    def test_a_worker_that_no_start_reaches_is_used_as_far_as_it_is_and_has_no_room(self) -> None:
        reached, cut_off = [worker("r1-1")], [worker("r2-1")]
        self.assertFalse(PoolView([*reached, *cut_off], reached).has_free_capacity(tasks(1, ROOM)))
        self.assertTrue(PoolView([*reached, *cut_off], reached).has_free_capacity(tasks(1)))
        held = [worker("r2-1", ROOM)]
        self.assertFalse(PoolView([*reached, *held], reached).has_free_capacity(tasks(1)))

    def test_a_pool_without_workers_has_none(self) -> None:
        self.assertFalse(pool().has_free_capacity(tasks(1)))


def pool(*workers: SimWorker) -> PoolView:
    """A pool of workers that all serve."""
    return PoolView(list(workers), list(workers))


def worker(rack: str, used: int = 0) -> SimWorker:
    """A worker of eight accelerators, some of them held."""
    made = SimWorker("i-1", "127.0.0.1:1", rack, "hall-1", ROOM, 1.0, 0.0)
    if used:
        name = TaskName(OTHER, 0, 0, 0)
        run = SimRun(name, 1, made, Plan(1.0, used), "entry-1", 1, 0.0, 0.0)
        made.runs[(name, 1)] = run
    return made


class DayTest(unittest.TestCase):
    """The judge as part of a day, and the kinds of jobs and troubles that come by name."""

    def test_a_standstill_breaks_its_day_and_names_the_runs(self) -> None:
        with unittest.mock.patch.object(Planner, "_place", lambda *args: None):
            verdict = day_of(SEED, 6.0, calm=True).play()
        self.assertTrue(verdict.standstills.unexplained)
        self.assertEqual(verdict.broken, [str(e) for e in verdict.standstills.unexplained])

    def test_a_calm_day_has_none(self) -> None:
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

    def test_limits_a_worker_are_kept(self) -> None:
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

    def test_workers_that_fail_all_and_those_on_which_work_hangs_break_no_promise(self) -> None:
        day = day_of(SEED, 8.0, ["grey", "hang", "failing"])
        verdict = day.play()
        told = [text for text in verdict.broken if not text.startswith("stands still")]
        self.assertEqual(told, [])
        runs = [run for each in day.site.workers.history.values() for run in each]
        self.assertTrue(any(run.how is EndKind.FAILED for run in runs))

    def played(self, kinds: JobKinds) -> Day:
        day = day_of(SEED, 8.0, calm=True, kinds=kinds)
        day.play()
        return day


if __name__ == "__main__":
    unittest.main()
