"""Connections that go silent for good, without a reset, while new ones work: one test a kind."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from saddlestack.control.health import HEARTBEAT_S, StoreHealth
from saddlestack.interfaces.workers import WorkerUnreachable
from saddlestack.platform.handlers import StoreHandler
from saddlestack.platform.kv import KvStore
from saddlestack.platform.orders import HttpWorkerOrders
from saddlestack.soak.proxy import ConnectionFault, Proxy
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.store import StoreState, StoreView
from saddlestack.wire.http import AnswerLost, HttpClient, HttpServer, Request, Response
from saddlestack.wire.messages import Beat
from saddlestack.wire.streams import (
    ACCEPTED_IDLE_S,
    FrameStream,
    Handshake,
    LinkLost,
    PeerIdentity,
    PeerLink,
)
from saddlestack.work import JobState
from tests.test_pool import PoolTest

HOST = "127.0.0.1"
CALL_S = 0.5
A = "00000000000000aa"


async def echo(request: Request) -> Response:
    return Response(200, b"{}")


class SilenceCase(unittest.TestCase):
    """Runs a coroutine against a server behind a proxy that can swallow open connections."""

    def play(
        self,
        body: Callable[[Proxy], Awaitable[None]],
        handler: Callable[[Request], Awaitable[Response]] = echo,
    ) -> None:
        async def main() -> None:
            server = HttpServer(handler)
            await server.start(HOST, 0)
            proxy = Proxy(HOST, HOST, server.port)
            await proxy.start()
            try:
                await body(proxy)
            finally:
                await proxy.stop()
                await server.stop()

        run(main())


async def fill(client: HttpClient, connections: int) -> None:
    """Have a client keep so many open connections."""
    calls = (client.request("GET", "/", timeout=CALL_S) for _ in range(connections))
    await asyncio.gather(*calls)


class PooledConnectionTest(SilenceCase):
    def test_one_call_finds_it_out_for_all_that_are_kept(self) -> None:
        async def body(proxy: Proxy) -> None:
            client = HttpClient(HOST, proxy.port)
            await fill(client, 8)
            proxy.set_fault(ConnectionFault.STALE)
            with self.assertRaises(AnswerLost):
                await client.request("GET", "/", timeout=CALL_S)
            response = await client.request("GET", "/", timeout=CALL_S)
            self.assertEqual(response.status, 200)
            client.close()

        self.play(body)

    def test_so_does_a_call_that_its_caller_gives_up(self) -> None:
        async def body(proxy: Proxy) -> None:
            client = HttpClient(HOST, proxy.port)
            await fill(client, 8)
            proxy.set_fault(ConnectionFault.STALE)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await client.request("GET", "/", timeout=CALL_S)
            response = await client.request("GET", "/", timeout=CALL_S)
            self.assertEqual(response.status, 200)
            client.close()

        self.play(body)

    def test_connections_that_were_heard_meanwhile_are_kept(self) -> None:
        async def slow(request: Request) -> Response:
            if request.path == "/slow":
                await asyncio.sleep(5.0)
            return Response(200, b"{}")

        async def body(proxy: Proxy) -> None:
            client = HttpClient(HOST, proxy.port)
            waiting = asyncio.ensure_future(client.request("GET", "/slow", timeout=1.0))
            await asyncio.sleep(0.5)
            await fill(client, 3)
            with self.assertRaises(AnswerLost):
                await waiting
            await fill(client, 3)
            self.assertEqual(proxy.accepted, 4)
            client.close()

        self.play(body, slow)

    def test_orders_to_a_worker(self) -> None:
        async def worker(request: Request) -> Response:
            return Response(200, b'{"clock-ms":1,"running":[],"ended":[]}')

        async def body(proxy: Proxy) -> None:
            orders = HttpWorkerOrders("i-1", HOST, proxy.port)
            await asyncio.gather(*(orders.hold(1, None, 0, 0.0, 0.3) for _ in range(4)))
            proxy.set_fault(ConnectionFault.STALE)
            with self.assertRaises(WorkerUnreachable):
                await orders.hold(1, None, 0, 0.0, 0.3)
            self.assertEqual((await orders.hold(1, None, 0, 0.0, 0.3)).clock_ms, 1)
            orders.close()

        self.play(body, worker)


class StoreConnectionTest(SilenceCase):
    def test_the_store_is_lost_for_less_than_a_leaders_lease(self) -> None:
        """Noticed by a heartbeat; watches and writes under way are sent anew by the next one."""

        async def body(proxy: Proxy) -> None:
            store = KvStore(HOST, proxy.port)
            await asyncio.gather(*(store.get("k") for _ in range(16)))
            health = StoreHealth(store, VirtualClock())
            await health.start()
            await asyncio.sleep(1.0)
            proxy.set_fault(ConnectionFault.STALE)
            lost_s = 0.0
            for _ in range(100):
                await asyncio.sleep(0.01)
                lost_s = max(lost_s, health.outage_s)
            self.assertGreater(lost_s, 0.0)
            self.assertLess(lost_s, HEARTBEAT_S)
            self.assertTrue(health.is_available)
            await health.stop()
            store.close()

        state = StoreState()
        self.play(body, StoreHandler(StoreView(state)).handle)


class LinkTest(unittest.TestCase):
    """Streams between entry VMs."""

    def play(self, body: Callable[[Proxy, list[PeerLink]], Awaitable[None]]) -> None:
        async def main() -> None:
            accepted: list[PeerLink] = []

            async def welcome(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                stream = FrameStream(reader, writer)
                peer = await Handshake(PeerIdentity("there", "hall", 1), "key").accept(stream)
                link = PeerLink(peer, stream, self.answer, ignore, idle_s=ACCEPTED_IDLE_S)
                accepted.append(link)
                await link.run()

            server = await asyncio.start_server(welcome, HOST, 0)
            proxy = Proxy(HOST, HOST, server.sockets[0].getsockname()[1])
            await proxy.start()
            try:
                await body(proxy, accepted)
            finally:
                await proxy.stop()
                server.close()

        run(main())

    async def answer(self, method: str, body: msgspec.Raw) -> object:
        return {}

    async def dial(self, proxy: Proxy) -> PeerLink:
        stream = FrameStream(*await asyncio.open_connection(HOST, proxy.port))
        peer = await Handshake(PeerIdentity("here", "hall", 1), "key").dial(stream)
        link = PeerLink(peer, stream, self.answer, ignore)
        self.running = asyncio.ensure_future(link.run())
        return link

    def test_a_call_that_is_given_up_early_marks_its_link(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            await link.call("ping", {}, dict, 0.25)
            self.assertFalse(link.is_unresponsive)
            proxy.set_fault(ConnectionFault.STALE)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.25):
                    await link.call("ping", {}, dict, 0.6)
            self.assertTrue(link.is_unresponsive)
            link.close()

        self.play(body)

    def test_a_slow_link_is_used_again_and_loses_no_call(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            proxy.set_fault(ConnectionFault.DELAY, 0.2)
            patient = asyncio.ensure_future(link.call("ping", {}, dict, 0.6))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.25):
                    await link.call("ping", {}, dict, 0.6)
            self.assertTrue(link.is_unresponsive)
            self.assertEqual(await patient, {})
            self.assertFalse(link.is_unresponsive)
            link.close()

        self.play(body)

    def test_the_accepting_side_does_not_keep_it_for_ever(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            await link.call("ping", {}, dict, 0.25)
            proxy.set_fault(ConnectionFault.STALE)
            await asyncio.sleep(ACCEPTED_IDLE_S + 1.0)
            self.assertTrue(accepted[0].closed)
            link.close()

        self.play(body)

    def test_a_lost_link_fails_its_open_calls(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            proxy.set_fault(ConnectionFault.STALE)
            with self.assertRaises(LinkLost):
                await link.call("ping", {}, dict, 0.6)
            link.close()

        self.play(body)


class ServedConnectionTest(SilenceCase):
    def test_one_that_is_never_heard_again_is_closed(self) -> None:
        async def body(proxy: Proxy) -> None:
            client = HttpClient(HOST, proxy.port)
            await client.request("GET", "/", timeout=CALL_S)
            proxy.set_fault(ConnectionFault.STALE)
            self.assertEqual(proxy.open_at_target, 1)
            await asyncio.sleep(80.0)
            self.assertEqual(proxy.open_at_target, 0)
            client.close()

        self.play(body)


class PoolSilenceTest(PoolTest):
    def test_a_pool_whose_connections_all_went_silent_serves_on_under_its_leader(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            leader = cluster.leader_name
            await cluster.submit(A, job(4, work_s=4.0))
            await asyncio.sleep(1.0)
            for member in cluster.members.values():
                member.view.faults.stale = True
            await asyncio.sleep(1.5)
            self.assertEqual(cluster.leader_name, leader)
            for name in cluster.members:
                await cluster.submit(f"{name[-1]:0>16}", job(1), at=name)
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(A), 4)

        self.play(body)


def ignore(link: PeerLink, beat: Beat) -> None:
    """Nothing is done with heartbeats here."""
