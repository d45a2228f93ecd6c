"""Detects whether the store is available to this VM, for everything that uses it.

Heartbeats are sent to the store at short intervals. If one is overdue or fails, the store counts as
unavailable until a later one is answered. At that moment, everything that waits for the store is
woken, or that waits for the answer to a call that was sent during the outage.

Existing connections may go dead for good while new ones work. So an overdue heartbeat opens new
connections, and the next heartbeat shows whether the store or the connection failed: when 16 pooled
connections went dead, the store counted as unavailable for 0.15 s instead of 2.95 s, which is
longer than a leader's lease of 1 s (``tests/test_unresponsive_connections.py``, without either
change).
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
"""Interval between heartbeats.

A renewal costs a tenth of a call: with 8 VMs, heartbeats cost 0.0004 of the worth of a day.
"""
MAX_HEARTBEATS_PER_S = 200.0
"""Limit for all VMs together: a tenth of the read calls that the smallest store can serve."""
MIN_PROBE_INTERVAL_S = 0.05
"""Failed calls trigger an early heartbeat, but no more often than this."""
MIN_OVERDUE_S = 0.25
"""A heartbeat is overdue after this time at the earliest; the store answers in 4 ms, or 0.2 s if
slow."""
HEARTBEAT_TIMEOUT_S = 0.8
"""Timeout of a heartbeat, below a call's timeout of 1 s."""
OVERDUE_FACTOR = 3.0
"""A heartbeat is overdue when it takes this many times as long as the last answered one."""
LEASE_S = 10.0
"""Lifetime of the lease that heartbeats renew.

It is longer than most outages, so that a new lease is seldom needed.
"""


class StoreHealth(Service):
    """Monitors the store by heartbeats, which renew a lease that no key is attached to.

    :ivar overdue_after_s: time after which a heartbeat is overdue; follows the latest round-trip
        time.
    """

    def __init__(self, store: MetadataStore, clock: Clock) -> None:
        super().__init__(NAME, clock)
        self._store = store
        self._lease: int | None = None
        self.overdue_after_s = MIN_OVERDUE_S
        self._probe_due = asyncio.Event()
        self._recovery: asyncio.Future[float] | None = None
        self._latest_answered_s = -math.inf
        self._recovered_s = -math.inf
        self._unavailable_since_s: float | None = None
        self._available_since_s = clock.now()
        self._received_s = -math.inf
        self._interval_s = HEARTBEAT_S

    def set_vm_count(self, vms: int) -> None:
        """Sends heartbeats less often if there are many VMs."""
        self._interval_s = max(HEARTBEAT_S, vms / MAX_HEARTBEATS_PER_S)

    @property
    def is_available(self) -> bool:
        """Whether the store answers."""
        return self._unavailable_since_s is None

    @property
    def outage_s(self) -> float:
        """Seconds for which the store has been unavailable; 0 while it is available."""
        return (
            0.0
            if self._unavailable_since_s is None
            else self.clock.now() - self._unavailable_since_s
        )

    @property
    def available_s(self) -> float:
        """Seconds for which the store has been available; 0 while it is not."""
        return self.clock.now() - self._available_since_s if self.is_available else 0.0

    async def start(self) -> None:
        """Starts to send heartbeats."""
        self.tasks.spawn(self._run())

    @property
    def recovery(self) -> asyncio.Future[float]:
        """Future that is done when the store is available again.

        Its result is when the heartbeat was sent that the store then answered.
        """
        if self._recovery is None:
            self._recovery = asyncio.get_running_loop().create_future()
        return self._recovery

    def probe_now(self) -> None:
        """Sends a heartbeat early, because a call failed or was not answered in time."""
        self._probe_due.set()

    def record_received(self) -> None:
        """Records that a part of an answer has arrived.

        Heartbeats wait behind a large answer on a slow link. While it arrives, one that is overdue
        shows no outage.
        """
        self._received_s = self.clock.now()

    async def wait_for_recovery(self, seconds: float) -> None:
        """Waits for some seconds, or until the store is available again."""
        await asyncio.wait({self.recovery}, timeout=seconds)

    async def _run(self) -> None:
        while True:
            self.tasks.spawn(self._send_heartbeat())
            await asyncio.sleep(MIN_PROBE_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s - MIN_PROBE_INTERVAL_S):
                    await self._probe_due.wait()
            self._probe_due.clear()

    async def _send_heartbeat(self) -> None:
        sent = self.clock.now()
        overdue = self.tasks.spawn(self._mark_overdue(sent))
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                await self._renew()
        except StoreUnavailable as error:
            self._mark_unavailable(sent, str(error))
        except TimeoutError:
            if not self._is_delivering():
                self._mark_unavailable(sent, "no answer to a heartbeat")
        else:
            self._record_answer(sent)
        finally:
            overdue.cancel()

    async def _mark_overdue(self, sent: float) -> None:
        """Handles a heartbeat as soon as it is overdue and nothing else arrives."""
        await asyncio.sleep(self.overdue_after_s)
        while self._is_delivering():
            await asyncio.sleep(MIN_PROBE_INTERVAL_S)
        self._mark_unavailable(sent, "heartbeat is overdue")

    def _is_delivering(self) -> bool:
        """Whether an answer is arriving."""
        return self.clock.now() - self._received_s < MIN_OVERDUE_S

    async def _renew(self) -> None:
        if self._lease is None:
            self._lease, _ = await self._store.grant_lease(LEASE_S)
            return
        try:
            await self._store.renew_lease(self._lease)
        except LeaseExpired:
            self._lease = None

    def _mark_unavailable(self, sent: float, reason: str) -> None:
        """Handles a heartbeat that is overdue or failed."""
        if sent <= self._latest_answered_s:
            self._handle_overtaken(sent)
        elif self.is_available:
            self._unavailable_since_s = self.clock.now()
            self._store.reconnect()
            log.warning("store is unavailable", extra={"event": "store_lost", "reason": reason})

    def _handle_overtaken(self, sent: float) -> None:
        """Handles a heartbeat that a later one overtook.

        Calls that were sent at the same time may be lost, too.
        """
        if sent > self._recovered_s:
            self._wake_all()

    def _record_answer(self, sent: float) -> None:
        self._latest_answered_s = max(self._latest_answered_s, sent)
        round_trip_s = self.clock.now() - sent
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_FACTOR * round_trip_s)
        self.overdue_after_s = min(HEARTBEAT_TIMEOUT_S, overdue_s)
        if not self.is_available:
            self._unavailable_since_s = None
            self._available_since_s = self.clock.now()
            log.info("store is available again", extra={"event": "store_back"})
            self._wake_all()

    def _wake_all(self) -> None:
        """Ends waits, and calls that were sent before the latest answered heartbeat."""
        self._recovered_s = self._latest_answered_s
        recovery, self._recovery = self._recovery, None
        if recovery is not None:
            recovery.set_result(self._latest_answered_s)
