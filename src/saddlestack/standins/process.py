"""Daemons of one test process that can be frozen, resumed and killed one by one.

Every task of a daemon is stepped through :func:`_drive`. While its :class:`Process` is
frozen no task of it takes a step, as under SIGSTOP; what arrives meanwhile waits in buffers.
"""

from __future__ import annotations

import asyncio
import types
from collections.abc import Coroutine, Generator
from contextvars import ContextVar
from typing import Any
from weakref import WeakSet

current: ContextVar[Process | None] = ContextVar("saddlestack_process", default=None)


class Process:
    """Stands for the operating-system process of one daemon."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.dead = False
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._tasks: WeakSet[asyncio.Task[Any]] = WeakSet()

    def freeze(self) -> None:
        """Let no task of the daemon take a step."""
        self.frozen = True
        self._thawed.clear()

    def thaw(self) -> None:
        """Let the tasks go on as if nothing had happened."""
        self.frozen = False
        self._thawed.set()

    def kill(self) -> None:
        """Let no task of the daemon take a step ever again."""
        self.dead = True
        self.freeze()

    def started(self, task: asyncio.Task[Any]) -> None:
        """Note a task of the daemon."""
        self._tasks.add(task)

    async def cancel_tasks(self) -> None:
        """Take the tasks of a killed process out of the loop."""
        tasks = [task for task in self._tasks if not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def thawed(self) -> None:
        """Wait until the process may go on."""
        await self._thawed.wait()


def install(loop: asyncio.AbstractEventLoop) -> None:
    """Step the tasks of processes through this module from now on."""
    loop.set_task_factory(_make_task)


def _make_task(loop: asyncio.AbstractEventLoop, work: Any, **options: Any) -> asyncio.Task[Any]:
    process = current.get()
    if process is None:
        return asyncio.Task(work, loop=loop, **options)
    task: asyncio.Task[Any] = asyncio.Task(_drive(work, process), loop=loop, **options)
    process.started(task)
    return task


@types.coroutine
def _drive(work: Coroutine[Any, Any, Any], process: Process) -> Generator[Any, Any, Any]:
    error: BaseException | None = None
    while True:
        while process.frozen:
            try:
                yield from process.thawed().__await__()
            except BaseException as thrown:
                error = thrown
                if process.dead:
                    raise
        try:
            awaited = work.send(None) if error is None else work.throw(error)
        except StopIteration as stop:
            return stop.value
        error = None
        try:
            yield awaited
        except BaseException as thrown:
            error = thrown
            if process.dead:
                raise asyncio.CancelledError from None
