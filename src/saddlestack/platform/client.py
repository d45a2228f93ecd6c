"""A client of the platform's job interface, for load generators and trials."""

from __future__ import annotations

import enum

import msgspec

from saddlestack.codec import from_json
from saddlestack.platform.gateway import DEADLINE_HEADER, KEY_HEADER, JobBody, StateBody, StepBody
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent
from saddlestack.work import JobRequest, JobState


class Outcome(enum.StrEnum):
    """Result of one call."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN_JOB = "unknown_job"
    IN_DOUBT = "in_doubt"


class JobsClient:
    """Calls one entry VM on behalf of one client account, over a persistent connection.

    :param host: host name that selects the queue.
    :param prefix: path prefix of the queue; the job's ID follows it.
    :param key: API key of the client account.
    """

    def __init__(self, address: str, port: int, host: str, prefix: str, key: str) -> None:
        self._http = HttpClient(address, port, max_idle=1)
        self._prefix = prefix
        self._headers = ((KEY_HEADER, key),)
        self._host = host

    async def submit(self, job_id: str, request: JobRequest, deadline_s: float) -> Outcome:
        """Submit a job."""
        return (await self._call("POST", job_id, _body(request), deadline_s))[0]

    async def cancel(self, job_id: str, deadline_s: float) -> Outcome:
        """Cancel a job."""
        return (await self._call("DELETE", job_id, None, deadline_s))[0]

    async def state(self, job_id: str, deadline_s: float) -> tuple[Outcome, JobState | None]:
        """Read a job's state; ``None`` unless the outcome is :attr:`Outcome.DONE`."""
        outcome, body = await self._call("GET", job_id, None, deadline_s)
        if outcome is not Outcome.DONE:
            return outcome, None
        return outcome, JobState(from_json(body, StateBody).state)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def _call(
        self, method: str, job_id: str, body: msgspec.Struct | None, deadline_s: float
    ) -> tuple[Outcome, bytes]:
        headers = (*self._headers, (DEADLINE_HEADER, str(round(deadline_s * 1000))))
        try:
            response = await self._http.request(
                method,
                f"{self._prefix}{job_id}",
                body,
                timeout=deadline_s,
                headers=headers,
                host=self._host,
            )
        except NotSent:
            return Outcome.REFUSED, b""
        except AnswerLost:
            return Outcome.IN_DOUBT, b""
        if response.status == 200:
            return Outcome.DONE, response.body
        if response.status == 410:
            return Outcome.UNKNOWN_JOB, b""
        if response.status in {429, 503}:
            return Outcome.REFUSED, b""
        return Outcome.IN_DOUBT, b""


def _body(request: JobRequest) -> JobBody:
    return JobBody(
        spec=request.payload,
        steps=[
            StepBody(
                count=step.count,
                cpu=step.needs.cpu,
                mem_mb=step.needs.memory_mb,
                gpu=step.needs.accelerators,
                est_ms=step.estimate_ms,
                after_rev=step.after,
                gang=step.gang,
                same_rack=step.same_rack,
                checkpoint=step.checkpoint,
            )
            for step in request.steps
        ],
    )
