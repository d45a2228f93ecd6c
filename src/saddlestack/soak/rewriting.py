"""Workers' records as another writer overwrites them, until the worker's next heartbeat."""

from __future__ import annotations

import msgspec

from saddlestack.platform.messages import WorkerBody
from saddlestack.soak.messages import RecordCorruption

UNREADABLE = b"\xff\xfe"
OTHER_ADDRESS = "127.0.0.1:9"
"""A port without a listener."""


def rewritten(entry: WorkerBody, how: RecordCorruption) -> bytes:
    """Encode a worker's record as another writer leaves it."""
    if how is RecordCorruption.UNREADABLE:
        return UNREADABLE
    return msgspec.json.encode(_changed(entry, how))


def _changed(entry: WorkerBody, how: RecordCorruption) -> WorkerBody:
    replace = msgspec.structs.replace
    if how is RecordCorruption.NO_ADDRESS:
        return replace(entry, address="")
    if how is RecordCorruption.OTHER_ADDRESS:
        return replace(entry, address=OTHER_ADDRESS)
    if how is RecordCorruption.OTHER_SERVICE:
        return replace(entry, service=f"not-{entry.service}")
    if how is RecordCorruption.UNKNOWN_STATE:
        return replace(entry, state="starting")
    if how is RecordCorruption.NEGATIVE_COUNT:
        return replace(entry, slots=-1)
    if how is RecordCorruption.NO_BIRTH:
        return replace(entry, born=msgspec.UNSET)
    born = 0 if isinstance(entry.born, msgspec.UnsetType) else entry.born
    return replace(entry, born=born + 1)
