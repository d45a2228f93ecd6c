"""Stand-ins of the platform, its workers and its machines, for the scripts of the review.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). The store is that of the project's own
stand-ins, served over HTTP with 4 ms an answer. The entry VMs are real processes, started with the
command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from saddlestack.platform.handlers import StoreHandler  # noqa: E402
from saddlestack.interfaces.store import StoreUnavailable  # noqa: E402
from saddlestack.standins.pool.store import StoreState, StoreView  # noqa: E402
from saddlestack.standins.ports import free_ports  # noqa: E402
from saddlestack.wire.http import AnswerLost, HttpClient, HttpServer, NotSent  # noqa: E402
from saddlestack.wire.http import Request, Response  # noqa: E402

SERVICE = "tipledger"
HOST = "jobs.example"
KEY = "key-of-the-tenant"
HALLS = ("hofn-hall", "laugar-hall", "kopa-hall")
HEARTBEAT_S = 1.5
STOP_S = 0.2
MOVED_S = 2.0
"""`stop-timeout-ms`, `maintenance-s` and the other bounds are those of thjorfe-saddle."""
GANG_S = 3.0
FAIL_AFTER_S = 0.02
"""A worker that fails all that it starts does so at once."""
LEADER_KEY = "saddlestack/leader"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store; each VM has a port, and so a link, of its own."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.views: dict[str, StoreView] = {}
        self.servers: list[HttpServer] = []

    async def serve(self, vm: str) -> str:
        view = self.views[vm] = StoreView(self.state, check_s=0.05)
        handler = StoreHandler(view)

        async def handle(request: Request) -> Response:
            try:
                return await handler.handle(request)
            except StoreUnavailable:
                return Response(503)

        server = HttpServer(handle)
        await server.start("127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.port}"

    def expire(self) -> None:
        self.state.item(LEADER_KEY)


class Run:
    def __init__(self, name: str, number: int, spec: dict, began: float) -> None:
        self.name = name
        self.number = number
        self.work_s = float(spec.get("work_s", 1.0))
        self.gang = int(spec.get("gang", 0))
        self.lasts = bool(spec.get("lasts", False))
        self.how = spec.get("how", "done")
        self.began = began
        self.stops_at: float | None = None
        self.works_from: float | None = None if self.gang else began

    def percent(self, now: float) -> int:
        if self.works_from is None:
            return 0
        if self.lasts:
            return 100
        return min(100, int(100 * (now - self.works_from) / self.work_s))


async def _say_nothing() -> Response:
    await asyncio.sleep(30.0)
    raise asyncio.CancelledError


class Worker:
    """One life of a worker: leases, fences, ends and orders as PROTOCOL.md tells them."""

    def __init__(self, pool: "Pool", machine: str, zone: str, rack: str, wid: str) -> None:
        self.pool = pool
        self.machine = machine
        self.zone = zone
        self.rack = rack
        self.wid = wid
        self.began = time.monotonic()
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.count = 0
        self.fence = 0
        self.lease_until = 0.0
        self.up = True
        self.state = "ready"
        self.is_cut = False
        self.is_unhealthy = False
        self.fails_all = False
        self.kind = "a"
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.beat: asyncio.Task | None = None

    async def start(self) -> None:
        await self.server.start("127.0.0.1", 0)
        self.write()
        self.beat = asyncio.get_running_loop().create_task(self._beat())

    def cut(self) -> None:
        """Cut the worker off from all entry VMs and from the store; it runs on."""
        self.is_cut = True
        self.pool.record.line(f"worker {self.wid} is cut off")
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._lapse_entry)

    def heal(self) -> None:
        """End the cut; the entry is back with the next heartbeat."""
        self.is_cut = False
        self.pool.record.line(f"worker {self.wid} is no longer cut off")
        self.write()

    def _lapse_entry(self) -> None:
        if self.is_cut and self.up:
            self._forget()

    def write(self) -> None:
        if not self.up or self.is_cut:
            return
        record = {
            "service": SERVICE, "address": f"127.0.0.1:{self.server.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold-left-ms": 0,
            "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": 8},
            "labels": [self.kind, self.rack], "clock-ms": self.clock_ms(), "seq": 1,
            "machine": self.machine,
        }
        self.pool.store.state.put(f"servers/{self.wid}", json.dumps(record).encode())

    async def _beat(self) -> None:
        # Only `seq` changes with a heartbeat, which is no change of the entry.
        while self.up:
            await asyncio.sleep(0.05)
            self.advance()

    def clock_ms(self) -> int:
        return 400_000 + int((time.monotonic() - self.began) * 1000)

    def die(self) -> None:
        """End with all that runs here; its entry goes after three heartbeats of silence."""
        if not self.up:
            return
        self.up = False
        for run in self.runs.values():
            self.pool.record.line(f"worker {self.wid} run {run.name} run={run.number} dies with it")
        self.runs.clear()
        self.changed.set()
        self.server.abort()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._forget)

    def _forget(self) -> None:
        self.pool.store.state.remove(f"servers/{self.wid}")

    def advance(self) -> None:
        now = time.monotonic()
        if self.runs and now > self.lease_until:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stops_at is not None:
                if now >= run.stops_at:
                    self.end(run, "stopped")
            elif run.works_from is None:
                members = self.pool.members(run)
                if len(members) >= run.gang:
                    for member in members:
                        member.works_from = now
                elif now - run.began > GANG_S:
                    self.end(run, "alone")
            elif not run.lasts and now - run.works_from >= run.work_s:
                self.end(run, run.how)

    def end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.name, run.number), None) is None:
            return
        self.highest[run.name] = max(self.highest.get(run.name, 0), run.number)
        self.count += 1
        self.ended.append([self.count, run.name, run.number, how, ""])
        self.pool.record.line(f"worker {self.wid} run {run.name} run={run.number} ends {how}")
        self.pool.ends.append((self.pool.record.now(), self.wid, run.name, run.number, how))
        self.changed.set()

    def answer(self, status: int, reason: str = "") -> Response:
        body: dict[str, object] = {"clock-ms": self.clock_ms()}
        if reason:
            body["reason"] = reason
        return Response(status, json.dumps(body).encode())

    async def handle(self, request: Request) -> Response:
        if not self.up:
            raise asyncio.CancelledError
        if self.is_cut:
            return await _say_nothing()
        response = await self.carry_out(request)
        return await _say_nothing() if self.is_cut else response

    async def carry_out(self, request: Request) -> Response:
        if request.headers.get("saddlestack-target-instance", self.wid) != self.wid:
            return Response(421)
        body = json.loads(request.body or b"{}")
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.answer(409, "fence")
        self.fence = fence
        if request.path == "/api/run-start" and self.is_unhealthy:
            self.pool.record.line(f"worker {self.wid} answers 503 to the start of {body['task']}")
            return Response(503)
        if request.path == "/api/run-start":
            return self.start_run(body)
        if request.path == "/api/run-stop":
            return self.stop_run(body)
        if request.path == "/api/pace":
            return self.answer(200)
        if request.path == "/api/hold":
            return await self.hold(body)
        return Response(404)

    def extend(self, deadline_ms: int) -> None:
        until = self.began + (deadline_ms - 400_000) / 1000
        self.lease_until = max(self.lease_until, min(until, time.monotonic() + self.pool.max_hold_s))

    def start_run(self, body: dict) -> Response:
        name, number = body["task"], body["run"]
        self.pool.record.line(
            f"worker {self.wid} order start {name} run={number} fence={body.get('fence', 0)}"
        )
        if body["deadline-ms"] <= self.clock_ms():
            return self.answer(409, "late")
        self.extend(body["deadline-ms"])
        if (name, number) in self.runs:
            return self.answer(200)
        if number <= self.highest.get(name, 0):
            return self.answer(409, "old")
        spec = json.loads(body["spec"])
        if sum(1 for _ in self.runs) * int(spec.get("gpu", 8)) + int(spec.get("gpu", 8)) > 8:
            return self.answer(409, "room")
        if self.fails_all:
            spec = {**spec, "work_s": FAIL_AFTER_S, "how": "failed", "lasts": False}
        run = self.runs[(name, number)] = Run(name, number, spec, time.monotonic())
        self.pool.starts.append((self.pool.record.now(), self.wid, name, number))
        self.pool.record.line(f"worker {self.wid} ({self.machine}) runs {name} run={number}")
        if run.gang:
            self.advance()
        return self.answer(200)

    def stop_run(self, body: dict) -> Response:
        name, number = body["task"], body["run"]
        self.pool.record.line(f"worker {self.wid} order stop {name} run={number}")
        self.highest[name] = max(self.highest.get(name, 0), number)
        run = self.runs.get((name, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return self.answer(200)

    async def hold(self, body: dict) -> Response:
        if body.get("deadline-ms") is not None:
            self.extend(body["deadline-ms"])
        self.ended = [row for row in self.ended if row[0] > body.get("last-seen", 0)]
        if body.get("wait-ms") and not self.ended:
            self.changed.clear()
            try:
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.up:
            raise asyncio.CancelledError
        now = time.monotonic()
        rows = [[run.name, run.number, "", run.percent(now), 0] for run in self.runs.values()]
        answer = {"clock-ms": self.clock_ms(), "running": rows, "ended": self.ended[:500]}
        return Response(200, json.dumps(answer).encode())


class Pool:
    """The machines of one service and their workers."""

    def __init__(self, store: Store, record: Record) -> None:
        self.store = store
        self.record = record
        self.workers: dict[str, Worker] = {}
        self.states: dict[str, str] = {}
        self.max_hold_s = 6.0
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        self._places: dict[str, tuple[str, str, str]] = {}
        self._count = 0

    async def add(self, machine: str, zone: str, rack: str, kind: str = "a") -> Worker:
        self._places[machine] = (zone, rack, kind)
        self._count += 1
        worker = Worker(self, machine, zone, rack, f"i-{self._count:04x}-{machine}")
        worker.kind = kind
        self.workers[machine] = worker
        self.states[machine] = "up"
        await worker.start()
        self.record.line(f"machine {machine} is up with worker {worker.wid}")
        return worker

    async def bring_back(self, machine: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.add(machine, *self._places[machine])

    def members(self, run: Run) -> list[Run]:
        step = run.name.rpartition(".")[0]
        return [
            each
            for worker in self.workers.values()
            for each in worker.runs.values()
            if each.number == run.number and each.name.rpartition(".")[0] == step
        ]


class Machines:
    """The platform's calls for whole machines; `require-fence` is false."""

    def __init__(self, pool: Pool, record: Record) -> None:
        self.pool = pool
        self.record = record
        self.waves: dict[int, list[str]] = {}
        self.done: set[tuple[str, int]] = set()
        self.orders: list[tuple[float, str, str, int, str]] = []
        self.begun: list[tuple[float, str, int, int]] = []
        self._tasks: set[asyncio.Task] = set()
        self.server = HttpServer(self.handle)

    async def start(self) -> str:
        await self.server.start("127.0.0.1", 0)
        return f"127.0.0.1:{self.server.port}"

    async def handle(self, request: Request) -> Response:
        await asyncio.sleep(0.004)
        if request.path == "/api/machines":
            rows = [
                {"machine": name, "pool": SERVICE, "state": self.pool.states[name],
                 "zone": worker.zone, "labels": [worker.kind, worker.rack],
                 "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": 8}, "id": worker.wid}
                for name, worker in self.pool.workers.items()
            ]
            return Response(200, json.dumps({"machines": rows, "next-token": None}).encode())
        if request.path != "/api/machine-upkeep":
            return Response(404)
        body = json.loads(request.body)
        holder = request.headers.get("saddlestack-lease-holder", "")
        fence = int(request.headers.get("saddlestack-fence-token", "0"))
        status, reason = self._upkeep(body["machine"], body["wave"])
        self.orders.append((self.record.now(), body["machine"], holder, fence, reason or "200"))
        self.record.line(
            f"machines: upkeep of {body['machine']} wave={body['wave']} holder={holder} "
            f"fence={fence} -> {status} {reason}"
        )
        return Response(status, json.dumps({"reason": reason} if reason else {}).encode())

    def _upkeep(self, machine: str, wave: int) -> tuple[int, str]:
        if machine not in self.pool.workers:
            return 400, ""
        if machine not in self.waves.get(wave, ()):
            return 409, "wave"
        if (machine, wave) in self.done:
            return 200, ""
        if self.pool.states[machine] != "up":
            return 409, "busy"
        self.done.add((machine, wave))
        down = sum(
            1 for name, state in self.pool.states.items()
            if state == "upkeep" and name in self.waves[wave]
        )
        self.begun.append((self.record.now(), machine, wave, down))
        self.pool.states[machine] = "upkeep"
        self.pool.workers[machine].die()
        self._spawn(self.pool.bring_back(machine, MOVED_S))
        return 200, ""

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class Daemon:
    """One entry VM as a process of its own."""

    def __init__(self, name: str, zone: str, folder: Path, store: str, more: dict, max_hold_s: float) -> None:
        self.name = name
        self.zone = zone
        base = free_ports(6)
        self.port = base
        self.ready_port = base + 1
        self.more = more
        self.store = store
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None
        settings = {
            "vm": name,
            "data_hall": zone,
            "clients": f"127.0.0.1:{base}",
            "readiness": f"127.0.0.1:{base + 1}",
            "peer_ports": [base + 2, base + 5],
            "store": store,
            "cores": 2,
            "cpu_share": 0.537,
            "link_mbps": 1000.0,
            "scheduling": {"worker_speeds": True, "last_attempt_wait_s": 1.5},
            "timings": {
                "configuration_apply_ms": 2000, "longest_hold_ms": int(max_hold_s * 1000), "grace_s": 6,
                "status_s": 120, "machine_lease_ms": 3000, "upkeep_s": 2,
            },
            **more,
        }
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        command = roles["entry"]["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SADDLESTACK_SETTINGS"] = str(self.settings)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        client = HttpClient("127.0.0.1", self.ready_port)
        try:
            return (await client.request("GET", "/api/ready", timeout=0.5)).status == 200
        except (NotSent, AnswerLost):
            return False
        finally:
            client.close()


