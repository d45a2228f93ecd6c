"""A scheduler's link to one endpoint: keeps the lease, syncs state and sends commands."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import TaskGroup
from saddlestack.platform.endpoint import (
    Command,
    CommandResult,
    CommandsBody,
    EndpointClient,
    SyncBody,
    SyncReply,
)
from saddlestack.policy.retry import Breaker, retry_delay
from saddlestack.services.context import Context
from saddlestack.wire.http import AnswerLost, NotSent

log = logging.getLogger("saddlestack.endpoint")

COMMAND_TIMEOUT_S = 3.0
SYNC_SLACK_S = 2.0
LOST_AFTER_S = 2.0
MIN_WAIT_S = 3.0
MAX_WAIT_S = 24.0
WAIT_PER_ENDPOINT_S = 0.1
LEASE_FACTOR = 2.0
MAX_BATCH = 256


class EndpointUnreachable(Exception):
    """The endpoint did not answer. The command may have been carried out."""


class LeaseRefused(Exception):
    """The endpoint refused the lease: another holder or a higher term has it."""


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease that a scheduler holds on its endpoints.

    :param wait_s: seconds for which a sync waits for changes.
    :param lease_s: duration of the lease in seconds.
    """

    holder: str
    term: int
    wait_s: float
    lease_s: float


def lease_for(holder: str, term: int, endpoints: int) -> Lease:
    """The lease for a cell; endpoints of larger cells are polled less often.

    :param endpoints: number of endpoints in the cell.

    :rtype: Lease
    """
    wait = min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_PER_ENDPOINT_S * endpoints))
    return Lease(holder, term, wait, wait * LEASE_FACTOR)


