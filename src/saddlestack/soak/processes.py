"""The entry VMs of a soak as processes of the operating system."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from saddlestack.standins.ports import LOOPBACK, free_ports

GRACE_S = 6.0
PORTS_A_VM = 4


@dataclass(slots=True)
class EntryProcess:
    """One entry VM: its settings file and its present process."""

    name: str
    folder: Path
    store_port: int
    port: int = 0
    process: asyncio.subprocess.Process | None = None
    changing: asyncio.Lock = field(default_factory=asyncio.Lock)

    def write_settings(self) -> None:
        """Choose ports and write the settings file."""
        self.port = free_ports(PORTS_A_VM)
        settings = {
            "vm": self.name,
            "data_hall": "hall-1",
            "clients": f"{LOOPBACK}:{self.port}",
            "readiness": f"{LOOPBACK}:{self.port + 1}",
            "peer_ports": [self.port + 2, self.port + 3],
            "store": f"{LOOPBACK}:{self.store_port}",
            "timings": {
                "longest_hold_ms": 4000,
                "grace_s": GRACE_S,
                "status_s": 120,
            },
        }
        self._settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process; its log goes to a file beside its settings."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "saddlestack.cli.main",
                "entry",
                "--settings",
                str(self._settings),
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill_and_restart(self, pause_s: float) -> None:
        """SIGKILL, and a new life after a pause.

        A VM has one process at a time: restarts of one VM follow each other.
        """
        async with self.changing:
            self.send(signal.SIGKILL)
            await self._ended()
            await asyncio.sleep(pause_s)
            await self.start()

    async def stop_and_restart(self) -> None:
        """SIGTERM, SIGKILL after the grace, and a new life."""
        async with self.changing:
            self.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_S):
                    await self._ended()
            except TimeoutError:
                self.send(signal.SIGKILL)
                await self._ended()
            await self.start()

    async def freeze(self, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after a while."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)

    async def end(self) -> None:
        """End the process for good."""
        async with self.changing:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._ended()

    async def _ended(self) -> None:
        if self.process is not None:
            await self.process.wait()

    @property
    def _settings(self) -> Path:
        return self.folder / f"{self.name}.json"
