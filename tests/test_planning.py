"""Parts of a planning round by themselves: headroom, backfill, reservations, cell search."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from dataclasses import replace

from saddlestack.models import Adjacency, Shape
from saddlestack.policy.assigning import CellKind, CellSearch
from saddlestack.policy.cluster.backfill import MAX_KEPT_GANGS, Backfill
from saddlestack.policy.cluster.changes import Start
from saddlestack.policy.cluster.fits import FitCache, FitKey
from saddlestack.policy.cluster.headroom import headroom_allows
from saddlestack.policy.cluster.index import CapacityIndex, ServiceCapacity
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.places import IndexedPlaces, ListedPlaces
from saddlestack.policy.cluster.reservations import RESERVATION_TIMEOUT_S, Reservations
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import JobState, Resources, Step
from tests.test_cluster_state import BULK, NORMAL, SERVICE, ClusterCase, record, step


class HeadroomTest(ClusterCase):
    def pool(self, racks: int, each: int) -> list[Worker]:
        self.workers(racks, each)
        return list(self.cluster_state.workers.values())

    def use(self, *workers: Worker) -> None:
        """Fill workers completely with a run on each."""
        for worker in workers:
            job = self.cluster_state.jobs[self.add(step(1, 8))]
            self.cluster_state.assign(job.occurrences[0].steps[0].tasks[0], worker, 1, 0.0)

    def service_capacity(self) -> ServiceCapacity:
        index = CapacityIndex()
        for worker in self.cluster_state.workers.values():
            index.add(worker)
        index.begin_round(0.0)
        return index.service(SERVICE)

    def headroom_allows(self, *places: Worker) -> bool:
        return headroom_allows(self.service_capacity(), places, 0.0)

    def test_an_idle_pool_may_be_opened(self) -> None:
        pool = self.pool(racks=1, each=4)
        self.assertTrue(self.headroom_allows(pool[0]))

    def test_half_of_accelerators_or_of_processors_is_half_used(self) -> None:
        pool = self.pool(racks=1, each=2)
        self.assertFalse(self.service_capacity().open.is_half_used)
        pool[0].used = Resources(0, 0, 8)
        self.assertTrue(self.service_capacity().open.is_half_used)
        pool[0].used = Resources(32_000, 0, 0)
        self.assertTrue(self.service_capacity().open.is_half_used)
        pool[0].used = Resources(31_000, 0, 7)
        self.assertFalse(self.service_capacity().open.is_half_used)

    def test_a_quarter_stays_closed_once_half_is_used(self) -> None:
        pool = self.pool(racks=4, each=2)
        self.use(*pool[0::2], pool[1])
        self.assertTrue(self.headroom_allows(pool[3]))
        self.use(pool[3])
        self.assertFalse(self.headroom_allows(pool[5]))

    def test_half_a_rack_stays_closed_if_one_is_free(self) -> None:
        pool = self.pool(racks=2, each=8)
        self.use(*pool[:8])
        self.use(*pool[8:12])
        self.assertFalse(self.headroom_allows(pool[12]))

    def test_a_worker_in_use_is_no_headroom(self) -> None:
        pool = self.pool(racks=1, each=2)
        self.use(pool[0])
        self.assertTrue(self.headroom_allows(pool[0]))

    def test_a_worker_that_accepts_no_work_is_no_headroom(self) -> None:
        pool = self.pool(racks=2, each=8)
        self.use(*pool[:8])
        self.assertTrue(self.headroom_allows(pool[8]))
        for worker in pool[9:14]:
            worker.listed = False
        self.assertFalse(self.headroom_allows(pool[8]))


class BackfillTest(ClusterCase):
    def waiting(self, job_id: str) -> StepState:
        return self.cluster_state.jobs[job_id].occurrences[0].steps[0]

    def kept(self, gang: StepState, other: StepState) -> set[str]:
        """Workers kept for ``gang`` from ``other``. The index and a plain search must agree."""
        workers = list(self.cluster_state.workers.values())
        index = CapacityIndex()
        for worker in workers:
            index.add(worker)
        index.begin_round(0.0)
        fits = FitCache(index).of(
            FitKey(SERVICE, gang.step.allocation, gang.step.label, proven=True)
        )
        found = []
        for places in (ListedPlaces(gang, workers), IndexedPlaces(gang, fits, None)):
            backfill = Backfill()
            backfill.keep(places.soonest(), gang.occurrence.job.priority)
            priority = other.occurrence.job.priority
            found.append({w.worker_id for w in workers if backfill.is_kept(w, priority)})
        self.assertEqual(found[0], found[1])
        return found[0]

    def test_the_rack_with_the_least_lower_work_is_kept(self) -> None:
        self.workers(racks=2, each=2)
        self.add(step(6, 1, label="r1"), priority=BULK)
        self.add(step(2, 1, label="r2"), priority=BULK)
        self.plan()
        gang = self.waiting(
            self.add(step(2, 8, gang=True, same_rack=True, label=""), priority=NORMAL)
        )
        bulk = self.waiting(self.add(step(1, 1), priority=BULK))
        self.assertEqual(self.kept(gang, bulk), {"w21", "w22"})

    def test_no_more_workers_than_the_gang_needs_are_kept(self) -> None:
        self.workers(racks=1, each=4)
        self.add(step(8, 1), priority=BULK)
        self.plan()
        gang = self.waiting(self.add(step(2, 8, gang=True), priority=NORMAL))
        bulk = self.waiting(self.add(step(1, 1), priority=BULK))
        self.assertEqual(len(self.kept(gang, bulk)), 2)

    def test_workers_are_not_kept_from_equal_or_more_urgent_work(self) -> None:
        self.workers(racks=1, each=2)
        gang = self.waiting(self.add(step(2, 8, gang=True), priority=NORMAL))
        equal = self.waiting(self.add(step(1, 1), priority=NORMAL))
        better = self.waiting(self.add(step(1, 1)))
        self.assertEqual(self.kept(gang, equal), set())
        self.assertEqual(self.kept(gang, better), set())

    def test_nothing_is_kept_if_equal_work_holds_the_workers(self) -> None:
        """Holding back bulk work would not help, since the gang would fit no sooner."""
        self.workers(racks=1, each=2)
        self.add(step(1, 8), priority=NORMAL)
        self.plan()
        gang = self.waiting(self.add(step(2, 8, gang=True), priority=NORMAL))
        bulk = self.waiting(self.add(step(1, 1), priority=BULK))
        self.assertEqual(self.kept(gang, bulk), set())

    def test_no_more_gangs_than_the_bound_keep_workers(self) -> None:
        backfill = Backfill()
        for _ in range(MAX_KEPT_GANGS):
            self.assertFalse(backfill.is_full)
            backfill.keep((), NORMAL)
        self.assertTrue(backfill.is_full)
        backfill.clear()
        self.assertFalse(backfill.is_full)


class VictimsTest(ClusterCase):
    """Gangs are preempted whole, so all the capacity that one frees has to count."""

    def run_on(self, made: Step, workers: list[str], now: float) -> str:
        """Run a bulk job on some workers since ``now``."""
        job_id = self.add(made, priority=BULK)
        tasks = self.cluster_state.jobs[job_id].occurrences[0].steps[0].tasks
        for task, worker_id in zip(tasks, workers, strict=True):
            self.cluster_state.assign(task, self.cluster_state.workers[worker_id], 1, now)
        for start in self.cluster_state.take_changes().starts:
            self.cluster_state.run_started(start.run, now)
        return job_id

    def stopped(self, wanted: Step, now: float) -> list[str]:
        """Jobs whose runs are preempted for an urgent one, a job id for each run."""
        self.add(wanted)
        return sorted(stop.task.job_id for stop in self.plan(now).stops)

    def test_a_victim_that_a_later_one_makes_needless_is_spared(self) -> None:
        self.workers(each=3)
        gang = self.run_on(step(2, 8, gang=True), ["w11", "w12"], 0.0)
        self.run_on(step(1, 8), ["w13"], 0.0)
        wanted = step(2, 8, gang=True, same_rack=True)
        self.assertEqual(self.stopped(wanted, 1.0), [gang, gang])

    def test_a_gang_counts_for_all_the_capacity_that_it_frees(self) -> None:
        self.workers(each=8)
        singles = ["w11", "w12", "w13", "w14"]
        for worker_id in singles:
            self.run_on(step(1, 8), [worker_id], 0.0)
        gang = self.run_on(step(4, 8, gang=True), ["w15", "w16", "w17", "w18"], 9.0)
        wanted = step(4, 8, gang=True, same_rack=True)
        self.assertEqual(self.stopped(wanted, 10.0), [gang] * 4)

    def test_small_runs_are_spared_if_a_large_one_is_enough(self) -> None:
        self.workers(each=1)
        small = self.run_on(step(2, 1), ["w11", "w11"], 0.0)
        large = self.run_on(step(1, 6), ["w11"], 0.0)
        self.assertEqual(self.stopped(step(1, 6), 1.0), [large])
        self.assertEqual(self.state(small), JobState.RUNNING)


class HallsTest(ClusterCase):
    """A gang that spans several data halls is lost with each of them."""

    def halls(self, names: Sequence[str], each: int) -> None:
        for name in names:
            for number in range(each):
                made = record(f"{name}{number}", rack=f"{name}-{number}")
                self.cluster_state.set_worker(replace(made, data_hall=name), 0.0)

    def halls_of(self, starts: Sequence[Start]) -> set[str]:
        return {
            self.cluster_state.workers[start.run.worker_id].record.data_hall for start in starts
        }

    def test_a_gang_uses_one_hall_if_it_fits(self) -> None:
        self.halls(("north", "south"), each=3)
        self.add(step(1, 8))
        self.plan()
        self.add(step(3, 8, gang=True))
        starts = self.plan().starts
        self.assertEqual(len(starts), 3)
        self.assertEqual(self.halls_of(starts), {"south"})

    def test_a_gang_that_fits_in_no_hall_uses_several(self) -> None:
        self.halls(("north", "south"), each=2)
        self.add(step(3, 8, gang=True))
        starts = self.plan().starts
        self.assertEqual(len(starts), 3)
        self.assertEqual(self.halls_of(starts), {"north", "south"})

    def test_a_gang_uses_no_more_empty_workers_to_stay_in_one_hall(self) -> None:
        """Using more empty workers cost 0.04 of a calm day in a pool of 24 workers."""
        self.halls(("north", "south"), each=3)
        for worker_id in ("north0", "south0"):
            job = self.cluster_state.jobs[self.add(step(1, 4))]
            worker = self.cluster_state.workers[worker_id]
            self.cluster_state.assign(job.occurrences[0].steps[0].tasks[0], worker, 1, 0.0)
        self.cluster_state.take_changes()
        self.add(step(2, 4, gang=True))
        starts = self.plan().starts
        self.assertEqual({start.run.worker_id for start in starts}, {"north0", "south0"})


class ReservationsTest(ClusterCase):
    def setUp(self) -> None:
        super().setUp()
        self.workers(each=1)
        self.worker = self.cluster_state.workers["w11"]
        job = self.cluster_state.jobs[self.add(step(2, 4))]
        self.step = job.occurrences[0].steps[0]
        self.reservations = Reservations()

    def test_reserved_capacity_is_not_free_until_it_is_released(self) -> None:
        self.reservations.reserve(self.step, [self.worker, self.worker], 0.0)
        self.assertEqual(self.worker.free.accelerators, 0)
        self.assertTrue(self.reservations.release(self.step))
        self.assertEqual(self.worker.free.accelerators, 8)
        self.assertFalse(self.reservations.release(self.step))

    def test_a_reservation_is_not_free_while_a_run_holds_its_capacity(self) -> None:
        self.reservations.reserve(self.step, [self.worker, self.worker], 0.0)
        held = self.reservations.of(self.step)
        assert held is not None
        self.worker.used = Resources(0, 0, 1)
        self.assertFalse(held.is_free)
        self.worker.used = Resources()
        self.assertTrue(held.is_free)

    def test_it_expires_after_its_timeout(self) -> None:
        self.reservations.reserve(self.step, [self.worker], 0.0)
        self.reservations.release_expired(RESERVATION_TIMEOUT_S)
        self.assertIsNotNone(self.reservations.of(self.step))
        self.reservations.release_expired(RESERVATION_TIMEOUT_S + 0.1)
        self.assert_released()

    def test_it_is_released_when_its_worker_is_gone(self) -> None:
        self.reservations.reserve(self.step, [self.worker], 0.0)
        self.worker.listed = False
        self.reservations.release_expired(0.0)
        self.assert_released()

    def test_it_is_released_when_its_job_is_cancelled(self) -> None:
        self.reservations.reserve(self.step, [self.worker], 0.0)
        self.step.occurrence.job.cancelled = True
        self.reservations.release_expired(0.0)
        self.assert_released()

    def assert_released(self) -> None:
        self.assertIsNone(self.reservations.of(self.step))
        self.assertEqual(self.worker.reserved, Resources())


class CellSearchTest(unittest.TestCase):
    KIND = CellKind(8, (((4, 4), (4, 4)),))

    def search(self, cells: int, shapes: list[Shape], steps: int = 100) -> list[int] | None:
        """Search cells that each hold shapes of up to eight accelerators in total."""

        def packs(cell: int, held: object) -> bool:
            self.asked += 1
            return sum(shape.accelerators for shape in held) <= 8  # type: ignore[attr-defined]

        self.asked = 0
        return CellSearch([self.KIND] * cells, packs, steps=steps).cells(shapes)

    def shapes(self, *sizes: int) -> list[Shape]:
        return [Shape(size, Adjacency.RACK) for size in sizes]

    def test_cells_are_returned_in_the_order_of_the_shapes(self) -> None:
        chosen = self.search(2, self.shapes(2, 8, 6))
        assert chosen is not None
        self.assertEqual(chosen[0], chosen[2])
        self.assertNotEqual(chosen[0], chosen[1])

    def test_shapes_that_exceed_all_cells_are_refused_without_a_search(self) -> None:
        self.assertIsNone(self.search(2, self.shapes(8, 8, 1)))
        self.assertEqual(self.asked, 0)

    def test_identical_cells_are_searched_once(self) -> None:
        self.assertIsNone(self.search(5, self.shapes(7, 7, 7, 7, 7, 5)))
        self.assertLess(self.asked, 20)

    def test_the_search_ends_after_its_steps(self) -> None:
        shapes = self.shapes(*[5] * 6, *[4] * 6)
        self.assertIsNone(self.search(8, shapes, steps=10))
        self.assertLessEqual(self.asked, 10)


if __name__ == "__main__":
    unittest.main()
