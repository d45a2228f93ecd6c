"""A soak's workers of unequal speed: progress, drift, and settings.

Guards against a soak whose workers all work alike although it was asked for unequal ones, and
against gangs whose members report the progress of the slowest.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import unittest
from pathlib import Path

import msgspec

from saddlestack.control.settings import Scheduling, load
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.workers import EndKind
from saddlestack.soak import shape as shapes
from saddlestack.soak.drift import drift_speeds
from saddlestack.soak.hosts import WorkerHosts, machines_of
from saddlestack.soak.messages import Command, Crash, Heal, SetTimeFactor, TaskFault, TroubleTasks
from saddlestack.soak.processes import EntryProcess, EntrySite
from saddlestack.soak.run import SoakPlan, run
from saddlestack.soak.shape import SCHEDULING_PARTS, WorkerKind, check, scheduling_with
from saddlestack.standins.pool.workers import TaskPlan
from tests.soak_support import TIMES, Workers, now, virtually
from tests.test_soak_workers import ALL, Site, SiteTest

SMALL = shapes.load(Path(__file__).parent.parent / "deploy" / "soak" / "small.json")
FACTOR = 2.4
PAIR = TaskPlan(2.0, gang=2)


class GangTest(unittest.TestCase):
    def test_members_progress_alone_and_the_gang_ends_with_its_slowest(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.incarnations[1].set_speed(1 / FACTOR)
            for number in range(2):
                workers.start(PAIR, worker=number, index=number)
            await asyncio.sleep(1.0)
            self.assertEqual(await self.percents(workers), [50, 20])
            await asyncio.sleep(2.0)
            self.assertEqual(await self.percents(workers), [99, 62])
            await asyncio.sleep(1.7)
            self.assertEqual(workers.end_kinds(), [])
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE] * 2)

        virtually(body)

    def test_a_change_of_one_member_keeps_the_progress_of_the_others(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            for number in range(2):
                workers.start(PAIR, worker=number, index=number)
            await asyncio.sleep(1.0)
            workers.incarnations[1].set_speed(0.0)
            await asyncio.sleep(0.5)
            self.assertEqual(await self.percents(workers), [75, 50])

        virtually(body)

    async def percents(self, workers: Workers) -> list[int]:
        reports = [await workers.poll(worker=number) for number in range(2)]
        return [report.running[0].percent for report in reports]


class MachineSpeedTest(SiteTest):
    async def percent_after(self, site: Site, number: int, seconds: float = 1.0) -> int:
        """The progress of a new run of 10 s."""
        await site.start_run(number=number, work_s=10.0)
        await asyncio.sleep(seconds)
        return (await site.poll()).running[-1].percent

    def test_a_time_factor_lasts_beyond_faults_and_incarnations(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(SetTimeFactor(machines=ALL, factor=2.0))
            self.assertEqual(await self.percent_after(site, 1), 5)
            slow = TroubleTasks(machines=ALL, seconds=60.0, how=TaskFault.SLOW, factor=5.0)
            site.machine.apply(slow)
            await asyncio.sleep(0.01)
            self.assertEqual(await self.percent_after(site, 2), 1)
            site.machine.apply(Heal(machines=ALL))
            self.assertEqual(await self.percent_after(site, 3), 5)
            site.machine.apply(Crash(machines=ALL, back_s=0.1))
            await asyncio.sleep(0.3)
            site.connect()
            self.assertEqual(await self.percent_after(site, 4), 5)

        self.run_at_site(body)

    def test_a_machine_that_recovers_has_the_usual_speed(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(SetTimeFactor(machines=ALL, factor=2.0))
            site.machine.apply(SetTimeFactor(machines=ALL, factor=1.0))
            self.assertEqual(await self.percent_after(site, 1), 10)

        self.run_at_site(body)


class ShapeTest(unittest.TestCase):
    def test_a_share_of_the_workers_is_slow(self) -> None:
        shape = SMALL.with_unequal_workers(0.25, FACTOR)
        self.assertEqual([each.time_factor for each in machines_of(shape)].count(FACTOR), 2)
        self.assertEqual({each.time_factor for each in machines_of(SMALL)}, {1.0})
        self.assertEqual(SMALL.with_unequal_workers(None, None), SMALL)

    def test_errors_name_their_keys(self) -> None:
        faults = "\n".join(check(SMALL.with_unequal_workers(1.5, 0.5)))
        self.assertIn("worker.slow_share: expected 0 to 1, got 1.5", faults)
        self.assertIn("worker.slow_factor: expected 1 to 100, got 0.5", faults)

    def test_parts_are_switched_on_by_their_names(self) -> None:
        self.assertEqual(scheduling_with(""), Scheduling())
        self.assertEqual(
            scheduling_with(",".join(SCHEDULING_PARTS)),
            Scheduling(worker_speeds=True, gang_priority=True, demand_forecast=True),
        )
        with self.assertRaisesRegex(SaddlestackError, "got other"):
            scheduling_with("worker_speeds,other")


class SettingsTest(unittest.TestCase):
    def test_vms_get_the_section_only_where_a_part_is_on(self) -> None:
        for scheduling in (Scheduling(), Scheduling(worker_speeds=True, speed_memory_s=30.0)):
            with self.subTest(scheduling=scheduling), tempfile.TemporaryDirectory() as folder:
                site = EntrySite("vm", "hall-1", "127.0.0.1")
                entry = EntryProcess(
                    site, Path(folder), "127.0.0.1:1", TIMES, scheduling=scheduling
                )
                entry.write_settings()
                path = Path(folder) / "vm.json"
                self.assertEqual(load(path).scheduling, scheduling)
                written = json.loads(path.read_text())
                self.assertEqual("scheduling" in written, scheduling != Scheduling())


class _Hosts(WorkerHosts):
    """Records the commands that are sent, without processes."""

    def __init__(self) -> None:
        self.machines = machines_of(SMALL)
        self.sent: list[tuple[float, Command]] = []

    async def send(self, command: Command) -> None:
        self.sent.append((now(), command))


class DriftTest(unittest.TestCase):
    def drifted(self, kind: WorkerKind) -> list[float]:
        """The factors that are set within 200 s."""

        async def body() -> list[float]:
            hosts = _Hosts()
            task = asyncio.get_running_loop().create_task(
                drift_speeds(hosts, kind, random.Random(1))
            )
            await asyncio.sleep(200.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            commands = [command for _, command in hosts.sent]
            return [each.factor for each in commands if isinstance(each, SetTimeFactor)]

        return virtually(body)

    def test_workers_turn_slow_and_recover(self) -> None:
        kind = WorkerKind(2, 8, 1, 1, slow_share=0.5, slow_factor=FACTOR, drift_per_s=0.5)
        factors = self.drifted(kind)
        self.assertAlmostEqual(len(factors), 100, delta=30)
        self.assertEqual(set(factors), {1.0, FACTOR})

    def test_equal_workers_do_not_drift(self) -> None:
        self.assertEqual(self.drifted(WorkerKind(2, 8, 1, 1)), [])


class SoakTest(unittest.TestCase):
    def test_short_soak_with_unequal_workers_violates_no_invariant(self) -> None:
        """With as many jobs as the shape has, but only the short gangs, so that all end soon."""
        shape = SMALL.with_unequal_workers(0.3, FACTOR)
        parts = scheduling_with(",".join(SCHEDULING_PARTS))
        urgent = msgspec.structs.replace(shape.kinds[0], rate_per_s=2.4)
        shape = msgspec.structs.replace(shape, scheduling=parts, kinds=(urgent,))
        plan = SoakPlan(shape, seed=7, seconds=0.0, calm_s=3.0)
        report = asyncio.run(run(plan))
        self.assertEqual([broken.text for broken in report.broken], [], f"logs: {report.logs}")
        self.assertEqual(report.troubled, [], f"logs: {report.logs}")
        self.assertGreater(report.accepted, 3)


if __name__ == "__main__":
    unittest.main()
