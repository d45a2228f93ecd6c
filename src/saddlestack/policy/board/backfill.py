"""Backfill: which workers work of lower priority may fill while gangs wait for room."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.board.jobs import StepState, weight
from saddlestack.policy.board.placement import domains
from saddlestack.policy.board.workers import Worker
from saddlestack.work import Resources


class Backfill:
    """Workers that are kept for waiting gangs, in one round of planning."""

    def __init__(self) -> None:
        self._priorities: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._priorities)

    def clear(self) -> None:
        """Begin a round: nothing is kept."""
        self._priorities.clear()

    def keep_for(self, step: StepState, workers: Sequence[Worker]) -> None:
        """Keep the workers where a waiting gang fits soonest."""
        priority = step.occurrence.job.priority
        for worker in _soonest(step, workers):
            held = self._priorities.get(worker.worker_id, priority)
            self._priorities[worker.worker_id] = min(held, priority)

    def open_to(self, step: StepState, workers: Sequence[Worker]) -> list[Worker]:
        """The workers that are not kept for a gang of higher priority."""
        priority = step.occurrence.job.priority
        return [w for w in workers if self._priorities.get(w.worker_id, priority) >= priority]


def _soonest(step: StepState, workers: Sequence[Worker]) -> list[Worker]:
    """Workers that a gang would fit on once all work of lower priority there has ended.

    Empty where the gang would not fit even then. Of the domains, the one with the least such
    work; of its workers, those with the least such work for each task.
    """
    best: list[Worker] = []
    best_key: tuple[bool, float] | None = None
    near = step.step.data_rack
    for domain in domains(step, workers):
        chosen, awaited = _soonest_within(step, domain)
        if not chosen:
            continue
        key = (bool(near) and chosen[0].record.rack != near, awaited)
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    return best


def _soonest_within(step: StepState, domain: Sequence[Worker]) -> tuple[list[Worker], float]:
    """The workers of one domain, and the weight of the work that has to end first."""
    able: list[tuple[float, int, Worker]] = []
    for worker in domain:
        lower = _lower_work(worker, step.occurrence.job.priority)
        copies = worker.copies(step, worker.free + lower)
        if copies > 0:
            able.append((weight(lower) / copies, copies, worker))
    able.sort(key=lambda each: each[0])
    chosen: list[Worker] = []
    missing = step.step.count
    awaited = 0.0
    for weight_a_task, copies, worker in able:
        chosen.append(worker)
        awaited += weight_a_task * copies
        missing -= copies
        if missing <= 0:
            return chosen, awaited
    return [], 0.0


def _lower_work(worker: Worker, priority: int) -> Resources:
    """Room of a worker that work of lower priority holds."""
    rooms = [
        run.room for run in worker.runs.values() if run.task.step.occurrence.job.priority > priority
    ]
    return sum(rooms, Resources())
