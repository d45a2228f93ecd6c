"""The leader's scheduler: turns events into decisions, store records and orders to workers.

The order of writes prevents lost and duplicate work: an assignment is in the store before its
worker receives it, and an end is in the store before it is acknowledged, shown or acted on.
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
from saddlestack.control.speeds import SpeedStore
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
from saddlestack.work import AcceptedJob, JobState

log = logging.getLogger("saddlestack.scheduler")

TICK_S = 0.5
LENDING_SLACK_S = 0.001
"""Added to the timer for lending reserved capacity, which could otherwise fire just too early."""
WORKER_FEED_GAP_S = 0.3
"""Pause between a change of worker records and the next watch. Heartbeats of 24 workers change the
store 16 times a second. The changes that matter, a worker that joins or leaves, may be noticed this
much later: work may go to a leaving worker for 2 s from its notice on."""
WORKER_WATCH_WAIT_S = 0.5
"""How long a watch of workers waits. Workers write their records many times a second, so a watch
that receives nothing has a dead connection. With 1 s of slack a notice then arrives 1.5 s late, not
4 s; work may go to a worker for 2 s from its notice on."""
FULL_ROUND_PAUSE_S = 0.02
"""Pause after a full scheduling round. Such a round blocks the event loop for 0.06 s; the pause
lets the leader's lease renewals run, some of which are 0.25 s apart."""
REQUESTS_WAIT_S = 1.0
"""How long a watch of requests waits. It finds jobs whose notice was lost; if only its connection
is unresponsive, that is detected 1 s later. The leader therefore watches once a second, not every
3 s, while nothing changes."""
ADVICE_RETRY_S = 0.5
RENEWAL_CHECK_INTERVAL_S = 1.0
MAX_RENEWAL_CHECKS = 6
"""How often the other VMs are asked whether they renew leases. A VM that leads without the store
stops after 5.5 s, so a later answer makes no difference."""
MAX_ADVICE_CALLS = 4
"""Concurrent calls to the adviser, which handles one call of a VM at a time; the rest wait here."""


