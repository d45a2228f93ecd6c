"""Records changed at random by other writers, with lost leaders and unreachable workers."""

from __future__ import annotations

import asyncio
import random
import unittest

from saddlestack.control import keys
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import PoolWorker
from saddlestack.work import JobState
from tests.malformed import mutated, worker_records
from tests.test_entries import CHANGES, EntryCase

SEEDS = range(1, 7)
ROUNDS = 80
STEP_S = 0.5
SETTLED_S = 90.0
JOBS = 24
SHARES = {"change": 0.5, "mutate": 0.2, "sound": 0.5, "cut": 0.06, "leader": 0.03, "stray": 0.2}
"""Probability of each fault in a round of 0.5 s."""


class SeededTest(EntryCase):
    def write_record(self, cluster: PoolCluster, worker: PoolWorker, rng: random.Random) -> None:
        """Writes a worker's record, as another writer or as the worker itself."""
        key = f"servers/{worker.worker_id}"
        if rng.random() < SHARES["sound"]:
            cluster.worker_pool.record(worker)
        item = cluster.store.item(key)
        if rng.random() < SHARES["mutate"]:
            cluster.store.put(key, mutated(item.value or b"{}", rng))
        elif rng.random() < SHARES["change"]:
            cluster.worker_pool.record(worker)
            rng.choice(list(CHANGES.values()))(self, cluster, worker)
        elif rng.random() < SHARES["change"]:
            cluster.worker_pool.expire_record(worker)

    async def cut(self, worker: PoolWorker, for_s: float) -> None:
        worker.unreachable = True
        await asyncio.sleep(for_s)
        worker.unreachable = False

    async def play_seed(self, cluster: PoolCluster, seed: int) -> None:
        rng = random.Random(seed)
        strays = list(worker_records().values())
        cuts: list[asyncio.Task[None]] = []
        submitted: list[str] = []
        for number in range(ROUNDS):
            if number % (ROUNDS // JOBS) == 0:
                submitted.append(f"{number:016x}")
                gang = rng.random() < 0.4
                request = job(rng.randint(1, 4), work_s=rng.uniform(0.5, 9.0), gang=gang)
                await cluster.submit(submitted[-1], request)
            workers = list(cluster.worker_pool.workers.values())
            self.write_record(cluster, rng.choice(workers), rng)
            if rng.random() < SHARES["stray"]:
                cluster.store.put(f"servers/stray-{rng.randrange(9)}", rng.choice(strays))
            if rng.random() < SHARES["cut"]:
                cut = self.cut(rng.choice(workers), rng.uniform(1.0, 14.0))
                cuts.append(asyncio.get_running_loop().create_task(cut))
            if rng.random() < SHARES["leader"] and cluster.leader is not None:
                name = cluster.leader_name
                await cluster.kill(name)
                await cluster.add_entry(name)
            if rng.random() < SHARES["leader"]:
                cluster.store.put(keys.LEADER, b"\xff")
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*cuts)
        for worker in cluster.worker_pool.workers.values():
            cluster.worker_pool.record(worker)
        for job_id in submitted:
            await cluster.until_state(job_id, JobState.COMPLETED, SETTLED_S)

    def test_nothing_runs_twice_and_all_is_done(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(lambda cluster, seed=seed: self.play_seed(cluster, seed), seed=seed)


if __name__ == "__main__":
    unittest.main()
