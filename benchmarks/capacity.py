"""Measures how the cost of real daemons grows with load, and writes the tables of docs/CAPACITY.md.

`python benchmarks/capacity.py` measures and writes benchmarks/capacity.json;
`python benchmarks/capacity.py --tables` writes the tables of the page from that file.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.processes import Cost, Processes
from saddlestack.client import AsyncClient
from saddlestack.models import Account, DataHall, Intent, JobClass, Rack
from saddlestack.standins.cluster import OPERATOR_TOKEN, account, token_of
from saddlestack.standins.endpoint import StandinEndpoint

ROOT = Path(__file__).parent.parent
RAW_FILE = ROOT / "benchmarks" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
SETTLE_S = 6.0
WINDOW_S = 20.0
ENDPOINTS = (24, 64, 128, 256)
MEMBERS = (6, 16, 48)
CHANGES_PER_MINUTE = (0, 30, 120)
JOBS_PER_MINUTE = (0, 120, 600)

Sample = dict[str, float]


class Rig:
    """Daemons as processes, and endpoints as tasks of this process, in one or more data halls."""

    def __init__(self, halls: int = 1) -> None:
        self.processes = Processes()
        self.endpoints: list[StandinEndpoint] = []
        self.halls = [f"hall{i}" for i in range(halls)]

    async def start(self, members: int, endpoints: int) -> None:
        """Start the platform, the daemons and the endpoints, and configure them."""
        await self.processes.start_platform()
        racks = _racks("w", endpoints)
        for rack in racks:
            for i in range(1, rack.workers + 1):
                await self._endpoint(f"{rack.name}-{i:02d}")
        for i in range(members):
            hall = self.halls[i % len(self.halls)]
            address = f"127.0.{10 + i % len(self.halls)}.{1 + i // len(self.halls)}"
            await self.processes.start_daemon(f"vm{i:03d}", hall, address)
        data_halls = [DataHall(name=self.halls[0], racks=racks)]
        data_halls += [DataHall(name=hall, racks=_racks(f"x{hall}", 8)) for hall in self.halls[1:]]
        client = self.client(OPERATOR_TOKEN)
        accounts = tuple(self._account(i) for i in range(8))
        intent = Intent(data_halls=tuple(data_halls), accounts=accounts)
        await client.confirm(await client.plan(intent), wait=20)
        await self._until_ready(client, endpoints)

    def _account(self, number: int) -> Account:
        guarantees = ("1x16@rack",) if number < 2 else ()
        return account(f"team{number}", *guarantees, queued=20_000)

    async def _until_ready(self, client: AsyncClient, endpoints: int) -> None:
        for _ in range(300):
            status = await client.status()
            up = [cell.workers_up for cell in status.cells if cell.workers == endpoints]
            if up and up[0] == endpoints:
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("not all endpoints of the cell came up")

    async def _endpoint(self, name: str) -> None:
        endpoint = StandinEndpoint(name)
        await endpoint.start("127.0.9.1", 0)
        self.endpoints.append(endpoint)
        await self.processes.list_endpoint(name, self.halls[0], "127.0.9.1", endpoint.server.port)

    def client(self, token: str) -> AsyncClient:
        """Return a client with the addresses of all daemons."""
        return AsyncClient(
            [(http.address, http.port) for http in self.processes.http.values()], token
        )

    async def owner(self) -> str:
        """Return the name of the daemon that schedules the cell of the first data hall."""
        status = await self.client(OPERATOR_TOKEN).status()
        return next(cell.owner for cell in status.cells if cell.cell == self.halls[0])

    async def measure(self, seconds: float = WINDOW_S) -> dict[str, Sample]:
        """Measure CPU, memory, control bytes and store calls of each daemon over ``seconds``."""
        before = await self._read_usage()
        began = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed_s = time.monotonic() - began
        after = await self._read_usage()
        samples: dict[str, Sample] = {}
        for name, (cost, counters) in after.items():
            cost_before, counters_before = before[name]
            samples[name] = {
                "cpu_percent": 100 * (cost.cpu_s - cost_before.cpu_s) / elapsed_s,
                "rss_mb": cost.rss_kb / 1024,
                "bytes_s": (counters["bytes"] - counters_before["bytes"]) / elapsed_s,
                "store_calls_s": (counters["calls"] - counters_before["calls"]) / elapsed_s,
                "store_writes_s": (counters["writes"] - counters_before["writes"]) / elapsed_s,
            }
        return samples

    async def _read_usage(self) -> dict[str, tuple[Cost, dict[str, int]]]:
        readings = {}
        for name, http in self.processes.http.items():
            response = await http.request("GET", "/v1/metrics", timeout=10)
            counters = json.loads(response.body)["counters"]
            total = sum(v for k, v in counters.items() if k.startswith("bytes_"))
            totals = {
                "bytes": total,
                "calls": counters.get("store_calls", 0),
                "writes": counters.get("store_writes", 0),
            }
            readings[name] = (self.processes.costs()[name], totals)
        return readings

    async def stop(self) -> None:
        """Stop all daemons and endpoints."""
        self.processes.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()


def _racks(prefix: str, workers: int) -> tuple[Rack, ...]:
    return tuple(
        Rack(name=f"{prefix}{i:02d}", workers=8, accelerators=8, slots=8)
        for i in range(workers // 8)
    )


def _highest_of_others(samples: dict[str, Sample], owner: str) -> Sample:
    rest = [sample for name, sample in samples.items() if name != owner]
    return {key: max(sample[key] for sample in rest) for key in rest[0]} if rest else {}


async def _with_rig(
    members: int, endpoints: int, body: Callable[[Rig], Awaitable[Any]], halls: int = 1
) -> Any:
    rig = Rig(halls)
    try:
        await rig.start(members, endpoints)
        await asyncio.sleep(SETTLE_S)
        return await body(rig)
    finally:
        await rig.stop()


async def measure_endpoints() -> list[dict[str, Any]]:
    """Measure an idle cell scheduler for several numbers of endpoints in its cell."""
    points = []
    for count in ENDPOINTS:

        async def body(rig: Rig) -> dict[str, Any]:
            owner = await rig.owner()
            samples = await rig.measure(30.0)
            return {"owner": samples[owner], "other": _highest_of_others(samples, owner)}

        point = await _with_rig(2, count, body)
        points.append({"endpoints": count, **point})
        print("endpoints", count, _rounded(point["owner"]), flush=True)
    return points


async def measure_members() -> list[dict[str, Any]]:
    """Measure a VM that schedules no cell for several numbers of entry VMs in its data hall."""
    points = []
    for count in MEMBERS:

        async def body(rig: Rig) -> dict[str, Any]:
            owner = await rig.owner()
            samples = await rig.measure()
            return {"owner": samples[owner], "other": _highest_of_others(samples, owner)}

        point = await _with_rig(count, 8, body)
        points.append({"members": count, **point})
        print("members", count, _rounded(point["other"]), flush=True)
    return points


async def measure_changes() -> list[dict[str, Any]]:
    """Measure rates of configuration changes on 8 VMs, and how long each takes to be in force."""

    async def body(rig: Rig) -> list[dict[str, Any]]:
        points = []
        for rate in CHANGES_PER_MINUTE:
            times: list[float] = []
            work = asyncio.create_task(_change_configuration(rig, rate, times)) if rate else None
            samples = await rig.measure()
            if work is not None:
                work.cancel()
            owner = await rig.owner()
            times.sort()
            point = {
                "changes_min": rate,
                "owner": samples[owner],
                "other": _highest_of_others(samples, owner),
                "in_force_p50_s": _quantile(times, 0.5),
                "in_force_p99_s": _quantile(times, 0.99),
            }
            points.append(point)
            print("changes", rate, point["in_force_p50_s"], point["in_force_p99_s"], flush=True)
        return points

    result: list[dict[str, Any]] = await _with_rig(8, 24, body)
    return result


async def _change_configuration(rig: Rig, rate: float, times: list[float]) -> None:
    client = rig.client(OPERATOR_TOKEN)
    number = 0
    while True:
        number += 1
        intent = Intent(accounts=(account("team7", queued=1000 + number),))
        plan = await client.plan(intent)
        began = time.monotonic()
        await client.confirm(plan, wait=10)
        times.append(time.monotonic() - began)
        await asyncio.sleep(max(0.0, 60 / rate - (time.monotonic() - began)))


async def measure_jobs() -> list[dict[str, Any]]:
    """Measure rates of jobs that are submitted through 6 VMs to one cell of 64 endpoints."""

    async def body(rig: Rig) -> list[dict[str, Any]]:
        points = []
        for rate in JOBS_PER_MINUTE:
            work = asyncio.create_task(_submit_jobs(rig, rate)) if rate else None
            samples = await rig.measure()
            if work is not None:
                work.cancel()
            owner = await rig.owner()
            point = {
                "jobs_min": rate,
                "owner": samples[owner],
                "other": _highest_of_others(samples, owner),
            }
            points.append(point)
            print("jobs", rate, _rounded(samples[owner]), flush=True)
        return points

    result: list[dict[str, Any]] = await _with_rig(6, 64, body)
    return result


async def _submit_jobs(rig: Rig, rate: float) -> None:
    client = rig.client(token_of("team3"))
    number = 0
    while True:
        number += 1
        await client.submit(
            f"r-{time.time_ns()}", 1, job_class=JobClass.NORMAL, payload='{"seconds": 2}'
        )
        await asyncio.sleep(60 / rate)


async def measure_running_tasks() -> list[dict[str, Any]]:
    """Measure numbers of running tasks in a cell of 64 endpoints, with no other load."""

    async def body(rig: Rig) -> list[dict[str, Any]]:
        points = []
        client = rig.client(token_of("team4"))
        running = 0
        for count in (0, 128, 384):
            while running < count:
                running += 1
                await client.submit(f"hold-{running}", 1, payload='{"seconds": 3600}')
            await asyncio.sleep(3.0)
            samples = await rig.measure()
            owner = await rig.owner()
            points.append({"tasks": count, "owner": samples[owner]})
            print("tasks", count, _rounded(samples[owner]), flush=True)
        return points

    result: list[dict[str, Any]] = await _with_rig(2, 64, body)
    return result


async def measure_takeover() -> list[float]:
    """Measure the seconds from the kill of a scheduler until its cell is scheduled again."""

    async def body(rig: Rig) -> list[float]:
        times = []
        for _ in range(3):
            owner = await rig.owner()
            process = rig.processes.daemons[owner]
            process.kill()
            process.wait()
            began = time.monotonic()
            del rig.processes.http[owner]
            del rig.processes.daemons[owner]
            client = rig.client(OPERATOR_TOKEN)
            while True:
                cells = (await client.status()).cells
                if cells and cells[0].owner != owner and cells[0].workers_up >= 8:
                    break
                await asyncio.sleep(0.05)
            times.append(time.monotonic() - began)
            print("takeover", round(times[-1], 2), flush=True)
        return times

    result: list[float] = await _with_rig(5, 24, body)
    return result


def _quantile(ordered: Sequence[float], share: float) -> float:
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))], 3) if ordered else 0.0


def _rounded(sample: Sample) -> Sample:
    return {key: round(value, 2) for key, value in sample.items()}


async def measure_all(only: str | None) -> None:
    """Run all measurements, or only one, and write the results to :data:`RAW_FILE`."""
    raw: dict[str, Any] = json.loads(RAW_FILE.read_text()) if RAW_FILE.exists() else {}
    parts: dict[str, Callable[[], Awaitable[Any]]] = {
        "endpoints": measure_endpoints,
        "members": measure_members,
        "changes": measure_changes,
        "jobs": measure_jobs,
        "running": measure_running_tasks,
        "take_over_s": measure_takeover,
    }
    for name, measure in parts.items():
        if only in {None, name}:
            raw[name] = await measure()
            RAW_FILE.write_bytes(msgspec.json.format(msgspec.json.encode(raw), indent=1) + b"\n")


def main() -> None:
    """Run the measurements, or write the tables from earlier ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tables", action="store_true")
    parser.add_argument("--only")
    options = parser.parse_args()
    if options.tables:
        from benchmarks.tables import write_tables

        write_tables(RAW_FILE, PAGE)
    else:
        asyncio.run(measure_all(options.only))


if __name__ == "__main__":
    main()
