"""Logs as JSON lines with stable event names; no payloads and no tokens."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def level_of(name: str) -> int:
    """The level of the logging module that settings name."""
    return int(getattr(logging, name.upper()))


def configure(level: int, vm: str) -> None:
    """Send the logs of saddlestack to standard output, one JSON object a line."""
    handler = logging.StreamHandler(sys.stdout)
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
