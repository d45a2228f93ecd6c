"""Baseline policies to compare with: `fifo` and `first-fit`.

Both start gangs whole and respect worker limits and adjacency; neither knows guarantees,
reclaims, reserves or moves anything.
"""

from __future__ import annotations

from collections.abc import Iterable

from saddlestack.errors import ErrorKind
from saddlestack.models import Adjacency, JobSpec, JobState, Part
from saddlestack.policy.gang import Decision, Gang, Loss, Refusal, Start
from saddlestack.policy.packing import Shares
from saddlestack.policy.planner import CellSite
from saddlestack.policy.resources import CellResources


class Baseline:
    """Starts waiting gangs in the order of submission, in the first place that fits.

    :param strict: whether a gang that does not fit blocks all behind it.
    """

    def __init__(self, sites: Iterable[CellSite], *, strict: bool) -> None:
        self._strict = strict
        self.cell_resources = {site.plan.name: CellResources(site.workers) for site in sites}
        self._room_of_vm = {
            worker.name: room for room in self.cell_resources.values() for worker in room.workers
        }
        self.waiting: dict[str, Gang] = {}
        self.running: dict[str, tuple[Gang, CellResources]] = {}
        self._orders = 0

    def submit(self, spec: JobSpec, now: float) -> Refusal | None:
        """Take a job in, if any room could ever hold it."""
        if not any(self._could_hold(room, spec) for room in self.cell_resources.values()):
            return Refusal(ErrorKind.SHAPE_IMPOSSIBLE, f"no cell can ever hold {spec.shape}")
        self._orders += 1
        gang = Gang(spec, now, self._orders)
        self.waiting[gang.job_id] = gang
        return None

    def decide(self, now: float) -> list[Decision]:
        """Start what fits."""
        decisions: list[Decision] = []
        too_large: dict[Adjacency, int] = {}
        for gang in sorted(self.waiting.values(), key=lambda gang: gang.order):
            spec = gang.spec
            found = None
            if spec.accelerators < too_large.get(spec.adjacent, 1 << 30):
                found = self._first_fit(spec)
            if found is not None:
                decisions.append(self._start(gang, *found, now))
                continue
            too_large[spec.adjacent] = min(spec.accelerators, too_large.get(spec.adjacent, 1 << 30))
            if self._strict:
                break
        return decisions

    def finished(self, job_id: str) -> None:
        """A running gang ended."""
        gang, room = self.running.pop(job_id)
        room.give_back(gang.shares, pinned=False)

    def cancel(self, job_id: str) -> None:
        """Drop a job."""
        if self.waiting.pop(job_id, None) is None:
            self.finished(job_id)

    def vm_lost(self, vm: str, now: float) -> list[Loss]:
        """A worker is gone, and with it every gang that had a part there."""
        room = self._room_of_vm[vm]
        index = room.index[vm]
        hurt = [
            gang
            for gang, place in self.running.values()
            if place is room and any(worker == index for worker, _ in gang.shares)
        ]
        room.set_state(index, up=False, leaving=False)
        losses = []
        for gang in hurt:
            lost = gang.work(now)
            self.finished(gang.job_id)
            state = JobState.UNKNOWN if gang.spec.run_once else JobState.QUEUED
            if state is JobState.QUEUED:
                self.waiting[gang.job_id] = gang
            losses.append(Loss(gang.job_id, gang.attempt, state, lost))
        return losses

    def vm_leaving(self, vm: str) -> None:
        """A worker receives no new work."""
        room = self._room_of_vm[vm]
        index = room.index[vm]
        room.set_state(index, up=room.up[index], leaving=True)

    def vm_back(self, vm: str) -> None:
        """A worker serves again."""
        room = self._room_of_vm[vm]
        room.set_state(room.index[vm], up=True, leaving=False)

    def _start(self, gang: Gang, room: CellResources, shares: Shares, now: float) -> Start:
        del self.waiting[gang.job_id]
        gang.attempt += 1
        gang.started = now
        gang.shares = shares
        room.take(shares, pinned=False)
        self.running[gang.job_id] = (gang, room)
        parts = tuple(Part(room.workers[w].name, count) for w, count in shares)
        return Start(gang.job_id, gang.attempt, parts, gang.progress, False)

    def _first_fit(self, spec: JobSpec) -> tuple[CellResources, Shares] | None:
        for room in self.cell_resources.values():
            shares = _first_place(room, spec)
            if shares is not None:
                return room, shares
        return None

    def _could_hold(self, room: CellResources, spec: JobSpec) -> bool:
        rank = [Adjacency.WORKER, Adjacency.RACK, Adjacency.HALL].index(spec.adjacent)
        return room.largest_possible(rank) >= spec.accelerators


def _first_place(room: CellResources, spec: JobSpec) -> Shares | None:
    if spec.adjacent is Adjacency.WORKER:
        for worker, free in enumerate(room.free):
            if free >= spec.accelerators:
                return ((worker, spec.accelerators),)
        return None
    groups = room.racks
    if spec.adjacent is Adjacency.HALL:
        groups = [[worker for rack in room.racks for worker in rack]]
    for workers in groups:
        if sum(room.free[w] for w in workers) >= spec.accelerators:
            return _take_in_order(room, workers, spec.accelerators)
    return None


def _take_in_order(room: CellResources, workers: Iterable[int], wanted: int) -> Shares:
    shares: list[tuple[int, int]] = []
    for worker in workers:
        count = min(room.free[worker], wanted)
        if count:
            shares.append((worker, count))
            wanted -= count
        if not wanted:
            break
    return tuple(shares)
