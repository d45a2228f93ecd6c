"""Writes measured tables into the pages, between named markers."""

from __future__ import annotations

import re
from pathlib import Path

DOCS = Path(__file__).resolve().parent.parent / "docs"
MEASURES = DOCS / "MEASURES.md"


def replace_table(page: Path, name: str, table: str) -> None:
    """Replace the text between ``<!-- name -->`` and ``<!-- end -->``.

    :raises ValueError: the page has no such markers.
    """
    text = page.read_text()
    marker = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end -->)", re.DOTALL)
    if not marker.search(text):
        raise ValueError(f"{page} has no markers for {name}")
    page.write_text(marker.sub(lambda match: match.group(1) + table + match.group(2), text))
