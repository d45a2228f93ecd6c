"""Tests of the soak: a short one with real processes from a fixed seed, and its parts."""

from __future__ import annotations

import asyncio
import math
import random
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from unittest.mock import patch

import msgspec

from saddlestack.errors import SaddlestackError
from saddlestack.platform.documents import PlatformDocuments
from saddlestack.soak.disturbances import RECOVERY_S, Disturbances
from saddlestack.soak.faults import Fault, FaultAction, FaultInjector
from saddlestack.soak.launcher import CuttableDialer
from saddlestack.soak.load import ALWAYS_FAILS, Load, SubmittedJob, draw, request
from saddlestack.soak.logsearch import lines_of
from saddlestack.soak.meters import Usage, VmUsage
from saddlestack.soak.networks import NetworkReservation
from saddlestack.soak.platform import TermHistory, configuration
from saddlestack.soak.processes import EntryProcess, EntrySite
from saddlestack.soak.proxy import ConnectionFault, Proxy
from saddlestack.soak.readiness import Readiness
from saddlestack.soak.report import (
    BrokenReport,
    LagReport,
    SoakReport,
    StandstillReport,
    TimeSummary,
)
from saddlestack.soak.run import Soak, SoakPlan, entry_sites, run
from saddlestack.soak.shape import FaultKind, FaultMix, SoakShape, Spread, check, load
from saddlestack.soak.store_link import StoreLink
from saddlestack.soak.store_messages import LinkFault, TermBegan, TermEnded
from saddlestack.soak.vm_faults import VmFaults
from saddlestack.standins.loop import run as run_virtually
from saddlestack.standins.pool.workers import TaskPlan
from saddlestack.standins.ports import LOOPBACK
from saddlestack.wire.http import AnswerLost, HttpClient, Request, Response
from saddlestack.work import JobState

SHAPES = Path(__file__).parent.parent / "deploy" / "soak"
SMALL = SHAPES / "small.json"
GROWN = SHAPES / "grown.json"
FAILING = SHAPES / "failing.json"
CONFIGURATION = SHAPES / "configuration.json"
GROWN_FAILING = SHAPES / "grown-failing.json"


class SoakTest(unittest.TestCase):
    def test_short_soak_violates_no_invariant(self) -> None:
        report = asyncio.run(run(SoakPlan(load(SMALL), seed=7, seconds=6.0)))
        self.assertEqual([broken.text for broken in report.broken], [], f"logs: {report.logs}")
        self.assertEqual(report.troubled, [], f"logs: {report.logs}")
        self.assertGreater(report.accepted, 5)
        self.assertGreater(len(report.faults), 3)
        self.assertTrue(all(fault.ended_s is not None for fault in report.faults))


