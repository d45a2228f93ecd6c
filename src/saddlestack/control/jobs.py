"""Accepts, cancels and queries jobs, on every entry VM."""

from __future__ import annotations

import logging

from saddlestack.codec import to_msgpack
from saddlestack.control import jobcodec, keys
from saddlestack.control.access import KeyAnswer, StoreAccess, StoreUnreachable
from saddlestack.control.context import EntryContext
from saddlestack.control.jobaccess import JobAccessCheck
from saddlestack.control.leaderrpc import LeaderRpc, LeaderUnavailable
from saddlestack.errors import ErrorKind, SaddlestackError, invalid
from saddlestack.interfaces.clients import ClientCall
from saddlestack.interfaces.store import Item
from saddlestack.policy.cluster.jobs import new_job
from saddlestack.policy.cluster.records import OccurrenceRecord
from saddlestack.policy.job_access import JobAccess
from saddlestack.work import AcceptedJob, JobRequest, JobState, Step, faults_of

log = logging.getLogger("saddlestack.jobs")

ANSWER_MARGIN_S = 0.15
"""An answer is sent at least this long before the client stops waiting."""
RETRY_AFTER_S = 1.0
"""Seconds until the client should repeat a call that was refused without access to the store."""
MAX_STORE_WAIT_S = 1.2
STORE_WAIT_SHARE = 0.45
"""A write waits for the store for this share of the time until the client stops waiting, but for at
most :data:`MAX_STORE_WAIT_S`. If nothing was written by then, the call is refused."""


