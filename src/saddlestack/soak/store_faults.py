"""Faults of the store: unavailable for some or all VMs, slow, lost history, lost answers."""

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

UNAVAILABLE_SHARE = (0.2, 0.6)
"""Share of the VMs for which the store is unavailable, or whose connections go stale."""
LINK_DELAY_S = (0.05, 0.5)
ANSWER_DELAY_S = (0.05, 0.4)
LOST_ANSWERS_SHARE = 0.35
MAX_LOST_ANSWERS = 5
LOST_WRITE_DELAYS_S = (0.0, 1.0, 3.0, 6.0)
"""Delays after which a write takes effect whose answer is lost."""
MAX_HISTORY_DROPS = 4
EXPIRED_SHARE = (0.05, 0.3)
CUT_FAULTS = (
    LinkFault.SILENT,
    LinkFault.ONE_WAY,
    LinkFault.RESET,
    LinkFault.STALE,
    LinkFault.DELAY,
    LinkFault.REFUSED,
)
UNAVAILABLE_FAULTS = (
    LinkFault.SILENT,
    LinkFault.ONE_WAY,
    LinkFault.RESET,
    LinkFault.REFUSED,
)


class StoreFaults:
    """Injects faults of the store."""

    def __init__(self, platform: SoakPlatform) -> None:
        self._platform = platform
        self._unavailable_count = 0

    @property
    def actions(self) -> dict[FaultKind, FaultAction]:
        """The action that injects each kind of fault."""
        return {
            FaultKind.VM_STORE_CUT: self._cut_vm,
            FaultKind.LEADER_STORE_CUT: self._cut_leader,
            FaultKind.STORE_SHARE_AWAY: self._make_share_unavailable,
            FaultKind.STORE_AWAY: self._make_unavailable,
            FaultKind.STORE_SLOW: self._delay_answers,
            FaultKind.STORE_LOSES_ANSWERS: self._lose_answers,
            FaultKind.STORE_STALE: self._make_connections_stale,
            FaultKind.STORE_STALE_SOME: self._make_some_connections_stale,
            FaultKind.STORE_FORGETS: self._drop_history,
            FaultKind.RECORDS_LAPSE: self._expire_records,
        }

    def heal(self) -> None:
        """End all faults."""
        self._platform.send(HealAll())

    async def _cut_vm(self, fault: Fault, rng: random.Random) -> None:
        name = rng.choice(self._platform.vms)
        await self._apply_link_fault(fault, [name], rng.choice(CUT_FAULTS), rng)

    async def _cut_leader(self, fault: Fault, rng: random.Random) -> None:
        term = self._platform.terms.current
        any_vm = rng.choice(self._platform.vms)
        name = any_vm if term is None else term.vm
        await self._apply_link_fault(fault, [name], rng.choice(CUT_FAULTS), rng)

    async def _make_share_unavailable(self, fault: Fault, rng: random.Random) -> None:
        """Make the store unavailable for some VMs, with one or several kinds of faults."""
        names = self._draw_vms(rng.uniform(*UNAVAILABLE_SHARE), rng)
        if rng.random() < 0.5:
            await self._apply_link_fault(fault, names, rng.choice(UNAVAILABLE_FAULTS), rng)
            return
        parts = [
            names[place :: len(UNAVAILABLE_FAULTS)] for place in range(len(UNAVAILABLE_FAULTS))
        ]
        async with asyncio.TaskGroup() as group:
            for part, link_fault in zip(parts, UNAVAILABLE_FAULTS, strict=True):
                if part:
                    group.create_task(self._apply_link_fault(fault, part, link_fault, rng))

    async def _make_unavailable(self, fault: Fault, rng: random.Random) -> None:
        """Make the store unavailable for all; meanwhile leases are extended, or expire."""
        suspends_expiry = rng.random() < 0.5
        fault.detail = "leases wait;" if suspends_expiry else "leases run out;"
        self._unavailable_count += 1
        self._platform.send(TurnWorkersAway(away=True, lapse=not suspends_expiry))
        if suspends_expiry:
            self._platform.send(ProlongLeases(fault.seconds))
        elif rng.random() < 0.5:
            self._platform.send(LapseRecords(rng.uniform(*EXPIRED_SHARE)))
        await self._apply_link_fault(fault, self._platform.vms, rng.choice(UNAVAILABLE_FAULTS), rng)
        self._unavailable_count -= 1
        self._platform.send(TurnWorkersAway(away=self._unavailable_count > 0))

    async def _delay_answers(self, fault: Fault, rng: random.Random) -> None:
        slow_s = rng.uniform(*ANSWER_DELAY_S)
        fault.on = "all"
        fault.detail = f"answers {slow_s:.2f} s later"
        self._platform.send(SlowDown(slow_s))
        await asyncio.sleep(fault.seconds)
        self._platform.send(SlowDown(0.0))

    async def _lose_answers(self, fault: Fault, rng: random.Random) -> None:
        names = self._draw_vms(LOST_ANSWERS_SHARE, rng)
        late_s = rng.choice(LOST_WRITE_DELAYS_S)
        count = rng.randint(1, MAX_LOST_ANSWERS)
        fault.on = " ".join(names)
        fault.detail = f"{count} writes each take effect after {late_s:g} s"
        self._platform.send(LoseAnswers(tuple(names), count, late_s))

    async def _make_connections_stale(self, fault: Fault, rng: random.Random) -> None:
        """Let open connections drop all data; new ones work."""
        names = self._draw_vms(rng.uniform(*UNAVAILABLE_SHARE), rng)
        await self._apply_link_fault(fault, names, LinkFault.STALE, rng)

    async def _make_some_connections_stale(self, fault: Fault, rng: random.Random) -> None:
        """Let half of the open connections of some VMs drop all data."""
        names = self._draw_vms(rng.uniform(*UNAVAILABLE_SHARE), rng)
        await self._apply_link_fault(fault, names, LinkFault.STALE_SOME, rng)

    async def _drop_history(self, fault: Fault, rng: random.Random) -> None:
        times = rng.randint(1, MAX_HISTORY_DROPS)
        fault.detail = f"{times} times"
        for _ in range(times):
            self._platform.send(ForgetHistory())
            await asyncio.sleep(fault.seconds / times)

    async def _expire_records(self, fault: Fault, rng: random.Random) -> None:
        share = rng.uniform(*EXPIRED_SHARE)
        fault.detail = f"{share:.0%} of the records"
        self._platform.send(LapseRecords(share))

    async def _apply_link_fault(
        self, fault: Fault, names: Sequence[str], link_fault: LinkFault, rng: random.Random
    ) -> None:
        fault.on = " ".join([fault.on, *names]).strip()
        fault.detail = f"{fault.detail} {link_fault} for {len(names)}".strip()
        number = self._platform.begin_link_fault(names, link_fault, rng.uniform(*LINK_DELAY_S))
        await asyncio.sleep(fault.seconds)
        self._platform.end_link_fault(number)

    def _draw_vms(self, share: float, rng: random.Random) -> list[str]:
        names = self._platform.vms
        return rng.sample(names, max(1, round(share * len(names))))
