import asyncio

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import Account, Guarantee, Intent, JobState, Limits
from saddlestack.services.access import hash_token
from saddlestack.standins.cluster import Cluster, account, token_of
from saddlestack.wire.http import HttpClient
from tests.support import ACCOUNTS, ClusterTest


class AccessTest(ClusterTest):
    def test_requests_without_a_valid_token_are_refused(self) -> None:
        async def body(cluster: Cluster) -> None:
            for token, kind in (("nobody's", ErrorKind.UNAUTHENTICATED), ("", "unauthenticated")):
                client = cluster.client(token or "x")
                with self.assertRaises(SaddlestackError) as caught:
                    await client.submit("r", 1)
                self.assertEqual(caught.exception.kind, kind)
            caller = cluster.client(token_of("depots"))
            with self.assertRaises(SaddlestackError) as caught:
                await caller.plan(Intent(spare=1))
            self.assertIs(caught.exception.kind, ErrorKind.FORBIDDEN)
            with self.assertRaises(SaddlestackError) as caught:
                await caller.submit("r", 1, account="stations")
            self.assertIs(caught.exception.kind, ErrorKind.FORBIDDEN)
            self.assertEqual(await cluster.operator().jobs(), ())

        self.with_cluster(body)

    def test_only_hashes_of_tokens_are_stored(self) -> None:
        async def body(cluster: Cluster) -> None:
            stored = cluster.store.value("configuration") or b""
            self.assertNotIn(token_of("depots").encode(), stored)
            self.assertIn(hash_token(token_of("depots")).encode(), stored)

        self.with_cluster(body)


class InputTest(ClusterTest):
    def test_bad_requests_get_a_clear_error_with_its_location(self) -> None:
        async def body(cluster: Cluster) -> None:
            entry = next(iter(cluster.entries.values()))
            http = HttpClient(entry.address, entry.daemon.http_port, token=token_of("depots"))
            for sent, status, place in (
                ({"request": "r", "accelerators": 0}, 422, "body: accelerators"),
                ({"request": "r", "accelerators": 257}, 422, "body: accelerators"),
                ({"request": "a b", "accelerators": 1}, 422, "body: request"),
                ({"request": "r", "accelerators": "8"}, 422, "body: accelerators"),
                ({"request": "r", "accelerators": 1, "colour": 1}, 422, "body"),
                ({"request": "r", "accelerators": 1, "estimate": 0}, 422, "body: estimate"),
                ({"request": "r", "accelerators": 1, "class": "soon"}, 422, "body: class"),
                (
                    {"request": "r", "accelerators": 1, "payload": "x" * 70_000},
                    413,
                    "body: payload",
                ),
            ):
                response = await http.request("POST", "/v1/jobs", sent, timeout=5)
                self.assertEqual(response.status, status, sent)
                self.assertIn(f'"where":"{place}"'.encode(), response.body)
                self.assertIn(b'"ran":"no"', response.body)
            response = await http.request("GET", "/v1/nothing", timeout=5)
            self.assertEqual(response.status, 404)
            http.close()

        self.with_cluster(body)

    def test_gangs_that_no_cell_can_hold_are_refused(self) -> None:
        async def body(cluster: Cluster) -> None:
            with self.assertRaises(SaddlestackError) as caught:
                await cluster.client(token_of("depots")).submit("r", 65)
            self.assertIs(caught.exception.kind, ErrorKind.SHAPE_IMPOSSIBLE)

        self.with_cluster(body)

    def test_limits_refuse_as_not_run_and_give_a_retry_time(self) -> None:
        limits = Limits(queued=1, rate=1.0, burst=6)
        limited = Account(name="small", limits=limits, tokens=(hash_token(token_of("small")),))

        async def body(cluster: Cluster) -> None:
            client = cluster.client(token_of("small"), vm="ulemiste-entry-1")
            kinds = []
            for i in range(6):
                try:
                    await client.submit(f"r-{i}", 64, adjacent="rack", payload='{"seconds": 9}')
                except SaddlestackError as error:
                    kinds.append(error.kind)
                    self.assertIsNotNone(error.retry_after)
            self.assertIn(ErrorKind.QUEUE_FULL, kinds)
            self.assertIn(ErrorKind.RATE_LIMITED, kinds)

        self.with_cluster(body, accounts=(limited,))


