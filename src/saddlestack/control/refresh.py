"""Reads the configuration through any VM that reaches the store, where following it does not work.

The feed of the configuration has one call at a time on this VM's own connection. If the store turns
this VM away, or is cut off from it, another VM may still reach it.
"""

from __future__ import annotations

import asyncio
import logging

from saddlestack.control.access import StoreAccess, StoreUnreachable
from saddlestack.control.configuration import Configuration
from saddlestack.control.context import EntryContext
from saddlestack.kernel.service import Service

log = logging.getLogger("saddlestack.configuration")

NAME = "configuration refresh"
INTERVAL_SHARE = 0.25
"""Interval between reads, as a share of the time in which a configuration has to be in force."""
READ_TIMEOUT_S = 0.6
"""Time for one read: a relay is asked after 0.3 s, and answers within 0.25 s."""
MAX_AGE_SHARE = 0.9
"""Age, as a share of the same time, up to which a refusal rests on the configuration as it is."""
MAX_INTERVAL_S = 1.0
"""Longest interval between reads. In an outage each read queries two VMs of every data hall."""


class ConfigurationRefresh(Service):
    """Keeps the configuration up to date while its feed gets no answers.

    :ivar max_age_s: age up to which the configuration counts as current.
    """

    def __init__(
        self, context: EntryContext, configuration: Configuration, access: StoreAccess
    ) -> None:
        super().__init__(NAME, context.clock)
        self._configuration = configuration
        self._access = access
        self._key = context.documents.locations.configuration_key
        self._metrics = context.metrics
        self._reading: asyncio.Task[bool] | None = None
        apply_s = context.settings.timings.configuration_apply_ms / 1000
        self._interval_s = INTERVAL_SHARE * apply_s
        self.max_age_s = MAX_AGE_SHARE * apply_s

    async def start(self) -> None:
        """Starts to read the configuration whenever its feed gets no answers."""
        self.tasks.spawn(self._run())

    async def confirm(self) -> bool:
        """Makes sure that the configuration is current, if necessary by a read.

        :return: whether it is current.
        """
        if self._configuration.age_s() > self.max_age_s:
            await self._read()
        return self._configuration.age_s() <= self.max_age_s

    async def _run(self) -> None:
        interval_s = self._interval_s
        while True:
            await asyncio.sleep(interval_s)
            if await self._read_if_behind():
                interval_s = self._interval_s
            else:
                interval_s = max(self._interval_s, min(2 * interval_s, MAX_INTERVAL_S))

    async def _read_if_behind(self) -> bool:
        """Reads the configuration if its feed is behind.

        :return: whether the configuration is up to date.
        """
        try:
            return not self._configuration.is_behind or await self._read()
        except Exception:
            # The loop must not end: the configuration would grow old, unnoticed.
            log.exception("refresh failed", extra={"event": "refresh_failed"})
            return False

    async def _read(self) -> bool:
        """Reads the configuration; concurrent callers share one read.

        :return: whether it could be read.
        """
        if self._reading is None or self._reading.done():
            self._reading = self.tasks.spawn(self._read_once())
        return await asyncio.shield(self._reading)

    async def _read_once(self) -> bool:
        sent_s = self.clock.now()
        self._metrics.count("configuration_reads")
        try:
            item = await self._access.get(self._key, sent_s + READ_TIMEOUT_S)
        except StoreUnreachable:
            return False
        self._configuration.receive(item, sent_s)
        return True
