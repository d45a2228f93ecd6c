"""Troubles of the way to a worker: what becomes of a call before and after it is carried out."""

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
"""Troubles that befall single calls."""

CALL_KINDS = {
    paths.START: CallKind.START,
    paths.STOP: CallKind.STOP,
    paths.HOLD: CallKind.LOOK,
}


@dataclass(slots=True)
class _Lasting:
    command: LastingCommand
    until_s: float


@dataclass(slots=True)
class CallFaults:
    """The troubles of one machine's way, each until its time is over."""

    rng: random.Random
    _lasting: list[_Lasting] = field(default_factory=list)
    _cuts_changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, command: LastingCommand) -> None:
        """A trouble begins."""
        self._lasting.append(_Lasting(command, _now() + command.seconds))

    def clear(self) -> None:
        """All troubles are over."""
        self._lasting.clear()
        changed, self._cuts_changed = self._cuts_changed, asyncio.Event()
        changed.set()

    def draw_fault(self, kind: CallKind | None) -> CallFault | None:
        """What befalls a call, drawn by chance."""
        for command in self._present():
            if isinstance(command, CallFault) and self._hits(command, kind):
                return command
        return None

    async def wait_for_request(self, fence: int) -> bool:
        """Wait while requests are held back; whether this one was."""
        return await self._wait(fence, CutDirection.REQUESTS)

    async def wait_for_answer(self, fence: int) -> None:
        """Wait while answers are held back."""
        await self._wait(fence, CutDirection.ANSWERS)

    def _hits(self, command: CallFault, kind: CallKind | None) -> bool:
        if isinstance(command, DelayOrders | LoseAnswers) and kind not in command.calls:
            return False
        return self.rng.random() < command.share

    async def _wait(self, fence: int, way: CutDirection) -> bool:
        waited = False
        while (left_s := self._cut_for_s(fence, way)) > 0:
            waited = True
            try:
                async with asyncio.timeout(left_s):
                    await self._cuts_changed.wait()
            except TimeoutError:
                continue
        return waited

    def _cut_for_s(self, fence: int, way: CutDirection) -> float:
        """How much longer calls with a token are cut."""
        now = _now()
        left = [
            lasting.until_s - now
            for lasting in self._lasting
            if isinstance(lasting.command, CutFromVms) and _cuts(lasting.command, fence, way)
        ]
        return max(left, default=0.0)

    def _present(self) -> list[LastingCommand]:
        now = _now()
        self._lasting = [lasting for lasting in self._lasting if lasting.until_s > now]
        return [lasting.command for lasting in self._lasting]


def _cuts(cut: CutFromVms, fence: int, way: CutDirection) -> bool:
    if cut.fences and fence not in cut.fences:
        return False
    return cut.way in {way, CutDirection.BOTH}


def _now() -> float:
    return asyncio.get_running_loop().time()
