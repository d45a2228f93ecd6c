"""The leader's scheduler: events to the board, records to the store, orders to workers.

The order of writes is what keeps work from being lost or doubled: an assignment is in the
store before its worker hears of it, and an end is in the store before it is acknowledged,
shown or followed by anything.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable
from functools import partial

from saddlestack.codec import to_msgpack
from saddlestack.control import keys
from saddlestack.control.commits import CommitQueue, JobRecords
from saddlestack.control.configuration import Configuration
from saddlestack.control.context import EntryContext
from saddlestack.control.crashlog import CrashLog
from saddlestack.control.endings import EndProof, log_lease_wait, log_runs_over
from saddlestack.control.evacuations import Evacuations
from saddlestack.control.feed import Feed
from saddlestack.control.halls import HallMonitor
from saddlestack.control.journal import Journal
from saddlestack.control.leadership import Term
from saddlestack.control.leases import Leases
from saddlestack.control.listing import WorkerList
from saddlestack.control.membership import Membership
from saddlestack.control.peers import Peers
from saddlestack.control.renewals import Renewals
from saddlestack.control.sessions import Sessions
from saddlestack.control.storedjobs import StoredJobs
from saddlestack.control.upkeep import Upkeep
from saddlestack.control.waits import CHECK_INTERVAL_S, WaitMonitor
from saddlestack.interfaces.documents import PoolConfiguration
from saddlestack.interfaces.machines import AdviserUnavailable
from saddlestack.interfaces.store import Item
from saddlestack.kernel.service import TaskGroup
from saddlestack.policy.cluster.changes import AdviceRequest, JobChanges
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.workers import Worker
from saddlestack.policy.suspicion import Suspicion
from saddlestack.work import JobState

log = logging.getLogger("saddlestack.scheduler")

TICK_S = 0.5
LENDING_SLACK_S = 0.001
"""A timer set for the very moment at which work may be lent room could fire just before it."""
WORKER_FEED_GAP_S = 0.3
"""Workers' heartbeats change the store 16 times a second at 24 workers; what counts, a worker that
leaves or comes, may be known this much later: it gets no work for 2 s from its notice on."""
WORKER_WATCH_WAIT_S = 0.5
"""A watch of workers waits no longer: they write their records many times a second, so one that
hears nothing has a connection that went silent. With 1 s of slack a notice is then heard 1.5 s
late, where it was 4 s; work may go to a worker for 2 s from its notice on."""
FULL_ROUND_PAUSE_S = 0.02
"""After a round that decided as much as one may; such a round holds the process for 0.06 s, and the
leader's renewals, some of them 0.25 s apart, come to their turn in between."""
REQUESTS_WAIT_S = 1.0
"""A job whose notice was lost is told of by a watch; one that went silent alone is found out 1 s
after this. The leader asks once a second so, where a quiet store was asked each 3 s."""
ADVICE_RETRY_S = 0.5
RENEWAL_CHECK_INTERVAL_S = 1.0
MAX_RENEWAL_CHECKS = 6
"""For so many gaps the other VMs may be asked whether they renew leases: one that leads without the
store has stopped after 5.5 s, and a later answer would make no difference."""
ADVICE_AT_ONCE = 4
"""The adviser takes one call of a VM at a time; few wait there, the others here."""


