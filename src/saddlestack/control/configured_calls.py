"""Handles calls by a configuration that is current, as far as their outcome depends on it.

A refusal for an unknown queue or key is definite, so it must not rest on a configuration that may
be out of date. After a pause of the process no call may, since others may already wait for a newer
one.
"""

from __future__ import annotations

import logging

from saddlestack.control.configuration import Configuration
from saddlestack.control.refresh import ConfigurationRefresh
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.wire.http import Handler, Request, Response

log = logging.getLogger("saddlestack.calls")

CONFIGURED_KINDS = frozenset({ErrorKind.NOT_FOUND, ErrorKind.UNAUTHENTICATED, ErrorKind.FORBIDDEN})
"""Kinds of errors that another version of the configuration might not cause."""

RETRY_AFTER_S = 1.0


class OutOfDate(SaddlestackError):
    """The call would be refused by a configuration that may be out of date."""

    def __init__(self) -> None:
        super().__init__(
            ErrorKind.CELL_UNAVAILABLE,
            "the configuration may be out of date",
            retry_after=RETRY_AFTER_S,
        )


class ConfiguredCalls:
    """Wraps a handler whose refusals depend on the configuration.

    :param handler: refuses a call before it has any effect.
    """

    def __init__(
        self, handler: Handler, configuration: Configuration, refresh: ConfigurationRefresh
    ) -> None:
        self._handler = handler
        self._configuration = configuration
        self._refresh = refresh

    async def handle(self, request: Request) -> Response:
        """Handles one call.

        :raises SaddlestackError: the call is refused.
        """
        try:
            return await self._handle(request)
        except SaddlestackError as error:
            if error.kind in CONFIGURED_KINDS or isinstance(error, OutOfDate):
                self._log(request, error)
            raise

    async def _handle(self, request: Request) -> Response:
        await self._refresh.confirm_after_pause()
        refused_by = self._configuration.current
        try:
            return await self._handler(request)
        except SaddlestackError as error:
            if error.kind not in CONFIGURED_KINDS:
                raise
            if not await self._refresh.confirm():
                raise OutOfDate from error
            if self._configuration.current is refused_by:
                raise
        return await self._handler(request)

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
