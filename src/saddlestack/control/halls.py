"""Checks whether the other data halls are reachable.

The leader pings some of their VMs continuously. If a data hall is cut off, so are its workers.
Nothing is started on a worker of a hall whose VMs are unreachable until the worker itself has
answered a poll that was sent afterwards. So if all VMs of a hall are just being restarted, this
costs one poll of each of its workers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from saddlestack.control.context import EntryContext
from saddlestack.control.membership import Member, Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError

log = logging.getLogger("saddlestack.halls")

PING_INTERVAL_S = 0.25
"""Interval between pings.

A ping has 0.1 KB, so pings of two VMs in each of four halls cost 2 KB per second.
"""
ANSWER_TIMEOUT_S = 0.25
"""A VM counts as unreachable if it doesn't answer within this time.

Answers take 1 to 3 ms, or 0.1 s if a VM is slow. It must not exceed the interval between pings, so
that pings don't overtake each other.
"""
VMS_PER_HALL = 2
"""Number of VMs pinged in each hall at the same time.

The hall counts as unreachable if none of them answers.
"""

OnUnreachable = Callable[[str], None]
"""Called with the name of a data hall when none of its VMs answers."""


class PingQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether it is reachable."""


class PingAnswer(msgspec.Struct, frozen=True):
    """Confirms that a VM is reachable."""


async def answer_ping(question: PingQuestion) -> PingAnswer:
    """Answers a ping at once; the answer holds no data."""
    return PingAnswer()


class HallMonitor:
    """Pings VMs of the other data halls, and reports halls that become unreachable."""

    def __init__(
        self,
        context: EntryContext,
        peers: Peers,
        membership: Membership,
        on_unreachable: OnUnreachable,
    ) -> None:
        self._context = context
        self._peers = peers
        self._membership = membership
        self._on_silent = on_unreachable
        self._unreachable: set[str] = set()

    async def run(self) -> None:
        """Pings some VMs of each other hall every :data:`PING_INTERVAL_S`, until cancelled."""
        async with asyncio.TaskGroup() as pings:
            while True:
                halls = self._halls()
                self._unreachable &= halls.keys()
                for hall, vms in halls.items():
                    pings.create_task(self._ping(hall, vms))
                await asyncio.sleep(PING_INTERVAL_S)

    def _halls(self) -> dict[str, list[Member]]:
        """Returns some VMs of each other data hall, chosen at random each time."""
        halls = self._membership.sample_by_hall(VMS_PER_HALL)
        halls.pop(self._membership.local.data_hall, None)
        return halls

    async def _ping(self, hall: str, vms: list[Member]) -> None:
        answers = await asyncio.gather(*(self._is_reachable(member) for member in vms))
        if any(answers):
            if hall in self._unreachable:
                log.info("data hall is reachable again", extra={"event": "hall_back", "hall": hall})
            self._unreachable.discard(hall)
            return
        if hall not in self._unreachable:
            log.warning("data hall is unreachable", extra={"event": "hall_silent", "hall": hall})
            self._unreachable.add(hall)
            self._on_silent(hall)

    async def _is_reachable(self, member: Member) -> bool:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._peers.ask(member.vm, PingQuestion(), PingAnswer)
        except (PeerUnavailable, SaddlestackError, TimeoutError):
            return False
        return True