class EndpointLink:
    """Keeps an endpoint's lease, syncs its state and batches commands to it.

    :param revision: returns the configuration revision in force, sent with each request.
    :param on_sync: called with each sync reply.
    :param on_lost: called once when the endpoint is lost, after ``LOST_AFTER_S`` of failures.
    :param on_refused: called when the endpoint refuses the term or revision as stale.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        client: EndpointClient,
        lease: Lease,
        context: Context,
        *,
        revision: Callable[[], int],
        on_sync: Callable[[EndpointLink, SyncReply], None],
        on_lost: Callable[[EndpointLink], None],
        on_refused: Callable[[EndpointLink, SaddlestackError], None],
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = 0
        self.leaving = False
        self.reachable = False
        self.first_sync = asyncio.Event()
        self._client = client
        self._lease = lease
        self._context = context
        self._revision = revision
        self._on_sync = on_sync
        self._on_lost = on_lost
        self._on_refused = on_refused
        self._after = -1
        self._resync = False
        self._failing_since: float | None = None
        self._is_lost = False
        self._queue: list[tuple[Command, asyncio.Future[CommandResult]]] = []
        self._sending = False
        self._breaker = Breaker()
        self._tasks = TaskGroup(f"link {name}")
        self._tasks.spawn(self._sync_forever())

    @property
    def bytes(self) -> int:
        """Bytes sent to the endpoint and received from it."""
        return self._client.bytes

    @property
    def lost(self) -> bool:
        """Whether the endpoint has not answered for ``LOST_AFTER_S`` or longer."""
        return self._is_lost

    async def command(self, command: Command) -> CommandResult:
        """Send a command; queued commands are sent in one request.

        :raises EndpointUnreachable: no response; the command may have been carried out.
        :raises LeaseRefused: the endpoint refused the lease; the command was not carried out.
        """
        future: asyncio.Future[CommandResult] = asyncio.get_running_loop().create_future()
        self._queue.append((command, future))
        if not self._sending:
            self._sending = True
            self._tasks.spawn(self._send_all())
        return await future

    def resync(self) -> None:
        """Request a full listing with the next sync, even if one is in progress."""
        self._resync = True
        self._after = -1

    async def close(self) -> None:
        """Close the link; queued commands fail."""
        await self._tasks.cancel()
        self._fail(self._queue, EndpointUnreachable("closed"))
        self._client.close()

    async def _send_all(self) -> None:
        try:
            while self._queue:
                batch, self._queue = self._queue[:MAX_BATCH], self._queue[MAX_BATCH:]
                await self._send(batch)
        finally:
            self._sending = False

    async def _send(self, batch: list[tuple[Command, asyncio.Future[CommandResult]]]) -> None:
        if not self._breaker.allows(self._context.clock.now()):
            self._fail(batch, EndpointUnreachable(f"{self.name}: breaker open"))
            return
        body = CommandsBody(
            self._lease.holder,
            self._lease.term,
            self._revision(),
            tuple(command for command, _ in batch),
        )
        try:
            reply = await self._client.command(body, COMMAND_TIMEOUT_S)
        except (NotSent, AnswerLost) as error:
            self._breaker.failed(self._context.clock.now())
            self._fail(batch, EndpointUnreachable(f"{self.name}: {error}"))
        except SaddlestackError as error:
            self._fail(batch, LeaseRefused(f"{self.name}: {error}"))
        except asyncio.CancelledError:
            self._fail(batch, EndpointUnreachable("closed"))
            raise
        else:
            self._breaker.succeeded()
            self._deliver(batch, reply.results)

    def _deliver(
        self,
        batch: list[tuple[Command, asyncio.Future[CommandResult]]],
        results: tuple[CommandResult, ...],
    ) -> None:
        if len(results) != len(batch):
            self._fail(batch, EndpointUnreachable(f"{self.name}: {len(results)} results"))
            return
        for (_, future), result in zip(batch, results, strict=True):
            if not future.done():
                future.set_result(result)

    def _fail(
        self, batch: list[tuple[Command, asyncio.Future[CommandResult]]], error: Exception
    ) -> None:
        for _, future in batch:
            if not future.done():
                future.set_exception(error)

    async def _sync_forever(self) -> None:
        failures = 0
        while True:
            try:
                reply = await self._sync()
            except (NotSent, AnswerLost):
                failures += 1
                self._record_failure()
                await asyncio.sleep(retry_delay(failures, self._context.rng) + 0.1)
            except SaddlestackError as error:
                failures += 1
                self._handle_refusal(error)
                await asyncio.sleep(retry_delay(failures, self._context.rng) + 0.1)
            else:
                failures = 0
                self._apply(reply)

    async def _sync(self) -> SyncReply:
        wait = self._lease.wait_s if self.reachable and self._after >= 0 else 0.0
        body = SyncBody(
            holder=self._lease.holder,
            term=self._lease.term,
            lease_s=self._lease.lease_s,
            revision=self._revision(),
            after=self._after,
            incarnation=self.incarnation,
            wait_s=wait,
        )
        return await self._client.sync(body, wait + SYNC_SLACK_S)

    def _apply(self, reply: SyncReply) -> None:
        self._failing_since = None
        self._is_lost = False
        self._breaker.succeeded()
        self.reachable = True
        self.incarnation = reply.incarnation
        self.leaving = reply.leaving
        self._after = -1 if self._resync and not reply.full else reply.sequence
        self._resync = self._resync and not reply.full
        self._on_sync(self, reply)
        self.first_sync.set()

    def _handle_refusal(self, error: SaddlestackError) -> None:
        if error.kind in {ErrorKind.STALE_TERM, ErrorKind.STALE_REVISION}:
            self._on_refused(self, error)
        else:
            self._record_failure()

    def _record_failure(self) -> None:
        now = self._context.clock.now()
        self._after = -1
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= LOST_AFTER_S and not self._is_lost:
            self._is_lost = True
            self.reachable = False
            log.warning("endpoint lost", extra={"event": "endpoint_lost", "endpoint": self.name})
            self._on_lost(self)
