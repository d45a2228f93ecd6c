"""A stand-in for an endpoint: a worker that grants leases and runs parts of gangs.

A part runs for the ``seconds`` in the job's payload (``{"seconds": 2}``; one second by
default), and the leader's output is a short text. The stand-in keeps its own history of
everything it started, against which tests check the invariants.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from saddlestack.codec import from_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import TaskGroup
from saddlestack.models import JobSpec
from saddlestack.platform.endpoint import (
    Command,
    CommandResult,
    CommandsBody,
    CommandsReply,
    Op,
    SyncBody,
    SyncReply,
    TaskState,
    TaskStatus,
    output_digest,
)
from saddlestack.wire.http import HttpServer, Request, Response, json_response

GRACE_S = 3.0
LEASE_CHECK_INTERVAL_S = 0.5
DEFAULT_RUN_S = 1.0
THROTTLED_RATE = 0.5
MAX_WAIT_S = 60.0
MAX_CONNECTIONS = 64

ACTIVE = frozenset({TaskState.PREPARED, TaskState.RUNNING})


class EndpointFaults(msgspec.Struct):
    """Faults to inject.

    :param delay_s: delay every response by this long.
    :param truncate: truncate this many outputs.
    :param cross: return this many outputs under another job's id.
    :param lose_answers: execute this many command batches without responding.
    """

    delay_s: float = 0.0
    truncate: int = 0
    cross: int = 0
    lose_answers: int = 0


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An event of a task, as recorded by the endpoint.

    :param at: the event loop's time, in seconds.
    :param event: ``prepare``, ``start``, ``lost`` or a final task state.
    :param parts: VMs of the whole gang.
    """

    at: float
    job: str
    attempt: int
    event: str
    run_once: bool
    accelerators: int
    parts: tuple[str, ...]
    resumed: bool = False


@dataclass
class _Task:
    spec: JobSpec
    attempt: int
    accelerators: int
    parts: tuple[str, ...]
    leader: bool
    state: TaskState = TaskState.PREPARED
    progress: float = 0.0
    began: float = 0.0
    rate: float = 1.0
    ever_started: bool = False
    resumed: bool = False
    output: str = ""
    sequence: int = 0
    timer: asyncio.TimerHandle | None = None
    changes: list[float] = field(default_factory=list)


