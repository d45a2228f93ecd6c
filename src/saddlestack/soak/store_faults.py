"""Faults of the store: away for some VMs or all, slow, forgetful, its answers lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from saddlestack.soak.faults import Fault, FaultAction
from saddlestack.soak.platform import SoakPlatform
from saddlestack.soak.shape import FaultKind
from saddlestack.soak.store_messages import (
    ForgetHistory,
    HealAll,
    LapseRecords,
    LinkFault,
    LoseAnswers,
    ProlongLeases,
    SlowDown,
    TurnWorkersAway,
)

AWAY_SHARE = (0.2, 0.6)
"""Of the VMs, where the store turns some away."""
DELAY_S = (0.05, 0.5)
SLOW_S = (0.05, 0.4)
LOST_SHARE = 0.35
LOST_ANSWERS = 5
LATE_S = (0.0, 1.0, 3.0, 6.0)
"""So long after its call a write takes effect whose answer is lost."""
FORGETS = 4
LAPSED_SHARE = (0.05, 0.3)
AWAY_TROUBLES = (
    LinkFault.SILENT,
    LinkFault.ONE_WAY,
    LinkFault.RESET,
    LinkFault.REFUSED,
)


class StoreFaults:
    """Plays what befalls the store."""

    def __init__(self, platform: SoakPlatform) -> None:
        self._platform = platform
        self._away = 0

    @property
    def actions(self) -> dict[FaultKind, FaultAction]:
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
        self._platform.send(HealAll())

    async def _cut_vm(self, fault: Fault, rng: random.Random) -> None:
        name = rng.choice(self._platform.vms)
        await self._trouble(fault, [name], rng.choice(list(LinkFault)), rng)

    async def _cut_leader(self, fault: Fault, rng: random.Random) -> None:
        term = self._platform.terms.current
        any_vm = rng.choice(self._platform.vms)
        name = any_vm if term is None else term.vm
        await self._trouble(fault, [name], rng.choice(list(LinkFault)), rng)

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
        self._platform.send(TurnWorkersAway(away=True, lapse=not waits))
        if waits:
            self._platform.send(ProlongLeases(fault.seconds))
        elif rng.random() < 0.5:
            self._platform.send(LapseRecords(rng.uniform(*LAPSED_SHARE)))
        await self._trouble(fault, self._platform.vms, rng.choice(AWAY_TROUBLES), rng)
        self._away -= 1
        self._platform.send(TurnWorkersAway(away=self._away > 0))

    async def _slow(self, fault: Fault, rng: random.Random) -> None:
        slow_s = rng.uniform(*SLOW_S)
        fault.on = "all"
        fault.detail = f"answers {slow_s:.2f} s later"
        self._platform.send(SlowDown(slow_s))
        await asyncio.sleep(fault.seconds)
        self._platform.send(SlowDown(0.0))

    async def _lose_answers(self, fault: Fault, rng: random.Random) -> None:
        names = self._some(LOST_SHARE, rng)
        late_s = rng.choice(LATE_S)
        count = rng.randint(1, LOST_ANSWERS)
        fault.on = " ".join(names)
        fault.detail = f"{count} writes each take effect after {late_s:g} s"
        self._platform.send(LoseAnswers(tuple(names), count, late_s))

    async def _stale(self, fault: Fault, rng: random.Random) -> None:
        """Connections that are open swallow everything; new ones work."""
        names = self._some(rng.uniform(*AWAY_SHARE), rng)
        await self._trouble(fault, names, LinkFault.STALE, rng)

    async def _forget(self, fault: Fault, rng: random.Random) -> None:
        times = rng.randint(1, FORGETS)
        fault.detail = f"{times} times"
        for _ in range(times):
            self._platform.send(ForgetHistory())
            await asyncio.sleep(fault.seconds / times)

    async def _lapse(self, fault: Fault, rng: random.Random) -> None:
        share = rng.uniform(*LAPSED_SHARE)
        fault.detail = f"{share:.0%} of the records"
        self._platform.send(LapseRecords(share))

    async def _trouble(
        self, fault: Fault, names: Sequence[str], trouble: LinkFault, rng: random.Random
    ) -> None:
        fault.on = " ".join([fault.on, *names]).strip()
        fault.detail = f"{fault.detail} {trouble} for {len(names)}".strip()
        number = self._platform.begin_link_fault(names, trouble, rng.uniform(*DELAY_S))
        await asyncio.sleep(fault.seconds)
        self._platform.end_link_fault(number)

    def _some(self, share: float, rng: random.Random) -> list[str]:
        names = self._platform.vms
        return rng.sample(names, max(1, round(share * len(names))))
