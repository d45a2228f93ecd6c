"""The entry VMs of a soak as processes of the operating system."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import saddlestack
from saddlestack.soak.shape import ShapeTimes

CLIENTS_PORT = 7100
"""Ports below those that the system gives to outgoing connections: a restarted VM finds its own
free. Every VM has a loopback address to itself."""
READINESS_PORT = 7101
PEER_PORTS = (7102, 7103)
STRONG_LINK_MBPS = 200.0
WEAK_LINK_MBPS = 10.0
STRONG_CORES = 2.15
WEAK_CORES = 0.516
SLOW_PERIOD_S = 0.05
LAUNCHER = Path(__file__).with_name("launcher.py")
OWN_SOURCES = Path(saddlestack.__file__).parent.parent


@dataclass(frozen=True, slots=True)
class Program:
    """The sources that entry VMs run.

    :param src: a folder with the package, by default that of this process.
    """

    src: Path = OWN_SOURCES

    @property
    def environment(self) -> dict[str, str]:
        """The environment of an entry VM's process; its script's folder is no place of modules."""
        return {**os.environ, "PYTHONPATH": str(self.src), "PYTHONSAFEPATH": "1"}

    @property
    def has_heartbeat_setting(self) -> bool:
        """Whether its settings have the time between workers' heartbeats; older ones do not."""
        settings = self.src / "saddlestack" / "control" / "settings.py"
        return "worker_heartbeat_ms" in settings.read_text(encoding="utf-8")


OWN_PROGRAM = Program()


@dataclass(frozen=True, slots=True)
class EntrySite:
    """Where an entry VM stands.

    :param address: its own loopback address.
    :param strong: its processor and link let it lead well.
    """

    name: str
    hall: str
    address: str
    strong: bool = True


@dataclass(slots=True)
class EntryProcess:
    """One entry VM: its settings file and its present process."""

    site: EntrySite
    folder: Path
    store: str
    times: ShapeTimes
    program: Program = OWN_PROGRAM
    process: asyncio.subprocess.Process | None = None
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _holds: int = 0
    _slept_s: float = 0.0

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.site.name

    @property
    def log(self) -> Path:
        """The log of all its lives."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int | None:
        """Its present process, if it has one."""
        if self.process is None or self.process.returncode is not None:
            return None
        return self.process.pid

    def write_settings(self) -> None:
        """Write the settings file."""
        site = self.site
        timings: dict[str, float] = {
            "longest_hold_ms": self.times.lease_s * 1000,
            "grace_s": self.times.grace_s,
            "status_s": self.times.status_s,
        }
        if self.program.has_heartbeat_setting:
            timings["worker_heartbeat_ms"] = self.times.heartbeat_s * 1000
        settings = {
            "vm": site.name,
            "data_hall": site.hall,
            "clients": f"{site.address}:{CLIENTS_PORT}",
            "readiness": f"{site.address}:{READINESS_PORT}",
            "peer_ports": PEER_PORTS,
            "store": self.store,
            "cores": STRONG_CORES if site.strong else WEAK_CORES,
            "link_mbps": STRONG_LINK_MBPS if site.strong else WEAK_LINK_MBPS,
            "timings": timings,
        }
        self._settings.write_text(json.dumps(settings))
        self.block_addresses(())

    def block_addresses(self, addresses: Iterable[str]) -> None:
        """Let nothing pass to or from these addresses, from now on."""
        self._write(self._cuts, "\n".join(sorted(addresses)))

    def _write(self, file: Path, text: str) -> None:
        """Write a file that the process reads, whole or not at all."""
        new = file.with_suffix(f"{file.suffix}.new")
        new.write_text(text)
        new.replace(file)

    async def start(self) -> None:
        """Start the process; its log goes to a file beside its settings."""
        self._holds = 0
        self._slept_s = 0.0
        self._write(self._slept, "0")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(LAUNCHER),
                str(self._settings),
                str(self._cuts),
                str(self._slept),
                stdout=log,
                stderr=log,
                env=self.program.environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill_and_restart(self, pause_s: float) -> None:
        """SIGKILL, and a new life after a pause.

        A VM has one process at a time: restarts of one VM follow each other.
        """
        async with self.restart_lock:
            self.send(signal.SIGKILL)
            await self._ended()
            await asyncio.sleep(pause_s)
            await self.start()

    async def stop_and_restart(self) -> None:
        """SIGTERM, SIGKILL after the grace, and a new life."""
        async with self.restart_lock:
            self.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(self.times.grace_s):
                    await self._ended()
            except TimeoutError:
                self.send(signal.SIGKILL)
                await self._ended()
            await self.start()

    async def freeze(self, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after a while."""
        held = self.pause()
        await asyncio.sleep(seconds)
        self.resume(held)

    async def suspend(self, seconds: float) -> None:
        """As :meth:`freeze`, and the event loop of the process does not count the time."""
        loop = asyncio.get_running_loop()
        began_s, held = loop.time(), self.pause()
        await asyncio.sleep(seconds)
        if held is self.process:
            self._slept_s += loop.time() - began_s
            self._write(self._slept, f"{self._slept_s:.6f}")
        self.resume(held)

    async def slow(self, seconds: float, share: float) -> None:
        """SIGSTOP and SIGCONT in turn, many times a second.

        :param share: of the time, for which the process may run.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await self.freeze(SLOW_PERIOD_S * (1 - share))
            await asyncio.sleep(SLOW_PERIOD_S * share)

    def pause(self) -> asyncio.subprocess.Process | None:
        """Stop the process until it is released as often as it is held.

        :return: the life that is held, for :meth:`resume`.
        """
        self._holds += 1
        if self._holds == 1:
            self.send(signal.SIGSTOP)
        return self.process

    def resume(self, held: asyncio.subprocess.Process | None) -> None:
        """Let a life that was held go on; a later one does not stand still."""
        if held is not self.process:
            return
        self._holds -= 1
        if not self._holds:
            self.send(signal.SIGCONT)

    async def end(self) -> None:
        """End the process for good."""
        async with self.restart_lock:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._ended()

    async def _ended(self) -> None:
        if self.process is not None:
            await self.process.wait()

    @property
    def _settings(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def _slept(self) -> Path:
        return self.folder / f"{self.name}.slept"

    @property
    def _cuts(self) -> Path:
        return self.folder / f"{self.name}.cuts"
