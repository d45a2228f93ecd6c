"""Resource usage of a soak: processor time and memory of its VMs, and lag of its event loop."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from saddlestack.soak.processes import EntryProcess

SAMPLE_INTERVAL_S = 1.0
LAG_SAMPLE_S = 0.05
BYTES_PER_MB = 1024 * 1024
_SECONDS_PER_TICK = 1 / os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_UTIME_FIELD = 11
"""Index of the user time among the fields after the program name in ``/proc/PID/stat``."""
_RSS_FIELD = 21


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    :param processor_s: processor time so far, user and system.
    :param memory_mb: resident memory.
    """

    processor_s: float
    memory_mb: float


def usage_of(pid: int) -> Usage | None:
    """Return the usage of a process, or ``None`` if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_UTIME_FIELD + 1])
    return Usage(ticks * _SECONDS_PER_TICK, int(fields[_RSS_FIELD]) * _PAGE_BYTES / BYTES_PER_MB)


@dataclass(slots=True)
class VmUsage:
    """Resource usage of one VM, over all of its processes.

    :param processor_s: processor time.
    :param highest: the largest share of a processor in one sample.
    :param highest_s: time of that sample, on the event loop's clock.
    :param memory_mb: the largest resident memory.
    """

    processor_s: float = 0.0
    highest: float = 0.0
    highest_s: float = 0.0
    memory_mb: float = 0.0
    _last_sample: tuple[int, float] = (0, 0.0)

    def add(self, pid: int, usage: Usage, at_s: float) -> None:
        """Add a sample of the VM's current process."""
        before = self._last_sample[1] if self._last_sample[0] == pid else 0.0
        used_s = usage.processor_s - before
        self._last_sample = (pid, usage.processor_s)
        self.processor_s += used_s
        self.memory_mb = max(self.memory_mb, usage.memory_mb)
        if used_s / SAMPLE_INTERVAL_S > self.highest:
            self.highest = used_s / SAMPLE_INTERVAL_S
            self.highest_s = at_s


@dataclass(slots=True)
class Meters:
    """Samples all VMs, and the lag of this process's event loop.

    :ivar lags_s: lag of the event loop, one value per sample.
    :ivar memory_mb: the largest resident memory of all VMs together.
    :ivar own_processor_s: processor time of this process so far.
    """

    entries: Sequence[EntryProcess]
    uses: dict[str, VmUsage] = field(default_factory=dict)
    lags_s: list[float] = field(default_factory=list)
    memory_mb: float = 0.0
    own_processor_s: float = 0.0

    async def run(self) -> None:
        """Sample until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._sample_vms())
            group.create_task(self._sample_lag())

    async def _sample_vms(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            memory_mb = 0.0
            for entry in self.entries:
                usage = None if entry.pid is None else usage_of(entry.pid)
                if usage is None or entry.pid is None:
                    continue
                vm_usage = self.uses.setdefault(entry.name, VmUsage())
                vm_usage.add(entry.pid, usage, loop.time())
                memory_mb += usage.memory_mb
            self.memory_mb = max(self.memory_mb, memory_mb)
            own_usage = usage_of(os.getpid())
            self.own_processor_s = own_usage.processor_s if own_usage is not None else 0.0
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _sample_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_SAMPLE_S
            await asyncio.sleep(LAG_SAMPLE_S)
            self.lags_s.append(loop.time() - due)