class CallerTest(ClusterTest):
    def test_get_list_and_cancel(self) -> None:
        async def body(cluster: Cluster) -> None:
            client = cluster.client(token_of("replays"))
            await client.submit("hold", 64, adjacent="rack", payload='{"seconds": 30}')
            await client.submit("wait", 64, adjacent="rack", checkpoint=True)
            self.assertIs((await client.cancel("wait")).state, JobState.CANCELLED)
            self.assertIs((await client.job("wait")).state, JobState.CANCELLED)
            stopped = await client.cancel("hold")
            self.assertIs(stopped.state, JobState.UNKNOWN)
            self.assertEqual({v.request for v in await client.jobs()}, {"hold", "wait"})
            self.assertEqual(await cluster.client(token_of("depots")).jobs(), ())
            with self.assertRaises(SaddlestackError) as caught:
                await client.job("never")
            self.assertIs(caught.exception.kind, ErrorKind.NOT_FOUND)

        self.with_cluster(body)

    def test_an_answer_survives_the_loss_of_every_entry_vm(self) -> None:
        async def body(cluster: Cluster) -> None:
            client = cluster.client(token_of("depots"))
            first = await client.submit("pay", 8, run_once=True, wait=30)
            for name in list(cluster.entries):
                await cluster.kill(name)
            for name in list(cluster.entries):
                await cluster.restart(name)
            await asyncio.sleep(5)
            await cluster.until_ready()
            again = await cluster.client(token_of("depots")).submit(
                "pay", 8, run_once=True, wait=30
            )
            self.assertEqual(again.answer, first.answer)

        self.with_cluster(body)

    def test_each_of_many_callers_gets_its_own_answer(self) -> None:
        async def body(cluster: Cluster) -> None:
            client = cluster.client(token_of("replays"))
            names = [f"r-{i}" for i in range(60)]
            views = await asyncio.gather(
                *(client.submit(n, 1, payload='{"seconds": 0.5}', wait=60) for n in names)
            )
            for name, view in zip(names, views, strict=True):
                assert view.answer is not None
                self.assertTrue(view.answer.output.startswith(f"replays/{name} done"))

        self.with_cluster(body)


class OperatorTest(ClusterTest):
    def test_a_plan_changes_nothing_and_an_outdated_one_is_a_conflict(self) -> None:
        async def body(cluster: Cluster) -> None:
            operator = cluster.operator()
            before = await operator.configuration()
            first = await operator.plan(Intent(spare=1))
            second = await operator.plan(Intent(drain=("ee-u-01",)))
            self.assertEqual(await operator.configuration(), before)
            await operator.confirm(first)
            with self.assertRaises(SaddlestackError) as caught:
                await operator.confirm(second)
            self.assertIs(caught.exception.kind, ErrorKind.CONFLICT)
            self.assertEqual((await operator.configuration()).leaving, ())
            await asyncio.sleep(2)
            outcomes = [r.outcome for r in await operator.audit()]
            self.assertEqual(sorted(outcomes), ["accepted", "accepted", "conflict"])

        self.with_cluster(body)

    def test_guarantees_that_do_not_pack_are_refused_in_the_plan(self) -> None:
        async def body(cluster: Cluster) -> None:
            operator = cluster.operator()
            too_much = Account(name="late", guarantees=(Guarantee(accelerators=32, count=2),))
            plan = await operator.plan(Intent(accounts=(too_much,)))
            self.assertIn("does not fit beside the others", plan.refusals[0])
            with self.assertRaises(SaddlestackError) as caught:
                await operator.confirm(plan)
            self.assertIs(caught.exception.kind, ErrorKind.GUARANTEE_UNPACKABLE)
            await asyncio.sleep(2)
            self.assertEqual((await operator.audit())[0].outcome, "guarantee_unpackable")

        self.with_cluster(body)

    def test_an_altered_plan_is_refused(self) -> None:
        async def body(cluster: Cluster) -> None:
            import msgspec

            operator = cluster.operator()
            plan = await operator.plan(Intent(spare=1))
            altered = msgspec.structs.replace(plan, intent=Intent(spare=0))
            with self.assertRaises(SaddlestackError) as caught:
                await operator.confirm(altered)
            self.assertIs(caught.exception.kind, ErrorKind.INVALID)

        self.with_cluster(body)

    def test_a_drained_endpoint_gets_no_new_work_until_it_is_undrained(self) -> None:
        async def body(cluster: Cluster) -> None:
            operator = cluster.operator()
            names = tuple(f"ee-u-{i:02d}" for i in range(1, 8))
            await operator.confirm(await operator.plan(Intent(drain=names)), wait=5)
            client = cluster.client(token_of("replays"))
            view = await client.submit("only", 8, wait=30)
            self.assertEqual([part.vm for part in view.parts], ["ee-u-08"])
            await operator.confirm(await operator.plan(Intent(undrain=names)), wait=5)
            view = await client.submit("wide", 64, adjacent="rack", wait=30)
            self.assertIs(view.state, JobState.DONE)

        self.with_cluster(body)

    def test_draining_an_entry_vm_requests_a_stop_of_its_daemon(self) -> None:
        async def body(cluster: Cluster) -> None:
            operator = cluster.operator()
            intent = Intent(drain=("ulemiste-entry-2",))
            await operator.confirm(await operator.plan(intent), wait=5)
            stopping = {n: e.daemon.stop_requested.is_set() for n, e in cluster.entries.items()}
            self.assertEqual(stopping, {"ulemiste-entry-1": False, "ulemiste-entry-2": True})

        self.with_cluster(body)

    def test_status_shows_cells_guarantees_and_vms(self) -> None:
        async def body(cluster: Cluster) -> None:
            status = await cluster.operator().status()
            (cell,) = status.cells
            self.assertEqual((cell.workers_up, cell.capacity, cell.free), (8, 64, 64))
            self.assertTrue(all(g.formable for g in cell.guarantees))
            self.assertEqual(len(status.vms), 1)
            metrics = await cluster.operator().metrics()
            self.assertGreater(metrics.resident_bytes, 0)

        self.with_cluster(body, accounts=(*ACCOUNTS[:2], account("replays")))
