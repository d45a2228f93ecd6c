import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import (
    Account,
    Adjacency,
    Assignment,
    DataHall,
    Document,
    Guarantee,
    Intent,
    JobClass,
    JobSpec,
    Rack,
    Weights,
)
from saddlestack.policy.cell import Cell
from saddlestack.policy.fleet import Fleet
from saddlestack.policy.gang import Expire, Reclaim, Start
from saddlestack.policy.intent import apply_intent, describe
from saddlestack.policy.limits import TokenBucket
from saddlestack.policy.planner import Planner, cells_of, narrowest
from saddlestack.policy.queue import Estimator
from saddlestack.policy.resources import workers_of
from saddlestack.policy.retry import MAX_DELAY_S, Breaker, BreakerState, RetryBudget, retry_delay
from saddlestack.policy.router import CellSummary, RoutedSinceSummary, choose_cell

RACKS = (Rack(name="r1", workers=4, accelerators=8), Rack(name="r2", workers=4, accelerators=8))
HALL = DataHall(name="hall", racks=RACKS)


def one_rack_hall(name: str, workers: int, accelerators: int) -> DataHall:
    rack = Rack(name=f"{name}-rack", workers=workers, accelerators=accelerators)
    return DataHall(name=name, racks=(rack,))


def job(request: str, size: int = 1, **fields: object) -> JobSpec:
    base: dict[str, object] = {
        "account": "acct",
        "request": request,
        "job_class": JobClass.NORMAL,
        "accelerators": size,
        "adjacent": Adjacency.WORKER,
        "estimate": 10.0,
    }
    return JobSpec(**{**base, **fields})  # type: ignore[arg-type]


def new_cell(*assignments: Assignment, queued: int = 100) -> Cell:
    return Cell("hall", workers_of(RACKS), assignments, queue_limits={"acct": queued})


class QueueTest(unittest.TestCase):
    def test_urgent_work_reclaims_borrowed_capacity_at_once(self) -> None:
        cell = new_cell()
        for i in range(8):
            cell.submit(job(f"b{i}", 8, job_class=JobClass.BULK, checkpoint=True), 0.0)
        cell.decide(0.0)
        cell.submit(job("u", 1, job_class=JobClass.URGENT), 1.0)
        decisions = cell.decide(1.0)
        self.assertIsInstance(decisions[0], Reclaim)
        self.assertEqual(next(d.job_id for d in decisions if isinstance(d, Start)), "acct/u")

    def test_reclaim_stops_least_work_and_no_more_gangs_than_needed(self) -> None:
        cell = new_cell()
        for i in range(8):
            cell.submit(job(f"b{i}", 8, job_class=JobClass.BULK), float(i))
            cell.decide(float(i))
        cell.submit(job("u", 8, job_class=JobClass.URGENT), 10.0)
        reclaimed = [d.job_id for d in cell.decide(10.0) if isinstance(d, Reclaim)]
        self.assertEqual(reclaimed, ["acct/b7"])

    def test_backfill_does_not_delay_a_reserved_gang(self) -> None:
        cell = new_cell()
        for i in range(7):
            cell.submit(job(f"n{i}", 8, estimate=100.0), 0.0)
        cell.decide(0.0)
        cell.submit(job("big", 32, adjacent=Adjacency.RACK), 1.0)
        cell.decide(1.0)
        cell.submit(job("long", 8, estimate=500.0), 2.0)
        cell.submit(job("short", 8, estimate=20.0), 2.0)
        started = [d.job_id for d in cell.decide(2.0) if isinstance(d, Start)]
        self.assertEqual(started, ["acct/short"])

    def test_a_full_queue_refuses_as_not_run(self) -> None:
        cell = new_cell(queued=2)
        cell.submit(job("x", 64, adjacent=Adjacency.HALL), 0.0)
        cell.decide(0.0)
        self.assertIsNone(cell.submit(job("a", 8), 0.0))
        self.assertIsNone(cell.submit(job("b", 8), 0.0))
        refusal = cell.submit(job("c", 8), 0.0)
        assert refusal is not None
        self.assertIs(refusal.kind, ErrorKind.QUEUE_FULL)
        self.assertNotIn("acct/c", cell.waiting)

    def test_a_deadline_that_passed_expires_the_job(self) -> None:
        cell = new_cell()
        cell.submit(job("late", 8), 0.0, deadline=5.0)
        self.assertEqual(cell.decide(6.0), [Expire("acct/late")])

    def test_bulk_work_ages_into_the_next_class(self) -> None:
        cell = new_cell()
        cell.submit(job("hold", 64, adjacent=Adjacency.HALL, run_once=True), 0.0)
        cell.decide(0.0)
        cell.submit(job("old", 8, job_class=JobClass.BULK), 0.0)
        cell.submit(job("new", 8, estimate=10_000.0), 5 * 3600.0)
        cell.finished("acct/hold", 5 * 3600.0)
        started = [d.job_id for d in cell.decide(5 * 3600.0) if isinstance(d, Start)]
        self.assertEqual(started[0], "acct/old")

    def test_estimates_far_off_are_corrected(self) -> None:
        estimator = Estimator()
        for _ in range(40):
            estimator.record(job("x", estimate=10.0), 40.0)
        self.assertGreater(estimator.expected(job("y", estimate=10.0)), 35.0)

    def test_work_that_can_never_be_pinned_is_refused(self) -> None:
        unit = Assignment(account="other", cell="hall", accelerators=32, adjacent=Adjacency.RACK)
        cell = new_cell(unit, unit)
        refusal = cell.submit(job("never", 8, run_once=True), 0.0)
        assert refusal is not None
        self.assertIs(refusal.kind, ErrorKind.SHAPE_IMPOSSIBLE)


