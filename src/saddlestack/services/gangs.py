"""Gang handling of a scheduler: launches, reclaims, and parts that end or fail."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from saddlestack.errors import ErrorKind
from saddlestack.models import (
    JobState,
)
from saddlestack.platform.endpoint import Op, TaskState, TaskStatus
from saddlestack.policy.gang import Decision, Expire, Loss, Reclaim, ReclaimMethod, Start
from saddlestack.services.cellstate import CellState
from saddlestack.services.dispatch import LaunchOrder, LaunchOutcome
from saddlestack.services.entries import (
    JobEntry,
    LaunchedMessage,
    ReclaimedMessage,
    RequeueMessage,
)
from saddlestack.services.groupcommit import Fenced
from saddlestack.services.link import EndpointLink
from saddlestack.services.output import verified_answer

log = logging.getLogger("saddlestack.scheduler")

COMMIT_WAIT_S = 5.0
RELAUNCH_DELAY_S = 0.25
MAX_RELAUNCH_DELAY_S = 5.0
MAX_DAMAGED_ANSWERS = 5


class Gangs(CellState):
    """Starts, tracks and stops gangs, driven by the policy and by endpoint reports."""

    def _handle_task_status(self, link: EndpointLink, status: TaskStatus) -> None:
        entry = self._entries.get(status.job)
        if entry is None or self._recovery.is_pending(status.job):
            return
        current = self._attempt(entry)
        active = status.state in {TaskState.PREPARED, TaskState.RUNNING}
        if entry.record.state.final or status.attempt < current:
            op = Op.STOP if active else Op.ACK
            if not (entry.record.state.final and not entry.durable and not active):
                self.tasks.spawn(
                    self._dispatch.stop_parts(status.job, status.attempt, [link.name], op)
                )
            return
        if status.attempt != current or status.job not in self._policy.running:
            return
        if active and not entry.launching and not self._has_part_on(status.job, link.name):
            self.tasks.spawn(
                self._dispatch.stop_parts(status.job, status.attempt, [link.name], Op.STOP)
            )
            return
        if status.state is TaskState.DONE:
            self._part_done(entry, link, status)
        elif status.state is TaskState.STOPPED and not entry.launching:
            self._handle_stopped_part(entry)

    def _has_part_on(self, job_id: str, vm: str) -> bool:
        """Whether a running gang has a part on a worker."""
        index = self._policy.resources.index[vm]
        return any(worker == index for worker, _ in self._policy.running[job_id].shares)

    def _attempt(self, entry: JobEntry) -> int:
        gang = self._policy.running.get(entry.record.spec.job_id)
        return entry.record.attempt if gang is None else gang.attempt

    def _part_done(self, entry: JobEntry, link: EndpointLink, status: TaskStatus) -> None:
        gang = self._policy.running[status.job]
        leader = self._policy.resources.workers[gang.shares[0][0]].name
        if link.name == leader:
            answer = verified_answer(status)
            if answer is None:
                self._answer_damaged(entry, link)
                return
            entry.answer = answer
        entry.done_vms.add(link.name)
        self._finish_if_done(entry)

    def _answer_damaged(self, entry: JobEntry, link: EndpointLink) -> None:
        """Request an answer again that is truncated or belongs to another task.

        A damaged answer is never passed on. After ``MAX_DAMAGED_ANSWERS`` the job ends with an
        unknown outcome.
        """
        entry.damaged_answers += 1
        log.warning(
            "answer damaged",
            extra={
                "event": "answer_damaged",
                "job": entry.record.spec.job_id,
                "endpoint": link.name,
            },
        )
        if entry.damaged_answers <= MAX_DAMAGED_ANSWERS:
            link.resync()
            return
        self._policy.finished(entry.record.spec.job_id, self.clock.now())
        self._finish(entry, JobState.UNKNOWN, ErrorKind.ANSWER_DAMAGED, "every answer was damaged")

    def _finish_if_done(self, entry: JobEntry) -> None:
        job_id = entry.record.spec.job_id
        gang = self._policy.running.get(job_id)
        if gang is None or entry.launching or entry.answer is None:
            return
        vms = {self._policy.resources.workers[w].name for w, _ in gang.shares}
        if entry.done_vms >= vms:
            self._policy.finished(job_id, self.clock.now())
            entry.record.answer = entry.answer
            self._finish(entry, JobState.DONE)

    def _refresh_vm(self, name: str) -> None:
        """Update a worker in the policy from its link and the lists of leaving VMs."""
        link = self._links.get(name)
        index = self._policy.resources.index.get(name)
        if index is None:
            return
        up = link is not None and link.reachable
        is_draining = (link is not None and link.leaving) or name in self._leaving
        leaving = is_draining or self._recovery.may_hold_parts(name)
        resources = self._policy.resources
        if resources.up[index] and not up:
            for loss in self._policy.vm_lost(name, self.clock.now()):
                self._handle_lost_gang(loss, name)
        elif up and not resources.up[index]:
            self._policy.vm_back(name)
        if up and leaving and not resources.leaving[index]:
            self._policy.vm_leaving(name)
        elif up and not leaving and resources.leaving[index]:
            self._policy.vm_back(name)

    def _handle_lost_gang(self, loss: Loss, vm: str) -> None:
        entry = self._entries[loss.job_id]
        if entry.launching:
            self._policy.waiting.pop(loss.job_id, None)
            entry.worker_lost = True
            return
        others = [part.vm for part in entry.record.parts if part.vm != vm]
        self._stop_parts(entry, loss.attempt, others, Op.STOP)
        if loss.state is JobState.UNKNOWN:
            self._finish(entry, JobState.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, f"VM {vm} was lost")
        else:
            self._mark_queued(entry)

    def _handle_stopped_part(self, entry: JobEntry) -> None:
        """After a part stopped unexpectedly, stop the others and queue or finish the job."""
        job_id = entry.record.spec.job_id
        gang = self._policy.running.get(job_id)
        if gang is None:
            return
        vms = [self._policy.resources.workers[w].name for w, _ in gang.shares]
        progress = gang.progress
        self._policy.cancel(job_id)
        self._stop_parts(entry, gang.attempt, vms, Op.STOP)
        self._after_failed_attempt(entry, gang.attempt, progress)

    def _after_failed_attempt(self, entry: JobEntry, attempt: int, progress: float) -> None:
        entry.record.attempt = attempt
        if entry.record.spec.run_once:
            self._finish(
                entry, JobState.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, "a part was lost while it ran"
            )
            return
        self._requeue_with_backoff(entry, progress)

    def _decide(self) -> None:
        if self.frozen or self._paused or not self.ready:
            return
        for decision in self._policy.decide(self.clock.now()):
            self._execute(decision)

    def _execute(self, decision: Decision) -> None:
        entry = self._entries[decision.job_id]
        if isinstance(decision, Start):
            self._launch(entry, decision)
        elif isinstance(decision, Reclaim):
            self._reclaim(entry, decision)
        elif isinstance(decision, Expire):
            self._expire(entry)

    def _expire(self, entry: JobEntry) -> None:
        if entry.record.ever_started:
            message = "the deadline passed after an attempt had partly run"
            self._finish(entry, JobState.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, message)
        else:
            message = "the deadline passed before it could start; it was not run"
            self._finish(entry, JobState.NOT_RUN, ErrorKind.DEADLINE_EXCEEDED, message)

    def _launch(self, entry: JobEntry, start: Start) -> None:
        entry.launching = start.attempt
        entry.done_vms.clear()
        entry.answer = None
        entry.record.parts = start.parts
        entry.record.attempt = start.attempt
        waits = [task for part in start.parts for task in self._stopping.get(part.vm, ())]
        self._chain(entry, waits, self._launch_task(entry, start))

    async def _launch_task(self, entry: JobEntry, start: Start) -> None:
        order = LaunchOrder(
            entry.record.spec,
            start.attempt,
            start.parts,
            entry.record.progress,
            start.resumed,
            lambda incarnations: self._commit_start(entry, incarnations),
        )
        if entry.stop_unconfirmed:
            outcome = LaunchOutcome.BROKEN
        else:
            outcome = await self._dispatch.launch(order)
        self._mailbox.put(LaunchedMessage(start.job_id, start.attempt, outcome))

    async def _commit_start(self, entry: JobEntry, incarnations: tuple[int, ...]) -> bool:
        """Write the start of run-once work to the ledger before any endpoint is sent the start.

        Returns whether the write was confirmed in time.
        """
        if self._ledger is None:
            return False
        entry.record.state = JobState.STARTING
        entry.record.incarnations = incarnations
        entry.record.started = self.clock.wall()
        persisted = self._persist(entry)
        try:
            async with asyncio.timeout(COMMIT_WAIT_S):
                await asyncio.shield(persisted)
        except (TimeoutError, Fenced):
            return False
        return True

    def _handle_launched(self, message: LaunchedMessage) -> None:
        entry = self._entries[message.job_id]
        if entry.launching != message.attempt:
            return
        entry.launching = 0
        if message.outcome is not LaunchOutcome.NOT_STARTED:
            entry.record.ever_started = True
        if message.outcome is LaunchOutcome.BROKEN and entry.record.spec.run_once:
            self._finish_unknown(entry, "a part of it did not start")
        elif entry.worker_lost or message.job_id not in self._policy.running:
            self._launched_after_loss(entry, message)
        elif message.outcome is LaunchOutcome.STARTED:
            self._mark_running(entry)
        elif message.outcome is LaunchOutcome.NOT_STARTED:
            self._not_started(entry)
        else:
            progress = self._policy.running[message.job_id].progress
            self._policy.cancel(message.job_id)
            self._after_failed_attempt(entry, message.attempt, progress)

    def _finish_unknown(self, entry: JobEntry, reason: str) -> None:
        """Finish run-once work that may have run: it is never started again."""
        if self._in_policy(entry.record.spec.job_id):
            self._policy.cancel(entry.record.spec.job_id)
        self._finish(entry, JobState.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, reason)

    def _mark_running(self, entry: JobEntry) -> None:
        entry.failed_starts = 0
        entry.record.state = JobState.RUNNING
        entry.record.started = self.clock.wall()
        if entry.cancelled:
            self._stop_cancelled(entry)
            return
        self._persist(entry)
        self._finish_if_done(entry)

    def _not_started(self, entry: JobEntry) -> None:
        """Queue a gang again, after a delay, when no part of it has run."""
        job_id = entry.record.spec.job_id
        progress = self._policy.running[job_id].progress
        self._policy.cancel(job_id)
        self._requeue_with_backoff(entry, progress)

    def _requeue_with_backoff(self, entry: JobEntry, progress: float) -> None:
        """Queue a job again after a failed start, with exponential backoff."""
        entry.record.progress = progress
        entry.failed_starts += 1
        self._mark_queued(entry)
        pause = min(MAX_RELAUNCH_DELAY_S, RELAUNCH_DELAY_S * 2.0 ** min(entry.failed_starts - 1, 8))
        self.tasks.spawn(self._requeue_after(entry.record.spec.job_id, pause))

    async def _requeue_after(self, job_id: str, pause: float) -> None:
        await asyncio.sleep(pause)
        self._mailbox.put(RequeueMessage(job_id))

    def _requeue(self, job_id: str) -> None:
        entry = self._entries[job_id]
        if not entry.record.state.final and not self._in_policy(job_id):
            self._restore(entry, entry.record.progress)

    def _launched_after_loss(self, entry: JobEntry, message: LaunchedMessage) -> None:
        """Handle a worker lost, or a gang reclaimed, while the gang was being launched."""
        entry.worker_lost = False
        if message.outcome is LaunchOutcome.NOT_STARTED:
            if not self._in_policy(message.job_id):
                self._requeue_with_backoff(entry, entry.record.progress)
            return
        if self._in_policy(message.job_id):
            return
        vms = [part.vm for part in entry.record.parts]
        self._stop_parts(entry, message.attempt, vms, Op.STOP)
        self._after_failed_attempt(entry, message.attempt, entry.record.progress)

    def _reclaim(self, entry: JobEntry, reclaim: Reclaim) -> None:
        op = Op.CHECKPOINT if reclaim.method is ReclaimMethod.CHECKPOINT else Op.STOP
        vms = [part.vm for part in entry.record.parts]
        self._stop_parts(entry, reclaim.attempt, vms, op, report=True)
        entry.record.state = JobState.QUEUED
        self._persist(entry)

    def _handle_reclaimed(self, message: ReclaimedMessage) -> None:
        entry = self._entries[message.job_id]
        gang = self._policy.waiting.get(message.job_id)
        if entry.record.state.final:
            return
        if not message.confirmed and entry.record.spec.run_once:
            if not entry.launching:
                self._finish_unknown(entry, "a part did not confirm that it stopped")
            return
        if gang is not None:
            gang.progress = entry.record.progress
        persisted = self._persist(entry)
        if message.confirmed:
            self.tasks.spawn(self._acknowledge_when(persisted, message))

    async def _acknowledge_when(
        self, persisted: asyncio.Future[None], message: ReclaimedMessage
    ) -> None:
        """Let endpoints drop a checkpoint once its progress is in the ledger."""
        with contextlib.suppress(Fenced):
            await persisted
            await self._dispatch.acknowledge(message.job_id, message.attempt, message.vms)

    def _stop_cancelled(self, entry: JobEntry) -> None:
        """Stop a job that was cancelled while it ran; its outcome is unknown."""
        vms = [part.vm for part in entry.record.parts]
        self._policy.cancel(entry.record.spec.job_id)
        self._stop_parts(entry, entry.record.attempt, vms, Op.STOP)
        self._finish(entry, JobState.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN, "cancelled while it ran")
