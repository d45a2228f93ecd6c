"""A process that simulates some of a soak's workers: ``python -m saddlestack.soak.host SETTINGS``.

It serves until its stream to the soak ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

import msgspec

from saddlestack.soak.machine import HostContext, Machine
from saddlestack.soak.messages import (
    Command,
    GangEnded,
    GangMoved,
    HostHello,
    HostLoad,
    HostReady,
    HostSettings,
    ToHost,
)
from saddlestack.soak.stream import MessageStream
from saddlestack.soak.worker_incarnation import WorkerIncarnation
from saddlestack.standins.ports import LOOPBACK
from saddlestack.wire.http import HttpClient

LAG_SAMPLE_S = 0.02
"""Interval between samples of the event loop's lag."""
LOAD_INTERVAL_S = 1.0
"""Interval between reports of the load."""


class WorkerHost:
    """All machines of one process.

    :param stream: the connection to the soak.
    """

    def __init__(self, settings: HostSettings, stream: MessageStream) -> None:
        self._settings = settings
        self._stream = stream
        self._calls = 0
        address, _, port = settings.store.rpartition(":")
        self._store = HttpClient(address, int(port))
        context = HostContext(
            settings.times, settings.service, self._store, stream.write, self._count_call
        )
        self._machines = {
            machine.name: Machine(
                machine, context, random.Random(f"{settings.seed} {machine.name}")
            )
            for machine in settings.machines
        }

    async def run(self) -> None:
        """Serve until the stream ends."""
        self._stream.write(HostHello(self._settings.number))
        load_task = asyncio.get_running_loop().create_task(self._report_load())
        try:
            for machine in self._machines.values():
                await machine.start()
            self._stream.write(HostReady(self._settings.number))
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    self._receive(await self._stream.read())
        finally:
            load_task.cancel()
            for machine in self._machines.values():
                await machine.stop()
            self._store.close()

    def _receive(self, message: Command | GangMoved | GangEnded) -> None:
        if isinstance(message, GangMoved):
            for machine in self._machines.values():
                machine.gang_moved(message)
        elif isinstance(message, GangEnded):
            for machine in self._machines.values():
                machine.gang_ended(message)
        else:
            for name in message.machines:
                if name in self._machines:
                    self._machines[name].apply(message)

    def _count_call(self) -> None:
        self._calls += 1

    async def _report_load(self) -> None:
        """Report the host's load and the maximum lag of its event loop at each interval."""
        loop = asyncio.get_running_loop()
        while True:
            lag_s = 0.0
            until = loop.time() + LOAD_INTERVAL_S
            while loop.time() < until:
                due = loop.time() + LAG_SAMPLE_S
                await asyncio.sleep(LAG_SAMPLE_S)
                lag_s = max(lag_s, loop.time() - due)
            self._send_load(lag_s)

    def _send_load(self, lag_s: float) -> None:
        now = asyncio.get_running_loop().time()
        runs = sum(len(incarnation.runs) for incarnation in self._incarnations())
        calls, self._calls = self._calls, 0
        self._stream.write(
            HostLoad(self._settings.number, now, lag_s, runs, calls, time.process_time())
        )

    def _incarnations(self) -> list[WorkerIncarnation]:
        return [
            each.incarnation for each in self._machines.values() if each.incarnation is not None
        ]


async def main(settings: HostSettings) -> None:
    """Simulate the workers of some settings."""
    reader, writer = await asyncio.open_connection(LOOPBACK, settings.parent_port)
    stream = MessageStream(reader, writer, ToHost)
    try:
        await WorkerHost(settings, stream).run()
    finally:
        stream.close()


if __name__ == "__main__":
    data = Path(sys.argv[1]).read_bytes()
    asyncio.run(main(msgspec.json.decode(data, type=HostSettings)))
