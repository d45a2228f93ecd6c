"""Times one round of planning on a loaded pool: running work, gangs that wait, urgent work."""

from __future__ import annotations

import random
import statistics
import time

from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.policy.board.board import Board
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step

SERVICE = "pool"
SIZES = (24, 176, 350)
WORKERS_A_RACK = 20
CAPACITY = Resources(32_000, 128_000, 8)
BULK_CPU, NORMAL_CPU, URGENT_CPU = 2_800, 13_000, 3_700
ROUNDS = 7


def loaded_board(workers: int, rng: random.Random) -> Board:
    """A pool with more work than it can hold, a third of it in bulk, most of it in gangs."""
    board = Board()
    for number in range(workers):
        board.set_worker(_record(number), 0.0)
    jobs: list[tuple[int, Step]] = []
    for _ in range(workers // 6):
        jobs.append((2, _step(rng.choice((10, 20, 40)), BULK_CPU, 1)))
    for _ in range(workers * 2 // 5):
        jobs.append((1, _gang(rng, NORMAL_CPU)))
    for _ in range(workers // 12):
        jobs.append((0, _gang(rng, URGENT_CPU)))
    for number, (priority, step) in enumerate(jobs):
        board.add_job(_job(number, priority, step), {})
    return board


def _record(number: int) -> WorkerRecord:
    rack = f"r{number // WORKERS_A_RACK}"
    return WorkerRecord(
        worker_id=f"w{number}",
        service=SERVICE,
        address="127.0.0.1:1",
        data_hall="hall",
        draining=False,
        capacity=CAPACITY,
        labels=(rack,),
        rack=rack,
        clock_ms=0,
        machine=f"m{number}",
        remaining_ms=None,
    )


def _step(count: int, cpu: int, accelerators: int) -> Step:
    return Step(count=count, needs=Resources(cpu, 1000, accelerators), estimate_ms=1000)


def _gang(rng: random.Random, cpu: int) -> Step:
    return Step(
        count=rng.choice((2, 4, 8)),
        needs=Resources(cpu, 1000, rng.choice((1, 2, 4, 8))),
        estimate_ms=1000,
        gang=True,
        same_rack=rng.random() < 0.6,
    )


def _job(number: int, priority: int, step: Step) -> AcceptedJob:
    return AcceptedJob(
        job_id=f"{number:016x}",
        account="depots",
        queue="q",
        service=SERVICE,
        priority=priority,
        attempts=3,
        accepted_ms=number,
        request=JobRequest(payload="", steps=(step,)),
    )


def main() -> None:
    """Print the median of some rounds for each size, in milliseconds."""
    for workers in SIZES:
        board = loaded_board(workers, random.Random(1))
        board.plan(0.0, 0.0)
        for start in board.take().starts:
            board.started(start.run, 0.0)
        times = []
        for number in range(ROUNDS):
            began = time.perf_counter()
            board.plan(1.0 + number / 10, 0.0)
            times.append((time.perf_counter() - began) * 1000)
            board.take()
        print(f"{workers} workers: {statistics.median(times):.1f} ms a round")


if __name__ == "__main__":
    main()
