"""Simulated processes of daemons in one test process, which can be frozen and killed.

Every task of a daemon runs through :func:`_drive`. While its :class:`Process` is frozen none
of its tasks takes a step, as after SIGSTOP; data that arrives meanwhile stays in buffers.
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
    """Simulates the operating-system process of one daemon."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.dead = False
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._tasks: WeakSet[asyncio.Task[Any]] = WeakSet()

    def freeze(self) -> None:
        """Suspend all tasks of the daemon."""
        self.frozen = True
        self._thawed.clear()

    def thaw(self) -> None:
        """Resume all tasks of the daemon."""
        self.frozen = False
        self._thawed.set()

    def kill(self) -> None:
        """Suspend all tasks of the daemon for good."""
        self.dead = True
        self.freeze()

    def add_task(self, task: asyncio.Task[Any]) -> None:
        """Register a task of the daemon."""
        self._tasks.add(task)

    async def cancel_tasks(self) -> None:
        """Cancel the remaining tasks of a killed process and wait for them."""
        tasks = [task for task in self._tasks if not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_thawed(self) -> None:
        """Wait until the process is not frozen."""
        await self._thawed.wait()


def install(loop: asyncio.AbstractEventLoop) -> None:
    """Set a task factory that assigns new tasks to the :data:`current` process."""
    loop.set_task_factory(_make_task)


def _make_task(loop: asyncio.AbstractEventLoop, work: Any, **options: Any) -> asyncio.Task[Any]:
    process = current.get()
    if process is None:
        return asyncio.Task(work, loop=loop, **options)
    task: asyncio.Task[Any] = asyncio.Task(_drive(work, process), loop=loop, **options)
    process.add_task(task)
    return task


@types.coroutine
def _drive(work: Coroutine[Any, Any, Any], process: Process) -> Generator[Any, Any, Any]:
    error: BaseException | None = None
    while True:
        while process.frozen:
            try:
                yield from process.wait_until_thawed().__await__()
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
