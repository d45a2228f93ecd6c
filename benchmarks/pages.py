"""Puts measured tables into the pages, between the marks that name them."""

from __future__ import annotations

import re
from pathlib import Path

DOCS = Path(__file__).resolve().parent.parent / "docs"
MEASURES = DOCS / "MEASURES.md"


def replace_table(page: Path, name: str, table: str) -> None:
    """Replace what stands between ``<!-- name -->`` and ``<!-- end -->``.

    :raises ValueError: the page has no such mark.
    """
    text = page.read_text()
    mark = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end -->)", re.DOTALL)
    if not mark.search(text):
        raise ValueError(f"{page} has no mark for {name}")
    page.write_text(mark.sub(lambda found: found.group(1) + table + found.group(2), text))
