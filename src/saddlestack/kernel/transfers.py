"""Progress of an answer that is being received.

A caller that limits its wait needs it to tell a connection on which nothing arrives from one that
delivers a large answer slowly. The progress is reported from the connection to whoever waits,
through all layers in between.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Iterator
from contextvars import ContextVar

from saddlestack.kernel.clock import Clock


class Transfer:
    """Progress of the answer to one call.

    :param on_received: called whenever a part of the answer arrives.
    :ivar received: bytes received so far.
    :ivar first_s: when the first of them arrived; infinite before.
    :ivar latest_s: when the latest of them arrived; minus infinity before.
    """

    def __init__(self, clock: Clock, on_received: Callable[[], None] | None = None) -> None:
        self._clock = clock
        self._on_received = on_received
        self.received = 0
        self.first_s = math.inf
        self.latest_s = -math.inf

    def receiving_s(self) -> float:
        """Returns for how long the answer has been arriving, in seconds."""
        return max(0.0, self._clock.now() - self.first_s)

    def add(self, size: int) -> None:
        """Records a part of the answer, in bytes."""
        self.received += size
        self.latest_s = self._clock.now()
        self.first_s = min(self.first_s, self.latest_s)
        if self._on_received is not None:
            self._on_received()


_transfers: ContextVar[tuple[Transfer, ...]] = ContextVar("transfers", default=())


@contextlib.contextmanager
def tracked(clock: Clock, on_received: Callable[[], None] | None = None) -> Iterator[Transfer]:
    """Tracks the answer to the call that is made in the context. Contexts may be nested."""
    transfer = Transfer(clock, on_received)
    token = _transfers.set((*_transfers.get(), transfer))
    try:
        yield transfer
    finally:
        _transfers.reset(token)


def report_received(size: int) -> None:
    """Records bytes of an answer for everybody who tracks it."""
    for transfer in _transfers.get():
        transfer.add(size)
