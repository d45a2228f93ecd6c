"""A small deployment: the stand-ins, and the project's daemons as processes.

The daemons are started with the command of ``deploy/system.toml`` and with settings that are filled
into ``deploy/settings.template``. Times are those of the pages' small deployments.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import secrets
import signal
import socket
import tempfile
import tomllib
from pathlib import Path

from http11 import Reply, call, free_port
from store import Store, StorePort
from workers import Machines, Pool

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "config-apply-ms": 2000,
    "max-hold-ms": 10000,
    "grace-s": 6,
    "status_s": 120,
    "lease-ms": 3000,
    "maintenance-s": 2,
}
KEY = "key-of-the-tenant"
HOST = "nony24.example"
SERVICE = "huvo11a"
READY_S = 25.0


class CannotRun(Exception):
    """The case could not be set up."""


def fill(template: str, fields: dict) -> str:
    """Fill a settings template as the platform does, for what the project's template uses."""

    def value(name: str) -> object:
        found: object = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    text = section.sub(lambda m: m[2] if value(m[1]) not in (None, False, "") else "", template)

    def gap(match: re.Match) -> str:
        name, _, form = match[1].partition("|")
        found = value(name)
        if form == "json":
            return json.dumps(found)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", gap, text)


class Daemon:
    """One entry process, with a loopback address and an address of the store of its own."""

    def __init__(self, deployment: Deployment, name: str, zone: str, host: str) -> None:
        self._deployment = deployment
        self.name = name
        self.zone = zone
        self.host = host
        self.store = StorePort(deployment.store, "127.0.0.1")
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start a process with the settings of this daemon."""
        deployment = self._deployment
        if not self.store.server.port:
            await self.store.server.start()
        fields = {
            "node": self.name,
            "zone": self.zone,
            "listen": {"front": self.front, "ready": self.ready},
            "port-range": [7000, 7015],
            "platform": {"address": self.store.server.address},
            "cloud": {"address": deployment.machines.server.address},
            "limits": {"cores": 2, "cpu-share": 0.537, "link-mbps": 1000.0},
            "bounds": BOUNDS,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        settings = deployment.folder / f"{self.name}.conf"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["SADDLESTACK_SETTINGS"] = str(settings)
        with (deployment.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        return (await call(self.ready, "GET", "/api/ready", timeout=1.0)).status == 200


class Deployment:
    """The platform, the workers and the daemons of one case.

    :param queues: what the configuration says of each queue, by name; its path prefix is
        ``/NAME/``.
    :param guaranteed: accelerators that the tenant owns for jobs of priority 0.
    """

    def __init__(self, folder: Path, queues: dict[str, dict], guaranteed: int) -> None:
        self.folder = folder
        self._queues = queues
        self._guaranteed = guaranteed
        base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._hosts = (f"{base}.{number}" for number in range(2, 250))
        self.store = Store()
        self.pool = Pool(self.store, next(self._hosts), SERVICE, BOUNDS["max-hold-ms"] / 1000)
        self.waves: dict[int, set] = {}
        self.machines = Machines(self.pool, "127.0.0.1", BOUNDS["maintenance-s"], self.waves)
        self.daemons: list[Daemon] = []
        self.answers: dict[str, Reply] = {}

    async def start(self, daemons: int, workers: int, capacity: tuple[int, int, int]) -> None:
        """Start the stand-ins, then the daemons, and wait until all are ready."""
        await self.machines.server.start()
        self._configure()
        self.pool.spawn(self.pool.tick())
        for number in range(workers):
            zone = f"zone-{number % 2 + 1}"
            await self.pool.add(f"m-{number + 1}", f"r-{number % 2 + 1}", zone, capacity)
        for number in range(daemons):
            host = next(self._hosts)
            daemon = Daemon(self, f"front-{number + 1}", f"zone-{number % 2 + 1}", host)
            self.daemons.append(daemon)
            await daemon.start()
        for _ in range(int(READY_S / 0.1)):
            if all([await daemon.is_ready() for daemon in self.daemons]) and self.leader():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons did not become ready")

    def _configure(self) -> None:
        routes = [
            {
                "name": name,
                "host": HOST,
                "path-prefix": f"/{name}/",
                "service": SERVICE,
                "max-attempts": 4,
                "stretch": 3.0,
                "target-latency-ms": 3000,
                "timeout-ms": 3000,
                **queue,
            }
            for name, queue in self._queues.items()
        ]
        document = {
            "version": 3,
            "routes": routes,
            "services": [{"name": SERVICE, "admission-check": True}],
            "tenants": [
                {"name": "tenant-1", "api-keys": [KEY], "guaranteed": {"gpu": self._guaranteed}}
            ],
            "limits": {"max-body-bytes": 262144},
        }
        self.store.put("op/config", json.dumps(document).encode())

    def leader(self) -> Daemon | None:
        """The daemon that the leader key in the store names, if there is one."""
        self.store.expire()
        item = self.store.items.get("saddlestack/leader")
        name = json.loads(item.value).get("vm") if item else None
        return next((daemon for daemon in self.daemons if daemon.name == name), None)

    async def submit(
        self, queue: str, spec: dict, steps: list[dict], daemon: int = 0, **times: int
    ) -> str:
        """Hand in a job, as often as needed, until it is accepted; returns its id."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps, **times}
        for attempt in range(20):
            front = self.daemons[(daemon + attempt) % len(self.daemons)].front
            reply = await call(front, "POST", f"/{queue}/{job_id}", body, self._headers())
            self.pool.log("submit", queue=queue, job=job_id, **body, answer=reply.status)
            if reply.status == 200:
                return job_id
            await asyncio.sleep(0.3)
        raise CannotRun("a job was not accepted")

    async def state(self, queue: str, job_id: str, daemon: int = 0) -> str:
        """A job's state, or the status of the answer."""
        front = self.daemons[daemon].front
        reply = await call(front, "GET", f"/{queue}/{job_id}", None, self._headers())
        answer = str(reply.body.get("state", reply.status))
        self.pool.log("state", queue=queue, job=job_id, answer=answer)
        return answer

    async def cancel(self, queue: str, job_id: str) -> None:
        """Cancel a job, as often as needed, until that is acknowledged."""
        for attempt in range(20):
            front = self.daemons[attempt % len(self.daemons)].front
            reply = await call(front, "DELETE", f"/{queue}/{job_id}", None, self._headers())
            self.pool.log("cancel", queue=queue, job=job_id, answer=reply.status)
            if reply.status in (200, 410):
                return
            await asyncio.sleep(0.3)
        raise CannotRun("a job was not cancelled")

    async def pending(self, queue: str, daemon: int = 0) -> int | None:
        """How many jobs of a queue a daemon gives as pending; ``None`` if it gives no number."""
        front = self.daemons[daemon].front
        reply = await call(front, "GET", f"/{queue}/", None, self._headers())
        self.pool.log("pending", queue=queue, answer=reply.status, body=reply.body)
        return reply.body.get("pending") if reply.status == 200 else None

    def _headers(self) -> dict[str, str]:
        return {
            "host": HOST,
            "content-type": "application/json",
            "saddlestack-credential": KEY,
            "saddlestack-deadline-ms": "3000",
        }

    def start_wave(self, wave: int, machines: list[str], deadline_s: float, most: int) -> None:
        """Write an operator's wave of upkeep."""
        self.waves[wave] = set(machines)
        document = {
            "wave": wave,
            "machines": machines,
            "deadline-s": deadline_s,
            "max-tasks": most,
        }
        self.pool.log("wave", **document)
        self.store.put(f"op/wave/{wave}", json.dumps(document).encode())

    def runs_of(self, job_id: str) -> list:
        return [run for run in self.pool.runs if run.task.startswith(f"{job_id}.")]

    async def close(self) -> None:
        """End all processes that were started."""
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))


def run_case(play, record: Path, queues: dict[str, dict], guaranteed: int = 16) -> int:
    """Play a case, write its record and return the exit code.

    :param play: a coroutine function that takes the deployment and returns what broke the rule.
    """

    async def main(folder: Path) -> tuple[Deployment, list[str]]:
        deployment = Deployment(folder, queues, guaranteed)
        try:
            async with asyncio.timeout(110):
                return deployment, await play(deployment)
        finally:
            await deployment.close()

    if not hasattr(socket, "AF_INET"):
        return 2
    with tempfile.TemporaryDirectory() as name:
        try:
            deployment, broken = asyncio.run(main(Path(name)))
        except (CannotRun, OSError, TimeoutError) as error:
            record.write_text(f"could not run: {type(error).__name__}: {error}\n")
            print(f"could not run: {error}")
            return 2
        lines = [json.dumps(each) for each in deployment.pool.records]
        verdict = [f"broken: {each}" for each in broken] or ["held"]
        record.write_text("\n".join([*lines, *verdict]) + "\n")
        for line in verdict:
            print(line)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            with contextlib.suppress(OSError):
                for log in Path(name).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    return 1 if broken else 0
