"""Stand-ins of the platform's workers and of its interface for whole machines, by PROTOCOL.md.

What a task does is in its ``spec``, as JSON: ``work_ms`` (how long it works; without it the task
lasts until it is stopped), ``stop_ms`` (how long it takes to stop; a list to choose from) and ``start_ms`` (how long a
lasting task takes until it is at work). ``fails`` lists, by a task's OCCURRENCE.STEP.INDEX,
after how many milliseconds each of its first runs fails.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from http11 import Answer, Request, Server
from store import Store

HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
DRAIN_MS = 2000
"""The least time that a worker serves on after it has said that it leaves."""


@dataclass
class Run:
    task: str
    number: int
    worker: str
    machine: str
    needs: tuple[int, int, int]
    spec: dict
    began_s: float
    stopping: bool = False
    ended: str = ""
    ended_s: float = 0.0

    def percent(self, now: float) -> int:
        worked_ms = (now - self.began_s) * 1000
        if "work_ms" in self.spec:
            return min(99, int(100 * worked_ms / self.spec["work_ms"]))
        return 100 if worked_ms >= self.spec.get("start_ms", 0) else 0


@dataclass
class Worker:
    """One life of a worker, on one machine."""

    pool: Pool
    worker_id: str
    machine: str
    rack: str
    zone: str
    capacity: tuple[int, int, int]
    began_s: float = field(default_factory=time.monotonic)
    up: bool = True
    leaving: bool = False
    fence: int = 0
    lease_s: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list] = field(default_factory=list)
    ends: int = 0
    over: dict[str, int] = field(default_factory=dict)
    seq: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    server: Server | None = None

    async def start(self) -> None:
        self.server = Server(self.handle, self.pool.host)
        await self.server.start()
        self.write_entry()

    def write_entry(self) -> None:
        assert self.server is not None
        self.seq += 1
        cpu, memory, gpu = self.capacity
        entry = {
            "service": self.pool.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.leaving else "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": cpu, "mem-mb": memory, "gpu": gpu},
            "labels": ["a", self.rack, *self.pool.labels.get(self.machine, [])],
            "clock-ms": self.clock_ms(),
            "machine": self.machine,
            "seq": self.seq,
        }
        if self.leaving:
            entry["remaining-ms"] = DRAIN_MS
        self.pool.store.put(f"servers/{self.worker_id}", json.dumps(entry).encode())

    def clock_ms(self) -> int:
        return 400_000 + round((time.monotonic() - self.began_s) * 1000)

    async def handle(self, request: Request) -> Answer | None:
        if not self.up:
            return None
        if request.headers.get("saddlestack-target-instance") != self.worker_id:
            return 421, None
        body = request.json
        if body.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if request.path == "/api/hold":
            return await self._hold(body)
        if request.path == "/api/run-start":
            return self._start(body)
        if request.path == "/api/run-stop":
            self._stop(body["task"], body["run"])
            return 200, {"clock-ms": self.clock_ms()}
        if request.path == "/api/pace":
            return 200, {"clock-ms": self.clock_ms()}
        return 404, None

    def _extend(self, deadline_ms: int) -> None:
        left_s = min((deadline_ms - self.clock_ms()) / 1000, self.pool.max_hold_s)
        self.lease_s = max(self.lease_s, time.monotonic() + left_s)

    async def _hold(self, body: dict) -> Answer | None:
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        self.ended = [each for each in self.ended if each[0] > body.get("last-seen", 0)]
        if body.get("wait-ms", 0) and not self.ended:
            try:
                async with asyncio.timeout(min(2000, body["wait-ms"]) / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.up:
            return None
        now = time.monotonic()
        running = [[run.task, run.number, "", run.percent(now), 0] for run in self.runs.values()]
        return 200, {"clock-ms": self.clock_ms(), "running": running, "ended": self.ended[:500]}

    def _start(self, body: dict) -> Answer:
        key = (body["task"], body["run"])
        if body["deadline-ms"] <= self.clock_ms():
            return 409, {"clock-ms": self.clock_ms(), "reason": "late"}
        self._extend(body["deadline-ms"])
        if key in self.runs:
            return 200, {"clock-ms": self.clock_ms()}
        if key[1] <= self.over.get(key[0], 0):
            return 409, {"clock-ms": self.clock_ms(), "reason": "old"}
        spec = json.loads(body["spec"])
        needs = tuple(spec["needs"])
        used = [sum(run.needs[kind] for run in self.runs.values()) for kind in range(3)]
        if any(used[kind] + needs[kind] > self.capacity[kind] for kind in range(3)):
            self.pool.log("refused", task=key[0], run=key[1], worker=self.worker_id, why="room")
            return 409, {"clock-ms": self.clock_ms(), "reason": "room"}
        run = Run(*key, self.worker_id, self.machine, needs, spec, time.monotonic())
        self.runs[key] = run
        self.pool.runs.append(run)
        self.pool.log("start", task=run.task, run=run.number, worker=self.worker_id)
        self.pool.on_start(run)
        fails = spec.get("fails", {}).get(run.task.partition(".")[2], [])
        number = sum(each.task == run.task for each in self.pool.runs) - 1
        if number < len(fails):
            self.pool.spawn(self._end_after(run, fails[number] / 1000, "failed"))
        elif "work_ms" in spec:
            self.pool.spawn(self._end_after(run, spec["work_ms"] / 1000, "done"))
        return 200, {"clock-ms": self.clock_ms()}

    def _stop(self, task: str, number: int) -> None:
        self.over[task] = max(number, self.over.get(task, 0))
        run = self.runs.get((task, number))
        if run is None or run.stopping:
            return
        run.stopping = True
        self.pool.log("stop ordered", task=task, run=number, worker=self.worker_id)
        stop_ms = run.spec.get("stop_ms", 50)
        if isinstance(stop_ms, list):
            stop_ms = random.choice(stop_ms)
        self.pool.spawn(self._end_after(run, stop_ms / 1000, "stopped"))

    async def _end_after(self, run: Run, seconds: float, how: str) -> None:
        await asyncio.sleep(seconds)
        self.end(run, how)

    def end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        run.ended, run.ended_s = how, time.monotonic()
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        self.pool.log("ended", task=run.task, run=run.number, worker=self.worker_id, how=how)
        self.pool.on_end(run)
        if not self.up:
            return
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def tick(self) -> None:
        """Kill everything once the lease is over."""
        if self.runs and time.monotonic() > self.lease_s:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    def die(self, how: str) -> None:
        """End this life, and all that runs there, at once."""
        self.up = False
        for run in list(self.runs.values()):
            self.end(run, how)
        self.changed.set()
        if self.server is not None:
            self.server.close()


class Pool:
    """All workers and machines of one service."""

    def __init__(self, store: Store, host: str, service: str, max_hold_s: float) -> None:
        self.store = store
        self.host = host
        self.service = service
        self.max_hold_s = max_hold_s
        self.workers: dict[str, Worker] = {}
        self.labels: dict[str, list[str]] = {}
        self.runs: list[Run] = []
        self.records: list[dict] = []
        self.began_s = time.monotonic()
        self._count = 0
        self._tasks: set[asyncio.Task] = set()
        self.on_start = lambda run: None
        self.on_end = lambda run: None

    def log(self, event: str, **fields: object) -> None:
        at = round(time.monotonic() - self.began_s, 3)
        self.records.append({"at": at, "event": event, **fields})

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add(
        self, machine: str, rack: str, zone: str, capacity: tuple[int, int, int]
    ) -> Worker:
        self._count += 1
        worker = Worker(self, f"i-{self._count:04d}", machine, rack, zone, capacity)
        self.workers[machine] = worker
        await worker.start()
        self.log("worker", worker=worker.worker_id, machine=machine, rack=rack)
        return worker

    async def tick(self) -> None:
        """Heartbeats and leases, until cancelled."""
        beat_s = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            self.store.expire()
            for worker in list(self.workers.values()):
                if worker.up:
                    worker.tick()
            if time.monotonic() - beat_s >= HEARTBEAT_S:
                beat_s = time.monotonic()
                for worker in list(self.workers.values()):
                    if worker.up:
                        worker.write_entry()

    def take_down(self, worker: Worker, how: str) -> None:
        """End a worker's life; its entry goes after three silent heartbeats."""
        worker.die(how)

        async def forget() -> None:
            await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
            self.store.delete(f"servers/{worker.worker_id}")

        self.spawn(forget())


