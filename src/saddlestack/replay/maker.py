"""Makes traces from a seed: days and nights of both users, each with stated outcomes."""

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
LATE_S = 48 * HOUR_S

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
    """Laadimisvõrk today: three halls of eight workers, four accounts."""
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
    """Þjórfé Skiptir today: three halls of eight workers, four accounts."""
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
    """A named trace: its configuration and its maker."""

    config: Callable[[], ReplayConfig]
    make: Callable[[_Maker], None]


class _Maker:
    """Collects events; helpers for the shapes of load that recur."""

    def __init__(self, seed: int, scale: float) -> None:
        self.rng = random.Random(seed)
        self.scale = scale
        self.late = LATE_S * max(1.0, scale)
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
        guess: float = 0.0,
        finishes: bool = True,
    ) -> None:
        """Submit a job; urgent ones must start in time, all must end well.

        :param guess: how far the caller's estimate is off, as a spread around 1.
        """
        number = self._counters[account] = self._counters.get(account, 0) + 1
        request = f"{account[:3]}-{number:05d}"
        at = round(at, 3)
        duration = round(duration, 3)
        estimate = None
        if guess:
            estimate = round(duration * self.rng.uniform(1 - guess, 1 + guess), 3)
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
            self._expect(self.late, Outcome.STARTS_AT_MOST, account, request, count=1)
        if finishes:
            self._expect(self.late, Outcome.FINISHED, account, request)

    def guarantees(self, config: ReplayConfig, every: float, until: float) -> None:
        """Every account's guarantee must be formable at regular times."""
        at = every
        while at < until:
            for account in config.accounts:
                if account.guarantees:
                    self.events.append(
                        Expect(t=at, that=Outcome.GUARANTEE_FORMABLE, account=account.name)
                    )
            at += every

    def arrivals(self, start: float, end: float, every: float) -> Iterator[float]:
        """Times of a Poisson process, ``every`` seconds apart on average."""
        at = start
        while True:
            at += self.rng.expovariate(1.0 / every)
            if at >= end:
                return
            yield at

    def minutes(self, low: float, high: float) -> float:
        """A running time between two numbers of minutes, short ones more often."""
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


def _checks(maker: _Maker, start: float, end: float, every: float, burst_every: float) -> None:
    """Fault checks of station crews: a trickle and bursts."""
    for at in maker.arrivals(start, end, every):
        maker.submit(at, "stations", JobClass.URGENT, 1, maker.rng.uniform(8, 40))
    for at in maker.arrivals(start, end, burst_every):
        for _ in range(maker.rng.randint(20, 45)):
            offset = maker.rng.uniform(0, 4)
            accelerators = maker.rng.choice((1, 1, 1, 2))
            maker.submit(
                at + offset, "stations", JobClass.URGENT, accelerators, maker.rng.uniform(8, 40)
            )


def _forecasts(maker: _Maker, start: float, end: float, every: float) -> None:
    for at in maker.arrivals(start, end, every):
        accelerators = maker.rng.choice((2, 4, 4, 8))
        maker.submit(at, "tariffs", JobClass.NORMAL, accelerators, maker.minutes(3, 20), guess=0.4)


def _depot_plans(maker: _Maker, start: float, end: float, every: float) -> None:
    for at in maker.arrivals(start, end, every):
        accelerators = maker.rng.choice((16, 16, 16, 32))
        maker.submit(
            at,
            "depots",
            JobClass.NORMAL,
            accelerators,
            maker.minutes(8, 40),
            adjacent=Adjacency.RACK,
            checkpoint=True,
            guess=0.3,
        )


def _replays(maker: _Maker, start: float, end: float, load: float) -> None:
    """Bulk session replays until they make up a share of the capacity."""
    wanted = load * CAPACITY * (end - start)
    while wanted > 0:
        accelerators = maker.rng.choice((1, 1, 2, 2, 4, 4, 8))
        duration = maker.minutes(5, 60)
        billing = maker.rng.random() < 0.5
        maker.submit(
            maker.rng.uniform(start, end),
            "replays",
            JobClass.BULK,
            accelerators,
            duration,
            run_once=billing,
            checkpoint=billing or maker.rng.random() < 0.8,
            guess=0.5,
        )
        wanted -= accelerators * duration


def _ee_day(maker: _Maker) -> None:
    end = 8 * HOUR_S * maker.scale
    _checks(maker, 0, end, 90, 45 * MINUTE_S)
    _forecasts(maker, 0, end, 90)
    _depot_plans(maker, 0, end, 9 * MINUTE_S)
    _replays(maker, 0, end, 0.6)
    maker.guarantees(ee_config(), HOUR_S / 2, end)


def _ee_night(maker: _Maker) -> None:
    end = 6 * HOUR_S * maker.scale
    _checks(maker, 0, end, 240, 30 * MINUTE_S)
    _depot_plans(maker, 0, end, 12 * MINUTE_S)
    _replays(maker, 0, end * 0.6, 1.1)
    maker.guarantees(ee_config(), HOUR_S / 2, end)


