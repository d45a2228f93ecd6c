"""Connections that become unresponsive for good, without a reset, while new ones work.

There is a test for each kind of connection.
"""

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


class UnresponsiveCase(unittest.TestCase):
    """Runs a coroutine against a server behind a proxy that can make connections unresponsive."""

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
    """Fill a client's pool with idle connections."""
    calls = (client.request("GET", "/", timeout=CALL_S) for _ in range(connections))
    await asyncio.gather(*calls)


class PooledConnectionTest(UnresponsiveCase):
    def test_one_lost_call_closes_all_idle_connections(self) -> None:
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

    def test_a_call_that_its_caller_cancels_closes_them_too(self) -> None:
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

    def test_connections_that_received_an_answer_meanwhile_are_kept(self) -> None:
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

    def test_one_lost_order_closes_all_connections_to_a_worker(self) -> None:
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


class StoreConnectionTest(UnresponsiveCase):
    def test_the_store_is_unavailable_for_less_than_a_leaders_lease(self) -> None:
        """A heartbeat detects the loss; the next one sends pending watches and writes again."""

        async def body(proxy: Proxy) -> None:
            store = KvStore(HOST, proxy.port)
            await asyncio.gather(*(store.get("k") for _ in range(16)))
            health = StoreHealth(store, VirtualClock())
            await health.start()
            await asyncio.sleep(1.0)
            proxy.set_fault(ConnectionFault.STALE)
            max_outage_s = 0.0
            for _ in range(100):
                await asyncio.sleep(0.01)
                max_outage_s = max(max_outage_s, health.outage_s)
            self.assertGreater(max_outage_s, 0.0)
            self.assertLess(max_outage_s, HEARTBEAT_S)
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

            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                stream = FrameStream(reader, writer)
                peer = await Handshake(PeerIdentity("there", "hall", 1), "key").accept(stream)
                link = PeerLink(peer, stream, self.answer, ignore, idle_s=ACCEPTED_IDLE_S)
                accepted.append(link)
                await link.run()

            server = await asyncio.start_server(accept, HOST, 0)
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

    def test_a_call_that_is_cancelled_early_marks_its_link(self) -> None:
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

    def test_a_slow_link_is_used_again_and_fails_no_call(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            proxy.set_fault(ConnectionFault.DELAY, 0.2)
            pending = asyncio.ensure_future(link.call("ping", {}, dict, 0.6))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.25):
                    await link.call("ping", {}, dict, 0.6)
            self.assertTrue(link.is_unresponsive)
            self.assertEqual(await pending, {})
            self.assertFalse(link.is_unresponsive)
            link.close()

        self.play(body)

    def test_the_accepting_side_closes_its_link(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            await link.call("ping", {}, dict, 0.25)
            proxy.set_fault(ConnectionFault.STALE)
            await asyncio.sleep(ACCEPTED_IDLE_S + 1.0)
            self.assertTrue(accepted[0].closed)
            link.close()

        self.play(body)

    def test_a_lost_link_fails_its_pending_calls(self) -> None:
        async def body(proxy: Proxy, accepted: list[PeerLink]) -> None:
            link = await self.dial(proxy)
            proxy.set_fault(ConnectionFault.STALE)
            with self.assertRaises(LinkLost):
                await link.call("ping", {}, dict, 0.6)
            link.close()

        self.play(body)


class ServerConnectionTest(UnresponsiveCase):
    def test_an_unresponsive_client_is_disconnected(self) -> None:
        async def body(proxy: Proxy) -> None:
            client = HttpClient(HOST, proxy.port)
            await client.request("GET", "/", timeout=CALL_S)
            proxy.set_fault(ConnectionFault.STALE)
            self.assertEqual(proxy.open_at_target, 1)
            await asyncio.sleep(80.0)
            self.assertEqual(proxy.open_at_target, 0)
            client.close()

        self.play(body)


class PoolConnectionTest(PoolTest):
    def test_a_pool_whose_connections_all_become_unresponsive_keeps_its_leader(self) -> None:
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
    """Ignore a heartbeat."""
