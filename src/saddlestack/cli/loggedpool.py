"""The pool as log lines show it: which workers there were, and what runs hold of them.

The logs tell neither the workers that there are nor their room. A life of a worker counts from the
first line that names it to the last one, or to the end of the day where no line tells of any worker
that went or was silent. How many accelerators each has is told from outside. Of
processors and memory it is taken to have the most that was held of one worker at one time, which
is known to be there: standstills for which only more would be room enough are not found.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, logged_step
from saddlestack.policy.standstill import ROOM_FACTOR, PoolUse, has_room
from saddlestack.work import Resources, TaskName

START = "start"
GOINGS = frozenset({"lease_wait", "worker_replaced", "worker_silent"})
"""Events that tell of workers that went, or were silent."""
GONE_PROOFS = frozenset({"replaced", "lapsed"})
"""Proofs of a run that counts as over that tell so too."""
RUN_ENDS = frozenset({"ended", "run_over", "run_absent", "start_refused"})
LEAVES = "worker_leaves"
"""The reason of a stop on a worker that has announced its end."""
_NOTHING = Resources()
RunKey = tuple[str, int]
"""A task and the number of its run."""


@dataclass(frozen=True, slots=True)
class SeenWorker:
    """From when to when lines named a life of a worker."""

    first_s: float
    last_s: float


@dataclass(slots=True)
class LoggedPool:
    """What is held of each worker.

    :param needs: of a task, by job and step.
    """

    needs: Mapping[tuple[str, int], Resources]
    held: dict[str, Resources] = field(default_factory=dict)
    runs: dict[RunKey, str] = field(default_factory=dict)
    present: set[str] = field(default_factory=set)

    def take(self, line: LogLine) -> None:
        """A run begins, or is over."""
        key = (line.task, line.run)
        if line.event == START:
            self.end(key)
            self.runs[key] = line.worker
            self.held[line.worker] = self.held.get(line.worker, _NOTHING) + self._needs(line.task)
        elif line.event in RUN_ENDS:
            self.end(key)

    def end(self, key: RunKey) -> None:
        """A run is over, where it is known."""
        worker = self.runs.pop(key, None)
        if worker is not None:
            self.held[worker] -= self._needs(key[0])

    def use(self, accelerators: int) -> PoolUse:
        """What is held of the workers that are there.

        :param accelerators: of each worker.
        """
        used = sum(held.accelerators for held in self.held.values())
        return PoolUse(used, len(self.present) * accelerators)

    def has_room_for(self, step: LoggedStep, room: Resources) -> bool:
        """Whether a step that waits fits in twice over.

        :param room: of each worker.
        """
        wanted = step.count if step.gang else 1
        copies = 0
        for worker in self.present:
            copies += step.needs.copies_in(room - self.held.get(worker, _NOTHING))
            if copies >= ROOM_FACTOR * wanted:
                break
        return has_room(self.use(room.accelerators), copies, wanted)

    def _needs(self, task: str) -> Resources:
        name = TaskName.parse(task)
        return self.needs.get((name.job_id, name.step), _NOTHING)


def needs_of(lines: Iterable[LogLine]) -> dict[tuple[str, int], Resources]:
    """What a task takes, by job and step."""
    found: dict[tuple[str, int], Resources] = {}
    for line in lines:
        if line.event == "accepted":
            for number, text in enumerate(line.steps):
                step = logged_step(text)
                if step is not None:
                    found[line.job, number] = step.needs
    return found


def seen_workers(lines: Sequence[LogLine]) -> dict[str, SeenWorker]:
    """The lives of workers that ran something, lines in order of time."""
    found: dict[str, SeenWorker] = {}
    for line in lines:
        if not line.worker:
            continue
        known = found.get(line.worker)
        if known is not None:
            found[line.worker] = SeenWorker(known.first_s, line.at_s)
        elif line.event == START:
            found[line.worker] = SeenWorker(line.at_s, line.at_s)
    if any(_tells_of_going(line) for line in lines):
        return found
    return {name: SeenWorker(seen.first_s, lines[-1].at_s) for name, seen in found.items()}


def _tells_of_going(line: LogLine) -> bool:
    return line.event in GOINGS or line.proof in GONE_PROOFS or line.reason == LEAVES


def most_held(
    lines: Iterable[LogLine], needs: Mapping[tuple[str, int], Resources], accelerators: int
) -> Resources:
    """The most processors and memory that were held of one worker at one time, and accelerators.

    What seems to hold more accelerators than there are has ended unheard, and does not count.

    :param accelerators: of each worker.
    """
    pool = LoggedPool(needs)
    most = Resources(0, 0, accelerators)
    for line in lines:
        pool.take(line)
        if line.event == START:
            held = pool.held[line.worker]
            if held.accelerators <= accelerators:
                cpu, memory_mb = max(most.cpu, held.cpu), max(most.memory_mb, held.memory_mb)
                most = Resources(cpu, memory_mb, accelerators)
    return most
