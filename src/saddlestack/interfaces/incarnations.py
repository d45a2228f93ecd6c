"""Names of workers' incarnations: the worker's id, and its start time if the worker reports it.

A worker may restart under the same id. It then has none of its former state, so everything that is
recorded for a worker, from its runs to its clock, is recorded for one incarnation, by its name.
"""

from __future__ import annotations

_SEPARATOR = "/"
"""Worker ids don't contain slashes."""


def incarnation_name(worker_id: str, started_ms: int) -> str:
    """Returns the name of one incarnation of a worker.

    :param started_ms: when it started, in milliseconds since 1970; 0 if not reported.
    """
    return f"{worker_id}{_SEPARATOR}{started_ms}" if started_ms else worker_id


def worker_id_of(incarnation: str) -> str:
    """Returns the id of the worker that an incarnation belongs to."""
    return incarnation.partition(_SEPARATOR)[0]


def started_ms_of(incarnation: str) -> int:
    """Returns when an incarnation started, in milliseconds since 1970; 0 if unknown."""
    started_ms = incarnation.partition(_SEPARATOR)[2]
    return int(started_ms) if started_ms.isdecimal() else 0
