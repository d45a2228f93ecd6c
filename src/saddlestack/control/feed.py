"""Follows the keys under a prefix of the store: reads all of them, then watches for changes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Awaitable, Callable, Iterator

from saddlestack.control.context import EntryContext
from saddlestack.control.guarded import STALL_S
from saddlestack.interfaces.store import HistoryGone, Item, Listing, MetadataStore, StoreUnavailable
from saddlestack.kernel.transfers import Transfer, receive, tracked
from saddlestack.policy.retry import backoff_delay

log = logging.getLogger("saddlestack.feed")

WATCH_TIMEOUT_S = 3.0
"""Timeout of one watch. It is short, since a watch on a dead connection returns nothing."""
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
NEVER_READ = -1
"""Value of a feed's gauge before its first answer."""
FULL_BATCH = 250
"""A watch that returns this many changes is followed by the next one without a pause.

The store returns some 500 changes at most, so more are likely pending. With a pause, a feed
receives no more than 1,600 changes per second, while 3,000 workers write 2,000: it was 5 s behind
after half a minute, compared with 0.4 s without the pause.
"""
LIST_TIMEOUT_S = 0.5
"""Timeout of the first listing of a prefix with few keys."""
MAX_DOUBLINGS = 4
"""How often that time is doubled while no listing is answered."""

OnSnapshot = Callable[[tuple[Item, ...]], Awaitable[None] | None]
"""Receives all items under the prefix. Asynchronous if that may take several turns."""
OnChange = Callable[[tuple[Item, ...]], Awaitable[None] | None]
"""Receives changed items; those of removed keys have revision 0. Asynchronous as above."""
CatchUp = Callable[[], Awaitable[int]]
"""Gets the latest changes in another way; returns the revision that the next watch follows."""
SLOW_ANSWER_S = 0.25
"""Changes that come while an answer arrives for longer than this would each take as long."""


async def list_within(
    store: MetadataStore, prefix: str, timeout_s: float, failures: int
) -> Listing:
    """Reads all keys under a prefix.

    :param timeout_s: time for the beginning of the answer, doubled with each failure; may be
        infinite.
    :param failures: how often this has failed in a row.
    :raises StoreUnavailable: no answer in time.
    """
    limit_s = timeout_s * 2 ** min(failures, MAX_DOUBLINGS)
    try:
        return await receive(store.list(prefix), begin_s=limit_s, stall_s=STALL_S)
    except TimeoutError:
        raise StoreUnavailable("the listing is overdue") from None


