"""Gangs whose members run in several host processes.

Hosts report which members are present and when one ends. The hub notifies the hosts of a gang when
it is complete, at which rate it works and how it ended. Only the first run of each task counts: any
other one, or one that arrives once the gang is complete, waits until it times out. A gang works as
fast as its slowest member.
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
    worker: str
    rate: float
    rack: str


@dataclass(slots=True)
class _Gang:
    """One run of a gang.

    :param failures: number of runs of the gang that fail, the first ones.
    :param restore_s: the time to restore a checkpoint before the gang works.
    :param far_x: the factor by which it is slower on more than one rack.
    :param members: the present members, by task.
    :param whole_s: when the gang became complete; ``None`` before.
    :param timer: fires when all work is done.
    """

    size: int
    progress: Progress
    failures: int
    restore_s: float
    far_x: float
    members: dict[str, _Member] = field(default_factory=dict)
    whole_s: float | None = None
    timer: asyncio.TimerHandle | None = None

    @property
    def rate(self) -> float:
        racks = {member.rack for member in self.members.values()}
        slowest = min(member.rate for member in self.members.values())
        return slowest / self.far_x if len(racks) > 1 else slowest

    @property
    def by_host(self) -> dict[int, frozenset[tuple[str, str]]]:
        """The workers and tasks of members, by host."""
        found: dict[int, set[tuple[str, str]]] = {}
        for task, member in self.members.items():
            found.setdefault(member.host, set()).add((member.worker, task))
        return {host: frozenset(members) for host, members in found.items()}

    def has_member(self, worker: str, task: str) -> bool:
        """Whether a worker's run of a task is a member."""
        member = self.members.get(task)
        return member is not None and member.worker == worker

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class GangHub:
    """Coordinates all gangs that wait or work.

    :param send: sends a message to a host.
    """

    def __init__(self, send: Send) -> None:
        self._send = send
        self._gangs: dict[GangKey, _Gang] = {}

    def receive(self, host: int, message: GangMessage) -> None:
        """Process a host's message about a member."""
        key = (message.step, message.run)
        if isinstance(message, MemberPresent):
            self._add_member(host, key, message)
            return
        gang = self._gangs.get(key)
        if gang is None or not gang.has_member(message.worker, message.task):
            return
        if isinstance(message, MemberPaced):
            gang.members[message.task].rate = message.rate
            if gang.whole_s is not None:
                self._set_progress(key, gang, gang.whole_s, _now())
        else:
            self._remove_member(key, gang, message)

    def _add_member(self, host: int, key: GangKey, message: MemberPresent) -> None:
        gang = self._gangs.get(key)
        if gang is None:
            progress = Progress(message.work_s, message.done_s)
            gang = _Gang(message.size, progress, message.failures, message.restore_s, message.far_x)
            self._gangs[key] = gang
        if gang.whole_s is not None or message.task in gang.members:
            return
        gang.members[message.task] = _Member(host, message.worker, message.rate, message.rack)
        if len(gang.members) == gang.size:
            gang.whole_s = _now()
            self._set_progress(key, gang, gang.whole_s, gang.whole_s + gang.restore_s)

    def _set_progress(self, key: GangKey, gang: _Gang, whole_s: float, at_s: float) -> None:
        """Update the rate from the members and notify their hosts."""
        gang.progress.set_rate(gang.rate, at_s)
        gang.cancel_timer()
        ends_s = gang.progress.ends_s
        if ends_s < math.inf:
            loop = asyncio.get_running_loop()
            gang.timer = loop.call_at(ends_s, self._finish, key, gang)
        progress = gang.progress
        for host, members in gang.by_host.items():
            moved = GangMoved(
                *key, members, progress.since_s, progress.done_s, progress.rate, whole_s
            )
            self._send(host, moved)

    def _remove_member(self, key: GangKey, gang: _Gang, message: MemberGone) -> None:
        del gang.members[message.task]
        if gang.whole_s is not None:
            self._end(key, gang, EndKind.BROKEN)
        elif not gang.members:
            del self._gangs[key]

    def _finish(self, key: GangKey, gang: _Gang) -> None:
        if key[1] <= gang.failures:
            failed = min(gang.members)
            self._end(key, gang, EndKind.BROKEN, failed)
        else:
            self._end(key, gang, EndKind.DONE)

    def _end(self, key: GangKey, gang: _Gang, how: EndKind, failed: str = "") -> None:
        gang.cancel_timer()
        del self._gangs[key]
        for host, members in gang.by_host.items():
            self._send(host, GangEnded(*key, members, how.value, failed))


def _now() -> float:
    return asyncio.get_running_loop().time()