class VmTest(unittest.TestCase):
    def test_a_lost_worker_stops_the_whole_gang(self) -> None:
        cell = new_cell()
        cell.submit(job("g", 16, adjacent=Adjacency.RACK), 0.0)
        (start,) = cell.decide(0.0)
        assert isinstance(start, Start)
        (loss,) = cell.vm_lost(start.parts[0].vm, 5.0)
        self.assertEqual((loss.job_id, loss.state.value), ("acct/g", "queued"))
        self.assertEqual(sum(cell.resources.held), 0)

    def test_run_once_work_on_a_lost_worker_is_unknown_and_never_starts_again(self) -> None:
        cell = new_cell()
        cell.submit(job("g", 16, adjacent=Adjacency.RACK, run_once=True), 0.0)
        (start,) = cell.decide(0.0)
        assert isinstance(start, Start)
        (loss,) = cell.vm_lost(start.parts[0].vm, 5.0)
        self.assertEqual(loss.state.value, "unknown")
        cell.vm_back(start.parts[0].vm)
        self.assertEqual(cell.decide(6.0), [])

    def test_a_leaving_worker_gets_nothing_new(self) -> None:
        cell = new_cell()
        for worker in cell.resources.workers[:7]:
            cell.vm_leaving(worker.name)
        cell.submit(job("a", 8), 0.0)
        cell.submit(job("b", 8), 0.0)
        starts = [d for d in cell.decide(0.0) if isinstance(d, Start)]
        self.assertEqual([s.parts[0].vm for s in starts], ["r2-04"])


class FleetTest(unittest.TestCase):
    def test_no_more_waiting_jobs_move_than_fit_the_other_cell(self) -> None:
        """A second job was moved by a summary from before the first one moved."""
        halls = [one_rack_hall(name, workers=2, accelerators=8) for name in ("one", "two")]
        fleet = Fleet(cells_of(halls), (), Weights(), {})
        for request in ("a", "b", "c", "d"):
            fleet.submit(job(request, 8), 0.0)
        fleet.decide(0.0)
        self.assertEqual([len(cell.running) for cell in fleet.cells.values()], [2, 2])
        for request in ("e", "f", "g"):
            fleet.cells["one"].submit(job(request, 8), 1.0)
        ended = next(iter(fleet.cells["two"].running))
        fleet.cells["two"].finished(ended, 2.0)
        fleet.decide(2.0)
        self.assertEqual([len(cell.running) for cell in fleet.cells.values()], [2, 2])
        self.assertEqual([len(cell.waiting) for cell in fleet.cells.values()], [2, 0])


