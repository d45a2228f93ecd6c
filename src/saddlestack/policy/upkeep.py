"""Schedules the machines of a wave for upkeep, a bounded number at a time."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from saddlestack.interfaces.machines import Wave
from saddlestack.policy.cluster.workers import Worker

SLACK_S = 1.0
MIN_PREPARATION_S = 1.0


class MachineStatus(enum.StrEnum):
    """The progress of a machine through its wave."""

    WAITING = "waiting"
    PREPARING = "preparing"
    ORDERED = "ordered"
    DOWN = "down"
    DONE = "done"


@dataclass(slots=True)
class _Machine:
    status: MachineStatus = MachineStatus.WAITING
    worker_id: str = ""
    order_by_s: float = 0.0


@dataclass(slots=True)
class WaveState:
    """The state of one wave at the leader.

    At most ``wave.max_down`` machines are being prepared, ordered or down at any time. This also
    bounds the machines that are down, even if an order was carried out but never answered.

    :param seen_s: when the leader first saw the wave.
    :param down_s: how long the upkeep of a machine takes.
    """

    wave: Wave
    seen_s: float
    down_s: float
    machines: dict[str, _Machine] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name in self.wave.machines:
            self.machines.setdefault(name, _Machine())

    @property
    def finished(self) -> bool:
        """Whether every machine has begun its upkeep or is gone."""
        return all(m.status in {MachineStatus.DOWN, MachineStatus.DONE} for m in self._all())

    @property
    def begun(self) -> tuple[str, ...]:
        """Machines whose upkeep has begun or is complete."""
        return tuple(
            name
            for name, machine in self.machines.items()
            if machine.status in {MachineStatus.DOWN, MachineStatus.DONE}
        )

    def prepare(self, workers: Mapping[str, Worker], now: float) -> list[tuple[Worker, float]]:
        """Choose the machines to prepare next.

        :param workers: the listed worker of each machine.
        :return: workers that must get no new work, with the time their machine goes down.
        """
        self._mark_returned(workers)
        chosen = self._restarted(workers)
        waiting = [n for n, m in self.machines.items() if m.status is MachineStatus.WAITING]
        waiting.sort(key=lambda name: _run_count(workers.get(name)))
        for name in waiting:
            if self._count_in_progress() >= self.wave.max_down:
                break
            worker = workers.get(name)
            machine = self.machines[name]
            machine.status = MachineStatus.PREPARING
            machine.worker_id = _worker_id(worker)
            machine.order_by_s = now + self._preparation_s(now)
            if worker is not None:
                chosen.append((worker, machine.order_by_s))
        return chosen

    def due(self, workers: Mapping[str, Worker], now: float) -> list[str]:
        """Machines to order down now: those that run nothing or whose preparation time is up."""
        names = []
        for name, machine in self.machines.items():
            worker = workers.get(name)
            is_due = worker is None or not worker.runs or now >= machine.order_by_s
            if machine.status is MachineStatus.PREPARING and is_due:
                machine.status = MachineStatus.ORDERED
            if machine.status is MachineStatus.ORDERED:
                machine.worker_id = _worker_id(worker) or machine.worker_id
                names.append(name)
        return names

    def mark_down(self, machine: str) -> None:
        """Record that the order was carried out."""
        self.machines[machine].status = MachineStatus.DOWN

    def mark_done(self, machine: str) -> None:
        """Record that a machine is gone, not part of this wave, or had its upkeep before."""
        self.machines[machine].status = MachineStatus.DONE

    def is_preparing(self, machine: str) -> bool:
        """Whether a machine is going to be taken down but is not down yet."""
        known = self.machines.get(machine)
        return known is not None and known.status in {
            MachineStatus.PREPARING,
            MachineStatus.ORDERED,
        }

    def _restarted(self, workers: Mapping[str, Worker]) -> list[tuple[Worker, float]]:
        """Workers that restarted on machines in preparation and have to be closed again."""
        found = []
        for name, machine in self.machines.items():
            worker = workers.get(name)
            if machine.status is not MachineStatus.PREPARING or worker is None:
                continue
            if worker.worker_id != machine.worker_id:
                machine.worker_id = worker.worker_id
                found.append((worker, machine.order_by_s))
        return found

    def _mark_returned(self, workers: Mapping[str, Worker]) -> None:
        for name, machine in self.machines.items():
            worker = workers.get(name)
            returned = worker is not None and worker.worker_id != machine.worker_id
            if machine.status is MachineStatus.DOWN and returned:
                machine.status = MachineStatus.DONE

    def _count_in_progress(self) -> int:
        idle = {MachineStatus.WAITING, MachineStatus.DONE}
        return sum(1 for machine in self._all() if machine.status not in idle)

    def _preparation_s(self, now: float) -> float:
        """Seconds allowed for draining a machine, so that all are done by the deadline."""
        left = sum(1 for m in self._all() if m.status is not MachineStatus.DONE)
        rounds = max(1, -(-left // max(1, self.wave.max_down)))
        remaining = self.seen_s + self.wave.deadline_s - now - SLACK_S
        return max(MIN_PREPARATION_S, remaining / rounds - self.down_s - SLACK_S)

    def _all(self) -> list[_Machine]:
        return list(self.machines.values())


def _run_count(worker: Worker | None) -> int:
    return 0 if worker is None else len(worker.runs)


def _worker_id(worker: Worker | None) -> str:
    return "" if worker is None else worker.worker_id
