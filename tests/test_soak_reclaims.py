"""Tests of urgent jobs within the guarantees of their client accounts."""

from __future__ import annotations

import unittest
from dataclasses import replace

from saddlestack.soak.messages import LifeBegan, Record, RunBegan, RunEnded
from saddlestack.soak.reclaims import UrgentJob, missed_reclaims
from saddlestack.soak.runs import RunHistory
from saddlestack.work import JobRequest, Resources, Step

REQUEST = JobRequest(
    payload="{}", steps=(Step(count=2, needs=Resources(1000, 1024, 4), gang=True),)
)
JOB = UrgentJob("00000000000000aa", "depots", REQUEST, 9.9, 10.0, cancel_sent=False, over=True)
RECLAIM_S = 3.4


def history(*begins: tuple[str, int, float, float]) -> RunHistory:
    """Build a history of runs, each given by job, task, beginning and end."""
    records: list[Record] = [LifeBegan("a", "m1", "hall-1", "r1-1", 8, 0.0)]
    for job_id, index, began_s, ended_s in begins:
        name = f"{job_id}.0.0.{index}"
        records.append(RunBegan("a", name, 1, 1, began_s, began_s, False, 4, 2))
        records.append(RunEnded("a", name, 1, "done", ended_s))
    return RunHistory.of(records)


def missed(
    runs: RunHistory, *jobs: UrgentJob, guaranteed: int = 8, is_fault_free: bool = True
) -> list[tuple[str, int]]:
    found = missed_reclaims(
        runs, jobs or (JOB,), {"depots": guaranteed}, RECLAIM_S, lambda at_s: is_fault_free
    )
    return [(each.job.job_id, each.begun) for each in found]


class ReclaimTest(unittest.TestCase):
    def test_a_job_that_began_in_time(self) -> None:
        runs = history((JOB.job_id, 0, 13.0, 20.0), (JOB.job_id, 1, 13.3, 20.0))
        self.assertEqual(missed(runs), [])

    def test_a_job_that_began_in_part(self) -> None:
        runs = history((JOB.job_id, 0, 13.0, 20.0), (JOB.job_id, 1, 13.5, 20.0))
        self.assertEqual(missed(runs), [(JOB.job_id, 1)])

    def test_a_job_that_never_began(self) -> None:
        self.assertEqual(missed(history(), replace(JOB, over=False)), [(JOB.job_id, 0)])

    def test_job_beyond_the_guarantee(self) -> None:
        self.assertEqual(missed(history(), guaranteed=7), [])

    def test_other_urgent_jobs_of_the_account_count_until_they_end(self) -> None:
        other = replace(JOB, job_id="00000000000000bb", submitted_s=1.0, accepted_s=1.1)
        for effective_end_s, expected in ((9.0, [(JOB.job_id, 0)]), (11.0, [])):
            with self.subTest(effective_end_s):
                runs = history(
                    (other.job_id, 0, 1.2, effective_end_s), (other.job_id, 1, 1.2, effective_end_s)
                )
                self.assertEqual(missed(runs, JOB, other), expected)

    def test_other_accounts_do_not_count(self) -> None:
        other = replace(JOB, job_id="00000000000000bb", account="others", accepted_s=None)
        self.assertEqual(missed(history(), JOB, other), [(JOB.job_id, 0)])

    def test_cases_without_a_guaranteed_start(self) -> None:
        self.assertEqual(missed(history(), replace(JOB, accepted_s=None)), [])
        self.assertEqual(missed(history(), replace(JOB, cancel_sent=True)), [])
        self.assertEqual(missed(history(), is_fault_free=False), [])


if __name__ == "__main__":
    unittest.main()
