"""Follows which data halls are evacuated; nothing is started in them until they are back."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from saddlestack.control.context import EntryContext
from saddlestack.control.feed import Feed
from saddlestack.interfaces.store import Item

log = logging.getLogger("saddlestack.evacuations")

Changed = Callable[[frozenset[str]], None]
"""Takes the names of all data halls that are being evacuated."""


class Evacuations:
    """Follows the operators' evacuations during one term of the leader.

    The store is read at the start of each term, and again whenever it has discarded its history,
    so that neither a change of leader nor a gap loses an evacuation.

    :param on_change: called once with the initial set, then on each change.
    """

    def __init__(self, context: EntryContext, on_change: Changed) -> None:
        self._context = context
        self._prefix = context.documents.locations.evacuations_prefix
        self._on_change = on_change
        self._halls: frozenset[str] = frozenset()
        self._feed = Feed(
            context, self._prefix, self._on_snapshot, self._on_changes, name="evacuations"
        )

    @property
    def loaded(self) -> asyncio.Event:
        """Set once the store has been read."""
        return self._feed.loaded

    async def run(self) -> None:
        """Follow evacuations until cancelled."""
        await self._feed.run()

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        self._update(frozenset(self._hall_of(item) for item in items if self._hall_of(item)))

    def _on_changes(self, items: tuple[Item, ...]) -> None:
        halls = set(self._halls)
        for item in items:
            if item.revision and self._hall_of(item):
                halls.add(self._hall_of(item))
            else:
                halls.discard(self._hall_of(item))
        self._update(frozenset(halls))

    def _hall_of(self, item: Item) -> str:
        """The data hall that a key names, or an empty name; the value holds nothing of use."""
        return item.key.removeprefix(self._prefix)

    def _update(self, halls: frozenset[str]) -> None:
        self._log(halls - self._halls, "begun")
        self._log(self._halls - halls, "taken_back")
        self._halls = halls
        self._context.metrics.gauge("evacuated_halls", lambda: len(halls))
        self._on_change(halls)

    def _log(self, halls: frozenset[str], state: str) -> None:
        for hall in sorted(halls):
            log.info(
                "data hall is evacuated" if state == "begun" else "data hall is back",
                extra={"event": "evacuation", "data_hall": hall, "state": state},
            )
