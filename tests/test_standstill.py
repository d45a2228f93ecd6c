"""What counts as standing still beside a free pool, and what does not."""

import unittest

from saddlestack.policy.stall import STALL_S, PoolUsage, StallDetector, has_free_capacity


class HasRoomTest(unittest.TestCase):
    def test_room_twice_over_in_a_pool_that_is_mostly_free(self):
        self.assertTrue(has_free_capacity(PoolUsage(used=31, total=64), copies=8, wanted=4))

    def test_a_pool_that_is_half_used_is_no_free_one(self):
        self.assertFalse(has_free_capacity(PoolUsage(used=32, total=64), copies=8, wanted=4))

    def test_room_for_less_than_twice_is_not_enough(self):
        self.assertFalse(has_free_capacity(PoolUsage(used=0, total=64), copies=7, wanted=4))

    def test_a_pool_without_workers_has_none(self):
        self.assertFalse(has_free_capacity(PoolUsage(used=0, total=0), copies=0, wanted=1))


class StillWatchTest(unittest.TestCase):
    def setUp(self):
        self.watch = StallDetector()

    def test_a_job_that_stands_for_long_enough_is_told_once(self):
        self.assertEqual(self.watch.update(["a"], 10.0), [])
        self.assertEqual(self.watch.update(["a"], 10.0 + STALL_S - 0.1), [])
        found = self.watch.update(["a"], 10.0 + STALL_S)
        self.assertEqual([(each.job_id, each.since_s) for each in found], [("a", 10.0)])
        self.assertEqual(self.watch.update(["a"], 20.0), [])

    def test_a_job_that_moves_in_between_begins_anew(self):
        self.watch.update(["a"], 10.0)
        self.watch.update([], 11.0)
        self.watch.update(["a"], 12.0)
        self.assertEqual(self.watch.update(["a"], 14.0), [])
        self.assertEqual(self.watch.since("a"), 12.0)

    def test_a_second_standstill_of_a_job_is_told_as_well(self):
        for now in (0.0, 3.0):
            self.watch.update(["a"], now)
        self.watch.update([], 4.0)
        self.watch.update(["a"], 5.0)
        self.assertEqual(len(self.watch.update(["a"], 8.0)), 1)

    def test_jobs_are_told_apart(self):
        self.watch.update(["a"], 0.0)
        self.watch.update(["a", "b"], 2.0)
        self.assertEqual([each.job_id for each in self.watch.update(["a", "b"], 3.0)], ["a"])


if __name__ == "__main__":
    unittest.main()