class Feed:
    """Keeps a service up to date with a prefix of the store.

    Reads everything, then watches. If the store no longer has the changes since, reads everything
    again. A change may be delivered twice, but is never skipped.

    :param name: names the gauge ``NAME_age_ms``.
    :param wait_s: timeout of one watch.
    :param list_timeout_s: time after which a listing is read again, doubled with each failure;
        infinite for prefixes that may take longer, which have the store's own timeout.
    :param catch_up: called after an answer that took long to arrive, if given.
    :param gap_s: pause between a change and the next watch, so that many changes take one call;
        there is no pause while the feed is likely behind.
    """

    def __init__(
        self,
        context: EntryContext,
        prefix: str,
        on_snapshot: OnSnapshot,
        on_change: OnChange,
        *,
        name: str,
        wait_s: float = WATCH_TIMEOUT_S,
        list_timeout_s: float = LIST_TIMEOUT_S,
        catch_up: CatchUp | None = None,
        gap_s: float = 0.0,
    ) -> None:
        self._context = context
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._wait_s = wait_s
        self._list_timeout_s = list_timeout_s
        self._catch_up = catch_up
        self._gap_s = gap_s
        self._failures = 0
        self._transfer: Transfer | None = None
        self._revision = 0
        self._current_as_of_s = -math.inf
        self._gauge = f"{name}_age_ms"
        self.loaded = asyncio.Event()

    def age_s(self, now: float) -> float:
        """Returns how old the data may be at most, in seconds.

        It is known to have been current when the last answered call was sent, or at the end of the
        last watch that returned nothing.
        """
        return now - self._current_as_of_s

    @property
    def is_behind(self) -> bool:
        """Whether the last call was not answered."""
        return self._failures > 0

    def receiving_s(self) -> float:
        """Returns for how long an answer has been arriving, in seconds; 0 if none is."""
        return 0.0 if self._transfer is None else self._transfer.receiving_s()

    async def poll(self) -> None:
        """Receives the changes up to now, beside the watch that may be waiting for more.

        An answer that is arriving brings them, and a second one would take as long.
        """
        if not self.loaded.is_set() or self.receiving_s() > 0:
            return
        sent_s = self._context.clock.now()
        try:
            changes = await self._context.store.watch(self._prefix, self._revision, 0.0)
        except (StoreUnavailable, HistoryGone):
            return
        self._current_as_of_s = max(self._current_as_of_s, sent_s)
        if changes.items:
            await _completed(self._on_change(changes.items))

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        metrics = self._context.metrics
        metrics.gauge(self._gauge, self._age_ms)
        try:
            await self._follow()
        finally:
            metrics.remove_gauge(self._gauge, self._age_ms)

    def _age_ms(self) -> int:
        """The age for the gauge; :data:`NEVER_READ` before the first answer."""
        age_s = self.age_s(self._context.clock.now())
        return NEVER_READ if math.isinf(age_s) else round(1000 * age_s)

    async def _follow(self) -> None:
        while True:
            try:
                await self._watch()
            except HistoryGone:
                log.info(
                    "store no longer has the changes, reading everything again",
                    extra={"event": "history_gone", "prefix": self._prefix},
                )
                await asyncio.sleep(self._context.rng.uniform(0.0, FIRST_RETRY_S))
            except StoreUnavailable as error:
                await self._back_off(error)
            except Exception:
                # The feed must not end: its owner would receive no more changes, unnoticed.
                log.exception("feed failed", extra={"event": "feed_failed", "prefix": self._prefix})
                self._context.metrics.count("feed_failures")
                await asyncio.sleep(LONGEST_RETRY_S)

    async def _watch(self) -> None:
        store = self._context.store
        clock = self._context.clock
        sent_s = clock.now()
        with self._receiving():
            listing = await list_within(store, self._prefix, self._list_timeout_s, self._failures)
        self._failures = 0
        self._current_as_of_s = sent_s
        await _completed(self._on_snapshot(listing.items))
        self.loaded.set()
        self._revision = listing.revision
        while True:
            sent_s = clock.now()
            try:
                with self._receiving() as transfer:
                    changes = await store.watch(self._prefix, self._revision, self._wait_s)
            except StoreUnavailable as error:
                await self._back_off(error)
                continue
            self._failures = 0
            self._current_as_of_s = max(self._current_as_of_s, self._as_of_s(sent_s, changes))
            self._revision = max(self._revision, changes.revision)
            if changes.items:
                await _completed(self._on_change(changes.items))
                if len(changes.items) < FULL_BATCH:
                    await asyncio.sleep(self._gap_s)
            if self._catch_up is not None and transfer.receiving_s() > SLOW_ANSWER_S:
                self._revision = max(self._revision, await self._catch_up())

    @contextlib.contextmanager
    def _receiving(self) -> Iterator[Transfer]:
        """Tracks the answer to the call that is made in the context."""
        with tracked() as transfer:
            self._transfer = transfer
            try:
                yield transfer
            finally:
                self._transfer = None

    def _as_of_s(self, sent_s: float, changes: Listing) -> float:
        """Returns the time at which the changes were complete."""
        end_s = sent_s + self._wait_s
        waited_in_vain = not changes.items and self._context.clock.now() >= end_s
        return end_s if waited_in_vain else sent_s

    async def _back_off(self, error: StoreUnavailable) -> None:
        if not self._failures:
            log.warning(
                "feed is behind",
                extra={"event": "feed_behind", "prefix": self._prefix, "reason": str(error)},
            )
        self._failures += 1
        await self._context.health.wait_for_recovery(
            backoff_delay(self._failures, FIRST_RETRY_S, LONGEST_RETRY_S, self._context.rng)
        )


async def _completed(handling: Awaitable[None] | None) -> None:
    """Waits for a handler that is asynchronous."""
    if handling is not None:
        await handling
