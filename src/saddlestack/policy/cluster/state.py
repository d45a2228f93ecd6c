"""State of the cluster as its leader knows it, and the changes that each event causes.

Does no I/O: events and times are arguments, and the resulting writes, starts and stops are
collected until :meth:`ClusterState.take_changes`. ``now`` is in seconds on a monotonic clock,
``wall_ms`` in milliseconds since 1970.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask, WorkerRecord
from saddlestack.policy.cluster.changes import AdviceRequest, Changes, Start, Stop, StopReason
from saddlestack.policy.cluster.crash_findings import CrashFinding
from saddlestack.policy.cluster.crashes import CrashAssessment, CrashTracker
from saddlestack.policy.cluster.demand import DemandForecast
from saddlestack.policy.cluster.draining import runs_to_stop
from saddlestack.policy.cluster.failed_runs import count_failed_work, failure_kind
from saddlestack.policy.cluster.fair_share import AccountUsage
from saddlestack.policy.cluster.fault_attribution import FailureKind, FaultAttribution
from saddlestack.policy.cluster.incarnation_end import DEFAULT_DRAIN_S, IncarnationEnd
from saddlestack.policy.cluster.index import CapacityIndex
from saddlestack.policy.cluster.jobs import Job, Occurrence, Run, StepState, Task, new_job
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.pacing import Pace, adjust_pace
from saddlestack.policy.cluster.planner import Planner
from saddlestack.policy.cluster.progress import is_stuck, needs_progress_polls
from saddlestack.policy.cluster.records import (
    FailureCause,
    OccurrenceRecord,
    OccurrenceStatus,
    TaskStatus,
)
from saddlestack.policy.cluster.slow_restarts import SlowRestarts
from saddlestack.policy.cluster.speed_limits import UnknownWorkTimes, WorkTimes
from saddlestack.policy.cluster.speed_records import SpeedEstimate
from saddlestack.policy.cluster.speeds import SpeedTracker
from saddlestack.policy.cluster.victims import count_preemption
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.worker_preferences import WorkerPreferences
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import AcceptedJob, JobState, Resources, TaskName

BEGUN_RECORD_DELAY_S = 1.5
"""How long after its first run has begun the record of a job says so at the latest, in seconds.
With the tick of 0.5 s this is 2 s, by which the number of pending jobs may be out of date."""
TASKS_PER_PART = 500
"""Tasks whose runs are restored in one part of the addition of a job."""


class ClusterState:
    """Jobs and workers of a cluster, and the scheduling decisions of its leader.

    :param options: the optional decisions; none by default.
    :param drain_s: for how long a worker that ends as planned serves on at least.
    """

    def __init__(
        self, options: SchedulingOptions | None = None, drain_s: float = DEFAULT_DRAIN_S
    ) -> None:
        self.options = options or SchedulingOptions()
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self._guaranteed: dict[str, int] = {}
        self._services: dict[str, str] = {}
        self._changed_occurrences: dict[str, Occurrence] = {}
        self._starts: list[Start] = []
        self._stops: list[Stop] = []
        self._paces: list[Pace] = []
        self._advice_requests: list[AdviceRequest] = []
        self._advised: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._changed_jobs: dict[str, Job] = {}
        self._begun_unrecorded: dict[str, tuple[Occurrence, float]] = {}
        self._index = CapacityIndex(uses_speeds=self.options.worker_speeds)
        self._speeds = SpeedTracker(self.options) if self.options.worker_speeds else None
        self._work_times: WorkTimes = self._speeds or UnknownWorkTimes()
        self._worker_preferences = WorkerPreferences()
        self._fault_attribution = FaultAttribution(self.workers)
        self._crashes = CrashTracker(self.workers, drain_s=drain_s)
        self._findings: list[CrashFinding] = []
        self._usage = AccountUsage()
        self._demand = DemandForecast(self) if self.options.demand_forecast else None
        self._planner = Planner(
            self,
            self._index,
            self._worker_preferences,
            self._crashes,
            self.options,
            self._usage,
            self._speeds,
            self._demand,
        )
        self._slow_restarts = SlowRestarts(
            self._planner.speed_limits, self.workers, self._speed_estimate
        )
        self._restarted_gangs = 0

    def configure(
        self,
        guaranteed: Mapping[str, int],
        services: Mapping[str, str],
        advised: Iterable[str] = (),
    ) -> None:
        """Apply the configuration.

        :param guaranteed: guaranteed accelerators, by client account.
        :param services: service names, by queue.
        :param advised: queues whose starts need the adviser's approval.
        """
        self._advised = frozenset(advised)
        self._guaranteed = dict(guaranteed)
        self._services = dict(services)

    @property
    def work_times(self) -> WorkTimes:
        """Source of the expected duration of work."""
        return self._work_times

    def guaranteed(self, account: str) -> int:
        """Accelerators that are guaranteed to an account for jobs of priority 0."""
        return self._guaranteed.get(account, 0)

    def is_advised(self, job: Job) -> bool:
        """Whether starts of a job's tasks need the adviser's approval."""
        return job.accepted.queue in self._advised

    def request_advice(self, step: StepState, workers: tuple[str, ...]) -> None:
        """Queue a request to the adviser: which of these workers may run the step."""
        step.advice.asking = True
        self._advice_requests.append(AdviceRequest(step, workers))

    def service_of(self, job: Job) -> str:
        """The service whose workers run a job's tasks.

        The service that the configuration names for the job's queue precedes the one in the job.
        """
        return self._services.get(job.accepted.queue, job.accepted.service)

    @property
    def planner(self) -> Planner:
        """The planner. Callers outside this class only read from it."""
        return self._planner

    @property
    def speeds(self) -> SpeedTracker | None:
        """The speeds of the workers; ``None`` where they are not learned."""
        return self._speeds

    def add_job(self, accepted: AcceptedJob, records: Mapping[int, OccurrenceRecord]) -> Job:
        """Add a job from the store with its progress. A job that is already known is unchanged."""
        for _ in self.add_job_in_parts(accepted, records):
            pass
        return self.jobs[accepted.job_id]

    def add_job_in_parts(
        self, accepted: AcceptedJob, records: Mapping[int, OccurrenceRecord]
    ) -> Iterator[int]:
        """Add a job like :meth:`add_job`, in parts that each take little time.

        Nothing may be decided about the job before the last part. A job without progress is added
        in one part.

        :return: yields the number of tasks in each part.
        """
        if accepted.job_id in self.jobs:
            return
        job = new_job(accepted, records)
        self.jobs[accepted.job_id] = job
        for occurrence in job.occurrences:
            record = records.get(occurrence.number)
            if record is not None:
                for step in occurrence.steps:
                    yield from self._restore_step(step, record.addresses)
        self._stop_leftovers(job)
        self._fault_attribution.inherit(job)
        self._planner.add(job)

    def _restore_step(self, step: StepState, addresses: Mapping[str, str]) -> Iterator[int]:
        """Restore the runs of a step, and the evidence about its tasks, in parts."""
        for first in range(0, len(step.tasks), TASKS_PER_PART):
            tasks = step.tasks[first : first + TASKS_PER_PART]
            for task in tasks:
                self._restore_run(task, addresses)
            yield len(tasks)
        for index in step.record.crashes:
            self._crashes.inherit(step.tasks[index])

    def _stop_leftovers(self, job: Job) -> None:
        """Stop runs that an earlier leader had yet to stop. The store holds no pending stops."""
        for occurrence in job.occurrences:
            if job.failed:
                self._stop_all(occurrence, StopReason.JOB_FAILED)
                continue
            for step in occurrence.steps:
                if step.step.gang and any(is_waiting(task) for task in step.tasks):
                    self._stop_step(step, StopReason.GANG_BROKEN)

    def _restore_run(self, task: Task, addresses: Mapping[str, str]) -> None:
        record = task.record
        if record.status is not TaskStatus.ASSIGNED:
            return
        address = addresses.get(record.worker, "")
        worker = self._incarnation_at(record.worker, address)
        run = Run(
            task, record.run, worker.worker_id, task.step.step.allocation, 0.0, inherited=True
        )
        run.saved = record.saved
        run.address = address
        task.set_run(run)
        worker.add(run)
        self._count_run(run)

    def _incarnation_at(self, worker_id: str, address: str) -> Worker:
        """Return the worker incarnation that was ordered a run at an address.

        The worker's record may have changed its address since then. A process at the new address
        knows nothing of the run, so only the original address is polled: the worker counts as
        unlisted until a record names that address again.

        :param address: where the run was ordered; empty if unknown.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return self._add_unlisted_worker(worker_id, address)
        if address and not worker.runs and worker.record.address != address:
            worker.record = replace(worker.record, address=address)
            worker.listed = False
            worker.reachable = False
        return worker

    def _add_unlisted_worker(self, worker_id: str, address: str) -> Worker:
        """Add a worker incarnation that is not listed but may still run tasks.

        :param address: where to poll it; empty if unknown.
        """
        record = _unlisted_record(worker_id, address)
        worker = Worker(record, listed=False, reachable=False)
        self._add_worker(worker)
        return worker

    def cancel(self, job_id: str) -> None:
        """Cancel a job: none of its tasks starts again, and its runs are stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.over:
            return
        job.cancelled = True
        self._crashes.forget_job(job_id)
        self._changed_jobs[job_id] = job
        for occurrence in job.occurrences:
            self._stop_all(occurrence, StopReason.CANCELLED)

    def expired_jobs(self, now: float, retention_s: float) -> list[Job]:
        """Jobs that have been over for longer than the retention time.

        The time starts when a call first finds the job settled.
        """
        found = []
        for job in self.jobs.values():
            if not job.settled:
                continue
            if job.over_since_s is None:
                job.over_since_s = now
            if now - job.over_since_s > retention_s:
                found.append(job)
        return found

    def remove_job(self, job_id: str) -> None:
        """Remove a job that is no longer in the store."""
        self.jobs.pop(job_id, None)
        self._begun_unrecorded.pop(job_id, None)
        self._fault_attribution.forget_job(job_id)
        self._crashes.forget_job(job_id)
        if self._speeds is not None:
            self._speeds.forget_job(job_id)

    def set_worker(self, record: WorkerRecord, now: float) -> Worker:
        """Add a listed worker incarnation, or update its record."""
        worker = self.workers.get(record.worker_id)
        if worker is None:
            worker = Worker(record)
            self._add_worker(worker)
        worker.update_record(record, now)
        worker.evacuated = record.data_hall in self._evacuated
        if worker.is_cold(now):
            self._worker_preferences.add_cold(worker)
        if not worker.listed:
            worker.listed = True
            worker.reachable = True
            worker.outlived_record = False
            worker.withdrawn_s = None
        if self._speeds is not None:
            self._speeds.add_worker(worker)
        return worker

    def unlist_worker(self, worker_id: str, withdrawn_s: float | None = None) -> None:
        """Mark a worker incarnation as not in the store's list of workers, so nothing starts there.

        Its runs are not ended, and it is kept while it has any. A worker without runs is removed.

        :param withdrawn_s: when its record was removed, if that was not in an outage of the store.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if worker.listed:
            self._apply_assessment(self._crashes.record_removed(worker))
            worker.withdrawn_s = withdrawn_s
        worker.listed = False
        if not worker.runs:
            self._remove_worker(worker)

    def worker_ended(self, worker_id: str, end: IncarnationEnd | None = None) -> None:
        """End all runs of a worker incarnation that has ended or whose lease has certainly lapsed.

        :param end: when it may have ended, if it may have crashed.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        assessment = (
            CrashAssessment() if end is None else self._crashes.incarnation_ended(worker, end)
        )
        lost = list(worker.runs.values())
        for run in lost:
            worker.remove(run.task.name, run.number)
        self._apply_assessment(assessment)
        for run in lost:
            self._finish_run(run, EndKind.LAPSED, run.saved)
            if self._speeds is not None:
                self._speeds.discard_run(run)
        if not worker.listed:
            self._remove_worker(worker)

    def record_answer(self, worker: Worker, now: float) -> None:
        """Record that a worker incarnation has answered."""
        worker.last_answer_s = now
        worker.unreachable_since_s = None
        worker.outlived_record = not worker.listed
        self._apply_assessment(self._crashes.record_answer(worker))

    def workers_to_ask(self) -> Iterator[Worker]:
        """Yield the listed workers whose answer decides whether another one has crashed."""
        return self._crashes.deciding_workers()

    def clear_suspects(self, job_id: str) -> int:
        """Clear the suspicion that tasks of a job crash their workers; they start normally again.

        Their crashes still count: the limit on a task's starts does not depend on suspicion.

        :return: number of tasks that were suspects.
        """
        job = self.jobs.get(job_id)
        if job is None or job.over:
            return 0
        assessment = self._crashes.clear(job)
        self._apply_assessment(assessment)
        return len(assessment.changed_tasks)

    def _apply_assessment(self, assessment: CrashAssessment) -> None:
        """Record findings about crashes, and fail the jobs whose tasks caused them."""
        self._findings += assessment.findings
        for task in assessment.changed_tasks:
            if task.step.occurrence.open:
                self._mark_changed(task.step.occurrence)
        for task in assessment.culprits:
            self._fail_job(task.step.occurrence, FailureCause.CRASHES)

    def evacuate(self, halls: frozenset[str]) -> None:
        """Set the data halls in which nothing starts.

        Runs in these halls go on and keep their resources until they end. They are stopped only
        for the same reasons as runs elsewhere.

        :param halls: all data halls that are being evacuated; starts resume in all others.
        """
        self._evacuated = halls
        for worker in self.workers.values():
            worker.evacuated = worker.record.data_hall in halls

    def _add_worker(self, worker: Worker) -> None:
        self.workers[worker.worker_id] = worker
        self._index.add(worker)

    def _remove_worker(self, worker: Worker) -> None:
        del self.workers[worker.worker_id]
        self._fault_attribution.forget_worker(worker.worker_id)
        self._index.remove(worker)
        if self._speeds is not None:
            self._speeds.forget_worker(worker)

    def run_started(self, run: Run, now: float) -> None:
        """Record that a worker has confirmed the start of a run."""
        if run.started_s is None:
            run.started_s = now
        self._note_begun(run.task.step.occurrence, now)

    def _note_begun(self, occurrence: Occurrence, now: float) -> None:
        """Note that a worker has begun a run; each later record of the occurrence says so.

        An assignment in the record does not show it: the worker may refuse the run, or be lost.
        """
        occurrence.begun = True
        job = occurrence.job
        if not job.begun and not job.over:
            self._begun_unrecorded[job.job_id] = (occurrence, now)
        job.begun = True

    def record_begun(self, now: float) -> None:
        """Have records written of jobs that have begun since their last record.

        Not of those that began within :data:`BEGUN_RECORD_DELAY_S`: most of them are written for
        another reason soon, and while a record is being written, other decisions about its job
        wait.
        """
        for occurrence, begun_s in list(self._begun_unrecorded.values()):
            if now - begun_s >= BEGUN_RECORD_DELAY_S:
                self._mark_changed(occurrence)

    def run_not_started(self, run: Run) -> None:
        """End a run that never began and never will."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run.task.name, run.number)
        run.never_began = True
        if run.ordered_s is None and not run.inherited:
            self._crashes.count_start(run.task, -1)
        self._finish_run(run, EndKind.STOPPED, "")
        if self._speeds is not None:
            self._speeds.discard_run(run)

    def worker_reported(self, worker_id: str, running: Iterable[RunningTask], now: float) -> None:
        """Update the runs that a worker reports, and stop those that are unknown."""
        worker = self.workers[worker_id]
        for row in running:
            name = TaskName.parse(row.task)
            run = worker.runs.get((name, row.run))
            if run is None:
                self._stops.append(Stop(worker_id, name, row.run, StopReason.NOT_OURS))
                continue
            if row.percent > run.percent:
                worker.record_progress(run, now)
            if row.percent != run.percent or run.progressed_s is None:
                run.progressed_s = now
            run.percent = row.percent
            run.reported_s = now
            run.figure = row.figure
            if row.saved:
                run.saved = row.saved
            if self._speeds is not None:
                self._speeds.observe_progress(worker, run, self.members, now)
        self._restart_stalled(worker, now)
        self._paces += adjust_pace(worker, now)

    def _restart_stalled(self, worker: Worker, now: float) -> None:
        """Stop stalled runs on a worker, so that they restart elsewhere."""
        if not needs_progress_polls(worker) or worker.is_cold(now):
            return
        for run in list(worker.runs.values()):
            if is_stuck(run, self.members(run), now):
                self._attribute_failure(worker, run, FailureKind.STUCK, now)
                run.task.step.moves += 1
                self.stop_group(run, StopReason.STUCK)
            elif self.options.worker_speeds:
                self._restart_slow(run, now)

    def _speed_estimate(self, worker_id: str) -> SpeedEstimate | None:
        """What is known of the speed of a worker; ``None`` where speeds are not learned."""
        return None if self._speeds is None else self._speeds.estimate(worker_id)

    def _restart_slow(self, run: Run, now: float) -> None:
        """Restart the gang of a run elsewhere if its worker makes it late and others would not."""
        members = self.members(run)
        slow_gang = self._slow_restarts.find(run, members, now)
        if slow_gang is None:
            return
        step = run.task.step
        room = self._planner.restart_places(step, members, slow_gang, now)
        if room is None:
            step.no_restart_room_s = now
            return
        step.slow_restarts += 1
        self._restarted_gangs += 1
        self.stop_group(run, StopReason.SLOW_WORKER)
        self._planner.reserve_for_restart(step, room, now)

    def run_ended(self, worker_id: str, end: EndedTask, now: float) -> None:
        """Record the end of a run as its worker reported it."""
        worker = self.workers[worker_id]
        run = worker.remove(TaskName.parse(end.task), end.run)
        if run is None:
            return
        if end.how is EndKind.DONE:
            worker.record_success(now)
            worker.note_proof(run)
            self._fault_attribution.record_success(worker_id)
        elif end.how is EndKind.FAILED:
            self._record_failure(worker, run, now)
        self._note_begun(run.task.step.occurrence, now)
        self._planner.run_ended(run, end.how, now)
        self._apply_assessment(self._crashes.run_ended(run, end.how, now))
        self._finish_run(run, end.how, end.saved or run.saved)
        if self._speeds is not None:
            self._speeds.observe_end(worker, run, end.how, now)

    def _record_failure(self, worker: Worker, run: Run, now: float) -> None:
        run.task.avoid.add(worker.worker_id)
        run.task.step.has_avoided_workers = True
        kind = failure_kind(run, now)
        count_failed_work(run, kind, now)
        self._attribute_failure(worker, run, kind, now)

    def _attribute_failure(self, worker: Worker, run: Run, kind: FailureKind, now: float) -> None:
        if run.task.name.job_id not in self.jobs:
            return
        at_fault = self._fault_attribution.record_failure(worker, run, kind, now)
        if at_fault and kind is not FailureKind.LATE:
            self._worker_preferences.add_faulty(worker, now)

    def _finish_run(self, run: Run, how: EndKind, saved: str) -> None:
        self._usage.remove(run)
        if self._demand is not None:
            self._demand.run_removed(run)
        task = run.task
        if task.run is not run:
            return
        task.clear_run()
        step = task.step
        occurrence = step.occurrence
        self._mark_changed(occurrence)
        if task.status is not TaskStatus.ASSIGNED:
            return
        if how is EndKind.DONE and not step.step.long_running:
            self._complete_task(task)
            return
        task.record.status = TaskStatus.WAITING
        if step.step.checkpoint and saved:
            self._save_checkpoint(task, saved)
        if self._crashes.is_out_of_starts(task):
            self._fail_out_of_starts(task)
        elif step.step.once and _has_begun(run, how) and not task.record.saved:
            self._fail_job(occurrence, FailureCause.ONCE)
        elif how is EndKind.FAILED:
            self._record_task_failure(task, run)
        elif step.step.gang:
            self._stop_step(step, StopReason.GANG_BROKEN)
        if occurrence.open:
            self._planner.requeue(step, ran=not run.never_began)

    def _fail_out_of_starts(self, task: Task) -> None:
        """Fail the job of a task that may crash its workers and has used up its starts."""
        if task.step.occurrence.open:
            self._findings.append(self._crashes.give_up_finding(task))
            self._fail_job(task.step.occurrence, FailureCause.CRASHES)

    def _save_checkpoint(self, task: Task, saved: str) -> None:
        tasks = task.step.tasks if task.step.step.gang else [task]
        for each in tasks:
            each.record.saved = saved

    def _complete_task(self, task: Task) -> None:
        step = task.step
        tasks = step.tasks if step.step.gang else [task]
        for each in tasks:
            if each.status is not TaskStatus.DONE:
                each.record.status = TaskStatus.DONE
                each.record.saved = ""
                step.done += 1
                step.occurrence.job.done_tasks += 1
        occurrence = step.occurrence
        if occurrence.status is OccurrenceStatus.OPEN and all(s.finished for s in occurrence.steps):
            occurrence.complete()
            self._changed_jobs[occurrence.job.job_id] = occurrence.job
        self._planner.step_finished(step)

    def _record_task_failure(self, task: Task, run: Run) -> None:
        step = task.step
        task.record.failures += 1
        failures = task.record.failures
        if step.step.gang:
            if run.number > step.record.failed_run:
                step.record.failed_run = run.number
                step.record.gang_failures += 1
            failures = step.record.gang_failures
            self._stop_step(step, StopReason.GANG_BROKEN)
        if step.step.long_running or failures < step.occurrence.job.accepted.attempts:
            return
        self._fail_job(step.occurrence, FailureCause.ATTEMPTS)

    def _fail_job(self, occurrence: Occurrence, cause: FailureCause) -> None:
        """Fail a job: none of its tasks starts again, and its runs are stopped.

        A job that is over keeps its state while its last runs end.
        """
        if not occurrence.open:
            return
        occurrence.fail(cause)
        self._crashes.forget_job(occurrence.job.job_id)
        self._mark_changed(occurrence)
        self._changed_jobs[occurrence.job.job_id] = occurrence.job
        for other in occurrence.job.occurrences:
            self._stop_all(other, StopReason.JOB_FAILED)

    def stop_run(self, run: Run, reason: StopReason, cause: str = "") -> None:
        """Order a run to stop. Its resources are free once its end is reported."""
        worker = self.workers.get(run.worker_id)
        if worker is None or (run.task.name, run.number) not in worker.runs:
            return
        if not run.stopping:
            run.stopping = True
            self._stops.append(Stop(run.worker_id, run.task.name, run.number, reason, cause))

    def stop_group(self, run: Run, reason: StopReason, cause: str = "") -> None:
        """Stop a run together with the other runs of its gang."""
        for member in self.members(run):
            self.stop_run(member, reason, cause)

    def preempt(self, run: Run, job: Job) -> None:
        """Preempt a run, and its gang, for a job that may reclaim the resources."""
        count_preemption(self.members(run))
        self.stop_group(run, StopReason.PREEMPTED, job.job_id)

    def members(self, run: Run) -> Sequence[Run]:
        """The runs that stop together with a run: those of its gang, or it alone."""
        step = run.task.step
        if not step.step.gang:
            return [run]
        return [task.run for task in step.tasks if task.run is not None]

    def is_worker_reachable(self, run: Run) -> bool:
        """Whether a run's worker is reachable."""
        worker = self.workers.get(run.worker_id)
        return worker is not None and worker.reachable

    def _stop_step(self, step: StepState, reason: StopReason) -> None:
        for task in step.tasks:
            if task.run is not None:
                self.stop_run(task.run, reason)

    def _stop_all(self, occurrence: Occurrence, reason: StopReason) -> None:
        for step in occurrence.steps:
            self._stop_step(step, reason)

    def plan(self, now: float, wall_ms: float) -> bool:
        """Run one planning round: decide what starts and what is preempted.

        :return: whether the round reached its limit, so that another may follow at once.
        """
        if self._speeds is not None:
            self._speeds.refresh(now)
        self._index.begin_round(now)
        self._crashes.tick(now)
        for run in runs_to_stop(self._index.leaving, self.members, now):
            self.stop_group(run, StopReason.WORKER_LEAVES)
        return self._planner.plan(now, wall_ms)

    def assign(self, task: Task, worker: Worker, number: int, now: float) -> None:
        """Assign a new run of a task to a worker.

        :param number: number of the run.
        """
        run = Run(task, number, worker.worker_id, task.step.step.allocation, assigned_s=now)
        run.address = worker.record.address
        task.set_run(run)
        task.record.status = TaskStatus.ASSIGNED
        task.record.run = number
        task.record.worker = worker.worker_id
        worker.add(run)
        self._count_run(run)
        self._crashes.count_start(task, 1)
        occurrence = task.step.occurrence
        self._mark_changed(occurrence)
        saved = task.record.saved if task.step.step.checkpoint else ""
        ticket = task.step.advice.ticket(worker.worker_id, now) or ""
        self._starts.append(Start(run, occurrence.job.accepted.request.payload, saved, ticket))

    def _count_run(self, run: Run) -> None:
        """Count a run in what its account and urgent work hold."""
        self._usage.add(run)
        if self._demand is not None:
            self._demand.run_added(run)

    def _mark_changed(self, occurrence: Occurrence) -> None:
        self._changed_occurrences[occurrence.key] = occurrence
        self._changed_jobs[occurrence.job.job_id] = occurrence.job
        unrecorded = self._begun_unrecorded.get(occurrence.job.job_id)
        if unrecorded is not None and unrecorded[0] is occurrence:
            del self._begun_unrecorded[occurrence.job.job_id]

    @property
    def has_changes(self) -> bool:
        """Whether :meth:`take_changes` would return anything."""
        orders = (
            self._findings or self._starts or self._stops or self._paces or self._advice_requests
        )
        return bool(orders or self._changed_occurrences or self._changed_jobs)

    def take_changes(self) -> Changes:
        """Return the changes since the last call."""
        changes = Changes(
            starts=self._starts,
            stops=self._stops,
            paces=self._paces,
            advice_requests=self._advice_requests,
            findings=self._findings,
            slow_restarts=self._restarted_gangs,
        )
        for key, occurrence in self._changed_occurrences.items():
            changes.records[key] = occurrence.to_record()
            occurrence.job.drop_settled(occurrence)
        changes.state_updates = [(job, job.state) for job in self._changed_jobs.values()]
        self._starts, self._stops, self._paces, self._advice_requests = [], [], [], []
        self._changed_occurrences, self._changed_jobs, self._findings = {}, {}, []
        self._restarted_gangs = 0
        return changes

    def pending(self, queue: str) -> int:
        """Number of accepted jobs of a queue of which no task has started.

        As clients see it: a job that has begun counts until that is in the store, so that no later
        leader counts it again.
        """
        return sum(
            1
            for job in self.jobs.values()
            if job.accepted.queue == queue and job.published_state is JobState.QUEUED
            if not job.over
        )


def _has_begun(run: Run, how: EndKind) -> bool:
    """Whether a run may have begun its work."""
    return not run.never_began and how is not EndKind.ALONE


def _unlisted_record(worker_id: str, address: str) -> WorkerRecord:
    return WorkerRecord(
        worker_id=worker_id,
        service="",
        address=address,
        data_hall="",
        draining=True,
        capacity=Resources(),
        labels=(),
        rack="",
    )
