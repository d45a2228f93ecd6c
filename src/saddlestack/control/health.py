"""Whether this VM's way to the store works: one judgement for everything that uses it.

A heartbeat asks the store in short intervals. Where one is overdue or refused, the store counts
as lost until a later one is answered. Whoever waits for the store, or for the answer of a call
that was sent while it was lost, is woken at that moment.

Connections may go silent for good while new ones work. A heartbeat that is overdue therefore has
new ones opened, so that the next one tells whether it was the store or the connection: where 16
kept connections went silent, the store counts as lost for 0.15 s in place of 2.95 s, which is
longer than a leader's lease of 1 s (``tests/test_silence.py``, without either change).
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math

from saddlestack.interfaces.store import LeaseExpired, MetadataStore, StoreUnavailable
from saddlestack.kernel.clock import Clock
from saddlestack.kernel.service import Service

log = logging.getLogger("saddlestack.health")

NAME = "store health"
HEARTBEAT_S = 0.2
"""Between heartbeats. A renewal costs a tenth of a call: at 8 VMs 0.0004 of a day's worth."""
HEARTBEATS_PER_S = 200.0
"""All VMs together ask no more often: a tenth of the reading calls of the smallest store."""
SUSPICION_GAP_S = 0.05
"""Failed calls bring a heartbeat forward, but no more often than this."""
MIN_OVERDUE_S = 0.25
"""A heartbeat is overdue after this; the store answers in 4 ms, and in 0.2 s where it is slow."""
HEARTBEAT_TIMEOUT_S = 0.8
"""A heartbeat without answer is given up after this, less than a call's time-out of 1 s."""
OVERDUE_FACTOR = 3.0
"""A heartbeat may take this many times as long as the one answered last."""
LEASE_S = 10.0
"""The heartbeat's own lease; longer than most outages, so that it is seldom granted anew."""


class StoreHealth(Service):
    """Judges the store by heartbeats: renewals of a lease that no key hangs on.

    :ivar overdue_after_s: how long an answer may take before it counts as overdue; follows how long
        the latest one took.
    """

    def __init__(self, store: MetadataStore, clock: Clock) -> None:
        super().__init__(NAME, clock)
        self._store = store
        self._lease: int | None = None
        self.overdue_after_s = MIN_OVERDUE_S
        self._suspected = asyncio.Event()
        self._recovery: asyncio.Future[float] | None = None
        self._latest_s = -math.inf
        self._recovered_s = -math.inf
        self._lost_s: float | None = None
        self._interval_s = HEARTBEAT_S

    def set_vm_count(self, vms: int) -> None:
        """Ask less often where many VMs do."""
        self._interval_s = max(HEARTBEAT_S, vms / HEARTBEATS_PER_S)

    @property
    def is_available(self) -> bool:
        """Whether the store answers."""
        return self._lost_s is None

    @property
    def outage_s(self) -> float:
        """For how long the store has not answered; 0 while it does."""
        return 0.0 if self._lost_s is None else self.clock.now() - self._lost_s

    async def start(self) -> None:
        """Begin to ask."""
        self.tasks.spawn(self._run())

    @property
    def recovery(self) -> asyncio.Future[float]:
        """Done when the store answers again: when the heartbeat that it answered was sent."""
        if self._recovery is None:
            self._recovery = asyncio.get_running_loop().create_future()
        return self._recovery

    def probe_now(self) -> None:
        """A call was not answered in time, or refused: ask now."""
        self._suspected.set()

    async def wait_for_recovery(self, seconds: float) -> None:
        """Wait, but no longer than until the store answers again."""
        await asyncio.wait({self.recovery}, timeout=seconds)

    async def _run(self) -> None:
        while True:
            self.tasks.spawn(self._beat())
            await asyncio.sleep(SUSPICION_GAP_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s - SUSPICION_GAP_S):
                    await self._suspected.wait()
            self._suspected.clear()

    async def _beat(self) -> None:
        sent = self.clock.now()
        loop = asyncio.get_running_loop()
        overdue = loop.call_later(self.overdue_after_s, self._lost, sent, "heartbeat is overdue")
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                await self._ask()
        except (StoreUnavailable, TimeoutError) as error:
            self._lost(sent, str(error) or "no answer to a heartbeat")
        else:
            self._answered(sent)
        finally:
            overdue.cancel()

    async def _ask(self) -> None:
        if self._lease is None:
            self._lease, _ = await self._store.grant_lease(LEASE_S)
            return
        try:
            await self._store.renew_lease(self._lease)
        except LeaseExpired:
            self._lease = None

    def _lost(self, sent: float, reason: str) -> None:
        """A heartbeat is overdue or refused."""
        if sent <= self._latest_s:
            self._overtaken(sent)
        elif self.is_available:
            self._lost_s = self.clock.now()
            self._store.reconnect()
            log.warning("store is lost", extra={"event": "store_lost", "reason": reason})

    def _overtaken(self, sent: float) -> None:
        """A later heartbeat was answered first: calls of that moment may be swallowed as well."""
        if sent > self._recovered_s:
            self._wake_all()

    def _answered(self, sent: float) -> None:
        self._latest_s = max(self._latest_s, sent)
        took = self.clock.now() - sent
        wanted = max(MIN_OVERDUE_S, OVERDUE_FACTOR * took)
        self.overdue_after_s = min(HEARTBEAT_TIMEOUT_S, wanted)
        if not self.is_available:
            self._lost_s = None
            log.info("store answers again", extra={"event": "store_back"})
            self._wake_all()

    def _wake_all(self) -> None:
        """End the pauses, and the calls that were sent before the latest answered heartbeat."""
        self._recovered_s = self._latest_s
        recovery, self._recovery = self._recovery, None
        if recovery is not None:
            recovery.set_result(self._latest_s)
