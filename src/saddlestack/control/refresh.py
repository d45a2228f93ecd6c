"""Keeps the configuration up to date where following it in the store does not suffice.

The feed of the configuration has one call at a time on this VM's own connection. If the store turns
this VM away, or an answer is lost or hardly arrives, another VM may already have the configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

from saddlestack.control.access import HEDGE_DELAY_S
from saddlestack.control.configuration import Configuration
from saddlestack.control.configuration_copies import ConfigurationCopies
from saddlestack.control.context import EntryContext
from saddlestack.interfaces.store import StoreUnavailable
from saddlestack.kernel.service import Service

log = logging.getLogger("saddlestack.configuration")

NAME = "configuration refresh"
CHECK_INTERVAL_S = 0.1
"""Interval at which the feed is checked."""
INTERVAL_SHARE = 0.25
"""Interval between reads, as a share of the time in which a configuration has to be in force."""
READ_TIMEOUT_S = 0.6
"""How long a call waits for a read: another VM is asked after 0.3 s, and answers in 0.25 s."""
MAX_AGE_SHARE = 0.9
"""Age, as a share of the same time, up to which a refusal rests on the configuration as it is."""
MAX_PAUSE_S = 0.5
"""A check that comes this late shows that the process was stopped, or starved, in between."""
MAX_INTERVAL_S = 1.0
"""Longest interval between reads. In an outage each read queries three VMs of every data hall."""


class ConfigurationRefresh(Service):
    """Gets the configuration from other VMs while its feed is behind, and confirms it by reads.

    :ivar max_age_s: age up to which the configuration counts as current.
    """

    def __init__(
        self,
        context: EntryContext,
        configuration: Configuration,
        copies: ConfigurationCopies,
    ) -> None:
        super().__init__(NAME, context.clock)
        self._configuration = configuration
        self._store = context.store
        self._copies = copies
        self._key = context.documents.locations.configuration_key
        self._metrics = context.metrics
        self._reading: asyncio.Task[None] | None = None
        self._checked_s = self.clock.now()
        self._was_paused = False
        apply_s = context.settings.timings.configuration_apply_ms / 1000
        self._interval_s = INTERVAL_SHARE * apply_s
        self.max_age_s = MAX_AGE_SHARE * apply_s

    async def start(self) -> None:
        """Starts to update the configuration whenever its feed is behind."""
        self.tasks.spawn(self._run())
        self.tasks.spawn(self._watch_for_pauses())

    @property
    def is_current(self) -> bool:
        """Whether the configuration is current."""
        return self._configuration.age_s() <= self.max_age_s

    async def confirm(self) -> bool:
        """Makes sure that the configuration is current, if necessary by a read.

        :return: whether it is current.
        """
        if not self.is_current:
            await asyncio.wait({self._start_read()}, timeout=READ_TIMEOUT_S)
        return self.is_current

    async def confirm_after_pause(self) -> None:
        """Makes sure that the configuration is current if the process was paused.

        Calls that arrived meanwhile would otherwise be handled by an older version than those that
        wait for a read. If the read fails, later calls are handled without another one.
        """
        self._note_pause()
        if self._was_paused:
            await self.confirm()
            self._was_paused = False

    def _note_pause(self) -> None:
        now = self.clock.now()
        self._was_paused = self._was_paused or now - self._checked_s > MAX_PAUSE_S
        self._checked_s = now

    async def _watch_for_pauses(self) -> None:
        while True:
            self._note_pause()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _run(self) -> None:
        interval_s = self._interval_s
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._configuration.is_behind:
                interval_s = self._interval_s
                continue
            try:
                await asyncio.shield(self._start_read())
            except Exception:
                # The loop must not end: the configuration would grow old, unnoticed.
                log.exception("refresh failed", extra={"event": "refresh_failed"})
            await asyncio.sleep(interval_s - CHECK_INTERVAL_S)
            if self.is_current:
                interval_s = self._interval_s
            else:
                interval_s = max(self._interval_s, min(2 * interval_s, MAX_INTERVAL_S))

    def _start_read(self) -> asyncio.Task[None]:
        """Starts to update the configuration; concurrent callers share one read."""
        if self._reading is None or self._reading.done():
            self._reading = self.tasks.spawn(self._read_once())
        return self._reading

    async def _read_once(self) -> None:
        self._metrics.count("configuration_reads")
        if self._configuration.is_refused and not self._configuration.is_receiving:
            await self._read_document()
        elif self._configuration.is_behind:
            await self._copies.update()
        else:
            await self._poll()

    async def _read_document(self) -> None:
        """Reads the whole document, however long it takes to arrive."""
        sent_s = self.clock.now()
        with contextlib.suppress(StoreUnavailable):
            item = await self._store.get(self._key)
            self._configuration.receive(item, sent_s)

    async def _poll(self) -> None:
        """Asks the store for a newer document, and other VMs as well if it does not answer soon."""
        polling = self.tasks.spawn(self._configuration.poll())
        try:
            await asyncio.wait({polling}, timeout=HEDGE_DELAY_S)
            if not self.is_current:
                await self._copies.update()
            if not self.is_current:
                await asyncio.wait({polling}, timeout=READ_TIMEOUT_S - HEDGE_DELAY_S)
        finally:
            polling.cancel()
