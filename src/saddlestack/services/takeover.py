"""Takeover of a cell: restores jobs from the ledger and from the endpoints' tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from saddlestack.errors import ErrorKind
from saddlestack.models import (
    JobState,
)
from saddlestack.platform.endpoint import Op, SyncReply, TaskStatus
from saddlestack.platform.store import StoreUnavailable
from saddlestack.policy.retry import retry_delay
from saddlestack.services.cellstate import RECOVERY_TIMEOUT_S
from saddlestack.services.entries import (
    JobEntry,
    ResolvedMessage,
)
from saddlestack.services.gangs import Gangs
from saddlestack.services.ledger import JobRecord
from saddlestack.services.link import EndpointLink
from saddlestack.services.recovery import GangCondition, RecoveryResult

LEDGER_RETRY_S = 0.5


class Takeover(Gangs):
    """Rebuilds a cell's state from its ledger and from the tasks its endpoints list."""

    def _handle_sync(self, link: EndpointLink, reply: SyncReply) -> None:
        if self._links.get(link.name) is not link:
            return
        if reply.full:
            self._handle_full_sync(link, reply)
        for status in reply.tasks:
            self._handle_task_status(link, status)
        self._refresh_vm(link.name)

    def _handle_full_sync(self, link: EndpointLink, reply: SyncReply) -> None:
        """Handle a full listing; a running gang's part that it does not contain is lost."""
        present = {(status.job, status.attempt) for status in reply.tasks}
        self._recovery.record_listing(link.name, reply)
        for status in reply.tasks:
            if status.job not in self._entries and status.spec is not None:
                self._add_unknown_task(status)
        for gang in list(self._policy.gangs_on()[self._policy.resources.index[link.name]].values()):
            entry = self._entries[gang.job_id]
            if (gang.job_id, gang.attempt) not in present and not entry.launching:
                self._handle_stopped_part(entry)
        self._resolve_ready()

    def _add_unknown_task(self, status: TaskStatus) -> None:
        """Add a job for an endpoint's task, started before the takeover, that no record has."""
        if status.spec is None:
            return
        record = JobRecord(
            spec=status.spec,
            cell=self.cell,
            state=JobState.RUNNING,
            attempt=status.attempt,
            parts=(),
            submitted=self.clock.wall(),
        )
        self._entries[status.job] = JobEntry(record)
        self._recovery.add(status.job, status.parts, self.clock.now() + self._recovery_timeout())

    async def _recover(self) -> None:
        records = await self._read_ledger()
        for record in self._inherited:
            existing = records.get(record.spec.job_id)
            if existing is None or (
                not existing.state.final and record.attempt >= existing.attempt
            ):
                records[record.spec.job_id] = record
        for name in self._policy.resources.index:
            self._policy.vm_lost(name, self.clock.now())
        self._restore_records(records.values())
        await self._wait_for_endpoints()

    async def _read_ledger(self) -> dict[str, JobRecord]:
        if self._ledger is None:
            return {}
        attempt = 0
        while True:
            try:
                return await self._ledger.open()
            except StoreUnavailable:
                await asyncio.sleep(retry_delay(attempt, self._context.rng) + LEDGER_RETRY_S)
                attempt += 1

    def _restore_records(self, records: Iterable[JobRecord]) -> None:
        until = self.clock.now() + self._recovery_timeout()
        for record in sorted(records, key=lambda record: record.submitted):
            entry = JobEntry(record)
            self._entries[record.spec.job_id] = entry
            if self._ledger is not None:
                persisted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
                persisted.set_result(None)
                entry.persisted = persisted
            if record.state.final:
                continue
            vms = tuple(part.vm for part in record.parts)
            self._recovery.add(record.spec.job_id, vms, until)

    async def _wait_for_endpoints(self) -> None:
        until = self.clock.now() + RECOVERY_TIMEOUT_S
        while self.clock.now() < until:
            links = list(self._links.values())
            if len(links) == len(self._policy.resources.index) and all(
                link.first_sync.is_set() for link in links
            ):
                break
            await asyncio.sleep(0.02)

    def _resolve_ready(self) -> None:
        for job_id in self._recovery.ready_jobs():
            self._resolve(job_id)

    def _resolve_late(self) -> None:
        for job_id in self._recovery.overdue(self.clock.now()):
            self._resolve(job_id)

    def _resolve(self, job_id: str) -> None:
        """Decide how to continue a job that was accepted before the takeover."""
        entry = self._entries[job_id]
        recorded_attempt = entry.record.attempt
        result = self._recovery.resolve(job_id, recorded_attempt)
        entry.record.attempt = result.attempt
        if result.condition is GangCondition.RUNNING:
            self._restore_running(entry, result)
        elif result.condition is GangCondition.NEVER_SENT and entry.record.state is JobState.QUEUED:
            self._restore(entry, entry.record.progress)
        else:
            self._stop_remaining(entry, result.vms, result.condition, recorded_attempt)
        for vm in result.vms:
            self._refresh_vm(vm)

    def _restore_running(self, entry: JobEntry, result: RecoveryResult) -> None:
        """Restore a gang that is running or has just ended."""
        record = entry.record
        parts = result.parts
        for part in parts:
            self._refresh_vm(part.vm)
        record.parts = parts
        record.ever_started = True
        record.state = JobState.RUNNING
        record.started = record.started or self.clock.wall()
        elapsed = max(0.0, self.clock.wall() - record.started)
        self._policy.restore_running(
            record.spec,
            parts,
            submitted=self._submitted(record),
            started=self.clock.now() - elapsed,
            attempt=record.attempt,
            progress=record.progress,
        )
        self._persist(entry)
        for vm, status in result.done:
            link = self._links.get(vm)
            if link is not None and status.job in self._policy.running:
                self._part_done(entry, link, status)

    def _stop_remaining(
        self, entry: JobEntry, vms: tuple[str, ...], condition: GangCondition, recorded_attempt: int
    ) -> None:
        """Stop the remaining parts of a gang and report how the job goes on."""
        self._chain(entry, [], self._stop_remaining_task(entry, vms, condition, recorded_attempt))

    async def _stop_remaining_task(
        self, entry: JobEntry, vms: tuple[str, ...], condition: GangCondition, recorded_attempt: int
    ) -> None:
        """Stop the remaining parts and determine from the results whether any of them ran.

        A start in the ledger counts as having run if endpoints report a later attempt, since
        the end of the attempt in the ledger was never written.
        """
        record = entry.record
        start_recorded = record.state in {JobState.STARTING, JobState.RUNNING}
        ran_before = record.ever_started or (start_recorded and record.attempt > recorded_attempt)
        stopped = await self._dispatch.stop_parts(
            record.spec.job_id,
            record.attempt,
            vms,
            Op.CHECKPOINT if record.spec.checkpoint else Op.STOP,
            record.incarnations if len(record.incarnations) == len(vms) else (),
        )
        proven = stopped.never_started and bool(vms) and bool(record.incarnations)
        never_ran = (condition is GangCondition.NEVER_SENT or proven) and not ran_before
        saved = condition is GangCondition.CHECKPOINTED and stopped.confirmed
        if record.spec.run_once and not never_ran and not saved:
            state = JobState.UNKNOWN
        else:
            state = JobState.QUEUED
        progress = max(record.progress, stopped.progress) if record.spec.checkpoint else 0.0
        self._mailbox.put(ResolvedMessage(record.spec.job_id, state, progress))

    def _resolved(self, message: ResolvedMessage) -> None:
        entry = self._entries[message.job_id]
        if message.state is JobState.UNKNOWN:
            self._finish(
                entry,
                JobState.UNKNOWN,
                ErrorKind.OUTCOME_UNKNOWN,
                "its scheduler was lost while starting it; it may have run",
            )
        else:
            self._restore(entry, message.progress)

    def _has_complete_state(self) -> bool:
        """Whether a job that is not known here does not exist.

        Always true with a ledger; without one, every endpoint must have reported or be lost.
        """
        if not self.interim:
            return True
        return all(link.first_sync.is_set() or link.lost for link in self._links.values())
