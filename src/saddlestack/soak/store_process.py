"""The process that simulates a soak's store: ``python -m saddlestack.soak.store_process SETTINGS``.

It serves until its stream to the soak ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections import deque
from pathlib import Path

import msgspec

from saddlestack.codec import from_json
from saddlestack.control.keys import LEADER
from saddlestack.control.leadership import LeaderRecord
from saddlestack.interfaces.store import Item, StoreUnavailable
from saddlestack.platform import paths
from saddlestack.platform.documents import DOCUMENT_LOCATIONS
from saddlestack.platform.handlers import StoreHandler
from saddlestack.soak.heartbeats import WorkerRecords
from saddlestack.soak.store_link import StoreLink
from saddlestack.soak.store_messages import (
    BeginTrouble,
    Configure,
    Configured,
    EndTrouble,
    ForgetHistory,
    HealAll,
    HoldAtRenewal,
    LapseRecords,
    LoseAnswers,
    ProlongLeases,
    SlowDown,
    StoreLoad,
    StoreReady,
    StoreSettings,
    TermBegan,
    TermEnded,
    ToStore,
    TurnWorkersAway,
    VmHeld,
)
from saddlestack.soak.stream import MessageStream
from saddlestack.standins.network import Link
from saddlestack.standins.pool.store import StoreState, StoreView
from saddlestack.standins.ports import LOOPBACK
from saddlestack.wire.http import Request, Response

WATCH_CHECK_INTERVAL_S = 30.0
"""Watches are silenced by the connections of the links, so the store need not check for that."""
EXPIRY_INTERVAL_S = 0.02
"""Interval at which expired leases are removed; its overrun is the event loop's lag."""
LOAD_INTERVAL_S = 1.0


class VmStore:
    """One VM's view of the store, and its link to it.

    :ivar fault_number: number of the current fault of the link.
    """

    def __init__(
        self, process: StoreProcess, vm: str, rng: random.Random, bandwidth: float | None
    ) -> None:
        self._process = process
        self._vm = vm
        self.view = StoreView(process.state, check_s=WATCH_CHECK_INTERVAL_S)
        self._store_handler = StoreHandler(self.view)
        link = None if bandwidth is None else Link(bandwidth)
        self.link = StoreLink(self._handle, rng, link)
        self.fault_number = 0

    def heal(self) -> None:
        """End all faults."""
        self.fault_number = 0
        self.link.set_fault(None)
        self.view.faults.slow_s = 0.0
        self.view.faults.lose_answers = 0

    async def _handle(self, request: Request) -> Response:
        try:
            response = await self._store_handler.handle(request)
        except StoreUnavailable:
            return Response(503)
        if response.status == 200 and request.path.startswith(paths.KEEP_LEASE):
            self._process.on_lease_renewed(
                self._vm, int(request.path.removeprefix(paths.KEEP_LEASE))
            )
        return response


