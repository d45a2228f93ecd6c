"""The session of the pool's leading VM with one incarnation of a worker.

It sends orders to start and stop runs, extends the lease without which the worker ends its runs,
and collects the runs that have ended.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable
from typing import TypeVar

from saddlestack.control.contact import Contact
from saddlestack.control.endings import EndProof, log_lease_wait, log_runs_over
from saddlestack.control.leases import Leases
from saddlestack.control.owner import SessionOwner
from saddlestack.control.reports import ReportHandler
from saddlestack.control.unanswered import MAX_ORDER_DELAY_S, UnansweredStarts
from saddlestack.interfaces.workers import (
    Refusal,
    StartOrder,
    StartReply,
    WorkerBusy,
    WorkerFenced,
    WorkerNotReached,
    WorkerOrders,
    WorkerReplaced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.kernel.clock import Clock
from saddlestack.kernel.service import TaskGroup
from saddlestack.policy.cluster.changes import Start
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.pacing import needs_latency_polls
from saddlestack.policy.cluster.progress import PROGRESS_POLL_S, needs_progress_polls
from saddlestack.policy.cluster.workers import RunKey, Worker
from saddlestack.work import TaskName

log = logging.getLogger("saddlestack.session")

T = TypeVar("T")

ORDER_TIMEOUT_S = 0.6
MAX_CONCURRENT_ORDERS = 2
MAX_START_TRIES = 3
RETRY_S = 0.3
PROBE_S = 1.0
POLL_TIMEOUT_S = 0.3
"""Timeout of a poll that does not wait; a worker answers it in 1 to 3 ms, a slow one in 0.1 s."""
LONG_POLL_S = 2.0
"""How long a worker holds a poll until a run ends."""
WATCHED_WAIT_S = 0.5
"""As :data:`LONG_POLL_S`, on a worker where serving work and filler work share accelerators."""
STOPPING_WAIT_S = 0.4
"""As :data:`LONG_POLL_S`, on a worker with runs that are stopping: other work waits for their
capacity."""
LONG_POLL_SLACK_S = 0.4


class _StartObsolete(Exception):
    """The run must not be started any more."""


class _ProbeFailed(Exception):
    """A start was not sent: the worker did not answer the probe, which reads its clock."""


class _LeaseNotGrantable(Exception):
    """A start must not be sent now: the next leader need not wait for the lease it would grant."""


class WorkerSession:
    """Sends orders to one incarnation of a worker and polls it, while this VM leads.

    :param leases: leases that were granted to workers in this term and before.
    :param unanswered_starts: updated with the starts that are sent and answered.
    """

    def __init__(
        self,
        worker: Worker,
        orders: WorkerOrders,
        owner: SessionOwner,
        clock: Clock,
        leases: Leases,
        unanswered_starts: UnansweredStarts | None = None,
    ) -> None:
        self.worker = worker
        self._orders = orders
        self._owner = owner
        self._clock = clock
        self._leases = leases
        self._unanswered_starts = unanswered_starts or UnansweredStarts()
        self._began_s = clock.now()
        self._contact = Contact(worker, owner, clock, leases)
        self._tasks = TaskGroup(f"session {worker.worker_id}")
        self._order_slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._wake = asyncio.Event()
        self._reports = ReportHandler(worker, owner, clock)
        self._stops_ordered: set[RunKey] = set()
        self._is_polling_often = False
        self.over = False

    def begin(self) -> None:
        """Start polling the worker."""
        if not self.worker.reachable:
            self._log_lease_wait()
        self._tasks.spawn(self._poll_loop())

    async def close(self) -> None:
        """Stop polling, cancel orders that are being sent, and close its connections."""
        self.over = True
        await self._tasks.cancel()
        self._orders.close()

    def start(self, start: Start) -> None:
        """Order a run to start."""
        key = (start.run.task.name, start.run.number)
        self._reports.order_opened(key)
        self._tasks.spawn(self._start(start, key))
        self._wake.set()

    def stop(self, task: TaskName, number: int) -> None:
        """Order a run to stop; does nothing if that was ordered before."""
        key = (task, number)
        if key in self._stops_ordered or self.over:
            return
        self._stops_ordered.add(key)
        self._tasks.spawn(self._stop(key))
        self._wake.set()

    def pace(self, run: Run, percent: int) -> None:
        """Order a run to work at a percentage of its full speed."""
        self._tasks.spawn(self._pace(run, percent))

    def suspect(self) -> None:
        """Give the worker no new work until it answers, since it or a worker near it did not."""
        if not self.worker.suspected and not self.over:
            self.worker.suspected = True
            self._tasks.spawn(self._poll_now())
            self._wake.set()

    def poll(self) -> None:
        """Poll the worker at once, beside the poll that waits for runs to end."""
        if not self.over:
            self._tasks.spawn(self._poll_now())

    # Orders

    async def _pace(self, run: Run, percent: int) -> None:
        """Repeat a pace order until it is answered, or another one has replaced it."""
        name = str(run.task.name)
        while run.pace == percent and run.task.run is run and not self.over:
            try:
                async with self._order_slots:
                    await self._answer(
                        self._orders.pace(
                            name, run.number, percent, self._owner.fence, ORDER_TIMEOUT_S
                        )
                    )
                return
            except WorkerFenced:
                self._owner.worker_fenced()
                return
            except WorkerReplaced:
                self._on_replaced()
                return
            except (WorkerUnreachable, WorkerBusy):
                await asyncio.sleep(RETRY_S)

    async def _start(self, start: Start, key: RunKey) -> None:
        run = start.run
        never_ran = True
        for _ in range(MAX_START_TRIES):
            sent_s = self._clock.now()
            try:
                reply = await self._send(start)
            except _StartObsolete:
                if never_ran:
                    self._release_unstarted(run, key)
                    return
                break
            except _ProbeFailed:
                continue
            except WorkerUnreachable as error:
                # An order is not sent if no connection could be opened for it.
                never_ran = never_ran and isinstance(error, WorkerNotReached)
                if never_ran:
                    run.ordered_s = None
                self._on_no_answer(sent_s)
                continue
            except WorkerBusy:
                self.worker.record_refusal(self._clock.now())
                reply = StartReply(None, Refusal.CAPACITY)
            except WorkerReplaced:
                if never_ran:
                    self._release_unstarted(run, key)
                self._on_replaced()
                return
            except WorkerFenced:
                self._owner.worker_fenced()
                return
            except Exception:
                log.exception("start failed", extra={"event": "start_failed"})
                never_ran = False
                break
            if never_ran:
                self._unanswered_starts.record_answered(self.worker.worker_id, key)
            if reply.refusal is Refusal.LATE and never_ran:
                continue
            self._handle_start_reply(run, key, reply, never_ran)
            return
        # The next start would most likely fail in the same way.
        self.worker.record_refusal(self._clock.now())
        if never_ran:
            # No order was sent, or each was refused: there is nothing to wait for.
            self._release_unstarted(run, key)
            return
        await self._stop(key, self._may_start_until_s())

    async def _send(self, start: Start) -> StartReply:
        """Send a start, once the term may grant the lease that comes with it.

        A VM that was suspended past the end of its term notices that only after it has resumed. If
        it still leads, the wait ends with the next renewal of its term, else with the session.
        """
        while True:
            try:
                return await self._send_now(start)
            except _LeaseNotGrantable:
                await asyncio.sleep(RETRY_S)

    async def _send_now(self, start: Start) -> StartReply:
        run = start.run
        async with self._order_slots:
            if self._is_wanted(run) and self._contact.is_stale:
                await self._probe()
            if not self._is_wanted(run):
                raise _StartObsolete
            # Read the clock before asking whether the term may grant: the process may be suspended
            # in between, and the lease keeps running meanwhile.
            now = self._clock.now()
            if not self._owner.may_grant:
                raise _LeaseNotGrantable
            order = StartOrder(
                task=str(run.task.name),
                run=run.number,
                payload=start.payload,
                saved=start.saved,
                deadline_ms=self._contact.deadline(now),
                fence=self._owner.fence,
                ticket=start.ticket,
            )
            self._unanswered_starts.record_sent(
                self.worker.worker_id, (run.task.name, run.number), now
            )
            run.ordered_s = now if run.ordered_s is None else run.ordered_s
            reply = await self._answer(self._orders.start(order, ORDER_TIMEOUT_S))
        if reply.clock_ms is None:
            self._contact.record_answer()
        else:
            self._contact.record_clock(reply.clock_ms)
        return reply

    async def _probe(self) -> None:
        """Check that the worker answers, and read its clock so that its lease is not too short.

        :raises _ProbeFailed: the worker did not answer.
        """
        asked_s = self._clock.now()
        try:
            report = await self._hold(None, 0.0, ORDER_TIMEOUT_S)
        except WorkerUnreachable as error:
            self._on_no_answer(asked_s)
            raise _ProbeFailed from error
        self._contact.record_clock(report.clock_ms)

    def _is_wanted(self, run: Run) -> bool:
        """Whether a run is still to be started on this worker.

        It may have lapsed before its order is sent. On a worker that has become unreachable the
        start would only be in doubt, and wait for a lease that begins when the order is sent.
        """
        wanted = run.task.run is run and not run.stopping
        return wanted and self.worker.accepts_decided_start(self._clock.now())

    def _handle_start_reply(
        self, run: Run, key: RunKey, reply: StartReply, never_ran: bool
    ) -> None:
        now = self._clock.now()
        if reply.refusal is None:
            self._close_order(key)
            self._owner.cluster_state.run_started(run, now)
            self._owner.reschedule()
            self._watch_progress()
            return
        log.info(
            "start refused",
            extra={
                "event": "start_refused",
                "task": str(run.task.name),
                "run": run.number,
                "worker": self.worker.worker_id,
                "reason": reply.refusal.value,
            },
        )
        if reply.refusal is Refusal.FENCED:
            self._owner.worker_fenced()
        elif reply.refusal is Refusal.STALE:
            self._close_order(key)
        elif never_ran:
            if reply.refusal is Refusal.TICKET:
                run.task.step.advice.discard_ticket(self.worker.worker_id)
            else:
                self.worker.record_refusal(now)
            self._release_unstarted(run, key)
        else:
            self._tasks.spawn(self._stop(key, self._may_start_until_s()))

    async def _stop(self, key: RunKey, may_start_until_s: float = math.inf) -> None:
        """Repeat a stop order until it is answered; the worker's next report then settles the run.

        A worker may answer polls but no stops. Once a start in doubt can no longer be carried out,
        reports alone decide whether its run exists.

        :param may_start_until_s: until when the run may still start, if its start is in doubt.
        """
        name, number = key
        self._stops_ordered.add(key)
        while not self.over:
            if self._clock.now() >= may_start_until_s:
                if key not in self.worker.runs:
                    return
                self._reports.close_open_order(key)
            sent_s = self._clock.now()
            try:
                async with self._order_slots:
                    await self._answer(
                        self._orders.stop(str(name), number, self._owner.fence, ORDER_TIMEOUT_S)
                    )
                self._contact.record_answer()
                self._close_order(key)
                self._tasks.spawn(self._poll_now())
                return
            except WorkerReplaced:
                self._on_replaced()
                return
            except WorkerFenced:
                self._owner.worker_fenced()
                return
            except WorkerUnreachable:
                self._on_no_answer(sent_s)
            except WorkerBusy:
                self.worker.record_refusal(self._clock.now())
            except Exception:
                log.exception("stop failed", extra={"event": "stop_failed"})
            await asyncio.sleep(RETRY_S)

    def _may_start_until_s(self) -> float:
        """Until when a start that was sent up to now may still be carried out.

        The worker refuses it once the lease that comes with it is over by the worker's clock. A
        later incarnation may have another clock, but no order is delayed for longer than
        :data:`MAX_ORDER_DELAY_S`.
        """
        return self._clock.now() + max(self._leases.lapse_after_s, MAX_ORDER_DELAY_S)

    def _close_order(self, key: RunKey) -> None:
        self._reports.order_closed(key)
        self._wake.set()

    def _release_unstarted(self, run: Run, key: RunKey) -> None:
        """Free the task of a run of which no start is in flight and none was carried out."""
        self._unanswered_starts.record_answered(self.worker.worker_id, key)
        self._reports.order_withdrawn(key)
        run.ordered_s = None
        self._owner.cluster_state.run_not_started(run)
        self._owner.reschedule()

    # Polling

    async def _poll_loop(self) -> None:
        while not self.over:
            if self._is_idle():
                self._wake.clear()
                await self._wake.wait()
                continue
            try:
                if await self._poll_once():
                    # If the worker returns, it gets a new session, which polls it.
                    self.over = True
                    return
            except Exception:
                log.exception("poll failed", extra={"event": "look_failed"})
                await asyncio.sleep(PROBE_S)

    async def _poll_once(self) -> bool:
        """Poll the worker once; ``True`` if there is nothing left to poll it for."""
        asked_s = self._clock.now()
        try:
            report = await self._poll_and_renew(asked_s)
        except WorkerReplaced:
            self._on_replaced()
            return True
        except WorkerFenced:
            self._owner.worker_fenced()
            return True
        except (WorkerUnreachable, WorkerBusy) as error:
            if isinstance(error, WorkerBusy):
                self._on_busy()
            if self._on_poll_failed(asked_s):
                return True
            if self._contact.misses != 1:
                await asyncio.sleep(RETRY_S if self.worker.runs else PROBE_S)
            return False
        await self._handle_report(report, asked_s)
        return False

    async def _poll_now(self) -> None:
        """Poll without waiting for a run to end, concurrently with the long poll."""
        asked_s = self._clock.now()
        try:
            report = await self._hold(None, 0.0, POLL_TIMEOUT_S)
        except WorkerReplaced:
            self._on_replaced()
        except WorkerFenced:
            self._owner.worker_fenced()
        except WorkerBusy:
            self._on_busy()
            if self._accepts_unnamed_answer:
                self._contact.record_answer()
        except WorkerUnreachable:
            self._on_no_answer(asked_s)
        else:
            await self._handle_report(report, asked_s)

    def _on_busy(self) -> None:
        """Handle a worker that is busy and does nothing: it would not accept a start's lease."""
        self._contact.is_busy = True
        self.worker.record_refusal(self._clock.now())

    def _end_lapsed_runs(self) -> None:
        """End all runs on the worker, since every lease has lapsed."""
        answered_s = max(self._contact.last_answer_s, self._began_s)
        log_runs_over(self.worker.runs.values(), EndProof.LAPSED, self._clock.now() - answered_s)
        self._owner.cluster_state.worker_ended(
            self.worker.worker_id, self._contact.end(unheard=True)
        )
        self._reports.clear_orders()
        self._owner.reschedule()

    def _watch_progress(self) -> None:
        """Poll often while urgent work runs; the long poll may take 2 s."""
        if not self._is_polling_often and needs_progress_polls(self.worker):
            self._is_polling_often = True
            self._tasks.spawn(self._poll_often())

    async def _poll_often(self) -> None:
        try:
            while needs_progress_polls(self.worker) and not self.over:
                await asyncio.sleep(PROGRESS_POLL_S)
                if self.worker.reachable and needs_progress_polls(self.worker):
                    await self._poll_now()
        finally:
            self._is_polling_often = False

    def _is_idle(self) -> bool:
        return (
            not self.worker.runs
            and not self.worker.suspected
            and self.worker.reachable
            and self._reports.is_idle
        )

    async def _poll_and_renew(self, asked_s: float) -> WorkerReport:
        is_answering = self.worker.reachable and not self._contact.misses
        wait_s = self._wait_s() if is_answering else 0.0
        # The lease of a worker that does not answer is not extended, so that it lapses eventually.
        # A leader that was suspended extends none either: its successor only waits for the leases
        # that were granted before.
        accepts_lease = is_answering and not self._contact.is_busy
        renews = self.worker.runs and accepts_lease and self._owner.may_grant
        deadline = self._contact.deadline(asked_s) if renews else None
        return await self._hold(deadline, wait_s, wait_s + LONG_POLL_SLACK_S)

    async def _hold(self, deadline_ms: int | None, wait_s: float, timeout_s: float) -> WorkerReport:
        return await self._answer(
            self._orders.hold(self._owner.fence, deadline_ms, self._reports.seen, wait_s, timeout_s)
        )

    def _wait_s(self) -> float:
        """How long the worker may wait for a run to end before it answers a poll."""
        if not self.worker.runs or self.worker.suspected or self._reports.needs_report_now:
            return 0.0
        if self._contact.is_clock_stale:
            return 0.0
        if any(run.stopping for run in self.worker.runs.values()):
            return STOPPING_WAIT_S
        return WATCHED_WAIT_S if needs_latency_polls(self.worker) else LONG_POLL_S

    async def _handle_report(self, report: WorkerReport, asked_s: float) -> None:
        if self._owner.cluster_state.workers.get(self.worker.worker_id) is not self.worker:
            return
        self._contact.record_clock(report.clock_ms)
        for run in self.worker.runs.values():
            run.address = run.address or self.worker.record.address
        self._reports.handle(report, asked_s)
        self._watch_progress()
        await self._reports.acknowledge()

    def _on_no_answer(self, sent_s: float) -> None:
        if self._contact.record_miss(sent_s):
            self._wake.set()
            self._log_lease_wait()

    def _log_lease_wait(self) -> None:
        """Log that the worker's runs may continue unobserved until its leases have lapsed."""
        if self.worker.runs:
            log_lease_wait(
                self.worker, self._leases.remaining_s(self.worker.worker_id, self._clock.now())
            )

    def _on_poll_failed(self, asked_s: float) -> bool:
        """Handle a failed poll; ``True`` if nothing can run there any more and it is not listed."""
        self._on_no_answer(asked_s)
        if not self._contact.has_lapsed:
            return False
        if self.worker.runs:
            self._end_lapsed_runs()
        return not self.worker.listed

    async def _answer(self, call: Awaitable[T]) -> T:
        """Await the answer to a call to this incarnation of the worker.

        Another incarnation's answer proves that this one is over only at an address where this one
        is known to have been: it answered there, or all its runs were started there. Otherwise the
        address may come from another writer.
        """
        try:
            return await call
        except WorkerReplaced as error:
            if self._is_address_confirmed:
                raise
            raise WorkerUnreachable("another incarnation answers") from error

    @property
    def _is_address_confirmed(self) -> bool:
        """Whether this incarnation is known to have been at the address that is called."""
        address = self.worker.record.address
        is_started_there = all(run.address == address for run in self.worker.runs.values())
        return is_started_there or self._contact.last_answer_s > -math.inf

    @property
    def _accepts_unnamed_answer(self) -> bool:
        """Whether an answer that names no incarnation counts as one of this incarnation.

        It may come from any incarnation. So it does not prove that one is alive which is known only
        from an assignment; the runs of that one wait for the lease.
        """
        is_known = self.worker.listed or self._contact.last_answer_s > -math.inf
        return is_known and self._is_address_confirmed

    def _on_replaced(self) -> None:
        log.info(
            "worker was replaced",
            extra={"event": "worker_replaced", "worker": self.worker.worker_id},
        )
        self.over = True
        self.worker.listed = False
        log_runs_over(self.worker.runs.values(), EndProof.REPLACED, 0.0)
        self._owner.cluster_state.worker_ended(
            self.worker.worker_id, self._contact.end(unheard=False)
        )
        self._owner.worker_replaced(self.worker)
        self._owner.reschedule()