class ShapeTest(unittest.TestCase):
    def test_sizes_of_the_shapes(self) -> None:
        small, grown = load(SMALL), load(GROWN)
        self.assertEqual((small.vms, small.workers), (4, 8))
        self.assertEqual((grown.vms, grown.workers, len(grown.halls)), (41, 176, 3))
        self.assertAlmostEqual(grown.rate_per_s, 6.46)

    def test_shapes_inject_all_kinds_of_faults(self) -> None:
        # Another mix in the older shapes would change what their seeds play.
        all_kinds = set(FaultKind) - {FaultKind.STORE_STALE_SOME}
        self.assertIn(FaultKind.STORE_STALE_SOME, load(CONFIGURATION).faults.weights)
        without = all_kinds - {FaultKind.WORKER_FAILS}
        for path, kinds in ((SMALL, without), (GROWN, without), (FAILING, all_kinds)):
            shape = load(path)
            played = [kind for mix in (shape.faults, *shape.more_faults) for kind in mix.weights]
            self.assertEqual(sorted(played), sorted(kinds), path)

    def test_failing_shape_equals_the_small_one_except_for_failures(self) -> None:
        small, failing = load(SMALL), load(FAILING)
        self.assertIsNone(small.failing)
        self.assertIsNone(load(GROWN).failing)
        assert failing.failing is not None
        same = msgspec.structs.replace(
            failing, name=small.name, failing=None, more_faults=failing.more_faults[:-1]
        )
        self.assertEqual(same, small)

    def test_grown_failing_shape_equals_the_grown_one_except_for_faults(self) -> None:
        grown, day = load(GROWN), load(GROWN_FAILING)
        self.assertIsNotNone(day.failing)
        same = msgspec.structs.replace(
            day, name=grown.name, failing=None, faults=grown.faults, more_faults=grown.more_faults
        )
        self.assertEqual(same, grown)

    def test_errors_of_failing_jobs_name_their_keys(self) -> None:
        shape = load(FAILING)
        assert shape.failing is not None
        wrong = msgspec.structs.replace(
            shape.failing, account="nobody", kinds=("idle",), pause_s=(0.0, 1.0), jobs=(5, 2)
        )
        faults = list(check(msgspec.structs.replace(shape, failing=wrong)))
        self.assertEqual(
            [fault.partition(":")[0] for fault in faults],
            ["failing.account", "failing.kinds", "failing.pause_s", "failing.jobs"],
        )

    def test_errors_name_their_keys(self) -> None:
        shape = load(SMALL)
        times = msgspec.structs.replace(shape.times, lease_s=0.0, stop_s=-1.0)
        hall = msgspec.structs.replace(shape.halls[0], strong_vms=9)
        kind = msgspec.structs.replace(
            shape.kinds[0],
            gang_share=1.5,
            accelerators=(9,),
            width=Spread(mean=3, spread=0, most=2),
        )
        account = msgspec.structs.replace(shape.accounts[0], guaranteed=65)
        wrong = msgspec.structs.replace(
            shape,
            times=times,
            halls=(hall, hall),
            kinds=(kind,),
            accounts=(account,),
            worker_hosts=0,
            faults=msgspec.structs.replace(shape.faults, pause_s=(2.0, 1.0)),
        )
        faults = "\n".join(check(wrong))
        for place in (
            "times.lease_s: expected more than 0",
            "times.stop_s: expected 0 to 3600",
            "halls: expected names that differ",
            "halls[0].strong_vms: expected 0 to 2",
            "kinds[0].gang_share: expected 0 to 1",
            "kinds[0].accelerators: expected 1 to 8",
            "kinds[0].width.most: expected 3 to",
            "accounts: guaranteed in all: expected 0 to 64",
            "worker_hosts: expected 1 to",
            "faults.pause_s: expected two times",
        ):
            self.assertIn(place, faults)

    def test_unknown_fields_are_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "shape.json"
            path.write_text(SMALL.read_text().replace('"lead_s"', '"led_s"'))
            with self.assertRaisesRegex(SaddlestackError, "led_s"):
                load(path)

    def test_each_vm_has_an_address_of_its_own(self) -> None:
        sites = entry_sites(load(GROWN))
        self.assertEqual(len({site.address for site in sites}), 41)
        self.assertEqual(sum(site.strong for site in sites), 6)

    # Networks followed from process ids modulo 100: of soaks at the same time two had the same,
    # and one of them never started.
    def test_soaks_at_the_same_time_have_networks_of_their_own(self) -> None:
        first, second = NetworkReservation(), NetworkReservation()
        self.assertNotEqual(first.number, second.number)
        first.close()
        again = NetworkReservation()
        self.assertEqual(again.number, first.number)
        again.close()
        second.close()

    def test_the_configuration_can_be_read(self) -> None:
        shape = load(GROWN)
        document = PlatformDocuments().configuration(configuration(shape))
        self.assertEqual([queue.priority for queue in document.queues], [0, 1, 2])
        self.assertEqual(sum(account.guaranteed for account in document.accounts), 872)


class LoadTest(unittest.TestCase):
    def test_drawn_numbers_keep_the_mean(self) -> None:
        rng = random.Random(1)
        spread = Spread(mean=13, spread=0.8, most=78)
        drawn = [draw(spread, rng) for _ in range(5000)]
        self.assertAlmostEqual(sum(drawn) / len(drawn), 13, delta=0.6)
        self.assertLessEqual(max(drawn), 78)

    def test_the_same_seed_draws_the_same_jobs(self) -> None:
        for kind in load(GROWN).kinds:
            jobs = [request(kind, random.Random(5)) for _ in range(2)]
            self.assertEqual(*jobs)


