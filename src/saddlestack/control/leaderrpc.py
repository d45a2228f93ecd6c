"""Questions that only the leader's scheduler answers, asked from any VM."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from saddlestack.control.leadership import Leadership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.control.scheduler import Scheduler
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces.store import Item
from saddlestack.work import JobState

log = logging.getLogger("saddlestack.desk")

T = TypeVar("T")


class StateQuestion(msgspec.Struct, frozen=True):
    """Asks for the state of a job of an account; an empty account sees all jobs."""

    job_id: str
    account: str


class StateAnswer(msgspec.Struct, frozen=True):
    """A job's state; ``None`` where the leader does not know the job."""

    state: JobState | None


class WaitQuestion(msgspec.Struct, frozen=True):
    """Asks what a job of an account waits for; an empty account sees all jobs."""

    job_id: str
    account: str


class WaitAnswer(msgspec.Struct, frozen=True):
    """What a job waits for; ``None`` where it does not, or the leader does not know it."""

    waits: str | None


class ClearOrder(msgspec.Struct, frozen=True):
    """Holds the tasks of a job of an account to be sound; an empty account names all jobs."""

    job_id: str
    account: str


class ClearAnswer(msgspec.Struct, frozen=True):
    """So many tasks were suspects."""

    suspects: int


class PendingQuestion(msgspec.Struct, frozen=True):
    """Asks how many jobs of a queue have not begun."""

    queue: str


class PendingAnswer(msgspec.Struct, frozen=True):
    """How many jobs of a queue have not begun."""

    count: int


class WrittenNotice(msgspec.Struct, frozen=True):
    """Tells that a request has been written, before the store does."""

    key: str
    value: bytes
    revision: int


class NoticeTaken(msgspec.Struct, frozen=True):
    """The leader knows of it."""


class LeaderUnavailable(Exception):
    """There is no leader, or it did not answer."""


class LeaderRpc:
    """Asks the leader, and answers while this VM leads.

    :param scheduler: this VM's scheduler, or ``None`` while it does not lead.
    """

    def __init__(
        self, peers: Peers, leadership: Leadership, scheduler: Callable[[], Scheduler | None]
    ) -> None:
        self._peers = peers
        self._leadership = leadership
        self._scheduler = scheduler
        peers.serve(StateQuestion, self._state)
        peers.serve(WaitQuestion, self._waits)
        peers.serve(ClearOrder, self._clear)
        peers.serve(PendingQuestion, self._pending)
        peers.serve(WrittenNotice, self._written)

    async def state(self, job_id: str, account: str) -> JobState | None:
        """A job's state, as far as the leader knows the job.

        :raises LeaderUnavailable: nobody answered.
        """
        return (await self._ask(StateQuestion(job_id, account), StateAnswer)).state

    async def waits(self, job_id: str, account: str) -> str | None:
        """What a job waits for, as far as the leader knows.

        :raises LeaderUnavailable: nobody answered.
        """
        return (await self._ask(WaitQuestion(job_id, account), WaitAnswer)).waits

    async def clear(self, job_id: str, account: str) -> int:
        """Hold the tasks of a job to be sound, though workers crashed under them.

        :raises LeaderUnavailable: nobody answered.
        """
        return (await self._ask(ClearOrder(job_id, account), ClearAnswer)).suspects

    async def pending(self, queue: str) -> int:
        """How many jobs of a queue have not begun.

        :raises LeaderUnavailable: nobody answered.
        """
        return (await self._ask(PendingQuestion(queue), PendingAnswer)).count

    def notify(self, item: Item) -> None:
        """Tell the leader of a request that was written; nobody waits for it."""
        self._peers.tasks.spawn(self._send(WrittenNotice(item.key, item.value, item.revision)))

    async def _send(self, notice: WrittenNotice) -> None:
        try:
            await self._ask(notice, NoticeTaken)
        except LeaderUnavailable as error:
            log.info("leader was not told", extra={"event": "not_told", "reason": str(error)})

    async def _ask(self, question: object, kind: type[T]) -> T:
        leader = self._leadership.leader
        if leader is None:
            raise LeaderUnavailable("nobody leads")
        try:
            return await self._peers.ask(leader.vm, question, kind)
        except (PeerUnavailable, SaddlestackError) as error:
            raise LeaderUnavailable(str(error)) from error

    def _leading(self) -> Scheduler:
        scheduler = self._scheduler()
        if scheduler is None or not scheduler.is_confirmed or not scheduler.loaded.is_set():
            raise SaddlestackError(ErrorKind.CELL_UNAVAILABLE, "not the leader")
        return scheduler

    async def _state(self, question: StateQuestion) -> StateAnswer:
        scheduler = self._leading()
        if not _is_shown(scheduler, question.job_id, question.account):
            return StateAnswer(None)
        return StateAnswer(scheduler.state(question.job_id))

    async def _waits(self, question: WaitQuestion) -> WaitAnswer:
        scheduler = self._leading()
        if not _is_shown(scheduler, question.job_id, question.account):
            return WaitAnswer(None)
        return WaitAnswer(scheduler.waits.explain(question.job_id))

    async def _clear(self, order: ClearOrder) -> ClearAnswer:
        scheduler = self._leading()
        if not _is_shown(scheduler, order.job_id, order.account):
            return ClearAnswer(0)
        return ClearAnswer(scheduler.clear_suspects(order.job_id))

    async def _written(self, notice: WrittenNotice) -> NoticeTaken:
        self._leading().receive_notice(Item(notice.key, notice.value, notice.revision))
        return NoticeTaken()

    async def _pending(self, question: PendingQuestion) -> PendingAnswer:
        return PendingAnswer(self._leading().pending(question.queue))


def _is_shown(scheduler: Scheduler, job_id: str, account: str) -> bool:
    """Whether a job is shown to an account: not where another one is known to have sent it."""
    owner = scheduler.account(job_id)
    return not owner or not account or owner == account