class PlannerTest(unittest.TestCase):
    def account(self, name: str, *guarantees: Guarantee) -> Account:
        return Account(name=name, guarantees=guarantees)

    def test_refuses_with_the_shape_and_the_nearest_that_fits(self) -> None:
        planner = Planner(cells_of([HALL]))
        big = Guarantee(accelerators=32, adjacent=Adjacency.RACK, count=2)
        with self.assertRaises(SaddlestackError) as caught:
            planner.assign([self.account("a", big), self.account("b", Guarantee(accelerators=1))])
        self.assertIs(caught.exception.kind, ErrorKind.GUARANTEE_UNPACKABLE)
        small = Guarantee(accelerators=24, adjacent=Adjacency.RACK, count=2)
        with self.assertRaises(SaddlestackError) as caught:
            planner.assign(
                [
                    self.account("a", small),
                    self.account("b", Guarantee(accelerators=16, adjacent=Adjacency.RACK)),
                ]
            )
        self.assertIn("nearest that would fit is 16@hall", str(caught.exception))

    def test_shapes_that_fit_only_apart_from_each_other_are_assigned(self) -> None:
        """A greedy pass spreads the narrow shapes first and leaves no rack whole."""
        halls = [one_rack_hall(f"hall-{number}", workers=8, accelerators=8) for number in range(3)]
        assigned = Planner(cells_of(halls)).assign(
            [
                self.account("wide", Guarantee(accelerators=64, adjacent=Adjacency.RACK)),
                self.account("some", Guarantee(accelerators=16, adjacent=Adjacency.RACK, count=2)),
                self.account("few", Guarantee(accelerators=8, adjacent=Adjacency.WORKER, count=4)),
            ]
        )
        self.assertEqual(len(assigned), 7)
        wide = next(each.cell for each in assigned if each.account == "wide")
        self.assertEqual([each.account for each in assigned if each.cell == wide], ["wide"])

    @settings(max_examples=150, deadline=None)
    @given(st.integers(0, 2**32))
    def test_small_plans_are_exact(self, seed: int) -> None:
        """Shapes are never refused if some assignment to cells can hold them."""
        rng = random.Random(seed)
        halls = [
            one_rack_hall(f"hall-{number}", workers=rng.randint(1, 2), accelerators=4)
            for number in range(rng.randint(2, 3))
        ]
        spare = rng.choice((0, 0, 1))
        guarantees = [
            Guarantee(
                accelerators=rng.choice((2, 3, 4, 4, 8, 8)),
                adjacent=rng.choice((Adjacency.WORKER, Adjacency.RACK)),
            )
            for _ in range(rng.randint(1, 5))
        ]
        accounts = [self.account(f"a{i}", guarantee) for i, guarantee in enumerate(guarantees)]
        try:
            fits = len(Planner(cells_of(halls), spare).assign(accounts)) == len(guarantees)
        except SaddlestackError:
            fits = False
        self.assertEqual(fits, self.fits_some_assignment(halls, spare, guarantees))

    def fits_some_assignment(
        self, halls: list[DataHall], spare: int, guarantees: list[Guarantee]
    ) -> bool:
        """Try every assignment of guarantees to halls, checking each hall alone."""

        def fits(hall: DataHall, assigned: list[Guarantee]) -> bool:
            accounts = [self.account(f"a{i}", each) for i, each in enumerate(assigned)]
            try:
                Planner(cells_of([hall]), spare).assign(accounts)
            except SaddlestackError:
                return False
            return True

        for assignment in itertools.product(range(len(halls)), repeat=len(guarantees)):
            assigned: list[list[Guarantee]] = [[] for _ in halls]
            for number, guarantee in zip(assignment, guarantees, strict=True):
                assigned[number].append(guarantee)
            if all(fits(hall, each) for hall, each in zip(halls, assigned, strict=True)):
                return True
        return False

    def test_spare_workers_are_kept(self) -> None:
        full = Guarantee(accelerators=8, adjacent=Adjacency.WORKER, count=8)
        self.assertEqual(len(Planner(cells_of([HALL])).assign([self.account("a", full)])), 8)
        with self.assertRaises(SaddlestackError):
            Planner(cells_of([HALL]), spare=1).assign([self.account("a", full)])

    def test_assigned_shapes_stay_in_their_cell(self) -> None:
        halls = [HALL, DataHall(name="two", racks=(Rack(name="t", workers=4, accelerators=8),))]
        planner = Planner(cells_of(halls))
        one = self.account("a", Guarantee(accelerators=8, adjacent=Adjacency.WORKER, count=3))
        before = planner.assign([one])
        other = self.account("b", Guarantee(accelerators=16, adjacent=Adjacency.RACK, count=1))
        after = planner.assign([one, other], before)
        self.assertTrue(all(assignment in after for assignment in before))

    def test_large_halls_are_split_into_cells_of_whole_racks(self) -> None:
        racks = tuple(Rack(name=f"r{i}", workers=40, accelerators=8) for i in range(10))
        sites = cells_of([DataHall(name="big", racks=racks)])
        self.assertEqual([len(site.workers) for site in sites], [240, 160])

    def test_the_narrowest_adjacency_that_holds_is_the_default(self) -> None:
        sites = cells_of([HALL])
        self.assertIs(narrowest(8, sites), Adjacency.WORKER)
        self.assertIs(narrowest(9, sites), Adjacency.RACK)
        self.assertIs(narrowest(33, sites), Adjacency.HALL)
        with self.assertRaises(SaddlestackError):
            narrowest(65, sites)


