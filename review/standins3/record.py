"""The record of a script: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TextIO


class Record:
    """Events in the order in which they happened; each is also a line of ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._began_s = time.monotonic()
        self.events: list[dict[str, object]] = []

    def note(self, who: str, what: str, **fields: object) -> None:
        """Add an event."""
        at_s = time.monotonic() - self._began_s
        self.events.append({"at_s": at_s, "who": who, "what": what, **fields})
        text = " ".join(f"{name}={value}" for name, value in fields.items() if value != "")
        self._file.write(f"{at_s:9.3f} s  {who:<9} {what:<10} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Add a line of text, and print it."""
        self.note("script", text)
        print(text, flush=True)
