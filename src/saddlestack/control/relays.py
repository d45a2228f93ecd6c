"""Finds an entry VM that reaches the store, for one whose own way to it is lost.

Asking first costs one round trip and keeps calls out of doubt: what is asked changes nothing, and
a call goes only to a VM that has just said that the store answers it.
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
"""VMs answer in 1 to 3 ms, in 0.1 s where they run slow."""
VMS_PER_HALL = 2
"""VMs of each hall that are asked at once."""


class StoreQuestion(msgspec.Struct, frozen=True):
    """Asks a VM whether the store answers it."""


class StoreAnswer(msgspec.Struct, frozen=True):
    """Whether the store answers a VM."""

    answers: bool


@dataclass(frozen=True, slots=True)
class RelayResult:
    """What the other VMs say.

    :param vm: one that the store answers, or ``None``.
    :param cut_off: no VM of any other hall is reached, there are some, and none of them has said
        during this outage that the store is lost to it as well.
    """

    vm: str | None
    cut_off: bool


class Relays:
    """Asks the others, and answers them."""

    def __init__(self, peers: Peers, membership: Membership, health: StoreHealth) -> None:
        self._peers = peers
        self._membership = membership
        self._health = health
        self._refused_s = -math.inf
        peers.serve(StoreQuestion, self._answer)

    async def find(self) -> RelayResult:
        """Ask some VMs of each hall at once; the first that says yes is taken."""
        halls = self._membership.sample_by_hall(VMS_PER_HALL)
        members = [member for vms in halls.values() for member in vms]
        asked = {asyncio.create_task(self._ask(member)): member for member in members}
        heard: set[str] = set()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await self._first(asked, heard)
        finally:
            for call in asked:
                call.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
        return self._none(asked.values(), heard)

    def _none(self, asked: Iterable[Member], heard: set[str]) -> RelayResult:
        others = {member.data_hall for member in asked} - {self._membership.local.data_hall}
        now = self._health.clock.now()
        if heard & others:
            self._refused_s = now
        lost_everywhere = self._refused_s >= now - self._health.outage_s
        return RelayResult(
            None, cut_off=bool(others) and not heard & others and not lost_everywhere
        )

    async def _first(
        self, asked: Mapping[asyncio.Task[bool], Member], heard: set[str]
    ) -> RelayResult:
        """Wait for a VM that the store answers; notes the halls that are heard meanwhile."""
        waiting = set(asked)
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                answers = _result(call)
                if answers is not None:
                    heard.add(asked[call].data_hall)
                if answers:
                    return RelayResult(asked[call].vm, cut_off=False)
        return self._none(asked.values(), heard)

    async def _ask(self, member: Member) -> bool:
        answer = await self._peers.ask(member.vm, StoreQuestion(), StoreAnswer)
        return answer.answers

    async def _answer(self, question: StoreQuestion) -> StoreAnswer:
        return StoreAnswer(self._health.is_available)


def _result(call: asyncio.Task[bool]) -> bool | None:
    """A VM's answer; ``None`` where it gave none."""
    try:
        return call.result()
    except (PeerUnavailable, SaddlestackError):
        return None
