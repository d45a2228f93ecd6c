"""Whether the other data halls can be reached: the leader asks some of their VMs all the time.

A hall that is cut off takes its workers along. Nothing new goes to a worker of a hall whose VMs are
silent, until that worker itself has answered a look that was sent afterwards; a hall whose VMs are
all being restarted therefore costs one look at each of its workers.
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

PING_S = 0.25
"""Between pings of a hall: 0.1 KB each, so 2 KB a second for two VMs in each of four halls."""
ANSWER_TIMEOUT_S = 0.25
"""A VM is silent after this; answers take 1 to 3 ms, 0.1 s where a VM runs slow. No longer than
the time between pings, so that they do not overtake each other."""
VMS_PER_HALL = 2
"""VMs of a hall that are asked at once; all of them have to be silent."""

Silent = Callable[[str], None]
"""Told of a data hall none of whose VMs answers."""


class PingQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether it can be reached."""


class PingAnswer(msgspec.Struct, frozen=True):
    """It can."""


async def answer_ping(question: PingQuestion) -> PingAnswer:
    """Answer a ping."""
    return PingAnswer()


class HallMonitor:
    """Pings the VMs of the other halls, and tells when a hall falls silent."""

    def __init__(
        self, context: EntryContext, peers: Peers, membership: Membership, on_silent: Silent
    ) -> None:
        self._context = context
        self._peers = peers
        self._membership = membership
        self._on_silent = on_silent
        self._silent: set[str] = set()

    async def run(self) -> None:
        """Ask until cancelled."""
        async with asyncio.TaskGroup() as asking:
            while True:
                halls = self._halls()
                self._silent &= halls.keys()
                for hall, vms in halls.items():
                    asking.create_task(self._ask(hall, vms))
                await asyncio.sleep(PING_S)

    def _halls(self) -> dict[str, list[Member]]:
        """Some VMs of each other hall, chosen by chance each time."""
        halls = self._membership.sample_by_hall(VMS_PER_HALL)
        halls.pop(self._membership.local.data_hall, None)
        return halls

    async def _ask(self, hall: str, vms: list[Member]) -> None:
        answers = await asyncio.gather(*(self._answers(member) for member in vms))
        if any(answers):
            if hall in self._silent:
                log.info("hall answers again", extra={"event": "hall_back", "hall": hall})
            self._silent.discard(hall)
            return
        if hall not in self._silent:
            log.warning("hall does not answer", extra={"event": "hall_silent", "hall": hall})
            self._silent.add(hall)
            self._on_silent(hall)

    async def _answers(self, member: Member) -> bool:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._peers.ask(member.vm, PingQuestion(), PingAnswer)
        except (PeerUnavailable, SaddlestackError, TimeoutError):
            return False
        return True
