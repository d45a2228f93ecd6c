"""Routes jobs to cells, and calls to the VM that currently owns a cell."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TypeVar

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import Service
from saddlestack.models import ADJACENCY_ORDER, JobSpec, JobView
from saddlestack.policy.planner import cells_of
from saddlestack.policy.retry import RetryBudget, retry_delay
from saddlestack.policy.router import CellSummary, RoutedSinceSummary, choose_cell
from saddlestack.services import names
from saddlestack.services.configuration import Configuration
from saddlestack.services.context import Context
from saddlestack.services.membership import Membership
from saddlestack.services.rpc import Rpc
from saddlestack.services.scheduler import Scheduler
from saddlestack.wire.messages import (
    CancelJob,
    CellStatus,
    CellStatusRequest,
    JobList,
    JobQuery,
    ListJobs,
    OwnedCell,
    Submit,
)
from saddlestack.wire.streams import LinkLost

log = logging.getLogger("saddlestack.router")

T = TypeVar("T")

SUBMIT_TIMEOUT_S = 6.0
ASK_SLACK_S = 4.0
ASK_CHUNK_S = 20.0
OWNER_TIMEOUT_S = 15.0
MOVED_KINDS = frozenset({ErrorKind.CELL_UNAVAILABLE, ErrorKind.STOPPING})


@dataclass(slots=True)
class RetryState:
    """Retry state of one call to a cell's scheduler.

    :param until: when the call gives up.
    :param lost: whether an attempt may have been carried out.
    :param failed: VM and term of the scheduler that failed last.
    :param attempt: number of failed attempts.
    """

    until: float
    lost: bool = False
    failed: tuple[str, int] | None = None
    attempt: int = 0


class Router(Service):
    """Chooses cells for jobs and calls the schedulers of cells."""

    def __init__(self, context: Context) -> None:
        super().__init__(names.ROUTER, context.clock)
        self._context = context
        self._membership = context.registry.get(names.MEMBERSHIP, Membership)
        self._configuration = context.registry.get(names.CONFIGURATION, Configuration)
        self._budget = RetryBudget()
        self._sent = RoutedSinceSummary()
        rpc = context.registry.get(names.RPC, Rpc)
        rpc.add("submit", Submit, self._serve_submit)
        rpc.add("ask", JobQuery, self._serve_ask)
        rpc.add("cancel", CancelJob, self._serve_cancel)
        rpc.add("list", ListJobs, self._serve_list)
        rpc.add("status", CellStatusRequest, self._serve_status)

    def choose(self, spec: JobSpec) -> str:
        """Choose a cell for a job.

        :raises SaddlestackError: no cell could ever hold the job, or no cell is known yet.
        """
        document = self._configuration.document
        halls = {s.plan.name: s.plan.data_hall for s in cells_of(document.data_halls)}
        summaries = [
            self._sent.adjusted(_summary(owner, halls)) for owner in self._membership.cells()
        ]
        cell = choose_cell(
            spec, summaries, self._guaranteed_cells(spec), home=self._context.data_hall
        )
        if cell is not None:
            self._sent.note(cell, spec)
            return cell
        if summaries:
            raise SaddlestackError(
                ErrorKind.SHAPE_IMPOSSIBLE, f"no cell can ever hold {spec.shape}"
            )
        raise SaddlestackError(
            ErrorKind.CELL_UNAVAILABLE,
            "no cell is known yet; the request was not run",
            retry_after=1,
        )

    def _guaranteed_cells(self, spec: JobSpec) -> list[str]:
        return [
            assignment.cell
            for assignment in self._configuration.document.assignments
            if assignment.account == spec.account
            and assignment.accelerators >= spec.accelerators
            and ADJACENCY_ORDER[assignment.adjacent] <= ADJACENCY_ORDER[spec.adjacent]
        ]

    async def submit(self, cell: str, spec: JobSpec, claimed: bool) -> JobView:
        """Submit a job to its cell's scheduler; retries don't submit it twice.

        :raises SaddlestackError: the job was refused, or it is not known whether it was
            accepted.
        """
        body = Submit(cell, spec, claimed)
        return await self._call(cell, "submit", body, JobView, SUBMIT_TIMEOUT_S)

    async def get_job(self, cell: str, job_id: str, wait_s: float) -> JobView:
        """A job's state, waiting up to ``wait_s`` for its end, also across takeovers.

        :raises SaddlestackError: the job is not known, or its scheduler can't be reached.
        """
        until = self.clock.now() + wait_s
        while True:
            chunk = max(0.0, min(ASK_CHUNK_S, until - self.clock.now()))
            body = JobQuery(cell, job_id, chunk)
            view = await self._call(cell, "ask", body, JobView, chunk + ASK_SLACK_S)
            if view.state.final or self.clock.now() >= until:
                return view

    async def cancel(self, cell: str, job_id: str) -> JobView:
        """Cancel a job.

        :raises SaddlestackError: the job is not known, or its scheduler can't be reached.
        """
        body = CancelJob(cell, job_id)
        return await self._call(cell, "cancel", body, JobView, SUBMIT_TIMEOUT_S)

    async def jobs(self, account: str | None, limit: int) -> list[JobView]:
        """Jobs of an account, or of all, in every cell that answers, newest first."""
        replies = await asyncio.gather(
            *(
                self._call_or_none(
                    owner.vm, "list", ListJobs(owner.beat.cell, account, limit), JobList
                )
                for owner in self._membership.cells()
            )
        )
        found = [view for reply in replies if reply is not None for view in reply.jobs]
        return sorted(found, key=lambda view: -view.submitted)[:limit]

    async def statuses(self) -> list[CellStatus]:
        """The status of every cell that answers."""
        replies = await asyncio.gather(
            *(
                self._call_or_none(
                    owner.vm, "status", CellStatusRequest(owner.beat.cell), CellStatus
                )
                for owner in self._membership.cells()
            )
        )
        return [reply for reply in replies if reply is not None]

    async def search(self, job_id: str) -> tuple[str | None, bool]:
        """Search every cell for a job.

        :return: the job's cell or ``None``, and whether all configured cells answered.
        """
        owners = self._membership.cells()
        answers = await asyncio.gather(
            *(self._has_job(owner.vm, owner.beat.cell, job_id) for owner in owners)
        )
        found = next((o.beat.cell for o, a in zip(owners, answers, strict=True) if a), None)
        document = self._configuration.document
        configured = {site.plan.name for site in cells_of(document.data_halls)}
        answered = {o.beat.cell for o, a in zip(owners, answers, strict=True) if a is not None}
        return found, answered >= configured

    async def _has_job(self, vm: str, cell: str, job_id: str) -> bool | None:
        """Whether a cell has a job; ``None`` if its scheduler does not answer."""
        try:
            await self._membership.call(
                vm, "ask", JobQuery(cell, job_id, 0.0), JobView, ASK_SLACK_S
            )
        except LinkLost:
            return None
        except SaddlestackError as error:
            return False if error.kind is ErrorKind.NOT_FOUND else None
        return True

    async def _call_or_none(self, vm: str, method: str, body: object, reply: type[T]) -> T | None:
        try:
            return await self._membership.call(vm, method, body, reply, ASK_SLACK_S)
        except (LinkLost, SaddlestackError):
            return None

    async def _call(
        self, cell: str, method: str, body: object, reply: type[T], timeout: float
    ) -> T:
        """Call a cell's scheduler; if the cell moves, call its new owner."""
        retries = RetryState(self.clock.now() + OWNER_TIMEOUT_S)
        self._budget.record_first_try()
        while True:
            owner = self._membership.owner(cell)
            if owner is not None and self._may_try(owner, retries):
                try:
                    return await self._membership.call(owner.vm, method, body, reply, timeout)
                except LinkLost:
                    retries.lost = True
                except SaddlestackError as error:
                    if error.kind not in MOVED_KINDS:
                        raise
                retries.failed = (owner.vm, owner.beat.term)
                retries.attempt += 1
            if self.clock.now() >= retries.until:
                raise self._timeout_error(cell, retries)
            await asyncio.sleep(0.05 + retry_delay(min(retries.attempt, 3), self._context.rng))

    def _may_try(self, owner: OwnedCell, retries: RetryState) -> bool:
        """Whether to call an owner; the one that failed last is subject to the retry budget."""
        again = retries.failed == (owner.vm, owner.beat.term)
        return not again or self._budget.retry(self.clock.now())

    def _timeout_error(self, cell: str, retries: RetryState) -> SaddlestackError:
        if retries.lost:
            return SaddlestackError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the scheduler of cell {cell} did not answer; retry with the same request name",
                retry_after=2,
            )
        return SaddlestackError(
            ErrorKind.CELL_UNAVAILABLE,
            f"cell {cell} has no scheduler; the request was not run",
            retry_after=2,
        )

    def _scheduler(self, cell: str) -> Scheduler:
        scheduler = self._context.registry.find(names.scheduler(cell), Scheduler)
        if scheduler is None or not scheduler.ready:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, f"cell {cell} is not scheduled here", retry_after=1
            )
        return scheduler

    async def _serve_submit(self, body: Submit) -> JobView:
        return await self._scheduler(body.cell).submit(body.spec)

    async def _serve_ask(self, body: JobQuery) -> JobView:
        return await self._scheduler(body.cell).get_job(body.job_id, body.wait_s)

    async def _serve_cancel(self, body: CancelJob) -> JobView:
        return await self._scheduler(body.cell).cancel(body.job_id)

    async def _serve_list(self, body: ListJobs) -> JobList:
        return JobList(self._scheduler(body.cell).jobs(body.account, body.limit))

    async def _serve_status(self, body: CellStatusRequest) -> CellStatus:
        return self._scheduler(body.cell).status()


def _summary(owner: OwnedCell, halls: dict[str, str]) -> CellSummary:
    beat = owner.beat
    return CellSummary(
        beat.cell,
        halls.get(beat.cell, ""),
        beat.largest,
        beat.pinnable,
        beat.free,
        beat.queued,
        beat.lent,
        beat.capacity,
    )
