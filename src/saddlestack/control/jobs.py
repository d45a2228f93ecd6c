"""Accepts, cancels and tells of jobs, on every entry VM."""

from __future__ import annotations

import asyncio
import logging

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.control import keys
from saddlestack.control.context import EntryContext
from saddlestack.control.peers import NoLeader, Peers, PendingQuestion, StateQuestion
from saddlestack.errors import ErrorKind, SaddlestackError, invalid
from saddlestack.interfaces import (
    ClientCall,
    Committed,
    Conflict,
    Item,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.policy.board.jobs import new_job
from saddlestack.policy.board.records import OccurrenceRecord
from saddlestack.work import AcceptedJob, JobRequest, JobState, Step, faults_of

log = logging.getLogger("saddlestack.jobs")

RETRY_S = 0.1
ANSWER_MARGIN_S = 0.15
"""An answer leaves at least this long before the client stops waiting."""
RETRY_AFTER_S = 1.0


class Jobs:
    """The clients' calls. What is accepted is in the store before the client hears of it."""

    def __init__(self, context: EntryContext, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._clock = context.clock

    async def submit(self, call: ClientCall, job_id: str, request: JobRequest) -> AcceptedJob:
        """Accept a job, or find it accepted.

        :raises SaddlestackError: invalid; not taken, and never to run; or not known.
        """
        faults = faults_of(request)
        if faults:
            raise invalid("; ".join(faults), "body")
        accepted = self._accepted(call, job_id, request)
        key = keys.job_key(job_id)
        transaction = Transaction(expect=((key, 0),), puts=(Put(key, to_msgpack(accepted)),))
        outcome = await self._write(call, transaction, job_id)
        if isinstance(outcome, Conflict):
            accepted = self._known(outcome.items[0], call, job_id)
        log.info(
            "accepted",
            extra={
                "event": "accepted",
                "job": job_id,
                "queue": call.queue.name,
                "account": call.account,
                "priority": accepted.priority,
                "steps": [_shape(step) for step in accepted.request.steps],
                "repeat": isinstance(outcome, Conflict),
            },
        )
        return accepted

    async def state(self, call: ClientCall, job_id: str) -> JobState | None:
        """A job's state; ``None`` where no such job exists."""
        try:
            answer = await self._peers.state(StateQuestion(job_id, call.account))
            if answer.state is not None:
                return answer.state
        except NoLeader:
            pass
        return await self._state_in_store(call, job_id)

    async def cancel(self, call: ClientCall, job_id: str) -> bool:
        """Cancel a job; ``False`` where no such job exists."""
        item = await self._read(call, keys.job_key(job_id))
        if not item.revision:
            return False
        self._known(item, call, job_id)
        key = keys.cancel_key(job_id)
        transaction = Transaction(expect=((key, 0),), puts=(Put(key, call.account.encode()),))
        await self._write(call, transaction, job_id)
        log.info("cancelled", extra={"event": "cancelled", "job": job_id})
        return True

    async def pending(self, call: ClientCall) -> int:
        """Accepted jobs of a queue none of whose tasks has begun."""
        try:
            return (await self._peers.pending(PendingQuestion(call.queue.name))).count
        except NoLeader as error:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, str(error), retry_after=RETRY_AFTER_S
            ) from error

    def _accepted(self, call: ClientCall, job_id: str, request: JobRequest) -> AcceptedJob:
        queue = call.queue
        return AcceptedJob(
            job_id=job_id,
            account=call.account,
            queue=queue.name,
            service=queue.service,
            priority=queue.priority,
            attempts=queue.attempts,
            accepted_ms=round(self._clock.wall() * 1000),
            request=request,
            stretch=queue.stretch,
            target_ms=queue.target_ms,
        )

    def _known(self, item: Item, call: ClientCall, job_id: str) -> AcceptedJob:
        """The job that is kept under an id.

        :raises SaddlestackError: it is another client account's.
        """
        accepted = from_msgpack(item.value, AcceptedJob)
        if call.account and accepted.account and accepted.account != call.account:
            raise SaddlestackError(ErrorKind.FORBIDDEN, f"job {job_id} is another account's")
        return accepted

    async def _state_in_store(self, call: ClientCall, job_id: str) -> JobState | None:
        item = await self._read(call, keys.job_key(job_id))
        if not item.revision:
            return None
        accepted = self._known(item, call, job_id)
        records: dict[int, OccurrenceRecord] = {}
        for number in range(accepted.request.occurrences):
            progress = await self._read(call, keys.progress_key(f"{job_id}.{number}"))
            if progress.revision:
                records[number] = from_msgpack(progress.value, OccurrenceRecord)
        job = new_job(accepted, records)
        job.cancelled = bool((await self._read(call, keys.cancel_key(job_id))).revision)
        return job.state

    async def _read(self, call: ClientCall, key: str) -> Item:
        until = self._until(call)
        while True:
            try:
                return await self._context.store.get(key)
            except StoreUnavailable as error:
                if self._clock.now() + RETRY_S > until:
                    raise _unavailable(str(error)) from error
                await asyncio.sleep(RETRY_S)

    async def _write(
        self, call: ClientCall, transaction: Transaction, job_id: str
    ) -> Committed | Conflict:
        """Make a change that may be tried again; a conflict means it is there already.

        :raises SaddlestackError: not taken; or not known whether it was.
        """
        until = self._until(call)
        doubt = False
        while True:
            try:
                return await self._context.store.transact(transaction)
            except StoreUnavailable as error:
                reason = str(error)
            except WriteInDoubt as error:
                reason = str(error)
                doubt = True
            if self._clock.now() + RETRY_S > until:
                break
            await asyncio.sleep(RETRY_S)
        log.warning(
            "not accepted",
            extra={"event": "not_accepted", "job": job_id, "doubt": doubt, "reason": reason},
        )
        if doubt:
            raise SaddlestackError(ErrorKind.OUTCOME_UNKNOWN, reason)
        raise _unavailable(reason)

    def _until(self, call: ClientCall) -> float:
        return self._clock.now() + call.deadline_s - ANSWER_MARGIN_S


def _shape(step: Step) -> str:
    needs = step.needs
    text = f"{step.count}x{needs.accelerators}acc/{needs.cpu}cpu/{needs.memory_mb}mb"
    marks = [
        name
        for name, holds in (
            ("gang", step.gang),
            ("rack", step.same_rack),
            ("saves", step.checkpoint),
            ("lasts", step.long_running),
        )
        if holds
    ]
    return " ".join([text, f"{step.estimate_ms}ms", *marks, step.data_rack, step.label]).strip()


def _unavailable(reason: str) -> SaddlestackError:
    return SaddlestackError(ErrorKind.STORE_UNAVAILABLE, reason, retry_after=RETRY_AFTER_S)