def _ee_bad_day(maker: _Maker) -> None:
    end = 8 * HOUR_S * maker.scale
    _checks(maker, 0, end, 90, 60 * MINUTE_S)
    _forecasts(maker, 0, end, 120)
    _depot_plans(maker, 0, end, 12 * MINUTE_S)
    _replays_that_may_be_lost(maker, 0, end, 0.6)
    _failures(maker, EE_HALLS, end)


def _replays_that_may_be_lost(maker: _Maker, start: float, end: float, load: float) -> None:
    """Bulk work on a bad day: run-once replays may become unknown, but never run twice."""
    wanted = load * CAPACITY * (end - start)
    while wanted > 0:
        accelerators = maker.rng.choice((1, 2, 4, 8))
        duration = maker.minutes(5, 45)
        billing = maker.rng.random() < 0.4
        maker.submit(
            maker.rng.uniform(start, end),
            "replays",
            JobClass.BULK,
            accelerators,
            duration,
            run_once=billing,
            checkpoint=maker.rng.random() < 0.8,
            guess=0.5,
            finishes=not billing,
        )
        wanted -= accelerators * duration


def _failures(maker: _Maker, halls: tuple[tuple[str, str], ...], end: float) -> None:
    """VMs that vanish or leave and come back, never more than one of a hall at once."""
    for _, rack in halls:
        at = maker.rng.uniform(0.02, 0.1) * end
        while at < end:
            vm = f"{rack}-{maker.rng.randint(1, WORKERS_A_HALL):02d}"
            away = maker.minutes(5, 40)
            if maker.rng.random() < 0.4:
                maker.events.append(VmLeaving(t=round(at, 3), vm=vm))
                maker.events.append(VmLost(t=round(at + away / 2, 3), vm=vm))
            else:
                maker.events.append(VmLost(t=round(at, 3), vm=vm))
            maker.events.append(VmBack(t=round(at + away, 3), vm=vm))
            at += away + maker.minutes(5, 60)


def _fillers(maker: _Maker, start: float, end: float, load: float) -> None:
    """Ledger work: many small jobs that fill every gap."""
    wanted = load * CAPACITY * (end - start)
    while wanted > 0:
        accelerators = maker.rng.choice((1, 1, 2, 3, 4, 5))
        duration = maker.minutes(3, 30)
        maker.submit(
            maker.rng.uniform(start, end),
            "ledger",
            JobClass.BULK,
            accelerators,
            duration,
            checkpoint=maker.rng.random() < 0.85,
            guess=0.5,
        )
        wanted -= accelerators * duration


def _splits(maker: _Maker, start: float, end: float, every: float, *, lost: bool = False) -> None:
    """Pool splits of restaurants: large, run once, all on one rack."""
    for at in maker.arrivals(start, end, every):
        account, accelerators = maker.rng.choice(
            (("kitchens", 32), ("kitchens", 16), ("floors", 16), ("floors", 16))
        )
        maker.submit(
            at,
            account,
            JobClass.NORMAL,
            accelerators,
            maker.minutes(4, 20),
            adjacent=Adjacency.RACK,
            run_once=True,
            checkpoint=maker.rng.random() < 0.5,
            guess=0.3,
            finishes=not lost,
        )


def _corrections(maker: _Maker, start: float, end: float, every: float) -> None:
    """Corrections of a payout that a waiter waits for."""
    for at in maker.arrivals(start, end, every):
        accelerators = maker.rng.choice((1, 2, 4))
        maker.submit(at, "corrections", JobClass.URGENT, accelerators, maker.rng.uniform(10, 60))


def _is_closing_night(maker: _Maker) -> None:
    end = 5 * HOUR_S * maker.scale
    _fillers(maker, 0, end, 0.73)
    _splits(maker, 0.1 * end, end, 5 * MINUTE_S)
    _corrections(maker, 0, end, 3 * MINUTE_S)
    maker.guarantees(is_config(), HOUR_S / 4, end)


def _is_bad_day(maker: _Maker) -> None:
    end = 8 * HOUR_S * maker.scale
    _fillers(maker, 0, end, 0.66)
    _splits(maker, 0, end, 7 * MINUTE_S, lost=True)
    _corrections(maker, 0, end, 4 * MINUTE_S)
    _failures(maker, IS_HALLS, end)


RECIPES: dict[str, Recipe] = {
    "ee-day": Recipe(ee_config, _ee_day),
    "ee-night": Recipe(ee_config, _ee_night),
    "ee-bad-day": Recipe(ee_config, _ee_bad_day),
    "is-closing-night": Recipe(is_config, _is_closing_night),
    "is-bad-day": Recipe(is_config, _is_bad_day),
}


def make(name: str, seed: int, scale: float = 1.0) -> list[Event]:
    """The events of a named trace, in order.

    :param scale: stretches the time covered; 1 is a day or a night.
    :raises SaddlestackError: no such trace.
    """
    recipe = _recipe(name)
    maker = _Maker(seed, scale)
    recipe.make(maker)
    return sorted(maker.events, key=_order)


def config_of(name: str) -> ReplayConfig:
    """The configuration that a named trace is meant for.

    :raises SaddlestackError: no such trace.
    """
    return _recipe(name).config()


def to_json_lines(events: list[Event]) -> Iterator[str]:
    """The events as JSON lines, without fields at their defaults."""
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
