"""Searches for workers to keep are skipped for gangs that would find none either.

A crowd of normal gangs waits for too little capacity, and each was searched for in each round.
Guards against gangs that are skipped although workers could be kept for them.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.policy.cluster.kept_workers import EQUAL_HELD_S, KeptWorkers, _Failure
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.state import ClusterState
from tests.speed_support import SLOW, SpeedCase
from tests.test_cluster_state import BULK, NORMAL, URGENT, step

ROUNDS = 40
ROUND_S = 0.5


class CrowdSearchTest(SpeedCase):
    """Crowds of gangs of few shapes, bulk work and urgent work on a pool of twelve workers."""

    def outcome(self, seed: int, options: SchedulingOptions) -> list[object]:
        """Starts and stops of each round."""
        self.cluster_state = ClusterState(options)
        self.cluster_state._speeds = None
        self.jobs = 0
        self.workers(racks=3, each=4)
        if options.worker_speeds:
            self.set_factors(w11=SLOW, w21=SLOW, w31=SLOW, w12=1.0, w22=1.0, w32=1.0)
        rng = random.Random(seed)
        outcome: list[object] = []
        for number in range(ROUNDS):
            now = number * ROUND_S
            self.end_some(rng, now)
            for _ in range(rng.choice((0, 1, 1, 4))):
                self.submit_any(rng, int(now * 1000))
            self.cluster_state.plan(now, now * 1000)
            changes = self.cluster_state.take_changes()
            for start in changes.starts:
                self.cluster_state.run_started(start.run, now)
            outcome.append([(str(s.run.task.name), s.run.worker_id) for s in changes.starts])
            outcome.append([(str(s.task), s.worker_id, s.reason) for s in changes.stops])
        return outcome

    def submit_any(self, rng: random.Random, accepted_ms: int) -> None:
        priority = rng.choice((URGENT, NORMAL, NORMAL, NORMAL, BULK))
        if priority == BULK:
            self.submit(step(rng.randint(4, 12)), priority=BULK, accepted_ms=accepted_ms)
            return
        made = step(rng.choice((2, 4)), rng.choice((4, 8)), gang=True, same_rack=rng.random() < 0.5)
        stretch = rng.choice((3.0, 8.0))
        self.submit(made, priority=priority, stretch=stretch, accepted_ms=accepted_ms)

    def end_some(self, rng: random.Random, now: float) -> None:
        """End the runs that are being stopped, and whole steps of others."""
        for worker in list(self.cluster_state.workers.values()):
            for (name, number), run in list(worker.runs.items()):
                share = random.Random(f"{name}{now}").random()
                if run.task.step.step.gang:
                    share = random.Random(f"{name.job_id}{now}").random()
                if run.stopping or share < 0.12:
                    how = EndKind.STOPPED if run.stopping else EndKind.DONE
                    end = EndedTask(1, str(name), number, how, "")
                    self.cluster_state.run_ended(worker.worker_id, end, now)

    def test_skipped_searches_change_no_decision(self) -> None:
        skipped = 0
        has_failed = KeptWorkers._has_failed

        def counted(kept: KeptWorkers, made: object, shape: int | None) -> bool:
            nonlocal skipped
            found = has_failed(kept, made, shape)  # type: ignore[arg-type]
            skipped += found
            return found

        for options in (
            SchedulingOptions(gang_priority=True),
            SchedulingOptions(gang_priority=True, worker_speeds=True),
        ):
            for seed in range(25):
                with self.subTest(options=options, seed=seed):
                    with mock.patch.object(KeptWorkers, "_has_failed", counted):
                        found = self.outcome(seed, options)
                    with mock.patch.object(KeptWorkers, "_has_failed", lambda *_: False):
                        self.assertEqual(self.outcome(seed, options), found)
        self.assertGreater(skipped, 100)


class FailureTest(unittest.TestCase):
    """Which gangs find no workers where another gang of their shape has found none."""

    def test_a_gang_with_less_slack_is_searched_for(self) -> None:
        """Fewer workers are kept from it."""
        failure = _Failure(5.0, 100, is_long=False)
        for slack_s, implied in ((4.9, False), (5.0, True), (6.0, True)):
            self.assertEqual(failure.implies(_Failure(slack_s, 100, is_long=False)), implied)

    def test_a_gang_that_has_waited_for_long_is_searched_for(self) -> None:
        """Beyond the limit, gangs that were accepted later do not go before it."""
        self.assertGreater(EQUAL_HELD_S, 0)
        for is_long, accepted_ms, implied in (
            (False, 100, False),
            (True, 99, False),
            (True, 100, True),
            (True, 101, True),
        ):
            failure = _Failure(5.0, 100, is_long=is_long)
            other = _Failure(5.0, accepted_ms, is_long=True)
            self.assertEqual(failure.implies(other), implied)


if __name__ == "__main__":
    unittest.main()
