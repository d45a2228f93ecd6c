"""Faults of the connections to a worker, which affect calls before and after they are handled."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from saddlestack.platform import paths
from saddlestack.soak.messages import (
    AnswerErrors,
    CallKind,
    CutDirection,
    CutFromVms,
    DelayOrders,
    Hang,
    LastingCommand,
    LoseAnswers,
)

CallFault = DelayOrders | LoseAnswers | Hang | AnswerErrors
"""Faults that affect single calls."""

CALL_KINDS = {
    paths.START: CallKind.START,
    paths.STOP: CallKind.STOP,
    paths.HOLD: CallKind.LOOK,
}


@dataclass(slots=True)
class _ActiveFault:
    command: LastingCommand
    until_s: float


@dataclass(slots=True)
class CallFaults:
    """The active faults of calls to one machine; each ends after its duration."""

    rng: random.Random
    _faults: list[_ActiveFault] = field(default_factory=list)
    _cuts_changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, command: LastingCommand) -> None:
        """Start a fault."""
        self._faults.append(_ActiveFault(command, _now() + command.seconds))

    def clear(self) -> None:
        """End all faults."""
        self._faults.clear()
        changed, self._cuts_changed = self._cuts_changed, asyncio.Event()
        changed.set()

    def draw_fault(self, kind: CallKind | None) -> CallFault | None:
        """Draw at random which fault, if any, affects a call."""
        for command in self._active():
            if isinstance(command, CallFault) and self._strikes(command, kind):
                return command
        return None

    async def wait_for_request(self, fence: int) -> bool:
        """Wait while requests are held back, and return whether this one was."""
        return await self._wait_while_cut(fence, CutDirection.REQUESTS)

    async def wait_for_answer(self, fence: int) -> None:
        """Wait while answers are held back."""
        await self._wait_while_cut(fence, CutDirection.ANSWERS)

    def _strikes(self, command: CallFault, kind: CallKind | None) -> bool:
        if isinstance(command, DelayOrders | LoseAnswers) and kind not in command.calls:
            return False
        return self.rng.random() < command.share

    async def _wait_while_cut(self, fence: int, direction: CutDirection) -> bool:
        waited = False
        while (left_s := self._cut_for_s(fence, direction)) > 0:
            waited = True
            try:
                async with asyncio.timeout(left_s):
                    await self._cuts_changed.wait()
            except TimeoutError:
                continue
        return waited

    def _cut_for_s(self, fence: int, direction: CutDirection) -> float:
        """The remaining time for which calls with a fencing token are cut."""
        now = _now()
        left = [
            fault.until_s - now
            for fault in self._faults
            if isinstance(fault.command, CutFromVms) and _cuts(fault.command, fence, direction)
        ]
        return max(left, default=0.0)

    def _active(self) -> list[LastingCommand]:
        now = _now()
        self._faults = [fault for fault in self._faults if fault.until_s > now]
        return [fault.command for fault in self._faults]


def _cuts(cut: CutFromVms, fence: int, direction: CutDirection) -> bool:
    if cut.fences and fence not in cut.fences:
        return False
    return cut.way in {direction, CutDirection.BOTH}


def _now() -> float:
    return asyncio.get_running_loop().time()
