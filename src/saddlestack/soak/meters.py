"""What a soak costs: processor time and memory of its VMs, and how late its event loop is."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from saddlestack.soak.processes import EntryProcess

SAMPLE_S = 1.0
LAG_STEP_S = 0.05
MEGABYTE = 1024 * 1024
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_UTIME = 11
"""Where the processor time stands behind the name of the program in ``/proc/PID/stat``."""
_RSS = 21


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far.

    :param processor_s: processor time, of user and system.
    :param memory_mb: memory that it holds now.
    """

    processor_s: float
    memory_mb: float


def usage_of(pid: int) -> Usage | None:
    """What a process has used, or ``None`` where it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_UTIME + 1])
    return Usage(ticks * _TICK_S, int(fields[_RSS]) * _PAGE / MEGABYTE)


@dataclass(slots=True)
class VmUsage:
    """What one VM used, over all its lives.

    :param highest: the largest share of a processor in one sample.
    """

    processor_s: float = 0.0
    highest: float = 0.0
    highest_s: float = 0.0
    memory_mb: float = 0.0
    _life: tuple[int, float] = (0, 0.0)

    def add(self, pid: int, usage: Usage, at_s: float) -> None:
        """Take in a sample."""
        before = self._life[1] if self._life[0] == pid else 0.0
        used = usage.processor_s - before
        self._life = (pid, usage.processor_s)
        self.processor_s += used
        self.memory_mb = max(self.memory_mb, usage.memory_mb)
        if used / SAMPLE_S > self.highest:
            self.highest = used / SAMPLE_S
            self.highest_s = at_s


@dataclass(slots=True)
class Meters:
    """Samples all VMs, and the lag of this process's event loop.

    :ivar lags_s: how late the loop was, step by step.
    :ivar memory_mb: the most that all VMs held together.
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
                use = self.uses.setdefault(entry.name, VmUsage())
                use.add(entry.pid, usage, loop.time())
                memory_mb += usage.memory_mb
            self.memory_mb = max(self.memory_mb, memory_mb)
            own = usage_of(os.getpid())
            self.own_processor_s = own.processor_s if own is not None else 0.0
            await asyncio.sleep(SAMPLE_S)

    async def _sample_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_STEP_S
            await asyncio.sleep(LAG_STEP_S)
            self.lags_s.append(loop.time() - due)
