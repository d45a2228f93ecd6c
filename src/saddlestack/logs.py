"""Logs as JSON lines with stable event names, without payloads and tokens.

Lines pass through a bounded queue to a thread that writes them. If the reader stalls, lines are
dropped, but requests are never delayed. The number of dropped lines is logged as soon as the
queue has space again.
"""

from __future__ import annotations

import logging
import queue
import sys
import threading
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from saddlestack.policy.limits import TokenBucket

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
QUEUED_LINES = 10_000
LINES_PER_SECOND = 2_000
CLOSE_TIMEOUT_S = 0.5


def level_of(name: str) -> int:
    """The level of the :mod:`logging` module with the given name."""
    return int(getattr(logging, name.upper()))


class BoundedHandler(logging.Handler):
    """A handler that queues lines for a writer thread and counts those it has to drop.

    :param stream: the stream that the thread writes to.
    :param queued: the maximum number of queued lines.
    :param rate: the maximum average number of lines per second.
    """

    def __init__(
        self, stream: TextIO, *, queued: int = QUEUED_LINES, rate: float = LINES_PER_SECOND
    ) -> None:
        super().__init__()
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(queued)
        self._bucket = TokenBucket(rate, rate)
        self.dropped = 0
        self._thread = threading.Thread(target=self._write, name="log writer", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if not self._bucket.take(record.created):
            self.dropped += 1
            return
        if self.dropped and self._queue(self._dropped_line(record)):
            self.dropped = 0
        if not self._queue(self.format(record)):
            self.dropped += 1

    def close(self) -> None:
        """Write the queued lines, unless the reader takes longer than ``CLOSE_TIMEOUT_S``."""
        try:
            self._lines.put(None, timeout=CLOSE_TIMEOUT_S)
        except queue.Full:
            pass
        self._thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _queue(self, line: str) -> bool:
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            return False
        return True

    def _dropped_line(self, record: logging.LogRecord) -> str:
        notice = logging.LogRecord(
            record.name, logging.WARNING, "", 0, "log lines were dropped", None, None
        )
        notice.__dict__.update(event="log_left_out", lines=self.dropped)
        return self.format(notice)

    def _write(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            self._write_line(line)
            self._lines.task_done()

    def drain(self) -> None:
        """Wait until all queued lines are written."""
        self._lines.join()

    def _write_line(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            if self._lines.empty():
                self._stream.flush()
        except (OSError, ValueError):
            self.dropped += 1


def configure(level: int, vm: str) -> BoundedHandler:
    """Send the logs of saddlestack to standard output, one JSON object per line."""
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"vm": vm},
        )
    )
    logger = logging.getLogger("saddlestack")
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)
    return handler
