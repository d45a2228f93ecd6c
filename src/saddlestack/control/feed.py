"""Follows a prefix of the store: everything once, then each change."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from saddlestack.control.context import EntryContext
from saddlestack.interfaces.store import HistoryGone, Item, StoreUnavailable
from saddlestack.policy.retry import backoff_delay

log = logging.getLogger("saddlestack.feed")

WAIT_S = 3.0
"""Short, since a watch whose connection has died says nothing."""
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
MANY_CHANGES = 250
"""The store answers a watch with some 500 changes at most: after so many there are likely more. A
feed that rests first hears of no more than 1,600 a second, and 3,000 workers write 2,000: it was
5 s behind after half a minute, where it is now 0.4 s."""

Snapshot = Callable[[tuple[Item, ...]], None]
"""Takes everything under the prefix."""
Changed = Callable[[tuple[Item, ...]], None]
"""Takes changed keys; removed ones have revision 0."""


class Feed:
    """Keeps a service in step with a prefix of the store.

    Reads everything, then watches; where the store has forgotten the changes, reads
    everything again. Changes may be told twice, never skipped.

    :param wait_s: how long one watch waits.
    :param gap_s: between a change and the next watch, so that many changes cost one call; none
        while the feed is likely behind.
    """

    def __init__(
        self,
        context: EntryContext,
        prefix: str,
        on_snapshot: Snapshot,
        on_change: Changed,
        *,
        wait_s: float = WAIT_S,
        gap_s: float = 0.0,
    ) -> None:
        self._context = context
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._failures = 0
        self._current_s = -math.inf
        self.loaded = asyncio.Event()

    def age_s(self, now: float) -> float:
        """For how long the store has not answered: what is known may be so old."""
        return now - self._current_s

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryGone:
                log.info(
                    "store forgot its history, reading all",
                    extra={"event": "history_gone", "prefix": self._prefix},
                )
                await asyncio.sleep(self._context.rng.uniform(0.0, FIRST_RETRY_S))
            except StoreUnavailable as error:
                await self._pause(error)
            except Exception:
                # One that ends is not noticed: its owner would hear of nothing any more.
                log.exception("feed failed", extra={"event": "feed_failed", "prefix": self._prefix})
                self._context.metrics.count("feed_failures")
                await asyncio.sleep(LONGEST_RETRY_S)

    async def _follow(self) -> None:
        store = self._context.store
        listing = await store.list(self._prefix)
        self._failures = 0
        self._current_s = self._context.clock.now()
        self._on_snapshot(listing.items)
        self.loaded.set()
        revision = listing.revision
        while True:
            try:
                changes = await store.watch(self._prefix, revision, self._wait_s)
            except StoreUnavailable as error:
                await self._pause(error)
                continue
            self._failures = 0
            self._current_s = self._context.clock.now()
            revision = max(revision, changes.revision)
            if changes.items:
                self._on_change(changes.items)
                if len(changes.items) < MANY_CHANGES:
                    await asyncio.sleep(self._gap_s)

    async def _pause(self, error: StoreUnavailable) -> None:
        if not self._failures:
            log.warning(
                "feed is behind",
                extra={"event": "feed_behind", "prefix": self._prefix, "reason": str(error)},
            )
        self._failures += 1
        await self._context.health.wait_for_recovery(
            backoff_delay(self._failures, FIRST_RETRY_S, LONGEST_RETRY_S, self._context.rng)
        )
