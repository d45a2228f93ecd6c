"""Faults of entry VMs: killed, stopped, frozen, slowed, and data halls cut from each other."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Mapping, Sequence

from saddlestack.soak.faults import Fault, FaultAction
from saddlestack.soak.platform import SoakPlatform
from saddlestack.soak.processes import EntryProcess
from saddlestack.soak.shape import FaultKind

RESTART_DELAY_S = (0.2, 3.0)
SLOW_VMS_SHARE = 0.15
SLOWDOWN = (3.0, 8.0)
"""Range of the factor by which a slowed VM is slower."""
ROLLING_STOP_SHARE = 0.45
ROLLING_STOP_INTERVAL_S = (0.3, 1.5)
MAX_RENEWAL_FREEZES = 3
"""Maximum number of successive leaders that are frozen right before a renewal is answered."""
RENEWAL_TIMEOUT_S = 4.0
RACE_FREEZE_S = 0.1
RENEWAL_FREEZE_S = (0.9, 6.0)
"""From less than one lease of the leader to several leases."""


class VmFaults:
    """Injects faults of entry VMs.

    :param worker_addresses: addresses of the workers in each data hall.
    """

    def __init__(
        self,
        entries: Sequence[EntryProcess],
        platform: SoakPlatform,
        worker_addresses: Mapping[str, Sequence[str]],
    ) -> None:
        self._entries = {entry.name: entry for entry in entries}
        self._platform = platform
        self._worker_addresses = worker_addresses
        self._cut_count_by_hall: dict[str, int] = {}

    @property
    def actions(self) -> dict[FaultKind, FaultAction]:
        """The action that injects each kind of fault."""
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
            FaultKind.ROLLING_STOP: self._rolling_stop,
            FaultKind.HALL_CUT: self._cut_hall,
        }

    def heal(self) -> None:
        """End all cuts between data halls."""
        self._cut_count_by_hall.clear()
        self._block_cut_halls()

    def leader(self, rng: random.Random) -> EntryProcess:
        """Return the VM that leads, or a random VM if none does."""
        term = self._platform.terms.current
        if term is not None and term.vm in self._entries:
            return self._entries[term.vm]
        return self._draw_entry(rng)

    def _draw_entry(self, rng: random.Random) -> EntryProcess:
        return rng.choice(list(self._entries.values()))

    async def _kill(self, fault: Fault, rng: random.Random) -> None:
        entry = self._draw_entry(rng)
        fault.on = entry.name
        await entry.kill_and_restart(rng.uniform(*RESTART_DELAY_S))

    async def _kill_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.kill_and_restart(rng.uniform(*RESTART_DELAY_S))

    async def _stop(self, fault: Fault, rng: random.Random) -> None:
        entry = self._draw_entry(rng)
        fault.on = entry.name
        await entry.stop_and_restart()

    async def _stop_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.stop_and_restart()

    async def _freeze(self, fault: Fault, rng: random.Random) -> None:
        entry = self._draw_entry(rng)
        fault.on = entry.name
        await entry.freeze(fault.seconds)

    async def _freeze_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.freeze(fault.seconds)

    async def _suspend(self, fault: Fault, rng: random.Random) -> None:
        entry = self._draw_entry(rng)
        fault.on = entry.name
        await entry.suspend(fault.seconds)

    async def _suspend_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        fault.on = entry.name
        await entry.suspend(fault.seconds)

    async def _reload(self, fault: Fault, rng: random.Random) -> None:
        entry = self._draw_entry(rng)
        fault.on = entry.name
        entry.send(signal.SIGHUP)

    async def _slow_some(self, fault: Fault, rng: random.Random) -> None:
        entries = list(self._entries.values())
        slowed = rng.sample(entries, max(1, round(SLOW_VMS_SHARE * len(entries))))
        slowdown = rng.uniform(*SLOWDOWN)
        fault.on = " ".join(entry.name for entry in slowed)
        fault.detail = f"{slowdown:.1f} times slower"
        await asyncio.gather(*(entry.slow(fault.seconds, 1 / slowdown) for entry in slowed))

    async def _slow_leader(self, fault: Fault, rng: random.Random) -> None:
        entry = self.leader(rng)
        slowdown = rng.uniform(*SLOWDOWN)
        fault.on = entry.name
        fault.detail = f"{slowdown:.1f} times slower"
        await entry.slow(fault.seconds, 1 / slowdown)

    async def _freeze_at_renewal(self, fault: Fault, rng: random.Random) -> None:
        """Freeze the leader right before its renewal is answered, then possibly its successors."""
        for _ in range(rng.randint(1, MAX_RENEWAL_FREEZES)):
            entry = self.leader(rng)
            seconds = rng.uniform(*RENEWAL_FREEZE_S)
            fault.on += f" {entry.name}"
            fault.detail += f" {seconds:.2f} s"
            await self._freeze_one_at_renewal(entry, seconds)

    async def _freeze_one_at_renewal(self, entry: EntryProcess, seconds: float) -> None:
        pid = entry.pid
        if pid is None:
            return
        was_paused = await self._platform.pause_at_renewal(entry.name, pid, RENEWAL_TIMEOUT_S)
        # The process may be paused just as the wait times out; a short freeze resumes it as well.
        await entry.freeze(seconds if was_paused else RACE_FREEZE_S)

    async def _kill_all(self, fault: Fault, rng: random.Random) -> None:
        fault.on = "all"
        await self._kill_each(list(self._entries.values()), rng)

    async def _kill_hall(self, fault: Fault, rng: random.Random) -> None:
        fault.on = self._draw_hall(rng)
        entries = self._entries.values()
        await self._kill_each([entry for entry in entries if entry.site.hall == fault.on], rng)

    async def _kill_each(self, entries: list[EntryProcess], rng: random.Random) -> None:
        pause_s = rng.uniform(*RESTART_DELAY_S)
        await asyncio.gather(*(entry.kill_and_restart(pause_s) for entry in entries))

    async def _rolling_stop(self, fault: Fault, rng: random.Random) -> None:
        """Stop VMs at intervals, without waiting for the previous one to restart."""
        entries = list(self._entries.values())
        stopped = rng.sample(entries, max(1, round(ROLLING_STOP_SHARE * len(entries))))
        interval_s = rng.uniform(*ROLLING_STOP_INTERVAL_S)
        fault.on = " ".join(entry.name for entry in stopped)
        fault.detail = f"{interval_s:.1f} s apart"
        async with asyncio.TaskGroup() as group:
            for entry in stopped:
                group.create_task(entry.stop_and_restart())
                await asyncio.sleep(interval_s)

    async def _cut_hall(self, fault: Fault, rng: random.Random) -> None:
        fault.on = self._draw_hall(rng)
        self._cut_count_by_hall[fault.on] = self._cut_count_by_hall.get(fault.on, 0) + 1
        self._block_cut_halls()
        await asyncio.sleep(fault.seconds)
        if self._cut_count_by_hall.get(fault.on):
            self._cut_count_by_hall[fault.on] -= 1
        self._block_cut_halls()

    def _draw_hall(self, rng: random.Random) -> str:
        return rng.choice(sorted({entry.site.hall for entry in self._entries.values()}))

    def _block_cut_halls(self) -> None:
        """Block the addresses of all data halls that are cut from a VM's own hall, for each VM."""
        addresses = {hall: list(found) for hall, found in self._worker_addresses.items()}
        for entry in self._entries.values():
            addresses.setdefault(entry.site.hall, []).append(entry.site.address)
        for entry in self._entries.values():
            cut = (hall for hall in addresses if self._are_cut(entry.site.hall, hall))
            entry.block_addresses(address for hall in cut for address in addresses[hall])

    def _are_cut(self, one: str, other: str) -> bool:
        return one != other and bool(
            self._cut_count_by_hall.get(one) or self._cut_count_by_hall.get(other)
        )
