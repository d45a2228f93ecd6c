"""To which cell a job goes, from the summaries that cell schedulers announce."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from saddlestack.models import Adjacency, JobClass, JobSpec, Shape


@dataclass(frozen=True, slots=True)
class CellSummary:
    """What a cell's scheduler announces.

    :param largest: the largest gang the empty cell holds, by adjacency worker, rack, hall.
    :param pinnable: the largest gang that can't be taken back and yet leaves room for every
        guarantee in the empty cell, by the same.
    :param free: the largest gang that fits in free room, by the same.
    :param queued: accelerators asked for by waiting jobs, by class rank 0 to 2.
    :param lent: accelerators that work of each class rank could take back from lesser ones.
    :param capacity: accelerators of the cell.
    """

    cell: str
    data_hall: str
    largest: tuple[int, int, int]
    pinnable: tuple[int, int, int]
    free: tuple[int, int, int]
    queued: tuple[int, int, int]
    lent: tuple[int, int, int]
    capacity: int


_INDEX = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.HALL: 2}
_RANK = {JobClass.URGENT: 0, JobClass.NORMAL: 1, JobClass.BULK: 2}


class RoutedSinceSummary:
    """Counts what was sent to each cell since it last announced itself.

    Summaries are a heartbeat old; without this, every job of a burst would go to the cell
    that had most room a second ago.
    """

    def __init__(self) -> None:
        self._seen: dict[str, CellSummary] = {}
        self._sent: dict[str, list[int]] = {}

    def adjusted(self, summary: CellSummary) -> CellSummary:
        """The summary with what was sent since taken out of its room."""
        if self._seen.get(summary.cell) != summary:
            self._seen[summary.cell] = summary
            self._sent[summary.cell] = [0, 0, 0]
        sent = self._sent[summary.cell]
        total = sum(sent)
        if not total:
            return summary
        hall = summary.free[2] - total
        beyond = max(0, -hall)
        queued = [
            before + min(new, beyond) for before, new in zip(summary.queued, sent, strict=True)
        ]
        return replace(
            summary,
            free=(
                min(summary.free[0], max(hall, 0)),
                min(summary.free[1], max(hall, 0)),
                max(hall, 0),
            ),
            queued=(queued[0], queued[1], queued[2]),
        )

    def note(self, cell: str, spec: JobSpec) -> None:
        """A job goes to a cell."""
        self._sent[cell][_RANK[spec.job_class]] += spec.accelerators


def choose_cell(
    spec: JobSpec,
    summaries: Iterable[CellSummary],
    guaranteed: Sequence[str],
    *,
    home: str | None = None,
) -> str | None:
    """The cell for a job.

    Cells with free room come first, those where the account has a guarantee before others;
    then cells where its guarantee would have to be taken back; then the least queue ahead
    per accelerator. Among cells with free room the fullest is taken, which keeps whole racks
    free elsewhere; a cell of the home hall decides a tie.

    :param guaranteed: cells where the account has an unused guarantee that covers the job.
    :param home: the data hall of the asking VM.
    :return: a cell's name, or ``None`` where no known cell could ever hold the shape.
    """
    possible = [
        s for s in summaries if holds(s, spec.shape) and (s.cell in guaranteed or lends(s, spec))
    ]
    if not possible:
        return None
    return min(possible, key=lambda s: _preference(spec, s, guaranteed, home)).cell


def find_better_cell(spec: JobSpec, here: str, summaries: Iterable[CellSummary]) -> str | None:
    """A cell where a job that waits would start at once, unless it would here too.

    :param here: the cell where it waits.
    :return: the cell's name, or ``None``.
    """
    index = _INDEX[spec.adjacent]
    rank = _RANK[spec.job_class]
    candidates = []
    for summary in summaries:
        room = summary.free[index]
        if spec.job_class is JobClass.URGENT and spec.reclaimable:
            room = max(room, summary.lent[0])
        ahead = sum(summary.queued[: rank + 1])
        if summary.cell == here or ahead or room < spec.accelerators or not lends(summary, spec):
            continue
        candidates.append((room - spec.accelerators, summary.cell))
    return min(candidates)[1] if candidates else None


def holds(summary: CellSummary, shape: Shape) -> bool:
    """Whether the empty cell could hold the shape."""
    return summary.largest[_INDEX[shape.adjacent]] >= shape.accelerators


def _crowded(spec: JobSpec, summary: CellSummary) -> bool:
    """Whether urgent work would find neither free room nor lesser work to take it from."""
    if spec.job_class is not JobClass.URGENT:
        return False
    ahead = summary.queued[0]
    return summary.free[2] + summary.lent[0] < spec.accelerators + ahead


def lends(summary: CellSummary, spec: JobSpec) -> bool:
    """Whether the cell could ever lend room for the job beside its guarantees."""
    return spec.reclaimable or summary.pinnable[_INDEX[spec.adjacent]] >= spec.accelerators


def _preference(
    spec: JobSpec, summary: CellSummary, guaranteed: Sequence[str], home: str | None
) -> tuple[int, float, int, bool, str]:
    room = summary.free[_INDEX[spec.adjacent]]
    ahead = sum(summary.queued[: _RANK[spec.job_class] + 1])
    fits = room >= spec.accelerators and not ahead
    mine = summary.cell in guaranteed
    if fits and mine:
        level = 0
    elif fits and spec.reclaimable:
        level = 1
    elif mine and not _crowded(spec, summary):
        level = 2
    elif spec.job_class is JobClass.URGENT and not _crowded(spec, summary):
        level = 3
    else:
        level = 4
    load = ahead / max(summary.capacity, 1)
    tightness = summary.free[2] if fits else 0
    return level, load, tightness, summary.data_hall != home, summary.cell
