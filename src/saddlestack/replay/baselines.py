"""Baseline policies for comparison: `fifo` and `first-fit`.

Both start whole gangs and respect worker limits and adjacency. Neither supports guarantees, nor
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

    :param strict: whether a gang that does not fit blocks all later ones.
    """

    def __init__(self, sites: Iterable[CellSite], *, strict: bool) -> None:
        self._strict = strict
        self.cell_resources = {site.plan.name: CellResources(site.workers) for site in sites}
        self._resources_of_vm = {
            worker.name: resources
            for resources in self.cell_resources.values()
            for worker in resources.workers
        }
        self.waiting: dict[str, Gang] = {}
        self.running: dict[str, tuple[Gang, CellResources]] = {}
        self._submissions = 0

    def submit(self, spec: JobSpec, now: float) -> Refusal | None:
        """Queue a job, or refuse it if no cell can ever hold it."""
        if not any(
            self._can_ever_fit(resources, spec) for resources in self.cell_resources.values()
        ):
            return Refusal(ErrorKind.SHAPE_IMPOSSIBLE, f"no cell can ever hold {spec.shape}")
        self._submissions += 1
        gang = Gang(spec, now, self._submissions)
        self.waiting[gang.job_id] = gang
        return None

    def decide(self, now: float) -> list[Decision]:
        """Start the waiting gangs that fit."""
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
        """Release the resources of a running gang that ended."""
        gang, resources = self.running.pop(job_id)
        resources.give_back(gang.shares, pinned=False)

    def cancel(self, job_id: str) -> None:
        """Remove a waiting or running job."""
        if self.waiting.pop(job_id, None) is None:
            self.finished(job_id)

    def vm_lost(self, vm: str, now: float) -> list[Loss]:
        """Mark a worker as lost and return the gangs that had a part on it."""
        resources = self._resources_of_vm[vm]
        index = resources.index[vm]
        affected = [
            gang
            for gang, place in self.running.values()
            if place is resources and any(worker == index for worker, _ in gang.shares)
        ]
        resources.set_state(index, up=False, leaving=False)
        losses = []
        for gang in affected:
            lost = gang.work(now)
            self.finished(gang.job_id)
            state = JobState.UNKNOWN if gang.spec.run_once else JobState.QUEUED
            if state is JobState.QUEUED:
                self.waiting[gang.job_id] = gang
            losses.append(Loss(gang.job_id, gang.attempt, state, lost))
        return losses

    def vm_leaving(self, vm: str) -> None:
        """Stop placing new work on a worker."""
        resources = self._resources_of_vm[vm]
        index = resources.index[vm]
        resources.set_state(index, up=resources.up[index], leaving=True)

    def vm_back(self, vm: str) -> None:
        """Mark a worker as up again."""
        resources = self._resources_of_vm[vm]
        resources.set_state(resources.index[vm], up=True, leaving=False)

    def _start(self, gang: Gang, resources: CellResources, shares: Shares, now: float) -> Start:
        del self.waiting[gang.job_id]
        gang.attempt += 1
        gang.started = now
        gang.shares = shares
        resources.take(shares, pinned=False)
        self.running[gang.job_id] = (gang, resources)
        parts = tuple(Part(resources.workers[w].name, count) for w, count in shares)
        return Start(gang.job_id, gang.attempt, parts, gang.progress, False)

    def _first_fit(self, spec: JobSpec) -> tuple[CellResources, Shares] | None:
        for resources in self.cell_resources.values():
            shares = _first_place(resources, spec)
            if shares is not None:
                return resources, shares
        return None

    def _can_ever_fit(self, resources: CellResources, spec: JobSpec) -> bool:
        rank = [Adjacency.WORKER, Adjacency.RACK, Adjacency.HALL].index(spec.adjacent)
        return resources.largest_possible(rank) >= spec.accelerators


def _first_place(resources: CellResources, spec: JobSpec) -> Shares | None:
    if spec.adjacent is Adjacency.WORKER:
        for worker, free in enumerate(resources.free):
            if free >= spec.accelerators:
                return ((worker, spec.accelerators),)
        return None
    groups = resources.racks
    if spec.adjacent is Adjacency.HALL:
        groups = [[worker for rack in resources.racks for worker in rack]]
    for workers in groups:
        if sum(resources.free[w] for w in workers) >= spec.accelerators:
            return _take_in_order(resources, workers, spec.accelerators)
    return None


def _take_in_order(resources: CellResources, workers: Iterable[int], wanted: int) -> Shares:
    shares: list[tuple[int, int]] = []
    for worker in workers:
        count = min(resources.free[worker], wanted)
        if count:
            shares.append((worker, count))
            wanted -= count
        if not wanted:
            break
    return tuple(shares)
