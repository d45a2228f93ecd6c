"""What is wrong with the leader, the store and the workers at a moment, and what that excuses.

A standstill is explained where one of these rules held at a moment of it; the rules are asked anew
at each look, and a job that stands for as long again after the last of them is not explained by
it. So none of them needs time for what follows a trouble: 3 s of standing have it already.

``NO_LEADER``
    No VM schedules: nobody can start anything.
``LEADER``
    The VM that schedules stands still or is slow, by the day's trouble.
``STORE``
    The way from a scheduling VM to the store has trouble: what starts has to be written first.
``DOUBT``
    A run of the job, or the order for one, is at a worker that the leader cannot ask now: it has
    ended its life, or the leader's way there has trouble, or its entry in the store is not as it
    wrote it. The leader has no proof that the run is over, and a second run would be a doubled
    one. It holds no longer than the leases do: ``DOUBT_S`` after the order, or after the run's end
    where the worker ran it, and ``INHERITED_S`` after the term began, since leaders before may have
    granted more. So does a run that the store has as given to such a worker, though no order for
    it left: a leader that came since cannot know that.
``OUT_OF_REACH``
    Half of the accelerators of all workers that live is held, those out of reach among them, though
    less is of those that serve.

A way that is slow, but answers within the shortest time-out there, is no trouble. Besides, a worker
that takes nothing now counts as neither free nor used (see :meth:`Troubles.counts`); of one that is
looked at, while orders of other kinds do not reach it, the free room counts for no job.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from saddlestack.codec import from_msgpack
from saddlestack.control.keys import progress_key
from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S
from saddlestack.control.leases import CLOCK_DRIFT, LAPSE_SLACK_S
from saddlestack.control.session import LONG_POLL_S, LONG_POLL_SLACK_S, POLL_TIMEOUT_S
from saddlestack.platform.kv import CALL_TIMEOUT_S
from saddlestack.policy.cluster.records import OccurrenceRecord, TaskStatus
from saddlestack.policy.cluster.workers import LONGEST_QUARANTINE_S
from saddlestack.policy.stall import PoolUsage
from tests.simulation.deployment import Deployment, Vm
from tests.simulation.ways import ANY, STORE, TRIP_S, Fault
from tests.simulation.workers import HOLD_S, SimWorker

LONGEST_LEASE_S = HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
"""For so long a leader counts a lease that it has granted."""
DOUBT_S = LONGEST_LEASE_S + LONG_POLL_S + LONG_POLL_SLACK_S
"""The last lease may leave for a worker with a look that began just before it fell silent."""
INHERITED_S = LEASE_S + RENEWAL_GRACE_S + LONGEST_LEASE_S
"""For so long from its beginning a leader counts the leases of leaders before."""


class Rule(enum.StrEnum):
    """Why a job may stand, see the module."""

    NO_LEADER = "no leader"
    LEADER = "leader in trouble"
    STORE = "store in trouble"
    DOUBT = "run in doubt"
    OUT_OF_REACH = "half used out of reach"


@dataclass(slots=True)
class Troubles:
    """What is wrong at one moment.

    :param leader: the VM of the latest term, if one schedules.
    :param term_began_s: since when it was seen to do so.
    """

    site: Deployment
    now: float
    leader: Vm | None
    term_began_s: float

    def of_all(self) -> Iterator[Rule]:
        """The rules that hold for every job."""
        if self.leader is None:
            yield Rule.NO_LEADER
            return
        loop = self.leader.loop
        if loop.stands_until > self.now or loop.slowness.until > self.now:
            yield Rule.LEADER
        if self._has_fault({STORE}, CALL_TIMEOUT_S):
            yield Rule.STORE
        if not self._whole_pool().is_mostly_free:
            yield Rule.OUT_OF_REACH

    def of_job(self, job_id: str) -> Iterator[Rule]:
        """The rules that hold for one job."""
        if any(self._in_doubt(job_id)) or any(self._inherited(job_id)):
            yield Rule.DOUBT

    def counts(self, worker: SimWorker) -> bool:
        """Whether a worker counts as part of the pool now.

        Not one that leaves, that the leader cannot look at, or that fails what it starts by its own
        fault: the last for as long as the longest quarantine after its last such failure. Nor one
        whose address another life has had at the same time: days bring that about where a worker
        leaves later than it was to, and no deployment does.
        """
        if worker.shares_address:
            return False
        beats = self.site.heartbeats[worker.worker_id]
        if beats.worker is not worker or beats.leaves_s is not None:
            return False
        if self.now < max(worker.grey_until, worker.failed_s + LONGEST_QUARANTINE_S):
            return False
        return worker.up and self.site.is_listed(beats) and not self._is_cut_off(worker, ("/hold",))

    def serves(self, worker: SimWorker) -> bool:
        """Whether a worker counts, and what it has free may be used."""
        return self.counts(worker) and not self.keeps_from(worker)

    def keeps_from(self, worker: SimWorker) -> bool:
        """Whether the leader cannot ask a worker now."""
        if not worker.up:
            return True
        beats = self.site.heartbeats[worker.worker_id]
        if beats.worker is not worker or not self.site.is_listed(beats):
            return True
        return self._is_cut_off(worker, ("/start", "/stop", "/hold"))

    def _is_cut_off(self, worker: SimWorker, kinds: tuple[str, ...]) -> bool:
        """Whether the way to a worker has trouble, for all orders or for one of some kinds."""
        name = worker.worker_id
        return self._has_fault({name, *(name + kind for kind in kinds)}, POLL_TIMEOUT_S)

    def _whole_pool(self) -> PoolUsage:
        alive = [worker for worker in self.site.workers.lives.values() if worker.up]
        total = sum(worker.room for worker in alive)
        return PoolUsage(total - sum(worker.free for worker in alive), total)

    def _in_doubt(self, job_id: str) -> Iterator[bool]:
        last_s = self.term_began_s + INHERITED_S
        workers = self.site.workers
        for order in workers.orders.get(job_id, ()):
            run = workers.run_of(order)
            ended_s = order.sent_s if run is None or run.ended_s is None else run.ended_s
            settled = order.answered if run is None else run.noted
            if not settled and self.now < max(last_s, ended_s + DOUBT_S):
                yield self.keeps_from(order.worker)

    def _inherited(self, job_id: str) -> Iterator[bool]:
        """Whether the leader cannot ask the workers that earlier ones gave runs of a job."""
        if self.now >= self.term_began_s + INHERITED_S:
            return
        for value in self.site.store.peek_under(progress_key(f"{job_id}.")):
            for step in from_msgpack(value, OccurrenceRecord).steps:
                for task in step.tasks:
                    worker = self.site.workers.lives.get(task.worker)
                    if task.status is TaskStatus.ASSIGNED and worker is not None:
                        yield self.keeps_from(worker)

    def _has_fault(self, others: set[str], timeout_s: float) -> bool:
        """Whether the way of a VM that schedules to something has trouble.

        :param timeout_s: the shortest that it waits there for an answer.
        """
        leaders = {vm.name for vm in self.site.vms.values() if vm.leads} | {ANY}
        return any(
            fault.until > self.now
            and fault.vm in leaders
            and fault.other in (others | {ANY})
            and not _is_harmless(fault, timeout_s)
            for fault in self.site.ways.faults
        )


def _is_harmless(fault: Fault, timeout_s: float) -> bool:
    """Whether every call is answered in time all the same."""
    return fault.kind == "slow" and 2 * (fault.strength + TRIP_S) < timeout_s