class BurstTest(unittest.TestCase):
    """Bursts of jobs that always fail."""

    def submitted(self, shape: SoakShape) -> list[SubmittedJob]:
        async def body() -> list[SubmittedJob]:
            load = Load(shape, [], random.Random(1), random.Random(2))
            task = asyncio.get_running_loop().create_task(load.run())
            await asyncio.sleep(30.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return load.jobs

        async def drop(load: Load, job: SubmittedJob, rng: random.Random) -> None:
            return

        with patch.object(Load, "_drive", drop), patch.object(Readiness, "run", _nothing):
            return run_virtually(body())

    def test_bursts_come_from_one_account_and_always_fail(self) -> None:
        shape = load(FAILING)
        others = msgspec.structs.replace(shape, failing=None)
        before = {job.job_id for job in self.submitted(others)}
        jobs = self.submitted(shape)
        bursts: dict[float, list[SubmittedJob]] = {}
        for job in jobs:
            if job.job_id not in before:
                bursts.setdefault(job.submitted_s, []).append(job)
        self.assertEqual(len(jobs) - len(before), sum(map(len, bursts.values())))
        self.assertGreater(len(bursts), 4)
        for burst in bursts.values():
            self.assertTrue(2 <= len(burst) <= 5)
            self.assertEqual({job.account for job in burst}, {"others"})
            self.assertEqual(len({job.kind.name for job in burst}), 1)
            for job in burst:
                plan = msgspec.json.decode(job.request.payload, type=TaskPlan)
                self.assertEqual(plan.failures, ALWAYS_FAILS)
                self.assertLessEqual(plan.work_s, 1.0)


class SubmittedJobTest(unittest.TestCase):
    """When a client considers its job over."""

    def test_the_first_final_state_or_the_cancel_closes_a_job(self) -> None:
        kind = load(SMALL).kinds[0]
        job = SubmittedJob("x1", kind, "others", request(kind, random.Random(1)), 0.0)
        self.assertEqual(job.closed_s, math.inf)
        job.changes += [(1.0, JobState.RUNNING), (2.0, JobState.FAILED), (3.0, JobState.FAILED)]
        self.assertEqual(job.closed_s, 2.0)
        job.cancel_sent_s = 1.5
        self.assertEqual(job.closed_s, 1.5)


class LogsTest(unittest.TestCase):
    """Which logs are kept after a soak."""

    def kept(self, report: SoakReport, *, keep_logs: bool) -> bool:
        folders: list[Path] = []

        async def played(soak: Soak) -> SoakReport:
            folders.append(soak._folder)
            return report

        with patch.object(Soak, "run", played):
            asyncio.run(run(SoakPlan(load(SMALL), 1, 0.0, keep_logs=keep_logs)))
        there = folders[0].exists()
        if there:
            folders[0].rmdir()
        self.assertEqual(bool(report.logs), there)
        return there

    def test_logs_are_removed_after_a_good_soak_unless_kept(self) -> None:
        self.assertFalse(self.kept(_report([0.01]), keep_logs=False))
        self.assertTrue(self.kept(_report([0.01]), keep_logs=True))
        broken = _report([0.01])
        broken.broken.append(BrokenReport("two runs at once", 2.5, "x1", "x1 ran twice", []))
        self.assertTrue(self.kept(broken, keep_logs=False))


async def _nothing(readiness: Readiness) -> None:
    return


class FaultTest(unittest.TestCase):
    def test_seed_draws_the_same_faults_however_long_each_takes(self) -> None:
        def played(slowness: float) -> list[tuple[FaultKind, float, float]]:
            drawn: list[tuple[FaultKind, float, float]] = []

            async def play(fault: Fault, rng: random.Random) -> None:
                drawn.append((fault.kind, fault.seconds, rng.random()))
                await asyncio.sleep(slowness)

            run_virtually(_player(play, seed=3).run(20.0))
            return drawn

        self.assertEqual(played(0.1), played(5.0))

    def test_first_fault_may_be_delayed(self) -> None:
        began: list[float] = []

        async def play(fault: Fault, rng: random.Random) -> None:
            began.append(asyncio.get_running_loop().time())

        async def body(first_s: float, seconds: float) -> float:
            mix = FaultMix(
                weights={FaultKind.ALL_KILL: 1.0},
                pause_s=(30.0, 30.0),
                lasting_s=(1.0, 1.0),
                first_s=first_s,
            )
            start_s = asyncio.get_running_loop().time()
            player = FaultInjector(mix, {FaultKind.ALL_KILL: play}, random.Random(1))
            await player.run(seconds)
            return start_s

        start_s = run_virtually(body(3.0, 40.0))
        self.assertEqual([round(at_s - start_s, 3) for at_s in began], [3.0, 33.0])
        began.clear()
        run_virtually(body(50.0, 40.0))
        self.assertEqual(began, [])

    def test_faults_are_recorded_with_their_times(self) -> None:
        async def play(fault: Fault, rng: random.Random) -> None:
            await asyncio.sleep(fault.seconds)
            raise ProcessLookupError

        player = _player(play, seed=3)
        run_virtually(player.run(20.0))
        self.assertGreater(len(player.injected), 5)
        for fault in player.injected:
            assert fault.ended_s is not None
            self.assertAlmostEqual(fault.ended_s - fault.began_s, fault.seconds, places=3)

    def test_halls_are_cut_off_from_each_other_only(self) -> None:
        shape = load(SMALL)
        entries = [RecordedEntry(site) for site in entry_sites(shape)]
        workers = {"hall-1": ["127.64.0.1"], "hall-2": ["127.64.0.2"]}
        faults = VmFaults(entries, None, workers)  # type: ignore[arg-type]
        fault = Fault(FaultKind.HALL_CUT, 3.0)
        run_virtually(faults.actions[FaultKind.HALL_CUT](fault, random.Random(1)))
        for entry in entries:
            other = "hall-2" if entry.site.hall == "hall-1" else "hall-1"
            apart = {each.site.address for each in entries if each.site.hall == other}
            self.assertEqual(entry.cuts, [apart | set(workers[other]), set()])

    def test_disturbances_include_the_recovery_time(self) -> None:
        faults = [
            Fault(FaultKind.VM_KILL, 1.0, 10.0, 11.0, on="a"),
            Fault(FaultKind.STORE_SLOW, 1.0, 100.0, 101.0, on="all"),
            Fault(FaultKind.HALL_KILL, 1.0, 200.0, 201.0, on="hall-1"),
        ]
        near = Disturbances(faults, {"a": "hall-1", "b": "hall-2"})
        self.assertTrue(near.is_undisturbed("a", 9.9))
        self.assertFalse(near.is_undisturbed("a", 10.0 + RECOVERY_S))
        self.assertTrue(near.is_undisturbed("b", 10.5))
        self.assertFalse(near.is_undisturbed("b", 100.5))
        self.assertFalse(near.is_undisturbed("a", 200.5))
        self.assertTrue(near.is_undisturbed("b", 200.5))
        self.assertFalse(near.is_fault_free(11.0 + RECOVERY_S))
        self.assertTrue(near.is_fault_free(12.0 + RECOVERY_S))


def _player(play: FaultAction, seed: int) -> FaultInjector:
    weights = {FaultKind.VM_KILL: 1.0, FaultKind.STORE_SLOW: 2.0, FaultKind.WORKER_HANG: 0.0}
    mix = FaultMix(weights=weights, pause_s=(0.5, 1.5), lasting_s=(0.5, 3.0))
    return FaultInjector(mix, dict.fromkeys(weights, play), random.Random(seed))


@dataclass(slots=True)
class RecordedEntry(EntryProcess):
    """Records the addresses that are cut off."""

    cuts: list[set[str]] = field(default_factory=list)

    def __init__(self, site: EntrySite) -> None:
        EntryProcess.__init__(self, site, Path("/nowhere"), "", load(SMALL).times)
        self.cuts = []

    def block_addresses(self, addresses: object) -> None:
        self.cuts.append(set(addresses))  # type: ignore[call-overload]


class TermTest(unittest.TestCase):
    def test_terms_are_found_by_their_tokens(self) -> None:
        history = TermHistory()
        history.record(TermBegan(7, "a", 70_001, 1.0))
        history.record(TermEnded(2.0))
        self.assertIsNone(history.current)
        history.record(TermBegan(9, "b", 70_002, 3.0))
        self.assertEqual([history.vm_of(fence) for fence in (7, 8, 9)], ["a", "", "b"])
        self.assertEqual([term.ended_s for term in history.terms], [2.0, None])


class ReportTest(unittest.TestCase):
    def test_waits(self) -> None:
        waits = TimeSummary.of([float(number) for number in range(1, 101)])
        self.assertEqual(
            (waits.count, waits.median_s, waits.p99_s, waits.longest_s), (100, 50, 99, 100)
        )
        self.assertEqual(TimeSummary.of([]), TimeSummary())

    def test_late_stand_ins_are_named(self) -> None:
        report = _report([0.01, 0.24], [0.01, 0.3])
        self.assertEqual(report.late, ["stand-in 1"])
        self.assertIn("late stand-ins: stand-in 1", report.summary())

    def test_a_report_is_written_as_json_and_as_text(self) -> None:
        report = _report([0.01])
        report.faults.append(Fault(FaultKind.VM_KILL, 1.0, 2.0, 3.0, on="a"))
        report.broken.append(
            BrokenReport("two runs at once", 2.5, "x1", "x1 ran twice", ["a line"])
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "report.json"
            report.write(path)
            again = msgspec.json.decode(path.read_bytes(), type=SoakReport)
            text = path.with_suffix(".txt").read_text()
        self.assertEqual(again, report)
        self.assertFalse(again.good)
        for line in ("vm_kill a", "  x1 ran twice\n    a line"):
            self.assertIn(line, text)

    def test_stalls_are_reported_and_counted_by_cause(self) -> None:
        report = _report([0.01])
        report.standstills += [
            StandstillReport("x1", 1.0, 5.0, 3, 64, 7, ["the leader"]),
            StandstillReport("x2", 2.0, 6.0, 3, 64, 0, ["the leader", "the room"]),
            StandstillReport("x3", 2.0, 6.0, 3, 64, 0, []),
        ]
        self.assertEqual(report.explained, 2)
        self.assertIn("2 standstills explained", report.summary())
        text = "\n".join(report.lines())
        for line in (
            "Jobs that stood still: 3, of which a fault near explains 2",
            "     2  the leader",
            "     1  the room",
            "x1: 3 of 64 accelerators in use, 7 runs of others began: the leader",
            "x3: 3 of 64 accelerators in use, 0 runs of others began: nothing explains it",
        ):
            self.assertIn(line, text)

    def test_usage_is_summed_over_all_processes(self) -> None:
        use = VmUsage()
        for pid, processor_s in ((1, 0.5), (1, 0.8), (2, 0.2)):
            use.add(pid, Usage(processor_s, 30.0), 0.0)
        self.assertAlmostEqual(use.processor_s, 1.0)
        self.assertAlmostEqual(use.highest, 0.5)

    def test_log_lines_are_found_by_job(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            logs = [Path(folder) / name for name in ("a.log", "b.log")]
            logs[0].write_text('{"time": "2", "job": "x1"}\n{"time": "3", "job": "x2"}\n')
            logs[1].write_text('{"time": "1", "task": "x1.0.0.3"}\n')
            found = lines_of(logs, {"x1"}, most=5)
        self.assertEqual([line[10:11] for line in found["x1"]], ["1", "2"])
        self.assertEqual(set(found), {"x1"})


def _report(*lags_s: list[float]) -> SoakReport:
    """Create a report whose stand-ins have the given lags."""
    return SoakReport(
        shape="small",
        seed=1,
        seconds=5.0,
        program="src",
        started_at="",
        took_s=10.0,
        vms=4,
        workers=8,
        kinds=[],
        busiest=[],
        memory_mb=0.0,
        stand_ins=[
            LagReport(f"stand-in {number}", TimeSummary.of(lags), 0.1)
            for number, lags in enumerate(lags_s)
        ],
        faults=[],
        terms=[],
        broken=[],
        troubled=[],
    )


class StoreWayTest(unittest.TestCase):
    """Every fault of a VM's link to the store, as seen by the program's own client."""

    def play(self, body: Callable[[StoreLink, HttpClient, list[str]], Awaitable[None]]) -> None:
        async def whole() -> None:
            handled: list[str] = []

            async def handle(asked: Request) -> Response:
                handled.append(asked.query["n"])
                return Response(200, asked.body)

            way = StoreLink(handle, random.Random(1))
            await way.start("127.0.0.1")
            client = HttpClient("127.0.0.1", way.port)
            try:
                await body(way, client, handled)
            finally:
                client.close()
                way.stop()

        asyncio.run(whole())

    def test_calls_pass(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            for number in range(3):
                response = await client.request("POST", f"/x?n={number}", {"a": 1}, timeout=1.0)
                self.assertEqual(response.body, b'{"a":1}')
            self.assertEqual(handled, ["0", "1", "2"])

        self.play(body)

    def test_silent_link_holds_calls(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            way.set_fault(LinkFault.SILENT)
            with self.assertRaises(AnswerLost):
                await client.request("POST", "/x?n=1", timeout=0.1)
            waiting = asyncio.create_task(client.request("POST", "/x?n=2", timeout=5.0))
            await asyncio.sleep(0.05)
            self.assertEqual(handled, [])
            way.set_fault(None)
            self.assertEqual((await waiting).status, 200)
            self.assertEqual(handled, ["2"])

        self.play(body)

    def test_one_way_link_holds_answers(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            way.set_fault(LinkFault.ONE_WAY)
            waiting = asyncio.create_task(client.request("POST", "/x?n=1", timeout=5.0))
            while not handled:
                await asyncio.sleep(0.01)
            self.assertFalse(waiting.done())
            way.set_fault(None)
            self.assertEqual((await waiting).status, 200)

        self.play(body)

    def test_reset_and_refused(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            way.set_fault(LinkFault.RESET)
            with self.assertRaises(AnswerLost):
                await client.request("POST", "/x?n=1", timeout=1.0)
            way.set_fault(LinkFault.REFUSED)
            response = await client.request("POST", "/x?n=2", timeout=1.0)
            self.assertIn(response.status, {429, 503})
            self.assertEqual(handled, [])

        self.play(body)

    def test_stale_connections_lose_calls_and_new_ones_work(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            await client.request("POST", "/x?n=1", timeout=1.0)
            way.set_fault(LinkFault.STALE)
            with self.assertRaises(AnswerLost):
                await client.request("POST", "/x?n=2", timeout=0.1)
            client.reconnect()
            await client.request("POST", "/x?n=3", timeout=1.0)
            self.assertEqual(handled, ["1", "3"])

        self.play(body)

    def test_some_connections_go_stale_while_others_work(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            clients = [HttpClient(LOOPBACK, way.port) for _ in range(20)]
            for each in clients:
                await each.request("POST", "/x?n=1", timeout=1.0)
            way.set_fault(LinkFault.STALE_SOME)
            stale = {each.number for each in way._connections if each.stale}
            self.assertTrue(3 < len(stale) < 17, len(stale))
            for number, each in enumerate(clients, start=1):
                if number in stale:
                    with self.assertRaises(AnswerLost):
                        await each.request("POST", "/x?n=3", timeout=0.01)
                else:
                    await each.request("POST", "/x?n=2", timeout=30.0)
            self.assertEqual(handled.count("2"), len(clients) - len(stale))
            self.assertNotIn("3", handled)
            for each in clients:
                each.close()

        self.play(body)

    def test_delay(self) -> None:
        async def body(way: StoreLink, client: HttpClient, handled: list[str]) -> None:
            way.set_fault(LinkFault.DELAY, 0.05)
            began = asyncio.get_running_loop().time()
            await client.request("POST", "/x?n=1", timeout=1.0)
            self.assertGreaterEqual(asyncio.get_running_loop().time() - began, 0.1)

        self.play(body)


class CutTest(unittest.TestCase):
    def test_nothing_passes_while_an_address_is_cut(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()
            over.set()

        async def body() -> None:
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            dialer = CuttableDialer(cuts)
            reader, writer = await dialer.open("127.0.0.1", port)
            writer.write(b"a")
            self.assertEqual(await reader.read(1), b"a")
            cuts.write_text("127.0.0.1\n")
            await _until(lambda: dialer.is_cut("127.0.0.1"))
            writer.write(b"b")
            with self.assertRaises(TimeoutError):
                await dialer.open("127.0.0.1", port, 0.1)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.read(1)
            cuts.write_text("")
            writer.write(b"c")
            self.assertEqual(await reader.readexactly(2), b"bc")
            writer.close()
            await over.wait()
            server.close()

        over = asyncio.Event()
        with tempfile.TemporaryDirectory() as folder:
            cuts = Path(folder) / "cuts"
            cuts.write_text("")
            with patch("saddlestack.soak.launcher.CUTS_POLL_INTERVAL_S", 0.01):
                asyncio.run(body())


async def _until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not holds():
            await asyncio.sleep(0.01)


class EntryProcessTest(unittest.TestCase):
    def test_overlapping_restarts_leave_one_process(self) -> None:
        """Two restarts of one VM at once used to leave a process behind after a soak."""

        async def body() -> None:
            entry = counted_process()
            await entry.start()
            await asyncio.gather(
                entry.kill_and_restart(0.1), entry.stop_and_restart(), entry.kill_and_restart(0.0)
            )
            self.assertEqual(sum(process.returncode is None for process in entry.all), 1)
            await entry.end()
            self.assertEqual(sum(process.returncode is None for process in entry.all), 0)

        asyncio.run(body())

    def test_process_resumes_after_all_pauses_end(self) -> None:
        async def body() -> None:
            entry = counted_process()
            await entry.start()
            held = [entry.pause(), entry.pause()]
            entry.resume(held[0])
            self.assertEqual(await entry.until_state("T"), "T")
            entry.resume(held[1])
            self.assertEqual(await entry.until_state("S"), "S")
            await entry.end()

        asyncio.run(body())

    def test_pause_does_not_outlive_its_process(self) -> None:
        async def body() -> None:
            entry = counted_process()
            await entry.start()
            held = entry.pause()
            await entry.kill_and_restart(0.0)
            entry.pause()
            entry.resume(held)
            self.assertEqual(await entry.until_state("T"), "T")
            await entry.end()

        asyncio.run(body())


@dataclass(slots=True)
class CountedProcess(EntryProcess):
    """Starts a process that waits for signals instead of an entry VM."""

    all: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(self) -> None:
        self._pause_count = 0
        self.process = await asyncio.create_subprocess_exec("sleep", "60")
        self.all.append(self.process)

    async def until_state(self, wanted: str) -> str:
        """Wait for a process state, at most for 5 s, and return the last one."""
        state = ""
        for _ in range(500):
            assert self.process is not None
            text = Path(f"/proc/{self.process.pid}/stat").read_text()
            state = text.rpartition(")")[2].split()[0]
            if state == wanted:
                break
            await asyncio.sleep(0.01)
        return state


def counted_process() -> CountedProcess:
    """Create a process that is not started yet."""
    site = EntrySite("entry-1", "hall-1", "127.0.0.1")
    return CountedProcess(site, Path("/nowhere"), "", load(SMALL).times)


class ProxyTest(unittest.TestCase):
    def test_connection_faults(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        async def body() -> None:
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            proxy = Proxy("127.0.0.1", "127.0.0.1", server.sockets[0].getsockname()[1])
            await proxy.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
            writer.write(b"a")
            self.assertEqual(await reader.read(1), b"a")
            for trouble in (ConnectionFault.SILENT, ConnectionFault.ONE_WAY):
                proxy.set_fault(trouble)
                writer.write(b"b")
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await reader.read(1)
                proxy.set_fault(ConnectionFault.NONE)
                self.assertEqual(await reader.read(1), b"b")
            proxy.set_fault(ConnectionFault.DELAY, 0.5)
            writer.write(b"c")
            began = asyncio.get_running_loop().time()
            self.assertEqual(await reader.read(1), b"c")
            self.assertGreaterEqual(asyncio.get_running_loop().time() - began, 0.5)
            proxy.set_fault(ConnectionFault.RESET)
            with self.assertRaises(ConnectionResetError):
                if not await reader.read(1):
                    raise ConnectionResetError
            writer.close()
            await proxy.stop()
            server.close()

        run_virtually(body())


if __name__ == "__main__":
    unittest.main()
