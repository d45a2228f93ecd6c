"""The platform adapter: names, formats and calls, against fake HTTP servers."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import random
import re
import tomllib
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from saddlestack.codec import parse_json_with_comments
from saddlestack.control.entry import METRICS_PATH
from saddlestack.control.settings import EntrySettings, check, parse_address
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces.incarnations import incarnation_name
from saddlestack.interfaces.machines import UpkeepOutcome
from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    HistoryGone,
    Item,
    LeaseExpired,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.interfaces.workers import (
    EndKind,
    Refusal,
    StartOrder,
    WorkerBusy,
    WorkerFenced,
    WorkerNotReached,
    WorkerReplaced,
    WorkerUnreachable,
)
from saddlestack.platform.documents import PlatformDocuments
from saddlestack.platform.gateway import Gateway
from saddlestack.platform.kv import CALL_TIMEOUT_S, KvStore
from saddlestack.platform.machines import HttpAdviser, HttpMachines
from saddlestack.platform.orders import MAX_ENDS_PER_REPORT, HttpWorkerOrders
from saddlestack.policy.pool_configuration import faults_of
from saddlestack.standins.loop import run
from saddlestack.wire.http import HttpServer, Request, Response
from saddlestack.work import AcceptedJob, JobRequest, JobState, Resources
from tests.malformed import (
    WORKER_IDS,
    configuration_document,
    configurations,
    encoded,
    mutated,
    unreadable,
    without,
    worker_records,
)

ROOT = Path(__file__).resolve().parent.parent
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "checks",
            "host": "jobs.example",
            "path-prefix": "/a/",
            "service": "pool",
            "priority": 0,
            "max-attempts": 4,
            "stretch": 1.5,
            "target-latency-ms": 250,
        },
        {"name": "nested", "host": "jobs.example", "path-prefix": "/a/b/", "service": "pool"},
        {
            "name": "open",
            "host": "jobs.example",
            "path-prefix": "/o/",
            "service": "pool",
            "no-auth": True,
            "advice": {"decide-ms": 5},
        },
    ],
    "tenants": [{"name": "depots", "api-keys": ["k1", "k2"], "guaranteed": {"gpu": 32}}],
    "services": [{"name": "pool", "admission-check": True, "unknown": 1}],
    "limits": {"max-body-bytes": 2000},
}
JOB = "00000000000000aa"


class FakeServer:
    """An HTTP server that sends prepared answers and records the requests.

    A number in place of an answer is a delay in seconds, after which it answers 500.
    """

    def __init__(self) -> None:
        self.answers: list[Response | float] = []
        self.requests: list[Request] = []
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Response:
        self.requests.append(request)
        answer = self.answers.pop(0)
        if isinstance(answer, float):
            await asyncio.sleep(answer)
            return Response(500)
        return answer

    def add_answer(self, status: int, body: object = None) -> None:
        self.answers.append(Response(status, b"" if body is None else msgspec.json.encode(body)))

    def last_body(self) -> object:
        return msgspec.json.decode(self.requests[-1].body)


def with_server(body: Callable[[FakeServer], Awaitable[None]]) -> None:
    async def main() -> None:
        fake = FakeServer()
        await fake.server.start("127.0.0.1", 0)
        try:
            await body(fake)
        finally:
            await fake.server.stop()

    run(main())


def text(value: bytes) -> str:
    return base64.b64encode(value).decode()


class StoreTest(unittest.TestCase):
    def test_reads_and_pages(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            fake.add_answer(404)
            self.assertEqual(await store.get("a/b"), Item("a/b", b"", 0))
            self.assertEqual(fake.requests[-1].query, {"key": "a/b"})
            item = {"key": "a/b", "value": text(b"x"), "rev": 4, "made": 4, "lease": 0}
            fake.add_answer(200, {**item, "at": 9})
            self.assertEqual(await store.get("a/b"), Item("a/b", b"x", 4))
            fake.add_answer(200, {"items": [item], "more": True, "at": 9})
            fake.add_answer(200, {"items": [{**item, "key": "a/c"}], "more": False, "at": 12})
            listing = await store.list("a/")
            self.assertEqual([each.key for each in listing.items], ["a/b", "a/c"])
            self.assertEqual(listing.revision, 9)
            self.assertEqual(fake.requests[-1].query, {"path-prefix": "a/", "after-rev": "a/b"})

        with_server(body)

    def test_an_invalid_base64_value_reads_as_empty_and_does_not_fail_its_page(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            values = ("=", "a", "%%%%", "eA", "eA==x", "\u00e9\u00e9==", "e A=")
            bad = [
                {"key": f"a/{number}", "value": value, "rev": 4}
                for number, value in enumerate(values)
            ]
            good = {"key": "a/x", "value": text(b"x"), "rev": 5}
            fake.add_answer(200, {"items": [*bad, good], "at": 9})
            listing = await store.list("a/")
            self.assertEqual({each.value for each in listing.items[:-1]}, {b""})
            self.assertTrue(all(each.revision == 4 for each in listing.items[:-1]))
            self.assertEqual(listing.items[-1], Item("a/x", b"x", 5))

        with_server(body)

    def test_an_unreadable_answer_counts_as_no_answer(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            put = Transaction(puts=(Put("a", b"x"),))
            for answer in (b"", b"[]", b"{", b'{"items":[{"key":7}]}', b"\xff", b"[" * 100_000):
                fake.answers.append(Response(200, answer))
                with self.subTest(answer[:20]), self.assertRaises(StoreUnavailable):
                    await store.list("a/")
                fake.answers.append(Response(200, answer))
                with self.subTest(answer[:20]), self.assertRaises(StoreUnavailable):
                    await store.watch("a/", 3, 0.1)
                for status in (200, 412):
                    fake.answers.append(Response(status, answer))
                    with self.subTest(answer[:20], status=status), self.assertRaises(WriteInDoubt):
                        await store.transact(put)

        with_server(body)

    def test_watches(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            events = [
                {"key": "a", "value": text(b"x"), "rev": 5, "made": 5, "lease": 0},
                {"key": "b", "rev": 6, "gone": True},
            ]
            fake.add_answer(200, {"events": events, "at": 6})
            listing = await store.watch("", 4, 2.0)
            self.assertEqual(listing.items, (Item("a", b"x", 5), Item("b", b"", 0)))
            self.assertEqual(listing.revision, 6)
            self.assertEqual(fake.requests[-1].query["wait-ms"], "2000")
            fake.add_answer(410)
            with self.assertRaises(HistoryGone):
                await store.watch("", 1, 2.0)

        with_server(body)

    def test_transactions_distinguish_committed_conflict_and_in_doubt(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            change = Transaction((("a", 0),), (Put("a", b"x", 7),), ("b",))
            fake.add_answer(200, {"rev": 8})
            self.assertEqual(await store.transact(change), Committed(8))
            self.assertEqual(
                fake.last_body(),
                {
                    "expect-rev": [{"key": "a", "rev": 0}],
                    "put": [{"key": "a", "value": text(b"x"), "lease": 7}],
                    "delete": ["b"],
                },
            )
            fake.add_answer(412, {"items": [{"key": "a", "value": text(b"y"), "rev": 3}]})
            self.assertEqual(await store.transact(change), Conflict((Item("a", b"y", 3),)))
            fake.add_answer(404)
            with self.assertRaises(LeaseExpired):
                await store.transact(change)
            for status in (429, 503):
                fake.add_answer(status)
                with self.assertRaises(StoreUnavailable):
                    await store.transact(change)
            fake.answers.append(5.0)
            with self.assertRaises(WriteInDoubt):
                await store.transact(change)
            await fake.server.stop()
            with self.assertRaises(StoreUnavailable):
                await store.transact(change)

        with_server(body)

    def test_the_timeout_of_a_large_write_includes_the_time_to_send_it(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            for size, error in ((10, WriteInDoubt), (600_000, StoreUnavailable)):
                fake.answers.append(CALL_TIMEOUT_S + 0.5)  # then answers 500
                with self.assertRaises(error):
                    await store.transact(Transaction(puts=(Put("k", bytes(size)),)))
            store.close()

        with_server(body)

    def test_leases(self) -> None:
        async def body(fake: FakeServer) -> None:
            store = KvStore("127.0.0.1", fake.server.port)
            fake.add_answer(200, {"lease": 77, "ttl_ms": 1500})
            self.assertEqual(await store.grant_lease(1.5), (77, 1.5))
            self.assertEqual(fake.last_body(), {"ttl_ms": 1500})
            fake.add_answer(200, {"ttl_ms": 1500})
            await store.renew_lease(77)
            self.assertEqual(fake.requests[-1].path, "/api/kv-keep/77")
            fake.add_answer(404)
            with self.assertRaises(LeaseExpired):
                await store.renew_lease(77)
            fake.add_answer(200)
            await store.end_lease(77)
            self.assertEqual(fake.requests[-1].method, "DELETE")

        with_server(body)


class WorkerTest(unittest.TestCase):
    ORDER = StartOrder("00000000000000aa.0.1.2", 3, "spec", "s1", 9000, 5, "t1")

    def test_starts(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders("i-1", "127.0.0.1", fake.server.port)
            fake.add_answer(200, {"clock-ms": 1234})
            reply = await orders.start(self.ORDER, 1.0)
            self.assertEqual((reply.clock_ms, reply.refusal), (1234, None))
            self.assertEqual(fake.requests[-1].headers["saddlestack-target-instance"], "i-1")
            self.assertEqual(
                fake.last_body(),
                {
                    "task": "00000000000000aa.0.1.2",
                    "run": 3,
                    "spec": "spec",
                    "deadline-ms": 9000,
                    "fence": 5,
                    "saved": "s1",
                    "ticket": "t1",
                },
            )
            for reason, refusal in (
                ("fence", Refusal.FENCED),
                ("old", Refusal.STALE),
                ("late", Refusal.LATE),
                ("room", Refusal.CAPACITY),
                ("ticket", Refusal.TICKET),
            ):
                fake.add_answer(409, {"clock-ms": 1, "reason": reason})
                self.assertIs((await orders.start(self.ORDER, 1.0)).refusal, refusal)
            fake.add_answer(400)
            self.assertIs((await orders.start(self.ORDER, 1.0)).refusal, Refusal.INVALID)

        with_server(body)

    def test_failed_calls_raise_by_status(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders("i-1", "127.0.0.1", fake.server.port)
            for status, error in (
                (421, WorkerReplaced),
                (429, WorkerBusy),
                (503, WorkerBusy),
                (500, WorkerUnreachable),
            ):
                fake.add_answer(status)
                with self.assertRaises(error):
                    await orders.start(self.ORDER, 1.0)
            fake.add_answer(409, {"clock-ms": 1, "reason": "fence"})
            with self.assertRaises(WorkerFenced):
                await orders.stop("00000000000000aa.0.1.2", 3, 4, 1.0)
            fake.answers.append(5.0)
            with self.assertRaises(WorkerUnreachable):
                await orders.hold(5, None, 0, 0.0, 0.5)

        with_server(body)

    def test_each_connection_begins_with_a_poll_if_the_start_time_is_known(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders(incarnation_name("i-1", 1700), "127.0.0.1", fake.server.port)
            fake.add_answer(200, {"clock-ms": 5, "born": 1700, "running": [], "ended": []})
            fake.add_answer(200, {"clock-ms": 6})
            self.assertEqual((await orders.start(self.ORDER, 1.0)).clock_ms, 6)
            first, second = fake.requests
            self.assertEqual(first.path, "/api/hold")
            self.assertEqual(msgspec.json.decode(first.body), {"fence": 5, "last-seen": 0})
            self.assertEqual(second.path, "/api/run-start")
            self.assertEqual(second.headers["saddlestack-target-instance"], "i-1")
            fake.add_answer(200, {"clock-ms": 7, "born": 1700})
            report = await orders.hold(5, 9000, 57, 0.0, 1.0)
            self.assertEqual((report.born, len(fake.requests)), (1700, 3))

        with_server(body)

    def test_another_incarnation_with_the_id_gets_no_order_and_no_acknowledgement(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders(incarnation_name("i-1", 1700), "127.0.0.1", fake.server.port)
            calls: list[Callable[[], Awaitable[object]]] = [
                lambda: orders.start(self.ORDER, 1.0),
                lambda: orders.stop("00000000000000aa.0.1.2", 3, 5, 1.0),
                lambda: orders.pace("00000000000000aa.0.1.2", 3, 50, 5, 1.0),
                lambda: orders.hold(5, 9000, 57, 0.0, 1.0),
            ]
            for call in calls:
                fake.add_answer(200, {"clock-ms": 5, "born": 1800, "ended": []})
                with self.assertRaises(WorkerReplaced):
                    await call()
            bodies = [msgspec.json.decode(request.body) for request in fake.requests]
            self.assertEqual(bodies, [{"fence": 5, "last-seen": 0}] * len(calls))

        with_server(body)

    def test_failures_of_the_first_poll_on_a_connection(self) -> None:
        async def body(fake: FakeServer) -> None:
            for status, answer, error in (
                (421, None, WorkerReplaced),
                (503, None, WorkerBusy),
                (409, {"clock-ms": 1, "reason": "fence"}, WorkerFenced),
                (500, None, WorkerUnreachable),
                (200, {"clock-ms": 1, "born": "1700"}, WorkerUnreachable),
                (200, {"clock-ms": 1, "born": None}, WorkerUnreachable),
                (200, {"clock-ms": 1, "born": 0}, WorkerUnreachable),
                (200, {"clock-ms": 1, "born": 17.5}, WorkerUnreachable),
            ):
                orders = HttpWorkerOrders(
                    incarnation_name("i-1", 1700), "127.0.0.1", fake.server.port
                )
                fake.add_answer(status, answer)
                with self.assertRaises(error):
                    await orders.start(self.ORDER, 1.0)
                orders.close()
            self.assertTrue(all(request.path == "/api/hold" for request in fake.requests))

        with_server(body)

    def test_an_order_is_not_sent_after_an_unusable_first_poll(self) -> None:
        async def body(fake: FakeServer) -> None:
            no_answers: list[Response | float] = [2.0, Response(500), Response(200, b"no answer")]
            for answer in no_answers:
                orders = HttpWorkerOrders(
                    incarnation_name("i-1", 1700), "127.0.0.1", fake.server.port
                )
                fake.answers.append(answer)
                with self.assertRaises(WorkerNotReached):
                    await orders.start(self.ORDER, 1.0)
                orders.close()
            self.assertTrue(all(request.path == "/api/hold" for request in fake.requests))

        with_server(body)

    def test_an_order_is_not_sent_if_the_connection_is_refused(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders("i-1", "127.0.0.1", fake.server.port)
            await fake.server.stop()
            with self.assertRaises(WorkerNotReached):
                await orders.start(self.ORDER, 1.0)

        with_server(body)

    def test_an_unanswered_order_may_have_been_sent(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders(incarnation_name("i-1", 1700), "127.0.0.1", fake.server.port)
            fake.add_answer(200, {"clock-ms": 5, "born": 1700, "running": [], "ended": []})
            fake.answers.append(2.0)
            with self.assertRaises(WorkerUnreachable) as caught:
                await orders.start(self.ORDER, 1.0)
            self.assertNotIsInstance(caught.exception, WorkerNotReached)

        with_server(body)

    def test_a_start_time_known_on_one_side_only_does_not_identify(self) -> None:
        async def body(fake: FakeServer) -> None:
            known = HttpWorkerOrders(incarnation_name("i-1", 1700), "127.0.0.1", fake.server.port)
            fake.add_answer(200, {"clock-ms": 5})
            with self.assertRaises(WorkerUnreachable):
                await known.start(self.ORDER, 1.0)
            self.assertEqual([request.path for request in fake.requests], ["/api/hold"])
            unknown = HttpWorkerOrders("i-1", "127.0.0.1", fake.server.port)
            fake.add_answer(200, {"clock-ms": 5, "born": 1800})
            with self.assertRaises(WorkerUnreachable):
                await unknown.hold(5, None, 0, 0.0, 1.0)

        with_server(body)

    def test_the_adviser_is_given_worker_ids(self) -> None:
        async def body(fake: FakeServer) -> None:
            adviser = HttpAdviser("127.0.0.1", fake.server.port)
            incarnation = incarnation_name("i-1", 1700)
            good = [["i-1", "t1"], ["i-3", "t3"]]
            fake.add_answer(200, {"good": good, "valid-ms": 1000})
            approvals = await adviser.advise("00000000000000aa.0.1", (incarnation, "i-2"))
            self.assertEqual(
                fake.last_body(), {"step": "00000000000000aa.0.1", "workers": ["i-1", "i-2"]}
            )
            self.assertEqual(
                [(approval.worker_id, approval.ticket) for approval in approvals],
                [(incarnation, "t1")],
            )

        with_server(body)

    def test_reports(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders("i-1", "127.0.0.1", fake.server.port)
            fake.add_answer(
                200,
                {
                    "clock-ms": 50,
                    "running": [["00000000000000aa.0.0.0", 2, "s", 41, 17.5]],
                    "ended": [[58, "00000000000000aa.0.0.1", 1, "done", ""]],
                },
            )
            report = await orders.hold(5, 9000, 57, 1.0, 2.0)
            self.assertEqual(
                fake.last_body(),
                {"fence": 5, "last-seen": 57, "deadline-ms": 9000, "wait-ms": 1000},
            )
            self.assertEqual((report.running[0].percent, report.running[0].figure), (41, 17.5))
            self.assertEqual((report.ended[0].number, report.ended[0].how), (58, EndKind.DONE))
            self.assertFalse(report.more)

        with_server(body)

    def test_a_report_with_the_maximum_of_ends_says_that_there_may_be_more(self) -> None:
        async def body(fake: FakeServer) -> None:
            orders = HttpWorkerOrders("i-1", "127.0.0.1", fake.server.port)
            ends = [
                [number, f"00000000000000aa.0.0.{number}", 1, "done", ""]
                for number in range(1, MAX_ENDS_PER_REPORT + 1)
            ]
            fake.add_answer(200, {"clock-ms": 50, "running": [], "ended": ends})
            self.assertTrue((await orders.hold(5, None, 0, 0.0, 2.0)).more)
            fake.add_answer(200, {"clock-ms": 50, "running": [], "ended": ends[1:]})
            self.assertFalse((await orders.hold(5, None, 0, 0.0, 2.0)).more)

        with_server(body)


class MachinesTest(unittest.TestCase):
    def test_upkeep(self) -> None:
        async def body(fake: FakeServer) -> None:
            machines = HttpMachines("127.0.0.1", fake.server.port)
            for status, reason, outcome in (
                (200, None, UpkeepOutcome.BEGUN),
                (409, "busy", UpkeepOutcome.BUSY),
                (409, "fence", UpkeepOutcome.FENCED),
                (409, "wave", UpkeepOutcome.NOT_IN_WAVE),
                (400, None, UpkeepOutcome.UNKNOWN_MACHINE),
            ):
                fake.add_answer(status, None if reason is None else {"reason": reason})
                self.assertIs(await machines.upkeep("m-1", 2, "entry-1", 12), outcome)
            self.assertEqual(fake.last_body(), {"machine": "m-1", "wave": 2})
            self.assertEqual(fake.requests[-1].headers["saddlestack-lease-holder"], "entry-1")
            self.assertEqual(fake.requests[-1].headers["saddlestack-fence-token"], "12")

        with_server(body)

    def test_advice(self) -> None:
        async def body(fake: FakeServer) -> None:
            adviser = HttpAdviser("127.0.0.1", fake.server.port)
            fake.add_answer(200, {"good": [["i-1", "t-1"]], "valid-ms": 3000})
            approvals = await adviser.advise("00000000000000aa.0.1", ("i-1", "i-2"))
            self.assertEqual(
                fake.last_body(), {"step": "00000000000000aa.0.1", "workers": ["i-1", "i-2"]}
            )
            self.assertEqual(
                (approvals[0].worker_id, approvals[0].ticket, approvals[0].valid_s),
                ("i-1", "t-1", 3.0),
            )

        with_server(body)


class DocumentsTest(unittest.TestCase):
    def test_configuration(self) -> None:
        read = PlatformDocuments().configuration(msgspec.json.encode(CONFIGURATION))
        self.assertEqual(read.version, 7)
        self.assertEqual(read.accounts[0].guaranteed, 32)
        self.assertEqual(read.queues[0].attempts, 4)
        self.assertTrue(read.queues[2].advised)

    def test_worker(self) -> None:
        record = {
            "service": "pool",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": "draining",
            "cold-left-ms": 0,
            "remaining-ms": 1500,
            "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 4},
            "labels": ["a", "r1-3"],
            "clock-ms": 482113,
            "seq": 4,
        }
        worker = PlatformDocuments().worker(Item("servers/i-1", msgspec.json.encode(record), 3))
        self.assertEqual((worker.worker_id, worker.rack), ("i-1", "r1-3"))
        self.assertEqual(worker.capacity, Resources(16000, 32768, 4))
        self.assertTrue(worker.draining)
        self.assertEqual(worker.remaining_ms, 1500)

    def test_a_malformed_worker_record_is_rejected(self) -> None:
        documents = PlatformDocuments()
        self.assertEqual(documents.worker(Item("servers/i-1", encoded(), 3)).worker_id, "i-1")
        for name, value in worker_records().items():
            with self.subTest(name):
                with self.assertRaises(SaddlestackError) as caught:
                    documents.worker(Item("servers/i-1", value, 3))
                self.assertIn("servers/i-1", str(caught.exception))
        for name, worker_id in WORKER_IDS.items():
            with self.subTest(f"id: {name}"), self.assertRaises(SaddlestackError):
                documents.worker(Item(f"servers/{worker_id}", encoded(), 3))

    def test_a_randomly_changed_record_is_decoded_or_rejected(self) -> None:
        rng = random.Random(7)
        documents = PlatformDocuments()
        for _ in range(5000):
            value = mutated(encoded(remaining_ms=7), rng)
            with self.subTest(value), contextlib.suppress(SaddlestackError):
                worker = documents.worker(Item("servers/i-1", value, 3))
                self.assertTrue(parse_address(worker.address).port)
                self.assertGreater(min(worker.capacity.cpu, worker.capacity.memory_mb), 0)

    def test_records_without_optional_fields_are_decoded(self) -> None:
        for field in ("labels", "clock-ms", "machine"):
            with self.subTest(field):
                PlatformDocuments().worker(Item("servers/i-1", without(field), 3))
        plain = encoded(capacity={"cpu": 16_000, "mem-mb": 1}, remaining_ms=7.5, cold_left_ms=0.5)
        worker = PlatformDocuments().worker(Item("servers/i-1", plain, 3))
        self.assertEqual((worker.capacity, worker.remaining_ms), (Resources(16_000, 1, 0), 7))
        PlatformDocuments().worker(Item("servers/i-1", encoded(address="[fd00::1]:80"), 3))

    def test_a_malformed_wave_or_configuration_is_rejected(self) -> None:
        documents = PlatformDocuments()
        wave = {"wave": 3, "machines": ["m-1"], "deadline-s": 20, "max-tasks": 2}
        self.assertEqual(documents.wave(Item("op/wave/3", msgspec.json.encode(wave), 3)).wave, 3)
        changes: list[dict[str, object]] = [
            {"wave": "3"},
            {"wave": -3},
            {"wave": 4},
            {"machines": "m-1"},
            {"machines": [1]},
            {"deadline-s": -1},
            {"deadline-s": "20"},
            {"max-tasks": 0},
            {"max-tasks": -1},
        ]
        for change in changes:
            value = msgspec.json.encode({**wave, **change})
            with self.subTest(change), self.assertRaises(SaddlestackError):
                documents.wave(Item("op/wave/3", value, 3))
        for name, value in unreadable().items():
            with self.subTest(name), self.assertRaises(SaddlestackError):
                documents.wave(Item("op/wave/3", value, 3))
            with self.subTest(name), self.assertRaises(SaddlestackError):
                documents.configuration(value)

    # Documents that leave no queue, or whose version is negative or given twice, were taken whole.
    def test_an_invalid_configuration_is_rejected(self) -> None:
        documents = PlatformDocuments()
        for name, value in configurations().items():
            with self.subTest(name):
                with self.assertRaises(SaddlestackError) as caught:
                    documents.configuration(value)
                self.assertIn("op/config", str(caught.exception))

    def test_a_configuration_that_the_pages_allow_is_decoded(self) -> None:
        valid = configuration_document()
        changes: list[dict[str, object]] = [
            {},
            {"version": 0},
            {"routes": []},
            {"routes": [], "services": [], "tenants": []},
            {"limits": {}},
            {"unknown": {"twice": [1, 1]}},
        ]
        for change in changes:
            with self.subTest(change):
                value = msgspec.json.encode({**valid, **change})
                self.assertEqual(faults_of(PlatformDocuments().configuration(value)), [])
        sparse = {name: valid[name] for name in ("version", "routes", "services")}
        read = PlatformDocuments().configuration(msgspec.json.encode(sparse))
        self.assertEqual((read.accounts, read.limits.body_bytes), ((), 262_144))

    def test_a_randomly_changed_configuration_is_decoded_or_rejected(self) -> None:
        rng = random.Random(8)
        encoded_configuration = msgspec.json.encode(configuration_document())
        for _ in range(5000):
            value = mutated(encoded_configuration, rng)
            with self.subTest(value), contextlib.suppress(SaddlestackError):
                read = PlatformDocuments().configuration(value)
                self.assertGreaterEqual(read.version, 0)
                faults_of(read)

    def test_an_error_names_the_document(self) -> None:
        with self.assertRaises(SaddlestackError) as caught:
            PlatformDocuments().configuration(b'{"version": "x"}')
        self.assertIn("op/config", str(caught.exception))


class RecordingJobs:
    """A job service that records the clients' calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, object]] = []
        self.state_: JobState | None = JobState.RUNNING

    async def submit(self, call, job_id, request):  # type: ignore[no-untyped-def]
        self.calls.append((call.queue.name, job_id, request))
        return AcceptedJob(
            job_id=job_id,
            account=call.account,
            queue=call.queue.name,
            service="pool",
            priority=0,
            attempts=1,
            accepted_ms=0,
            request=request,
        )

    async def state(self, call, job_id):  # type: ignore[no-untyped-def]
        return self.state_

    async def cancel(self, call, job_id):  # type: ignore[no-untyped-def]
        return self.state_ is not None

    async def pending(self, call):  # type: ignore[no-untyped-def]
        return 12


class GatewayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.jobs = RecordingJobs()
        self.configuration = PlatformDocuments().configuration(msgspec.json.encode(CONFIGURATION))
        self.ready = True
        self.gateway = Gateway(self.jobs, lambda: self.configuration, lambda: self.ready)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        key: str = "k1",
        host: str = "jobs.example:80",
    ) -> Response:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        headers = {"host": host, "saddlestack-credential": key}
        request = Request(method, path, {}, headers, data)
        return run(self.gateway.handle(request))

    def assert_rejected(
        self, kind: ErrorKind, *arguments: object, **options: object
    ) -> SaddlestackError:
        with self.assertRaises(SaddlestackError) as caught:
            self.call(*arguments, **options)  # type: ignore[arg-type]
        self.assertIs(caught.exception.kind, kind)
        return caught.exception

    def test_a_job_is_translated(self) -> None:
        step = {
            "count": 4,
            "cpu": 500,
            "mem-mb": 256,
            "gpu": 2,
            "est-ms": 900,
            "after-rev": [],
            "gang": True,
            "same-rack": True,
            "constraints": "a",
            "colocate": "r1-3",
            "anti-affinity": 2,
            "checkpoint": True,
            "speculative": True,
            "long-running": True,
            "image": "x",
            "target-ms": 90,
            "fills": True,
            "may-miss": 1,
        }
        body = {"spec": "t", "steps": [step], "times": 3, "start-delay-ms": 5, "interval-ms": 7}
        self.assertEqual(self.call("POST", f"/a/{JOB}", body).status, 200)
        queue, job_id, request = self.jobs.calls[0]
        self.assertEqual((queue, job_id), ("checks", JOB))
        assert isinstance(request, JobRequest)
        self.assertEqual((request.times, request.first_at_ms, request.interval_ms), (3, 5, 7))
        made = request.steps[0]
        self.assertEqual(made.needs, Resources(500, 256, 2))
        self.assertEqual((made.label, made.data_rack, made.per_worker), ("a", "r1-3", 2))
        self.assertTrue(made.gang and made.same_rack and made.checkpoint and made.speculative)
        self.assertTrue(made.long_running and made.fills)
        self.assertEqual((made.image, made.target_ms, made.may_miss), ("x", 90, 1))

    def test_the_longest_prefix_wins(self) -> None:
        self.call("POST", f"/a/b/{JOB}", {"steps": [{"count": 1}]})
        self.assertEqual(self.jobs.calls[0][0], "nested")

    def test_states_cancels_and_counts(self) -> None:
        self.assertEqual(self.call("GET", f"/a/{JOB}").body, b'{"state":"running"}')
        self.assertEqual(self.call("DELETE", f"/a/{JOB}").status, 200)
        self.assertEqual(self.call("GET", "/a/").body, b'{"pending":12}')
        self.jobs.state_ = None
        self.assert_rejected(ErrorKind.UNKNOWN_JOB, "GET", f"/a/{JOB}")
        self.assert_rejected(ErrorKind.UNKNOWN_JOB, "DELETE", f"/a/{JOB}")

    def test_callers_are_authenticated_and_routed(self) -> None:
        self.assert_rejected(ErrorKind.UNAUTHENTICATED, "GET", f"/a/{JOB}", key="nobody")
        self.assert_rejected(ErrorKind.UNAUTHENTICATED, "GET", f"/a/{JOB}", key="")
        self.assertEqual(self.call("GET", f"/o/{JOB}", key="").status, 200)
        self.assert_rejected(ErrorKind.NOT_FOUND, "GET", f"/nowhere/{JOB}")
        self.assert_rejected(ErrorKind.NOT_FOUND, "GET", f"/a/{JOB}", host="other.example")

    def test_bad_bodies_are_rejected_with_their_location(self) -> None:
        for body, kind, place in (
            (b"{", ErrorKind.MALFORMED, "body"),
            (b"\xff", ErrorKind.MALFORMED, "body"),
            ({}, ErrorKind.INVALID, "body"),
            ({"steps": [{"count": "x"}]}, ErrorKind.INVALID, "steps[0].count"),
            ({"steps": [{"count": 1, "colour": 1}]}, ErrorKind.INVALID, "steps[0]"),
            ({"steps": [], "more": 1}, ErrorKind.INVALID, "body"),
            ({"spec": "x" * 3000, "steps": []}, ErrorKind.TOO_LARGE, ""),
        ):
            error = self.assert_rejected(kind, "POST", f"/a/{JOB}", body)
            self.assertIn(place, str(error))
        self.assert_rejected(ErrorKind.INVALID, "POST", "/a/notanid", {"steps": [{"count": 1}]})
        self.assert_rejected(ErrorKind.NOT_FOUND, "PUT", f"/a/{JOB}")
        self.assertEqual(self.jobs.calls, [])

    def test_without_a_configuration_calls_are_unavailable_not_unknown(self) -> None:
        self.gateway = Gateway(self.jobs, lambda: None, lambda: False)
        error = self.assert_rejected(ErrorKind.CELL_UNAVAILABLE, "GET", f"/nowhere/{JOB}")
        self.assertIsNotNone(error.retry_after)

    def test_readiness(self) -> None:
        request = Request("GET", "/api/ready", {}, {}, b"")
        self.assertEqual(run(self.gateway.readiness(request)).status, 200)
        self.ready = False
        self.assertEqual(run(self.gateway.readiness(request)).status, 503)


