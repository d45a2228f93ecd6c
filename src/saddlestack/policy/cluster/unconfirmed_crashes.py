"""Index of the crashes that only missing answers show, by worker and by where it ran.

A worker that does not answer and has no record may have crashed, or may be cut off and still be
alive. Its next answer shows that it has not crashed. An answer of another incarnation on the same
machine, or at the same address, shows that it is over.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from saddlestack.policy.cluster.jobs import Task
from saddlestack.policy.cluster.records import UnconfirmedCrash
from saddlestack.policy.cluster.workers import Worker


class UnconfirmedCrashes:
    """Tells which tasks have unconfirmed crashes of a worker, and which workers decide on them."""

    def __init__(self) -> None:
        self._tasks: defaultdict[str, set[Task]] = defaultdict(set)
        self._locations: defaultdict[str, set[str]] = defaultdict(set)
        self._workers_at: defaultdict[str, set[str]] = defaultdict(set)

    @property
    def is_empty(self) -> bool:
        """Whether there are no unconfirmed crashes."""
        return not self._tasks

    def replace(
        self, task: Task, before: Iterable[UnconfirmedCrash], after: Iterable[UnconfirmedCrash]
    ) -> None:
        """Update the unconfirmed crashes of a task."""
        for crash in before:
            self._remove(task, crash.worker)
        for crash in after:
            self._add(task, crash)

    def forget_job(self, job_id: str) -> None:
        """Remove the crashes of all tasks of a job."""
        for worker_id, tasks in list(self._tasks.items()):
            for task in [each for each in tasks if each.name.job_id == job_id]:
                self._remove(task, worker_id)

    def tasks_of(self, worker_id: str) -> Sequence[Task]:
        """Tasks with an unconfirmed crash of a worker, in the order of their names."""
        return sorted(self._tasks.get(worker_id, ()), key=lambda task: str(task.name))

    def predecessors_of(self, worker: Worker) -> Sequence[str]:
        """Ids of other workers with unconfirmed crashes that ran where a worker runs."""
        on_machine = self._workers_at.get(worker.record.machine, set())
        at_address = self._workers_at.get(worker.record.address, set())
        return sorted((on_machine | at_address) - {worker.worker_id})

    def deciding_workers(self, workers: Mapping[str, Worker]) -> Iterator[Worker]:
        """Yield the listed workers whose answer decides about a crash."""
        if self.is_empty:
            return
        for worker in workers.values():
            if worker.listed and self._is_deciding(worker):
                yield worker

    def _is_deciding(self, worker: Worker) -> bool:
        record = worker.record
        if worker.worker_id in self._tasks:
            return True
        return record.machine in self._workers_at or record.address in self._workers_at

    def _add(self, task: Task, crash: UnconfirmedCrash) -> None:
        self._tasks[crash.worker].add(task)
        for location in _locations(crash.machine, crash.address):
            self._locations[crash.worker].add(location)
            self._workers_at[location].add(crash.worker)

    def _remove(self, task: Task, worker_id: str) -> None:
        tasks = self._tasks.get(worker_id, set())
        tasks.discard(task)
        if tasks:
            return
        self._tasks.pop(worker_id, None)
        for location in self._locations.pop(worker_id, ()):
            self._workers_at[location].discard(worker_id)
            if not self._workers_at[location]:
                del self._workers_at[location]


def _locations(machine: str, address: str) -> Sequence[str]:
    return [location for location in (machine, address) if location]
