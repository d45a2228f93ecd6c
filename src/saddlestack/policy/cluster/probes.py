"""Probes: single tasks on idle workers of unknown speed, so that their speed becomes known.

Work that tolerates slow workers fills the known slow ones first, so it never reaches unknown ones.
Urgent gangs would then be the first to run there, and the known workers no fair sample of the pool.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from saddlestack.policy.cluster.headroom import HEADROOM_SHARE, headroom_allows
from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run, StepState, Task
from saddlestack.policy.cluster.speed_limits import SpeedLimit
from saddlestack.policy.cluster.speed_rank import MIN_LIMIT, exceeds
from saddlestack.policy.cluster.speed_steps import MIN_WORKERS
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

PROBE_SHARE = 0.25
"""Share of the headroom's accelerators on workers that probes use at a time. A probe needs some 2 s
to tell a speed, so a pool is gone through within 32 s, and urgent work keeps most of the headroom.
"""


class Probes:
    """Chooses the workers to probe, and bounds how many are in use by probes."""

    def __init__(self) -> None:
        self._running: dict[Worker, Run] = {}
        self._held: Counter[str] = Counter()
        self._idle: dict[str, list[Worker]] = {}
        self._failed: set[int] = set()

    def begin_round(self) -> None:
        """Drop the probes that have ended or whose worker is known by now."""
        self._idle.clear()
        self._failed.clear()
        self._held.clear()
        for worker, run in list(self._running.items()):
            is_running = worker.runs.get((run.task.name, run.number)) is run
            if not is_running or worker.speed_known:
                del self._running[worker]
            else:
                self._held[worker.record.service] += worker.record.capacity.accelerators

    def is_wanted(self, service: str, service_capacity: ServiceCapacity) -> bool:
        """Whether a service has idle workers whose speed is to be learned, and may use one.

        Without a known slow worker all count as alike, and nothing is probed.
        """
        if not service_capacity.has_slow_workers or not service_capacity.has_unknown_speeds:
            return False
        if not self._has_room(service, service_capacity):
            return False
        return bool(self._idle_workers(service, service_capacity))

    def tolerates_slow(
        self, step: StepState, limit: SpeedLimit, known_factors: Sequence[float]
    ) -> bool:
        """Whether a step may run on a worker that turns out to be slow, and tells its speed.

        :param known_factors: the known factors of its service in ascending order.
        """
        if step.occurrence.job.priority == TOP_PRIORITY or not _tells_speed(step):
            return False
        if not limit.restricts:
            return True
        slow = [each for each in known_factors if exceeds(each, MIN_LIMIT)]
        return not exceeds(slow[(len(slow) - 1) // 2], limit.max_factor)

    def has_failed(self, shape: int | None) -> bool:
        """Whether a step of this shape has found no worker to probe in this round."""
        return shape in self._failed

    def note_failed(self, shape: int | None) -> None:
        """Record that a step of this shape has found no worker to probe."""
        if shape is not None:
            self._failed.add(shape)

    def candidates(
        self, service: str, service_capacity: ServiceCapacity, now: float
    ) -> Iterator[Worker]:
        """The workers to probe, those in racks with the fewest empty workers first.

        Whole racks stay empty for gangs that way. Where the share of the headroom is below one
        worker, a single probe runs on a worker that the headroom does not need.
        """
        for worker in self._idle_workers(service, service_capacity):
            if not _is_idle(worker) or worker.is_cold(now):
                continue
            held = self._held[service]
            if held + worker.record.capacity.accelerators <= _share(service_capacity) or (
                not held and headroom_allows(service_capacity, [worker], 0.0)
            ):
                yield worker

    def started(self, task: Task, worker: Worker) -> None:
        """Note that a task has been started as a probe."""
        if task.run is not None:
            self._running[worker] = task.run
            self._held[worker.record.service] += worker.record.capacity.accelerators

    def _has_room(self, service: str, service_capacity: ServiceCapacity) -> bool:
        """Whether probes hold less than their share."""
        held = self._held[service]
        return not held or held < _share(service_capacity)

    def _idle_workers(self, service: str, service_capacity: ServiceCapacity) -> list[Worker]:
        found = self._idle.get(service)
        if found is None:
            found = [worker for worker in service_capacity.of_speed(None) if _is_idle(worker)]
            found.sort(key=service_capacity.empty_in_rack)
            self._idle[service] = found
        return found


def _share(service_capacity: ServiceCapacity) -> float:
    """Accelerators of the workers that probes may use at a time."""
    return service_capacity.open.accelerators * HEADROOM_SHARE * PROBE_SHARE


def _tells_speed(step: StepState) -> bool:
    """Whether the runs of a step are compared with each other, wherever they run.

    A gang is not spread over idle workers: it would be held up by the slowest one.
    """
    needs = step.step
    if needs.gang or needs.long_running or needs.fills or needs.target_ms or needs.data_rack:
        return False
    return needs.count >= MIN_WORKERS


def _is_idle(worker: Worker) -> bool:
    """Whether a worker neither runs anything nor is reserved, and has not failed lately."""
    return not worker.runs and worker.reserved == Resources() and not worker.strikes