class Scheduler:
    """Schedules the pool for one term of this VM.

    :param peers: the way to the VMs of other halls.
    :param renewals: tells whether an earlier leader may still renew leases.
    :param grants_until: tells until when this term may grant leases, on the VM's clock.
    :param is_confirmed: tells whether this term may answer for what has happened.
    :param on_displaced: called once when another leader has taken over.
    """

    def __init__(
        self,
        context: EntryContext,
        term: Term,
        configuration: Configuration,
        peers: Peers,
        membership: Membership,
        renewals: Renewals,
        grants_until: Callable[[], float],
        is_confirmed: Callable[[], bool],
        on_displaced: Callable[[], None],
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._configuration = configuration
        self._on_displaced = on_displaced
        self.cluster_state = ClusterState()
        self.fence = term.fence
        self.max_lease_s = context.settings.timings.longest_hold_ms / 1000
        self._journal = Journal(context, term.fence)
        self._requests = StoredJobs(context, self.cluster_state, self._journal)
        self._commits = CommitQueue(context, self._journal, self._displaced)
        self._began_s = context.clock.now()
        self._crashing = CrashLog(context.metrics)
        self._leases = Leases(self.max_lease_s, self._began_s)
        self._sessions = Sessions(context, self, self._leases)
        self.waits = WaitMonitor(
            self.cluster_state, context.clock, context.metrics, self._leases.expires_at
        )
        self._workers = WorkerList(context, self.cluster_state, self._sessions)
        self._workers_feed = Feed(
            context,
            context.documents.locations.workers_prefix,
            self._workers_listed,
            self._workers_changed,
            wait_s=WORKER_WATCH_WAIT_S,
            gap_s=WORKER_FEED_GAP_S,
        )
        self._suspicion = Suspicion()
        self._evacuations = Evacuations(context, self._evacuated)
        self._renewals = renewals
        self._grants_until = grants_until
        self._is_sure = is_confirmed
        self._halls = HallMonitor(context, peers, membership, self._sessions.suspect)
        self._tasks = TaskGroup("scheduler")
        self._wake = asyncio.Event()
        self._lending_timer: asyncio.TimerHandle | None = None
        self._known = 0
        self._advice_gate = asyncio.Semaphore(ADVICE_AT_ONCE)
        self.loaded = asyncio.Event()
        self.over = False

    async def run(self) -> None:
        """Read what the store has, then decide until stopped."""
        self._tasks.spawn(self._work())

    async def stop(self) -> None:
        """End the term: no order leaves after this."""
        self.over = True
        self._configuration.remove_listener(self._configured)
        await self._tasks.cancel()
        await self._commits.stop()
        await self._sessions.stop()
        self.waits.close()

    def state(self, job_id: str) -> JobState | None:
        """What clients are told of a job; ``None`` where it is not known here."""
        job = self.cluster_state.jobs.get(job_id)
        return None if job is None else job.published_state

    def account(self, job_id: str) -> str | None:
        """The client account of a job; ``None`` where it is not known here."""
        job = self.cluster_state.jobs.get(job_id)
        return None if job is None else job.accepted.account

    def pending(self, queue: str) -> int:
        """Accepted jobs of a queue none of whose tasks has begun."""
        return self.cluster_state.pending(queue)

    def clear_suspects(self, job_id: str) -> int:
        """Start the tasks of a job as any others, though workers crashed under them."""
        found = self.cluster_state.clear_suspects(job_id)
        self.reschedule()
        return found

    def receive_notice(self, item: Item) -> None:
        """A VM has written a request; the store tells of it as well, but later."""
        self._requested((item,))

    # What sessions need

    def reschedule(self) -> None:
        """Decide anew."""
        self._known += 1
        self._wake.set()

    @property
    def may_grant(self) -> bool:
        """Whether this term may still grant leases."""
        return self._clock.now() <= self._grants_until()

    @property
    def is_confirmed(self) -> bool:
        """Whether this term may answer for what has happened."""
        return not self.over and self._is_sure()

    async def wait_written(self, jobs: Iterable[str]) -> None:
        """Wait until the store has all that is known of some jobs by now."""
        await self._commits.written(self._known, jobs)

    def call_missed(self, worker: Worker) -> None:
        """A call to a worker was not answered: look at it, or at all of its hall, at once."""
        hall = worker.record.data_hall
        if self._suspicion.record_unanswered(hall, worker.worker_id, self._clock.now()):
            self._sessions.suspect(hall)
        else:
            self._sessions.suspect_worker(worker)

    def worker_replaced(self, worker: Worker) -> None:
        """Another life answered where a worker's was; orders to the one before may reach it."""
        life = self._workers.next_incarnation(worker.worker_id)
        if life is not None:
            self._sessions.revoke_starts(life)

    def worker_fenced(self) -> None:
        """A worker obeys a later term."""
        self._displaced("a worker obeys a later term")

    # Beginning

    async def _work(self) -> None:
        self._configuration.add_listener(self._configured)
        workers = self._workers_feed
        self._tasks.spawn(workers.run())
        self._tasks.spawn(self._evacuations.run())
        # No other term can write progress any more, so it may be read beside the workers.
        await self._requests.load()
        await workers.loaded.wait()
        requests = Feed(
            self._context,
            keys.REQUESTS,
            self._requested,
            self._requested,
            wait_s=REQUESTS_WAIT_S,
        )
        self._tasks.spawn(requests.run())
        await requests.loaded.wait()
        self._requests.begin()
        await self._evacuations.loaded.wait()
        self.loaded.set()
        self._context.metrics.count("terms")
        log.info(
            "scheduling",
            extra={
                "event": "scheduling",
                "fence": self.fence,
                "jobs": len(self.cluster_state.jobs),
            },
        )
        self.waits.register_gauges()
        self._sessions.open()
        for worker in self._ghosts():
            log_lease_wait(worker, self._leases.remaining_s(worker.worker_id, self._clock.now()))
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._look())
        self._tasks.spawn(self._halls.run())
        self._tasks.spawn(self._see_renewals_over())
        self._tasks.spawn(self._forget_old())
        if self._context.machines is not None:
            upkeep = Upkeep(self._context, self._context.machines, self.cluster_state, self.fence)
            self._tasks.spawn(upkeep.run())
        try:
            await self._decide()
        except Exception:
            log.exception("scheduler failed", extra={"event": "scheduler_failed"})
            self._displaced("the scheduler failed")

    # Events

    def _configured(self, configuration: PoolConfiguration) -> None:
        guaranteed = {account.name: account.guaranteed for account in configuration.accounts}
        services = {queue.name: queue.service for queue in configuration.queues}
        advised = [queue.name for queue in configuration.queues if queue.advised]
        self.cluster_state.configure(guaranteed, services, advised)
        self._workers.add_services([*services.values(), *(p.name for p in configuration.pools)])
        self.reschedule()

    def _evacuated(self, halls: frozenset[str]) -> None:
        self.cluster_state.evacuate(halls)
        self.reschedule()

    def _requested(self, items: tuple[Item, ...]) -> None:
        self._workers.add_services(self._requests.take(items))
        self.reschedule()

    def _workers_listed(self, items: tuple[Item, ...]) -> None:
        self._workers.replace(items)
        self._workers_known()

    def _workers_changed(self, items: tuple[Item, ...]) -> None:
        self._workers.apply(items)
        self._workers_known()

    def _workers_known(self) -> None:
        if self.loaded.is_set():
            self._sessions.open()
        self.reschedule()

    # Deciding

    async def _decide(self) -> None:
        while not self.over:
            await self._wake.wait()
            self._wake.clear()
            if self._decide_once():
                self._wake.set()
                await asyncio.sleep(FULL_ROUND_PAUSE_S)
            self._wake_for_lending()

    def _wake_for_lending(self) -> None:
        """Decide as soon as work may be lent reserved room; by the next tick it would stall."""
        if self._lending_timer is not None:
            self._lending_timer.cancel()
        next_loan_s = self.cluster_state.planner.next_loan_s
        if next_loan_s is None:
            self._lending_timer = None
            return
        wait_s = next_loan_s - self._clock.now() + LENDING_SLACK_S
        self._lending_timer = asyncio.get_running_loop().call_later(wait_s, self.reschedule)

    def _decide_once(self) -> bool:
        """Decide, and have all of it leave that waits for no record.

        :return: whether more may be decided at once.
        """
        mark = self._known
        more = self.cluster_state.plan(self._clock.now(), self._clock.wall() * 1000)
        self.waits.round_finished(more)
        changes = self.cluster_state.take_changes()
        for stop in changes.stops:
            self._context.metrics.count(f"stops_{stop.reason.value}")
            self._sessions.order_stop(stop)
        for pace in changes.paces:
            self._sessions.order_pace(pace)
        self._crashing.log_verdicts(changes.findings)
        for question in changes.advice_requests:
            self._tasks.spawn(self._ask(question))
        by_job = changes.by_job()
        self.waits.write_started(each.job_id for each in by_job)
        self._commits.put(mark, [self._records(each) for each in by_job])
        return more

    def _records(self, changes: JobChanges) -> JobRecords:
        encoded = {
            keys.progress_key(key): to_msgpack(record) for key, record in changes.records.items()
        }
        return JobRecords(changes.job_id, encoded, partial(self._follow, changes))

    def _follow(self, changes: JobChanges) -> None:
        """What may follow from changes of a job that are in the store."""
        self.waits.write_finished((changes.job_id,))
        for job, state in changes.state_updates:
            self._show(job.job_id, state)
        self._context.metrics.count("starts", len(changes.starts))
        lent = sum(bool(start.run.lent_by) for start in changes.starts)
        self._context.metrics.count("starts_lent", lent)
        news_s = self._workers_feed.age_s(self._clock.now())
        for start in changes.starts:
            self._context.metrics.time("start_news", news_s)
            if not self._sessions.order_start(start, news_s):
                self.cluster_state.run_not_started(start.run)
                self.reschedule()

    def _show(self, job_id: str, state: JobState) -> None:
        job = self.cluster_state.jobs.get(job_id)
        if job is None or job.published_state is state:
            return
        job.published_state = state
        log.info("job", extra={"event": "job", "job": job_id, "state": state.value})

    async def _ask(self, question: AdviceRequest) -> None:
        """Ask the adviser; where it does not answer, the step is asked about again later."""
        step = question.step
        adviser = self._context.adviser
        try:
            if adviser is None:
                raise AdviserUnavailable("no adviser is set up")
            async with self._advice_gate:
                leaves = await adviser.advise(step.key, question.workers)
        except AdviserUnavailable as error:
            log.warning(
                "adviser does not answer",
                extra={"event": "adviser_lost", "step": step.key, "reason": str(error)},
            )
            await asyncio.sleep(ADVICE_RETRY_S)
        except Exception:
            # A question that ends unforeseen would otherwise be under way for ever.
            log.exception("advice failed", extra={"event": "advice_failed", "step": step.key})
            await asyncio.sleep(ADVICE_RETRY_S)
        else:
            step.advice.record_answer(question.workers, leaves, self._clock.now())
        step.advice.asking = False
        self.reschedule()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._end_ghosts()
            self._sessions.close_orphaned()
            self.reschedule()

    async def _forget_old(self) -> None:
        """Forget jobs that are over; apart from the tick, since the store may answer late."""
        await self._requests.remove_leftovers()
        while True:
            await asyncio.sleep(TICK_S)
            await self._requests.remove_expired()

    async def _look(self) -> None:
        """Look at what waits; apart from the tick, which may itself wait for the store."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.waits.check(round_due=self._wake.is_set())

    async def _see_renewals_over(self) -> None:
        """Ask the others until none renews a lease, or it makes no difference any more.

        Nobody is asked while every worker answers that runs what an earlier leader started.
        """
        for _ in range(MAX_RENEWAL_CHECKS):
            if self._waits_for_lapse() and await self._renewals.are_over():
                self._leases.limit_inherited(self._clock.now())
                log.info("nobody else renews leases", extra={"event": "renewals_over"})
                return
            await asyncio.sleep(RENEWAL_CHECK_INTERVAL_S)

    def _waits_for_lapse(self) -> bool:
        """Whether work that an earlier leader started is on a worker that does not answer."""
        return any(
            run.inherited
            for worker in self.cluster_state.workers.values()
            if not worker.reachable
            for run in worker.runs.values()
        )

    def _end_ghosts(self) -> None:
        """Lives that nobody can ask hold their runs until every lease has lapsed."""
        now = self._clock.now()
        for worker in self._ghosts():
            if now < self._leases.expires_at(worker.worker_id):
                continue
            log_runs_over(worker.runs.values(), EndProof.LAPSED, now - self._began_s)
            self.cluster_state.worker_ended(
                worker.worker_id, IncarnationEnd(-math.inf, now, unheard=True)
            )

    def _ghosts(self) -> list[Worker]:
        """Lives that may run something and are reached nowhere, as far as is known."""
        workers = self.cluster_state.workers.values()
        return [worker for worker in workers if worker.runs and not worker.record.address]

    def _displaced(self, reason: str) -> None:
        if self.over:
            return
        self.over = True
        log.warning("displaced", extra={"event": "displaced", "reason": reason})
        self._on_displaced()
