import asyncio
import struct
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from saddlestack.codec import to_msgpack
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.standins.loop import run
from saddlestack.wire.http import (
    AnswerLost,
    HttpClient,
    HttpServer,
    NotSent,
    Request,
    Response,
    error_response,
    json_response,
)
from saddlestack.wire.messages import Beat, Call
from saddlestack.wire.streams import (
    MAX_FRAME,
    FrameStream,
    Handshake,
    LinkLost,
    PeerIdentity,
    PeerLink,
)
from tests import support as support

HOST = "127.0.0.1"


async def echo(request: Request) -> Response:
    if request.path == "/boom":
        raise RuntimeError("boom")
    return json_response({"path": request.path, "size": len(request.body)})


class HttpTest(unittest.TestCase):
    def test_retry_after_is_in_whole_seconds_and_may_be_zero(self) -> None:
        for seconds, text in ((0.0, "0"), (0.3, "1"), (1.0, "1"), (1.2, "2")):
            error = SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "away", retry_after=seconds)
            self.assertEqual(error_response(error).headers["retry-after"], text)

    def serve(self, body: Callable[[HttpServer], Awaitable[None]], **options: int) -> None:
        async def main() -> None:
            server = HttpServer(echo, **options)
            await server.start(HOST, 0)
            try:
                await body(server)
            finally:
                await server.stop()

        run(main())

    async def raw(self, server: HttpServer, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, server.port)
        writer.write(data)
        answer = await reader.read(65536)
        writer.close()
        return answer

    def test_requests_share_a_connection(self) -> None:
        async def body(server: HttpServer) -> None:
            client = HttpClient(HOST, server.port)
            for path in ("/a", "/b"):
                response = await client.request("POST", path, {"x": 1}, timeout=5)
                self.assertIn(path.encode(), response.body)
            self.assertEqual(len(client._open), 1)
            client.close()

        self.serve(body)

    def test_garbage_is_answered_with_an_error_and_affects_no_other_connection(self) -> None:
        async def body(server: HttpServer) -> None:
            client = HttpClient(HOST, server.port)
            await client.request("GET", "/before", timeout=5)
            answer = await self.raw(server, b"\x00\x01 garbage\r\n\r\n")
            self.assertIn(b"400", answer.split(b"\r\n")[0])
            self.assertIn(b"malformed", answer)
            self.assertEqual((await client.request("GET", "/after", timeout=5)).status, 200)
            client.close()

        self.serve(body)

    def test_an_oversized_body_is_rejected(self) -> None:
        async def body(server: HttpServer) -> None:
            head = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n"
            answer = await self.raw(server, head + b"y" * 5000)
            self.assertIn(b"413", answer.split(b"\r\n")[0])

        self.serve(body, max_body=1000)

    def test_oversized_headers_are_rejected(self) -> None:
        async def body(server: HttpServer) -> None:
            answer = await self.raw(server, b"GET / HTTP/1.1\r\nx: " + b"y" * 40_000)
            self.assertRegex(answer.split(b"\r\n")[0], rb"HTTP/1.1 4(00|13) ")

        self.serve(body)

    def test_a_slow_sender_is_disconnected_after_the_idle_timeout(self) -> None:
        async def body(server: HttpServer) -> None:
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await self.raw(server, b"GET / HTT")
            self.assertEqual(answer, b"")
            self.assertLess(loop.time() - began, 100)

        self.serve(body)

    def test_a_failing_handler_is_an_internal_error(self) -> None:
        async def body(server: HttpServer) -> None:
            client = HttpClient(HOST, server.port)
            self.assertEqual((await client.request("GET", "/boom", timeout=5)).status, 500)
            client.close()

        self.serve(body)

    def test_connections_beyond_the_limit_are_closed(self) -> None:
        async def body(server: HttpServer) -> None:
            _, first = await asyncio.open_connection(HOST, server.port)
            await asyncio.sleep(0.01)
            reader, second = await asyncio.open_connection(HOST, server.port)
            with self.assertRaises((ConnectionError, EOFError)):
                second.write(b"GET / HTTP/1.1\r\n\r\n")
                if await reader.read(100) == b"":
                    raise EOFError
            first.close()

        self.serve(body, max_connections=1)

    def test_not_sent_and_answer_lost_are_distinguished(self) -> None:
        async def main() -> None:
            async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read(10)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort")
                writer.close()

            server = await asyncio.start_server(cut, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            with self.assertRaises(AnswerLost):
                await HttpClient(HOST, port).request("GET", "/", timeout=5)
            server.close()
            await server.wait_closed()
            with self.assertRaises(NotSent):
                await HttpClient(HOST, port).request("GET", "/", timeout=5)

        run(main())

    def test_draining_answers_the_requests_in_progress(self) -> None:
        async def main() -> None:
            async def slow(request: Request) -> Response:
                await asyncio.sleep(5)
                return json_response("done")

            server = HttpServer(slow)
            await server.start(HOST, 0)
            client = HttpClient(HOST, server.port)
            pending = asyncio.ensure_future(client.request("GET", "/", timeout=30))
            await asyncio.sleep(1)
            await server.drain()
            self.assertEqual((await pending).body, b'"done"')
            client.close()
            await server.stop()

        run(main())


class StreamTest(unittest.TestCase):
    def pair(
        self,
        body: Callable[[FrameStream, FrameStream], Awaitable[None]],
    ) -> None:
        async def main() -> None:
            accepted: asyncio.Future[FrameStream] = asyncio.get_running_loop().create_future()

            def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                accepted.set_result(FrameStream(reader, writer))

            server = await asyncio.start_server(accept, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(HOST, port)
            near, far = FrameStream(reader, writer), await accepted
            await body(near, far)
            near.close()
            far.close()
            server.close()

        run(main())

    def test_both_sides_prove_that_they_know_the_key(self) -> None:
        async def body(near: FrameStream, far: FrameStream) -> None:
            dial = Handshake(PeerIdentity("a", "h", 1), "the shared key").dial(near)
            accept = Handshake(PeerIdentity("b", "h", 2), "the shared key").accept(far)
            there, here = await asyncio.gather(dial, accept)
            self.assertEqual((there.vm, here.vm, here.incarnation), ("b", "a", 1))

        self.pair(body)

    def test_a_wrong_key_is_rejected(self) -> None:
        async def body(near: FrameStream, far: FrameStream) -> None:
            dial = asyncio.ensure_future(
                Handshake(PeerIdentity("a", "h", 1), "wrong key").dial(near)
            )
            with self.assertRaises(SaddlestackError) as caught:
                await Handshake(PeerIdentity("b", "h", 2), "the shared key").accept(far)
            self.assertIs(caught.exception.kind, ErrorKind.UNAUTHENTICATED)
            dial.cancel()

        self.pair(body)

    def test_oversized_and_garbage_frames_are_errors(self) -> None:
        for data in (struct.pack(">I", MAX_FRAME + 1), struct.pack(">I", 3) + b"\xc1\xc1\xc1"):

            async def body(near: FrameStream, far: FrameStream, data: bytes = data) -> None:
                near._writer.write(data)
                with self.assertRaises(SaddlestackError):
                    await far.read()

            self.pair(body)

    def test_each_call_gets_its_own_reply(self) -> None:
        async def body(near: FrameStream, far: FrameStream) -> None:
            async def serve(method: str, raw: msgspec.Raw) -> object:
                number: int = msgspec.msgpack.decode(raw)
                await asyncio.sleep(1.0 / number)
                if method == "refuse":
                    raise SaddlestackError(ErrorKind.NO_ROOM, "none", retry_after=2)
                return number

            def ignore(link: PeerLink, beat: Beat) -> None:
                return

            a = PeerLink(PeerIdentity("b", "h", 1), near, serve, ignore)
            b = PeerLink(PeerIdentity("a", "h", 1), far, serve, ignore)
            runs = [asyncio.ensure_future(link.run()) for link in (a, b)]
            numbers = [1, 5, 2, 4, 3]
            replies = await asyncio.gather(*(a.call("echo", n, int, 5) for n in numbers))
            self.assertEqual(list(replies), numbers)
            with self.assertRaises(SaddlestackError) as caught:
                await b.call("refuse", 1, int, 5)
            self.assertEqual((caught.exception.kind, caught.exception.retry_after), ("no_room", 2))
            waiting = asyncio.ensure_future(a.call("echo", 1, int, 5))
            await asyncio.sleep(0.1)
            far.close()
            with self.assertRaises(LinkLost):
                await waiting
            for task in runs:
                task.cancel()

        self.pair(body)

    def test_a_frame_round_trips(self) -> None:
        call = Call(call=1, method="m", body=msgspec.Raw(to_msgpack({"a": 1})))

        async def body(near: FrameStream, far: FrameStream) -> None:
            near.write(call)
            got = await far.read()
            assert isinstance(got, Call)
            self.assertEqual((got.call, got.method, bytes(got.body)), (1, "m", bytes(call.body)))

        self.pair(body)
