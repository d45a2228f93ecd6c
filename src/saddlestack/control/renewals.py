"""Checks whether another VM still renews leases that an earlier leader granted.

A leader that has lost the store goes on renewing the leases of running work for some time, which a
new leader can't see. If all known VMs answer that they renew nothing, no lease outlives that moment
by more than its own length. If one doesn't, the longest time for which it may have renewed is
assumed. VMs whose record was removed recently are queried as well: they have lost the store, like a
leader that renews without it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from saddlestack.control.membership import Member, Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError

MAX_CONCURRENT_QUERIES = 8
"""VMs queried concurrently. Each needs a new connection and its handshake, and a new leader of 300
VMs has other work."""


class RenewingQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether it renews workers' leases."""


class RenewingAnswer(msgspec.Struct, frozen=True):
    """Whether a VM renews workers' leases."""

    renews: bool


class Renewals:
    """Queries the other VMs, and answers their queries.

    :param renews: returns whether this VM renews leases now.
    :ivar queried: number of VMs queried so far.
    """

    def __init__(self, peers: Peers, membership: Membership, renews: Callable[[], bool]) -> None:
        self._peers = peers
        self._membership = membership
        self._renews = renews
        self.queried = 0
        peers.serve(RenewingQuestion, self._answer)

    async def are_over(self) -> bool:
        """Returns whether all other VMs answer that they renew nothing.

        Stops at the first VM that doesn't.
        """
        if not self._membership.loaded.is_set() or not self._membership.is_complete:
            return False
        others = self._membership.possible_renewers()
        for first in range(0, len(others), MAX_CONCURRENT_QUERIES):
            batch = others[first : first + MAX_CONCURRENT_QUERIES]
            if not all(await asyncio.gather(*(self._renews_nothing(member) for member in batch))):
                return False
        return True

    async def _renews_nothing(self, member: Member) -> bool:
        self.queried += 1
        try:
            answer = await self._peers.ask(member.vm, RenewingQuestion(), RenewingAnswer)
        except (PeerUnavailable, SaddlestackError):
            return False
        return not answer.renews

    async def _answer(self, question: RenewingQuestion) -> RenewingAnswer:
        return RenewingAnswer(self._renews())
