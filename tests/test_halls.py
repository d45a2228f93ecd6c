"""Which data halls and VMs are reached: pings of the leader, and the way around a lost store."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast

from saddlestack.control.access import CreateQuestion, OutOfReach, StoreAccess
from saddlestack.control.context import EntryContext
from saddlestack.control.halls import (
    ANSWER_TIMEOUT_S,
    PING_S,
    HallMonitor,
    PingAnswer,
    PingQuestion,
)
from saddlestack.control.health import StoreHealth
from saddlestack.control.membership import Member, Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.control.relays import RelayResult, Relays, StoreAnswer, StoreQuestion
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.standins.pool.store import StoreState, StoreView
from tests.support import bare_context

SILENCE_S = 5.0
NOTICED_S = PING_S + ANSWER_TIMEOUT_S + 0.05
KEY = "saddlestack/requests/job/a"


def member(vm: str, hall: str) -> Member:
    return Member(vm=vm, data_hall=hall, incarnation=1, address="", port=1, secret="")


@dataclass
class Network:
    """Stands in for the streams to other VMs and the list of them.

    :param silent: VMs that answer nothing.
    :param reaching: VMs that the store answers.
    """

    members: list[Member]
    silent: set[str] = field(default_factory=set)
    reaching: set[str] = field(default_factory=set)
    slow_creations: bool = False
    asked: list[tuple[str, object]] = field(default_factory=list)

    @property
    def local(self) -> Member:
        return self.members[0]

    def sample_by_hall(self, most: int) -> dict[str, list[Member]]:
        halls: dict[str, list[Member]] = {}
        for each in self.members[1:]:
            halls.setdefault(each.data_hall, []).append(each)
        return {hall: members[:most] for hall, members in halls.items()}

    def serve(self, question: type[Any], answer: object) -> None:
        pass

    async def ask(self, vm: str, question: object, kind: type[Any]) -> Any:
        self.asked.append((vm, question))
        if vm in self.silent:
            await asyncio.sleep(SILENCE_S)
            raise PeerUnavailable("silence", sent=True)
        await asyncio.sleep(0.002)
        if isinstance(question, PingQuestion):
            return PingAnswer()
        if isinstance(question, StoreQuestion):
            return StoreAnswer(vm in self.reaching)
        if isinstance(question, CreateQuestion) and self.slow_creations:
            await asyncio.sleep(SILENCE_S)
        raise AssertionError(f"{vm} was asked {question}")

    @property
    def as_peers(self) -> Peers:
        return cast(Peers, self)

    @property
    def as_membership(self) -> Membership:
        return cast(Membership, self)


def network() -> Network:
    halls = {"a": ("a1", "a2"), "b": ("b1", "b2"), "c": ("c1", "c2", "c3")}
    return Network([member(vm, hall) for hall, vms in halls.items() for vm in vms])


class HallWatchTest(unittest.TestCase):
    def test_a_hall_all_of_whose_vms_are_silent_is_told_of_once(self) -> None:
        async def main() -> None:
            net = network()
            told: list[str] = []
            context = cast(EntryContext, None)
            watch = HallMonitor(context, net.as_peers, net.as_membership, told.append)
            running = asyncio.ensure_future(watch.run())
            net.silent = {"b1", "c1", "c2"}
            await asyncio.sleep(NOTICED_S)
            net.members = [each for each in net.members if each.vm != "c3"]
            net.silent = {"b1", "c1"}
            await asyncio.sleep(NOTICED_S)
            self.assertNotIn("b", told)
            told.clear()
            net.silent = {"b1", "b2"}
            await asyncio.sleep(NOTICED_S)
            self.assertEqual(told, ["b"])
            await asyncio.sleep(2.0)
            self.assertEqual(told, ["b"])
            net.silent = set()
            await asyncio.sleep(1.0)
            net.silent = {"b1", "b2"}
            await asyncio.sleep(NOTICED_S)
            self.assertEqual(told, ["b", "b"])
            running.cancel()

        run(main())


class RelaysTest(unittest.TestCase):
    def find(self, net: Network) -> RelayResult:
        async def main() -> RelayResult:
            health = StoreHealth(StoreView(StoreState()), VirtualClock())
            return await Relays(net.as_peers, net.as_membership, health).find()

        return run(main())

    def test_a_vm_that_the_store_answers_is_found(self) -> None:
        net = network()
        net.silent = {"a2", "b1", "b2"}
        net.reaching = {"c1"}
        self.assertEqual(self.find(net), RelayResult("c1", cut_off=False))

    def test_a_store_that_answers_nobody_is_no_cut(self) -> None:
        net = network()
        net.silent = {"b1", "b2", "c1"}
        self.assertEqual(self.find(net), RelayResult(None, cut_off=False))

    def test_silence_of_all_other_halls_is_a_cut(self) -> None:
        net = network()
        net.silent = {"b1", "b2", "c1", "c2", "c3"}
        self.assertEqual(self.find(net), RelayResult(None, cut_off=True))

    def test_where_there_is_one_hall_there_is_no_cut(self) -> None:
        net = Network([member("a1", "a"), member("a2", "a")], silent={"a2"})
        self.assertEqual(self.find(net), RelayResult(None, cut_off=False))


class AccessTest(unittest.TestCase):
    def play(self, body: Callable[[Network, StoreAccess, StoreView], Awaitable[None]]) -> None:
        async def main() -> None:
            net = network()
            view = StoreView(StoreState())
            clock = VirtualClock()
            health = StoreHealth(view, clock)
            await health.start()
            context = bare_context(clock, store=view, health=health)
            relays = Relays(net.as_peers, net.as_membership, health)
            view.faults.silent = True
            await asyncio.sleep(0.5)
            try:
                await body(net, StoreAccess(context, net.as_peers, relays), view)
            finally:
                await health.stop()

        run(main())

    def test_a_vm_that_is_cut_off_refuses_at_once_and_truly(self) -> None:
        """Found on the days of a cut hall: calls were held for 1.2 s before they were refused."""

        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            net.silent = {"b1", "b2", "c1", "c2", "c3"}
            began = asyncio.get_running_loop().time()
            with self.assertRaises(OutOfReach) as caught:
                await access.create(KEY, b"job", began + 1.2)
            self.assertLess(asyncio.get_running_loop().time() - began, ANSWER_TIMEOUT_S + 0.05)
            self.assertFalse(caught.exception.doubt)
            self.assertFalse(caught.exception.elsewhere)
            await asyncio.sleep(1.0)  # until the balancer sends no more to this VM
            with self.assertRaises(OutOfReach) as caught:
                await access.create(KEY, b"job", began + 9.9)
            self.assertTrue(caught.exception.elsewhere)

        self.play(body)

    def test_a_cut_within_an_outage_of_all_sends_nobody_elsewhere(self) -> None:
        """Found on an incident: callers used up their tries at VMs that were all cut off."""

        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            loop = asyncio.get_running_loop()
            with self.assertRaises(OutOfReach):
                await access.create(KEY, b"job", loop.time() + 0.2)
            net.silent = {"b1", "b2", "c1", "c2", "c3"}
            await asyncio.sleep(1.0)
            began = loop.time()
            with self.assertRaises(OutOfReach) as caught:
                await access.create(KEY, b"job", began + 0.8)
            self.assertFalse(caught.exception.elsewhere)
            self.assertAlmostEqual(loop.time() - began, 0.8, 2)
            view.faults.silent = False
            await asyncio.sleep(1.0)
            view.faults.silent = True
            await asyncio.sleep(1.5)
            with self.assertRaises(OutOfReach) as caught:
                await access.create(KEY, b"job", loop.time() + 0.8)
            self.assertTrue(caught.exception.elsewhere)

        self.play(body)

    def test_a_call_whose_time_is_up_while_another_vm_has_it_is_in_doubt(self) -> None:
        """Found on trouble-3: it was called not written, and was written."""

        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            net.reaching = {"b1", "b2", "c1", "c2", "c3"}
            net.slow_creations = True
            began = asyncio.get_running_loop().time()
            with self.assertRaises(OutOfReach) as caught:
                await access.create(KEY, b"job", began + 0.1)
            self.assertTrue(any(isinstance(asked, CreateQuestion) for _, asked in net.asked))
            self.assertTrue(caught.exception.doubt)

        self.play(body)

    def test_a_store_that_answers_nobody_is_waited_for(self) -> None:
        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            began = asyncio.get_running_loop().time()
            creating = asyncio.ensure_future(access.create(KEY, b"job", began + 1.2))
            await asyncio.sleep(0.7)
            view.faults.silent = False
            answer = await creating
            self.assertTrue(answer.created)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.0)

        self.play(body)
