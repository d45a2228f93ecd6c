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

import msgspec

import saddlestack
from saddlestack.control.settings import Scheduling
from saddlestack.soak.shape import ShapeTimes

CLIENTS_PORT = 7100
"""The ports are below the range for outgoing connections, so that they are still free when a VM
restarts. Every VM has a loopback address of its own."""
READINESS_PORT = 7101
PEER_PORTS = (7102, 7103)
STRONG_LINK_MBPS = 200.0
WEAK_LINK_MBPS = 10.0
STRONG_CORES = 2.15
WEAK_CORES = 0.516
SLOWDOWN_PERIOD_S = 0.05
LAUNCHER = Path(__file__).with_name("launcher.py")
OWN_SOURCES = Path(saddlestack.__file__).parent.parent


@dataclass(frozen=True, slots=True)
class Program:
    """The version of the package that entry VMs run.

    :param src: the folder that contains the package, by default that of this process.
    """

    src: Path = OWN_SOURCES

    @property
    def environment(self) -> dict[str, str]:
        """The environment of an entry VM's process.

        ``PYTHONSAFEPATH`` keeps the folder of the launcher script off the module path.
        """
        return {**os.environ, "PYTHONPATH": str(self.src), "PYTHONSAFEPATH": "1"}

    @property
    def has_heartbeat_setting(self) -> bool:
        """Whether this version has the setting for the workers' heartbeat; older ones do not."""
        settings = self.src / "saddlestack" / "control" / "settings.py"
        return "worker_heartbeat_ms" in settings.read_text(encoding="utf-8")


OWN_PROGRAM = Program()


@dataclass(frozen=True, slots=True)
class EntrySite:
    """The location and capability of an entry VM.

    :param address: the VM's own loopback address.
    :param strong: whether its processor and link are suited to a leader.
    """

    name: str
    hall: str
    address: str
    strong: bool = True


@dataclass(slots=True)
class EntryProcess:
    """One entry VM: its settings file and its current process."""

    site: EntrySite
    folder: Path
    store: str
    times: ShapeTimes
    program: Program = OWN_PROGRAM
    scheduling: Scheduling = field(default_factory=Scheduling)
    process: asyncio.subprocess.Process | None = None
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _pause_count: int = 0
    _suspended_s: float = 0.0

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.site.name

    @property
    def log(self) -> Path:
        """The log file of the VM, to which each of its processes in turn writes."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int | None:
        """The id of its current process, or ``None`` if none is running."""
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
        if self.scheduling != Scheduling():
            settings["scheduling"] = msgspec.to_builtins(self.scheduling)
        self._settings_file.write_text(json.dumps(settings))
        self.block_addresses(())

    def block_addresses(self, addresses: Iterable[str]) -> None:
        """Block all data to and from these addresses, in place of those blocked before."""
        self._write_atomically(self._cuts_file, "\n".join(sorted(addresses)))

    def _write_atomically(self, file: Path, text: str) -> None:
        """Replace a file that the process reads, so that it never reads a partial one."""
        new = file.with_suffix(f"{file.suffix}.new")
        new.write_text(text)
        new.replace(file)

    async def start(self) -> None:
        """Start the process; its log goes to a file beside its settings."""
        self._pause_count = 0
        self._suspended_s = 0.0
        self._write_atomically(self._slept_file, "0")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(LAUNCHER),
                str(self._settings_file),
                str(self._cuts_file),
                str(self._slept_file),
                stdout=log,
                stderr=log,
                env=self.program.environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill_and_restart(self, pause_s: float) -> None:
        """Send SIGKILL, and start a new process after a pause.

        A VM has one process at a time, so its restarts are serialized.
        """
        async with self.restart_lock:
            self.send(signal.SIGKILL)
            await self._wait_until_ended()
            await asyncio.sleep(pause_s)
            await self.start()

    async def stop_and_restart(self) -> None:
        """Send SIGTERM, then SIGKILL after the grace period, and start a new process."""
        async with self.restart_lock:
            self.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(self.times.grace_s):
                    await self._wait_until_ended()
            except TimeoutError:
                self.send(signal.SIGKILL)
                await self._wait_until_ended()
            await self.start()

    async def freeze(self, seconds: float) -> None:
        """Send SIGSTOP, then SIGCONT after some seconds."""
        paused = self.pause()
        await asyncio.sleep(seconds)
        self.resume(paused)

    async def suspend(self, seconds: float) -> None:
        """Freeze the process; its event loop's clock leaves out the time of the suspension."""
        loop = asyncio.get_running_loop()
        start_s, paused = loop.time(), self.pause()
        await asyncio.sleep(seconds)
        if paused is self.process:
            self._suspended_s += loop.time() - start_s
            self._write_atomically(self._slept_file, f"{self._suspended_s:.6f}")
        self.resume(paused)

    async def slow(self, seconds: float, share: float) -> None:
        """Alternate SIGSTOP and SIGCONT many times a second.

        :param share: the share of the time for which the process runs.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await self.freeze(SLOWDOWN_PERIOD_S * (1 - share))
            await asyncio.sleep(SLOWDOWN_PERIOD_S * share)

    def pause(self) -> asyncio.subprocess.Process | None:
        """Pause the process until it is resumed as often as it was paused.

        :return: the process that is paused, for :meth:`resume`.
        """
        self._pause_count += 1
        if self._pause_count == 1:
            self.send(signal.SIGSTOP)
        return self.process

    def resume(self, paused: asyncio.subprocess.Process | None) -> None:
        """Resume a paused process; has no effect if a newer process has replaced it."""
        if paused is not self.process:
            return
        self._pause_count -= 1
        if not self._pause_count:
            self.send(signal.SIGCONT)

    async def end(self) -> None:
        """Kill the process without a restart."""
        async with self.restart_lock:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._wait_until_ended()

    async def _wait_until_ended(self) -> None:
        if self.process is not None:
            await self.process.wait()

    @property
    def _settings_file(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def _slept_file(self) -> Path:
        return self.folder / f"{self.name}.slept"

    @property
    def _cuts_file(self) -> Path:
        return self.folder / f"{self.name}.cuts"
