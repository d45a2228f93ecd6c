"""Tests when a job counts as stalled beside a mostly free pool."""

import unittest

from saddlestack.policy.stall import STALL_S, PoolUsage, StallDetector, has_free_capacity


class HasFreeCapacityTest(unittest.TestCase):
    def test_capacity_for_twice_the_tasks_in_a_mostly_free_pool_is_enough(self):
        self.assertTrue(has_free_capacity(PoolUsage(used=31, total=64), copies=8, wanted=4))

    def test_a_half_used_pool_is_not_mostly_free(self):
        self.assertFalse(has_free_capacity(PoolUsage(used=32, total=64), copies=8, wanted=4))

    def test_capacity_for_less_than_twice_the_tasks_is_not_enough(self):
        self.assertFalse(has_free_capacity(PoolUsage(used=0, total=64), copies=7, wanted=4))

    def test_a_pool_without_workers_has_no_free_capacity(self):
        self.assertFalse(has_free_capacity(PoolUsage(used=0, total=0), copies=0, wanted=1))


class StallDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = StallDetector()

    def test_a_stall_is_returned_once(self):
        self.assertEqual(self.detector.update(["a"], 10.0), [])
        self.assertEqual(self.detector.update(["a"], 10.0 + STALL_S - 0.1), [])
        found = self.detector.update(["a"], 10.0 + STALL_S)
        self.assertEqual([(each.job_id, each.since_s) for each in found], [("a", 10.0)])
        self.assertEqual(self.detector.update(["a"], 20.0), [])

    def test_a_job_that_runs_in_between_begins_to_wait_again(self):
        self.detector.update(["a"], 10.0)
        self.detector.update([], 11.0)
        self.detector.update(["a"], 12.0)
        self.assertEqual(self.detector.update(["a"], 14.0), [])
        self.assertEqual(self.detector.since("a"), 12.0)

    def test_a_second_stall_of_a_job_is_returned_as_well(self):
        for now in (0.0, 3.0):
            self.detector.update(["a"], now)
        self.detector.update([], 4.0)
        self.detector.update(["a"], 5.0)
        self.assertEqual(len(self.detector.update(["a"], 8.0)), 1)

    def test_jobs_are_tracked_separately(self):
        self.detector.update(["a"], 0.0)
        self.detector.update(["a", "b"], 2.0)
        self.assertEqual([each.job_id for each in self.detector.update(["a", "b"], 3.0)], ["a"])


if __name__ == "__main__":
    unittest.main()