class StoreProcess:
    """The store, the link of each VM, and the workers' records.

    :param stream: the connection to the soak.
    """

    def __init__(self, settings: StoreSettings, stream: MessageStream) -> None:
        rng = random.Random(settings.seed)
        self._settings = settings
        self._stream = stream
        self._rng = rng
        self.state = StoreState()
        self.state.observers.append(self._report_leader_change)
        self._records = WorkerRecords(self.state, settings.heartbeat_s)
        self._vms = {
            vm: VmStore(self, vm, random.Random(rng.getrandbits(64)), settings.bandwidths.get(vm))
            for vm in settings.vms
        }
        self._leader_lease = 0
        self._pause_at_renewal: dict[str, int] = {}
        self._calls = 0

    async def run(self) -> None:
        """Serve until the stream ends."""
        await self._records.start()
        for each in self._vms.values():
            await each.link.start(LOOPBACK)
        self.state.put(DOCUMENT_LOCATIONS.configuration_key, self._settings.configuration)
        ports = {vm: each.link.port for vm, each in self._vms.items()}
        self._stream.write(StoreReady(ports, self._records.port))
        maintenance = asyncio.get_running_loop().create_task(self._maintain())
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    self._receive(await self._stream.read())
        finally:
            maintenance.cancel()
            for each in self._vms.values():
                each.link.stop()
            await self._records.stop()

    def on_lease_renewed(self, vm: str, lease: int) -> None:
        """Pause a VM's process if it renews the leader's lease and the soak has ordered that.

        Called before the renewal is answered, so that the VM gets the answer only when it resumes.
        """
        pid = self._pause_at_renewal.get(vm, 0)
        if pid and lease == self._leader_lease:
            del self._pause_at_renewal[vm]
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGSTOP)
            self._stream.write(VmHeld(vm, pid))

    def _receive(self, message: msgspec.Struct) -> None:
        match message:
            case BeginTrouble():
                for vm in message.vms:
                    self._vms[vm].fault_number = message.number
                    self._vms[vm].link.set_fault(message.trouble, message.delay_s)
            case EndTrouble():
                for each in self._vms.values():
                    if each.fault_number == message.number:
                        each.link.set_fault(None)
            case SlowDown():
                for each in self._vms.values():
                    each.view.faults.slow_s = message.slow_s
            case LoseAnswers():
                for vm in message.vms:
                    self._vms[vm].view.faults.late_s = message.late_s
                    self._vms[vm].view.faults.lose_answers = message.count
            case ForgetHistory():
                self.state.forget_history()
            case ProlongLeases():
                self.state.prolong_leases(message.seconds)
            case TurnWorkersAway():
                self._records.is_unavailable = message.away
                self._records.expire_while_unavailable = message.lapse
            case LapseRecords():
                self._expire_share(message.share)
            case HoldAtRenewal():
                self._pause_at_renewal[message.vm] = message.pid
            case Configure():
                self.state.put(DOCUMENT_LOCATIONS.configuration_key, message.document)
                self._stream.write(Configured(message.number, _now()))
            case HealAll():
                self._heal_all()

    def _heal_all(self) -> None:
        for each in self._vms.values():
            each.heal()
        self._records.is_unavailable = False
        self._pause_at_renewal.clear()

    def _expire_share(self, share: float) -> None:
        prefix = DOCUMENT_LOCATIONS.workers_prefix
        workers = [item.key.removeprefix(prefix) for item in self.state.keys(prefix)]
        if workers:
            self._records.expire(self._rng.sample(workers, max(1, round(share * len(workers)))))

    def _report_leader_change(self, revision: int, item: Item) -> None:
        """Report changes of the leader key."""
        if item.key != LEADER:
            return
        if not item.revision:
            self._stream.write(TermEnded(_now()))
            return
        record = from_json(item.value, LeaderRecord)
        self._leader_lease = record.lease
        self._stream.write(TermBegan(revision, record.vm, record.lease, _now()))

    async def _maintain(self) -> None:
        """Remove expired leases and old changes, and report the load, until cancelled."""
        seen: deque[tuple[float, int]] = deque()
        lag_s = 0.0
        reported_s = _now()
        while True:
            due = _now() + EXPIRY_INTERVAL_S
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            lag_s = max(lag_s, _now() - due)
            self.state.item(LEADER)
            seen.append((_now(), self.state.revision))
            while seen[0][0] < _now() - self._settings.history_s:
                self.state.forget_until(seen.popleft()[1])
            if _now() >= reported_s + LOAD_INTERVAL_S:
                self._send_load(lag_s)
                lag_s = 0.0
                reported_s = _now()

    def _send_load(self, lag_s: float) -> None:
        calls = sum(each.link.calls for each in self._vms.values())
        self._stream.write(StoreLoad(_now(), lag_s, calls - self._calls, time.process_time()))
        self._calls = calls


def _now() -> float:
    return asyncio.get_running_loop().time()


async def main(settings: StoreSettings) -> None:
    """Simulate the store of some settings."""
    reader, writer = await asyncio.open_connection(LOOPBACK, settings.parent_port)
    stream = MessageStream(reader, writer, ToStore)
    try:
        await StoreProcess(settings, stream).run()
    finally:
        stream.close()


if __name__ == "__main__":
    data = Path(sys.argv[1]).read_bytes()
    asyncio.run(main(msgspec.json.decode(data, type=StoreSettings)))
