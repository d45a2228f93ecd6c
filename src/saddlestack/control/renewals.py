"""Whether any VM still renews leases that an earlier leader granted.

A leader that has lost the store goes on renewing what runs for a while, which a new one cannot see.
Where every VM that is known says that it renews nothing, no lease outlives that moment by more than
its own length; where one does not say so, the longest that it may have renewed is counted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from saddlestack.control.membership import Member, Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError


class RenewingQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether it renews workers' leases."""


class RenewingAnswer(msgspec.Struct, frozen=True):
    """Whether a VM renews workers' leases."""

    renews: bool


class Renewals:
    """Asks the other VMs, and answers them.

    :param renews: whether this VM renews leases now.
    """

    def __init__(self, peers: Peers, membership: Membership, renews: Callable[[], bool]) -> None:
        self._peers = peers
        self._membership = membership
        self._renews = renews
        peers.serve(RenewingQuestion, self._answer)

    async def are_over(self) -> bool:
        """Whether all other VMs say that they renew nothing."""
        if not self._membership.loaded.is_set():
            return False
        answers = await asyncio.gather(*(self._says_no(vm) for vm in self._membership.others()))
        return all(answers)

    async def _says_no(self, member: Member) -> bool:
        try:
            answer = await self._peers.ask(member.vm, RenewingQuestion(), RenewingAnswer)
        except (PeerUnavailable, SaddlestackError):
            return False
        return not answer.renews

    async def _answer(self, question: RenewingQuestion) -> RenewingAnswer:
        return RenewingAnswer(self._renews())
