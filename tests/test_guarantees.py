import itertools
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from saddlestack.models import Adjacency, Assignment, JobClass, JobSpec, Shape, Weights
from saddlestack.policy.cell import Cell
from saddlestack.policy.gang import Start
from saddlestack.policy.packing import PLANNER_BUDGET, ShapeRequest, Space, pack
from saddlestack.policy.resources import WorkerInfo

Shares = tuple[tuple[int, int], ...]


def cell_workers(sizes: Sequence[Sequence[int]]) -> list[WorkerInfo]:
    return [
        WorkerInfo(f"r{rack}-{i:02d}", f"r{rack}", size, 8)
        for rack, workers in enumerate(sizes)
        for i, size in enumerate(workers)
    ]


def brute_force_packs(left: tuple[int, ...], racks: list[list[int]], shapes: list[Shape]) -> bool:
    """Try every placement of every shape, one accelerator at a time."""
    if not shapes:
        return True
    shape, rest = shapes[0], shapes[1:]
    if shape.adjacent is Adjacency.WORKER:
        groups = [[w] for rack in racks for w in rack]
    elif shape.adjacent is Adjacency.RACK:
        groups = racks
    else:
        groups = [[w for rack in racks for w in rack]]
    for group in groups:
        options = [range(min(left[w], shape.accelerators) + 1) for w in group]
        for counts in itertools.product(*options):
            if sum(counts) != shape.accelerators:
                continue
            after = list(left)
            for worker, count in zip(group, counts, strict=True):
                after[worker] -= count
            if brute_force_packs(tuple(after), racks, rest):
                return True
    return False


shapes_strategy = st.lists(
    st.builds(Shape, st.integers(1, 5), st.sampled_from(list(Adjacency))), min_size=1, max_size=4
)
cells_strategy = st.lists(
    st.lists(st.integers(0, 4), min_size=1, max_size=2), min_size=1, max_size=2
)


class PackingTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(cells_strategy, shapes_strategy)
    def test_agrees_with_brute_force_on_small_cells(
        self, sizes: list[list[int]], shapes: list[Shape]
    ) -> None:
        workers = cell_workers(sizes)
        left = [w.accelerators for w in workers]
        racks = []
        start = 0
        for rack in sizes:
            racks.append(list(range(start, start + len(rack))))
            start += len(rack)
        space = Space(left, [8] * len(left), racks)
        places = pack(space, [ShapeRequest(shape) for shape in shapes], PLANNER_BUDGET)
        possible = brute_force_packs(tuple(left), racks, shapes)
        if places is not None:
            self.assertTrue(possible)
            used = [0] * len(left)
            for shape, place in zip(shapes, places, strict=True):
                self.assertEqual(sum(count for _, count in place), shape.accelerators)
                for worker, count in place:
                    used[worker] += count
            self.assertTrue(all(u <= total for u, total in zip(used, left, strict=True)))
        elif all(shape.adjacent is Adjacency.WORKER for shape in shapes):
            self.assertFalse(possible)

    def test_slots_bind_as_well_as_accelerators(self) -> None:
        space = Space([8], [1], [[0]])
        requests = [
            ShapeRequest(Shape(2, Adjacency.WORKER)),
            ShapeRequest(Shape(2, Adjacency.WORKER)),
        ]
        self.assertIsNone(pack(space, requests, PLANNER_BUDGET))


step_strategy = st.tuples(
    st.sampled_from(["submit", "finish", "lose", "back", "leave", "cancel"]),
    st.integers(0, 10_000),
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 12),
    st.sampled_from(list(Adjacency)),
    st.sampled_from(list(JobClass)),
    st.booleans(),
    st.booleans(),
)


