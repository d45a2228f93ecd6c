"""The client library: :class:`Client` for programs, :class:`AsyncClient` within asyncio."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Sequence
from types import TracebackType
from typing import Any, Self, TypeVar
from urllib.parse import quote

from saddlestack.api import AuditBody, HealthBody, JobsBody, StatusBody, SubmitBody
from saddlestack.codec import from_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import (
    Adjacency,
    AuditRecord,
    Confirmation,
    Document,
    Intent,
    JobClass,
    JobView,
    Plan,
)
from saddlestack.policy.retry import retry_delay
from saddlestack.services.metrics import MetricsView
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent, Response, error_from_response

T = TypeVar("T")

CALL_TIMEOUT_S = 30.0
DEFAULT_TRIES = 5

Endpoint = tuple[str, int]


class AsyncClient:
    """An asyncio client of the entry VMs. If one does not answer, the next one is tried.

    :param vms: addresses and ports of entry VMs or of the load balancer.
    :param token: the bearer token of a caller or an operator.
    :param tries: the maximum number of times that a repeatable request is sent.
    """

    def __init__(
        self,
        vms: Sequence[Endpoint],
        token: str | None = None,
        *,
        tries: int = DEFAULT_TRIES,
        dialer: Dialer | None = None,
        rng: random.Random | None = None,
    ) -> None:
        if not vms:
            raise SaddlestackError(ErrorKind.INVALID, "at least one entry VM is needed")
        self._clients = [HttpClient(a, p, token=token, dialer=dialer) for a, p in vms]
        self._tries = tries
        self._rng = rng or random.Random()
        self._next = self._rng.randrange(len(vms))

    async def submit(
        self,
        request: str,
        accelerators: int,
        *,
        job_class: JobClass | str = JobClass.NORMAL,
        adjacent: Adjacency | str | None = None,
        run_once: bool = False,
        checkpoint: bool = False,
        estimate: float = 60.0,
        deadline: float | None = None,
        payload: str = "",
        account: str | None = None,
        wait: float = 0.0,
    ) -> JobView:
        """Submit a job. A request name never runs twice, however often it is submitted.

        :param request: your name for the job, unique within the account.
        :param accelerators: size of the gang, 1 to 256.
        :param estimate: expected running time in seconds.
        :param deadline: seconds from now after which the job must not start.
        :param wait: seconds to wait for the job to end; 0 returns once the job is accepted.
        :rtype: JobView
        :raises SaddlestackError: the call failed; ``error.rule.ran`` is whether the job may
            have run.
        """
        body = SubmitBody(
            request=request,
            accelerators=accelerators,
            job_class=JobClass(job_class),
            account=account,
            adjacent=None if adjacent is None else Adjacency(adjacent),
            run_once=run_once,
            checkpoint=checkpoint,
            estimate=estimate,
            deadline_s=deadline,
            payload=payload,
        )
        path = f"/v1/jobs?wait={wait:g}"
        return _job(await self._send("POST", path, body, timeout=wait + CALL_TIMEOUT_S))

    async def job(self, request: str, *, account: str | None = None, wait: float = 0.0) -> JobView:
        """Return a job.

        :param wait: seconds to wait for the job to end.
        :raises SaddlestackError: there is no such job.
        """
        path = f"/v1/jobs/{quote(request)}?wait={wait:g}{_account(account, '&')}"
        return _job(await self._send("GET", path, timeout=wait + CALL_TIMEOUT_S))

    async def jobs(self, *, account: str | None = None, limit: int = 100) -> tuple[JobView, ...]:
        """List jobs, newest first."""
        path = f"/v1/jobs?limit={limit}{_account(account, '&')}"
        return from_json((await self._ok("GET", path)).body, JobsBody).jobs

    async def cancel(self, request: str, *, account: str | None = None) -> JobView:
        """Cancel a job.

        :raises SaddlestackError: there is no such job.
        """
        path = f"/v1/jobs/{quote(request)}{_account(account, '?')}"
        return _job(await self._send("DELETE", path))

    async def clear(self, request: str, *, account: str | None = None) -> JobView:
        """Allow tasks of a job to start normally again after workers crashed under them.

        Each start still counts towards the limit, so that no task crashes workers endlessly.
        """
        path = f"/v1/jobs/{quote(request)}/clear{_account(account, '?')}"
        return _job(await self._ok("POST", path))

    async def plan(self, intent: Intent) -> Plan:
        """Return what an intent would change, without changing anything.

        :raises SaddlestackError: the intent is invalid.
        """
        return from_json((await self._ok("POST", "/v1/plans", intent)).body, Plan)

    async def confirm(self, plan: Plan, *, wait: float = 0.0) -> Confirmation:
        """Apply a plan.

        :param wait: seconds to wait until all known VMs have applied it.
        :raises SaddlestackError: outdated (``conflict``) or refused; nothing has changed.
        """
        path = f"/v1/confirmations?wait={wait:g}"
        response = await self._ok("POST", path, plan, tries=1, timeout=wait + CALL_TIMEOUT_S)
        return from_json(response.body, Confirmation)

    async def configuration(self) -> Document:
        """Return the configuration that the contacted VM has applied."""
        return from_json((await self._ok("GET", "/v1/configuration")).body, Document)

    async def audit(self, *, limit: int = 100) -> tuple[AuditRecord, ...]:
        """Return accepted and refused configuration changes, newest first."""
        response = await self._ok("GET", f"/v1/audit?limit={limit}")
        return from_json(response.body, AuditBody).records

    async def status(self) -> StatusBody:
        """Return cells, terms, queues, guarantees and VMs as known to the contacted VM."""
        return from_json((await self._ok("GET", "/v1/status")).body, StatusBody)

    async def metrics(self) -> MetricsView:
        """Return the counters and latencies of the contacted VM."""
        return from_json((await self._ok("GET", "/v1/metrics")).body, MetricsView)

    async def ready(self) -> HealthBody:
        """Return whether the contacted VM accepts requests."""
        return from_json((await self._send("GET", "/v1/ready", tries=1)).body, HealthBody)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()

    async def _ok(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        tries: int | None = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> Response:
        response = await self._send(method, path, body, tries=tries, timeout=timeout)
        if response.status >= 400:
            raise error_from_response(response)
        return response

    async def _send(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        tries: int | None = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> Response:
        """Send a request, retrying at the next VM if it was not answered or got status 503."""
        allowed = tries or self._tries
        lost: Exception | None = None
        for attempt in range(allowed):
            client = self._clients[self._next % len(self._clients)]
            try:
                response = await client.request(method, path, body, timeout=timeout)
            except (NotSent, AnswerLost) as error:
                lost = lost if isinstance(lost, AnswerLost) else error
                self._next += 1
            else:
                if response.status != 503 or attempt + 1 == allowed or path == "/v1/ready":
                    return _check_for_lost_answer(response, lost, method)
                self._next += 1
            if attempt + 1 < allowed:
                await asyncio.sleep(retry_delay(attempt + 1, self._rng))
        raise _lost_error(method, path, lost)


class Client:
    """A blocking version of :class:`AsyncClient`, for programs without an event loop.

    >>> with Client([("127.0.0.1", 7080)], token="…") as client:
    ...     job = client.submit("splits-2026-12-02", 16, run_once=True, wait=60)
    """

    def __init__(
        self, vms: Sequence[Endpoint], token: str | None = None, *, tries: int = DEFAULT_TRIES
    ) -> None:
        self._loop = asyncio.new_event_loop()
        self._client = AsyncClient(vms, token, tries=tries)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def submit(self, request: str, accelerators: int, **options: Any) -> JobView:
        """Submit a job; see :meth:`AsyncClient.submit`."""
        return self._run(self._client.submit(request, accelerators, **options))

    def job(self, request: str, *, account: str | None = None, wait: float = 0.0) -> JobView:
        """Return a job; see :meth:`AsyncClient.job`."""
        return self._run(self._client.job(request, account=account, wait=wait))

    def jobs(self, *, account: str | None = None, limit: int = 100) -> tuple[JobView, ...]:
        """List jobs, newest first."""
        return self._run(self._client.jobs(account=account, limit=limit))

    def cancel(self, request: str, *, account: str | None = None) -> JobView:
        """Cancel a job."""
        return self._run(self._client.cancel(request, account=account))

    def clear(self, request: str, *, account: str | None = None) -> JobView:
        """Allow tasks of a job to start again; see :meth:`AsyncClient.clear`."""
        return self._run(self._client.clear(request, account=account))

    def plan(self, intent: Intent) -> Plan:
        """Return what an intent would change."""
        return self._run(self._client.plan(intent))

    def confirm(self, plan: Plan, *, wait: float = 0.0) -> Confirmation:
        """Apply a plan; see :meth:`AsyncClient.confirm`."""
        return self._run(self._client.confirm(plan, wait=wait))

    def configuration(self) -> Document:
        """Return the current configuration."""
        return self._run(self._client.configuration())

    def audit(self, *, limit: int = 100) -> tuple[AuditRecord, ...]:
        """Return accepted and refused configuration changes, newest first."""
        return self._run(self._client.audit(limit=limit))

    def status(self) -> StatusBody:
        """Return cells, terms, queues, guarantees and VMs."""
        return self._run(self._client.status())

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    def _run(self, work: Coroutine[Any, Any, T]) -> T:
        return self._loop.run_until_complete(work)


def _job(response: Response) -> JobView:
    """Decode the job in a response; it may be present whatever the status."""
    if response.status in {200, 202}:
        return from_json(response.body, JobView)
    try:
        return from_json(response.body, JobView)
    except SaddlestackError:
        raise error_from_response(response) from None


def _account(account: str | None, mark: str) -> str:
    return "" if account is None else f"{mark}account={quote(account)}"


def _check_for_lost_answer(response: Response, lost: Exception | None, method: str) -> Response:
    """Check an error response that follows an earlier try whose answer was lost.

    Such a response does not prove that the job did not run, as the earlier try may have started it.

    :raises SaddlestackError: the outcome is unknown.
    """
    if method != "POST" or not isinstance(lost, AnswerLost) or response.status < 400:
        return response
    try:
        from_json(response.body, JobView)
    except SaddlestackError:
        error = error_from_response(response)
    else:
        return response
    raise SaddlestackError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"an earlier try was not answered, the last one failed: {error.message}",
        retry_after=error.retry_after,
    )


def _lost_error(method: str, path: str, error: Exception | None) -> SaddlestackError:
    if isinstance(error, AnswerLost) and method == "POST":
        return SaddlestackError(
            ErrorKind.OUTCOME_UNKNOWN, f"{method} {path} was sent and not answered: {error}"
        )
    return SaddlestackError(
        ErrorKind.CELL_UNAVAILABLE, f"no entry VM answered {method} {path}: {error}"
    )