class Jobs:
    """Handles clients' calls. An accepted job is in the store before the client gets an answer."""

    def __init__(
        self,
        context: EntryContext,
        access: StoreAccess,
        leader_rpc: LeaderRpc,
        access_check: JobAccessCheck,
    ) -> None:
        self._access = access
        self._access_check = access_check
        self._metrics = context.metrics
        self._leader_rpc = leader_rpc
        self._clock = context.clock

    async def submit(self, call: ClientCall, job_id: str, request: JobRequest) -> AcceptedJob:
        """Accept a job, or return it if it was accepted before.

        :raises SaddlestackError: the job is invalid; or it was not accepted and will never run; or
            it is unknown whether it was accepted.
        """
        problems = faults_of(request)
        if problems:
            raise invalid("; ".join(problems), "body")
        accepted = self._build_job(call, job_id, request)
        began = self._clock.now()
        answer = await self._create(call, keys.job_key(job_id), to_msgpack(accepted), job_id)
        if answer.created:
            self._leader_rpc.notify(Item(keys.job_key(job_id), answer.value, answer.revision))
        else:
            accepted = self._repeated(answer.value, call, job_id)
        self._metrics.time("accept", self._clock.now() - began)
        self._metrics.count("jobs_accepted" if answer.created else "jobs_repeated")
        log.info(
            "accepted",
            extra={
                "event": "accepted",
                "job": job_id,
                "queue": call.queue.name,
                "account": call.account,
                "priority": accepted.priority,
                "stretch": accepted.stretch,
                "target_ms": accepted.target_ms,
                "steps": [_describe_step(step) for step in accepted.request.steps],
                "repeat": not answer.created,
            },
        )
        return accepted

    async def accepted(self, call: ClientCall, job_id: str) -> AcceptedJob | None:
        """A job as it was accepted; ``None`` if no such job exists for the caller.

        :raises SaddlestackError: it belongs to another client account, or cannot be read.
        """
        value = await self._read(call, keys.job_key(job_id))
        return None if value is None else self._visible(value, call, job_id)

    async def state(self, call: ClientCall, job_id: str) -> JobState | None:
        """A job's state; ``None`` if no such job exists."""
        try:
            state = await self._leader_rpc.state(job_id, call.caller)
            if state is not None:
                return state
        except LeaderUnavailable as error:
            log.info(
                "reading state from the store",
                extra={"event": "state_from_store", "job": job_id, "reason": str(error)},
            )
        return await self._state_in_store(call, job_id)

    async def waits(self, call: ClientCall, job_id: str) -> str | None:
        """What a job waits for, or why it failed; ``None`` if it does not wait or it is unknown."""
        try:
            return await self._leader_rpc.waits(job_id, call.caller)
        except LeaderUnavailable as error:
            log.info(
                "reason of wait is unknown",
                extra={"event": "wait_not_known", "job": job_id, "reason": str(error)},
            )
            return None

    async def cancel(self, call: ClientCall, job_id: str) -> bool:
        """Cancel a job; ``False`` if no such job exists."""
        if await self.accepted(call, job_id) is None:
            return False
        answer = await self._create(call, keys.cancel_key(job_id), call.account.encode(), job_id)
        self._leader_rpc.notify(Item(keys.cancel_key(job_id), answer.value, answer.revision))
        log.info("cancelled", extra={"event": "cancelled", "job": job_id})
        return True

    async def clear(self, call: ClientCall, job_id: str) -> int:
        """Clear the tasks of a job of the suspicion that they crash their workers.

        :return: how many tasks were suspects.
        :raises SaddlestackError: no leader is available.
        """
        try:
            return await self._leader_rpc.clear(job_id, call.caller)
        except LeaderUnavailable as error:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, f"no leader is available: {error}", retry_after=1
            ) from error

    async def pending(self, call: ClientCall) -> int:
        """The number of accepted jobs of a queue none of whose tasks has started.

        :raises SaddlestackError: no leader is available.
        """
        try:
            return await self._leader_rpc.pending(call.queue.name)
        except LeaderUnavailable as error:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, str(error), retry_after=RETRY_AFTER_S
            ) from error

    def _build_job(self, call: ClientCall, job_id: str, request: JobRequest) -> AcceptedJob:
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

    def _repeated(self, value: bytes, call: ClientCall, job_id: str) -> AcceptedJob:
        """The job that was accepted before under the id of a submitted one.

        :raises SaddlestackError: it is not the caller's, or cannot be read.
        """
        accepted = self._visible(value, call, job_id)
        if accepted is None:
            raise SaddlestackError(ErrorKind.FORBIDDEN, f"job {job_id} belongs to another queue")
        return accepted

    def _visible(self, value: bytes, call: ClientCall, job_id: str) -> AcceptedJob | None:
        """Decode the stored record of a job; ``None`` if the caller may not know of it.

        :raises SaddlestackError: it belongs to another client account, or cannot be read.
        """
        accepted = jobcodec.decode_job(job_id, value)
        access = self._access_check.access(call.caller, accepted)
        if access is JobAccess.FORBIDDEN:
            raise SaddlestackError(ErrorKind.FORBIDDEN, f"job {job_id} belongs to another account")
        return accepted if access is JobAccess.ALLOWED else None

    async def _state_in_store(self, call: ClientCall, job_id: str) -> JobState | None:
        accepted = await self.accepted(call, job_id)
        if accepted is None:
            return None
        records = await self._read_progress(call, job_id)
        jobcodec.check_progress(accepted, records)
        job = new_job(accepted, records)
        job.cancelled = await self._read(call, keys.cancel_key(job_id)) is not None
        return job.state

    async def _read(self, call: ClientCall, key: str) -> bytes | None:
        """A key's value; ``None`` if it is absent.

        :raises SaddlestackError: the store was not reached in time.
        """
        try:
            item = await self._access.get(key, self._read_deadline(call))
        except StoreUnreachable as error:
            raise _unavailable(error) from error
        return item.value if item.revision else None

    async def _read_progress(self, call: ClientCall, job_id: str) -> dict[int, OccurrenceRecord]:
        """The progress of a job, by number of the occurrence.

        :raises SaddlestackError: the store was not reached in time, or a record cannot be read.
        """
        try:
            values = await self._access.list(
                keys.progress_key(f"{job_id}."), self._read_deadline(call)
            )
        except StoreUnreachable as error:
            raise _unavailable(error) from error
        records: dict[int, OccurrenceRecord] = {}
        for key, value in values.items():
            try:
                _, number = keys.occurrence_of(key)
            except ValueError:
                continue  # A leader reports such a key, and does not use it either.
            records[number] = jobcodec.decode_occurrence(f"{job_id}.{number}", value)
        return records

    async def _create(self, call: ClientCall, key: str, value: bytes, job_id: str) -> KeyAnswer:
        """Create a key, or return the existing one.

        :raises SaddlestackError: the key was not created and will not be; or it is unknown whether
            it was created.
        """
        try:
            return await self._access.create(key, value, self._write_deadline(call))
        except StoreUnreachable as error:
            log.warning(
                "not written",
                extra={
                    "event": "not_written",
                    "key": key,
                    "job": job_id,
                    "doubt": error.doubt,
                    "reason": error.reason,
                },
            )
            self._metrics.count("calls_in_doubt" if error.doubt else "calls_refused")
            if error.doubt:
                raise SaddlestackError(ErrorKind.OUTCOME_UNKNOWN, error.reason) from error
            raise _unavailable(error) from error

    def _write_deadline(self, call: ClientCall) -> float:
        """Until when a write waits for the store before the call is refused as not accepted."""
        return self._clock.now() + min(MAX_STORE_WAIT_S, call.deadline_s * STORE_WAIT_SHARE)

    def _read_deadline(self, call: ClientCall) -> float:
        return self._clock.now() + call.deadline_s - ANSWER_MARGIN_S


def _describe_step(step: Step) -> str:
    needs = step.needs
    text = f"{step.count}x{needs.accelerators}acc/{needs.cpu}cpu/{needs.memory_mb}mb"
    flags = [
        name
        for name, holds in (
            ("gang", step.gang),
            ("rack", step.same_rack),
            ("saves", step.checkpoint),
            ("lasts", step.long_running),
        )
        if holds
    ]
    return " ".join([text, f"{step.estimate_ms}ms", *flags, step.data_rack, step.label]).strip()


def _unavailable(error: StoreUnreachable) -> SaddlestackError:
    retry_after = 0.0 if error.elsewhere else RETRY_AFTER_S
    return SaddlestackError(ErrorKind.STORE_UNAVAILABLE, error.reason, retry_after=retry_after)
