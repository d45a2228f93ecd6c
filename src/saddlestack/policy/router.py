"""Routes jobs to cells by the summaries that the cells' schedulers publish."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from saddlestack.models import Adjacency, JobClass, JobSpec, Shape


@dataclass(frozen=True, slots=True)
class CellSummary:
    """The state of a cell as published by its scheduler.

    :param largest: the largest gang that fits the empty cell, for worker, rack and hall adjacency.
    :param pinnable: the largest non-reclaimable gang that fits the empty cell beside every
        guarantee, likewise.
    :param free: the largest gang that fits the free capacity, likewise.
    :param queued: accelerators requested by waiting jobs, by class rank 0 to 2.
    :param lent: accelerators that a job of each class rank could reclaim from lower classes.
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
    """Counts the accelerators routed to each cell since its latest summary.

    Summaries are a heartbeat old. Without this correction, every job of a burst would go to
    the cell that had the most free capacity a second ago.
    """

    def __init__(self) -> None:
        self._last_summary: dict[str, CellSummary] = {}
        self._sent: dict[str, list[int]] = {}

    def adjusted(self, summary: CellSummary) -> CellSummary:
        """The summary, corrected by the jobs routed to the cell since."""
        if self._last_summary.get(summary.cell) != summary:
            self._last_summary[summary.cell] = summary
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
        """Record that a job is routed to a cell."""
        self._sent[cell][_RANK[spec.job_class]] += spec.accelerators


def choose_cell(
    spec: JobSpec,
    summaries: Iterable[CellSummary],
    guaranteed: Sequence[str],
    *,
    home: str | None = None,
) -> str | None:
    """Choose the cell for a job.

    Cells with enough free capacity come first, those where the account has a guarantee before
    others. Cells where its guarantee would have to be reclaimed come next, then those with the
    shortest queue ahead per accelerator. Among cells with enough free capacity the fullest one
    is chosen, which keeps whole racks free elsewhere. Ties go to a cell of the home hall.

    :param guaranteed: cells where the account has an unused guarantee that covers the job.
    :param home: the data hall of the calling VM.
    :return: the cell's name, or ``None`` if no known cell could ever hold the shape.
    """
    possible = [
        s
        for s in summaries
        if can_hold(s, spec.shape) and (s.cell in guaranteed or can_lend(s, spec))
    ]
    if not possible:
        return None
    return min(possible, key=lambda s: _cell_preference(spec, s, guaranteed, home)).cell


def find_better_cell(spec: JobSpec, here: str, summaries: Iterable[CellSummary]) -> str | None:
    """Find another cell in which a waiting job would start at once; the tightest fit wins.

    :param here: the cell where it waits.
    :return: the cell's name, or ``None``.
    """
    index = _INDEX[spec.adjacent]
    rank = _RANK[spec.job_class]
    candidates = []
    for summary in summaries:
        available = summary.free[index]
        if spec.job_class is JobClass.URGENT and spec.reclaimable:
            available = max(available, summary.lent[0])
        ahead = sum(summary.queued[: rank + 1])
        if (
            summary.cell == here
            or ahead
            or available < spec.accelerators
            or not can_lend(summary, spec)
        ):
            continue
        candidates.append((available - spec.accelerators, summary.cell))
    return min(candidates)[1] if candidates else None


def can_hold(summary: CellSummary, shape: Shape) -> bool:
    """Whether the shape would fit if the cell were empty."""
    return summary.largest[_INDEX[shape.adjacent]] >= shape.accelerators


def _is_full_of_urgent(spec: JobSpec, summary: CellSummary) -> bool:
    """Whether an urgent job would find neither enough free nor enough reclaimable capacity."""
    if spec.job_class is not JobClass.URGENT:
        return False
    ahead = summary.queued[0]
    return summary.free[2] + summary.lent[0] < spec.accelerators + ahead


def can_lend(summary: CellSummary, spec: JobSpec) -> bool:
    """Whether the cell could ever lend capacity to the job beside its guarantees."""
    return spec.reclaimable or summary.pinnable[_INDEX[spec.adjacent]] >= spec.accelerators


def _cell_preference(
    spec: JobSpec, summary: CellSummary, guaranteed: Sequence[str], home: str | None
) -> tuple[int, float, int, bool, str]:
    available = summary.free[_INDEX[spec.adjacent]]
    ahead = sum(summary.queued[: _RANK[spec.job_class] + 1])
    fits = available >= spec.accelerators and not ahead
    has_guarantee = summary.cell in guaranteed
    if fits and has_guarantee:
        level = 0
    elif fits and spec.reclaimable:
        level = 1
    elif has_guarantee and not _is_full_of_urgent(spec, summary):
        level = 2
    elif spec.job_class is JobClass.URGENT and not _is_full_of_urgent(spec, summary):
        level = 3
    else:
        level = 4
    load = ahead / max(summary.capacity, 1)
    tightness = summary.free[2] if fits else 0
    return level, load, tightness, summary.data_hall != home, summary.cell
