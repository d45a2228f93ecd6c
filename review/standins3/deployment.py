"""A small deployment: entry VMs as processes, and the stand-ins that they need."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from .http import call
from .record import Record
from .store import Store, StoreAddress
from .workers import MachineService, Pool

ROOT = Path(__file__).resolve().parent.parent.parent
HALLS = ["hofn-hall", "laugar-hall", "kopa-hall"]
LEADER = "saddlestack/leader"
SERVICE = "tipledger"
HOST = "pool.example"
KEY = "key-of-the-first-tenant"
FRONT, READY = 8521, 8523
BOUNDS = {
    "config-apply-ms": 2000,
    "grace-s": 6.0,
    "status_s": 120,
    "lease-ms": 3000,
    "maintenance-s": 2.0,
}


class Vm:
    """One entry VM: its settings and its process."""

    def __init__(self, name: str, address: str, hall: str, folder: Path) -> None:
        self.name = name
        self.address = address
        self.hall = hall
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, machines: str, hold_ms: float) -> None:
        """Write what ``deploy/settings.template`` yields for a small deployment."""
        settings = {
            "vm": self.name,
            "data_hall": self.hall,
            "clients": f"{self.address}:{FRONT}",
            "readiness": f"{self.address}:{READY}",
            "peer_ports": [7000, 7015],
            "store": store,
            "cores": 2,
            "cpu_share": 0.537,
            "link_mbps": 1000.0,
            "machines": machines,
            "scheduling": {"worker_speeds": True, "last_attempt_wait_s": 1.5},
            "timings": {
                "configuration_apply_ms": BOUNDS["config-apply-ms"],
                "longest_hold_ms": hold_ms,
                "grace_s": BOUNDS["grace-s"],
                "status_s": BOUNDS["status_s"],
                "machine_lease_ms": BOUNDS["lease-ms"],
                "upkeep_s": BOUNDS["maintenance-s"],
            },
        }
        (self.folder / f"{self.name}.conf").write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SADDLESTACK_SETTINGS": str(self.folder / f"{self.name}.conf"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/entry.py", cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def call(
        self, method: str, path: str, body: object = None, timeout_s: float = 3.0
    ) -> tuple[int, object]:
        """Call the VM as a client."""
        headers = {
            "Host": HOST,
            "Saddlestack-Credential": KEY,
            "Saddlestack-Deadline-Ms": str(round(timeout_s * 1000)),
        }
        return await call(
            self.address, FRONT, method, path, body=body, headers=headers, timeout_s=timeout_s
        )

    async def is_ready(self) -> bool:
        """Whether the VM takes connections."""
        status, _ = await call(self.address, READY, "GET", "/api/ready", timeout_s=0.5)
        return status == 200


class Deployment:
    """Entry VMs, store, workers and the service for machines, all on loopback addresses."""

    def __init__(self, case: Path, vms: int = 6, machines: int = 8, hold_ms: float = 6000) -> None:
        self.record = Record(case / "record.txt")
        self.store = Store()
        self.pool: Pool
        self.machine_service: MachineService
        self.vms: list[Vm] = []
        self.addresses: dict[str, StoreAddress] = {}
        self.waves: dict[int, list[str]] = {}
        self._counts = (vms, machines)
        self._hold_ms = hold_ms
        self._folder = tempfile.TemporaryDirectory(prefix="saddlestack-review-")
        self._tasks: list[asyncio.Task[None]] = []
        # An address block of its own, so that the ports are free.
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    async def __aenter__(self) -> Deployment:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        folder = Path(self._folder.name)
        loop = asyncio.get_running_loop()
        self.pool = Pool(self.store, self.record, SERVICE, self._hold_ms)
        self.machine_service = MachineService(self.pool, self.record, self.waves)
        cloud = f"{self._net}.250"
        cloud_port = await self.machine_service.server.start(cloud, 0)
        vms, machines = self._counts
        for number in range(machines):
            hall = number % len(HALLS)
            address = f"{self._net}.{100 + number}"
            await self.pool.add(f"m{number + 1}", address, HALLS[hall], f"r{hall + 1}-1")
        self.store.put("op/config", self.configuration(1))
        for number in range(vms):
            hall = HALLS[number % len(HALLS)]
            vm = Vm(f"front-{hall}-{number // 3 + 1}", f"{self._net}.{10 + number}", hall, folder)
            address = StoreAddress(self.store, vm.name)
            port = await address.server.start(f"{self._net}.{200 + number}", 0)
            vm.write_settings(
                f"{self._net}.{200 + number}:{port}", f"{cloud}:{cloud_port}", self._hold_ms
            )
            self.vms.append(vm)
            self.addresses[vm.name] = address
        self._tasks = [loop.create_task(self.store.run()), loop.create_task(self.pool.run())]
        for vm in self.vms:
            await vm.start()

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(vm.end() for vm in self.vms))
        for task in self._tasks:
            task.cancel()
        for address in self.addresses.values():
            address.server.stop()
        if hasattr(self, "machine_service"):
            self.machine_service.server.stop()
            for machine in self.pool.machines.values():
                machine.stop()
        if os.environ.get("KEEP_LOGS"):
            for vm in self.vms:
                print(f"== {vm.name}\n{(vm.folder / f'{vm.name}.log').read_text()}")
        self._folder.cleanup()

    @staticmethod
    def configuration(version: int) -> dict[str, object]:
        """The operator's configuration: three queues of one service, one tenant."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "path-prefix": f"/{name}/",
                "service": SERVICE,
                "priority": priority,
                "max-attempts": 3,
                "stretch": 3.0,
                "target-latency-ms": 1000,
                "timeout-ms": 3000,
            }
            for priority, name in enumerate(("urgent", "normal", "bulk"))
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "admission-check": True}],
            "tenants": [{"name": "first", "api-keys": [KEY], "guaranteed": {"gpu": 16}}],
            "limits": {"max-body-bytes": 262144},
        }

    @property
    def leader(self) -> str:
        """The VM that the leader key in the store names; empty if there is none."""
        item = self.store.items.get(LEADER)
        return "" if item is None else str(json.loads(item.value)["vm"])

    def vm(self, name: str) -> Vm:
        """The VM of a name."""
        return next(vm for vm in self.vms if vm.name == name)

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all VMs are ready and one leads."""
        async with asyncio.timeout(limit_s):
            while not (self.leader and all([await vm.is_ready() for vm in self.vms])):
                await asyncio.sleep(0.1)
        self.record.note("script", "ready", leader=self.leader)
        return True

    async def submit(self, queue: str, job: str, body: object, vms: list[Vm] | None = None) -> bool:
        """Hand a job in, at another VM after each failure; whether it was accepted."""
        for vm in (vms or self.vms) * 2:
            status, _ = await vm.call("POST", f"/{queue}/{job}", body)
            self.record.note("client", "POST", job=job, vm=vm.name, status=status)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, queue: str, job: str, vm: Vm) -> tuple[int, str]:
        """Ask for the state of a job."""
        status, value = await vm.call("GET", f"/{queue}/{job}")
        state = str(value.get("state", "")) if isinstance(value, dict) else ""
        self.record.note("client", "GET", job=job, vm=vm.name, status=status, state=state)
        return status, state


class CannotRun(Exception):
    """The case could not run."""


Case = Callable[[bool], Awaitable[bool]]
LONGEST_S = 110.0


async def _limited(case: Case, trouble: bool) -> bool:
    async with asyncio.timeout(LONGEST_S):
        return await case(trouble)


def main(case: Case) -> None:
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        sys.exit(0 if asyncio.run(_limited(case, trouble)) else 1)
    except KeyboardInterrupt:
        sys.exit(2)
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
