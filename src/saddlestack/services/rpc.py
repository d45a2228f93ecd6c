"""RPC methods that daemons call on each other, and their dispatch to services."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec

from saddlestack.codec import from_msgpack
from saddlestack.errors import ErrorKind, SaddlestackError

A = TypeVar("A")


class Rpc:
    """Registered methods by name, each with the type of its body and its handler."""

    def __init__(self) -> None:
        self._methods: dict[str, tuple[type[Any], Callable[[Any], Awaitable[object]]]] = {}

    def add(self, method: str, body: type[A], handler: Callable[[A], Awaitable[object]]) -> None:
        """Register the handler of a method."""
        self._methods[method] = (body, handler)

    async def serve(self, method: str, body: msgspec.Raw) -> object:
        """Handle a call from another daemon.

        :raises SaddlestackError: the method is unknown, the body is malformed, or the handler
            failed.
        """
        entry = self._methods.get(method)
        if entry is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no method {method}")
        kind, handler = entry
        return await handler(from_msgpack(bytes(body), kind))

    async def local(self, method: str, body: object) -> object:
        """Handle a call from this daemon itself, without encoding.

        :raises SaddlestackError: the handler's error.
        """
        _, handler = self._methods[method]
        return await handler(body)
