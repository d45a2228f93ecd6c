"""Progress of an answer that is being received.

A caller that limits its wait needs it to tell a connection on which nothing arrives from one that
delivers a large answer slowly. The progress is reported from the connection to whoever waits,
through all layers in between.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Iterator
from contextvars import ContextVar
from typing import TypeVar

T = TypeVar("T")


class Transfer:
    """Progress of the answer to one call.

    :ivar received: bytes received so far.
    :ivar on_received: called whenever a part of the answer arrives.
    """

    def __init__(self, on_received: Callable[[], None] | None) -> None:
        self.received = 0
        self.on_received = on_received
        self._first_s: float | None = None

    def receiving_s(self) -> float:
        """Returns for how long the answer has been arriving, in seconds; 0 before it has begun."""
        return 0.0 if self._first_s is None else _now() - self._first_s

    def add(self, size: int) -> None:
        """Records a part of the answer, in bytes."""
        self.received += size
        if self._first_s is None:
            self._first_s = _now()
        if self.on_received is not None:
            self.on_received()


_transfers: ContextVar[tuple[Transfer, ...]] = ContextVar("transfers", default=())


@contextlib.contextmanager
def tracked(on_received: Callable[[], None] | None = None) -> Iterator[Transfer]:
    """Tracks the answer to the call that is made in the context. Contexts may be nested."""
    transfer = Transfer(on_received)
    token = _transfers.set((*_transfers.get(), transfer))
    try:
        yield transfer
    finally:
        _transfers.reset(token)
        transfer.on_received = None


def report_received(size: int) -> None:
    """Records bytes of an answer for everybody who tracks it."""
    for transfer in _transfers.get():
        transfer.add(size)


async def receive(call: Awaitable[T], *, begin_s: float, stall_s: float) -> T:
    """Waits for an answer that begins in time, and then keeps arriving however large it is.

    :param begin_s: seconds for the beginning of the answer, or for all of it if nothing reports
        its progress; may be infinite.
    :param stall_s: seconds that may pass between two parts of it.
    :raises TimeoutError: the answer has not begun in time, or has stopped arriving.
    """
    async with asyncio.timeout(None if math.isinf(begin_s) else begin_s) as timeout:

        def extend() -> None:
            end_s = timeout.when()
            if end_s is not None and not timeout.expired():
                timeout.reschedule(max(end_s, _now() + stall_s))

        with tracked(extend):
            return await call


def _now() -> float:
    return asyncio.get_running_loop().time()
