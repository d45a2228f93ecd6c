"""Probes of workers of unknown speed by work that tolerates slow ones.

Guards against a pool of which a part is never known: patient work fills the known slow workers, and
urgent gangs start on the unknown ones.
"""

from __future__ import annotations

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.headroom import HEADROOM_SHARE
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.probes import (
    PROBE_SHARE,
)
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.work import Step
from tests import test_cluster_state
from tests.speed_support import SLOW, USING_SPEEDS, SpeedCase
from tests.test_cluster_state import BULK, NORMAL, PATIENT, step

EVENTS = test_cluster_state.RandomEventsTest()


class ProbeCase(SpeedCase):
    """A pool of 32 workers in 4 racks; probes may use two of them at a time."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=4, each=8)

    def names(self) -> list[str]:
        return sorted(self.cluster_state.workers)

    def know_all_but(self, *unknown: str) -> None:
        """Every third worker is slow, and all but some are known."""
        factors = {name: 1.0 if n % 3 else SLOW for n, name in enumerate(self.names())}
        factors.update(dict.fromkeys(unknown))  # type: ignore[arg-type]
        self.set_factors(**factors)

    def submit_bulk(self, made: Step | None = None, **job: object) -> str:
        given = {"priority": BULK, "target_ms": 3000.0, **job}
        return self.submit(made or step(10), **given)  # type: ignore[arg-type]


class UnequalPoolTest(ProbeCase):
    """A third of the workers is known to be slow, and some workers are unknown."""

    def test_one_task_goes_to_each_idle_unknown_worker_and_the_rest_to_slow_ones(self) -> None:
        self.know_all_but("w15", "w25")
        bulk = self.submit_bulk()
        self.plan_at(0.0)
        places = self.places(bulk)
        self.assertEqual((places.count("w15"), places.count("w25")), (1, 1))
        others = set(places) - {"w15", "w25"}
        self.assertEqual({self.cluster_state.workers[name].time_factor for name in others}, {SLOW})

    def test_a_worker_that_runs_something_is_not_probed(self) -> None:
        self.know_all_but("w15")
        for number in range(2):
            bulk = self.submit_bulk()
            self.plan_at(0.1 * number)
            self.assertEqual(self.places(bulk).count("w15"), 1 - number)

    def test_probes_use_a_quarter_of_the_headroom_at_a_time(self) -> None:
        unknown = [name for name in self.names() if name[1] in "12"]
        self.know_all_but(*unknown)
        limit = len(self.names()) * HEADROOM_SHARE * PROBE_SHARE
        self.assertEqual(limit, 2)
        first = self.submit_bulk()
        self.plan_at(0.0)
        probed = [name for name in self.places(first) if name in unknown]
        self.assertEqual(len(probed), limit)
        second = self.submit_bulk()
        self.plan_at(0.5)
        self.assertFalse(set(self.places(second)) & set(unknown))
        self.set_factors(**{probed[0]: 1.0})
        third = self.submit_bulk()
        self.plan_at(1.0)
        self.assertEqual(len(set(self.places(third)) & set(unknown)), 1)

    def test_the_end_of_a_probe_makes_room_for_another(self) -> None:
        """Failure: the probes end before the speeds of their workers are known."""
        unknown = [name for name in self.names() if name[1] in "12"]
        self.know_all_but(*unknown)
        first = self.submit_bulk()
        self.plan_at(0.0)
        self.end(first, EndKind.DONE, 0.4)
        second = self.submit_bulk()
        self.plan_at(0.5)
        self.assertEqual(len(set(self.places(second)) & set(unknown)), 2)

    def test_a_probe_opens_an_empty_worker_of_the_headroom(self) -> None:
        """Waves of bulk work leave only the headroom empty; its workers have to be known too."""
        for known in (False, True):
            with self.subTest(known=known):
                self.setUp()
                self.submit(step(24, 8))
                self.plan_at(0.0)
                workers = self.cluster_state.workers.values()
                empty = [worker.worker_id for worker in workers if not worker.runs]
                self.assertEqual(len(empty), 8)
                factors = {name: 1.0 if name in empty else SLOW for name in self.names()}
                self.set_factors(**factors)
                if not known:
                    self.set_factors(**{empty[0]: None})
                bulk = self.submit_bulk(step(3))
                self.plan_at(0.0)
                self.assertEqual(set(self.places(bulk)), set() if known else {empty[0]})

    def test_a_small_pool_is_probed_only_beside_its_headroom(self) -> None:
        """The share is below one worker in a pool of four."""
        for used, probed in ((1, True), (2, False)):
            with self.subTest(used=used):
                SpeedCase.setUp(self)
                self.workers(each=4)
                self.submit(step(8 * used, 1), priority=NORMAL)
                self.plan_at(PATIENT)
                empty = [w for w in self.cluster_state.workers.values() if not w.runs]
                self.assertEqual(len(empty), 4 - used)
                full = [w.worker_id for w in self.cluster_state.workers.values() if w.runs]
                self.set_factors(**dict.fromkeys(full, SLOW))
                if not probed:
                    self.set_factors(**{empty[0].worker_id: 1.0})
                bulk = self.submit_bulk(step(3))
                self.plan_at(PATIENT)
                self.assertEqual(len(set(self.places(bulk))) > 0, probed)

    def test_work_that_does_not_tolerate_slow_workers_is_no_probe(self) -> None:
        for job in ({"stretch": 1.5}, {"priority": 0}):
            with self.subTest(job=job):
                self.setUp()
                self.know_all_but("w15")
                self.know(6.0)
                bulk = self.submit_bulk(step(3), **job)
                self.plan_at(0.0)
                self.assertEqual(len(self.places(bulk)), 3)
                self.assertNotEqual(self.places(bulk).count("w15"), 1)

    def test_the_limit_of_a_probe_is_the_usual_slow_worker(self) -> None:
        """One worker is wrongly known as slower still; that does not end the probes."""
        for factor, probed in ((2.0, False), (3.0, True)):
            with self.subTest(factor=factor):
                self.setUp()
                self.know_all_but("w15")
                self.set_factors(w11=9.3)
                bulk = self.submit_bulk(stretch=factor)
                self.plan_at(0.0)
                self.assertEqual(self.places(bulk).count("w15") == 1, probed)

    def test_work_that_tells_no_speed_is_no_probe(self) -> None:
        for made in (
            step(2),
            step(4, gang=True),
            step(4, long_running=True),
            step(4, fills=True),
            step(4, data_rack="r1"),
        ):
            with self.subTest(made=made):
                self.setUp()
                self.know_all_but("w15")
                self.submit_bulk(made)
                self.plan_at(0.0)
                self.assertFalse(self.cluster_state.workers["w15"].runs)


class AlikePoolTest(ProbeCase):
    """No worker is known as slow, so that all count as alike."""

    def spread(self) -> int:
        """Number of workers that three tasks are spread over."""
        bulk = self.submit_bulk(step(3))
        self.plan_at(0.0)
        return len(set(self.places(bulk)))

    def test_nothing_is_probed(self) -> None:
        for factors in ({}, {"w11": 1.0}, {"w11": 1.25}):
            with self.subTest(factors=factors):
                self.setUp()
                self.set_factors(**factors)
                self.assertEqual(self.spread(), 1)

    def test_a_worker_that_turns_slow_begins_it(self) -> None:
        self.set_factors(w11=SLOW)
        self.assertEqual(self.spread(), 3)

    def test_without_the_option_nothing_is_probed(self) -> None:
        self.cluster_state = ClusterState()
        self.workers(racks=4, each=8)
        self.set_factors(w11=SLOW)
        self.assertEqual(self.spread(), 1)


class KnownAndAlikeTest(unittest.TestCase):
    """Decisions for a pool whose workers are all known and alike are those without speeds."""

    def outcome(self, seed: int, options: SchedulingOptions) -> list[object]:
        rng = random.Random(seed)
        cluster_state = ClusterState(options)
        cluster_state._speeds = None
        cluster_state.configure({"depots": 8}, {"q": test_cluster_state.SERVICE})
        now = 0.0
        outcome: list[object] = []
        for number in range(60):
            now += rng.uniform(0.1, 5.0)
            EVENTS.apply_random_event(cluster_state, rng, number, now, set())
            for job in cluster_state.jobs.values():
                job.accepted = msgspec.structs.replace(job.accepted, stretch=3.0)
            for worker in cluster_state.workers.values():
                worker.speed_known = options.worker_speeds
            cluster_state.plan(now, now * 1000)
            changes = cluster_state.take_changes()
            outcome.append([(str(s.run.task.name), s.run.worker_id) for s in changes.starts])
            outcome.append([(str(s.task), s.worker_id, s.reason) for s in changes.stops])
        return outcome

    @settings(max_examples=30, deadline=None)
    @given(st.integers(0, 2**32))
    def test_nothing_changes(self, seed: int) -> None:
        off = self.outcome(seed, SchedulingOptions())
        self.assertEqual(self.outcome(seed, USING_SPEEDS), off)


if __name__ == "__main__":
    unittest.main()
