"""The state of a cell's scheduler, and operations that its subclasses share."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Iterable

from saddlestack.errors import ErrorKind
from saddlestack.kernel.service import Mailbox, Service
from saddlestack.models import (
    Assignment,
    Document,
    JobSpec,
    JobState,
)
from saddlestack.platform.endpoint import Op
from saddlestack.policy.cell import Cell
from saddlestack.policy.planner import CellSite
from saddlestack.services import names
from saddlestack.services.context import Context
from saddlestack.services.dispatch import Dispatch
from saddlestack.services.entries import (
    Hooks,
    JobEntry,
    Message,
    ReclaimedMessage,
)
from saddlestack.services.groupcommit import Fenced
from saddlestack.services.ledger import JobRecord, Ledger
from saddlestack.services.link import EndpointLink, Lease, lease_for
from saddlestack.services.recovery import RecoveryTracker
from saddlestack.wire.messages import CellBeat

log = logging.getLogger("saddlestack.scheduler")

REPLY_WAIT_S = 1.5
RECOVERY_TIMEOUT_S = 1.5


class CellState(Service):
    """A scheduler's view of its cell: policy, jobs, endpoint links and ledger.

    :param term: the number of the term in which this VM owns the cell.
    :param ledger: the job records of the cell in the store, or ``None`` while the store is down
        and the cell is served from memory.
    :param inherited: job records of the scheduler that served the cell from memory in this VM until
        now. They are merged with those of the ledger.
    """

    def __init__(
        self,
        context: Context,
        site: CellSite,
        term: int,
        document: Document,
        ledger: Ledger | None,
        hooks: Hooks,
        inherited: Iterable[JobRecord] = (),
    ) -> None:
        super().__init__(names.scheduler(site.plan.name), context.clock)
        self.cell = site.plan.name
        self.term = term
        self.ready = False
        self.frozen = False
        self._context = context
        self.site = site
        self._document = document
        self._ledger = ledger
        self._hooks = hooks
        self._inherited = list(inherited)
        self._mailbox: Mailbox[Message] = Mailbox(100_000)
        self._policy = self._new_policy(document)
        self._entries: dict[str, JobEntry] = {}
        self._links: dict[str, EndpointLink] = {}
        self._lease = self._new_lease()
        self._dispatch = Dispatch(self._links, self.clock.now)
        self._stopping: dict[str, set[asyncio.Task[None]]] = {}
        self._recovery = RecoveryTracker(self._policy.resources.index)
        self._leaving: frozenset[str] = frozenset()
        self._paused = False
        self._last_tick = 0.0
        self._last_prune = 0.0
        self._beat: CellBeat | None = None

    @property
    def interim(self) -> bool:
        """Whether the cell is served from memory, without a ledger."""
        return self._ledger is None

    @property
    def bytes(self) -> int:
        """Bytes exchanged with the cell's endpoints."""
        return sum(link.bytes for link in self._links.values())

    def records(self) -> list[JobRecord]:
        """Every job record, for the next scheduler of the cell in this VM."""
        return [entry.record for entry in self._entries.values()]

    def _step_down(self, reason: str) -> None:
        log.warning(
            "leadership lost",
            extra={"event": "deposed", "cell": self.cell, "term": self.term, "reason": reason},
        )
        self.frozen = True
        self._hooks.on_leadership_lost(self.cell)

    def _finish(
        self,
        entry: JobEntry,
        state: JobState,
        kind: ErrorKind | None = None,
        message: str | None = None,
    ) -> None:
        """Set a job's final state and persist it, then notify callers and endpoints."""
        record = entry.record
        record.state = state
        record.finished = self.clock.wall()
        record.error = None if kind is None else kind.value
        record.message = message
        persisted = self._persist(entry)
        log.info(
            "job ended",
            extra={
                "event": "job_ended",
                "job": record.spec.job_id,
                "state": state.value,
                "attempt": record.attempt,
                "term": self.term,
            },
        )
        self.tasks.spawn(self._notify_and_acknowledge(entry, persisted))

    def _finish_cancelled(self, entry: JobEntry) -> None:
        """Finish a cancelled job; it is reported as not run only if no attempt ever ran."""
        if entry.record.ever_started:
            self._finish(
                entry, JobState.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, "cancelled; a part of it ran"
            )
        else:
            self._finish(entry, JobState.CANCELLED, ErrorKind.CANCELLED, "cancelled; not run")

    async def _notify_and_acknowledge(
        self, entry: JobEntry, persisted: asyncio.Future[None]
    ) -> None:
        with contextlib.suppress(Fenced, TimeoutError):
            async with asyncio.timeout(REPLY_WAIT_S):
                await asyncio.shield(persisted)
        self._notify_waiters(entry)
        with contextlib.suppress(Fenced):
            await persisted
            if self._ledger is not None:
                vms = [part.vm for part in entry.record.parts]
                await self._dispatch.acknowledge(
                    entry.record.spec.job_id, entry.record.attempt, vms
                )

    def _persist(self, entry: JobEntry) -> asyncio.Future[None]:
        if self._ledger is None:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            future.set_result(None)
            entry.persisted = None
            return future
        entry.persisted = self._ledger.put(entry.record)
        entry.persisted.add_done_callback(self._check_fenced)
        return entry.persisted

    def _check_fenced(self, future: asyncio.Future[None]) -> None:
        if not future.cancelled() and future.exception() is not None and not self.frozen:
            self._step_down("the ledger is fenced")

    async def _wait_persisted(self, entry: JobEntry) -> None:
        """Wait until the latest state is in the store, for at most ``REPLY_WAIT_S``."""
        if entry.persisted is None:
            return
        with contextlib.suppress(Fenced, TimeoutError):
            async with asyncio.timeout(REPLY_WAIT_S):
                await asyncio.shield(entry.persisted)

    def _notify_waiters(self, entry: JobEntry) -> None:
        for waiter in entry.waiters:
            if not waiter.done():
                waiter.set_result(None)
        entry.waiters.clear()

    def _busy(self) -> bool:
        operating = any(
            entry.operation is not None and not entry.operation.done()
            for entry in self._entries.values()
        )
        return operating or (self._ledger is not None and self._ledger.pending())

    def _chain(
        self, entry: JobEntry, waits: list[asyncio.Task[None]], work: Awaitable[None]
    ) -> asyncio.Task[None]:
        """Run an operation on a job after its previous operation and after ``waits``."""
        before = [task for task in (entry.operation, *waits) if task is not None]
        task = self.tasks.spawn(_after(before, work))
        entry.operation = task
        return task

    def _stop_parts(
        self, entry: JobEntry, attempt: int, vms: list[str], op: Op, *, report: bool = False
    ) -> None:
        """Stop parts of a job; launches onto the same VMs wait until that is done.

        :param report: post a :class:`ReclaimedMessage` when done.
        """
        task = self._chain(entry, [], self._stop_parts_task(entry, attempt, vms, op, report))
        for vm in vms:
            tasks = self._stopping.setdefault(vm, set())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _stop_parts_task(
        self, entry: JobEntry, attempt: int, vms: list[str], op: Op, report: bool
    ) -> None:
        job_id = entry.record.spec.job_id
        record = entry.record
        incarnations = record.incarnations if len(record.incarnations) == len(vms) else ()
        stopped = await self._dispatch.stop_parts(job_id, attempt, vms, op, incarnations)
        if report:
            entry.stop_unconfirmed = record.spec.run_once and not stopped.confirmed
            if record.spec.checkpoint:
                record.progress = max(record.progress, stopped.progress)
            self._mailbox.put(ReclaimedMessage(job_id, attempt, tuple(vms), stopped.confirmed))
        elif stopped.confirmed:
            await self._dispatch.acknowledge(job_id, attempt, vms)

    def _restore(self, entry: JobEntry, progress: float) -> None:
        """Return a job to the policy's queue."""
        record = entry.record
        record.progress = progress
        if entry.cancelled:
            self._finish_cancelled(entry)
            return
        self._policy.restore_waiting(
            record.spec,
            self._submitted(record),
            attempt=record.attempt,
            progress=progress,
            resumed=record.ever_started and record.spec.checkpoint,
            deadline=self._deadline(record.spec),
        )
        self._mark_queued(entry)

    def _mark_queued(self, entry: JobEntry) -> None:
        entry.record.state = JobState.QUEUED
        entry.record.parts = ()
        entry.record.started = None
        entry.done_vms.clear()
        entry.answer = None
        entry.worker_lost = False
        self._persist(entry)

    def _deadline(self, spec: JobSpec) -> float | None:
        """A job's deadline, on the policy's clock."""
        if spec.deadline is None:
            return None
        return self.clock.now() + spec.deadline - self.clock.wall()

    def _submitted(self, record: JobRecord) -> float:
        """A job's submission time, on the policy's clock."""
        return self.clock.now() - max(0.0, self.clock.wall() - record.submitted)

    def _in_policy(self, job_id: str) -> bool:
        return job_id in self._policy.waiting or job_id in self._policy.running

    def _recovery_timeout(self) -> float:
        """Seconds to wait for the endpoints of a gang that was started before the takeover."""
        return self._lease.lease_s * 2 if self.interim else RECOVERY_TIMEOUT_S

    def _new_policy(self, document: Document) -> Cell:
        return Cell(
            self.cell,
            self.site.workers,
            self._assignments(document),
            document.weights,
            queue_limits(document),
        )

    def _assignments(self, document: Document) -> list[Assignment]:
        return [a for a in document.assignments if a.cell == self.cell]

    def _new_lease(self) -> Lease:
        holder = f"{self._context.vm}#{self._context.incarnation}"
        return lease_for(holder, self.term, len(self.site.workers))


async def _after(before: list[asyncio.Task[None]], work: Awaitable[None]) -> None:
    try:
        if before:
            await asyncio.wait(before)
    except asyncio.CancelledError:
        if asyncio.iscoroutine(work):
            work.close()
        raise
    await work


def queue_limits(document: Document) -> dict[str, int]:
    """The most waiting jobs allowed, by account."""
    return {account.name: account.limits.queued for account in document.accounts}
