"""Faults of entry VMs: killed, stopped, frozen, slowed, and halls cut from each other."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Mapping, Sequence

from saddlestack.soak.faults import Fault, FaultAction
from saddlestack.soak.platform import SoakPlatform
from saddlestack.soak.processes import EntryProcess
from saddlestack.soak.shape import FaultKind

RESTART_S = (0.2, 3.0)
SLOW_VMS_SHARE = 0.15
SLOWNESS = (3.0, 8.0)
"""A slowed VM does its work so many times slower."""
ROLLED_SHARE = 0.45
ROLL_GAP_S = (0.3, 1.5)
RENEWALS = 3
"""Leaders are frozen so many times in turn, right as their renewal is answered."""
RENEWAL_WAIT_S = 4.0
CROSSING_S = 0.1
FROZEN_AT_RENEWAL_S = (0.9, 6.0)
"""From less than the leader's lease to several of them."""


class VmFaults:
    """Plays what befalls entry VMs.

    :param worker_addresses: of the workers in each hall.
    """

    def __init__(
        self,
        entries: Sequence[EntryProcess],
        platform: SoakPlatform,
        worker_addresses: Mapping[str, Sequence[str]],
    ) -> None:
        self._entries = {entry.name: entry for entry in entries}
        self._platform = platform
        self._workers = worker_addresses
        self._cut: dict[str, int] = {}

    @property
    def actions(self) -> dict[FaultKind, FaultAction]:
        """What plays each kind."""
        return {
            FaultKind.VM_KILL: self._kill,
            FaultKind.VM_STOP: self._stop,
            FaultKind.VM_FREEZE: self._freeze,
            FaultKind.VM_SUSPEND: self._suspend,
            FaultKind.VM_SLOW: self._slow_some,
            FaultKind.VM_RELOAD: self._reload,
            FaultKind.LEADER_KILL: self._kill_leader,
            FaultKind.LEADER_STOP: self._stop_leader,
            FaultKind.LEADER_FREEZE: self._freeze_leader,
            FaultKind.LEADER_FREEZE_AT_RENEWAL: self._freeze_at_renewal,
            FaultKind.LEADER_SUSPEND: self._suspend_leader,
            FaultKind.LEADER_SLOW: self._slow_leader,
            FaultKind.ALL_KILL: self._kill_all,
            FaultKind.HALL_KILL: self._kill_hall,
            FaultKind.ROLLING_STOP: self._roll,
            FaultKind.HALL_CUT: self._cut_hall,
        }

    def heal(self) -> None:
        """End all cuts."""
        self._cut.clear()
        self._write_cuts()

    def leader(self, rng: random.Random) -> EntryProcess:
        """The VM that leads; any VM where none does."""
        term = self._platform.terms.current
        if term is not None and term.vm in self._entries:
            return self._entries[term.vm]
        return self._any(rng)

    def _any(self, rng: random.Random) -> EntryProcess:
        return rng.choice(list(self._entries.values()))

    async def _kill(self, fault: Fault, rng: random.Random) -> None:
        entry = self._any(rng)
        fault.on = entry.name
        await entry.kill_and_restart(rng.uniform(*RESTART_S))

    async def _kill_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.kill_and_restart(rng.uniform(*RESTART_S))

    async def _stop(self, fault: Fault, rng: random.Random) -> None:
        entry = self._any(rng)
        fault.on = entry.name
        await entry.stop_and_restart()

    async def _stop_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.stop_and_restart()

    async def _freeze(self, fault: Fault, rng: random.Random) -> None:
        entry = self._any(rng)
        fault.on = entry.name
        await entry.freeze(fault.seconds)

    async def _freeze_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.freeze(fault.seconds)

    async def _suspend(self, fault: Fault, rng: random.Random) -> None:
        entry = self._any(rng)
        fault.on = entry.name
        await entry.suspend(fault.seconds)

    async def _suspend_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.suspend(fault.seconds)

    async def _reload(self, fault: Fault, rng: random.Random) -> None:
        entry = self._any(rng)
        fault.on = entry.name
        entry.send(signal.SIGHUP)

    async def _slow_some(self, fault: Fault, rng: random.Random) -> None:
        entries = list(self._entries.values())
        slowed = rng.sample(entries, max(1, round(SLOW_VMS_SHARE * len(entries))))
        slowness = rng.uniform(*SLOWNESS)
        fault.on = " ".join(entry.name for entry in slowed)
        fault.detail = f"{slowness:.1f} times slower"
        await asyncio.gather(*(entry.slow(fault.seconds, 1 / slowness) for entry in slowed))

    async def _slow_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        slowness = rng.uniform(*SLOWNESS)
        fault.on = entry.name
        fault.detail = f"{slowness:.1f} times slower"
        await entry.slow(fault.seconds, 1 / slowness)

    async def _freeze_at_renewal(self, fault: Fault, rng: random.Random) -> None:
        """Freeze who leads, right before its renewal is answered; then the next that leads."""
        for _ in range(rng.randint(1, RENEWALS)):
            entry = self.leader(rng)
            seconds = rng.uniform(*FROZEN_AT_RENEWAL_S)
            fault.on += f" {entry.name}"
            fault.detail += f" {seconds:.2f} s"
            await self._freeze_one_at_renewal(entry, seconds)

    async def _freeze_one_at_renewal(self, entry: EntryProcess, seconds: float) -> None:
        pid = entry.pid
        if pid is None:
            return
        held = await self._platform.pause_at_renewal(entry.name, pid, RENEWAL_WAIT_S)
        # A stop that crosses with the end of the wait is undone as well.
        await entry.freeze(seconds if held else CROSSING_S)

    async def _kill_all(self, fault: Fault, rng: random.Random) -> None:
        fault.on = "all"
        await self._kill_each(list(self._entries.values()), rng)

    async def _kill_hall(self, fault: Fault, rng: random.Random) -> None:
        fault.on = self._hall(rng)
        entries = self._entries.values()
        await self._kill_each([entry for entry in entries if entry.site.hall == fault.on], rng)

    async def _kill_each(self, entries: list[EntryProcess], rng: random.Random) -> None:
        pause_s = rng.uniform(*RESTART_S)
        await asyncio.gather(*(entry.kill_and_restart(pause_s) for entry in entries))

    async def _roll(self, fault: Fault, rng: random.Random) -> None:
        """Stop VMs one after the other, without waiting for the one before."""
        entries = list(self._entries.values())
        rolled = rng.sample(entries, max(1, round(ROLLED_SHARE * len(entries))))
        gap_s = rng.uniform(*ROLL_GAP_S)
        fault.on = " ".join(entry.name for entry in rolled)
        fault.detail = f"{gap_s:.1f} s apart"
        async with asyncio.TaskGroup() as group:
            for entry in rolled:
                group.create_task(entry.stop_and_restart())
                await asyncio.sleep(gap_s)

    async def _cut_hall(self, fault: Fault, rng: random.Random) -> None:
        fault.on = self._hall(rng)
        self._cut[fault.on] = self._cut.get(fault.on, 0) + 1
        self._write_cuts()
        await asyncio.sleep(fault.seconds)
        if self._cut.get(fault.on):
            self._cut[fault.on] -= 1
        self._write_cuts()

    def _hall(self, rng: random.Random) -> str:
        return rng.choice(sorted({entry.site.hall for entry in self._entries.values()}))

    def _write_cuts(self) -> None:
        """Tell each VM which addresses it does not reach: those of halls cut from its own."""
        addresses = {hall: list(found) for hall, found in self._workers.items()}
        for entry in self._entries.values():
            addresses.setdefault(entry.site.hall, []).append(entry.site.address)
        for entry in self._entries.values():
            cut = (hall for hall in addresses if self._are_apart(entry.site.hall, hall))
            entry.block_addresses(address for hall in cut for address in addresses[hall])

    def _are_apart(self, one: str, other: str) -> bool:
        return one != other and bool(self._cut.get(one) or self._cut.get(other))
