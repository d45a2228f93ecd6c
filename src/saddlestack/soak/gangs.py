"""Gangs whose members run in several host processes.

Hosts report which members are present and when one ends. The hub notifies the hosts of a gang when
it is complete, at which rate each member works and how it ended. Only the first run of each task
counts: any other one, or one that arrives once the gang is complete, waits until it times out. Each
member works as fast as its worker, and the gang ends with its slowest member.
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
    MemberProgress,
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
    progress: Progress


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
    failures: int
    restore_s: float
    far_x: float
    members: dict[str, _Member] = field(default_factory=dict)
    whole_s: float | None = None
    timer: asyncio.TimerHandle | None = None

    def update_rates(self, at_s: float) -> None:
        """Let each member work at its own rate, which is lower for a gang on several racks."""
        racks = {member.rack for member in self.members.values()}
        divisor = self.far_x if len(racks) > 1 else 1.0
        for member in self.members.values():
            member.progress.set_rate(member.rate / divisor, at_s)

    @property
    def ends_s(self) -> float:
        """When its slowest member will have done its work."""
        return max(member.progress.ends_s for member in self.members.values())

    @property
    def by_host(self) -> dict[int, tuple[MemberProgress, ...]]:
        """The progress of the members, by host."""
        found: dict[int, list[MemberProgress]] = {}
        for task, member in sorted(self.members.items()):
            progress = member.progress
            found.setdefault(member.host, []).append(
                MemberProgress(
                    member.worker, task, progress.since_s, progress.done_s, progress.rate
                )
            )
        return {host: tuple(members) for host, members in found.items()}

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
                self._update_rates(key, gang, gang.whole_s, _now())
        else:
            self._remove_member(key, gang, message)

    def _add_member(self, host: int, key: GangKey, message: MemberPresent) -> None:
        gang = self._gangs.get(key)
        if gang is None:
            gang = _Gang(message.size, message.failures, message.restore_s, message.far_x)
            self._gangs[key] = gang
        if gang.whole_s is not None or message.task in gang.members:
            return
        progress = Progress(message.work_s, message.done_s)
        gang.members[message.task] = _Member(
            host, message.worker, message.rate, message.rack, progress
        )
        if len(gang.members) == gang.size:
            gang.whole_s = _now()
            self._update_rates(key, gang, gang.whole_s, gang.whole_s + gang.restore_s)

    def _update_rates(self, key: GangKey, gang: _Gang, whole_s: float, at_s: float) -> None:
        """Update the rates of the members and notify their hosts."""
        gang.update_rates(at_s)
        gang.cancel_timer()
        if gang.ends_s < math.inf:
            loop = asyncio.get_running_loop()
            gang.timer = loop.call_at(gang.ends_s, self._finish, key, gang)
        for host, members in gang.by_host.items():
            self._send(host, GangMoved(*key, members, whole_s))

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
        for host, progress in gang.by_host.items():
            members = frozenset((member.worker, member.task) for member in progress)
            self._send(host, GangEnded(*key, members, how.value, failed))


def _now() -> float:
    return asyncio.get_running_loop().time()
