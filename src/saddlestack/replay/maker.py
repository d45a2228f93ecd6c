"""Generates traces from a seed: days and nights of two users, each with expected outcomes."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import Account, Adjacency, DataHall, Guarantee, JobClass, Rack, Weights
from saddlestack.replay.trace import (
    Event,
    Expect,
    Outcome,
    ReplayConfig,
    Submit,
    VmBack,
    VmLeaving,
    VmLost,
)

HOUR_S = 3600.0
MINUTE_S = 60.0
URGENT_START_S = 8.5
WORKERS_A_HALL = 8
ACCELERATORS = 8
CAPACITY = 3 * WORKERS_A_HALL * ACCELERATORS
DEADLINE_S = 48 * HOUR_S

EE_HALLS = (("ulemiste", "ee-u"), ("mustamae", "ee-m"), ("maardu", "ee-d"))
IS_HALLS = (("hofn-hall", "is-h"), ("laugar-hall", "is-l"), ("kopa-hall", "is-k"))


def _halls(names: tuple[tuple[str, str], ...]) -> tuple[DataHall, ...]:
    return tuple(
        DataHall(
            name=hall,
            racks=(Rack(name=rack, workers=WORKERS_A_HALL, accelerators=ACCELERATORS, slots=8),),
        )
        for hall, rack in names
    )


def _guarantee(count: int, accelerators: int, adjacent: Adjacency) -> Guarantee:
    return Guarantee(accelerators=accelerators, adjacent=adjacent, count=count)


def ee_config() -> ReplayConfig:
    """Return the configuration of Laadimisvõrk: three halls of eight workers, four accounts."""
    return ReplayConfig(
        data_halls=_halls(EE_HALLS),
        accounts=(
            Account(name="depots", guarantees=(_guarantee(2, 16, Adjacency.RACK),)),
            Account(name="stations", guarantees=(_guarantee(3, 8, Adjacency.WORKER),)),
            Account(name="tariffs", guarantees=(_guarantee(2, 8, Adjacency.WORKER),)),
            Account(name="replays"),
        ),
        weights=Weights(completion=0.7, fragmentation=0.3),
    )


def is_config() -> ReplayConfig:
    """Return the configuration of Þjórfé Skiptir: three halls of eight workers, four accounts."""
    return ReplayConfig(
        data_halls=_halls(IS_HALLS),
        accounts=(
            Account(
                name="kitchens",
                guarantees=(
                    _guarantee(1, 32, Adjacency.RACK),
                    _guarantee(1, 16, Adjacency.RACK),
                ),
            ),
            Account(name="floors", guarantees=(_guarantee(2, 16, Adjacency.RACK),)),
            Account(name="corrections", guarantees=(_guarantee(2, 8, Adjacency.WORKER),)),
            Account(name="ledger"),
        ),
        weights=Weights(completion=0.4, fragmentation=0.6),
    )


@dataclass(frozen=True, slots=True)
class Recipe:
    """The configuration of a named trace and the function that adds its events."""

    config: Callable[[], ReplayConfig]
    make: Callable[[_TraceBuilder], None]


class _TraceBuilder:
    """Collects the events of a trace, with helpers for common kinds of load.

    :ivar deadline: seconds at which all expected outcomes of jobs are checked at the latest.
    """

    def __init__(self, seed: int, scale: float) -> None:
        self.rng = random.Random(seed)
        self.scale = scale
        self.deadline = DEADLINE_S * max(1.0, scale)
        self.events: list[Event] = []
        self._counters: dict[str, int] = {}
        self._last = 0.0

    def submit(
        self,
        at: float,
        account: str,
        job_class: JobClass,
        accelerators: int,
        duration: float,
        *,
        adjacent: Adjacency | None = None,
        run_once: bool = False,
        checkpoint: bool = False,
        estimate_error: float = 0.0,
        must_finish: bool = True,
    ) -> None:
        """Submit a job and add its expected outcomes.

        Urgent jobs must start in time, and run-once jobs must start at most once.

        :param estimate_error: the largest relative error of the caller's estimate.
        :param must_finish: whether the job must finish by the deadline.
        """
        number = self._counters[account] = self._counters.get(account, 0) + 1
        request = f"{account[:3]}-{number:05d}"
        at = round(at, 3)
        duration = round(duration, 3)
        estimate = None
        if estimate_error:
            estimate = round(duration * self.rng.uniform(1 - estimate_error, 1 + estimate_error), 3)
        self.events.append(
            Submit(
                t=at,
                account=account,
                request=request,
                job_class=job_class,
                accelerators=accelerators,
                duration=duration,
                adjacent=adjacent,
                run_once=run_once,
                checkpoint=checkpoint,
                estimate=estimate,
            )
        )
        self._last = max(self._last, at)
        if job_class is JobClass.URGENT:
            self._expect(at, Outcome.STARTED_WITHIN, account, request, seconds=URGENT_START_S)
        if run_once:
            self._expect(self.deadline, Outcome.STARTS_AT_MOST, account, request, count=1)
        if must_finish:
            self._expect(self.deadline, Outcome.FINISHED, account, request)

    def expect_guarantees(self, config: ReplayConfig, every: float, until: float) -> None:
        """Expect the guarantees of every account to be formable at regular times.

        :param every: seconds between two checks.
        """
        at = every
        while at < until:
            for account in config.accounts:
                if account.guarantees:
                    self.events.append(
                        Expect(t=at, that=Outcome.GUARANTEE_FORMABLE, account=account.name)
                    )
            at += every

    def arrivals(self, start: float, end: float, every: float) -> Iterator[float]:
        """Yield times of a Poisson process that are ``every`` seconds apart on average."""
        at = start
        while True:
            at += self.rng.expovariate(1.0 / every)
            if at >= end:
                return
            yield at

    def minutes(self, low: float, high: float) -> float:
        """Draw a run time in seconds between two numbers of minutes; short ones are more likely."""
        return MINUTE_S * (low + (high - low) * self.rng.random() ** 2)

    def _expect(
        self,
        at: float,
        that: Outcome,
        account: str,
        request: str,
        *,
        seconds: float | None = None,
        count: int | None = None,
    ) -> None:
        self.events.append(
            Expect(t=at, that=that, account=account, request=request, seconds=seconds, count=count)
        )


def _fault_checks(
    builder: _TraceBuilder, start: float, end: float, every: float, burst_every: float
) -> None:
    """Add fault checks of station crews: a steady low rate and bursts."""
    for at in builder.arrivals(start, end, every):
        builder.submit(at, "stations", JobClass.URGENT, 1, builder.rng.uniform(8, 40))
    for at in builder.arrivals(start, end, burst_every):
        for _ in range(builder.rng.randint(20, 45)):
            offset = builder.rng.uniform(0, 4)
            accelerators = builder.rng.choice((1, 1, 1, 2))
            builder.submit(
                at + offset, "stations", JobClass.URGENT, accelerators, builder.rng.uniform(8, 40)
            )


def _forecasts(builder: _TraceBuilder, start: float, end: float, every: float) -> None:
    for at in builder.arrivals(start, end, every):
        accelerators = builder.rng.choice((2, 4, 4, 8))
        builder.submit(
            at, "tariffs", JobClass.NORMAL, accelerators, builder.minutes(3, 20), estimate_error=0.4
        )


def _depot_plans(builder: _TraceBuilder, start: float, end: float, every: float) -> None:
    for at in builder.arrivals(start, end, every):
        accelerators = builder.rng.choice((16, 16, 16, 32))
        builder.submit(
            at,
            "depots",
            JobClass.NORMAL,
            accelerators,
            builder.minutes(8, 40),
            adjacent=Adjacency.RACK,
            checkpoint=True,
            estimate_error=0.3,
        )


def _replays(builder: _TraceBuilder, start: float, end: float, load: float) -> None:
    """Add bulk session replays up to a share ``load`` of the capacity."""
    wanted = load * CAPACITY * (end - start)
    while wanted > 0:
        accelerators = builder.rng.choice((1, 1, 2, 2, 4, 4, 8))
        duration = builder.minutes(5, 60)
        is_billing = builder.rng.random() < 0.5
        builder.submit(
            builder.rng.uniform(start, end),
            "replays",
            JobClass.BULK,
            accelerators,
            duration,
            run_once=is_billing,
            checkpoint=is_billing or builder.rng.random() < 0.8,
            estimate_error=0.5,
        )
        wanted -= accelerators * duration


def _ee_day(builder: _TraceBuilder) -> None:
    end = 8 * HOUR_S * builder.scale
    _fault_checks(builder, 0, end, 90, 45 * MINUTE_S)
    _forecasts(builder, 0, end, 90)
    _depot_plans(builder, 0, end, 9 * MINUTE_S)
    _replays(builder, 0, end, 0.6)
    builder.expect_guarantees(ee_config(), HOUR_S / 2, end)


def _ee_night(builder: _TraceBuilder) -> None:
    end = 6 * HOUR_S * builder.scale
    _fault_checks(builder, 0, end, 240, 30 * MINUTE_S)
    _depot_plans(builder, 0, end, 12 * MINUTE_S)
    _replays(builder, 0, end * 0.6, 1.1)
    builder.expect_guarantees(ee_config(), HOUR_S / 2, end)


def _ee_bad_day(builder: _TraceBuilder) -> None:
    end = 8 * HOUR_S * builder.scale
    _fault_checks(builder, 0, end, 90, 60 * MINUTE_S)
    _forecasts(builder, 0, end, 120)
    _depot_plans(builder, 0, end, 12 * MINUTE_S)
    _lossy_replays(builder, 0, end, 0.6)
    _failures(builder, EE_HALLS, end)


def _lossy_replays(builder: _TraceBuilder, start: float, end: float, load: float) -> None:
    """Add bulk work of a bad day: run-once replays may become unknown but never run twice."""
    wanted = load * CAPACITY * (end - start)
    while wanted > 0:
        accelerators = builder.rng.choice((1, 2, 4, 8))
        duration = builder.minutes(5, 45)
        is_billing = builder.rng.random() < 0.4
        builder.submit(
            builder.rng.uniform(start, end),
            "replays",
            JobClass.BULK,
            accelerators,
            duration,
            run_once=is_billing,
            checkpoint=builder.rng.random() < 0.8,
            estimate_error=0.5,
            must_finish=not is_billing,
        )
        wanted -= accelerators * duration


def _failures(builder: _TraceBuilder, halls: tuple[tuple[str, str], ...], end: float) -> None:
    """Add VMs that are lost or leave and return, at most one of each data hall at a time."""
    for _, rack in halls:
        at = builder.rng.uniform(0.02, 0.1) * end
        while at < end:
            vm = f"{rack}-{builder.rng.randint(1, WORKERS_A_HALL):02d}"
            away = builder.minutes(5, 40)
            if builder.rng.random() < 0.4:
                builder.events.append(VmLeaving(t=round(at, 3), vm=vm))
                builder.events.append(VmLost(t=round(at + away / 2, 3), vm=vm))
            else:
                builder.events.append(VmLost(t=round(at, 3), vm=vm))
            builder.events.append(VmBack(t=round(at + away, 3), vm=vm))
            at += away + builder.minutes(5, 60)


def _fillers(builder: _TraceBuilder, start: float, end: float, load: float) -> None:
    """Add ledger work: many small jobs that fill all gaps."""
    wanted = load * CAPACITY * (end - start)
    while wanted > 0:
        accelerators = builder.rng.choice((1, 1, 2, 3, 4, 5))
        duration = builder.minutes(3, 30)
        builder.submit(
            builder.rng.uniform(start, end),
            "ledger",
            JobClass.BULK,
            accelerators,
            duration,
            checkpoint=builder.rng.random() < 0.85,
            estimate_error=0.5,
        )
        wanted -= accelerators * duration


def _splits(
    builder: _TraceBuilder, start: float, end: float, every: float, *, lost: bool = False
) -> None:
    """Add pool splits of restaurants: large jobs that run once on a single rack."""
    for at in builder.arrivals(start, end, every):
        account, accelerators = builder.rng.choice(
            (("kitchens", 32), ("kitchens", 16), ("floors", 16), ("floors", 16))
        )
        builder.submit(
            at,
            account,
            JobClass.NORMAL,
            accelerators,
            builder.minutes(4, 20),
            adjacent=Adjacency.RACK,
            run_once=True,
            checkpoint=builder.rng.random() < 0.5,
            estimate_error=0.3,
            must_finish=not lost,
        )


def _corrections(builder: _TraceBuilder, start: float, end: float, every: float) -> None:
    """Add urgent corrections of payouts, which a waiter is waiting for."""
    for at in builder.arrivals(start, end, every):
        accelerators = builder.rng.choice((1, 2, 4))
        builder.submit(
            at, "corrections", JobClass.URGENT, accelerators, builder.rng.uniform(10, 60)
        )


def _is_closing_night(builder: _TraceBuilder) -> None:
    end = 5 * HOUR_S * builder.scale
    _fillers(builder, 0, end, 0.73)
    _splits(builder, 0.1 * end, end, 5 * MINUTE_S)
    _corrections(builder, 0, end, 3 * MINUTE_S)
    builder.expect_guarantees(is_config(), HOUR_S / 4, end)


def _is_bad_day(builder: _TraceBuilder) -> None:
    end = 8 * HOUR_S * builder.scale
    _fillers(builder, 0, end, 0.66)
    _splits(builder, 0, end, 7 * MINUTE_S, lost=True)
    _corrections(builder, 0, end, 4 * MINUTE_S)
    _failures(builder, IS_HALLS, end)


RECIPES: dict[str, Recipe] = {
    "ee-day": Recipe(ee_config, _ee_day),
    "ee-night": Recipe(ee_config, _ee_night),
    "ee-bad-day": Recipe(ee_config, _ee_bad_day),
    "is-closing-night": Recipe(is_config, _is_closing_night),
    "is-bad-day": Recipe(is_config, _is_bad_day),
}


def make(name: str, seed: int, scale: float = 1.0) -> list[Event]:
    """Generate the events of a named trace, in order of time.

    :param scale: factor on the time covered; 1 is a day or a night.
    :raises SaddlestackError: there is no such trace.
    """
    recipe = _recipe(name)
    builder = _TraceBuilder(seed, scale)
    recipe.make(builder)
    return sorted(builder.events, key=_order)


def config_of(name: str) -> ReplayConfig:
    """Return the configuration for a named trace.

    :raises SaddlestackError: there is no such trace.
    """
    return _recipe(name).config()


def to_json_lines(events: list[Event]) -> Iterator[str]:
    """Encode events as JSON lines, without fields at their defaults."""
    for event in events:
        fields = msgspec.to_builtins(event)
        defaults = {None, False}
        kept = {
            key: value
            for key, value in fields.items()
            if key == "event"
            or (isinstance(value, float | int | str) and value not in defaults)
            or key == "t"
        }
        yield msgspec.json.encode(kept).decode()


def _recipe(name: str) -> Recipe:
    if name not in RECIPES:
        known = ", ".join(RECIPES)
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no trace {name}; there are {known}")
    return RECIPES[name]


def _order(event: Event) -> tuple[float, int]:
    return event.t, 1 if isinstance(event, Expect) else 0
