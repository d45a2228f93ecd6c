"""Runs an entry VM on the platform's machines."""

from __future__ import annotations

import asyncio
from pathlib import Path

from saddlestack import logs
from saddlestack.control.entry import serve
from saddlestack.control.settings import load


def main(path: Path) -> None:
    """Run an entry VM until it is told to stop.

    :param path: its settings, JSON with comments.
    :raises SaddlestackError: settings that are wrong, with each fault and its place.
    """
    settings = load(path)
    handler = logs.configure(logs.level_of(settings.log_level), settings.vm)
    try:
        asyncio.run(serve(settings, path))
    finally:
        handler.close()