class SettingsTest(unittest.TestCase):
    FIELDS = {
        "node": "entry-1",
        "zone": "hall",
        "listen.front": "10.0.0.1:80",
        "listen.ready": "10.0.0.1:81",
        "port-range": "7000,7015",
        "platform.address": "10.0.0.2:80",
        "cloud.address": "10.0.0.3:80",
        "advice": "10.0.0.4:80",
        "bounds.max-hold-ms": "10000",
        "bounds.grace-s": "6",
        "bounds.status_s": "120",
        "bounds.lease-ms": "3000",
        "bounds.maintenance-s": "1.5",
        "limits.cores": "2",
        "limits.cpu-share": "0.25",
        "limits.link-mbps": "20.0",
    }

    def fill(self, fields: dict[str, str]) -> str:
        """Renders a template as the platform does: values, and sections for the given fields."""
        template = (ROOT / "deploy" / "settings.template").read_text()
        template = re.sub(
            r"\{\{#([a-z.-]+)\}\}(.*?)\{\{/\1\}\}",
            lambda found: found[2] if fields.get(found[1]) else "",
            template,
            flags=re.DOTALL,
        )

        def value(found: re.Match[str]) -> str:
            plain = fields[found[1]]
            return f'"{plain}"' if found[2] else plain

        return re.sub(r"\{\{([a-z._-]+)(\|json)?\}\}", value, template)

    def test_the_template_renders_valid_settings(self) -> None:
        settings = parse_json_with_comments(self.fill(self.FIELDS), EntrySettings, "settings")
        self.assertEqual(check(settings), [])
        self.assertEqual(settings.peer_ports, (7000, 7015))
        self.assertEqual(settings.timings.upkeep_s, 1.5)
        self.assertEqual(settings.adviser, "10.0.0.4:80")
        self.assertEqual((settings.cores, settings.cpu_share, settings.link_mbps), (2, 0.25, 20))
        self.assertAlmostEqual(settings.strength, 0.4)

    def test_fields_that_a_deployment_lacks_are_omitted(self) -> None:
        fields = {**self.FIELDS, "advice": "", "cloud.address": "", "limits.link-mbps": ""}
        settings = parse_json_with_comments(self.fill(fields), EntrySettings, "settings")
        self.assertIsNone(settings.adviser)
        self.assertIsNone(settings.machines)
        self.assertGreaterEqual(settings.strength, 1.0)

    def test_the_deploy_file_agrees_with_the_project(self) -> None:
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        wanted = {re.split("[<>=]", each)[0] for each in project["dependencies"]}
        built = (ROOT / "deploy" / "requirements.txt").read_text().split()
        self.assertLessEqual(wanted, {each.partition("==")[0] for each in built})
        self.assertLessEqual(set(built), set((ROOT / "constraints.txt").read_text().split()))
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        self.assertTrue((ROOT / role["template"]).is_file())
        settings = parse_json_with_comments(self.fill(self.FIELDS), EntrySettings, "settings")
        self.assertEqual(role["metrics"], f"{settings.metrics_address.port}{METRICS_PATH}")

    def test_every_invalid_field_is_named(self) -> None:
        fields = {**self.FIELDS, "listen.front": "nowhere", "port-range": "9,7", "node": " "}
        settings = parse_json_with_comments(self.fill(fields), EntrySettings, "settings")
        faults = "; ".join(check(settings))
        for place in ("vm", "clients", "peer_ports"):
            self.assertIn(place, faults)
        with self.assertRaises(ValueError):
            parse_address("10.0.0.1")
        address = parse_address("[fd00::1]:80")
        self.assertEqual((address.address, address.port), ("fd00::1", 80))


if __name__ == "__main__":
    unittest.main()
