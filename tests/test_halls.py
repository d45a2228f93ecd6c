"""Reachability of data halls and VMs: pings of the leader, and relays to the store."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast

from saddlestack.control.access import CreateQuestion, StoreAccess, StoreUnreachable
from saddlestack.control.context import EntryContext
from saddlestack.control.halls import (
    ANSWER_TIMEOUT_S,
    PING_INTERVAL_S,
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
DETECTED_S = PING_INTERVAL_S + ANSWER_TIMEOUT_S + 0.05
KEY = "saddlestack/requests/job/a"


def member(vm: str, hall: str) -> Member:
    return Member(vm=vm, data_hall=hall, incarnation=1, address="", port=1, secret="")


@dataclass
class Network:
    """Stands in for both :class:`Peers` and :class:`Membership`: answers questions to other VMs.

    :param silent: VMs that don't answer.
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

    def sample_by_hall(self, per_hall: int) -> dict[str, list[Member]]:
        halls: dict[str, list[Member]] = {}
        for each in self.members[1:]:
            halls.setdefault(each.data_hall, []).append(each)
        return {hall: members[:per_hall] for hall, members in halls.items()}

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


class HallMonitorTest(unittest.TestCase):
    def test_an_unreachable_hall_is_reported_once(self) -> None:
        async def main() -> None:
            net = network()
            reported: list[str] = []
            context = cast(EntryContext, None)
            monitor = HallMonitor(context, net.as_peers, net.as_membership, reported.append)
            running = asyncio.ensure_future(monitor.run())
            net.silent = {"b1", "c1", "c2"}
            await asyncio.sleep(DETECTED_S)
            net.members = [each for each in net.members if each.vm != "c3"]
            net.silent = {"b1", "c1"}
            await asyncio.sleep(DETECTED_S)
            self.assertNotIn("b", reported)
            reported.clear()
            net.silent = {"b1", "b2"}
            await asyncio.sleep(DETECTED_S)
            self.assertEqual(reported, ["b"])
            await asyncio.sleep(2.0)
            self.assertEqual(reported, ["b"])
            net.silent = set()
            await asyncio.sleep(1.0)
            net.silent = {"b1", "b2"}
            await asyncio.sleep(DETECTED_S)
            self.assertEqual(reported, ["b", "b"])
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

    def test_if_the_store_answers_no_vm_the_vm_is_not_cut_off(self) -> None:
        net = network()
        net.silent = {"b1", "b2", "c1"}
        self.assertEqual(self.find(net), RelayResult(None, cut_off=False))

    def test_if_all_other_halls_are_unreachable_the_vm_is_cut_off(self) -> None:
        net = network()
        net.silent = {"b1", "b2", "c1", "c2", "c3"}
        self.assertEqual(self.find(net), RelayResult(None, cut_off=True))

    def test_with_one_hall_the_vm_is_not_cut_off(self) -> None:
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

    def test_a_vm_that_is_cut_off_refuses_at_once_without_doubt(self) -> None:
        """Guards against calls that are held for 1.2 s before they are refused.

        This was seen when a data hall was cut off.
        """

        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            net.silent = {"b1", "b2", "c1", "c2", "c3"}
            began = asyncio.get_running_loop().time()
            with self.assertRaises(StoreUnreachable) as caught:
                await access.create(KEY, b"job", began + 1.2)
            self.assertLess(asyncio.get_running_loop().time() - began, ANSWER_TIMEOUT_S + 0.05)
            self.assertFalse(caught.exception.doubt)
            self.assertFalse(caught.exception.elsewhere)
            await asyncio.sleep(1.0)  # until the load balancer stops routing to this VM
            with self.assertRaises(StoreUnreachable) as caught:
                await access.create(KEY, b"job", began + 9.9)
            self.assertTrue(caught.exception.elsewhere)

        self.play(body)

    def test_a_vm_cut_off_during_a_store_outage_sends_no_caller_elsewhere(self) -> None:
        """Guards against callers that use up their retries at VMs that are all cut off."""

        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            loop = asyncio.get_running_loop()
            with self.assertRaises(StoreUnreachable):
                await access.create(KEY, b"job", loop.time() + 0.2)
            net.silent = {"b1", "b2", "c1", "c2", "c3"}
            await asyncio.sleep(1.0)
            began = loop.time()
            with self.assertRaises(StoreUnreachable) as caught:
                await access.create(KEY, b"job", began + 0.8)
            self.assertFalse(caught.exception.elsewhere)
            self.assertAlmostEqual(loop.time() - began, 0.8, 2)
            view.faults.silent = False
            await asyncio.sleep(1.0)
            view.faults.silent = True
            await asyncio.sleep(1.5)
            with self.assertRaises(StoreUnreachable) as caught:
                await access.create(KEY, b"job", loop.time() + 0.8)
            self.assertTrue(caught.exception.elsewhere)

        self.play(body)

    def test_a_call_that_times_out_at_a_relay_is_in_doubt(self) -> None:
        """Guards against a write that is reported as not done, but is done (found on trouble-3)."""

        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            net.reaching = {"b1", "b2", "c1", "c2", "c3"}
            net.slow_creations = True
            began = asyncio.get_running_loop().time()
            with self.assertRaises(StoreUnreachable) as caught:
                await access.create(KEY, b"job", began + 0.1)
            self.assertTrue(any(isinstance(asked, CreateQuestion) for _, asked in net.asked))
            self.assertTrue(caught.exception.doubt)

        self.play(body)

    def test_a_store_outage_of_all_vms_is_waited_for(self) -> None:
        async def body(net: Network, access: StoreAccess, view: StoreView) -> None:
            began = asyncio.get_running_loop().time()
            creating = asyncio.ensure_future(access.create(KEY, b"job", began + 1.2))
            await asyncio.sleep(0.7)
            view.faults.silent = False
            answer = await creating
            self.assertTrue(answer.created)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.0)

        self.play(body)
