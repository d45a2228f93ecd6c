"""Measures the load at which the workers of a soak test fall behind.

Run it with ``python -m benchmarks.hosts --hosts 6``. Some processes act as the leader: each renews
the leases of its workers, polls them all the time, and keeps them full of gangs. The results are
the calls per second, the lag of the event loops in the processes of the workers, and the delays of
run ends and of the begin of gangs.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from saddlestack.interfaces.workers import StartOrder, WorkerReport, WorkerUnreachable
from saddlestack.platform.documents import DOCUMENT_LOCATIONS
from saddlestack.platform.orders import HttpWorkerOrders
from saddlestack.soak import shape as shapes
from saddlestack.soak.heartbeats import WorkerRecords
from saddlestack.soak.hosts import WorkerHosts
from saddlestack.soak.messages import RunBegan, RunEnded, RunWorks
from saddlestack.standins.pool.store import StoreState
from saddlestack.standins.pool.workers import TaskPlan, payload

FENCE = 1
LEASE_MS = 6000
TIMEOUT_S = 3.0
GANG_SIZE = 6
WARM_UP_S = 3.0
SHAPE = Path("deploy/soak/grown.json")


@dataclass
class DrivenWorker:
    """The state of a worker in the process that drives it.

    :param clock_ms: the worker's clock at its last report.
    :param running: number of its runs.
    :param latest_end: number of the latest run end that was reported.
    """

    worker_id: str
    orders: HttpWorkerOrders
    clock_ms: int
    running: int = 0
    latest_end: int = 0


@dataclass
class Driver:
    """Keeps some workers full of gangs.

    :param poll_s: how long a poll waits for a run end; if 0, workers are polled every 0.2 s.
    :param unanswered: a file that grows by one byte with each call that is not answered in time.
    """

    workers: list[DrivenWorker]
    rng: random.Random
    tasks: int
    work_s: float
    poll_s: float
    unanswered: Path

    async def run(self) -> None:
        """Drive until cancelled."""
        async with asyncio.TaskGroup() as group:
            for worker in self.workers:
                group.create_task(self._poll_repeatedly(worker))
            group.create_task(self._fill())

    async def _poll_repeatedly(self, worker: DrivenWorker) -> None:
        while True:
            await self._poll(worker)
            if not self.poll_s:
                await asyncio.sleep(0.2)

    async def _poll(self, worker: DrivenWorker) -> None:
        try:
            report = await worker.orders.hold(
                FENCE, worker.clock_ms + LEASE_MS, worker.latest_end, self.poll_s, TIMEOUT_S
            )
        except WorkerUnreachable:
            self._count_unanswered()
        else:
            self._apply_report(worker, report)

    def _apply_report(self, worker: DrivenWorker, report: WorkerReport) -> None:
        worker.clock_ms = report.clock_ms
        worker.running = len(report.running)
        worker.latest_end = max([worker.latest_end, *(end.number for end in report.ended)])

    async def _fill(self) -> None:
        """Start gangs whenever enough workers have free capacity."""
        async with asyncio.TaskGroup() as group:
            while True:
                free = [worker for worker in self.workers if worker.running < self.tasks]
                if len(free) >= GANG_SIZE:
                    group.create_task(self._start(self.rng.sample(free, GANG_SIZE)))
                await asyncio.sleep(0.005)

    async def _start(self, members: Sequence[DrivenWorker]) -> None:
        job_id = f"{self.rng.getrandbits(64):016x}"
        work_s = self.rng.uniform(0.5, 1.5) * self.work_s
        plan = payload(TaskPlan(work_s, room=1, gang=len(members)))
        for worker in members:
            worker.running += 1
        starts = [
            self._start_one(worker, f"{job_id}.0.0.{index}", plan)
            for index, worker in enumerate(members)
        ]
        await asyncio.gather(*starts)

    async def _start_one(self, worker: DrivenWorker, task: str, plan: str) -> None:
        order = StartOrder(task, 1, plan, "", worker.clock_ms + LEASE_MS, FENCE)
        try:
            await worker.orders.start(order, TIMEOUT_S)
        except WorkerUnreachable:
            self._count_unanswered()

    def _count_unanswered(self) -> None:
        with self.unanswered.open("ab") as file:
            file.write(b"x")


def drive(path: Path, number: int, drivers: int, options: argparse.Namespace) -> None:
    """Drive one share of the workers; this is the main function of a driver process."""
    records = json.loads(path.read_text())
    own_records = [records[key] | {"id": key} for key in sorted(records)][number::drivers]
    workers = []
    for record in own_records:
        address, _, port = record["address"].rpartition(":")
        orders = HttpWorkerOrders(record["id"], address, int(port))
        workers.append(DrivenWorker(record["id"], orders, record["clock-ms"]))
    unanswered = path.with_name(f"lost-{number}")
    rng = random.Random(number)
    driver = Driver(workers, rng, options.tasks, options.work_s, options.looks_s, unanswered)
    asyncio.run(driver.run())


async def measure(options: argparse.Namespace) -> None:
    """Start workers and drivers, and print the results."""
    shape = msgspec.structs.replace(shapes.load(SHAPE), worker_hosts=options.hosts)
    store = StoreState()
    records = WorkerRecords(store, shape.times.heartbeat_s)
    await records.start()
    with tempfile.TemporaryDirectory() as folder:
        hosts = WorkerHosts(shape, f"127.0.0.1:{records.port}", Path(folder))
        await hosts.start()
        await asyncio.sleep(1.0)
        entries = {
            item.key.removeprefix(DOCUMENT_LOCATIONS.workers_prefix): json.loads(item.value)
            for item in store.keys(DOCUMENT_LOCATIONS.workers_prefix)
        }
        (Path(folder) / "workers.json").write_text(json.dumps(entries))
        drivers = [await _start_driver(Path(folder), n, options) for n in range(options.drivers)]
        await asyncio.sleep(WARM_UP_S)
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(options.seconds)
        for driver in drivers:
            driver.kill()
            await driver.wait()
        await hosts.stop()
        unanswered = sum(file.stat().st_size for file in Path(folder).glob("lost-*"))
    await records.stop()
    _print_results(hosts, since, unanswered, options)


async def _start_driver(
    folder: Path, number: int, options: argparse.Namespace
) -> asyncio.subprocess.Process:
    arguments = [f"--{name.replace('_', '-')}={value}" for name, value in vars(options).items()]
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.hosts",
        *[each for each in arguments if not each.startswith("--drive")],
        f"--drivers={options.drivers}",
        f"--drive={folder / 'workers.json'}:{number}",
    )


def _print_results(
    hosts: WorkerHosts, since: float, unanswered: int, options: argparse.Namespace
) -> None:
    until = since + options.seconds
    loads = [load for load in hosts.loads if since < load.at_s <= until]
    lags = sorted(load.lag_s for load in loads)
    by_host: dict[int, list[float]] = defaultdict(list)
    for load in loads:
        by_host[load.host].append(load.processor_s)
    busy = max((max(used) - min(used)) / options.seconds for used in by_host.values())
    runs = sum(load.runs for load in loads) / options.seconds
    calls = sum(load.calls for load in loads) / options.seconds
    end_delays, begin_delays = _delays(hosts, since, until)
    print(
        f"hosts {options.hosts} drivers {options.drivers}: {calls:.0f} calls/s,"
        f" {unanswered} unanswered, {runs:.0f} runs present,"
        f" {len(end_delays) / options.seconds:.0f} ends/s,"
        f" loop late p50 {_quantile_ms(lags, 0.5):.0f} ms p99 {_quantile_ms(lags, 0.99):.0f} ms"
        f" most {_quantile_ms(lags, 1.0):.0f} ms;"
        f" ends late p50 {_quantile_ms(end_delays, 0.5):.1f} ms"
        f" p99 {_quantile_ms(end_delays, 0.99):.1f} ms most {_quantile_ms(end_delays, 1.0):.1f} ms;"
        f" gang begins late p99 {_quantile_ms(begin_delays, 0.99):.1f} ms"
        f" most {_quantile_ms(begin_delays, 1.0):.1f} ms;"
        f" busiest host {busy:.2f} cores"
    )


def _delays(hosts: WorkerHosts, since: float, until: float) -> tuple[list[float], list[float]]:
    """Return the sorted delays of run ends and of the begin of gangs, in seconds.

    An end is delayed by the time since the first end in its gang. The begin of a gang is delayed by
    the time from the start of its last run until its last run works.
    """
    all_present_s: dict[str, float] = {}
    works: dict[str, list[float]] = defaultdict(list)
    ends: dict[str, list[float]] = defaultdict(list)
    for record in hosts.records:
        if not isinstance(record, RunBegan | RunWorks | RunEnded):
            continue
        gang = record.task.rpartition(".")[0]
        if isinstance(record, RunBegan):
            all_present_s[gang] = max(record.at_s, all_present_s.get(gang, 0.0))
        elif isinstance(record, RunWorks):
            works[gang].append(record.at_s)
        elif record.how == "done" and since < record.at_s <= until:
            ends[gang].append(record.at_s)
    end_delays = sorted(at_s - min(times) for times in ends.values() for at_s in times)
    begin_delays = sorted(
        max(works[gang]) - at_s
        for gang, at_s in all_present_s.items()
        if gang in works and at_s > since
    )
    return end_delays, begin_delays


def _quantile_ms(values: list[float], share: float) -> float:
    """Return a quantile of sorted seconds, in milliseconds."""
    if not values:
        return 0.0
    return 1000 * values[min(len(values) - 1, int(share * len(values)))]


def main() -> None:
    """Run the measurement, or one of its driver processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--drivers", type=int, default=4)
    parser.add_argument("--tasks", type=int, default=8, help="tasks at once on each worker")
    parser.add_argument("--work-s", type=float, default=5.0)
    parser.add_argument("--looks-s", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--drive", default="")
    options = parser.parse_args()
    if options.drive:
        path, _, number = options.drive.rpartition(":")
        drive(Path(path), int(number), options.drivers, options)
    else:
        asyncio.run(measure(options))


if __name__ == "__main__":
    main()