class StandinEndpoint:
    """One worker: leases with terms, accelerators, slots, tasks and faults."""

    def __init__(
        self, name: str, accelerators: int = 8, slots: int = 8, grace_s: float = GRACE_S
    ) -> None:
        self.name = name
        self.accelerators = accelerators
        self.slots = slots
        self.faults = EndpointFaults()
        self.leaving = False
        self.history: list[HistoryEntry] = []
        self.on_event: Callable[[str, str], None] | None = None
        self.left_at: float | None = None
        self.incarnation = 1
        self.lost = False
        self._grace_s = grace_s
        self._tasks = TaskGroup(f"endpoint {name}")
        self.server = HttpServer(self.handle, max_connections=MAX_CONNECTIONS)
        self._address = ""
        self._reset()

    def _reset(self) -> None:
        self._holder = ""
        self._term = 0
        self._revision = 0
        self._lease_until = 0.0
        self._sequence = 0
        self._tasks_by_job: dict[str, _Task] = {}
        self._cancelled: dict[str, int] = {}
        self._changed = asyncio.Condition()

    async def start(self, address: str, port: int) -> None:
        """Serve on an address; port 0 picks a free port."""
        self._address = address
        await self.server.start(address, port)
        self._tasks.spawn(self._watch_lease())

    async def stop(self) -> None:
        """Stop serving."""
        self.lose()
        await self._tasks.cancel()
        await self.server.stop()

    def lose(self) -> None:
        """Simulate a crash: drop all tasks and close all connections."""
        self.lost = True
        for task in self._tasks_by_job.values():
            if task.timer is not None:
                task.timer.cancel()
            if task.state in ACTIVE:
                self._record_event(task, "lost")
        self._tasks_by_job.clear()
        self.server.abort()

    async def restart(self) -> None:
        """Restart under the same name on another port, without tasks or a lease."""
        self.incarnation += 1
        self._reset()
        self.leaving = False
        self.left_at = None
        self.lost = False
        self.server = HttpServer(self.handle, max_connections=MAX_CONNECTIONS)
        await self.server.start(self._address, 0)

    async def leave(self) -> None:
        """Announce that the endpoint leaves and takes no new work."""
        self.leaving = True
        self.left_at = self._now()
        self._sequence += 1
        await self._notify()

    @property
    def used(self) -> int:
        """Accelerators allocated to prepared or running tasks."""
        return sum(
            task.accelerators for task in self._tasks_by_job.values() if task.state in ACTIVE
        )

    def active(self) -> list[tuple[str, int, TaskState]]:
        """Prepared and running tasks: job, attempt, state."""
        return [(j, t.attempt, t.state) for j, t in self._tasks_by_job.items() if t.state in ACTIVE]

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if request.method == "POST" and request.path == "/v1/sync":
            return json_response(await self._sync(from_json(request.body, SyncBody)))
        if request.method == "POST" and request.path == "/v1/commands":
            reply = await self._command(from_json(request.body, CommandsBody))
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                await asyncio.sleep(3600)
            return json_response(reply)
        if request.method == "POST" and request.path == "/v1/faults":
            self.faults = from_json(request.body, EndpointFaults)
            return json_response(self.faults)
        if request.method == "POST" and request.path == "/v1/leave":
            await self.leave()
            return Response(204)
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no {request.method} {request.path}")

    async def _sync(self, body: SyncBody) -> SyncReply:
        self._grant(body)
        full = body.after < 0 or body.incarnation != self.incarnation
        if not full and body.after >= self._sequence:
            await self._wait_for_change(body)
            self._check_holder(body.holder, body.term)
        tasks = [t for t in self._tasks_by_job.values() if full or t.sequence > body.after]
        return SyncReply(
            incarnation=self.incarnation,
            sequence=self._sequence,
            term=self._term,
            leaving=self.leaving,
            full=full,
            tasks=tuple(self._status(task, full) for task in tasks),
        )

    def _grant(self, body: SyncBody) -> None:
        now = self._now()
        is_expired = now >= self._lease_until
        if body.term < self._term:
            raise SaddlestackError(ErrorKind.STALE_TERM, f"term {self._term} was already granted")
        if body.term == self._term and body.holder != self._holder and not is_expired:
            raise SaddlestackError(ErrorKind.STALE_TERM, f"leased to {self._holder}")
        if body.revision < self._revision:
            raise SaddlestackError(
                ErrorKind.STALE_REVISION, f"revision {self._revision} was already received"
            )
        changed = (body.holder, body.term) != (self._holder, self._term)
        self._holder, self._term, self._revision = body.holder, body.term, body.revision
        self._lease_until = now + body.lease_s
        if changed:
            self._tasks.spawn(self._notify())

    async def _wait_for_change(self, body: SyncBody) -> None:
        granted = (self._holder, self._term)
        try:
            async with asyncio.timeout(min(body.wait_s, MAX_WAIT_S)), self._changed:
                await self._changed.wait_for(
                    lambda: self._sequence > body.after or (self._holder, self._term) != granted
                )
        except TimeoutError:
            pass

    def _check_holder(self, holder: str, term: int) -> None:
        if (holder, term) != (self._holder, self._term):
            raise SaddlestackError(
                ErrorKind.STALE_TERM, f"leased to {self._holder} under term {self._term}"
            )

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now = self._now()
            if now >= self._lease_until:
                await self._expire_tasks(now >= self._lease_until + self._grace_s)

    async def _expire_tasks(self, is_grace_over: bool) -> None:
        for task in list(self._tasks_by_job.values()):
            if task.state is TaskState.PREPARED:
                self._end(task, TaskState.CANCELLED)
            elif task.state is TaskState.RUNNING and is_grace_over:
                self._end(task, TaskState.STOPPED)
        await self._notify()

    async def _command(self, body: CommandsBody) -> CommandsReply:
        self._check_holder(body.holder, body.term)
        if self._now() >= self._lease_until:
            raise SaddlestackError(ErrorKind.STALE_TERM, "the lease has expired")
        if body.revision < self._revision:
            raise SaddlestackError(
                ErrorKind.STALE_REVISION, f"revision {self._revision} was already received"
            )
        self._revision = body.revision
        results = tuple(self._execute(command) for command in body.commands)
        await self._notify()
        return CommandsReply(results)

    def _execute(self, command: Command) -> CommandResult:
        if command.op in {Op.PREPARE, Op.RUN}:
            result = self._prepare(command)
            if not result.ok or command.op is Op.PREPARE:
                return result
            return self._start(command)
        if command.op is Op.START:
            return self._start(command)
        if command.op is Op.ACK:
            return self._acknowledge(command)
        if command.op is Op.THROTTLE:
            return self._throttle(command)
        return self._cancel_or_stop(command)

    def _prepare(self, command: Command) -> CommandResult:
        task = self._tasks_by_job.get(command.job)
        if task is not None and task.attempt == command.attempt and task.state in ACTIVE:
            return CommandResult(ok=True, started=task.ever_started)
        if self._cancelled.get(command.job, 0) >= command.attempt:
            return CommandResult(ok=False, error=ErrorKind.CANCELLED.value)
        if task is not None and (task.attempt >= command.attempt or task.state in ACTIVE):
            return CommandResult(ok=False, error=ErrorKind.CONFLICT.value)
        used_slots = sum(1 for other in self._tasks_by_job.values() if other.state in ACTIVE)
        free = self.accelerators - self.used
        if self.leaving or free < command.accelerators or used_slots >= self.slots:
            return CommandResult(ok=False, error=ErrorKind.NO_ROOM.value)
        if command.spec is None:
            return CommandResult(ok=False, error=ErrorKind.INVALID.value)
        task = _Task(
            command.spec,
            command.attempt,
            command.accelerators,
            command.parts,
            command.leader,
            progress=command.progress,
            resumed=command.resume,
        )
        self._tasks_by_job[command.job] = task
        self._record_event(task, "prepare")
        self._bump_sequence(task)
        return CommandResult(ok=True)

    def _start(self, command: Command) -> CommandResult:
        task = self._tasks_by_job.get(command.job)
        if task is None or task.attempt != command.attempt:
            return CommandResult(ok=False, error=ErrorKind.NOT_FOUND.value)
        if task.ever_started:
            return CommandResult(ok=True, started=True)
        if task.state is not TaskState.PREPARED:
            return CommandResult(ok=False, error=ErrorKind.CANCELLED.value)
        task.state = TaskState.RUNNING
        task.ever_started = True
        task.began = self._now()
        self._record_event(task, "start")
        self._set_timer(task)
        self._bump_sequence(task)
        return CommandResult(ok=True, started=True)

    def _cancel_or_stop(self, command: Command) -> CommandResult:
        self._cancelled[command.job] = max(self._cancelled.get(command.job, 0), command.attempt)
        task = self._tasks_by_job.get(command.job)
        if task is None or task.attempt != command.attempt:
            return CommandResult(ok=True)
        if task.state is TaskState.PREPARED:
            self._end(task, TaskState.CANCELLED)
        elif task.state is TaskState.RUNNING and command.op is Op.CHECKPOINT:
            task.progress = self._progress(task)
            self._end(task, TaskState.CHECKPOINTED)
        elif task.state is TaskState.RUNNING and command.op is Op.STOP:
            self._end(task, TaskState.STOPPED)
        is_saved = command.op is not Op.CHECKPOINT or task.state is TaskState.CHECKPOINTED
        ended = task.state in {TaskState.STOPPED, TaskState.CHECKPOINTED}
        return CommandResult(
            ok=not task.ever_started or (ended and is_saved),
            started=task.ever_started,
            progress=task.progress,
        )

    def _acknowledge(self, command: Command) -> CommandResult:
        task = self._tasks_by_job.get(command.job)
        if task is not None and task.attempt <= command.attempt and task.state not in ACTIVE:
            del self._tasks_by_job[command.job]
        return CommandResult(ok=True)

    def _throttle(self, command: Command) -> CommandResult:
        task = self._tasks_by_job.get(command.job)
        if task is None or task.state is not TaskState.RUNNING:
            return CommandResult(ok=False, error=ErrorKind.NOT_FOUND.value)
        task.progress = self._progress(task)
        task.began = self._now()
        task.rate = THROTTLED_RATE
        self._set_timer(task)
        return CommandResult(ok=True, started=True, progress=task.progress)

    def _set_timer(self, task: _Task) -> None:
        if task.timer is not None:
            task.timer.cancel()
        remaining_s = max(0.0, _run_duration_s(task.spec) - task.progress) / task.rate
        task.timer = asyncio.get_running_loop().call_later(remaining_s, self._finish, task)

    def _finish(self, task: _Task) -> None:
        if (
            self._tasks_by_job.get(task.spec.job_id) is not task
            or task.state is not TaskState.RUNNING
        ):
            return
        if task.leader:
            task.output = f"{task.spec.job_id} done on {', '.join(task.parts)}"
        self._end(task, TaskState.DONE)
        self._tasks.spawn(self._notify())

    def _end(self, task: _Task, state: TaskState) -> None:
        if task.timer is not None:
            task.timer.cancel()
        task.state = state
        self._record_event(task, state.value)
        self._bump_sequence(task)

    def _progress(self, task: _Task) -> float:
        return task.progress + (self._now() - task.began) * task.rate

    def _status(self, task: _Task, full: bool) -> TaskStatus:
        output, job = self._faulty_output(task)
        return TaskStatus(
            job=task.spec.job_id,
            attempt=task.attempt,
            state=task.state,
            accelerators=task.accelerators,
            started=task.ever_started,
            progress=self._progress(task) if task.state is TaskState.RUNNING else task.progress,
            output=output,
            length=len(task.output.encode()),
            digest=output_digest(job, task.attempt, task.output) if task.output else "",
            spec=task.spec if full else None,
            parts=task.parts if full else (),
        )

    def _faulty_output(self, task: _Task) -> tuple[str, str]:
        """Return the output and the job for its digest, with pending faults applied."""
        if not task.output:
            return "", task.spec.job_id
        if self.faults.truncate > 0:
            self.faults.truncate -= 1
            return task.output[: len(task.output) // 2], task.spec.job_id
        if self.faults.cross > 0:
            self.faults.cross -= 1
            return task.output, "another/job"
        return task.output, task.spec.job_id

    def _bump_sequence(self, task: _Task) -> None:
        self._sequence += 1
        task.sequence = self._sequence

    def _record_event(self, task: _Task, event: str) -> None:
        self.history.append(
            HistoryEntry(
                self._now(),
                task.spec.job_id,
                task.attempt,
                event,
                task.spec.run_once,
                task.accelerators,
                task.parts,
                task.resumed,
            )
        )
        if self.on_event is not None:
            self.on_event(event, task.spec.job_id)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _run_duration_s(spec: JobSpec) -> float:
    try:
        payload = json.loads(spec.payload or "{}")
        return max(0.0, float(payload["seconds"]))
    except (ValueError, KeyError, TypeError):
        return DEFAULT_RUN_S
