"""The scheduler of one cell: an actor around :class:`saddlestack.policy.cell.Cell`.

One task reads the mailbox, changes state and makes the decisions. Everything that waits for
an endpoint or the store runs in a task of its own and reports back with a message.
"""

from __future__ import annotations

import asyncio
import logging

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import (
    Document,
    JobClass,
    JobSpec,
    JobState,
    JobView,
)
from saddlestack.platform.endpoint import EndpointClient
from saddlestack.services.cellstate import queue_limits
from saddlestack.services.entries import (
    CancelMessage,
    ConfigureMessage,
    EndpointLostMessage,
    JobEntry,
    LaunchedMessage,
    Message,
    ReclaimedMessage,
    RequeueMessage,
    ResolvedMessage,
    SubmitMessage,
    SyncMessage,
    TickMessage,
    answer,
    refuse,
)
from saddlestack.services.groupcommit import Fenced
from saddlestack.services.ledger import JobRecord
from saddlestack.services.link import EndpointLink
from saddlestack.services.takeover import Takeover
from saddlestack.wire.messages import AccountFormable, CellBeat, CellStatus

log = logging.getLogger("saddlestack.scheduler")

TICK_S = 1.0
PAUSED_S = 2.5
PRUNE_S = 60.0
BATCH = 500


