"""The platform's worker interface as a :class:`saddlestack.interfaces.workers.WorkerOrders`.

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
from saddlestack.wire.http import AnswerLost, ConnectionCheck, HttpClient, NotSent, Response

T = TypeVar("T")

INSTANCE_HEADER = "Saddlestack-Target-Instance"
MAX_IDLE_CONNECTIONS = 4
MAX_ENDS_PER_REPORT = 500
"""Most ends that a worker lists in one answer; it lists the others once these are acknowledged."""
_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.STALE,
    "late": Refusal.LATE,
    "room": Refusal.CAPACITY,
    "ticket": Refusal.TICKET,
}


class HttpWorkerOrders:
    """Sends orders to one incarnation of a worker, over persistent connections.

    Calls carry the worker's ID, which a later incarnation may reuse, and only the answer to a poll
    identifies the incarnation. Each connection to an incarnation that reports its start time
    therefore begins with a poll that acknowledges nothing, so that no other incarnation carries out
    an order or an acknowledgement meant for this one. This costs one call of 1 to 3 ms per
    connection.
    """

    def __init__(
        self, incarnation: str, address: str, port: int, *, dialer: Dialer | None = None
    ) -> None:
        self._http = HttpClient(address, port, dialer=dialer, max_idle=MAX_IDLE_CONNECTIONS)
        self._headers = ((INSTANCE_HEADER, worker_id_of(incarnation)),)
        self._started_ms = started_ms_of(incarnation)

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
        answer = _decode(response, OrderAnswer, (200, 409))
        if response.status == 200:
            return StartReply(answer.clock_ms, None)
        return StartReply(answer.clock_ms, _REFUSALS.get(answer.reason, Refusal.STALE))

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run; if it has not arrived yet, the worker refuses it when it does."""
        response = await self._call(paths.STOP, StopBody(task, run, fence), fence, timeout_s)
        _check_not_fenced(response)
        _decode(response, OrderAnswer, (200, 409))

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Limit a run to a percentage of its full speed, 0 to 100."""
        body = PaceBody(task, run, percent, fence)
        response = await self._call("/api/pace", body, fence, timeout_s)
        _check_not_fenced(response)
        _decode(response, OrderAnswer, (200, 409))

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease of all runs, acknowledge ends up to ``seen``, and poll the worker."""
        body = HoldBody(fence, seen, deadline_ms, round(wait_s * 1000))
        response = await self._call(paths.HOLD, body, fence, timeout_s)
        report = self._decode_report(response)
        running = tuple(
            RunningTask(r.task, r.run, r.saved, int(r.percent), r.figure) for r in report.running
        )
        ended = tuple(_decode_end(row) for row in report.ended)
        return WorkerReport(
            report.clock_ms,
            running,
            ended,
            more=len(ended) >= MAX_ENDS_PER_REPORT,
            born=_started_ms(report),
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
                connection_check=self._connection_check(fence),
            )
        except NotSent as error:
            raise WorkerNotReached(str(error)) from error
        except AnswerLost as error:
            raise WorkerUnreachable(str(error)) from error
        _check_accepted(response)
        return response

    def _connection_check(self, fence: int) -> ConnectionCheck | None:
        """The check of a new connection's incarnation; ``None`` if its start time is unknown."""
        if not self._started_ms:
            return None
        return ConnectionCheck(
            "POST", paths.HOLD, HoldBody(fence, last_seen=0), self._check_incarnation
        )

    def _check_incarnation(self, response: Response) -> None:
        """Check the answer to the first poll on a connection.

        :raises WorkerNotReached: the answer is unusable; the order that was to follow was not sent.
        """
        _check_accepted(response)
        try:
            self._decode_report(response)
        except WorkerUnreachable as error:
            raise WorkerNotReached(str(error)) from error

    def _decode_report(self, response: Response) -> ReportBody:
        """Decode the answer to a poll and check who sent it.

        :raises WorkerReplaced: another incarnation answered.
        """
        _check_not_fenced(response)
        report = _decode(response, ReportBody, (200,))
        check_start_time(self._started_ms, _started_ms(report))
        return report


def check_start_time(expected_ms: int, reported_ms: int) -> None:
    """Check that a poll was answered by the expected incarnation.

    :param expected_ms: its start time, in milliseconds since 1970; 0 if it reports none.
    :param reported_ms: the start time in the answer.
    :raises WorkerReplaced: another incarnation answered.
    :raises WorkerUnreachable: only one of the two start times is known. This does not identify the
        incarnation, since the record with the expected one may come from another writer.
    """
    if expected_ms == reported_ms:
        return
    if expected_ms and reported_ms:
        raise WorkerReplaced
    raise WorkerUnreachable("only one of the expected and the reported start time is known")


def _check_accepted(response: Response) -> None:
    """Check that a worker with the expected ID accepted a call.

    :raises WorkerReplaced: a worker with another ID answered.
    :raises WorkerBusy: the worker is unhealthy.
    """
    if response.status == 421:
        raise WorkerReplaced
    if response.status in {429, 503}:
        raise WorkerBusy(f"answered {response.status}")


def _started_ms(report: ReportBody) -> int:
    return 0 if isinstance(report.born, msgspec.UnsetType) else report.born


def _decode_end(row: EndedRow) -> EndedTask:
    """Decode an end that a worker lists.

    :raises WorkerUnreachable: the kind of the end is unknown, so the answer is unreadable.
    """
    try:
        return EndedTask(row.number, row.task, row.run, EndKind(row.how), row.saved)
    except ValueError as error:
        raise WorkerUnreachable(str(error)) from error


def _check_not_fenced(response: Response) -> None:
    if response.status == 409 and _decode(response, OrderAnswer, (409,)).reason == "fence":
        raise WorkerFenced


def _decode(response: Response, kind: type[T], statuses: tuple[int, ...]) -> T:
    if response.status not in statuses:
        raise WorkerUnreachable(f"answered {response.status}")
    try:
        return from_json(response.body or b"{}", kind, "answer of the worker")
    except SaddlestackError as error:
        raise WorkerUnreachable(str(error)) from error
