"""Urgent jobs and what their client accounts own."""

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


def book(*begins: tuple[str, int, float, float]) -> RunHistory:
    """Runs: job, task, beginning and end."""
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
        runs = book((JOB.job_id, 0, 13.0, 20.0), (JOB.job_id, 1, 13.3, 20.0))
        self.assertEqual(missed(runs), [])

    def test_a_job_that_began_in_part(self) -> None:
        runs = book((JOB.job_id, 0, 13.0, 20.0), (JOB.job_id, 1, 13.5, 20.0))
        self.assertEqual(missed(runs), [(JOB.job_id, 1)])

    def test_a_job_that_never_began(self) -> None:
        self.assertEqual(missed(book(), replace(JOB, over=False)), [(JOB.job_id, 0)])

    def test_more_than_the_account_owns(self) -> None:
        self.assertEqual(missed(book(), guaranteed=7), [])

    def test_what_the_account_uses_already_counts_until_it_is_over(self) -> None:
        other = replace(JOB, job_id="00000000000000bb", submitted_s=1.0, accepted_s=1.1)
        for effective_end_s, expected in ((9.0, [(JOB.job_id, 0)]), (11.0, [])):
            with self.subTest(effective_end_s):
                runs = book(
                    (other.job_id, 0, 1.2, effective_end_s), (other.job_id, 1, 1.2, effective_end_s)
                )
                self.assertEqual(missed(runs, JOB, other), expected)

    def test_other_accounts_do_not_count(self) -> None:
        other = replace(JOB, job_id="00000000000000bb", account="others", accepted_s=None)
        self.assertEqual(missed(book(), JOB, other), [(JOB.job_id, 0)])

    def test_where_nothing_is_owed(self) -> None:
        self.assertEqual(missed(book(), replace(JOB, accepted_s=None)), [])
        self.assertEqual(missed(book(), replace(JOB, cancel_sent=True)), [])
        self.assertEqual(missed(book(), is_fault_free=False), [])


if __name__ == "__main__":
    unittest.main()
