"""The faults of the leader, the store and the workers at a time, and the stalls they explain.

A stall is explained if one of these rules held at any time during it. The rules are evaluated anew
at each scan, and a job that stays stalled for as long again after the last of them held is not
explained by it. So no rule adds time for recovery from a fault: the 3 s that a job has to be
stalled include it already.

``NO_LEADER``
    No VM schedules, so nothing can be started.
``LEADER``
    The VM that schedules is paused or slowed down by a fault of the day.
``STORE``
    The link from a scheduling VM to the store has a fault: a start has to be written first.
``DOUBT``
    A run of the job, or the order for one, is at a worker that the leader cannot reach now: its
    incarnation has ended, or the leader's link to it has a fault, or its record in the store is
    not as it wrote it. The leader has no proof that the run is over, and a second run might run at
    the same time. The rule holds no longer than the leases do: ``DOUBT_S`` after the order, or
    after the run's end where the worker ran it, and ``INHERITED_S`` after the term began, since
    earlier leaders may have granted more. The same holds for a run that the store has as assigned
    to such a worker although no order was sent: a later leader cannot know that.
``OUT_OF_REACH``
    Half of the accelerators of all running workers, unreachable ones included, is in use, although
    less than half is on the workers that serve.

A link that is slow but answers within the shortest timeout used there is not a fault. A worker that
accepts no work now counts as neither free nor used (see :meth:`Troubles.counts`). The free capacity
of a worker that can be polled but that other kinds of orders do not reach counts for no job.
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
"""How long a leader assumes that a lease it granted is held."""
DOUBT_S = LONGEST_LEASE_S + LONG_POLL_S + LONG_POLL_SLACK_S
"""The last lease may be sent with a poll that began just before the worker became unreachable."""
INHERITED_S = LEASE_S + RENEWAL_GRACE_S + LONGEST_LEASE_S
"""How long from its beginning a term assumes that leases of earlier leaders are held."""


class Rule(enum.StrEnum):
    """Why a job may be stalled, see the module's docstring."""

    NO_LEADER = "no leader"
    LEADER = "leader in trouble"
    STORE = "store in trouble"
    DOUBT = "run in doubt"
    OUT_OF_REACH = "half used out of reach"


@dataclass(slots=True)
class Troubles:
    """The faults at one time.

    :param leader: the VM of the latest term, if one schedules.
    :param term_began_s: when it was first observed to schedule.
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
        if not self._usage_of_all_workers().is_mostly_free:
            yield Rule.OUT_OF_REACH

    def of_job(self, job_id: str) -> Iterator[Rule]:
        """The rules that hold for one job."""
        if any(self._unreachable_ordered(job_id)) or any(self._unreachable_assigned(job_id)):
            yield Rule.DOUBT

    def counts(self, worker: SimWorker) -> bool:
        """Whether a worker counts as part of the pool now.

        A worker doesn't count if it is draining, if the leader cannot poll it, or if it fails runs
        by its own fault; the last for as long as the longest quarantine after the last such
        failure. Neither does one whose address another incarnation used at the same time: this
        happens on simulated days where a worker leaves late, but in no deployment.
        """
        if worker.shares_address:
            return False
        beats = self.site.heartbeats[worker.worker_id]
        if beats.worker is not worker or beats.leaves_s is not None:
            return False
        if self.now < max(worker.grey_until, worker.failed_s + LONGEST_QUARANTINE_S):
            return False
        return (
            worker.up
            and self.site.is_listed(beats)
            and not self._has_link_fault(worker, ("/hold",))
        )

    def serves(self, worker: SimWorker) -> bool:
        """Whether a worker counts and its free capacity may be used."""
        return self.counts(worker) and not self.keeps_from(worker)

    def keeps_from(self, worker: SimWorker) -> bool:
        """Whether the leader cannot reach a worker now."""
        if not worker.up:
            return True
        beats = self.site.heartbeats[worker.worker_id]
        if beats.worker is not worker or not self.site.is_listed(beats):
            return True
        return self._has_link_fault(worker, ("/start", "/stop", "/hold"))

    def _has_link_fault(self, worker: SimWorker, kinds: tuple[str, ...]) -> bool:
        """Whether the link to a worker has a fault, for all orders or for one of some kinds."""
        name = worker.worker_id
        return self._has_fault({name, *(name + kind for kind in kinds)}, POLL_TIMEOUT_S)

    def _usage_of_all_workers(self) -> PoolUsage:
        alive = [worker for worker in self.site.workers.lives.values() if worker.up]
        total = sum(worker.room for worker in alive)
        return PoolUsage(total - sum(worker.free for worker in alive), total)

    def _unreachable_ordered(self, job_id: str) -> Iterator[bool]:
        last_s = self.term_began_s + INHERITED_S
        workers = self.site.workers
        for order in workers.orders.get(job_id, ()):
            run = workers.run_of(order)
            ended_s = order.sent_s if run is None or run.ended_s is None else run.ended_s
            settled = order.answered if run is None else run.noted
            if not settled and self.now < max(last_s, ended_s + DOUBT_S):
                yield self.keeps_from(order.worker)

    def _unreachable_assigned(self, job_id: str) -> Iterator[bool]:
        """Whether the leader cannot reach workers with runs that earlier leaders assigned."""
        if self.now >= self.term_began_s + INHERITED_S:
            return
        for value in self.site.store.peek_under(progress_key(f"{job_id}.")):
            for step in from_msgpack(value, OccurrenceRecord).steps:
                for task in step.tasks:
                    worker = self.site.workers.lives.get(task.worker)
                    if task.status is TaskStatus.ASSIGNED and worker is not None:
                        yield self.keeps_from(worker)

    def _has_fault(self, others: set[str], timeout_s: float) -> bool:
        """Whether a link from a scheduling VM to one of some targets has a fault.

        :param timeout_s: the shortest timeout of calls on that link.
        """
        leaders = {vm.name for vm in self.site.vms.values() if vm.leads} | {ANY}
        return any(
            fault.until > self.now
            and fault.vm in leaders
            and fault.other in (others | {ANY})
            and not _is_in_time(fault, timeout_s)
            for fault in self.site.ways.faults
        )


def _is_in_time(fault: Fault, timeout_s: float) -> bool:
    """Whether every call is answered in time despite a fault."""
    return fault.kind == "slow" and 2 * (fault.strength + TRIP_S) < timeout_s
