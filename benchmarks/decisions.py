"""Times placement decisions, from admission to placement, for several sizes of a cell."""

from __future__ import annotations

import random
import resource
import sys
import time
from dataclasses import dataclass

from benchmarks.pages import MEASURES, replace_table
from saddlestack.models import Adjacency, Assignment, JobClass, JobSpec, Rack
from saddlestack.policy.cell import Cell
from saddlestack.policy.resources import workers_of
from saddlestack.replay.maker import config_of, make
from saddlestack.replay.runner import Replay
from saddlestack.replay.trace import Trace

SIZES = (24, 64, 256)
ROUNDS = 400
RUNNING_PER_WORKER = 500 / 256
WAITING_PER_WORKER = 200 / 256
REPLAY_JOBS = 20_000


def loaded_cell(workers: int, rng: random.Random) -> Cell:
    """Return a full cell with running and waiting gangs and partly used guarantees."""
    racks = [
        Rack(name=f"r{i:02d}", workers=8, accelerators=8, slots=8) for i in range(workers // 8)
    ]
    assignments = [
        Assignment(
            account=f"team{i % 8}",
            cell="c",
            accelerators=(8, 16, 32)[i % 3],
            adjacent=(Adjacency.WORKER, Adjacency.RACK, Adjacency.RACK)[i % 3],
        )
        for i in range(workers // 8)
    ]
    cell = Cell("c", workers_of(racks), assignments)
    job_count = int((RUNNING_PER_WORKER + WAITING_PER_WORKER) * workers)
    for number in range(job_count):
        cell.submit(_job(number, rng, JobClass.BULK), float(number))
    cell.decide(float(job_count))
    while len(cell.waiting) > WAITING_PER_WORKER * workers:
        cell.cancel(rng.choice(sorted(cell.waiting)))
    return cell


def _job(number: int, rng: random.Random, job_class: JobClass) -> JobSpec:
    size = rng.choice((1, 1, 2, 2, 4, 4, 8, 16))
    return JobSpec(
        account=f"team{rng.randrange(12)}",
        request=f"r{number}",
        job_class=job_class,
        accelerators=size,
        adjacent=Adjacency.WORKER if size <= 8 else Adjacency.RACK,
        checkpoint=rng.random() < 0.7,
        estimate=rng.uniform(600, 7200),
    )


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of decisions in a loaded cell.

    :param admission: sorted milliseconds of submissions, each with the decision that follows.
    :param end: sorted milliseconds of ends of gangs, each with the decision that follows.
    :param running: gangs that ran at the start of the measurement.
    :param waiting: gangs that waited then.
    """

    admission: list[float]
    end: list[float]
    running: int
    waiting: int


def time_decisions(workers: int) -> Timing:
    """Time submissions and ends of gangs, each with the decision that follows."""
    rng = random.Random(workers)
    cell = loaded_cell(workers, rng)
    load = (len(cell.running), len(cell.waiting))
    now = 100_000.0
    admission: list[float] = []
    end: list[float] = []
    for i in range(ROUNDS):
        now += 1.0
        job_class = rng.choice((JobClass.URGENT, JobClass.NORMAL, JobClass.BULK))
        spec = _job(1_000_000 + i, rng, job_class)
        began = time.perf_counter()
        cell.submit(spec, now)
        cell.decide(now)
        admission.append((time.perf_counter() - began) * 1000)
        ending = rng.choice(sorted(cell.running))
        began = time.perf_counter()
        cell.finished(ending, now)
        cell.decide(now)
        end.append((time.perf_counter() - began) * 1000)
        while len(cell.waiting) > load[1]:
            cell.cancel(rng.choice(sorted(cell.waiting)))
    return Timing(sorted(admission), sorted(end), *load)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def time_replay() -> tuple[int, float, float]:
    """Return the jobs, seconds and peak memory in MB of a long replay on 24 workers."""
    scale = 1.0
    events = make("ee-day", 1, scale)
    per_day = sum(1 for event in events if type(event).__name__ == "Submit")
    events = make("ee-day", 1, REPLAY_JOBS / per_day)
    began = time.perf_counter()
    result = Replay(config_of("ee-day"), Trace(list(enumerate(events, 1))), "saddlestack").run()
    elapsed_s = time.perf_counter() - began
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return result.jobs, elapsed_s, memory


def main() -> None:
    """Measure and write the table of docs/MEASURES.md."""
    lines = [
        "| workers | gangs running | waiting | admission ms, median | p99 | "
        "end of a gang ms, median | p99 |",
        "|" + " --- |" * 7,
    ]
    for workers in SIZES:
        timing = time_decisions(workers)
        shown = [
            f"{_quantile(t, q):.2f}" for t in (timing.admission, timing.end) for q in (0.5, 0.99)
        ]
        cells = [str(workers), str(timing.running), str(timing.waiting), *shown]
        lines.append("| " + " | ".join(cells) + " |")
    lines.append("")
    if "--no-replay" in sys.argv:
        lines.append("The long replay was not run with this table.")
    else:
        jobs, elapsed_s, memory = time_replay()
        lines.append(f"Replay of {jobs} jobs on 24 workers: {elapsed_s:.1f} s, {memory:.0f} MB.")
    table = "\n".join(lines) + "\n"
    replace_table(MEASURES, "decisions", table)
    print(table)


if __name__ == "__main__":
    main()
