"""The progress of answers: what is waited for, and what is given up."""

from __future__ import annotations

import asyncio
import math
import unittest
from collections.abc import Awaitable, Callable, Sequence

from saddlestack.interfaces.store import StoreUnavailable
from saddlestack.kernel.transfers import receive, report_received, tracked
from saddlestack.platform.kv import ANSWER_TIMEOUT_S, CALL_TIMEOUT_S, STALL_TIMEOUT_S, KvStore
from saddlestack.standins.loop import run

BEGIN_S = 0.5
STALL_S = 1.0
PART = 100


async def answer(pauses_s: Sequence[float]) -> str:
    """Arrives in parts, each after a pause."""
    for pause_s in pauses_s:
        await asyncio.sleep(pause_s)
        report_received(PART)
    return "whole"


class ReceiveTest(unittest.TestCase):
    def received(self, pauses_s: Sequence[float], begin_s: float = BEGIN_S) -> str:
        async def main() -> str:
            return await receive(answer(pauses_s), begin_s=begin_s, stall_s=STALL_S)

        return run(main())

    def test_an_answer_that_keeps_arriving_is_waited_for(self) -> None:
        self.assertEqual(self.received([0.4] + 30 * [0.9]), "whole")

    def test_an_answer_that_begins_too_late_is_given_up(self) -> None:
        with self.assertRaises(TimeoutError):
            self.received([0.6])

    def test_an_answer_that_stops_arriving_is_given_up(self) -> None:
        with self.assertRaises(TimeoutError):
            self.received([0.4, 0.9, 1.1])

    def test_a_part_never_shortens_the_time(self) -> None:
        self.assertEqual(self.received([0.1, 4.0], begin_s=5.0), "whole")

    def test_the_time_for_the_beginning_may_be_infinite(self) -> None:
        self.assertEqual(self.received([100.0, 100.0], begin_s=math.inf), "whole")

    def test_a_task_of_a_call_that_was_given_up_reports_to_nobody(self) -> None:
        async def main() -> None:
            tasks: list[asyncio.Task[str]] = []

            async def call() -> None:
                tasks.append(asyncio.create_task(answer([0.4, 0.9, 3.0])))
                await asyncio.shield(tasks[0])

            with self.assertRaises(TimeoutError):
                await receive(call(), begin_s=BEGIN_S, stall_s=STALL_S)
            self.assertEqual(await tasks[0], "whole")

        run(main())

    def test_each_context_counts_what_arrives_in_it(self) -> None:
        async def main() -> None:
            with tracked() as outer:
                await answer([0.1])
                with tracked() as inner:
                    await asyncio.ensure_future(answer([0.1, 0.2]))
                self.assertEqual(inner.received, 2 * PART)
                self.assertAlmostEqual(inner.receiving_s(), 0.2, places=3)
            self.assertEqual(outer.received, 3 * PART)
            await answer([0.1])
            self.assertEqual(outer.received, 3 * PART)

        run(main())


class StoreClientTest(unittest.TestCase):
    """The client of the platform's store, against a server that sends an answer in parts."""

    def play(self, pauses_s: Sequence[float], body: Callable[[KvStore], Awaitable[None]]) -> None:
        value = b'{"key":"k","value":"' + b"QUFB" * 100 + b'","rev":3}'

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1000)
            size = len(value) // (len(pauses_s) - 1) + 1
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(value)}\r\n\r\n".encode()
            parts = [head, *(value[at : at + size] for at in range(0, len(value), size))]
            for pause_s, part in zip(pauses_s, parts, strict=True):
                await asyncio.sleep(pause_s)
                writer.write(part)
            await reader.read()
            writer.close()

        self.play_server(serve, body)

    def play_server(
        self,
        serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
        body: Callable[[KvStore], Awaitable[None]],
    ) -> None:
        async def main() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            store = KvStore("127.0.0.1", server.sockets[0].getsockname()[1])
            try:
                await body(store)
            finally:
                store.close()
                await asyncio.sleep(2 * STALL_TIMEOUT_S)
                server.close()

        run(main())

    # An answer that took longer than 1 s was lost, whatever had arrived of it.
    def test_an_answer_that_arrives_slowly_is_read(self) -> None:
        async def body(store: KvStore) -> None:
            self.assertEqual((await store.get("k")).value, b"AAA" * 100)

        self.play([0.5] + 6 * [0.9 * STALL_TIMEOUT_S], body)

    def test_the_end_of_a_connection_is_no_part_of_an_answer(self) -> None:
        async def body(store: KvStore) -> None:
            with tracked() as transfer, self.assertRaises(StoreUnavailable):
                await store.get("k")
            await asyncio.sleep(STALL_TIMEOUT_S)
            self.assertEqual((transfer.received, transfer.receiving_s()), (0, 0.0))

        async def hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1000)
            writer.close()

        self.play_server(hang_up, body)

    # Without a limit for all of it, an answer that hardly arrives would hold its caller for good.
    def test_an_answer_that_hardly_arrives_ends_after_its_whole_time(self) -> None:
        async def body(store: KvStore) -> None:
            start_s = asyncio.get_running_loop().time()
            with self.assertRaises(StoreUnavailable):
                await store.get("k")
            taken_s = asyncio.get_running_loop().time() - start_s
            self.assertLess(taken_s, ANSWER_TIMEOUT_S + 2 * CALL_TIMEOUT_S)

        self.play([0.5] + 60 * [0.9 * STALL_TIMEOUT_S], body)

    def test_an_answer_that_stops_is_unavailable(self) -> None:
        async def body(store: KvStore) -> None:
            with self.assertRaises(StoreUnavailable):
                await store.get("k")

        self.play([0.5, 0.5, 1.1 * STALL_TIMEOUT_S], body)


if __name__ == "__main__":
    unittest.main()
