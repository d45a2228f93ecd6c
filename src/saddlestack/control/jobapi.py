"""The product's own HTTP API for jobs, which operates on the same jobs as the platform's API.

`POST /v1/jobs`, `GET` and `DELETE /v1/jobs/REQUEST` and `POST /v1/jobs/REQUEST/clear`, used by
:class:`saddlestack.Client`. A job of this API is one step of one gang; the bearer token is a key of
the client account. The `message` of a job says what it waits for, or why it failed. No job is
rejected for being wider than the pool.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable

import msgspec

from saddlestack.api import SubmitBody
from saddlestack.codec import from_json
from saddlestack.errors import ErrorKind, SaddlestackError, invalid
from saddlestack.interfaces.clients import ClientCall, JobService
from saddlestack.interfaces.documents import ClientAccount, PoolConfiguration, Queue
from saddlestack.models import MAX_NAME, Adjacency, JobClass, JobView
from saddlestack.models import JobState as CallerState
from saddlestack.shapes import check_accelerators
from saddlestack.wire.http import Request, Response, json_response
from saddlestack.work import JobRequest, JobState, Resources, Step

PREFIX = "/v1/jobs"
CLEAR = "/clear"
MAX_ACCELERATORS_PER_TASK = 8
"""A gang is split into equal tasks of at most this many accelerators."""
CPU_PER_ACCELERATOR = 1000
MEMORY_MB_PER_ACCELERATOR = 4096
CALL_DEADLINE_S = 3.0
JOB_ID_DIGITS = 16
_PRIORITIES = {JobClass.URGENT: 0, JobClass.NORMAL: 1, JobClass.BULK: 2}
_STATES_WITH_MESSAGE = frozenset({CallerState.QUEUED, CallerState.RUNNING, CallerState.UNKNOWN})
"""States with a message, which says what the job waits for or why it failed."""
_REQUEST_NAME = re.compile(rf"[A-Za-z0-9._:-]{{1,{MAX_NAME}}}")
_STATES = {
    JobState.QUEUED: CallerState.QUEUED,
    JobState.RUNNING: CallerState.RUNNING,
    JobState.COMPLETED: CallerState.DONE,
    JobState.CANCELLED: CallerState.CANCELLED,
    JobState.FAILED: CallerState.UNKNOWN,
}


class JobApi:
    """Handles the calls of the product's own job API.

    :param configuration: returns the configuration in force, or ``None`` while there is none.
    """

    def __init__(
        self, jobs: JobService, configuration: Callable[[], PoolConfiguration | None]
    ) -> None:
        self._jobs = jobs
        self._configuration = configuration

    async def handle(self, request: Request) -> Response:
        """Handle one call.

        :raises SaddlestackError: the call is refused.
        """
        configuration = self._configuration()
        if configuration is None:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, "no configuration has been read yet", retry_after=1
            )
        account = _authenticate(request, configuration)
        if request.method == "POST" and request.path == PREFIX:
            return await self._submit(request, account, configuration)
        name = request.path.removeprefix(f"{PREFIX}/")
        if request.method == "POST" and name.endswith(CLEAR):
            return await self._clear(name.removesuffix(CLEAR), account, configuration)
        if request.path.startswith(f"{PREFIX}/") and request.method in {"GET", "DELETE"}:
            return await self._get_or_cancel(request.method, name, account, configuration)
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no {request.method} {request.path}")

    async def _submit(
        self, request: Request, account: ClientAccount, configuration: PoolConfiguration
    ) -> Response:
        body = from_json(request.body, SubmitBody)
        if not _REQUEST_NAME.fullmatch(body.request):
            raise invalid(
                f"expected 1 to {MAX_NAME} letters, digits or any of ._:-", "body: request"
            )
        check_accelerators(body.accelerators, "body: accelerators")
        if body.deadline_s is not None:
            raise invalid("a pool does not support start deadlines", "body: deadline_s")
        if body.account not in {None, account.name}:
            raise SaddlestackError(
                ErrorKind.FORBIDDEN, f"the key does not belong to account {body.account}"
            )
        queue = _queue_for(body.job_class, configuration)
        call = ClientCall(queue, account.name, CALL_DEADLINE_S, names_queue=False)
        job_id = job_id_of(account.name, body.request)
        await self._jobs.submit(call, job_id, as_request(body))
        return json_response(await self._view(call, body.request, job_id), 202)

    async def _get_or_cancel(
        self, method: str, name: str, account: ClientAccount, configuration: PoolConfiguration
    ) -> Response:
        job_id = job_id_of(account.name, name)
        call = _call_by_name(account, configuration)
        if method == "DELETE" and not await self._jobs.cancel(call, job_id):
            raise _not_found(name)
        view = await self._view(call, name, job_id)
        if method == "GET" and view.state in _STATES_WITH_MESSAGE:
            view = msgspec.structs.replace(view, message=await self._jobs.waits(call, job_id))
        return json_response(view)

    async def _clear(
        self, name: str, account: ClientAccount, configuration: PoolConfiguration
    ) -> Response:
        """Clear the tasks of a job of the suspicion that they crash their workers."""
        job_id = job_id_of(account.name, name)
        call = _call_by_name(account, configuration)
        await self._jobs.clear(call, job_id)
        return json_response(await self._view(call, name, job_id))

    async def _view(self, call: ClientCall, name: str, job_id: str) -> JobView:
        state = await self._jobs.state(call, job_id)
        accepted = await self._jobs.accepted(call, job_id)
        if state is None or accepted is None:
            raise _not_found(name)
        step = accepted.request.steps[0]
        return JobView(
            account=accepted.account,
            request=name,
            state=_STATES[state],
            job_class=_class_of(accepted.priority),
            accelerators=step.count * step.needs.accelerators,
            attempt=0,
            durable=True,
            cell=accepted.service,
            submitted=accepted.accepted_ms / 1000,
        )


def as_request(body: SubmitBody) -> JobRequest:
    """Convert a submitted body to a job of one step with one gang."""
    size = max(
        size
        for size in range(1, min(body.accelerators, MAX_ACCELERATORS_PER_TASK) + 1)
        if body.accelerators % size == 0
    )
    count = body.accelerators // size
    step = Step(
        count=count,
        needs=Resources(size * CPU_PER_ACCELERATOR, size * MEMORY_MB_PER_ACCELERATOR, size),
        estimate_ms=round(body.estimate * 1000),
        gang=count > 1,
        same_rack=body.adjacent in {Adjacency.RACK, Adjacency.WORKER},
        checkpoint=body.checkpoint,
        once=body.run_once,
    )
    return JobRequest(payload=body.payload, steps=(step,))


def job_id_of(account: str, request: str) -> str:
    """The job id for an account's request name."""
    return hashlib.sha256(f"{account}/{request}".encode()).hexdigest()[:JOB_ID_DIGITS]


def _authenticate(request: Request, configuration: PoolConfiguration) -> ClientAccount:
    token = request.bearer
    for account in configuration.accounts:
        if token and token in account.keys:
            return account
    raise SaddlestackError(ErrorKind.UNAUTHENTICATED, "expected a key of a client account")


def _queue_for(job_class: JobClass, configuration: PoolConfiguration) -> Queue:
    priority = _PRIORITIES[job_class]
    for queue in configuration.queues:
        if queue.priority == priority:
            return queue
    raise SaddlestackError(ErrorKind.NOT_FOUND, f"no queue accepts {job_class.value} jobs")


def _call_by_name(account: ClientAccount, configuration: PoolConfiguration) -> ClientCall:
    """A call about a job that an account has submitted on any queue."""
    return ClientCall(configuration.queues[0], account.name, CALL_DEADLINE_S, names_queue=False)


def _class_of(priority: int) -> JobClass:
    return next((c for c, p in _PRIORITIES.items() if p == priority), JobClass.BULK)


def _not_found(name: str) -> SaddlestackError:
    return SaddlestackError(ErrorKind.NOT_FOUND, f"no job {name}")
