"""Invariants of a soak's workers under random seeded orders of two leaders."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import defaultdict
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import EndKind, WorkerFenced, WorkerUnreachable
from saddlestack.soak.invariants import ClientJob, Invariant, InvariantTimes, check_invariants
from saddlestack.soak.messages import RunBegan, RunEnded, RunWorks
from saddlestack.soak.runs import RunHistory
from saddlestack.standins.pool.workers import TaskPlan
from saddlestack.work import JobRequest, Resources, Step
from tests.soak_support import ACCELERATORS, JOB, TIMES, Workers, virtually

WORKERS = 4
GANG = 3
SEEDS = 30
STEPS = 150


@dataclass
class RandomOrders:
    """Random orders and faults."""

    seed: int
    workers: Workers = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def play(self) -> None:
        """Send all orders, then wait until the leases have expired."""
        self.workers = Workers(WORKERS, self.seed)
        for _ in range(STEPS):
            await self._step()
            await asyncio.sleep(self.rng.expovariate(5.0))
        await asyncio.sleep(TIMES.lease_s * 2)

    async def _step(self) -> None:
        rng = self.rng
        action = rng.choice((self._start, self._start, self._start, self._stop, self._poll))
        try:
            await action()
        except (WorkerFenced, WorkerUnreachable):
            pass
        if rng.random() < 0.03:
            self._crash()
        if rng.random() < 0.05:
            rng.choice(self.workers.incarnations).set_speed(rng.choice((0.0, 0.5, 1.0)))

    async def _start(self) -> None:
        """Start some members of a gang, or a task without a gang."""
        rng = self.rng
        gang = rng.random() < 0.7
        number = rng.randrange(1, 6)
        plan = TaskPlan(2.0, room=number, gang=GANG if gang else 0, failures=1)
        for index in rng.sample(range(GANG), rng.choice((1, GANG))) if gang else (GANG,):
            self.workers.start(
                plan,
                worker=self._worker(),
                index=index,
                step=0 if gang else 1,
                number=number,
                fence=self._fence(),
                hold_s=rng.uniform(0.5, 8.0),
            )

    async def _stop(self) -> None:
        self.workers.stop(
            worker=self._worker(),
            index=self.rng.randrange(GANG + 1),
            number=self.rng.randrange(1, 6),
            fence=self._fence(),
        )

    async def _poll(self) -> None:
        worker = self._worker()
        incarnation = self.workers.incarnations[worker]
        await incarnation.hold(
            self._fence(), incarnation.clock_ms() + 6000, self.rng.randrange(20), 0.0
        )

    def _crash(self) -> None:
        """Crash one worker and start a new incarnation on its machine."""
        worker = self._worker()
        incarnation = self.workers.incarnations[worker]
        incarnation.end(crashed=True)
        self.workers.add(int(incarnation.machine.name.removeprefix("m")))

    def _worker(self) -> int:
        running = [
            n
            for n, incarnation in enumerate(self.workers.incarnations)
            if not incarnation.has_ended
        ]
        return self.rng.choice(running)

    def _fence(self) -> int:
        return self.rng.choice((1, 2, 2, 2))


class SeededTest(unittest.TestCase):
    def play(self, seed: int) -> Workers:
        orders = RandomOrders(seed)
        virtually(orders.play)
        return orders.workers

    def test_invariants_hold_for_any_orders(self) -> None:
        members_at_work = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                workers = self.play(seed)
                self.check_ends_are_those_of_runs_that_began(workers)
                self.check_gangs_work_when_complete_and_end_together(workers)
                self.check_capacity(workers)
                members_at_work += sum(isinstance(each, RunWorks) for each in workers.records)
        self.assertGreater(members_at_work, SEEDS * GANG, "gangs did meet")

    def test_a_seed_reproduces_its_records(self) -> None:
        self.assertEqual(self.play(3).records, self.play(3).records)

    def check_ends_are_those_of_runs_that_began(self, workers: Workers) -> None:
        began = [
            (each.worker, each.task, each.run)
            for each in workers.records
            if isinstance(each, RunBegan)
        ]
        ended = [
            (each.worker, each.task, each.run)
            for each in workers.records
            if isinstance(each, RunEnded)
        ]
        self.assertEqual(len(set(began)), len(began), "a run begins once at a life of a worker")
        self.assertEqual(len(set(ended)), len(ended), "and ends once")
        self.assertLessEqual(set(ended), set(began))
        for incarnation in workers.incarnations:
            self.assertEqual(incarnation.runs, {}, "leases are over")

    def check_gangs_work_when_complete_and_end_together(self, workers: Workers) -> None:
        ends = defaultdict(list)
        for run in RunHistory.of(workers.records).runs:
            if run.gang and run.how is EndKind.DONE:
                self.assertIsNotNone(run.work_began_s)
                ends[(run.number, run.work_began_s)].append(run)
        for gang, runs in ends.items():
            times = {run.ended_s for run in runs}
            self.assertLessEqual(max(times) - min(times), 1e-3, gang)
            self.assertEqual({run.task.index for run in runs}, set(range(GANG)), gang)

    def check_capacity(self, workers: Workers) -> None:
        step = Step(count=GANG + 1, needs=Resources(1000, 1024, 1), speculative=True)
        job = ClientJob(
            JOB,
            JobRequest(payload="{}", steps=(step, step)),
            accepted=False,
            refused=False,
            attempts=99,
        )
        found = check_invariants(workers.records, [job], InvariantTimes(TIMES.drain_s))
        self.assertNotIn(Invariant.CAPACITY, {each.invariant for each in found})
        self.assertNotIn(Invariant.WHOLE_GANG, {each.invariant for each in found})
        for incarnation in workers.incarnations:
            self.assertEqual(incarnation.machine.accelerators, ACCELERATORS)


if __name__ == "__main__":
    unittest.main()
