"""A leader's dealings with one life of a worker: starts, stops, leases and ends."""

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
"""A look that waits for nothing is answered in 1 to 3 ms, in 0.1 s by a slow worker."""
LONG_POLL_S = 2.0
WATCHED_WAIT_S = 0.5
"""How often a worker is looked at on which serving and filling work meet."""
STOPPING_WAIT_S = 0.4
"""How often one is looked at on which runs are to stop, since room is waited for there."""
LONG_POLL_SLACK_S = 0.4


class _NotWanted(Exception):
    """A start is not to be sent any more."""


class _NotHeard(Exception):
    """A start did not leave: the worker gave no sign, or not the clock that its lease goes by."""


class _TermTooOld(Exception):
    """A start may not leave: a successor need not count the lease that it brings."""


class WorkerSession:
    """Orders to one worker, and looks at it, while this VM leads.

    :param leases: what was granted to workers in this term and before.
    :param unanswered_starts: told which starts were answered.
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
        self._gate = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._wake = asyncio.Event()
        self._reports = ReportHandler(worker, owner, clock)
        self._stops: set[RunKey] = set()
        self._watching = False
        self.over = False

    def begin(self) -> None:
        """Start to look after the worker."""
        if not self.worker.reachable:
            self._wait_begins()
        self._tasks.spawn(self._look())

    async def close(self) -> None:
        """End all dealings."""
        self.over = True
        await self._tasks.cancel()
        self._orders.close()

    def start(self, start: Start) -> None:
        """Order a run to start."""
        key = (start.run.task.name, start.run.number)
        self._reports.ordered(key)
        self._tasks.spawn(self._start(start, key))
        self._wake.set()

    def stop(self, task: TaskName, number: int) -> None:
        """Order a run to stop; once is enough."""
        key = (task, number)
        if key in self._stops or self.over:
            return
        self._stops.add(key)
        self._tasks.spawn(self._stop(key))
        self._wake.set()

    def pace(self, run: Run, percent: int) -> None:
        """Order a run to work at a share of its full speed."""
        self._tasks.spawn(self._pace(run, percent))

    def suspect(self) -> None:
        """Something near the worker has not answered: no new work until it is heard."""
        if not self.worker.suspected and not self.over:
            self.worker.suspected = True
            self._tasks.spawn(self._look_now())
            self._wake.set()

    # Orders

    async def _pace(self, run: Run, percent: int) -> None:
        """Order a pace until it is answered, or another one has taken its place."""
        name = str(run.task.name)
        while run.pace == percent and run.task.run is run and not self.over:
            try:
                async with self._gate:
                    await self._answer_of(
                        self._orders.pace(
                            name, run.number, percent, self._owner.fence, ORDER_TIMEOUT_S
                        )
                    )
                return
            except WorkerFenced:
                self._owner.worker_fenced()
                return
            except WorkerReplaced:
                self._replaced()
                return
            except (WorkerUnreachable, WorkerBusy):
                await asyncio.sleep(RETRY_S)

    async def _start(self, start: Start, key: RunKey) -> None:
        run = start.run
        clean = True
        for _ in range(MAX_START_TRIES):
            sent = self._clock.now()
            try:
                reply = await self._send(start)
            except _NotWanted:
                if clean:
                    self._never_began(run, key)
                    return
                break
            except _NotHeard:
                continue
            except WorkerUnreachable as error:
                # What no connection was opened for never left.
                clean = clean and isinstance(error, WorkerNotReached)
                if clean:
                    run.ordered_s = None
                self._missed(sent)
                continue
            except WorkerBusy:
                self.worker.record_refusal(self._clock.now())
                reply = StartReply(None, Refusal.CAPACITY)
            except WorkerReplaced:
                if clean:
                    self._never_began(run, key)
                self._replaced()
                return
            except WorkerFenced:
                self._owner.worker_fenced()
                return
            except Exception:
                log.exception("start failed", extra={"event": "start_failed"})
                clean = False
                break
            if clean:
                self._unanswered_starts.record_answered(self.worker.worker_id, key)
            if reply.refusal is Refusal.LATE and clean:
                continue
            self._answered(run, key, reply, clean)
            return
        # The next start would most likely fare the same.
        self.worker.record_refusal(self._clock.now())
        if clean:
            # No order left, or each was refused: there is nothing to wait for.
            self._never_began(run, key)
            return
        await self._stop(key, self._begins_until_s())

    async def _send(self, start: Start) -> StartReply:
        """Send a start, once the term may grant the lease that it brings.

        A VM that stood still past its term learns that only after it has gone on; where it leads
        all the same, the wait ends with the next renewal, else with the session.
        """
        while True:
            try:
                return await self._send_now(start)
            except _TermTooOld:
                await asyncio.sleep(RETRY_S)

    async def _send_now(self, start: Start) -> StartReply:
        run = start.run
        async with self._gate:
            if self._is_wanted(run) and self._contact.is_stale:
                await self._ask_for_sign()
            if not self._is_wanted(run):
                raise _NotWanted
            # Before the question: the process may stand still after it, and the lease counts on.
            now = self._clock.now()
            if not self._owner.may_grant:
                raise _TermTooOld
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
            reply = await self._answer_of(self._orders.start(order, ORDER_TIMEOUT_S))
        if reply.clock_ms is None:
            self._contact.record_answer()
        else:
            self._contact.record_clock(reply.clock_ms)
        return reply

    async def _ask_for_sign(self) -> None:
        """Have the worker show that it is there, and tell its clock so that its lease is not short.

        :raises _NotHeard: it has not.
        """
        asked = self._clock.now()
        try:
            report = await self._hold(None, 0.0, ORDER_TIMEOUT_S)
        except WorkerUnreachable as error:
            self._missed(asked)
            raise _NotHeard from error
        self._contact.record_clock(report.clock_ms)

    def _is_wanted(self, run: Run) -> bool:
        """Whether a run is still to start there.

        It may be over, as lapsed, before its order leaves. On a worker that fell silent meanwhile
        it would only be in doubt, and wait for a lease that begins as it leaves.
        """
        wanted = run.task.run is run and not run.stopping
        return wanted and self.worker.accepts_decided_start(self._clock.now())

    def _answered(self, run: Run, key: RunKey, reply: StartReply, clean: bool) -> None:
        now = self._clock.now()
        if reply.refusal is None:
            self._settle(key)
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
            self._settle(key)
        elif clean:
            if reply.refusal is Refusal.TICKET:
                run.task.step.advice.discard_ticket(self.worker.worker_id)
            else:
                self.worker.record_refusal(now)
            self._never_began(run, key)
        else:
            self._tasks.spawn(self._stop(key, self._begins_until_s()))

    async def _stop(self, key: RunKey, begins_until_s: float = math.inf) -> None:
        """Order a stop until it is answered; then the worker's next report tells.

        A worker may answer looks, and no stop. Once nothing can come of a start in doubt any more
        reports alone tell of its run.

        :param begins_until_s: until when the run may still begin, where its start is in doubt.
        """
        name, number = key
        self._stops.add(key)
        while not self.over:
            if self._clock.now() >= begins_until_s:
                if key not in self.worker.runs:
                    return
                self._reports.settle_open(key)
            sent = self._clock.now()
            try:
                async with self._gate:
                    await self._answer_of(
                        self._orders.stop(str(name), number, self._owner.fence, ORDER_TIMEOUT_S)
                    )
                self._contact.record_answer()
                self._settle(key)
                self._tasks.spawn(self._look_now())
                return
            except WorkerReplaced:
                self._replaced()
                return
            except WorkerFenced:
                self._owner.worker_fenced()
                return
            except WorkerUnreachable:
                self._missed(sent)
            except WorkerBusy:
                self.worker.record_refusal(self._clock.now())
            except Exception:
                log.exception("stop failed", extra={"event": "stop_failed"})
            await asyncio.sleep(RETRY_S)

    def _begins_until_s(self) -> float:
        """Until when a start that was sent up to now may still be carried out.

        The worker refuses it once the lease that it brings is over by its clock. A life after it
        may count on another clock, but no order is held back for longer than
        :data:`MAX_ORDER_DELAY_S`.
        """
        return self._clock.now() + max(self._leases.lapse_after_s, MAX_ORDER_DELAY_S)

    def _settle(self, key: RunKey) -> None:
        self._reports.settle(key)
        self._wake.set()

    def _never_began(self, run: Run, key: RunKey) -> None:
        """No order for a run is under way, and none was carried out."""
        self._unanswered_starts.record_answered(self.worker.worker_id, key)
        self._reports.withdrawn(key)
        self._owner.cluster_state.run_not_started(run)
        self._owner.reschedule()

    # Looking

    async def _look(self) -> None:
        while not self.over:
            if self._idle():
                self._wake.clear()
                await self._wake.wait()
                continue
            try:
                if await self._look_once():
                    # Should the worker come back, it is given a session that looks.
                    self.over = True
                    return
            except Exception:
                log.exception("look failed", extra={"event": "look_failed"})
                await asyncio.sleep(PROBE_S)

    async def _look_once(self) -> bool:
        """Look at the worker; ``True`` where nothing is left to look at."""
        asked = self._clock.now()
        try:
            report = await self._renew(asked)
        except WorkerReplaced:
            self._replaced()
            return True
        except WorkerFenced:
            self._owner.worker_fenced()
            return True
        except (WorkerUnreachable, WorkerBusy) as error:
            if isinstance(error, WorkerBusy):
                self._turned_away()
            if self._unanswered(asked):
                return True
            if self._contact.misses != 1:
                await asyncio.sleep(RETRY_S if self.worker.runs else PROBE_S)
            return False
        await self._take(report, asked)
        return False

    async def _look_now(self) -> None:
        """Look without waiting for an end, beside the look that does."""
        asked = self._clock.now()
        try:
            report = await self._hold(None, 0.0, POLL_TIMEOUT_S)
        except WorkerReplaced:
            self._replaced()
        except WorkerFenced:
            self._owner.worker_fenced()
        except WorkerBusy:
            self._turned_away()
            if self._is_here:
                self._contact.record_answer()
        except WorkerUnreachable:
            self._missed(asked)
        else:
            await self._take(report, asked)

    def _turned_away(self) -> None:
        """The worker does nothing now: a start would grant a lease that it does not take."""
        self._contact.is_busy = True
        self.worker.record_refusal(self._clock.now())

    def _over(self) -> None:
        """Nothing runs there any more: every lease has lapsed."""
        heard_s = max(self._contact.last_answer_s, self._began_s)
        log_runs_over(self.worker.runs.values(), EndProof.LAPSED, self._clock.now() - heard_s)
        self._owner.cluster_state.worker_ended(
            self.worker.worker_id, self._contact.end(unheard=True)
        )
        self._reports.clear()
        self._owner.reschedule()

    def _watch_progress(self) -> None:
        """Look often while urgent work runs; the look that waits for an end may take 2 s."""
        if not self._watching and needs_progress_polls(self.worker):
            self._watching = True
            self._tasks.spawn(self._look_often())

    async def _look_often(self) -> None:
        try:
            while needs_progress_polls(self.worker) and not self.over:
                await asyncio.sleep(PROGRESS_POLL_S)
                if self.worker.reachable and needs_progress_polls(self.worker):
                    await self._look_now()
        finally:
            self._watching = False

    def _idle(self) -> bool:
        return (
            not self.worker.runs
            and not self.worker.suspected
            and self.worker.reachable
            and self._reports.idle
        )

    async def _renew(self, asked: float) -> WorkerReport:
        answers = self.worker.reachable and not self._contact.misses
        wait_s = self._wait_s() if answers else 0.0
        # A worker that does not answer gets no longer lease, so that it lapses some day; nor does
        # one from a leader that stood still, whose successor counts what it granted before.
        willing = answers and not self._contact.is_busy
        renews = self.worker.runs and willing and self._owner.may_grant
        deadline = self._contact.deadline(asked) if renews else None
        return await self._hold(deadline, wait_s, wait_s + LONG_POLL_SLACK_S)

    async def _hold(self, deadline_ms: int | None, wait_s: float, timeout_s: float) -> WorkerReport:
        return await self._answer_of(
            self._orders.hold(self._owner.fence, deadline_ms, self._reports.seen, wait_s, timeout_s)
        )

    def _wait_s(self) -> float:
        """How long the worker may wait for an end before it answers a look."""
        if not self.worker.runs or self.worker.suspected or self._reports.awaited:
            return 0.0
        if self._contact.is_clock_stale:
            return 0.0
        if any(run.stopping for run in self.worker.runs.values()):
            return STOPPING_WAIT_S
        return WATCHED_WAIT_S if needs_latency_polls(self.worker) else LONG_POLL_S

    async def _take(self, report: WorkerReport, asked: float) -> None:
        if self._owner.cluster_state.workers.get(self.worker.worker_id) is not self.worker:
            return
        self._contact.record_clock(report.clock_ms)
        for run in self.worker.runs.values():
            run.address = run.address or self.worker.record.address
        self._reports.take(report, asked)
        self._watch_progress()
        await self._reports.acknowledge()

    def _missed(self, sent: float) -> None:
        if self._contact.record_miss(sent):
            self._wake.set()
            self._wait_begins()

    def _wait_begins(self) -> None:
        """What runs there may go on unseen, until its leases have lapsed at most."""
        if self.worker.runs:
            log_lease_wait(
                self.worker, self._leases.remaining_s(self.worker.worker_id, self._clock.now())
            )

    def _unanswered(self, asked: float) -> bool:
        """Note a failed look; ``True`` where nothing can be running there any more."""
        self._missed(asked)
        if not self._contact.has_lapsed:
            return False
        if self.worker.runs:
            self._over()
        return not self.worker.listed

    async def _answer_of(self, call: Awaitable[T]) -> T:
        """The answer to a call to this life of the worker.

        That another life answers proves that this one is over only where this one was: it has
        answered there, or was given there all that it may run. The address may be another writer's.
        """
        try:
            return await call
        except WorkerReplaced as error:
            if self._was_here:
                raise
            raise WorkerUnreachable("another life answers") from error

    @property
    def _was_here(self) -> bool:
        """Whether this life is known to have been at the address that is asked."""
        address = self.worker.record.address
        given = all(run.address == address for run in self.worker.runs.values())
        return given or self._contact.last_answer_s > -math.inf

    @property
    def _is_here(self) -> bool:
        """Whether an answer that names no life may be taken for one of this life.

        It may be that of any life: it does not prove that one is alive which only an assignment
        names, and its runs wait for the lease.
        """
        told = self.worker.listed or self._contact.last_answer_s > -math.inf
        return told and self._was_here

    def _replaced(self) -> None:
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
