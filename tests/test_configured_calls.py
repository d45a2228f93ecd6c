"""Refusals by the configuration, apart from a cluster: which are confirmed, and what follows."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any, cast

from saddlestack.control.configured_calls import CONFIGURED_KINDS, ConfiguredCalls
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.standins.loop import run
from saddlestack.wire.http import Request, Response

REQUEST = Request("GET", "/queue/", {}, {}, b"")


class ConfiguredCallsTest(unittest.TestCase):
    """Calls a handler that refuses some calls in a row, and accepts the ones after them."""

    def setUp(self) -> None:
        self.configuration = SimpleNamespace(current=None, age_s=lambda: 3.0)
        self.refusals: list[ErrorKind] = []
        self.handled = 0
        self.confirmed = 0
        self.is_confirmed = True
        self.has_newer = False
        self.was_paused = False

    async def handle(self, request: Request) -> Response:
        self.handled += 1
        if self.refusals:
            raise SaddlestackError(self.refusals.pop(0), "refused")
        return Response(200)

    async def confirm_after_pause(self) -> None:
        if self.was_paused:
            await self.confirm()

    async def confirm(self) -> bool:
        self.confirmed += 1
        if self.has_newer:
            self.configuration.current = SimpleNamespace(version=2)
        return self.is_confirmed

    def call(self) -> Response:
        calls = ConfiguredCalls(self.handle, cast(Any, self.configuration), cast(Any, self))
        return run(calls.handle(REQUEST))

    def assert_refused(self, kind: ErrorKind) -> SaddlestackError:
        with self.assertRaises(SaddlestackError) as caught:
            self.call()
        self.assertIs(caught.exception.kind, kind)
        return caught.exception

    def test_a_call_that_is_accepted_is_not_confirmed(self) -> None:
        self.assertEqual(self.call().status, 200)
        self.assertEqual((self.handled, self.confirmed), (1, 0))

    def test_a_call_after_a_pause_is_confirmed_before_it_is_handled(self) -> None:
        self.was_paused = True
        self.assertEqual(self.call().status, 200)
        self.assertEqual((self.handled, self.confirmed), (1, 1))

    def test_each_refusal_by_the_configuration_is_confirmed(self) -> None:
        for kind in sorted(CONFIGURED_KINDS):
            with self.subTest(kind):
                self.setUp()
                self.refusals = [kind]
                self.assert_refused(kind)
                self.assertEqual((self.handled, self.confirmed), (1, 1))

    def test_no_other_refusal_is_confirmed_or_repeated(self) -> None:
        for kind in sorted(set(ErrorKind) - CONFIGURED_KINDS):
            with self.subTest(kind):
                self.setUp()
                self.refusals = [kind]
                self.assert_refused(kind)
                self.assertEqual((self.handled, self.confirmed), (1, 0))

    def test_a_refusal_that_cannot_be_confirmed_is_unavailable(self) -> None:
        self.refusals, self.is_confirmed = [ErrorKind.NOT_FOUND], False
        error = self.assert_refused(ErrorKind.CELL_UNAVAILABLE)
        self.assertEqual(error.retry_after, 1.0)
        self.assertEqual(self.handled, 1)

    def test_a_newer_version_handles_the_call_once(self) -> None:
        self.refusals, self.has_newer = [ErrorKind.NOT_FOUND], True
        self.assertEqual(self.call().status, 200)
        self.assertEqual(self.handled, 2)
        self.setUp()
        self.refusals, self.has_newer = [ErrorKind.NOT_FOUND, ErrorKind.UNAUTHENTICATED], True
        self.assert_refused(ErrorKind.UNAUTHENTICATED)
        self.assertEqual((self.handled, self.confirmed), (2, 1))


if __name__ == "__main__":
    unittest.main()
