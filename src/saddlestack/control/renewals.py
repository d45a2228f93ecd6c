"""Whether any VM still renews leases that an earlier leader granted.

A leader that has lost the store goes on renewing what runs for a while, which a new one cannot see.
Where every VM that is known says that it renews nothing, no lease outlives that moment by more than
its own length; where one does not say so, the longest that it may have renewed is counted. A VM
whose record has just gone is asked as well: it has lost the store, as has a leader that renews
without it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from saddlestack.control.membership import Member, Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError

ASKED_AT_ONCE = 8
"""VMs that are asked at once: each costs a new link and its handshake, and a new leader of 300 VMs
has other things to do."""


class RenewingQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether it renews workers' leases."""


class RenewingAnswer(msgspec.Struct, frozen=True):
    """Whether a VM renews workers' leases."""

    renews: bool


class Renewals:
    """Asks the other VMs, and answers them.

    :param renews: whether this VM renews leases now.
    :ivar asked: VMs that were asked so far.
    """

    def __init__(self, peers: Peers, membership: Membership, renews: Callable[[], bool]) -> None:
        self._peers = peers
        self._membership = membership
        self._renews = renews
        self.asked = 0
        peers.serve(RenewingQuestion, self._answer)

    async def are_over(self) -> bool:
        """Whether all other VMs say that they renew nothing; asks until one does not say so."""
        if not self._membership.loaded.is_set() or not self._membership.is_complete:
            return False
        others = self._membership.possible_renewers()
        for first in range(0, len(others), ASKED_AT_ONCE):
            some = others[first : first + ASKED_AT_ONCE]
            if not all(await asyncio.gather(*(self._says_no(member) for member in some))):
                return False
        return True

    async def _says_no(self, member: Member) -> bool:
        self.asked += 1
        try:
            answer = await self._peers.ask(member.vm, RenewingQuestion(), RenewingAnswer)
        except (PeerUnavailable, SaddlestackError):
            return False
        return not answer.renews

    async def _answer(self, question: RenewingQuestion) -> RenewingAnswer:
        return RenewingAnswer(self._renews())
