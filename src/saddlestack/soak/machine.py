"""A worker's machine: one loopback address, successive incarnations, and their faults."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from saddlestack.interfaces.incarnations import incarnation_name, started_ms_of, worker_id_of
from saddlestack.interfaces.workers import StartOrder, StartReply, WorkerReport, WorkerUnreachable
from saddlestack.kernel.service import TaskGroup
from saddlestack.platform.handlers import WorkerHandler
from saddlestack.soak.call_faults import CALL_KINDS, CallFault, CallFaults
from saddlestack.soak.messages import (
    AnswerErrors,
    Command,
    Crash,
    CutFromStore,
    CutFromVms,
    CutOff,
    DelayOrders,
    ErrorAnswer,
    GangEnded,
    GangMoved,
    Hang,
    Heal,
    LastingCommand,
    Leave,
    LifeAnnounced,
    LoseAnswers,
    MachineSettings,
    Resize,
    RewriteRecord,
    SetTimeFactor,
    TaskFault,
    TroubleTasks,
)
from saddlestack.soak.recording import RecordWriter
from saddlestack.soak.shape import ShapeTimes
from saddlestack.soak.worker_incarnation import Arrival, Notify, WorkerIncarnation
from saddlestack.wire.http import HttpClient, HttpServer, Request, Response
from saddlestack.work import TaskName

CRASH_RESTART_DELAY_S = (1.0, 5.0)
"""Delay until the next incarnation after a task has crashed the worker."""
UNANSWERED_S = 30.0
"""Time after which the connection of an unanswered call is closed."""


class _Fence(msgspec.Struct):
    fence: int = 0


@dataclass(frozen=True, slots=True)
class HostContext:
    """What all machines of a host share.

    :param store: client of the store.
    :param notify: called with each event.
    :param count_call: called once per incoming call.
    """

    times: ShapeTimes
    service: str
    store: HttpClient
    notify: Notify
    count_call: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _CallHandler:
    """Passes a call to an incarnation: see :class:`saddlestack.platform.handlers.ServedWorker`."""

    incarnation: WorkerIncarnation
    arrival: Arrival

    @property
    def worker_id(self) -> str:
        return worker_id_of(self.incarnation.worker_id)

    @property
    def started_ms(self) -> int:
        return started_ms_of(self.incarnation.worker_id)

    def clock_ms(self) -> int:
        return self.incarnation.clock_ms()

    def start(self, order: StartOrder) -> StartReply:
        return self.incarnation.start(order, self.arrival)

    def stop(self, task: str, run: int, fence: int) -> None:
        self.incarnation.stop(task, run, fence, self.arrival)

    def pace(self, task: str, run: int, percent: int, fence: int) -> None:
        self.incarnation.pace(task, run, percent, fence)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float
    ) -> WorkerReport:
        return await self.incarnation.hold(fence, deadline_ms, seen, wait_s)


class Machine:
    """One machine with a worker.

    :ivar incarnation: the current incarnation of the worker, or ``None`` while it is down.
    """

    def __init__(self, settings: MachineSettings, context: HostContext, rng: random.Random) -> None:
        self._settings = settings
        self._context = context
        self._rng = rng
        self._call_faults = CallFaults(rng)
        self._tasks = TaskGroup(settings.name)
        self._server = HttpServer(self._handle)
        self._port = 0
        self._incarnation_numbers = itertools.count(1)
        self._started_ms = 0
        self._record: RecordWriter | None = None
        self._record_task: asyncio.Task[None] | None = None
        self._tasks_faulty_until_s = 0.0
        self._store_cut_until_s = 0.0
        self._is_draining = False
        self._is_silent = False
        self._fault_speed = 1.0
        self._time_factor = settings.time_factor
        self._restart_lock = asyncio.Lock()
        self.incarnation: WorkerIncarnation | None = None

    @property
    def address(self) -> str:
        """The host and port on which the worker serves."""
        return f"{self._settings.address}:{self._port}"

    async def start(self) -> None:
        """Serve, and begin the first incarnation."""
        await self._server.start(self._settings.address, 0)
        self._port = self._server.port
        self._begin_incarnation()

    async def stop(self) -> None:
        """Stop the server and all tasks."""
        await self._tasks.cancel()
        await self._server.stop()

    def apply(self, command: Command) -> None:
        """Apply a command to the machine."""
        if isinstance(command, Heal):
            self._heal_all()
        elif isinstance(command, Leave):
            self._spawn(self._shut_down(command))
        elif isinstance(command, Crash):
            self._spawn(self._crash(command))
        elif isinstance(command, Resize):
            self._resize(command)
        elif isinstance(command, SetTimeFactor):
            self._time_factor = command.factor
            self._set_fault_speed(self._fault_speed)
        elif isinstance(command, RewriteRecord):
            if self._record is not None:
                self._spawn(self._record.rewrite(command.how))
        elif isinstance(command, TroubleTasks):
            self._spawn(self._apply_task_fault(command))
        elif isinstance(command, CutFromStore):
            self._cut_from_store(command.seconds)
        elif isinstance(command, CutOff):
            self._cut_from_store(command.seconds)
            self._call_faults.add(CutFromVms(machines=command.machines, seconds=command.seconds))
        elif isinstance(command, LastingCommand):
            self._call_faults.add(command)

    def gang_moved(self, moved: GangMoved) -> None:
        """Pass on that a gang became complete or changed its rate."""
        if self.incarnation is not None:
            self.incarnation.gang_moved(moved)

    def gang_ended(self, ended: GangEnded) -> None:
        """Pass on the end of a gang that was complete."""
        if self.incarnation is not None:
            self.incarnation.gang_ended(ended)

    def _begin_incarnation(self) -> None:
        context = self._context
        incarnation = WorkerIncarnation(
            self._next_name(), self._settings, context.times, self._rng, context.notify
        )
        self.incarnation = incarnation
        incarnation.on_crash = self._crash_by_task
        self._set_fault_speed(1.0)
        self._is_draining = False
        self._record = RecordWriter(
            context.store,
            incarnation,
            self.address,
            context.service,
            self._rng,
            self._store_cut_until_s,
        )
        self._record_task = self._tasks.spawn(self._record.run())

    def _next_name(self) -> str:
        """Return the name of an incarnation that begins now."""
        if not self._settings.births:
            return f"i-{self._settings.name}-{next(self._incarnation_numbers)}"
        self._started_ms = max(self._started_ms + 1, time.time_ns() // 1_000_000)
        return incarnation_name(f"i-{self._settings.name}", self._started_ms)

    def _crash_by_task(self, task: TaskName) -> None:
        """Crash the worker on behalf of a task; a new incarnation begins some seconds later."""
        back_s = self._rng.uniform(*CRASH_RESTART_DELAY_S)
        crash = Crash(machines=(self._settings.name,), back_s=back_s)
        self._spawn(self._crash(crash, str(task)))

    def _end_incarnation(self, *, crashed: bool, by: str = "") -> None:
        if self.incarnation is not None:
            self.incarnation.end(crashed=crashed, by=by)
            self.incarnation = None
        if self._record is not None:
            self._record.close()
        if self._record_task is not None:
            self._record_task.cancel()

    async def _shut_down(self, command: Leave) -> None:
        incarnation, record = self.incarnation, self._record
        if incarnation is None or record is None or self._is_draining:
            return
        self._is_draining = True
        if command.announced:
            accepted_s = await record.announce(command.notice_s)
            if self.incarnation is not incarnation:
                return
            self._context.notify(LifeAnnounced(incarnation.worker_id, accepted_s, command.notice_s))
        else:
            await record.remove()
        await asyncio.sleep(command.notice_s)
        if command.record_first:
            self._spawn(self._remove(record))
        await asyncio.sleep(command.linger_s)
        if self.incarnation is not incarnation:
            return
        self._end_incarnation(crashed=False)
        self._server.abort()
        await record.remove()
        await self._restart_after(command.back_s)

    async def _crash(self, command: Crash, by: str = "") -> None:
        incarnation, record = self.incarnation, self._record
        if incarnation is None or record is None:
            return
        self._is_silent = command.silent
        self._end_incarnation(crashed=True, by=by)
        if not command.silent:
            self._server.abort()
        if command.removed:
            self._spawn(self._remove(record))
        await self._restart_after(command.back_s)

    def _resize(self, command: Resize) -> None:
        if self.incarnation is not None:
            self.incarnation.resize(command.accelerators)

    async def _remove(self, record: RecordWriter) -> None:
        await record.remove()

    async def _restart_after(self, back_s: float | None) -> None:
        """Begin a new incarnation at the same address after a delay; ``None`` for never."""
        if back_s is None:
            return
        await asyncio.sleep(back_s)
        async with self._restart_lock:
            if self.incarnation is not None:
                return
            self._server.abort()
            self._server = HttpServer(self._handle)
            await self._server.start(self._settings.address, self._port)
            self._is_silent = False
            self._begin_incarnation()

    def _cut_from_store(self, seconds: float) -> None:
        self._store_cut_until_s = _now() + seconds
        if self._record is not None:
            self._record.cut_until_s = self._store_cut_until_s

    def _heal_all(self) -> None:
        self._call_faults.clear()
        self._store_cut_until_s = 0.0
        if self._record is not None:
            self._record.cut_until_s = 0.0
        self._tasks_faulty_until_s = 0.0
        self._heal_tasks()
        if self.incarnation is None:
            self._spawn(self._restart_after(0.0))

    async def _apply_task_fault(self, command: TroubleTasks) -> None:
        incarnation = self.incarnation
        if incarnation is None:
            return
        self._tasks_faulty_until_s = _now() + command.seconds
        if command.how is TaskFault.FAIL:
            incarnation.fails_new_runs = True
        else:
            is_stuck = command.how is TaskFault.STUCK
            self._set_fault_speed(0.0 if is_stuck else 1.0 / command.factor)
        await asyncio.sleep(command.seconds)
        if _now() >= self._tasks_faulty_until_s:
            self._heal_tasks()

    def _heal_tasks(self) -> None:
        if self.incarnation is not None:
            self.incarnation.fails_new_runs = False
        self._set_fault_speed(1.0)

    def _set_fault_speed(self, speed: float) -> None:
        """Set how much a fault slows the machine's work down, beside its time factor."""
        self._fault_speed = speed
        if self.incarnation is not None:
            self.incarnation.set_speed(speed / self._time_factor)

    async def _handle(self, request: Request) -> Response:
        self._context.count_call()
        arrived_s = _now()
        fence = _fence_of(request)
        was_held = await self._call_faults.wait_for_request(fence)
        fault = self._call_faults.draw_fault(CALL_KINDS.get(request.path))
        if fault is not None:
            return await self._handle_faulty(fault, request, arrived_s)
        response = await self._carry_out(request, Arrival(arrived_s, late=was_held))
        await self._call_faults.wait_for_answer(fence)
        return response

    async def _handle_faulty(
        self, fault: CallFault, request: Request, arrived_s: float
    ) -> Response:
        """Handle a call that a fault affects."""
        if isinstance(fault, AnswerErrors):
            if fault.answer is ErrorAnswer.RESET:
                raise asyncio.CancelledError
            return Response(fault.answer.value)
        if isinstance(fault, DelayOrders):
            after_s = self._rng.uniform(fault.least_s, fault.longest_s)
            self._spawn(self._carry_out_after(request, arrived_s, after_s))
        elif isinstance(fault, LoseAnswers):
            self._spawn(self._discard_answer(self._carry_out(request, Arrival(arrived_s))))
            if self._rng.random() < fault.reset_share:
                raise asyncio.CancelledError
        else:
            assert isinstance(fault, Hang)
        return await _never_answer()

    async def _carry_out(self, request: Request, arrival: Arrival) -> Response:
        incarnation = self.incarnation
        if incarnation is None:
            return await _never_answer()
        try:
            return await WorkerHandler(_CallHandler(incarnation, arrival)).handle(request)
        except WorkerUnreachable:
            if self._is_silent:
                return await _never_answer()
            raise asyncio.CancelledError from None

    async def _carry_out_after(self, request: Request, arrived_s: float, after_s: float) -> None:
        incarnation = self.incarnation
        await asyncio.sleep(after_s)
        if incarnation is not None and self.incarnation is incarnation:
            await self._discard_answer(self._carry_out(request, Arrival(arrived_s, late=True)))

    async def _discard_answer(self, work: Awaitable[Response]) -> None:
        """Carry out a call and discard its answer."""
        await work

    def _spawn(self, work: Awaitable[None]) -> None:
        async def do() -> None:
            await work

        self._tasks.spawn(do())


async def _never_answer() -> Response:
    """Never answer; the connection is closed after a while.

    A handler that is cancelled ends its connection without an answer.
    """
    await asyncio.sleep(UNANSWERED_S)
    raise asyncio.CancelledError


def _fence_of(request: Request) -> int:
    try:
        return msgspec.json.decode(request.body, type=_Fence).fence
    except msgspec.DecodeError:
        return 0


def _now() -> float:
    return asyncio.get_running_loop().time()
