"""Base classes of services, which own their tasks and communicate by messages."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.clock import Clock

log = logging.getLogger("saddlestack")

M = TypeVar("M")
MAILBOX_SIZE = 10_000
RETRY_AFTER_FULL_S = 1.0


class TaskGroup:
    """Tasks that belong to one owner and end with it."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: set[asyncio.Task[Any]] = set()
        self._cancelled = False

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task; an exception is logged.

        :raises asyncio.CancelledError: the group has been cancelled.
        """
        if self._cancelled:
            work.close()
            raise asyncio.CancelledError
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended; none can be spawned afterwards."""
        self._cancelled = True
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def __len__(self) -> int:
        return len(self._tasks)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error(
                "task failed",
                extra={"event": "task_failed", "service": self._name},
                exc_info=error,
            )


class Service:
    """A named part of a daemon, with its own tasks."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.tasks = TaskGroup(name)

    async def start(self) -> None:
        """Starts the service."""

    async def stop(self) -> None:
        """Stops the service and all its tasks."""
        await self.tasks.cancel()


class Mailbox(Generic[M]):
    """A bounded queue of messages, read by one task."""

    def __init__(self, size: int = MAILBOX_SIZE) -> None:
        self._queue: asyncio.Queue[M] = asyncio.Queue(size)

    def put(self, message: M) -> None:
        """Adds a message.

        :raises SaddlestackError: the mailbox is full; the message was not added.
        """
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            raise SaddlestackError(
                ErrorKind.QUEUE_FULL,
                "too many messages are waiting",
                retry_after=RETRY_AFTER_FULL_S,
            ) from None

    async def get(self) -> M:
        """Waits for the next message."""
        return await self._queue.get()

    def get_nowait(self) -> M | None:
        """Returns the next message, or ``None`` if there is none yet."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None

    def __len__(self) -> int:
        return self._queue.qsize()