class Scheduler:
    """Schedules the pool for one term of this VM.

    :param peers: connections to the VMs of other halls.
    :param renewals: checks whether an earlier leader may still renew leases.
    :param grants_until: returns until when this term may grant leases, on the VM's clock.
    :param is_confirmed: returns whether this term may answer queries about jobs.
    :param on_displaced: called once when another leader has taken over, or this one gives up.
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
        timings = context.settings.timings
        self.cluster_state = ClusterState(
            context.settings.scheduling.options, timings.drain_ms / 1000
        )
        self.fence = term.fence
        self.max_lease_s = timings.longest_hold_ms / 1000
        self._journal = Journal(context, term.fence)
        self._speeds = self._open_speeds()
        self._stored_jobs = StoredJobs(context, self.cluster_state, self._journal)
        self._commits = CommitQueue(context, self._journal, self._step_down)
        self._began_s = context.clock.now()
        self._crash_log = CrashLog(context.metrics)
        self._leases = Leases(self.max_lease_s, self._began_s)
        self._sessions = Sessions(context, self, self._leases)
        self.waits = WaitMonitor(
            self.cluster_state, context.clock, context.metrics, self._leases.expires_at
        )
        self._worker_list = WorkerList(context, self.cluster_state, self._sessions)
        self._worker_feed = Feed(
            context,
            context.documents.locations.workers_prefix,
            self._on_worker_snapshot,
            self._on_worker_changes,
            name="workers",
            list_timeout_s=math.inf,
            wait_s=WORKER_WATCH_WAIT_S,
            gap_s=WORKER_FEED_GAP_S,
        )
        self._suspicion = Suspicion()
        self._evacuations = Evacuations(context, self._on_evacuations_changed)
        self._renewals = renewals
        self._grants_until = grants_until
        self._is_confirmed = is_confirmed
        self._halls = HallMonitor(context, peers, membership, self._sessions.suspect)
        self._tasks = TaskGroup("scheduler")
        self._wake = asyncio.Event()
        self._lending_timer: asyncio.TimerHandle | None = None
        self._version = 0
        self._advice_slots = asyncio.Semaphore(MAX_ADVICE_CALLS)
        self.loaded = asyncio.Event()
        self.over = False

    async def run(self) -> None:
        """Load the records from the store, then schedule until stopped."""
        # Not in the task: a term may be stopped before its task has begun.
        self._configuration.add_listener(self._on_configuration_changed)
        self._tasks.spawn(self._run_term())

    async def stop(self) -> None:
        """End the term; no order is sent after this."""
        self.over = True
        self._configuration.remove_listener(self._on_configuration_changed)
        await self._tasks.cancel()
        await self._commits.stop()
        await self._sessions.stop()
        self.waits.close()
        if self._speeds is not None:
            self._speeds.close()
        if self.cluster_state.options.demand_forecast:
            self._context.metrics.gauge("headroom_accelerators", lambda: 0)

    def state(self, job_id: str) -> JobState | None:
        """The state of a job that clients see; ``None`` if the job is unknown here."""
        job = self.cluster_state.jobs.get(job_id)
        return None if job is None else job.published_state

    def accepted(self, job_id: str) -> AcceptedJob | None:
        """A job as it was accepted; ``None`` if it is unknown here."""
        job = self.cluster_state.jobs.get(job_id)
        return None if job is None else job.accepted

    def pending(self, queue: str) -> int:
        """The number of accepted jobs of a queue none of whose tasks has started."""
        return self.cluster_state.pending(queue)

    def clear_suspects(self, job_id: str) -> int:
        """Stop isolating the tasks of a job that are suspected of crashing their workers.

        :return: how many tasks were suspects.
        """
        found = self.cluster_state.clear_suspects(job_id)
        self.reschedule()
        return found

    async def receive_notice(self, item: Item) -> None:
        """Apply a request that a VM has just written, before the watch of the store delivers it."""
        await self._apply_requests((item,))

    # Used by worker sessions

    def reschedule(self) -> None:
        """Request another planning round, since the state has changed."""
        self._version += 1
        self._wake.set()

    @property
    def may_grant(self) -> bool:
        """Whether this term may still grant leases."""
        return self._clock.now() <= self._grants_until()

    @property
    def is_confirmed(self) -> bool:
        """Whether this term may answer queries about jobs."""
        return not self.over and self._is_confirmed()

    async def wait_written(self, jobs: Iterable[str]) -> None:
        """Wait until everything known so far about some jobs is in the store."""
        await self._commits.written(self._version, jobs)

    def call_missed(self, worker: Worker) -> None:
        """Handle an unanswered call: poll the worker at once, or all workers of its data hall."""
        hall = worker.record.data_hall
        if self._suspicion.record_unanswered(hall, worker.worker_id, self._clock.now()):
            self._sessions.suspect(hall)
        else:
            self._sessions.suspect_worker(worker)

    def worker_replaced(self, worker: Worker) -> None:
        """Handle another incarnation's answer at a worker's address.

        Orders to the replaced incarnation may still reach the new one, so they are revoked.
        """
        incarnation = self._worker_list.next_incarnation(worker.worker_id)
        if incarnation is not None:
            self._sessions.revoke_starts(incarnation)

    def worker_fenced(self) -> None:
        """Step down: a worker has accepted the fencing token of a later term."""
        self._step_down("a worker obeys a later term")

    # Startup

    def _open_speeds(self) -> SpeedStore | None:
        tracker = self.cluster_state.speeds
        if tracker is None:
            return None
        interval_s = self.cluster_state.options.speed_write_interval_s
        return SpeedStore(self._context, tracker, self.fence, interval_s, self.reschedule)

    async def _keep_speeds(self, speeds: SpeedStore) -> None:
        """Read the speeds beside everything else, and write them once the workers are known."""
        await speeds.load()
        await self.loaded.wait()
        await speeds.run()

    async def _run_term(self) -> None:
        workers = self._worker_feed
        self._tasks.spawn(workers.run())
        self._tasks.spawn(self._evacuations.run())
        if self.cluster_state.options.demand_forecast:
            planner = self.cluster_state.planner
            self._context.metrics.gauge(
                "headroom_accelerators", lambda: planner.headroom_accelerators
            )
        if self._speeds is not None:
            self._speeds.start()
            self._tasks.spawn(self._keep_speeds(self._speeds))
        # No other term can write progress any more, so it is safe to read it before the workers
        # are loaded.
        await self._stored_jobs.load()
        await workers.loaded.wait()
        requests = Feed(
            self._context,
            keys.REQUESTS,
            self._apply_requests,
            self._apply_requests,
            name="requests",
            list_timeout_s=math.inf,
            wait_s=REQUESTS_WAIT_S,
        )
        self._tasks.spawn(requests.run())
        await requests.loaded.wait()
        self._stored_jobs.finish_loading()
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
        for worker in self._workers_without_address():
            log_lease_wait(worker, self._leases.remaining_s(worker.worker_id, self._clock.now()))
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._check_waits())
        self._tasks.spawn(self._halls.run())
        self._tasks.spawn(self._watch_renewals())
        self._tasks.spawn(self._remove_expired_jobs())
        if self._context.machines is not None:
            upkeep = Upkeep(self._context, self._context.machines, self.cluster_state, self.fence)
            self._tasks.spawn(upkeep.run())
        try:
            await self._decide()
        except Exception:
            log.exception("scheduler failed", extra={"event": "scheduler_failed"})
            self._step_down("the scheduler failed")

    # Events

    def _on_configuration_changed(self, configuration: PoolConfiguration) -> None:
        guaranteed = {account.name: account.guaranteed for account in configuration.accounts}
        services = {queue.name: queue.service for queue in configuration.queues}
        advised = [queue.name for queue in configuration.queues if queue.advised]
        self.cluster_state.configure(guaranteed, services, advised)
        self._worker_list.add_services([*services.values(), *(p.name for p in configuration.pools)])
        self.reschedule()

    def _on_evacuations_changed(self, halls: frozenset[str]) -> None:
        self.cluster_state.evacuate(halls)
        self.reschedule()

    async def _apply_requests(self, items: tuple[Item, ...]) -> None:
        self._worker_list.add_services(await self._stored_jobs.apply(items))
        self.reschedule()

    def _on_worker_snapshot(self, items: tuple[Item, ...]) -> None:
        self._worker_list.replace(items)
        self._on_workers_updated()

    def _on_worker_changes(self, items: tuple[Item, ...]) -> None:
        self._worker_list.apply(items)
        self._on_workers_updated()

    def _on_workers_updated(self) -> None:
        if self.loaded.is_set():
            self._sessions.open()
        self.reschedule()

    # Scheduling rounds

    async def _decide(self) -> None:
        while not self.over:
            await self._wake.wait()
            self._wake.clear()
            if self._decide_once():
                self._wake.set()
                await asyncio.sleep(FULL_ROUND_PAUSE_S)
            self._wake_for_lending()

    def _wake_for_lending(self) -> None:
        """Set a timer for when work may borrow reserved capacity; the next tick would be too late.

        Work that waits for the tick would count as stalled.
        """
        if self._lending_timer is not None:
            self._lending_timer.cancel()
        next_loan_s = self.cluster_state.planner.next_loan_s
        if next_loan_s is None:
            self._lending_timer = None
            return
        wait_s = next_loan_s - self._clock.now() + LENDING_SLACK_S
        self._lending_timer = asyncio.get_running_loop().call_later(wait_s, self.reschedule)

    def _decide_once(self) -> bool:
        """Run one round, and send the orders that do not depend on a record in the store.

        :return: whether another round could decide more right away.
        """
        version = self._version
        has_more = self.cluster_state.plan(self._clock.now(), self._clock.wall() * 1000)
        for name, amount in self.cluster_state.planner.take_counts().items():
            self._context.metrics.count(name, amount)
        self.waits.round_finished(has_more)
        changes = self.cluster_state.take_changes()
        for stop in changes.stops:
            self._context.metrics.count(f"stops_{stop.reason.value}")
            self._sessions.order_stop(stop)
        for pace in changes.paces:
            self._sessions.order_pace(pace)
        self._context.metrics.count("restarts_slow_worker", changes.slow_restarts)
        self._crash_log.log_findings(changes.findings)
        if self._speeds is not None:
            self._speeds.take_changes()
        for question in changes.advice_requests:
            self._tasks.spawn(self._ask_adviser(question))
        by_job = changes.by_job()
        self.waits.write_started(each.job_id for each in by_job)
        self._commits.put(version, [self._records(each) for each in by_job])
        return has_more

    def _records(self, changes: JobChanges) -> JobRecords:
        encoded = {
            keys.progress_key(key): to_msgpack(record) for key, record in changes.records.items()
        }
        return JobRecords(changes.job_id, encoded, partial(self._after_commit, changes))

    def _after_commit(self, changes: JobChanges) -> None:
        """Show states and order starts, now that the changes of a job are in the store."""
        self.waits.write_finished((changes.job_id,))
        for job, state in changes.state_updates:
            self._show_state(job.job_id, state)
        self._context.metrics.count("starts", len(changes.starts))
        lent = sum(bool(start.run.lent_by) for start in changes.starts)
        self._context.metrics.count("starts_lent", lent)
        above_limit = sum(start.run.above_limit for start in changes.starts)
        self._context.metrics.count("starts_above_limit", above_limit)
        feed_age_s = self._worker_feed.age_s(self._clock.now())
        for start in changes.starts:
            self._context.metrics.time("start_news", feed_age_s)
            if not self._sessions.order_start(start, feed_age_s):
                self.cluster_state.run_not_started(start.run)
                self.reschedule()

    def _show_state(self, job_id: str, state: JobState) -> None:
        job = self.cluster_state.jobs.get(job_id)
        if job is None or job.published_state is state:
            return
        job.published_state = state
        log.info("job state changed", extra={"event": "job", "job": job_id, "state": state.value})

    async def _ask_adviser(self, question: AdviceRequest) -> None:
        """Ask the adviser which workers may run a step; if it fails, a later round asks again."""
        step = question.step
        adviser = self._context.adviser
        try:
            if adviser is None:
                raise AdviserUnavailable("no adviser is configured")
            async with self._advice_slots:
                approvals = await adviser.advise(step.key, question.workers)
        except AdviserUnavailable as error:
            log.warning(
                "adviser does not answer",
                extra={"event": "adviser_lost", "step": step.key, "reason": str(error)},
            )
            await asyncio.sleep(ADVICE_RETRY_S)
        except Exception:
            # Without this, a call that fails unexpectedly would stay marked as in progress forever.
            log.exception("advice failed", extra={"event": "advice_failed", "step": step.key})
            await asyncio.sleep(ADVICE_RETRY_S)
        else:
            step.advice.record_answer(question.workers, approvals, self._clock.now())
        step.advice.asking = False
        self.reschedule()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._end_workers_without_address()
            self.cluster_state.record_begun(self._clock.now())
            self._sessions.close_orphaned()
            for worker in list(self.cluster_state.workers_to_ask()):
                self._sessions.suspect_worker(worker)
            self.reschedule()

    async def _remove_expired_jobs(self) -> None:
        """Remove expired jobs, in a task of its own since the store may answer late."""
        await self._stored_jobs.remove_leftovers()
        while True:
            await asyncio.sleep(TICK_S)
            await self._stored_jobs.remove_expired()

    async def _check_waits(self) -> None:
        """Check waiting jobs, in a task of its own since the tick may wait for the store."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.waits.check(round_due=self._wake.is_set())

    async def _watch_renewals(self) -> None:
        """Ask the other VMs until none renews leases, or until the answer makes no difference.

        They are not asked while every worker with runs of an earlier leader is reachable.
        """
        for _ in range(MAX_RENEWAL_CHECKS):
            if self._waits_for_lease() and await self._renewals.are_over():
                self._leases.limit_inherited(self._clock.now())
                log.info("no other VM renews leases", extra={"event": "renewals_over"})
                return
            await asyncio.sleep(RENEWAL_CHECK_INTERVAL_S)

    def _waits_for_lease(self) -> bool:
        """Whether a run that an earlier leader started is on an unreachable worker."""
        return any(
            run.inherited
            for worker in self.cluster_state.workers.values()
            if not worker.reachable
            for run in worker.runs.values()
        )

    def _end_workers_without_address(self) -> None:
        """End the runs of workers without a known address once every lease has lapsed."""
        now = self._clock.now()
        for worker in self._workers_without_address():
            if now < self._leases.expires_at(worker.worker_id):
                continue
            log_runs_over(worker.runs.values(), EndProof.LAPSED, now - self._began_s)
            self.cluster_state.worker_ended(
                worker.worker_id, IncarnationEnd(-math.inf, now, unheard=True)
            )

    def _workers_without_address(self) -> list[Worker]:
        """Workers that may run something and whose address is unknown."""
        workers = self.cluster_state.workers.values()
        return [worker for worker in workers if worker.runs and not worker.record.address]

    def _step_down(self, reason: str) -> None:
        if self.over:
            return
        self.over = True
        log.warning("stepping down", extra={"event": "displaced", "reason": reason})
        self._on_displaced()
