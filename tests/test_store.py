import asyncio
import json
import random
import unittest
from collections.abc import Awaitable, Callable

from saddlestack.kernel.clock import Clock
from saddlestack.platform.store import (
    BUDGET_SHARE,
    STORE_WRITES_S,
    StoreClient,
    StoreUnavailable,
    VersionConflict,
    WriteInDoubt,
)
from saddlestack.services.groupcommit import Fenced, GroupCommit, WriterStamp
from saddlestack.standins.loop import run
from saddlestack.standins.store import StandinStore
from tests import support as support


class StoreTest(unittest.TestCase):
    def with_store(self, body: Callable[[StandinStore, StoreClient], Awaitable[None]]) -> None:
        async def main() -> None:
            store = StandinStore()
            await store.start("127.0.0.1", 0)
            client = StoreClient("127.0.0.1", store.server.port, Clock())
            try:
                await body(store, client)
            finally:
                client.close()
                await store.stop()

        run(main())

    def test_a_swap_requires_the_expected_version(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            version = await client.swap("k", b"one", 0)
            with self.assertRaises(VersionConflict):
                await client.swap("k", b"two", 0)
            await client.swap("k", b"two", version)
            self.assertEqual((await client.get("k")).value, b"two")
            self.assertEqual((await client.get("absent")).version, 0)

        self.with_store(body)

    def test_a_watch_returns_a_change_or_none(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            self.assertIsNone(await client.watch("k", 0, 1.0))
            watching = asyncio.ensure_future(client.watch("k", 0, 30.0))
            await asyncio.sleep(1.0)
            await client.swap("k", b"new", 0)
            entry = await watching
            assert entry is not None
            self.assertEqual(entry.value, b"new")

        self.with_store(body)

    def test_a_store_that_is_down_is_unavailable_and_a_lost_answer_is_in_doubt(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            store.faults.down = True
            with self.assertRaises(StoreUnavailable):
                await client.swap("k", b"x", 0)
            store.faults.down = False
            store.faults.lose_answers = 1
            with self.assertRaises(WriteInDoubt):
                await client.swap("k", b"x", 0)
            self.assertEqual(store.value("k"), b"x")

        self.with_store(body)

    def test_calls_stay_within_the_rate_share(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            client.share_among(8)
            loop = asyncio.get_running_loop()
            began = loop.time()
            a_second = round(STORE_WRITES_S * BUDGET_SHARE / 8)
            for i in range(6 * a_second):
                await client.swap(f"k{i}", b"x", 0)
            self.assertGreaterEqual(loop.time() - began, 4.5)
            self.assertEqual(store.counters.limited, 0)

        self.with_store(body)

    def test_values_over_the_limit_are_rejected(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            with self.assertRaises(Exception) as caught:
                await client.swap("k", b"x" * 1_000_001, 0)
            self.assertIn("1000000", str(caught.exception))

        self.with_store(body)

    def test_keys_under_a_lease_are_removed_when_it_expires(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            http = client._http
            lease = json.loads(
                (await http.request("POST", "/v1/lease", {"ttl_s": 5}, timeout=5)).body
            )
            value = {"value": "eA==", "expect": 0}
            await http.request("PUT", f"/v1/kv/k?lease={lease['lease']}", value, timeout=5)
            self.assertEqual((await client.get("k")).value, b"x")
            await asyncio.sleep(6)
            self.assertEqual((await client.get("k")).version, 0)

        self.with_store(body)


class Writer:
    """A writer that group-commits a list of words under a term."""

    def __init__(self, client: StoreClient, name: str, term: int = 1) -> None:
        self.words: list[str] = []
        self.term = term
        self.name = name
        self.commit = GroupCommit(
            client,
            "words",
            name,
            random.Random(1),
            build=self.build,
            merge=self.merge,
            read_stamp=self.written,
        )

    def build(self, sequence: int) -> bytes:
        value = {"w": self.name, "s": sequence, "t": self.term, "words": self.words}
        return json.dumps(value).encode()

    def merge(self, value: bytes) -> None:
        other = json.loads(value)
        if other["t"] > self.term:
            raise Fenced("a higher term has written")
        self.words = sorted({*self.words, *other["words"]})

    def written(self, value: bytes) -> WriterStamp:
        other = json.loads(value)
        return WriterStamp(other["w"], other["s"])

    def add(self, word: str) -> asyncio.Future[None]:
        self.words.append(word)
        return self.commit.commit()


class GroupCommitTest(StoreTest):
    def words(self, store: StandinStore) -> list[str]:
        return sorted(json.loads(store.value("words") or b"{}")["words"])

    def test_concurrent_changes_are_one_write(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            writer = Writer(client, "a")
            await asyncio.gather(*(writer.add(f"w{i:02d}") for i in range(50)))
            self.assertEqual(store.counters.writes, 1)
            self.assertEqual(len(self.words(store)), 50)

        self.with_store(body)

    def test_a_lost_answer_is_resolved_without_duplicates(self) -> None:
        for fault in ("lose_answers", "lose_writes"):

            async def body(store: StandinStore, client: StoreClient, fault: str = fault) -> None:
                writer = Writer(client, "a")
                setattr(store.faults, fault, 2)
                await writer.add("one")
                await writer.add("two")
                self.assertEqual(self.words(store), ["one", "two"])

            self.with_store(body)

    def test_two_writers_merge(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            one, other = Writer(client, "a"), Writer(client, "b")
            await asyncio.gather(one.add("x"), other.add("y"))
            await asyncio.gather(one.add("z"), other.add("v"))
            self.assertEqual(self.words(store), ["v", "x", "y", "z"])

        self.with_store(body)

    def test_a_higher_term_fences_the_writer(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            old, new = Writer(client, "a", term=1), Writer(client, "b", term=2)
            await old.add("x")
            new.commit.loaded(await client.get("words"))
            await new.add("y")
            with self.assertRaises(Fenced):
                await old.add("late")
            with self.assertRaises(Fenced):
                await old.add("later")
            self.assertEqual(self.words(store), ["y"])

        self.with_store(body)

    def test_an_outage_delays_writes_and_loses_none(self) -> None:
        async def body(store: StandinStore, client: StoreClient) -> None:
            writer = Writer(client, "a")
            store.faults.down = True
            futures = [writer.add(f"w{i}") for i in range(3)]
            await asyncio.sleep(120)
            self.assertFalse(any(future.done() for future in futures))
            store.faults.down = False
            await asyncio.gather(*futures)
            self.assertEqual(len(self.words(store)), 3)

        self.with_store(body)
