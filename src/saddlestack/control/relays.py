"""Finds another entry VM that reaches the store, for a VM whose own connection to it is lost.

Querying first costs one round trip, but prevents calls whose outcome is unknown: the query changes
nothing, and a call is sent only to a VM that has just confirmed that the store answers it.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from saddlestack.control.health import StoreHealth
from saddlestack.control.membership import Member, Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError

ANSWER_TIMEOUT_S = 0.25
"""VMs answer within 1 to 3 ms, or 0.1 s if they are slow."""
VMS_PER_HALL = 2
"""Number of VMs queried in each data hall, all at the same time."""


class StoreQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether the store answers it."""


class StoreAnswer(msgspec.Struct, frozen=True):
    """Whether the store answers a VM."""

    answers: bool


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of a query of other VMs.

    :param vm: a VM that the store answers, or ``None``.
    :param cut_off: whether other data halls have VMs, none of these answers, and none of them has
        answered during this outage that the store is unavailable to it too.
    """

    vm: str | None
    cut_off: bool


class Relays:
    """Queries other VMs, and answers their queries."""

    def __init__(self, peers: Peers, membership: Membership, health: StoreHealth) -> None:
        self._peers = peers
        self._membership = membership
        self._health = health
        self._outage_confirmed_s = -math.inf
        peers.serve(StoreQuestion, self._answer)

    async def find(self) -> RelayResult:
        """Queries some VMs of each data hall at the same time.

        :return: the first VM that the store answers.
        """
        halls = self._membership.sample_by_hall(VMS_PER_HALL)
        members = [member for vms in halls.values() for member in vms]
        asked = {asyncio.create_task(self._query(member)): member for member in members}
        reachable_halls: set[str] = set()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await self._first_available(asked, reachable_halls)
        finally:
            for call in asked:
                call.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
        return self._not_found(asked.values(), reachable_halls)

    def _not_found(self, asked: Iterable[Member], reachable_halls: set[str]) -> RelayResult:
        others = {member.data_hall for member in asked} - {self._membership.local.data_hall}
        now = self._health.clock.now()
        if reachable_halls & others:
            self._outage_confirmed_s = now
        lost_everywhere = self._outage_confirmed_s >= now - self._health.outage_s
        return RelayResult(
            None, cut_off=bool(others) and not reachable_halls & others and not lost_everywhere
        )

    async def _first_available(
        self, asked: Mapping[asyncio.Task[bool], Member], reachable_halls: set[str]
    ) -> RelayResult:
        """Waits for a VM that the store answers.

        :param reachable_halls: collects the data halls whose VMs answer.
        """
        waiting = set(asked)
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                answers = _result(call)
                if answers is not None:
                    reachable_halls.add(asked[call].data_hall)
                if answers:
                    return RelayResult(asked[call].vm, cut_off=False)
        return self._not_found(asked.values(), reachable_halls)

    async def _query(self, member: Member) -> bool:
        answer = await self._peers.ask(member.vm, StoreQuestion(), StoreAnswer)
        return answer.answers

    async def _answer(self, question: StoreQuestion) -> StoreAnswer:
        return StoreAnswer(self._health.is_available)


def _result(call: asyncio.Task[bool]) -> bool | None:
    """Returns a VM's answer, or ``None`` if there was none."""
    try:
        return call.result()
    except (PeerUnavailable, SaddlestackError):
        return None
