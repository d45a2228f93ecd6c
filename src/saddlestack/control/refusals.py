"""Handles calls that are refused because of the configuration: an unknown queue or key."""

from __future__ import annotations

import logging

from saddlestack.control.configuration import Configuration
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.wire.http import Handler, Request, Response

log = logging.getLogger("saddlestack.refusals")

CONFIGURED_KINDS = frozenset({ErrorKind.NOT_FOUND, ErrorKind.UNAUTHENTICATED, ErrorKind.FORBIDDEN})
"""Kinds of errors that another version of the configuration might not cause."""


class ConfiguredCalls:
    """Wraps a handler whose refusals depend on the configuration.

    :param handler: refuses a call before it has any effect.
    """

    def __init__(self, handler: Handler, configuration: Configuration) -> None:
        self._handler = handler
        self._configuration = configuration

    async def handle(self, request: Request) -> Response:
        """Handles one call.

        :raises SaddlestackError: the call is refused.
        """
        try:
            return await self._handler(request)
        except SaddlestackError as error:
            if error.kind in CONFIGURED_KINDS:
                self._log(request, error)
            raise

    def _log(self, request: Request, error: SaddlestackError) -> None:
        current = self._configuration.current
        log.info(
            "call refused",
            extra={
                "event": "call_refused",
                "method": request.method,
                "path": request.path,
                "status": error.rule.status,
                "reason": error.message,
                "version": None if current is None else current.version,
                "age_s": round(self._configuration.age_s(), 3),
            },
        )
