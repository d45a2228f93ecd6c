"""The configuration in force on this VM: the latest version that was read from the store."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable

from saddlestack.control.context import EntryContext
from saddlestack.control.feed import LIST_TIMEOUT_S, NEVER_READ, WATCH_TIMEOUT_S, Feed
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.documents import PoolConfiguration
from saddlestack.interfaces.store import Item
from saddlestack.kernel.service import Service
from saddlestack.policy.pool_configuration import faults_of

log = logging.getLogger("saddlestack.configuration")

NAME = "pool configuration"

WATCH_SHARE = 0.5
"""Timeout of a watch as a share of the time in which a configuration has to be in force. If an
answer is lost, the next watch, a pause and its answer fit into the rest."""
LIST_SHARE = 0.25
"""Time for the beginning of the first listing as a share of the same time."""
DELIVERY_SHARE = 0.5
"""Share of the same time for which an answer may be arriving before other VMs are asked. While it
takes a slow link, their answers wait behind it."""

Update = Callable[[], Awaitable[None]]
Listener = Callable[[PoolConfiguration], None]


class Configuration(Service):
    """Follows the operators' configuration document.

    Older versions than the current one are ignored while the process runs.

    :ivar is_refused: whether the last document was refused; it may have been damaged on the way.
    :ivar document: the document in force; its revision is 0 before the first one.
    """

    def __init__(self, context: EntryContext) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        self._key = context.documents.locations.configuration_key
        self._invalid_records = InvalidRecords(context.metrics, "configuration")
        self.current: PoolConfiguration | None = None
        self.document = Item(self._key, b"", 0)
        self._read_s = -math.inf
        self.is_refused = False
        self._listeners: list[Listener] = []
        self._update: Update | None = None
        apply_s = context.settings.timings.configuration_apply_ms / 1000
        self._delivery_s = DELIVERY_SHARE * apply_s
        self._feed = Feed(
            context,
            context.documents.locations.configuration_prefix,
            self._receive,
            self._receive,
            name="configuration_feed",
            wait_s=min(WATCH_TIMEOUT_S, WATCH_SHARE * apply_s),
            list_timeout_s=min(LIST_TIMEOUT_S, LIST_SHARE * apply_s),
            catch_up=self._catch_up,
        )
        context.metrics.gauge("configuration_version", lambda: self.version)
        context.metrics.gauge("configuration_age_ms", self._age_ms)
        context.metrics.gauge("configuration_bytes", lambda: len(self.document.value))

    def add_listener(self, listener: Listener) -> None:
        """Calls a listener with each new configuration, starting with the current one."""
        self._listeners.append(listener)
        if self.current is not None:
            listener(self.current)

    def remove_listener(self, listener: Listener) -> None:
        """Stops calling a listener."""
        self._listeners.remove(listener)

    def update_from(self, update: Update) -> None:
        """Sets how to get the configuration from other VMs."""
        self._update = update

    async def start(self) -> None:
        """Starts to follow the document."""
        self.tasks.spawn(self._feed.run())

    @property
    def version(self) -> int:
        """The version in force; 0 before the first one."""
        return 0 if self.current is None else self.current.version

    @property
    def is_behind(self) -> bool:
        """Whether the document has to be read beside its feed.

        That is the case while the store does not answer the feed, or its answer hardly arrives, and
        once after a document was refused.
        """
        is_unanswered = self._feed.is_behind or not self._context.health.is_available
        is_slow = self._feed.receiving_s() > self._delivery_s
        return is_unanswered or is_slow or self.is_refused

    @property
    def is_receiving(self) -> bool:
        """Whether an answer to the feed is arriving."""
        return self._feed.receiving_s() > 0

    async def poll(self) -> None:
        """Asks the store for a newer document, without waiting for one."""
        await self._feed.poll()

    def age_s(self) -> float:
        """Returns how old the configuration in force may be at most, in seconds."""
        now = self.clock.now()
        return min(self._feed.age_s(now), now - self._read_s)

    def receive(self, item: Item, read_s: float) -> None:
        """Applies the document as it was read in another way than by this VM's feed.

        :param read_s: when the read was sent.
        """
        self._receive((item,))
        self.is_refused = False
        self.confirm(read_s)

    def confirm(self, read_s: float) -> None:
        """Records that the configuration in force was the newest at some time."""
        self._read_s = max(self._read_s, read_s)

    async def _catch_up(self) -> int:
        """Gets a version that was written while an earlier one arrived."""
        if self._update is not None:
            await self._update()
        return self.document.revision

    def _age_ms(self) -> int:
        age_s = self.age_s()
        return NEVER_READ if math.isinf(age_s) else round(1000 * age_s)

    def _receive(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key == self._key and item.revision:
                self._apply(item)

    def _apply(self, item: Item) -> None:
        if item == self.document:
            return  # Already received through another VM.
        try:
            configuration = self._context.documents.configuration(item.value)
        except SaddlestackError as error:
            self._refuse(item, str(error))
            return
        faults = faults_of(configuration)
        if faults:
            self._refuse(item, "; ".join(faults))
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.document = item
        self.is_refused = False
        log.info(
            "configuration in force",
            extra={
                "event": "configuration",
                "version": configuration.version,
                "bytes": len(item.value),
            },
        )
        for listener in list(self._listeners):
            self._notify(listener, configuration)

    def _refuse(self, item: Item, reason: str) -> None:
        self.is_refused = True
        self._invalid_records.report(item.key, reason)

    def _notify(self, listener: Listener, configuration: PoolConfiguration) -> None:
        """Calls a listener. A defect of one must not keep the others from the configuration."""
        try:
            listener(configuration)
        except Exception:
            log.exception(
                "listener failed",
                extra={"event": "configuration_listener_failed", "version": configuration.version},
            )
            self._context.metrics.count("configuration_listener_failures")
