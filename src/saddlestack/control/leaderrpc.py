"""Remote calls from any VM to the leader's scheduler."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from saddlestack.control.jobaccess import JobAccessCheck
from saddlestack.control.leadership import Leadership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.control.scheduler import Scheduler
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces.clients import Caller
from saddlestack.interfaces.store import Item
from saddlestack.policy.job_access import JobAccess
from saddlestack.work import JobState

log = logging.getLogger("saddlestack.desk")

T = TypeVar("T")


class StateQuestion(msgspec.Struct, frozen=True):
    """Asks for the state of a job.

    :param account: client account of the caller.
    :param queue: queue of the caller; ``None`` if the call names none.
    """

    job_id: str
    account: str
    queue: str | None = None


class StateAnswer(msgspec.Struct, frozen=True):
    """A job's state; ``None`` if the leader does not know the job."""

    state: JobState | None


class WaitQuestion(msgspec.Struct, frozen=True):
    """Asks what a job waits for.

    :param account: client account of the caller.
    :param queue: queue of the caller; ``None`` if the call names none.
    """

    job_id: str
    account: str
    queue: str | None = None


class WaitAnswer(msgspec.Struct, frozen=True):
    """What a job waits for; ``None`` if it does not wait, or the leader does not know it."""

    waits: str | None


class ClearOrder(msgspec.Struct, frozen=True):
    """Clears the tasks of a job of suspicion.

    :param account: client account of the caller.
    :param queue: queue of the caller; ``None`` if the call names none.
    """

    job_id: str
    account: str
    queue: str | None = None


class ClearAnswer(msgspec.Struct, frozen=True):
    """How many tasks were suspects."""

    suspects: int


class PendingQuestion(msgspec.Struct, frozen=True):
    """Asks how many jobs of a queue have not started."""

    queue: str


class PendingAnswer(msgspec.Struct, frozen=True):
    """How many jobs of a queue have not started."""

    count: int


class WrittenNotice(msgspec.Struct, frozen=True):
    """Announces a request that has just been written, ahead of the watch of the store."""

    key: str
    value: bytes
    revision: int


class NoticeTaken(msgspec.Struct, frozen=True):
    """The leader has applied the announced request."""


class LeaderUnavailable(Exception):
    """There is no leader, or it did not answer."""


class LeaderRpc:
    """Calls the leader, and answers such calls while this VM leads.

    :param scheduler: returns this VM's scheduler, or ``None`` while it does not lead.
    """

    def __init__(
        self,
        peers: Peers,
        leadership: Leadership,
        scheduler: Callable[[], Scheduler | None],
        access_check: JobAccessCheck,
    ) -> None:
        self._peers = peers
        self._access_check = access_check
        self._leadership = leadership
        self._scheduler = scheduler
        peers.serve(StateQuestion, self._state)
        peers.serve(WaitQuestion, self._waits)
        peers.serve(ClearOrder, self._clear)
        peers.serve(PendingQuestion, self._pending)
        peers.serve(WrittenNotice, self._notice_request)

    async def state(self, job_id: str, caller: Caller) -> JobState | None:
        """A job's state; ``None`` if the leader does not know the job.

        :raises LeaderUnavailable: no leader answered.
        """
        question = StateQuestion(job_id, caller.account, caller.queue)
        return (await self._ask(question, StateAnswer)).state

    async def waits(self, job_id: str, caller: Caller) -> str | None:
        """What a job waits for; ``None`` if it does not wait, or the leader does not know it.

        :raises LeaderUnavailable: no leader answered.
        """
        question = WaitQuestion(job_id, caller.account, caller.queue)
        return (await self._ask(question, WaitAnswer)).waits

    async def clear(self, job_id: str, caller: Caller) -> int:
        """Clear the tasks of a job of the suspicion that they crash their workers.

        :return: how many tasks were suspects.
        :raises LeaderUnavailable: no leader answered.
        """
        question = ClearOrder(job_id, caller.account, caller.queue)
        return (await self._ask(question, ClearAnswer)).suspects

    async def pending(self, queue: str) -> int:
        """How many jobs of a queue have not started.

        :raises LeaderUnavailable: no leader answered.
        """
        return (await self._ask(PendingQuestion(queue), PendingAnswer)).count

    def notify(self, item: Item) -> None:
        """Send the leader a notice of a request that was written, in the background."""
        self._peers.tasks.spawn(self._send(WrittenNotice(item.key, item.value, item.revision)))

    async def _send(self, notice: WrittenNotice) -> None:
        try:
            await self._ask(notice, NoticeTaken)
        except LeaderUnavailable as error:
            log.info("leader not notified", extra={"event": "not_told", "reason": str(error)})

    async def _ask(self, question: object, answer_type: type[T]) -> T:
        leader = self._leadership.leader
        if leader is None:
            raise LeaderUnavailable("no leader is known")
        try:
            return await self._peers.ask(leader.vm, question, answer_type)
        except (PeerUnavailable, SaddlestackError) as error:
            raise LeaderUnavailable(str(error)) from error

    def _leading_scheduler(self) -> Scheduler:
        scheduler = self._scheduler()
        if scheduler is None or not scheduler.is_confirmed or not scheduler.loaded.is_set():
            raise SaddlestackError(ErrorKind.CELL_UNAVAILABLE, "not the leader")
        return scheduler

    async def _state(self, question: StateQuestion) -> StateAnswer:
        scheduler = self._leading_scheduler()
        if not self._may_access(scheduler, question):
            return StateAnswer(None)
        return StateAnswer(scheduler.state(question.job_id))

    async def _waits(self, question: WaitQuestion) -> WaitAnswer:
        scheduler = self._leading_scheduler()
        if not self._may_access(scheduler, question):
            return WaitAnswer(None)
        return WaitAnswer(scheduler.waits.of(question.job_id))

    async def _clear(self, order: ClearOrder) -> ClearAnswer:
        scheduler = self._leading_scheduler()
        if not self._may_access(scheduler, order):
            return ClearAnswer(0)
        return ClearAnswer(scheduler.clear_suspects(order.job_id))

    async def _notice_request(self, notice: WrittenNotice) -> NoticeTaken:
        item = Item(notice.key, notice.value, notice.revision)
        await self._leading_scheduler().receive_notice(item)
        return NoticeTaken()

    async def _pending(self, question: PendingQuestion) -> PendingAnswer:
        return PendingAnswer(self._leading_scheduler().pending(question.queue))

    def _may_access(
        self, scheduler: Scheduler, question: StateQuestion | WaitQuestion | ClearOrder
    ) -> bool:
        """Whether a caller may see a job and change it; a job that is unknown here is not judged.

        The VM that was called answers for a job that the caller may not access.
        """
        job = scheduler.accepted(question.job_id)
        caller = Caller(question.account, question.queue)
        return job is None or self._access_check.access(caller, job) is JobAccess.ALLOWED
