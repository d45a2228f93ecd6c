"""Variants of the sources, each with one decision mechanism disabled.

A variant is a list of edits that are applied to a scratch copy of the sources. Variants exist only
for the trials; they are no settings of the scheduler. ``tests/test_trials.py`` checks that all
edits match the current sources.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Edit:
    """Replaces a text that occurs exactly once in a source file.

    :param file: path below ``src/saddlestack``.
    """

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Variant:
    """The sources with one mechanism disabled.

    :param what: the mechanism, as shown in the table.
    """

    name: str
    what: str
    edits: tuple[Edit, ...]


class EditMissing(Exception):
    """The text to be replaced does not occur exactly once in its file."""


def apply(variant: Variant, package: Path) -> None:
    """Apply the edits of a variant to a scratch copy.

    :param package: the ``src/saddlestack`` of the copy.
    :raises EditMissing: an edit does not match the sources.
    """
    for edit in variant.edits:
        path = package / edit.file
        text = path.read_text(encoding="utf-8")
        if text.count(edit.old) != 1:
            raise EditMissing(
                f"{variant.name}: {edit.file} does not have {edit.old!r} exactly once"
            )
        path.write_text(text.replace(edit.old, edit.new), encoding="utf-8")


VARIANTS = (
    Variant(
        "speeds",
        "workers' speeds learned, and work placed by them",
        (
            Edit(
                "control/settings.py",
                "            worker_speeds=self.worker_speeds,",
                "            worker_speeds=False,",
            ),
        ),
    ),
    Variant(
        "gang priority",
        "resources collected for waiting gangs",
        (
            Edit(
                "control/settings.py",
                "            gang_priority=self.gang_priority,",
                "            gang_priority=False,",
            ),
        ),
    ),
    Variant(
        "slow restarts",
        "urgent gangs restart when a slow worker makes them late",
        (Edit("policy/cluster/slow_restarts.py", "MAX_RESTARTS = 1", "MAX_RESTARTS = 0"),),
    ),
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
                "policy/cluster/gang_keeping.py",
                "        self._backfill.keep(",
                "        Backfill().keep(",
            ),
        ),
    ),
    Variant(
        "reservations",
        "capacity reserved while it is being freed",
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
        "unneeded victims are dropped",
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
        "victims priced by all tasks that they free capacity for",
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
        "stuck urgent work restarts elsewhere",
        (Edit("policy/cluster/progress.py", "MAX_MOVES = 2", "MAX_MOVES = 0"),),
    ),
    Variant(
        "caution",
        "urgent work goes to healthy workers while faulty ones are known",
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
        "quarantine of workers that fail runs",
        (
            Edit(
                "policy/cluster/workers.py", "FIRST_QUARANTINE_S = 2.0", "FIRST_QUARANTINE_S = 0.0"
            ),
            Edit("policy/cluster/workers.py", "        if self.strikes:", "        if False:"),
        ),
    ),
    Variant(
        "probation",
        "workers with early failures get no urgent work and no gangs",
        (Edit("policy/cluster/workers.py", "PROBATION_S = 16.0", "PROBATION_S = 0.0"),),
    ),
    Variant(
        "recovery",
        "calls left unanswered in an outage are ended when the store recovers",
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
        "workers of an unreachable data hall are suspected",
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
        "calls are relayed through a VM that reaches the store",
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
        "a partitioned VM redirects callers at once",
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
        "concurrent writes of record batches",
        (Edit("control/commits.py", "MAX_CONCURRENT_WRITES = 8", "MAX_CONCURRENT_WRITES = 1"),),
    ),
    Variant(
        "notices",
        "the VM that accepts a job notifies the leader",
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
        "immediate poll after an acknowledged stop",
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
"""All variants, in the order of the table."""