class Scheduler(Takeover):
    """Schedules one cell under one term. See :class:`CellState` for its parameters."""

    async def start(self) -> None:
        """Start recovery; scheduling follows once it is complete."""
        self.tasks.spawn(self._run())

    async def stop(self) -> None:
        """Stop; pending requests fail with an error that sends them to the next owner."""
        self.frozen = True
        await super().stop()
        for link in list(self._links.values()):
            await link.close()
        if self._ledger is not None:
            await self._ledger.close()
        for entry in self._entries.values():
            self._notify_waiters(entry)
        self._reject_pending()

    def _reject_pending(self) -> None:
        """Reject requests left in the mailbox: none of them was accepted."""
        error = SaddlestackError(
            ErrorKind.CELL_UNAVAILABLE, f"cell {self.cell} has moved", retry_after=1
        )
        while (message := self._mailbox.get_nowait()) is not None:
            if isinstance(message, SubmitMessage | CancelMessage):
                refuse(message.reply, error)

    async def hand_over(self, timeout: float) -> None:
        """Stop deciding, then wait for operations in progress and pending writes.

        :param timeout: the longest wait, in seconds.
        """
        self.frozen = True
        until = self.clock.now() + timeout
        while self.clock.now() < until and self._busy():
            await asyncio.sleep(0.05)

    def connect(self, name: str, address: str, port: int) -> None:
        """Open a link to an endpoint of the cell, or replace it if the address changed."""
        if name not in self._policy.resources.index:
            return
        known = self._links.get(name)
        if known is not None and known.address == (address, port):
            return
        if known is not None:
            self.tasks.spawn(known.close())
        client = EndpointClient(address, port, dialer=self._context.dialer)
        self._links[name] = EndpointLink(
            name,
            (address, port),
            client,
            self._lease,
            self._context,
            revision=lambda: self._document.revision,
            on_sync=lambda link, reply: self._mailbox.put(SyncMessage(link, reply)),
            on_lost=lambda link: self._mailbox.put(EndpointLostMessage(link)),
            on_refused=self._lease_refused,
        )

    def configure(self, document: Document, leaving: frozenset[str]) -> None:
        """Queue a configuration and a list of leaving VMs to be applied."""
        self._mailbox.put(ConfigureMessage(document, leaving))

    async def submit(self, spec: JobSpec) -> JobView:
        """Accept a job; a job that is known already is returned as it is.

        :raises SaddlestackError: the job was refused and has not run.
        """
        self._require_open()
        reply: asyncio.Future[JobEntry] = asyncio.get_running_loop().create_future()
        self._mailbox.put(SubmitMessage(spec, reply))
        entry = await reply
        await self._wait_persisted(entry)
        return entry.view()

    async def get_job(self, job_id: str, wait_s: float) -> JobView:
        """Return a job, waiting until it is final or the time is up.

        :param wait_s: the longest wait, in seconds.
        :raises SaddlestackError: the cell has no such job, or is not served here.
        """
        self._require_open()
        entry = self._entries.get(job_id)
        if entry is None and not self._has_complete_state():
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE,
                f"cell {self.cell} is served without the store; not every endpoint has reported",
                retry_after=1,
            )
        if entry is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no job {job_id} in cell {self.cell}")
        until = self.clock.now() + wait_s
        while not entry.record.state.final and self.clock.now() < until:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            entry.waiters.append(waiter)
            try:
                async with asyncio.timeout(until - self.clock.now()):
                    await waiter
            except TimeoutError:
                break
            finally:
                if waiter in entry.waiters:
                    entry.waiters.remove(waiter)
            if self._entries.get(job_id) is not entry or self.frozen:
                raise SaddlestackError(
                    ErrorKind.CELL_UNAVAILABLE, f"cell {self.cell} has moved", retry_after=1
                )
        await self._wait_persisted(entry)
        return entry.view()

    def _require_open(self) -> None:
        if not self.ready or self.frozen:
            raise SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, f"cell {self.cell} is moving", retry_after=1
            )

    async def cancel(self, job_id: str) -> JobView:
        """Cancel a job.

        :raises SaddlestackError: the cell has no such job, or is not served here.
        """
        self._require_open()
        reply: asyncio.Future[JobEntry] = asyncio.get_running_loop().create_future()
        self._mailbox.put(CancelMessage(job_id, reply))
        entry = await reply
        await self._wait_persisted(entry)
        return entry.view()

    def jobs(self, account: str | None, limit: int) -> tuple[JobView, ...]:
        """Jobs of one account, or of all accounts, newest first."""
        found = [
            entry
            for entry in self._entries.values()
            if account is None or entry.record.spec.account == account
        ]
        found.sort(key=lambda entry: -entry.record.submitted)
        return tuple(entry.view() for entry in found[:limit])

    def beat(self) -> CellBeat:
        """The cell's summary as sent in heartbeats."""
        summary = self._policy.summary(self.site.plan.data_hall)
        return CellBeat(
            self.cell,
            self.term,
            summary.largest,
            summary.pinnable,
            summary.free,
            summary.queued,
            summary.lent,
            summary.capacity,
        )

    def status(self) -> CellStatus:
        """The cell's state, for operators."""
        resources = self._policy.resources
        accounts = sorted({unit.account for unit in self._policy.guarantees.units})
        return CellStatus(
            cell=self.cell,
            owner=self._context.vm,
            term=self.term,
            interim=self.interim,
            workers_up=sum(resources.up),
            workers=len(resources.up),
            free=sum(resources.free),
            capacity=sum(resources.total),
            running=len(self._policy.running),
            queued={kind.value: self._policy.queued(kind) for kind in JobClass},
            guarantees=tuple(self._formable(account) for account in accounts),
            workers_down=tuple(
                worker.name
                for i, worker in enumerate(resources.workers)
                if not resources.up[i] or resources.leaving[i]
            ),
        )

    def _formable(self, account: str) -> AccountFormable:
        units = self._policy.guarantees.of(account)
        return AccountFormable(
            account,
            len(units),
            sum(1 for unit in units if unit.used),
            self._policy.formable(account),
        )

    async def _run(self) -> None:
        try:
            await self._recover()
        except Fenced as error:
            self._step_down(str(error))
            return
        self._last_tick = self.clock.now()
        self.tasks.spawn(self._tick())
        self.ready = True
        self._hooks.announce()
        log.info(
            "cell ready",
            extra={"event": "cell_ready", "cell": self.cell, "term": self.term},
        )
        while True:
            message = await self._mailbox.get()
            for _ in range(BATCH):
                self._handle(message)
                following = self._mailbox.get_nowait()
                if following is None:
                    break
                message = following
            self._decide()
            self._publish_summary()

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep(TICK_S)
            self._mailbox.put(TickMessage())

    def _handle(self, message: Message) -> None:
        if isinstance(message, SubmitMessage):
            self._submit(message)
        elif isinstance(message, CancelMessage):
            self._cancel(message)
        elif isinstance(message, SyncMessage):
            self._handle_sync(message.link, message.reply)
        elif isinstance(message, EndpointLostMessage):
            self._recovery.discard_listing(message.link.name)
            self._refresh_vm(message.link.name)
        elif isinstance(message, LaunchedMessage):
            self._handle_launched(message)
        elif isinstance(message, ReclaimedMessage):
            self._handle_reclaimed(message)
        elif isinstance(message, RequeueMessage):
            self._requeue(message.job_id)
        elif isinstance(message, ResolvedMessage):
            self._resolved(message)
        elif isinstance(message, ConfigureMessage):
            self._configure(message)
        else:
            self._ticked()

    def _ticked(self) -> None:
        now = self.clock.now()
        if now - self._last_tick > PAUSED_S and not self._paused:
            log.warning("scheduler was paused", extra={"event": "paused", "cell": self.cell})
            self._paused = True
            self.tasks.spawn(self._verify())
        self._last_tick = now
        self._resolve_late()
        if now - self._last_prune > PRUNE_S and self._ledger is not None:
            self._last_prune = now
            for job_id in self._ledger.prune(self.clock.wall()):
                self._entries.pop(job_id, None)

    async def _verify(self) -> None:
        """After a pause, resume only if this VM still owns the cell."""
        if await self._hooks.verify(self.cell, self.term):
            self._paused = False
            self._last_tick = self.clock.now()
        else:
            self._step_down("another VM took the cell over during a pause")

    def _lease_refused(self, link: EndpointLink, error: SaddlestackError) -> None:
        if error.kind is ErrorKind.STALE_TERM and not self.interim and not self._paused:
            self._paused = True
            self.tasks.spawn(self._verify())

    def _submit(self, message: SubmitMessage) -> None:
        spec = message.spec
        known = self._entries.get(spec.job_id)
        if known is not None:
            answer(message.reply, known)
            return
        error = self._refusal(spec)
        if error is not None:
            refuse(message.reply, error)
            return
        now = self.clock.now()
        refusal = self._policy.submit(spec, now, deadline=self._deadline(spec))
        if refusal is not None:
            refuse(
                message.reply,
                SaddlestackError(refusal.kind, refusal.message, retry_after=refusal.retry_after),
            )
            return
        record = JobRecord(spec=spec, cell=self.cell, submitted=self.clock.wall())
        entry = JobEntry(record)
        self._entries[spec.job_id] = entry
        self._persist(entry)
        answer(message.reply, entry)

    def _refusal(self, spec: JobSpec) -> SaddlestackError | None:
        if self.frozen:
            return SaddlestackError(
                ErrorKind.CELL_UNAVAILABLE, f"cell {self.cell} is moving", retry_after=1
            )
        if spec.run_once and self.interim:
            return SaddlestackError(
                ErrorKind.STORE_UNAVAILABLE,
                "run-once work is not accepted while the platform's store is down; "
                "the request was not run",
                retry_after=5,
            )
        if self._ledger is not None and self._ledger.full(spec.job_id):
            return SaddlestackError(
                ErrorKind.QUEUE_FULL, f"the ledger of cell {self.cell} is full", retry_after=60
            )
        return None

    def _cancel(self, message: CancelMessage) -> None:
        entry = self._entries.get(message.job_id)
        if entry is None:
            refuse(
                message.reply,
                SaddlestackError(ErrorKind.NOT_FOUND, f"no job {message.job_id}"),
            )
            return
        answer(message.reply, entry)
        if entry.record.state.final or entry.cancelled:
            return
        if message.job_id in self._policy.waiting and entry.record.state is JobState.QUEUED:
            self._policy.cancel(message.job_id)
            self._finish_cancelled(entry)
            return
        entry.cancelled = True
        if not entry.launching and message.job_id in self._policy.running:
            self._stop_cancelled(entry)

    def _configure(self, message: ConfigureMessage) -> None:
        self._leaving = message.leaving
        if message.document.revision > self._document.revision:
            self._document = message.document
            self._policy.configure(
                self._assignments(message.document),
                message.document.weights,
                queue_limits(message.document),
            )
        for name in self._policy.resources.index:
            self._refresh_vm(name)

    def _publish_summary(self) -> None:
        beat = self.beat()
        if beat != self._beat:
            self._beat = beat
            self._hooks.announce()
