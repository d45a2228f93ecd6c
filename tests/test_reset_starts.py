"""Workers that reset each connection with a start order and answer all other calls.

On a simulated day hundreds of starts a second were sent to such workers, each with its own record
in the store.
"""

from __future__ import annotations

import unittest

from saddlestack.control.session import MAX_START_TRIES
from saddlestack.policy.cluster.workers import BUSY_QUARANTINE_S
from tests.simulation.scene import JOB, SceneTest, job, tasks
from tests.simulation.ways import ANY, Fault

LASTS_S = 2 * BUSY_QUARANTINE_S


class ResetStartsTest(SceneTest):
    def test_a_worker_that_resets_a_start_gets_the_next_one_after_a_delay(self) -> None:
        workers = list(self.site.workers.lives.values())
        until = self.now + LASTS_S
        for worker in workers:
            self.site.ways.add(Fault("reset", ANY, f"{worker.worker_id}/start", until))
        self.hand_in(job(tasks(1)))
        self.after(LASTS_S)
        sent = len(self.site.workers.orders[JOB])
        pauses = LASTS_S / BUSY_QUARANTINE_S
        self.assertLessEqual(sent, MAX_START_TRIES * len(workers) * pauses)

    def test_the_work_starts_once_starts_are_answered(self) -> None:
        workers = list(self.site.workers.lives.values())
        until = self.now + LASTS_S
        for worker in workers:
            self.site.ways.add(Fault("reset", ANY, f"{worker.worker_id}/start", until))
        self.hand_in(job(tasks(1)))
        self.after(LASTS_S + BUSY_QUARANTINE_S + 1.0)
        self.assertEqual([run.task.job_id for run in self.site.workers.begun], [JOB])


if __name__ == "__main__":
    unittest.main()
