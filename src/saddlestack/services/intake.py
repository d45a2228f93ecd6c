"""The HTTP interface for callers and operators, served by every entry VM."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable

import msgspec

from saddlestack.api import (
    AuditBody,
    HealthBody,
    JobsBody,
    StatusBody,
    SubmitBody,
    VmStatus,
)
from saddlestack.codec import from_json
from saddlestack.errors import TABLE, ErrorKind, Ran, SaddlestackError, invalid
from saddlestack.kernel.service import Service
from saddlestack.models import (
    MAX_NAME,
    MAX_PAYLOAD,
    Document,
    Intent,
    JobSpec,
    JobState,
    JobView,
    Plan,
)
from saddlestack.platform.store import StoreClient, StoreUnavailable
from saddlestack.policy.limits import TokenBucket
from saddlestack.policy.planner import cells_of, narrowest
from saddlestack.services import names
from saddlestack.services.access import Access, Caller
from saddlestack.services.audit import Audit
from saddlestack.services.claims import Claims
from saddlestack.services.configuration import Configuration
from saddlestack.services.context import Context
from saddlestack.services.membership import Membership
from saddlestack.services.metrics import Metrics
from saddlestack.services.ownership import Ownership
from saddlestack.services.router import Router
from saddlestack.shapes import check_accelerators
from saddlestack.wire.http import HttpServer, Request, Response, json_response

MAX_WAIT_S = 600.0
MAX_LIST = 1000.0
DEFAULT_LIST = 100.0
MAX_ESTIMATE_S = 30 * 86_400.0
STORE_RETRY_S = 2.0
LIMIT_RETRY_S = 1.0

_REQUEST_NAME = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")

Route = Callable[[Request], Awaitable[Response]]


class Intake(Service):
    """Serves the HTTP requests of callers and operators."""

    def __init__(self, context: Context) -> None:
        super().__init__(names.INTAKE, context.clock)
        self._context = context
        registry = context.registry
        self._configuration = registry.get(names.CONFIGURATION, Configuration)
        self._membership = registry.get(names.MEMBERSHIP, Membership)
        self._ownership = registry.get(names.OWNERSHIP, Ownership)
        self._router = registry.get(names.ROUTER, Router)
        self._claims = registry.get(names.CLAIMS, Claims)
        self._audit = registry.get(names.AUDIT, Audit)
        self._metrics = registry.get(names.METRICS, Metrics)
        self._store = registry.get(names.STORE, StoreClient)
        self._access = Access(context.settings.operators)
        self._limits: dict[str, TokenBucket] = {}
        self._waiting = 0
        self._stop_at: float | None = None
        bounds = context.settings.bounds
        self.server = HttpServer(
            self.handle, max_body=bounds.body_bytes, max_connections=bounds.connections
        )
        self._routes: dict[tuple[str, str], Route] = {
            ("POST", "/v1/jobs"): self._submit,
            ("GET", "/v1/jobs"): self._list,
            ("POST", "/v1/plans"): self._plan,
            ("POST", "/v1/confirmations"): self._confirm,
            ("GET", "/v1/configuration"): self._show_configuration,
            ("GET", "/v1/audit"): self._show_audit,
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/health"): self._health,
            ("GET", "/v1/ready"): self._ready,
            ("GET", "/v1/metrics"): self._show_metrics,
        }

    async def start(self) -> None:
        """Start the HTTP server."""
        http = self._context.settings.http
        await self.server.start(http.address, http.port)

    async def stop(self) -> None:
        """Stop the HTTP server."""
        await self.server.stop()
        await super().stop()

    def begin_stop(self, within_s: float) -> None:
        """Report as not ready and refuse submissions.

        :param within_s: seconds within which pending requests are answered.
        """
        self._stop_at = self.clock.now() + within_s

    async def handle(self, request: Request) -> Response:
        """Route and answer one request.

        :raises SaddlestackError: the request is refused or failed.
        """
        route = self._routes.get((request.method, request.path))
        if request.path not in {"/v1/health", "/v1/ready"}:
            self._require_configuration()
        if route is not None:
            return await route(request)
        prefix = "/v1/jobs/"
        if request.path.startswith(prefix):
            name = request.path.removeprefix(prefix)
            if request.method == "GET":
                return await self._show(request, name)
            if request.method == "DELETE":
                return await self._cancel(request, name)
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no {request.method} {request.path}")

    def _require_configuration(self) -> None:
        """Refuse requests until the configuration is loaded.

        Accounts, and so the caller, are not known before that.
        """
        if not self._configuration.loaded.is_set():
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE,
                "this VM is starting; the request was not run",
                retry_after=1,
            )

    async def _submit(self, request: Request) -> Response:
        started_at = self.clock.now()
        body = from_json(request.body, SubmitBody)
        account = self._access.account(request, self._document, body.account)
        wait = request.number("wait", 0.0, maximum=MAX_WAIT_S)
        spec = self._spec(body, account)
        self._limit(account)
        cell, claimed = await self._claim(spec)
        view = await self._router.submit(cell, spec, claimed)
        self._metrics.count("submitted")
        self._metrics.time("accept", self.clock.now() - started_at)
        if wait and not view.state.final:
            view = await self._wait_for_accepted(cell, spec, claimed, wait)
        return self._job_response(view)

    async def _wait_for_accepted(
        self, cell: str, spec: JobSpec, claimed: bool, wait: float
    ) -> JobView:
        """Wait for an accepted job.

        A later error must not report the job as not run, so it becomes an unknown outcome.
        """
        try:
            return await self._wait(cell, spec, claimed, wait)
        except SaddlestackError as error:
            if error.rule.ran is Ran.UNKNOWN:
                raise
            raise SaddlestackError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the job was accepted, then: {error.message}",
                retry_after=error.retry_after,
            ) from error

    def _spec(self, body: SubmitBody, account: str) -> JobSpec:
        if not _REQUEST_NAME.match(body.request):
            raise invalid(
                f"expected 1 to {MAX_NAME} letters, digits or any of ._:-", "body: request"
            )
        check_accelerators(body.accelerators, "body: accelerators")
        if not 0 < body.estimate <= MAX_ESTIMATE_S:
            raise invalid(
                f"expected above 0 and up to {MAX_ESTIMATE_S:g} seconds", "body: estimate"
            )
        if body.deadline_s is not None and body.deadline_s <= 0:
            raise invalid("expected a number of seconds above 0", "body: deadline_s")
        if len(body.payload.encode()) > MAX_PAYLOAD:
            raise SaddlestackError(
                ErrorKind.TOO_LARGE, f"over {MAX_PAYLOAD} bytes", where="body: payload"
            )
        sites = cells_of(self._document.data_halls)
        if not sites:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, "no data halls are configured", retry_after=1
            )
        deadline = None if body.deadline_s is None else self.clock.wall() + body.deadline_s
        return JobSpec(
            account=account,
            request=body.request,
            job_class=body.job_class,
            accelerators=body.accelerators,
            adjacent=body.adjacent or narrowest(body.accelerators, sites),
            run_once=body.run_once,
            checkpoint=body.checkpoint,
            estimate=body.estimate,
            deadline=deadline,
            payload=body.payload,
        )

    def _limit(self, account: str) -> None:
        if self._stop_at is not None:
            raise SaddlestackError(
                ErrorKind.STOPPING, "this VM is stopping; the request was not run", retry_after=1
            )
        if self._waiting >= self._context.settings.bounds.waiting:
            raise SaddlestackError(
                ErrorKind.RATE_LIMITED,
                "too many requests are waiting on this VM",
                retry_after=LIMIT_RETRY_S,
            )
        known = self._document.account(account)
        if known is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no account {account}")
        bucket = self._limits.get(account)
        if bucket is None:
            bucket = TokenBucket(known.limits.rate, known.limits.burst)
            self._limits[account] = bucket
        share = max(1, len(self._membership.alive()))
        bucket.configure(known.limits.rate / share, max(1.0, known.limits.burst / share))
        if not bucket.take(self.clock.now()):
            raise SaddlestackError(
                ErrorKind.RATE_LIMITED,
                f"account {account} submits faster than its limit; the request was not run",
                retry_after=bucket.wait(self.clock.now()),
            )

    async def _claim(self, spec: JobSpec) -> tuple[str, bool]:
        """The cell for a request, and whether it is claimed in the store for all halls."""
        cell = self._router.choose(spec)
        if not self._claims.reachable and not spec.run_once:
            return cell, False
        try:
            if not self._claims.reachable:
                raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "the store does not answer")
            return await self._claims.claim(spec.job_id, cell, patient=spec.run_once), True
        except SaddlestackError as error:
            if error.kind is not ErrorKind.STORE_UNAVAILABLE:
                raise
        if not spec.run_once:
            return cell, False
        return await self._find_run_once(spec), True

    async def _find_run_once(self, spec: JobSpec) -> str:
        """The cell that already has a run-once job, while the store is down.

        :raises SaddlestackError: not run, if no cell has the job; outcome unknown, if some
            cell does not answer.
        """
        found, all_answered = await self._router.search(spec.job_id)
        if found is not None:
            return found
        if all_answered:
            raise SaddlestackError(
                ErrorKind.STORE_UNAVAILABLE,
                "run-once work needs the platform's store, which does not answer; "
                "the request was not run",
                retry_after=STORE_RETRY_S,
            )
        raise SaddlestackError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the platform's store and some cells do not answer: this request was not accepted, "
            "whether an earlier one ran is not known",
            retry_after=STORE_RETRY_S,
        )

    async def _wait(self, cell: str, spec: JobSpec, claimed: bool, wait: float) -> JobView:
        """Wait for a job's end; submit it again if its scheduler was lost along with it."""
        until = self.clock.now() + wait
        self._waiting += 1
        try:
            while True:
                left = self._allowed_wait(until)
                try:
                    view = await self._router.get_job(cell, spec.job_id, min(left, 5.0))
                except SaddlestackError as error:
                    if error.kind is not ErrorKind.NOT_FOUND:
                        raise
                    view = await self._router.submit(cell, spec, claimed)
                if view.state.final or self._allowed_wait(until) <= 0:
                    return view
        finally:
            self._waiting -= 1

    def _allowed_wait(self, until: float) -> float:
        if self._stop_at is not None:
            until = min(until, self._stop_at)
        return max(0.0, until - self.clock.now())

    async def _show(self, request: Request, name: str) -> Response:
        job_id, cell = await self._locate(request, name)
        wait = request.number("wait", 0.0, maximum=MAX_WAIT_S)
        until = self.clock.now() + wait
        while True:
            view = await self._router.get_job(cell, job_id, min(self._allowed_wait(until), 5.0))
            if view.state.final or self._allowed_wait(until) <= 0:
                return self._job_response(view)

    async def _cancel(self, request: Request, name: str) -> Response:
        job_id, cell = await self._locate(request, name)
        view = await self._router.cancel(cell, job_id)
        return json_response(view)

    async def _locate(self, request: Request, name: str) -> tuple[str, str]:
        """The id of a job and its cell.

        :raises SaddlestackError: there is no such job, or some cell does not answer.
        """
        account = self._access.account(request, self._document, request.query.get("account"))
        job_id = f"{account}/{name}"
        cell: str | None = None
        if self._claims.reachable:
            try:
                cell = await self._claims.find(job_id)
            except StoreUnavailable:
                cell = None
        if cell is not None:
            return job_id, cell
        found, all_answered = await self._router.search(job_id)
        if found is not None:
            return job_id, found
        if not all_answered:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, "not every cell answers at the moment", retry_after=2
            )
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no job {job_id}")

    async def _list(self, request: Request) -> Response:
        sender = self._access.identify(request, self._document)
        account = sender.account if isinstance(sender, Caller) else request.query.get("account")
        limit = int(request.number("limit", DEFAULT_LIST, maximum=MAX_LIST))
        return json_response(JobsBody(jobs=tuple(await self._router.jobs(account, limit))))

    def _job_response(self, view: JobView) -> Response:
        if view.state is JobState.DONE:
            return json_response(view, 200)
        if not view.state.final:
            return json_response(view, 202)
        kind = ErrorKind(view.error or ErrorKind.INTERNAL)
        return json_response(view, TABLE[kind].status)

    async def _plan(self, request: Request) -> Response:
        self._access.operator(request, self._document)
        intent = from_json(request.body, Intent)
        plan = self._configuration.plan(intent)
        reclaims = await self._reclaims(plan)
        return json_response(msgspec.structs.replace(plan, reclaims=reclaims))

    async def _reclaims(self, plan: Plan) -> tuple[str, ...]:
        """Cells with lent capacity that newly guaranteed accounts could reclaim."""
        if not plan.intent.accounts:
            return ()
        statuses = await self._router.statuses()
        return tuple(
            f"cell {status.cell}: {status.capacity - status.free} of {status.capacity} "
            f"accelerators are in use; borrowers among {status.running} gangs are preempted "
            "when the guarantee is used"
            for status in statuses
            if status.free < status.capacity
        )

    async def _confirm(self, request: Request) -> Response:
        operator = self._access.operator(request, self._document)
        plan = from_json(request.body, Plan)
        wait = request.number("wait", 0.0, maximum=30.0)
        confirmation = await self._configuration.confirm(plan, operator.name, wait)
        return json_response(confirmation)

    async def _show_configuration(self, request: Request) -> Response:
        self._access.operator(request, self._document)
        return json_response(self._document)

    async def _show_audit(self, request: Request) -> Response:
        self._access.operator(request, self._document)
        limit = int(request.number("limit", DEFAULT_LIST, maximum=MAX_LIST))
        try:
            records = await self._audit.read(self._document, limit)
        except StoreUnavailable as error:
            raise SaddlestackError(
                ErrorKind.STORE_UNAVAILABLE, str(error), retry_after=STORE_RETRY_S
            ) from error
        return json_response(AuditBody(records=records))

    async def _status(self, request: Request) -> Response:
        self._access.operator(request, self._document)
        vms = [
            VmStatus(
                name=member.name,
                data_hall=member.data_hall,
                health=member.health.value,
                incarnation=member.incarnation,
                revision=member.revision,
                leaving=member.leaving,
                cells=tuple(beat.cell for beat in member.cells),
            )
            for member in self._membership.members
        ]
        body = StatusBody(
            vm=self._context.vm,
            data_hall=self._context.data_hall,
            revision=self._document.revision,
            store_available=self._store.available,
            watching=self._configuration.watching,
            vms=tuple(sorted(vms, key=lambda vm: vm.name)),
            cells=tuple(await self._router.statuses()),
        )
        return json_response(body)

    async def _show_metrics(self, request: Request) -> Response:
        self._access.operator(request, self._document)
        return json_response(self._metrics.view())

    async def _health(self, request: Request) -> Response:
        return json_response(HealthBody(ready=self._stop_at is None))

    async def _ready(self, request: Request) -> Response:
        reason = self._not_ready()
        return json_response(HealthBody(ready=not reason, reason=reason), 503 if reason else 200)

    def _not_ready(self) -> str:
        if self._stop_at is not None:
            return "stopping"
        if not self._configuration.loaded.is_set():
            return "the configuration is not loaded yet"
        if not self._membership.cells():
            return "no cell is scheduled yet"
        return ""

    @property
    def _document(self) -> Document:
        return self._configuration.document