class Site:
    """A small deployment: some entry VMs, the store, workers, and the machines' interface."""

    def __init__(self, record_path: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="saddlestack-review-"))
        self.record = Record(record_path)
        self.store = Store()
        self.pool = Pool(self.store, self.record)
        self.machines = Machines(self.pool, self.record)
        self.daemons: dict[str, Daemon] = {}
        self.leaders: list[tuple[float, str, int]] = []
        self.store.state.observers.append(self._observe)
        self._expiry: asyncio.Task | None = None

    def _observe(self, revision: int, item) -> None:
        if item.key == LEADER_KEY:
            vm = json.loads(item.value)["vm"] if item.revision else ""
            self.leaders.append((self.record.now(), vm, revision))
            self.record.line(f"store: leader key {'written by ' + vm if vm else 'removed'} rev={revision}")

    @property
    def leader(self) -> str:
        return self.leaders[-1][1] if self.leaders else ""

    def configure(self, version: int = 1) -> None:
        routes = [
            {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": "unsafe",
             "timeout-ms": 3000, "target-latency-ms": 1000, "priority": priority,
             "service": SERVICE, "max-attempts": 4, "stretch": 3.0, "no-auth": False}
            for name, priority in (("urgent", 0), ("normal", 1), ("bulk", 2))
        ]
        document = {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "health-path": "/healthz", "max-conns": 64,
                          "protocol": "h1", "tls": False, "admission-check": True}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "depots", "api-keys": [KEY], "guaranteed": {"gpu": 16}}],
        }
        self.store.state.put("op/config", json.dumps(document).encode())

    async def start(self, vms: int, machines: int, special: int = 0) -> None:
        """Start all; the first `special` machines are of kind b, all others of kind a."""
        self.configure()
        self._expiry = asyncio.get_running_loop().create_task(self._expire())
        address = await self.machines.start()
        for number in range(machines):
            zone = HALLS[number % len(HALLS)]
            kind = "b" if number < special else "a"
            await self.pool.add(f"m-{number + 1}", zone, f"r{number % len(HALLS) + 1}-1", kind)
        for number in range(vms):
            name = f"front-{HALLS[number % len(HALLS)]}-{number // len(HALLS) + 1}"
            store = await self.store.serve(name)
            daemon = Daemon(name, HALLS[number % len(HALLS)], self.folder, store, {"machines": address}, self.pool.max_hold_s)
            self.daemons[name] = daemon
            await daemon.start()
        await self.until(self._all_ready, 20.0)
        await asyncio.sleep(1.0)
        self.record.line(f"all {vms} entry VMs are ready; the leader is {self.leader}")

    async def _all_ready(self) -> bool:
        ready = [await each.is_ready() for each in self.daemons.values()]
        return all(ready) and bool(self.leader)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self.store.expire()

    async def until(self, holds, timeout_s: float) -> bool:
        """Wait until a condition holds; whether it did in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    found = holds()
                    if asyncio.iscoroutine(found):
                        found = await found
                    if found:
                        return True
                    await asyncio.sleep(0.02)
        except TimeoutError:
            return False

    async def call(self, vm: str, method: str, path: str, body=None, deadline_s: float = 3.0):
        """A client's call; returns (status, body), status 0 without an answer."""
        client = HttpClient("127.0.0.1", self.daemons[vm].port)
        headers = (
            ("saddlestack-credential", KEY),
            ("saddlestack-deadline-ms", str(int(deadline_s * 1000))),
        )
        try:
            response = await client.request(
                method, path, body, timeout=deadline_s, headers=headers, host=HOST
            )
            status, text = response.status, response.body.decode()
        except (NotSent, AnswerLost) as error:
            status, text = 0, type(error).__name__
        finally:
            client.close()
        self.record.line(f"client {method} {path} at {vm} -> {status} {text[:120]}")
        return status, text

    def write_wave(self, number: int, machines: list[str], deadline_s: float, most: int) -> None:
        self.machines.waves[number] = machines
        wave = {"wave": number, "machines": machines, "deadline-s": deadline_s, "max-tasks": most}
        self.store.state.put(f"op/wave/{number}", json.dumps(wave).encode())
        self.record.line(f"operator: op/wave/{number} {json.dumps(wave)}")

    def wave_status(self, number: int) -> str:
        item = self.store.state.item(f"status/wave/{number}")
        return json.loads(item.value)["state"] if item.revision else ""

    async def stop(self) -> None:
        for daemon in self.daemons.values():
            await daemon.end()
        if self._expiry is not None:
            self._expiry.cancel()
        for worker in self.pool.workers.values():
            worker.up = False
            worker.server.abort()
        for server in (*self.store.servers, self.machines.server):
            server.abort()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def play(record_path: Path, scenario) -> int:
    """Play a scenario against a site; returns the exit code."""
    site = Site(record_path)
    try:
        async with asyncio.timeout(110):
            code = await scenario(site)
    except Exception as error:  # the case could not run
        site.record.line(f"could not run: {type(error).__name__}: {error}")
        code = 2
    finally:
        await site.stop()
    site.record.line(f"exit {code}")
    return code
