"""Forecast of the demand of urgent work, by which the headroom is sized.

Urgent work arrives in waves and bursts. A fixed headroom is too small at the crest of a wave, and
between waves it keeps workers idle that other work could use. The forecast follows what arrives and
what is present, waiting or running. Long-running work does not count: it neither ends nor recurs.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Job, Run, StepState
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.waiting import is_waiting

HORIZON_S = 3.0
"""How far the forecast looks ahead: urgent work takes 2.1 to 2.5 s, and a stop up to 0.4 s."""
AVERAGE_S = 2.0
"""Time constant of the average rate, short enough to follow a burst that begins within a second."""
PEAK_HALF_LIFE_S = 5.0
"""Half-life of peaks: a gang of the size just seen may follow, but a burst of 6 s is over soon."""
PEAK_MEMORY_S = 20.0
"""Age at which a peak is dropped, longer than the longest period of the waves (17 s)."""
MAX_SILENCE_S = 1.0
"""Most time that counts between two observations. Rounds are at most 0.5 s apart; a leader that was
blocked for longer has seen no lack of demand."""
INITIAL_SHARE = 0.25
"""Share of the pool that a new leader keeps at first, as without a forecast."""
MIN_SHARE = 0.1
"""Smallest share of the pool that is kept, since the first gangs of a wave arrive unannounced."""
MAX_SHARE = 0.4
"""Largest share of the pool that is kept, so that a burst leaves room for other work."""


@dataclass(slots=True)
class _Peak:
    """The highest of the recent values, with exponential decay."""

    value: float = 0.0
    age_s: float = 0.0

    def observe(self, value: float, elapsed_s: float) -> None:
        """Let time pass, and take in a new value."""
        self.age_s += elapsed_s
        self.value *= 2 ** (-elapsed_s / PEAK_HALF_LIFE_S)
        if value >= self.value or self.age_s > PEAK_MEMORY_S:
            self.value = value
            self.age_s = 0.0


@dataclass(slots=True)
class _ServiceDemand:
    """Demand of urgent work for one service, in accelerators.

    :param held: what its runs hold now.
    :param rate: fast average of what arrives per second.
    :param peak_rate: recent peak of ``rate``.
    :param peak_present: recent peak of what waits or runs.
    """

    held: int = 0
    rate: float = 0.0
    peak_rate: _Peak = field(default_factory=_Peak)
    peak_present: _Peak = field(default_factory=_Peak)

    @property
    def needed(self) -> float:
        """What is likely to be needed within the horizon beyond what is held.

        Work that ends meanwhile frees no room for what arrives: it shares workers with other work,
        and gangs need whole ones.
        """
        return max(HORIZON_S * self.peak_rate.value, self.peak_present.value - self.held)

    def begin(self, waiting: int) -> None:
        """Begin with the work that an earlier leader has left."""
        self.peak_present.observe(self.held + waiting, 0.0)

    def observe(self, arrived: int, waiting: int, elapsed_s: float) -> None:
        """Take in what has arrived and what waits after some time."""
        kept = math.exp(-elapsed_s / AVERAGE_S)
        self.rate = self.rate * kept + arrived / AVERAGE_S
        self.peak_rate.observe(self.rate, elapsed_s)
        self.peak_present.observe(self.held + waiting, elapsed_s)


class DemandForecast:
    """Forecasts, for each service, what urgent work needs soon beyond what it holds.

    :param context: tells which service runs a job.
    """

    def __init__(self, context: PlannerContext) -> None:
        self._context = context
        self._services: dict[str, _ServiceDemand] = {}
        self._held_by: dict[Run, str] = {}
        self._waiting: set[StepState] = set()
        self._observed_s: float | None = None
        self._age_s = 0.0

    def run_added(self, run: Run) -> None:
        """Count a run that was assigned or inherited."""
        if run not in self._held_by and _counts(run.task.step):
            service = self._held_by[run] = self._service_of(run.task.step.occurrence.job)
            self._demand(service).held += run.allocation.accelerators

    def run_removed(self, run: Run) -> None:
        """Stop counting a run that is over."""
        service = self._held_by.pop(run, None)
        if service is not None:
            self._demand(service).held -= run.allocation.accelerators

    def observe(self, waiting: Iterable[StepState], now: float) -> None:
        """Take in the waiting steps at the beginning of a round.

        :param waiting: steps in order of priority.
        """
        steps = [step for step in takewhile(_is_urgent, waiting) if _counts(step)]
        wanted: Counter[str] = Counter()
        arrived: Counter[str] = Counter()
        for step in steps:
            service = self._service_of(step.occurrence.job)
            accelerators = _waiting_accelerators(step)
            wanted[service] += accelerators
            if step.waiting_since_s == now and step not in self._waiting:
                arrived[service] += accelerators
        self._waiting = set(steps)
        for service in wanted:
            self._demand(service)
        self._update(wanted, arrived, now)

    def headroom(self, service: str, service_capacity: ServiceCapacity) -> float:
        """Accelerators on empty workers to keep for urgent work of a service.

        :param service_capacity: capacity of the service.
        """
        pool = service_capacity.open.accelerators
        demand = self._services.get(service)
        needed = 0.0 if demand is None else demand.needed
        initial = pool * INITIAL_SHARE * 2 ** (-self._age_s / PEAK_HALF_LIFE_S)
        return min(pool * MAX_SHARE, max(pool * MIN_SHARE, needed, initial))

    def _update(self, wanted: Counter[str], arrived: Counter[str], now: float) -> None:
        if self._observed_s is None:
            for service, demand in self._services.items():
                demand.begin(wanted[service])
        else:
            elapsed_s = min(now - self._observed_s, MAX_SILENCE_S)
            self._age_s += elapsed_s
            for service, demand in self._services.items():
                demand.observe(arrived[service], wanted[service], elapsed_s)
        self._observed_s = now

    def _demand(self, service: str) -> _ServiceDemand:
        return self._services.setdefault(service, _ServiceDemand())

    def _service_of(self, job: Job) -> str:
        return self._context.service_of(job)


def _is_urgent(step: StepState) -> bool:
    return step.occurrence.job.priority == TOP_PRIORITY


def _counts(step: StepState) -> bool:
    return _is_urgent(step) and not step.step.long_running


def _waiting_accelerators(step: StepState) -> int:
    count = sum(1 for task in step.tasks if is_waiting(task))
    return count * step.step.needs.accelerators
