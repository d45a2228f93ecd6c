"""Host processes of a soak's workers: gangs across processes, commands, and shutdown."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from saddlestack.interfaces.workers import EndKind, StartOrder
from saddlestack.platform.orders import HttpWorkerOrders
from saddlestack.soak.heartbeats import WorkerRecords
from saddlestack.soak.hosts import WorkerHosts, machines_of
from saddlestack.soak.messages import Crash, LifeBegan, LifeEnded, RunEnded
from saddlestack.soak.shape import FaultMix, Hall, SoakShape, WorkerKind
from saddlestack.standins.pool.store import StoreState
from saddlestack.standins.pool.workers import TaskPlan, payload
from tests.soak_support import TIMES, task

TIMEOUT_S = 5.0
HOSTS = 2
SHAPE = SoakShape(
    name="tiny",
    halls=(Hall("hall-1", 1, 1, 3), Hall("hall-2", 1, 1, 1)),
    worker=WorkerKind(rack=2, accelerators=8, cpu=32_000, memory_mb=131_072),
    worker_hosts=HOSTS,
    times=TIMES,
    kinds=(),
    accounts=(),
    faults=FaultMix({}, (1.0, 1.0), (1.0, 1.0)),
    lead_s=0.0,
    settle_s=0.0,
)


class MachinesTest(unittest.TestCase):
    def test_each_worker_has_an_address_a_rack_and_a_hall(self) -> None:
        machines = machines_of(SHAPE)
        self.assertEqual(
            [(each.name, each.hall, each.rack) for each in machines],
            [
                ("m001", "hall-1", "r1-1"),
                ("m002", "hall-1", "r1-1"),
                ("m003", "hall-1", "r1-2"),
                ("m004", "hall-2", "r2-1"),
            ],
        )
        self.assertEqual(len({each.address for each in machines}), len(machines))


class ProcessesTest(unittest.TestCase):
    def run_with_hosts(self, body: Callable[[WorkerHosts, StoreState], Awaitable[None]]) -> None:
        async def main(folder: Path) -> None:
            store = StoreState()
            records = WorkerRecords(store, TIMES.heartbeat_s)
            await records.start()
            hosts = WorkerHosts(SHAPE, f"127.0.0.1:{records.port}", folder)
            await hosts.start()
            try:
                await self.until(lambda: len(store.keys("servers/")) == SHAPE.workers)
                await body(hosts, store)
            finally:
                await hosts.stop()
                await records.stop()

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(main(Path(folder)))

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def test_a_gang_across_processes_ends_done_together(self) -> None:
        async def body(hosts: WorkerHosts, store: StoreState) -> None:
            plan = payload(TaskPlan(0.2, gang=SHAPE.workers))
            for index, item in enumerate(store.keys("servers/")):
                record = json.loads(item.value)
                address, _, port = record["address"].rpartition(":")
                worker_id = item.key.removeprefix("servers/")
                orders = HttpWorkerOrders(worker_id, address, int(port))
                deadline_ms = record["clock-ms"] + 6000
                start = StartOrder(task(index), 1, plan, "", deadline_ms, 1)
                self.assertIsNone((await orders.start(start, TIMEOUT_S)).refusal)
                orders.close()
            await self.until(lambda: len(self.ends(hosts)) == SHAPE.workers)
            self.assertEqual({end.how for end in self.ends(hosts)}, {EndKind.DONE.value})

        self.run_with_hosts(body)

    def test_a_command_reaches_the_machines_that_it_names(self) -> None:
        async def body(hosts: WorkerHosts, store: StoreState) -> None:
            await hosts.send(Crash(machines=("m001", "m004"), back_s=0.1))
            await self.until(lambda: self.count(hosts, LifeBegan) == SHAPE.workers + 2)
            ended = {each.worker for each in hosts.records if isinstance(each, LifeEnded)}
            self.assertEqual(ended, {"i-m001-1", "i-m004-1"})
            expected = {"i-m001-2", "i-m002-1", "i-m003-1", "i-m004-2"}
            self.assertEqual(set(hosts.incarnations), expected)

        self.run_with_hosts(body)

    def test_processes_end_when_their_streams_close(self) -> None:
        async def body(hosts: WorkerHosts, store: StoreState) -> None:
            self.assertTrue(hosts.alive)
            hosts.close_streams()
            await self.until(lambda: not hosts.alive)

        self.run_with_hosts(body)

    def ends(self, hosts: WorkerHosts) -> list[RunEnded]:
        return [each for each in hosts.records if isinstance(each, RunEnded)]

    def count(self, hosts: WorkerHosts, kind: type) -> int:
        return sum(isinstance(each, kind) for each in hosts.records)


if __name__ == "__main__":
    unittest.main()
