"""The HTTP interface for clients of the platform.

Translates calls into those of a :class:`saddlestack.interfaces.clients.JobService`. See the
platform's protocol page, "jobs" and "ingress".
"""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec

from saddlestack.codec import from_json, to_json
from saddlestack.errors import ErrorKind, SaddlestackError, invalid
from saddlestack.interfaces.clients import ClientCall, JobService
from saddlestack.interfaces.documents import PoolConfiguration, Queue
from saddlestack.wire.http import Request, Response
from saddlestack.work import JobRequest, Resources, Step

KEY_HEADER = "saddlestack-credential"
DEADLINE_HEADER = "saddlestack-deadline-ms"
READY_PATH = "/api/ready"
DEFAULT_DEADLINE_MS = 3000.0
NO_CONFIGURATION_RETRY_S = 1.0
_JOB_ID = re.compile(r"[0-9a-f]{16}")


class StepBody(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, omit_defaults=True):
    """A step of a job as clients send it."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_ms: float = 0
    after_rev: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    colocate: str = ""
    anti_affinity: int = 0
    checkpoint: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class JobBody(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, omit_defaults=True):
    """A job as clients send it."""

    steps: list[StepBody]
    spec: str = ""
    times: int = 0
    start_delay_ms: float = 0
    interval_ms: float = 0


class StateBody(msgspec.Struct):
    """A job's state."""

    state: str


class PendingBody(msgspec.Struct):
    """Number of a queue's jobs that have not started."""

    pending: int


class Gateway:
    """Handles the clients' calls and the platform's readiness probe.

    :param configuration: returns the current configuration, or ``None`` while there is none.
    :param ready: returns whether this VM accepts new connections.
    """

    def __init__(
        self,
        jobs: JobService,
        configuration: Callable[[], PoolConfiguration | None],
        ready: Callable[[], bool],
    ) -> None:
        self._jobs = jobs
        self._configuration = configuration
        self._ready = ready

    async def readiness(self, request: Request) -> Response:
        """Answer the platform's readiness probe."""
        if request.path != READY_PATH:
            return Response(404)
        return Response(200 if self._ready() else 503)

    async def handle(self, request: Request) -> Response:
        """Handle one call of a client.

        :raises SaddlestackError: the call is rejected.
        """
        configuration = self._configuration()
        if configuration is None:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE,
                "no configuration has been read yet",
                retry_after=NO_CONFIGURATION_RETRY_S,
            )
        queue = _find_queue(request, configuration)
        call = ClientCall(queue, _authenticate(request, queue, configuration), _deadline_s(request))
        job_id = request.path[len(queue.prefix) :]
        if not job_id:
            return await self._pending(request, call)
        if not _JOB_ID.fullmatch(job_id):
            raise invalid("expected 16 hexadecimal digits", where=f"path: {job_id}")
        return await self._job(request, call, job_id, configuration)

    async def _pending(self, request: Request, call: ClientCall) -> Response:
        if request.method != "GET":
            raise _unsupported_method(request)
        return Response(200, to_json(PendingBody(await self._jobs.pending(call))))

    async def _job(
        self, request: Request, call: ClientCall, job_id: str, configuration: PoolConfiguration
    ) -> Response:
        if request.method == "POST":
            if len(request.body) > configuration.limits.body_bytes:
                raise SaddlestackError(
                    ErrorKind.TOO_LARGE,
                    f"the body is over {configuration.limits.body_bytes} bytes",
                )
            await self._jobs.submit(call, job_id, _decode_job(request.body))
            return Response(200, b"{}")
        if request.method == "GET":
            state = await self._jobs.state(call, job_id)
            if state is None:
                raise _unknown_job(job_id)
            return Response(200, to_json(StateBody(state.value)))
        if request.method == "DELETE":
            if not await self._jobs.cancel(call, job_id):
                raise _unknown_job(job_id)
            return Response(200, b"{}")
        raise _unsupported_method(request)


def _unknown_job(job_id: str) -> SaddlestackError:
    return SaddlestackError(ErrorKind.UNKNOWN_JOB, f"no job {job_id}")


def _unsupported_method(request: Request) -> SaddlestackError:
    return SaddlestackError(ErrorKind.NOT_FOUND, f"method {request.method} is not supported here")


def _find_queue(request: Request, configuration: PoolConfiguration) -> Queue:
    host = request.headers.get("host", "").partition(":")[0].lower()
    found: Queue | None = None
    for queue in configuration.queues:
        matches = queue.host.lower() == host and request.path.startswith(queue.prefix)
        if matches and (found is None or len(queue.prefix) > len(found.prefix)):
            found = queue
    if found is None:
        raise SaddlestackError(ErrorKind.NOT_FOUND, "no such queue", where=f"path: {request.path}")
    return found


def _authenticate(request: Request, queue: Queue, configuration: PoolConfiguration) -> str:
    key = request.headers.get(KEY_HEADER, "")
    for account in configuration.accounts:
        if key and key in account.keys:
            return account.name
    if queue.open:
        return ""
    raise SaddlestackError(
        ErrorKind.UNAUTHENTICATED, "expected a key of a client account", where=KEY_HEADER
    )


def _deadline_s(request: Request) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        deadline = float(text) if text else DEFAULT_DEADLINE_MS
    except ValueError:
        raise invalid("expected a number of milliseconds", where=DEADLINE_HEADER) from None
    return max(0.0, deadline) / 1000


def _decode_job(body: bytes) -> JobRequest:
    job = from_json(body, JobBody)
    return JobRequest(
        payload=job.spec,
        steps=tuple(_step(step) for step in job.steps),
        times=job.times,
        first_at_ms=int(job.start_delay_ms),
        interval_ms=int(job.interval_ms),
    )


def _step(step: StepBody) -> Step:
    return Step(
        count=step.count,
        needs=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=int(step.est_ms),
        after=step.after_rev,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.constraints,
        data_rack=step.colocate,
        per_worker=step.anti_affinity,
        checkpoint=step.checkpoint,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_ms=int(step.target_ms),
        fills=step.fills,
        may_miss=step.may_miss,
    )