class InvariantTest(unittest.TestCase):
    """All unused guaranteed shapes can be formed at the same time after every decision."""

    def setUp(self) -> None:
        self.cell = Cell(
            "c",
            cell_workers([[4, 4, 4], [4, 4, 4]]),
            [
                Assignment(account="a", cell="c", accelerators=4, adjacent=Adjacency.WORKER),
                Assignment(account="a", cell="c", accelerators=6, adjacent=Adjacency.RACK),
                Assignment(account="b", cell="c", accelerators=4, adjacent=Adjacency.WORKER),
            ],
            Weights(completion=0.4, fragmentation=0.6),
        )
        self.now = 0.0

    def check(self, closed: bool) -> None:
        resources, guarantees = self.cell.resources, self.cell.guarantees
        taken = list(resources.pinned)
        for unit in guarantees.units:
            if not unit.left:
                continue
            if unit.witness is None:
                self.assertTrue(closed, "a guaranteed shape has no place")
                continue
            self.assertEqual(sum(count for _, count in unit.witness), unit.left)
            for worker, count in unit.witness:
                self.assertTrue(resources.open(worker))
                taken[worker] += count
        for worker, total in enumerate(resources.total):
            if resources.open(worker):
                self.assertLessEqual(taken[worker], total)
            self.assertLessEqual(resources.held[worker], total)
            self.assertGreaterEqual(resources.held[worker], 0)
        for gang in self.cell.running.values():
            self.assertEqual(sum(count for _, count in gang.shares), gang.spec.accelerators)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(step_strategy, min_size=1, max_size=60))
    def test_holds_after_every_step(
        self,
        steps: list[tuple[str, int, str, int, Adjacency, JobClass, bool, bool]],
    ) -> None:
        self.setUp()
        closed = False
        for i, (what, pick, account, size, adjacent, kind, once, checkpoint) in enumerate(steps):
            self.now += 1.0 + pick % 7
            running = sorted(self.cell.running)
            names = [worker.name for worker in self.cell.resources.workers]
            if what == "submit":
                spec = JobSpec(
                    account=account,
                    request=f"r{i}",
                    job_class=kind,
                    accelerators=size,
                    adjacent=adjacent,
                    run_once=once,
                    checkpoint=checkpoint,
                    estimate=10.0,
                )
                self.cell.submit(spec, self.now)
            elif what == "finish" and running:
                self.cell.finished(running[pick % len(running)], self.now)
            elif what == "cancel" and self.cell.waiting:
                self.cell.cancel(sorted(self.cell.waiting)[pick % len(self.cell.waiting)])
            elif what == "lose":
                self.cell.vm_lost(names[pick % len(names)], self.now)
                closed = True
            elif what == "leave":
                self.cell.vm_leaving(names[pick % len(names)])
                closed = True
            elif what == "back":
                for name in names:
                    self.cell.vm_back(name)
                closed = False
            before = len(self.cell.guarantees.unformable())
            self.cell.decide(self.now)
            self.assertLessEqual(len(self.cell.guarantees.unformable()), before)
            self.check(closed or bool(before))

    def test_a_guaranteed_gang_always_starts_at_once_when_urgent(self) -> None:
        for i in range(24):
            self.submit("c", f"fill{i}", 1, Adjacency.WORKER, JobClass.BULK)
        self.cell.decide(1.0)
        self.assertEqual(sum(self.cell.resources.free), 0)
        self.submit("a", "want", 6, Adjacency.RACK, JobClass.URGENT)
        decisions = self.cell.decide(2.0)
        starts = [d.job_id for d in decisions if isinstance(d, Start)]
        self.assertIn("a/want", starts)
        self.check(False)

    def test_run_once_work_that_cannot_checkpoint_is_never_reclaimed(self) -> None:
        for i in range(30):
            self.submit("c", f"once{i}", 1, Adjacency.WORKER, JobClass.BULK, run_once=True)
        self.cell.decide(1.0)
        lent = len(self.cell.running)
        self.assertEqual(lent, 24 - 4 - 6 - 4)
        self.submit("a", "w1", 4, Adjacency.WORKER, JobClass.URGENT)
        self.submit("a", "w2", 6, Adjacency.RACK, JobClass.URGENT)
        self.submit("b", "w3", 4, Adjacency.WORKER, JobClass.URGENT)
        self.cell.decide(2.0)
        self.assertEqual(len([j for j in self.cell.running if j.startswith("c/")]), lent)
        self.assertTrue({"a/w1", "a/w2", "b/w3"} <= set(self.cell.running))

    def test_a_shape_is_formable_again_when_its_gangs_end_in_any_order(self) -> None:
        for order in itertools.permutations(range(3)):
            self.setUp()
            for i in range(3):
                self.submit("a", f"part{i}", 2, Adjacency.RACK, JobClass.NORMAL)
            self.cell.decide(1.0)
            for i in range(20):
                self.submit("c", f"once{i}", 1, Adjacency.WORKER, JobClass.BULK, run_once=True)
            self.cell.decide(2.0)
            for i in order:
                self.cell.finished(f"a/part{i}", 3.0)
                self.check(False)

    def submit(
        self,
        account: str,
        request: str,
        size: int,
        adjacent: Adjacency,
        kind: JobClass,
        *,
        run_once: bool = False,
    ) -> None:
        spec = JobSpec(
            account=account,
            request=request,
            job_class=kind,
            accelerators=size,
            adjacent=adjacent,
            run_once=run_once,
        )
        self.assertIsNone(self.cell.submit(spec, 0.0))
