"""Orders to one worker as a :class:`saddlestack.interfaces.workers.WorkerOrders`.

See the platform's protocol page, "running tasks".
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from saddlestack.codec import from_json
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.incarnations import started_ms_of, worker_id_of
from saddlestack.interfaces.workers import (
    EndedTask,
    EndKind,
    Refusal,
    RunningTask,
    StartOrder,
    StartReply,
    WorkerBusy,
    WorkerFenced,
    WorkerNotReached,
    WorkerReplaced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.platform import paths
from saddlestack.platform.messages import (
    EndedRow,
    HoldBody,
    OrderAnswer,
    PaceBody,
    ReportBody,
    StartBody,
    StopBody,
)
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent, Opening, Response

T = TypeVar("T")

LIFE_HEADER = "Saddlestack-Target-Instance"
KEPT_CONNECTIONS = 4
ENDS_AT_ONCE = 500
"""A worker lists no more ends in one answer; the others come when these were acknowledged."""
_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.STALE,
    "late": Refusal.LATE,
    "room": Refusal.CAPACITY,
    "ticket": Refusal.TICKET,
}


class HttpWorkerOrders:
    """Orders to one life of a worker, over kept connections.

    Calls name the worker's id, which a later life may have as well, and only lists of runs tell
    which life answers. So a connection to a life that tells its birth begins with a look that
    acknowledges nothing: no order for one life, and no acknowledgement of its ends, is carried out
    by another. That costs one call of 1 to 3 ms a connection.
    """

    def __init__(self, life: str, address: str, port: int, *, dialer: Dialer | None = None) -> None:
        self._http = HttpClient(address, port, dialer=dialer, kept=KEPT_CONNECTIONS)
        self._headers = ((LIFE_HEADER, worker_id_of(life)),)
        self._born = started_ms_of(life)

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        body = StartBody(
            order.task,
            order.run,
            order.payload,
            order.deadline_ms,
            order.fence,
            order.saved,
            order.ticket,
        )
        response = await self._call(paths.START, body, order.fence, timeout_s)
        if response.status == 400:
            return StartReply(None, Refusal.INVALID)
        answer = _read(response, OrderAnswer, (200, 409))
        if response.status == 200:
            return StartReply(answer.clock_ms, None)
        return StartReply(answer.clock_ms, _REFUSALS.get(answer.reason, Refusal.STALE))

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run; one that is not there yet will be refused when it comes."""
        response = await self._call(paths.STOP, StopBody(task, run, fence), fence, timeout_s)
        _not_fenced(response)
        _read(response, OrderAnswer, (200, 409))

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Let a run work at a share of its full speed, 0 to 100."""
        body = PaceBody(task, run, percent, fence)
        response = await self._call("/api/pace", body, fence, timeout_s)
        _not_fenced(response)
        _read(response, OrderAnswer, (200, 409))

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease of what runs, acknowledge ends up to ``seen``, and look."""
        body = HoldBody(fence, seen, deadline_ms, round(wait_s * 1000))
        response = await self._call(paths.LOOK, body, fence, timeout_s)
        report = self._report(response)
        running = tuple(
            RunningTask(r.task, r.run, r.saved, int(r.percent), r.figure) for r in report.running
        )
        ended = tuple(_end_of(row) for row in report.ended)
        return WorkerReport(
            report.clock_ms,
            running,
            ended,
            more=len(ended) >= ENDS_AT_ONCE,
            born=_born(report),
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _call(self, path: str, body: object, fence: int, timeout_s: float) -> Response:
        try:
            response = await self._http.request(
                "POST",
                path,
                body,
                timeout=timeout_s,
                headers=self._headers,
                opening=self._opening(fence),
            )
        except NotSent as error:
            raise WorkerNotReached(str(error)) from error
        except AnswerLost as error:
            raise WorkerUnreachable(str(error)) from error
        _taken(response)
        return response

    def _opening(self, fence: int) -> Opening | None:
        """Learns which life a connection leads to, where lives tell their birth."""
        if not self._born:
            return None
        return Opening("POST", paths.LOOK, HoldBody(fence, last_seen=0), self._check)

    def _check(self, response: Response) -> None:
        """Check the first look on a connection.

        :raises WorkerNotReached: it tells nothing, and what was to follow it never left.
        """
        _taken(response)
        try:
            self._report(response)
        except WorkerUnreachable as error:
            raise WorkerNotReached(str(error)) from error

    def _report(self, response: Response) -> ReportBody:
        """What the life lists.

        :raises WorkerReplaced: it is another life.
        """
        _not_fenced(response)
        report = _read(response, ReportBody, (200,))
        check_birth(self._born, _born(report))
        return report


def check_birth(known: int, told: int) -> None:
    """Check that a list of runs is that of the life that was asked for.

    :param known: when that life was born, in milliseconds since 1970; 0 where it does not tell.
    :param told: the same, as the list tells it.
    :raises WorkerReplaced: it is another life's.
    :raises WorkerUnreachable: one of the two tells no birth, which tells nothing of the life: its
        record may be another writer's.
    """
    if known == told:
        return
    if known and told:
        raise WorkerReplaced
    raise WorkerUnreachable("a birth is told where none was, or none where one was")


def _taken(response: Response) -> None:
    """Check that a call was taken by a worker that goes by the id.

    :raises WorkerReplaced: another worker answers.
    :raises WorkerBusy: it is unhealthy.
    """
    if response.status == 421:
        raise WorkerReplaced
    if response.status in {429, 503}:
        raise WorkerBusy(f"answered {response.status}")


def _born(report: ReportBody) -> int:
    return 0 if isinstance(report.born, msgspec.UnsetType) else report.born


def _end_of(row: EndedRow) -> EndedTask:
    """An end that a worker lists.

    :raises WorkerUnreachable: it tells of an end that there is not: the answer cannot be read.
    """
    try:
        return EndedTask(row.number, row.task, row.run, EndKind(row.how), row.saved)
    except ValueError as error:
        raise WorkerUnreachable(str(error)) from error


def _not_fenced(response: Response) -> None:
    if response.status == 409 and _read(response, OrderAnswer, (409,)).reason == "fence":
        raise WorkerFenced


def _read(response: Response, kind: type[T], statuses: tuple[int, ...]) -> T:
    if response.status not in statuses:
        raise WorkerUnreachable(f"answered {response.status}")
    try:
        return from_json(response.body or b"{}", kind, "answer of the worker")
    except SaddlestackError as error:
        raise WorkerUnreachable(str(error)) from error
