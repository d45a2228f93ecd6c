"""Kinds of jobs that a day has only where its options name them.

They are not drawn by the seed, so that existing seeds keep producing the same days.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec

from saddlestack.standins.pool.documents import ACCOUNT
from saddlestack.work import JobRequest, Step
from tests.simulation.deployment import Shape
from tests.simulation.workers import Plan

OTHER_ACCOUNT = "others"
"""The client account that submits the failing jobs."""
KINDS = ("near", "rack_gangs", "per_worker")
KIND_SHARE = 0.6
"""Share of the jobs of a day that are of a named kind, where the job allows it."""
LARGEST_GANG = 16
"""The most accelerators of a gang of one rack: a rack of two workers holds it."""
CRASHES_S = (0.3, 2.0)
"""Choices for the time within which a crashing task crashes its worker."""
EARLY_S = (0.02, 0.2, 0.8)
"""Choices for the time after its start at which an early failure occurs."""


@dataclass(frozen=True, slots=True)
class HandedIn:
    """A job as its client submits it."""

    queue: str
    request: JobRequest
    account: str = ACCOUNT


@dataclass(frozen=True, slots=True)
class JobKinds:
    """The additional kinds of jobs of a day.

    :param named: some of ``near`` (data on one rack; work on others takes longer), ``rack_gangs``
        (gangs of one rack) and ``per_worker`` (a limit of tasks per worker).
    :param failing: share of the jobs that :data:`OTHER_ACCOUNT` submits and each task of which
        fails once by its own fault.
    :param crashing: share of the jobs with one task that crashes each worker that starts it.
    """

    named: frozenset[str] = frozenset()
    failing: float = 0.0
    crashing: float = 0.0


@dataclass(slots=True)
class JobsByName:
    """Changes jobs to the kinds that a day names; where it names none, jobs stay unchanged."""

    kinds: JobKinds
    shape: Shape
    seed: int
    _fails_until: float = 0.0
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed * 11 + 3)

    def fail_until(self, until: float) -> None:
        """Let jobs fail that :data:`OTHER_ACCOUNT` submits before a time."""
        self._fails_until = until

    def changed(self, job: HandedIn, now: float) -> HandedIn:
        """The job with the changes of this day."""
        request = job.request
        for kind in KINDS:
            if kind in self.kinds.named and self._rng.random() < KIND_SHARE:
                request = getattr(self, f"_{kind}")(request)
        lasts = request.steps[0].long_running
        if self.kinds.crashing and not lasts and self._rng.random() < self.kinds.crashing:
            request = self._crashing(request)
        job = HandedIn(job.queue, request, job.account)
        bursts = now < self._fails_until
        if (bursts or self.kinds.failing) and not request.steps[0].long_running:
            share = max(self.kinds.failing, 0.5 if bursts else 0.0)
            if self._rng.random() < share:
                return self._failing(job)
        return job

    def _failing(self, job: HandedIn) -> HandedIn:
        fails_s = self._rng.choice((0.0, self._rng.choice(EARLY_S)))
        plan = msgspec.structs.replace(_plan(job.request), failures=1, fails_s=fails_s)
        return HandedIn(job.queue, _with(job.request, plan, {}), OTHER_ACCOUNT)

    def _crashing(self, request: JobRequest) -> JobRequest:
        plan = msgspec.structs.replace(
            _plan(request),
            crashing=self._rng.randrange(request.steps[0].count),
            crashes_s=self._rng.choice(CRASHES_S),
        )
        return _with(request, plan, {})

    def _near(self, request: JobRequest) -> JobRequest:
        rack = f"r{self._rng.randint(1, self.shape.racks)}-1"
        plan = msgspec.structs.replace(_plan(request), near=rack)
        return _with(request, plan, {"data_rack": rack})

    def _rack_gangs(self, request: JobRequest) -> JobRequest:
        step = request.steps[0]
        if step.long_running:
            return request
        count = max(1, min(step.count, LARGEST_GANG // step.needs.accelerators))
        plan = msgspec.structs.replace(_plan(request), gang=count)
        return _with(request, plan, {"gang": True, "same_rack": True, "count": count})

    def _per_worker(self, request: JobRequest) -> JobRequest:
        if request.steps[0].gang:
            return request
        return _with(request, _plan(request), {"per_worker": self._rng.randint(1, 2)})


def _plan(request: JobRequest) -> Plan:
    return msgspec.json.decode(request.payload, type=Plan)


def _with(request: JobRequest, plan: Plan, changes: dict[str, object]) -> JobRequest:
    steps: tuple[Step, ...] = tuple(
        msgspec.structs.replace(step, **changes) for step in request.steps
    )
    payload = msgspec.json.encode(plan).decode()
    return msgspec.structs.replace(request, payload=payload, steps=steps)
