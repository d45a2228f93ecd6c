import asyncio
import unittest

from saddlestack.client import AsyncClient
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.standins.cluster import Cluster, token_of
from saddlestack.standins.loop import run
from saddlestack.wire.http import HttpServer, Request, Response, error_response
from tests.support import EE_HALLS, ClusterTest

HOST = "127.0.0.1"


class LostAnswerTest(unittest.TestCase):
    def test_a_refusal_after_a_lost_answer_is_not_reported_as_not_run(self) -> None:
        """The first VM dies while it handles the request; the second refuses the retry."""

        async def main() -> None:
            async def refuse(request: Request) -> Response:
                return error_response(
                    SaddlestackError(ErrorKind.RATE_LIMITED, "too fast", retry_after=1)
                )

            async def die(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read(100)
                writer.close()

            dying = await asyncio.start_server(die, HOST, 0)
            server = HttpServer(refuse)
            await server.start(HOST, 0)
            vms = [(HOST, dying.sockets[0].getsockname()[1]), (HOST, server.port)]
            client = AsyncClient(vms, "token")
            client._next = 0
            with self.assertRaises(SaddlestackError) as caught:
                await client.submit("pay", 1, run_once=True)
            self.assertIs(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
            client._next = 1
            with self.assertRaises(SaddlestackError) as caught:
                await client.submit("pay", 1, run_once=True)
            self.assertIs(caught.exception.kind, ErrorKind.RATE_LIMITED)
            client.close()
            dying.close()
            await server.stop()

        run(main())


class StartingVmTest(ClusterTest):
    def test_a_vm_without_a_configuration_is_unavailable_rather_than_refusing_the_token(
        self,
    ) -> None:
        async def body(cluster: Cluster) -> None:
            cluster.store.faults.down = True
            for name in list(cluster.entries):
                await cluster.kill(name)
            await cluster.restart("ulemiste-entry-1")
            await asyncio.sleep(2)
            client = cluster.client(token_of("depots"))
            with self.assertRaises(SaddlestackError) as caught:
                await client.submit("r", 1)
            self.assertIs(caught.exception.kind, ErrorKind.CELL_UNAVAILABLE)
            self.assertFalse((await client.ready()).ready)

        self.with_cluster(body)


class ManyVmsTest(ClusterTest):
    def test_cells_of_other_halls_are_known_without_a_link_to_their_scheduler(self) -> None:
        async def body(cluster: Cluster) -> None:
            await asyncio.sleep(30)
            for entry in cluster.live():
                known = [owner.beat.cell for owner in entry.daemon.membership.cells()]
                self.assertEqual(known, ["maardu", "mustamae", "ulemiste"], entry.name)
                self.assertEqual(len(entry.daemon.membership.alive()), 15)
            for entry in cluster.live():
                client = cluster.client(token_of("replays"), vm=entry.name)
                view = await client.submit(f"from-{entry.name}", 1, wait=30)
                self.assertEqual(view.state.value, "done")

        self.with_cluster(body, halls=EE_HALLS, entries=5)
