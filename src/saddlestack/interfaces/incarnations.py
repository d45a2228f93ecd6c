"""The names of workers' lives: a worker's id, and when it was born where it tells.

A worker may start again under its id. It then holds and knows nothing of before, so whatever is
kept of a worker, from its runs to its clock, is kept of one life and goes by its name.
"""

from __future__ import annotations

_MARK = "/"
"""No id of a worker has a slash."""


def incarnation_name(worker_id: str, born: int) -> str:
    """The name of one life of a worker.

    :param born: when it was born, in milliseconds since 1970; 0 where the worker does not tell.
    """
    return f"{worker_id}{_MARK}{born}" if born else worker_id


def worker_id_of(life: str) -> str:
    """The id of the worker that a life is of."""
    return life.partition(_MARK)[0]


def started_ms_of(life: str) -> int:
    """When a life was born, in milliseconds since 1970; 0 where its name does not tell."""
    born = life.partition(_MARK)[2]
    return int(born) if born.isdecimal() else 0
