"""Uneven demand: waves of jobs of all priorities, and crowds that want more than there is.

Used only on days that ask for it, so that existing seeds keep producing the same days.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

import msgspec

from saddlestack.standins.pool.documents import ACCOUNT
from saddlestack.work import JobRequest, Resources, Step
from tests.simulation.deployment import Shape
from tests.simulation.jobs import OTHER_ACCOUNT, HandedIn
from tests.simulation.speeds import Speeds
from tests.simulation.workers import Plan

USE = 0.6
"""Mean share of the pool's accelerators that the jobs would use on usual workers."""
WAVE_S = 15.0
"""Time from one wave of demand to the next."""
WAVE_HEIGHT = 0.9
"""The rate of jobs is this share above its mean at the top of a wave, and below it between two."""
CROWD_S = (6.0, 14.0)
"""Range of the time from one crowd to the next."""
CROWD_LASTS_S = 0.5
CROWD_SIZE = 1.0
"""The jobs of a crowd would use all accelerators of the pool at once."""
GANG_POOL_SHARE = 0.25
"""The largest share of the pool that a gang needs."""
WORKER_ROOM = 8
UNKNOWN_SHARE = 0.2
"""Share of the jobs without an estimate."""


@dataclass(frozen=True, slots=True)
class HardLoad:
    """The unequal workers and the uneven demand of a day.

    :param crowds: whether crowds arrive beside the waves.
    """

    speeds: Speeds = field(default_factory=Speeds)
    crowds: bool = False


@dataclass(frozen=True, slots=True)
class _Mix:
    """The jobs of one queue.

    :param share: share of all jobs.
    :param tasks: mean number of tasks.
    :param rooms: choices for the accelerators of each task.
    """

    queue: str
    share: float
    tasks: float
    most_tasks: int
    rooms: tuple[int, ...]
    work_s: tuple[float, float]
    gang: bool
    same_rack: float
    checkpoint: float
    steps: float = 1.0

    @property
    def seconds(self) -> float:
        """Mean accelerator-seconds of a job."""
        room = sum(self.rooms) / len(self.rooms)
        return self.steps * self.tasks * room * sum(self.work_s) / 2


MIXES = (
    _Mix("urgent", 0.5, 4, 16, (1, 2, 4, 8), (2.1, 2.5), True, 0.8, 0.0),
    _Mix("normal", 0.25, 6, 32, (1, 2, 4, 8), (5.8, 6.8), True, 0.6, 0.45),
    _Mix("bulk", 0.25, 16, 64, (1,), (5.2, 7.6), False, 0.0, 0.3, 1.3),
)
"""As in the table of the design, with fewer tasks, as simulated pools are small."""
OBJECTIVES = {"urgent": (1.5, 300.0), "normal": (3.0, 1000.0), "bulk": (3.0, 3000.0)}
"""Stretch and milliseconds of the objective, for each queue."""


class Demand:
    """Draws the jobs of a day and the times between them."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self._pool = shape.workers * WORKER_ROOM
        self._rng = random.Random(seed * 13 + 5)

    def next_s(self, now: float) -> float:
        """Seconds until the next job of the waves."""
        mean = sum(mix.share * mix.seconds for mix in MIXES)
        highest = 1 + WAVE_HEIGHT
        at_s = now
        while True:
            at_s += self._rng.expovariate(highest * USE * self._pool / mean)
            wave = 1 + WAVE_HEIGHT * math.sin(2 * math.pi * at_s / WAVE_S)
            if self._rng.random() * highest < wave:
                return at_s - now

    def next_crowd_s(self) -> float:
        """Seconds until the next crowd."""
        return self._rng.uniform(*CROWD_S)

    def crowd(self) -> list[tuple[float, HandedIn]]:
        """The jobs of a crowd, each with the seconds until it arrives."""
        found, wanted = [], 0
        while wanted < CROWD_SIZE * self._pool:
            job = self.job()
            step = job.request.steps[0]
            wanted += step.count * step.needs.accelerators
            found.append((self._rng.uniform(0.0, CROWD_LASTS_S), job))
        return found

    def job(self) -> HandedIn:
        """Draw a job of any priority."""
        rng = self._rng
        mix = rng.choices(MIXES, [each.share for each in MIXES])[0]
        room = rng.choice(mix.rooms)
        most = int(self._pool * GANG_POOL_SHARE) // room if mix.gang else mix.most_tasks
        count = max(1, min(round(rng.expovariate(1 / mix.tasks)), mix.most_tasks, most))
        work_s = rng.uniform(*mix.work_s)
        step = Step(
            count=count,
            needs=Resources(500, 512, room),
            estimate_ms=self._estimate_ms(work_s),
            gang=mix.gang,
            checkpoint=rng.random() < mix.checkpoint,
            same_rack=rng.random() < mix.same_rack,
            per_worker=0 if mix.gang else rng.choice((0, 1, 2)),
        )
        more = rng.random() < mix.steps - 1
        steps = (step, msgspec.structs.replace(step, after=(0,))) if more else (step,)
        plan = Plan(work_s, room, count if mix.gang else 0, varies=True)
        request = JobRequest(payload=msgspec.json.encode(plan).decode(), steps=steps)
        return HandedIn(mix.queue, request, rng.choice((ACCOUNT, ACCOUNT, OTHER_ACCOUNT)))

    def _estimate_ms(self, work_s: float) -> int:
        """An estimate that is off by up to ten in either direction, or missing."""
        if self._rng.random() < UNKNOWN_SHARE:
            return 0
        return round(1000 * work_s * 10 ** self._rng.uniform(-1.0, 1.0))
