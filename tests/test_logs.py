"""Tests that logs are bounded and never delay requests."""

from __future__ import annotations

import io
import json
import logging
import threading
import time
import unittest

from pythonjsonlogger.json import JsonFormatter

from saddlestack.logs import BoundedHandler


class StalledStream(io.StringIO):
    """A stream whose reader does not read until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


class BoundedHandlerTest(unittest.TestCase):
    def logger(self, handler: BoundedHandler) -> logging.Logger:
        handler.setFormatter(JsonFormatter("%(message)s"))
        logger = logging.Logger("test")
        logger.addHandler(handler)
        return logger

    def test_lines_arrive_whole_and_in_order(self) -> None:
        stream = io.StringIO()
        handler = BoundedHandler(stream)
        logger = self.logger(handler)
        for number in range(100):
            logger.info("line", extra={"number": number})
        handler.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line["number"] for line in lines], list(range(100)))

    def test_a_stalled_reader_loses_lines_without_delay(self) -> None:
        stream = StalledStream()
        handler = BoundedHandler(stream, queued=10)
        logger = self.logger(handler)
        began = time.monotonic()
        for number in range(500):
            logger.info("line", extra={"number": number})
        self.assertLess(time.monotonic() - began, 5.0)
        stream.released.set()
        handler.drain()
        logger.info("after")
        handler.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        reported = sum(line["lines"] for line in lines if line.get("event") == "log_left_out")
        written = sum(1 for line in lines if "number" in line)
        self.assertEqual(reported + written, 500)
        self.assertLessEqual(written, 12)
        self.assertEqual(lines[-1]["message"], "after")

    def test_the_rate_is_bounded(self) -> None:
        """The rate is computed from the time of the lines, not from the speed of this machine."""
        stream = io.StringIO()
        handler = BoundedHandler(stream, rate=50)
        handler.setFormatter(JsonFormatter("%(message)s"))
        for number in range(1000):
            handler.emit(line_at(100.0, number))
        self.assertEqual(handler.dropped, 950)
        for number in range(1000):
            handler.emit(line_at(101.0, number))
        handler.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line["lines"] for line in lines if "lines" in line], [950])
        self.assertEqual(sum(1 for line in lines if "number" in line), 100)
        self.assertEqual(handler.dropped, 950)


def line_at(created: float, number: int) -> logging.LogRecord:
    """A line that was logged at a given time, in seconds."""
    return logging.makeLogRecord({"msg": "line", "created": created, "number": number})


if __name__ == "__main__":
    unittest.main()