class Machines:
    """The platform's interface for whole machines; fences are not checked."""

    def __init__(self, pool: Pool, host: str, maintenance_s: float, waves: dict[int, set]) -> None:
        self._pool = pool
        self._maintenance_s = maintenance_s
        self._waves = waves
        self._done: set[tuple[str, int]] = set()
        self.orders: list[tuple[float, str, str, int, str]] = []
        self.server = Server(self._handle, host)

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/api/machines":
            rows = [
                {
                    "machine": machine,
                    "pool": self._pool.service,
                    "state": "up" if worker.up else "down",
                    "zone": worker.zone,
                    "labels": ["a", worker.rack],
                    "capacity": dict(zip(("cpu", "mem-mb", "gpu"), worker.capacity)),
                    "id": worker.worker_id,
                }
                for machine, worker in self._pool.workers.items()
            ]
            return 200, {"machines": rows, "next-token": ""}
        if request.path != "/api/machine-upkeep":
            return 404, None
        machine, wave = request.json["machine"], request.json["wave"]
        status, reason = self._order(machine, wave)
        holder = request.headers.get("saddlestack-lease-holder", "")
        fence = int(request.headers.get("saddlestack-fence-token", "0"))
        at = round(time.monotonic() - self._pool.began_s, 3)
        self.orders.append((at, machine, holder, fence, f"{status} {reason}".strip()))
        self._pool.log(
            "upkeep order", machine=machine, holder=holder, fence=fence, answer=self.orders[-1][4]
        )
        return status, ({"reason": reason} if reason else {})

    def _order(self, machine: str, wave: int) -> tuple[int, str]:
        worker = self._pool.workers.get(machine)
        if worker is None:
            return 400, ""
        if (machine, wave) in self._done:
            return 200, ""
        if machine not in self._waves.get(wave, ()):
            return 409, "wave"
        if not worker.up or worker.leaving:
            return 409, "busy"
        self._done.add((machine, wave))
        self._pool.take_down(worker, "upkeep")
        self._pool.spawn(self._return(worker))
        return 200, ""

    async def _return(self, worker: Worker) -> None:
        await asyncio.sleep(self._maintenance_s)
        await self._pool.add(worker.machine, worker.rack, worker.zone, worker.capacity)
