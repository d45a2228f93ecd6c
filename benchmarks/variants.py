"""Switches for the mechanisms that decide: each is an edit of a scratch copy of the sources.

They are the experiment tool's, not settings of the product. ``tests/test_trials.py`` holds each of
them to the present sources.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Edit:
    """A text of a source file, found there exactly once, and what stands in its place.

    :param file: below ``src/saddlestack``.
    """

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Variant:
    """One mechanism switched off.

    :param what: the mechanism, as it stands in tables.
    """

    name: str
    what: str
    edits: tuple[Edit, ...]


class EditMissing(Exception):
    """A text to be edited is not in its file exactly once."""


def apply(variant: Variant, package: Path) -> None:
    """Edit a scratch copy.

    :param package: its ``src/saddlestack``.
    :raises EditMissing: an edit does not fit the sources.
    """
    for edit in variant.edits:
        path = package / edit.file
        text = path.read_text(encoding="utf-8")
        if text.count(edit.old) != 1:
            raise EditMissing(f"{variant.name}: {edit.file} has {edit.old!r} not once")
        path.write_text(text.replace(edit.old, edit.new), encoding="utf-8")


VARIANTS = (
    Variant(
        "headroom",
        "headroom for urgent work",
        (
            Edit("policy/cluster/headroom.py", "HEADROOM_SHARE = 0.25", "HEADROOM_SHARE = 0.0"),
            Edit("policy/cluster/headroom.py", "HEADROOM_PER_RACK = 32", "HEADROOM_PER_RACK = 0"),
        ),
    ),
    Variant(
        "backfill",
        "workers kept from backfill for waiting gangs",
        (
            Edit(
                "policy/cluster/planner.py",
                "        self._backfill.keep(",
                "        Backfill().keep(",
            ),
        ),
    ),
    Variant(
        "reservations",
        "room reserved while it is being made",
        (
            Edit(
                "policy/cluster/reservations.py",
                "            worker.reserved = worker.reserved + step.step.allocation",
                "            pass",
            ),
            Edit(
                "policy/cluster/reservations.py",
                "            worker.reserved = worker.reserved - step.step.allocation",
                "            pass",
            ),
        ),
    ),
    Variant(
        "victims",
        "victims chosen by the work that is lost",
        (
            Edit(
                "policy/cluster/preemption.py",
                "        return lost * weight(run.allocation) + STOP_COST_CORE_S",
                "        return STOP_COST_CORE_S",
            ),
        ),
    ),
    Variant(
        "spare",
        "victims that proved needless are left out",
        (
            Edit(
                "policy/cluster/preemption.py",
                "        self._drop_unneeded(wanted)\n",
                "",
            ),
        ),
    ),
    Variant(
        "gain",
        "victims priced by all tasks that they make room for",
        (
            Edit(
                "policy/cluster/preemption.py",
                "        return self.lost / min(self.gain, missing)",
                "        return self.lost",
            ),
        ),
    ),
    Variant(
        "one hall",
        "gangs in one data hall where they fit",
        (
            Edit(
                "policy/cluster/placement.py",
                "            return hall if _opened(hall) <= _opened(chosen) else chosen",
                "            return chosen",
            ),
        ),
    ),
    Variant(
        "stuck",
        "urgent work that stands still begins again elsewhere",
        (Edit("policy/cluster/progress.py", "MAX_MOVES = 2", "MAX_MOVES = 0"),),
    ),
    Variant(
        "caution",
        "urgent work goes to healthy workers while faulty ones are noticed",
        (
            Edit(
                "policy/cluster/worker_preferences.py",
                "FAULTY_WORKERS = 2",
                "FAULTY_WORKERS = 1_000_000",
            ),
        ),
    ),
    Variant(
        "quarantine",
        "workers that fail work are left alone for a while",
        (
            Edit(
                "policy/cluster/workers.py", "FIRST_QUARANTINE_S = 2.0", "FIRST_QUARANTINE_S = 0.0"
            ),
            Edit("policy/cluster/workers.py", "        if self.strikes:", "        if False:"),
        ),
    ),
    Variant(
        "probation",
        "workers that fail at once get no urgent work and no gangs",
        (Edit("policy/cluster/workers.py", "PROBATION_S = 16.0", "PROBATION_S = 0.0"),),
    ),
    Variant(
        "recovery",
        "calls that an outage swallowed are ended when the store is back",
        (
            Edit(
                "control/health.py",
                "            recovery.set_result(self._latest_answered_s)",
                "            recovery.set_result(-math.inf)",
            ),
        ),
    ),
    Variant(
        "suspicion",
        "workers of a hall out of reach are suspected",
        (
            Edit(
                "control/session.py",
                "        if not self.worker.suspected and not self.over:",
                "        if False:",
            ),
        ),
    ),
    Variant(
        "relays",
        "calls go through a VM that reaches the store",
        (
            Edit(
                "control/relays.py",
                "                    return RelayResult(asked[call].vm, cut_off=False)",
                "                    return RelayResult(None, cut_off=False)",
            ),
        ),
    ),
    Variant(
        "elsewhere",
        "a VM that is cut off sends callers on at once",
        (
            Edit(
                "control/access.py",
                "            if relay.cut_off and only:",
                "            if False:",
            ),
        ),
    ),
    Variant(
        "batches",
        "batches of records beside each other",
        (Edit("control/commits.py", "MAX_CONCURRENT_WRITES = 8", "MAX_CONCURRENT_WRITES = 1"),),
    ),
    Variant(
        "notices",
        "the leader hears of a job from the VM that took it",
        (
            Edit(
                "control/leaderrpc.py",
                "        self._peers.tasks.spawn(self._send(",
                "        _ = (self._send, (",
            ),
        ),
    ),
    Variant(
        "looks",
        "a look at once after a stop was answered",
        (
            Edit(
                "control/session.py",
                "                self._close_order(key)\n"
                "                self._tasks.spawn(self._poll_now())",
                "                self._close_order(key)",
            ),
        ),
    ),
)
"""All switches, in the order of the table."""
