"""Which machine of a wave goes down for its upkeep next, and when."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from saddlestack.interfaces.machines import Wave
from saddlestack.policy.cluster.workers import Worker

SLACK_S = 1.0
LEAST_PREPARATION_S = 1.0


class MachineStatus(enum.StrEnum):
    """Where a machine stands in its wave."""

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
    """One wave as its leader drives it.

    At most ``most`` machines are being prepared, ordered or down at any time, so that never
    more can be down at once, whatever became of an order without an answer.

    :param seen_s: when the leader first saw the wave.
    :param down_s: how long a machine's upkeep takes.
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
        """Whether every machine has begun its upkeep, or is gone."""
        return all(m.status in {MachineStatus.DOWN, MachineStatus.DONE} for m in self._all())

    @property
    def begun(self) -> tuple[str, ...]:
        """Machines whose upkeep has begun or is over."""
        return tuple(
            name
            for name, machine in self.machines.items()
            if machine.status in {MachineStatus.DOWN, MachineStatus.DONE}
        )

    def prepare(self, workers: Mapping[str, Worker], now: float) -> list[tuple[Worker, float]]:
        """Workers that from now on get no work, and when their machine is to go down.

        :param workers: the listed worker of each machine.
        """
        self._come_back(workers)
        chosen = self._restarted(workers)
        waiting = [n for n, m in self.machines.items() if m.status is MachineStatus.WAITING]
        waiting.sort(key=lambda name: _load(workers.get(name)))
        for name in waiting:
            if self._busy() >= self.wave.most:
                break
            worker = workers.get(name)
            machine = self.machines[name]
            machine.status = MachineStatus.PREPARING
            machine.worker_id = _life_of(worker)
            machine.order_by_s = now + self._preparation(now)
            if worker is not None:
                chosen.append((worker, machine.order_by_s))
        return chosen

    def due(self, workers: Mapping[str, Worker], now: float) -> list[str]:
        """Machines to be ordered down now: they run nothing, or their time has come."""
        names = []
        for name, machine in self.machines.items():
            worker = workers.get(name)
            is_due = worker is None or not worker.runs or now >= machine.order_by_s
            if machine.status is MachineStatus.PREPARING and is_due:
                machine.status = MachineStatus.ORDERED
            if machine.status is MachineStatus.ORDERED:
                machine.worker_id = _life_of(worker) or machine.worker_id
                names.append(name)
        return names

    def mark_down(self, machine: str) -> None:
        """The order was carried out."""
        self.machines[machine].status = MachineStatus.DOWN

    def mark_done(self, machine: str) -> None:
        """There is no such machine any more, or it is not of this wave."""
        self.machines[machine].status = MachineStatus.DONE

    def is_preparing(self, machine: str) -> bool:
        """Whether a machine is to go down and has not yet."""
        known = self.machines.get(machine)
        return known is not None and known.status in {
            MachineStatus.PREPARING,
            MachineStatus.ORDERED,
        }

    def _restarted(self, workers: Mapping[str, Worker]) -> list[tuple[Worker, float]]:
        """Workers that started again on machines that are to run empty: they know nothing of it."""
        found = []
        for name, machine in self.machines.items():
            worker = workers.get(name)
            if machine.status is not MachineStatus.PREPARING or worker is None:
                continue
            if worker.worker_id != machine.worker_id:
                machine.worker_id = worker.worker_id
                found.append((worker, machine.order_by_s))
        return found

    def _come_back(self, workers: Mapping[str, Worker]) -> None:
        for name, machine in self.machines.items():
            worker = workers.get(name)
            returned = worker is not None and worker.worker_id != machine.worker_id
            if machine.status is MachineStatus.DOWN and returned:
                machine.status = MachineStatus.DONE

    def _busy(self) -> int:
        quiet = {MachineStatus.WAITING, MachineStatus.DONE}
        return sum(1 for machine in self._all() if machine.status not in quiet)

    def _preparation(self, now: float) -> float:
        """Seconds that a machine may take to run empty, so that all are through in time."""
        left = sum(1 for m in self._all() if m.status is not MachineStatus.DONE)
        rounds = max(1, -(-left // max(1, self.wave.most)))
        remaining = self.seen_s + self.wave.deadline_s - now - SLACK_S
        return max(LEAST_PREPARATION_S, remaining / rounds - self.down_s - SLACK_S)

    def _all(self) -> list[_Machine]:
        return list(self.machines.values())


def _load(worker: Worker | None) -> int:
    return 0 if worker is None else len(worker.runs)


def _life_of(worker: Worker | None) -> str:
    return "" if worker is None else worker.worker_id
