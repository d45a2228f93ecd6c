"""Faults of the store: away for some VMs or all, slow, forgetful, its answers lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from saddlestack.platform.documents import PLACES
from saddlestack.soak.faults import Fault, Play
from saddlestack.soak.platform import SoakPlatform, StoreWay, WayTrouble
from saddlestack.soak.shape import FaultKind

AWAY_SHARE = (0.2, 0.6)
"""Of the VMs, where the store turns some away."""
DELAY_S = (0.05, 0.5)
SLOW_S = (0.05, 0.4)
LOST_SHARE = 0.35
LOST_ANSWERS = 5
LATE_S = (0.0, 1.0, 3.0, 6.0)
"""So long after its call a write takes effect whose answer is lost."""
FORGETS = 4
LAPSED_SHARE = 0.15
AWAY_TROUBLES = (
    WayTrouble.SILENT,
    WayTrouble.ONE_WAY,
    WayTrouble.RESET,
    WayTrouble.REFUSED,
)


class StoreFaults:
    """Plays what befalls the store."""

    def __init__(self, platform: SoakPlatform) -> None:
        self._platform = platform
        self._records = platform.records
        self._away = 0

    @property
    def plays(self) -> dict[FaultKind, Play]:
        """What plays each kind."""
        return {
            FaultKind.VM_STORE_CUT: self._cut_vm,
            FaultKind.LEADER_STORE_CUT: self._cut_leader,
            FaultKind.STORE_SHARE_AWAY: self._share_away,
            FaultKind.STORE_AWAY: self._all_away,
            FaultKind.STORE_SLOW: self._slow,
            FaultKind.STORE_LOSES_ANSWERS: self._lose_answers,
            FaultKind.STORE_STALE: self._stale,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.RECORDS_LAPSE: self._lapse,
        }

    def heal(self) -> None:
        """End all troubles."""
        self._platform.heal()
        self._records.away = False

    async def _cut_vm(self, fault: Fault, rng: random.Random) -> None:
        name = rng.choice(list(self._platform.ways))
        await self._trouble(fault, [name], rng.choice(list(WayTrouble)), rng)

    async def _cut_leader(self, fault: Fault, rng: random.Random) -> None:
        term = self._platform.terms.current
        name = term.vm if term is not None else rng.choice(list(self._platform.ways))
        await self._trouble(fault, [name], rng.choice(list(WayTrouble)), rng)

    async def _share_away(self, fault: Fault, rng: random.Random) -> None:
        """Turn a share of the VMs away, each in its own manner or all in the same."""
        names = self._some(rng.uniform(*AWAY_SHARE), rng)
        if rng.random() < 0.5:
            await self._trouble(fault, names, rng.choice(AWAY_TROUBLES), rng)
            return
        parts = [names[place :: len(AWAY_TROUBLES)] for place in range(len(AWAY_TROUBLES))]
        async with asyncio.TaskGroup() as group:
            for part, trouble in zip(parts, AWAY_TROUBLES, strict=True):
                if part:
                    group.create_task(self._trouble(fault, part, trouble, rng))

    async def _all_away(self, fault: Fault, rng: random.Random) -> None:
        """The store is down for everyone; leases and records wait meanwhile, or run out."""
        waits = rng.random() < 0.5
        fault.detail = "leases wait;" if waits else "leases run out;"
        self._away += 1
        self._records.away = True
        self._records.lapse_while_away = not waits
        if waits:
            self._platform.store.prolong_leases(fault.seconds)
        elif rng.random() < 0.5:
            self._records.lapse(self._some_workers(rng))
        trouble = rng.choice(AWAY_TROUBLES)
        await self._trouble(fault, list(self._platform.ways), trouble, rng)
        self._away -= 1
        self._records.away = self._away > 0

    async def _slow(self, fault: Fault, rng: random.Random) -> None:
        slow_s = rng.uniform(*SLOW_S)
        fault.on = "all"
        fault.detail = f"answers {slow_s:.2f} s later"
        self._set_slow(slow_s)
        await asyncio.sleep(fault.seconds)
        self._set_slow(0.0)

    async def _lose_answers(self, fault: Fault, rng: random.Random) -> None:
        names = self._some(LOST_SHARE, rng)
        late_s = rng.choice(LATE_S)
        fault.on = " ".join(names)
        fault.detail = f"writes take effect after {late_s:g} s"
        for name in names:
            faults = self._platform.ways[name].view.faults
            faults.late_s = late_s
            faults.lose_answers = rng.randint(1, LOST_ANSWERS)

    async def _stale(self, fault: Fault, rng: random.Random) -> None:
        """Connections that are open swallow everything; new ones work."""
        names = self._some(rng.uniform(*AWAY_SHARE), rng)
        await self._trouble(fault, names, WayTrouble.STALE, rng)

    async def _forget(self, fault: Fault, rng: random.Random) -> None:
        times = rng.randint(1, FORGETS)
        fault.detail = f"{times} times"
        for _ in range(times):
            self._platform.store.forget_history()
            await asyncio.sleep(fault.seconds / times)

    async def _lapse(self, fault: Fault, rng: random.Random) -> None:
        workers = self._some_workers(rng)
        fault.on = " ".join(workers)
        self._records.lapse(workers)

    async def _trouble(
        self, fault: Fault, names: Sequence[str], trouble: WayTrouble, rng: random.Random
    ) -> None:
        fault.on = " ".join([fault.on, *names]).strip()
        fault.detail = f"{fault.detail} {trouble} for {len(names)}".strip()
        delay_s = rng.uniform(*DELAY_S)
        begun = [(way, way.begin(trouble, delay_s)) for way in self._ways(names)]
        await asyncio.sleep(fault.seconds)
        for way, number in begun:
            way.end(number)

    def _ways(self, names: Sequence[str]) -> list[StoreWay]:
        return [self._platform.ways[name] for name in names]

    def _some(self, share: float, rng: random.Random) -> list[str]:
        names = list(self._platform.ways)
        return rng.sample(names, max(1, round(share * len(names))))

    def _some_workers(self, rng: random.Random) -> list[str]:
        prefix = PLACES.workers_prefix
        keys = [item.key.removeprefix(prefix) for item in self._platform.store.keys(prefix)]
        return rng.sample(keys, max(1, round(LAPSED_SHARE * len(keys)))) if keys else []

    def _set_slow(self, slow_s: float) -> None:
        for way in self._platform.ways.values():
            way.view.faults.slow_s = slow_s
