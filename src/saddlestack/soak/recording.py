"""Writes workers' records to the platform's store, as real workers do."""

from __future__ import annotations

import asyncio
import base64
import random
from dataclasses import dataclass, field

import msgspec

from saddlestack.interfaces.incarnations import started_ms_of, worker_id_of
from saddlestack.platform import paths
from saddlestack.platform.documents import DOCUMENT_LOCATIONS
from saddlestack.platform.messages import CapacityBody, PutRow, TransactionBody, WorkerBody
from saddlestack.soak.messages import RecordCorruption
from saddlestack.soak.rewriting import rewritten
from saddlestack.soak.worker_incarnation import WorkerIncarnation
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 1.0
"""Delay until a failed write is retried: records that expired while the store was unavailable are
back within two seconds of its return."""
JITTER = 0.05
"""Heartbeats are sent up to this share of their interval earlier or later."""
SLOTS = 8
VERSION = "1"


@dataclass(slots=True)
class RecordWriter:
    """Writes the record of one incarnation of a worker with each heartbeat.

    :param store: the client of the store, shared by all workers of a process.
    :param address: the address that the worker serves on.
    :ivar cut_until_s: the worker is cut off from the store until this time.
    """

    store: HttpClient
    incarnation: WorkerIncarnation
    address: str
    service: str
    rng: random.Random
    cut_until_s: float = 0.0
    _seq: int = 0
    _announced_s: float | None = None
    _notice_s: float = 0.0
    _write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _removed: bool = False

    async def run(self) -> None:
        """Write heartbeats until cancelled or closed, or until the record is removed."""
        while not self._removed:
            written = await self._write()
            heartbeat_s = self.incarnation.times.heartbeat_s
            pause_s = heartbeat_s * self.rng.uniform(1 - JITTER, 1 + JITTER)
            await asyncio.sleep(pause_s if written else min(RETRY_DELAY_S, pause_s))

    async def announce(self, notice_s: float) -> float:
        """Announce the end of the worker and return when the store had accepted it.

        :param notice_s: the time from the announcement to the end.
        """
        self._notice_s = notice_s
        self._announced_s = _now()
        while not await self._write():
            await asyncio.sleep(RETRY_DELAY_S)
        self._announced_s = _now()
        return self._announced_s

    async def rewrite(self, corruption: RecordCorruption) -> None:
        """Corrupt the record as another writer would; the next heartbeat overwrites it."""
        value = base64.b64encode(rewritten(self._build_record(), corruption)).decode()
        async with self._write_lock:
            if not self._removed:
                await self._call(TransactionBody([], [PutRow(self._key, value)], []))

    def close(self) -> None:
        """Stop writing because the incarnation has ended."""
        self._removed = True

    async def remove(self) -> bool:
        """Remove the record for good and return whether the store accepted that."""
        self._removed = True
        body = TransactionBody([], [], [self._key])
        async with self._write_lock:
            return await self._call(body)

    @property
    def _key(self) -> str:
        return f"{DOCUMENT_LOCATIONS.workers_prefix}{worker_id_of(self.incarnation.worker_id)}"

    async def _write(self) -> bool:
        async with self._write_lock:
            if self._removed:
                return True
            self._seq += 1
            accelerators = self.incarnation.accelerators
            value = base64.b64encode(msgspec.json.encode(self._build_record())).decode()
            written = await self._call(TransactionBody([], [PutRow(self._key, value)], []))
            if written:
                self.incarnation.on_record_written(accelerators)
            return written

    def _build_record(self) -> WorkerBody:
        machine = self.incarnation.machine
        return WorkerBody(
            service=self.service,
            address=self.address,
            zone=machine.hall,
            state="ready" if self._announced_s is None else "draining",
            capacity=CapacityBody(machine.cpu, machine.memory_mb, self.incarnation.accelerators),
            labels=["a", machine.rack],
            machine=machine.name,
            clock_ms=self.incarnation.clock_ms(),
            seq=self._seq,
            slots=SLOTS,
            version=VERSION,
            remaining_ms=self._remaining_ms(),
            born=started_ms_of(self.incarnation.worker_id) or msgspec.UNSET,
        )

    def _remaining_ms(self) -> int | None:
        if self._announced_s is None:
            return None
        return max(0, round((self._announced_s + self._notice_s - _now()) * 1000))

    async def _call(self, body: TransactionBody) -> bool:
        if _now() < self.cut_until_s:
            return False
        try:
            response = await self.store.request(
                "POST", paths.TRANSACTION, body, timeout=CALL_TIMEOUT_S
            )
        except (NotSent, AnswerLost):
            return False
        return response.status == 200


def _now() -> float:
    return asyncio.get_running_loop().time()