class IntentTest(unittest.TestCase):
    def test_an_intent_without_tokens_keeps_them(self) -> None:
        first = apply_intent(
            Document(),
            Intent(data_halls=(HALL,), accounts=(Account(name="a", tokens=("t",)),)),
        )
        second = apply_intent(
            first, Intent(accounts=(Account(name="a", guarantees=(Guarantee(accelerators=8),)),))
        )
        self.assertEqual(second.accounts[0].tokens, ("t",))
        self.assertEqual(second.revision, 2)
        self.assertTrue(any("account a: from" in change for change in describe(first, second)))

    def test_faults_name_their_key(self) -> None:
        for intent, place in (
            (Intent(accounts=(Account(name="a/b"),)), "accounts[0].name"),
            (
                Intent(accounts=(Account(name="a", guarantees=(Guarantee(accelerators=257),)),)),
                "accounts[0].guarantees[0].accelerators",
            ),
            (Intent(spare=-1), "spare"),
        ):
            with self.subTest(place=place), self.assertRaises(SaddlestackError) as caught:
                apply_intent(Document(), intent)
            self.assertEqual(caught.exception.where, place)


class RouterTest(unittest.TestCase):
    def summary(
        self, cell: str, free: int, queued: int = 0, pinnable: int = 64, lent: int = 0
    ) -> CellSummary:
        return CellSummary(
            cell,
            cell,
            (8, 32, 64),
            (pinnable,) * 3,
            (min(free, 8), min(free, 32), free),
            (0, queued, 0),
            (lent, 0, 0),
            64,
        )

    def test_free_capacity_comes_before_a_guarantee_that_has_to_be_reclaimed(self) -> None:
        cells = [self.summary("mine", 0), self.summary("other", 16)]
        self.assertEqual(choose_cell(job("x", 8), cells, ["mine"]), "other")
        self.assertEqual(choose_cell(job("x", 8, run_once=True), cells, ["mine"]), "mine")

    def test_urgent_work_avoids_a_cell_that_is_full_of_urgent_work(self) -> None:
        cells = [self.summary("mine", 0), self.summary("other", 0, lent=16)]
        urgent = job("x", 2, job_class=JobClass.URGENT)
        self.assertEqual(choose_cell(urgent, cells, ["mine"]), "other")

    def test_the_fullest_cell_that_fits_is_filled_first(self) -> None:
        cells = [self.summary("empty", 64), self.summary("fuller", 16)]
        self.assertEqual(choose_cell(job("x", 8), cells, []), "fuller")

    def test_no_cell_that_could_never_hold_the_job_is_chosen(self) -> None:
        self.assertIsNone(choose_cell(job("x", 16), [self.summary("a", 64)], []))
        cells = [self.summary("a", 64, pinnable=4), self.summary("b", 0)]
        self.assertEqual(choose_cell(job("x", 8, run_once=True), cells, []), "b")

    def test_routed_jobs_count_until_the_next_summary(self) -> None:
        routed = RoutedSinceSummary()
        cell = self.summary("a", 16)
        self.assertEqual(routed.adjusted(cell).free[2], 16)
        routed.note("a", job("x", 8))
        self.assertEqual(routed.adjusted(cell).free[2], 8)
        self.assertEqual(routed.adjusted(self.summary("a", 12)).free[2], 12)


class LimitsTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.floats(0, 2), min_size=1, max_size=80))
    def test_a_bucket_never_gives_more_than_rate_and_burst(self, gaps: list[float]) -> None:
        bucket = TokenBucket(2.0, 5.0)
        now, taken = 0.0, 0
        for gap in gaps:
            now += gap
            taken += bucket.take(now)
            self.assertLessEqual(taken, 5.0 + 2.0 * now + 1e-6)

    def test_waiting_for_the_returned_time_is_enough(self) -> None:
        bucket = TokenBucket(4.0, 1.0)
        self.assertTrue(bucket.take(0.0))
        self.assertFalse(bucket.take(0.0))
        self.assertTrue(bucket.take(bucket.wait(0.0)))

    def test_delays_grow_and_are_bounded(self) -> None:
        rng = random.Random(1)
        self.assertTrue(all(0 <= retry_delay(i, rng) <= MAX_DELAY_S for i in range(50)))

    def test_retries_stay_a_share_of_first_tries(self) -> None:
        budget = RetryBudget(share=0.2, burst=2.0, per_second=0.0)
        for _ in range(100):
            budget.record_first_try()
        self.assertEqual(sum(budget.retry(0.0) for _ in range(100)), 2)

    def test_a_quiet_vm_may_still_retry(self) -> None:
        budget = RetryBudget(share=0.0, burst=0.0, per_second=2.0)
        self.assertTrue(budget.retry(0.0))
        self.assertEqual(sum(budget.retry(1.0) for _ in range(10)), 2)

    def test_a_breaker_opens_probes_and_closes(self) -> None:
        breaker = Breaker(failures=2, open_s=5.0)
        breaker.failed(0.0)
        self.assertTrue(breaker.allows(0.0))
        breaker.failed(0.0)
        self.assertFalse(breaker.allows(1.0))
        self.assertTrue(breaker.allows(5.0))
        self.assertFalse(breaker.allows(5.0))
        breaker.succeeded()
        self.assertIs(breaker.state, BreakerState.CLOSED)
