"""A worker's machine: one loopback address, one life after the other, and the troubles of both."""

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
from saddlestack.platform.serving import WorkerServing
from saddlestack.soak.life import Arrival, Notify, WorkerIncarnation
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
    TaskFault,
    TroubleTasks,
)
from saddlestack.soak.recording import RecordWriter
from saddlestack.soak.shape import ShapeTimes
from saddlestack.soak.troubles import KINDS, Troubles, WayTrouble
from saddlestack.wire.http import HttpClient, HttpServer, Request, Response
from saddlestack.work import TaskName

CRASHED_BACK_S = (1.0, 5.0)
"""After a crash under a task another life comes."""
SILENCE_S = 30.0
"""A call that is never answered keeps its connection for so long."""


class _Fence(msgspec.Struct):
    fence: int = 0


@dataclass(frozen=True, slots=True)
class HostContext:
    """What all machines of a host share.

    :param store: the way to the store.
    :param notify: told of all that happens.
    :param count_call: told of each call.
    """

    times: ShapeTimes
    service: str
    store: HttpClient
    notify: Notify
    count_call: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Desk:
    """One call's way to a life: see :class:`saddlestack.platform.serving.WorkerDesk`."""

    incarnation: WorkerIncarnation
    arrival: Arrival

    @property
    def worker_id(self) -> str:
        return worker_id_of(self.incarnation.worker_id)

    @property
    def born(self) -> int:
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

    :ivar incarnation: the present life, or ``None`` while there is none.
    """

    def __init__(
        self, settings: MachineSettings, surroundings: HostContext, rng: random.Random
    ) -> None:
        self._settings = settings
        self._surroundings = surroundings
        self._rng = rng
        self._troubles = Troubles(rng)
        self._tasks = TaskGroup(settings.name)
        self._server = HttpServer(self._handle)
        self._port = 0
        self._lives = itertools.count(1)
        self._born_ms = 0
        self._record: RecordWriter | None = None
        self._writing: asyncio.Task[None] | None = None
        self._tasks_heal_s = 0.0
        self._store_cut_until_s = 0.0
        self._leaving = False
        self._silent = False
        self._returning = asyncio.Lock()
        self.incarnation: WorkerIncarnation | None = None

    @property
    def address(self) -> str:
        """Where it serves."""
        return f"{self._settings.address}:{self._port}"

    async def start(self) -> None:
        """Serve, and begin a first life."""
        await self._server.start(self._settings.address, 0)
        self._port = self._server.port
        self._begin_life()

    async def stop(self) -> None:
        """End everything."""
        await self._tasks.cancel()
        await self._server.stop()

    def apply(self, command: Command) -> None:
        """Something befalls the machine."""
        if isinstance(command, Heal):
            self._heal()
        elif isinstance(command, Leave):
            self._spawn(self._leave(command))
        elif isinstance(command, Crash):
            self._spawn(self._crash(command))
        elif isinstance(command, Resize):
            self._resize(command)
        elif isinstance(command, RewriteRecord):
            if self._record is not None:
                self._spawn(self._record.rewrite(command.how))
        elif isinstance(command, TroubleTasks):
            self._spawn(self._trouble_tasks(command))
        elif isinstance(command, CutFromStore):
            self._cut_from_store(command.seconds)
        elif isinstance(command, CutOff):
            self._cut_from_store(command.seconds)
            self._troubles.add(CutFromVms(machines=command.machines, seconds=command.seconds))
        elif isinstance(command, LastingCommand):
            self._troubles.add(command)

    def gang_moved(self, moved: GangMoved) -> None:
        """A gang is whole, or works at another rate."""
        if self.incarnation is not None:
            self.incarnation.gang_moved(moved)

    def gang_ended(self, ended: GangEnded) -> None:
        """A gang that was whole is over."""
        if self.incarnation is not None:
            self.incarnation.gang_ended(ended)

    # Lives

    def _begin_life(self) -> None:
        where = self._surroundings
        incarnation = WorkerIncarnation(
            self._next_life(), self._settings, where.times, self._rng, where.notify
        )
        self.incarnation = incarnation
        incarnation.on_crash = self._crash_under
        self._leaving = False
        self._record = RecordWriter(
            where.store,
            incarnation,
            self.address,
            where.service,
            self._rng,
            self._store_cut_until_s,
        )
        self._writing = self._tasks.spawn(self._record.run())

    def _next_life(self) -> str:
        """The name of a life that begins now."""
        if not self._settings.births:
            return f"i-{self._settings.name}-{next(self._lives)}"
        self._born_ms = max(self._born_ms + 1, time.time_ns() // 1_000_000)
        return incarnation_name(f"i-{self._settings.name}", self._born_ms)

    def _crash_under(self, task: TaskName) -> None:
        """A task crashes the worker; another life comes after some seconds."""
        back_s = self._rng.uniform(*CRASHED_BACK_S)
        crash = Crash(machines=(self._settings.name,), back_s=back_s)
        self._spawn(self._crash(crash, str(task)))

    def _end_life(self, *, crashed: bool, by: str = "") -> None:
        if self.incarnation is not None:
            self.incarnation.end(crashed=crashed, by=by)
            self.incarnation = None
        if self._record is not None:
            self._record.close()
        if self._writing is not None:
            self._writing.cancel()

    async def _leave(self, command: Leave) -> None:
        incarnation, record = self.incarnation, self._record
        if incarnation is None or record is None or self._leaving:
            return
        self._leaving = True
        if command.announced:
            accepted_s = await record.announce(command.notice_s)
            if self.incarnation is not incarnation:
                return
            self._surroundings.notify(
                LifeAnnounced(incarnation.worker_id, accepted_s, command.notice_s)
            )
        else:
            await record.remove()
        await asyncio.sleep(command.notice_s)
        if command.record_first:
            self._spawn(self._remove(record))
        await asyncio.sleep(command.linger_s)
        if self.incarnation is not incarnation:
            return
        self._end_life(crashed=False)
        self._server.abort()
        await record.remove()
        await self._return(command.back_s)

    async def _crash(self, command: Crash, by: str = "") -> None:
        incarnation, record = self.incarnation, self._record
        if incarnation is None or record is None:
            return
        self._silent = command.silent
        self._end_life(crashed=True, by=by)
        if not command.silent:
            self._server.abort()
        if command.removed:
            self._spawn(self._remove(record))
        await self._return(command.back_s)

    def _resize(self, command: Resize) -> None:
        if self.incarnation is not None:
            self.incarnation.resize(command.accelerators)

    async def _remove(self, record: RecordWriter) -> None:
        await record.remove()

    async def _return(self, back_s: float | None) -> None:
        """Begin a new life at the same address after a while."""
        if back_s is None:
            return
        await asyncio.sleep(back_s)
        async with self._returning:
            if self.incarnation is not None:
                return
            self._server.abort()
            self._server = HttpServer(self._handle)
            await self._server.start(self._settings.address, self._port)
            self._silent = False
            self._begin_life()

    def _cut_from_store(self, seconds: float) -> None:
        self._store_cut_until_s = _now() + seconds
        if self._record is not None:
            self._record.cut_until_s = self._store_cut_until_s

    def _heal(self) -> None:
        self._troubles.clear()
        self._store_cut_until_s = 0.0
        if self._record is not None:
            self._record.cut_until_s = 0.0
        self._tasks_heal_s = 0.0
        self._heal_tasks()
        if self.incarnation is None:
            self._spawn(self._return(0.0))

    # Tasks

    async def _trouble_tasks(self, command: TroubleTasks) -> None:
        incarnation = self.incarnation
        if incarnation is None:
            return
        self._tasks_heal_s = _now() + command.seconds
        if command.how is TaskFault.FAIL:
            incarnation.fails_new_runs = True
        else:
            stands = command.how is TaskFault.STUCK
            incarnation.set_speed(0.0 if stands else 1.0 / command.factor)
        await asyncio.sleep(command.seconds)
        if _now() >= self._tasks_heal_s:
            self._heal_tasks()

    def _heal_tasks(self) -> None:
        if self.incarnation is not None:
            self.incarnation.fails_new_runs = False
            self.incarnation.set_speed(1.0)

    # Calls

    async def _handle(self, request: Request) -> Response:
        self._surroundings.count_call()
        arrived_s = _now()
        fence = _fence_of(request)
        held_up = await self._troubles.pass_request(fence)
        trouble = self._troubles.of_call(KINDS.get(request.path))
        if trouble is not None:
            return await self._through(trouble, request, arrived_s)
        response = await self._carry_out(request, Arrival(arrived_s, late=held_up))
        await self._troubles.pass_answer(fence)
        return response

    async def _through(self, trouble: WayTrouble, request: Request, arrived_s: float) -> Response:
        """A call that something befalls."""
        if isinstance(trouble, AnswerErrors):
            if trouble.answer is ErrorAnswer.RESET:
                raise asyncio.CancelledError
            return Response(trouble.answer.value)
        if isinstance(trouble, DelayOrders):
            after_s = self._rng.uniform(trouble.least_s, trouble.longest_s)
            self._spawn(self._carry_out_late(request, arrived_s, after_s))
        elif isinstance(trouble, LoseAnswers):
            self._spawn(self._quietly(self._carry_out(request, Arrival(arrived_s))))
            if self._rng.random() < trouble.reset_share:
                raise asyncio.CancelledError
        else:
            assert isinstance(trouble, Hang)
        return await _silence()

    async def _carry_out(self, request: Request, arrival: Arrival) -> Response:
        incarnation = self.incarnation
        if incarnation is None:
            return await _silence()
        try:
            return await WorkerServing(_Desk(incarnation, arrival)).handle(request)
        except WorkerUnreachable:
            if self._silent:
                return await _silence()
            raise asyncio.CancelledError from None

    async def _carry_out_late(self, request: Request, arrived_s: float, after_s: float) -> None:
        incarnation = self.incarnation
        await asyncio.sleep(after_s)
        if incarnation is not None and self.incarnation is incarnation:
            await self._quietly(self._carry_out(request, Arrival(arrived_s, late=True)))

    async def _quietly(self, work: Awaitable[Response]) -> None:
        """Carry out a call that nobody hears the answer of."""
        await work

    def _spawn(self, work: Awaitable[None]) -> None:
        async def do() -> None:
            await work

        self._tasks.spawn(do())


async def _silence() -> Response:
    """Never answer; the connection is closed in the end.

    A handler that is cancelled ends its connection without an answer.
    """
    await asyncio.sleep(SILENCE_S)
    raise asyncio.CancelledError


def _fence_of(request: Request) -> int:
    try:
        return msgspec.json.decode(request.body, type=_Fence).fence
    except msgspec.DecodeError:
        return 0


def _now() -> float:
    return asyncio.get_running_loop().time()
