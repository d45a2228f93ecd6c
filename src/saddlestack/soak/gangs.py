"""Gangs whose members run in several host processes.

Hosts tell which members are present, and when one ends. The hub tells the hosts of a gang when it
is whole, at which rate it works, and how it ended. A gang works as fast as its slowest member.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import EndKind
from saddlestack.soak.messages import (
    GangEnded,
    GangMessage,
    GangMoved,
    MemberGone,
    MemberPaced,
    MemberPresent,
)
from saddlestack.soak.progress import Progress

GangKey = tuple[str, int]
"""The step and the run of a gang."""
Send = Callable[[int, GangMoved | GangEnded], None]


@dataclass(slots=True)
class _Member:
    host: int
    rate: float
    rack: str


@dataclass(slots=True)
class _Gang:
    """One run of a gang.

    :param far_x: it takes so many times as long on more than one rack.
    :param members: those that are present, by task.
    :param timer: fires when all work is done.
    """

    size: int
    progress: Progress
    failures: int
    restore_s: float
    far_x: float
    members: dict[str, _Member] = field(default_factory=dict)
    whole: bool = False
    timer: asyncio.TimerHandle | None = None

    @property
    def rate(self) -> float:
        racks = {member.rack for member in self.members.values()}
        slowest = min(member.rate for member in self.members.values())
        return slowest / self.far_x if len(racks) > 1 else slowest

    @property
    def hosts(self) -> set[int]:
        return {member.host for member in self.members.values()}

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class GangHub:
    """Knows all gangs that wait or work.

    :param send: sends a message to a host.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self._gangs: dict[GangKey, _Gang] = {}

    def take(self, host: int, message: GangMessage) -> None:
        """Note what a host tells of a member."""
        key = (message.step, message.run)
        if isinstance(message, MemberPresent):
            self._present(host, key, message)
            return
        gang = self._gangs.get(key)
        if gang is None or message.task not in gang.members:
            return
        if isinstance(message, MemberPaced):
            gang.members[message.task].rate = message.rate
            if gang.whole:
                self._move(key, gang, _now())
        else:
            self._gone(key, gang, message)

    def _present(self, host: int, key: GangKey, message: MemberPresent) -> None:
        gang = self._gangs.get(key)
        if gang is None:
            progress = Progress(message.work_s, message.done_s)
            gang = _Gang(message.size, progress, message.failures, message.restore_s, message.far_x)
            self._gangs[key] = gang
        gang.members[message.task] = _Member(host, message.rate, message.rack)
        if not gang.whole and len(gang.members) == gang.size:
            gang.whole = True
            self._move(key, gang, _now() + gang.restore_s)

    def _move(self, key: GangKey, gang: _Gang, at_s: float) -> None:
        """Go on at the rate of the members, and tell their hosts."""
        gang.progress.go_on(gang.rate, at_s)
        gang.cancel_timer()
        ends_s = gang.progress.ends_s
        if ends_s < math.inf:
            loop = asyncio.get_running_loop()
            gang.timer = loop.call_at(ends_s, self._finish, key, gang)
        moved = GangMoved(*key, gang.progress.since_s, gang.progress.done_s, gang.progress.rate)
        for host in gang.hosts:
            self._send(host, moved)

    def _gone(self, key: GangKey, gang: _Gang, message: MemberGone) -> None:
        del gang.members[message.task]
        if gang.whole:
            self._end(key, gang, GangEnded(*key, EndKind.BROKEN.value))
        elif not gang.members:
            del self._gangs[key]

    def _finish(self, key: GangKey, gang: _Gang) -> None:
        if key[1] <= gang.failures:
            failed = min(gang.members)
            self._end(key, gang, GangEnded(*key, EndKind.BROKEN.value, failed))
        else:
            self._end(key, gang, GangEnded(*key, EndKind.DONE.value))

    def _end(self, key: GangKey, gang: _Gang, ended: GangEnded) -> None:
        gang.cancel_timer()
        del self._gangs[key]
        for host in gang.hosts:
            self._send(host, ended)


def _now() -> float:
    return asyncio.get_running_loop().time()
