"""Runs daemons and stand-ins as separate processes on loopback and reads their resource usage."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from saddlestack.services.access import hash_token
from saddlestack.standins.cluster import OPERATOR_TOKEN, PEER_KEY
from saddlestack.wire.http import HttpClient

PLATFORM = "127.0.1.1"
FIRST_PORT = 20_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Cost:
    """Resources that a process has used so far.

    :param cpu_s: processor seconds.
    :param rss_kb: resident memory in kB.
    """

    cpu_s: float
    rss_kb: int


def read_cost(pid: int) -> Cost:
    """Read the processor time and resident memory of a process from ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(text for text in status.splitlines() if text.startswith("VmRSS"))
    return Cost(cpu, int(line.split()[1]))


class Processes:
    """Starts processes, and ends only those that it started."""

    def __init__(self) -> None:
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self._all: list[subprocess.Popen[bytes]] = []
        self._folder = tempfile.TemporaryDirectory()
        self._next_port = FIRST_PORT + os.getpid() % 20_000
        self.store_port = self._port()
        self.vms_port = self._port()
        self.http: dict[str, HttpClient] = {}
        self._peers: list[dict[str, object]] = []

    def _port(self) -> int:
        self._next_port += 1
        return self._next_port

    async def start_platform(self) -> None:
        """Start the store and the VM list."""
        self._start("standin", "store", "--listen", f"{PLATFORM}:{self.store_port}")
        self._start("standin", "vms", "--listen", f"{PLATFORM}:{self.vms_port}", "--lag", "0.1")
        self.platform = HttpClient(PLATFORM, self.vms_port)
        await _wait_until_answered(self.platform, "/v1/vms")
        self.store = HttpClient(PLATFORM, self.store_port)
        await _wait_until_answered(self.store, "/v1/range?prefix=x")

    async def start_daemon(self, name: str, hall: str, address: str) -> None:
        """Start the daemon of an entry VM and add the VM to the VM list."""
        http, peer = self._port(), self._port()
        settings = {
            "vm": name,
            "data_hall": hall,
            "http": {"address": address, "port": http},
            "peer": {"address": address, "port": peer},
            "store": {"address": PLATFORM, "port": self.store_port},
            "vm_list": {"address": PLATFORM, "port": self.vms_port},
            "peer_key": PEER_KEY,
            "operators": [{"name": "liis", "token_sha256": hash_token(OPERATOR_TOKEN)}],
            "log_level": "error",
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.daemons[name] = self._start("daemon", "--settings", str(path))
        self.http[name] = HttpClient(address, http, token=OPERATOR_TOKEN)
        await _wait_until_answered(self.http[name], "/v1/health")
        await self._add_to_vm_list(
            {
                "name": name,
                "data_hall": hall,
                "role": "entry",
                "address": address,
                "port": http,
                "peer_port": peer,
            }
        )

    async def list_endpoint(self, name: str, hall: str, address: str, port: int) -> None:
        """Add an endpoint that is served elsewhere to the VM list."""
        await self._add_to_vm_list(
            {
                "name": name,
                "data_hall": hall,
                "role": "endpoint",
                "address": address,
                "port": port,
                "peer_port": 0,
            }
        )

    async def _add_to_vm_list(self, entry: dict[str, object]) -> None:
        await self.platform.request("PUT", "/v1/vms", {**entry, "leaving": False}, timeout=10)

    def costs(self) -> dict[str, Cost]:
        """Return the resources that each daemon has used so far."""
        return {name: read_cost(process.pid) for name, process in self.daemons.items()}

    def stop(self) -> None:
        """Kill all processes that were started here and delete their settings."""
        for process in self._all:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._all:
            process.wait()
        self._folder.cleanup()

    def _start(self, *arguments: str) -> subprocess.Popen[bytes]:
        command = [str(Path(sys.executable).parent / "saddlestack"), *arguments]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self._all.append(process)
        return process


async def _wait_until_answered(client: HttpClient, path: str) -> None:
    for _ in range(200):
        try:
            await client.request("GET", path, timeout=2)
            return
        except Exception:
            await asyncio.sleep(0.05)
    raise TimeoutError(path)
