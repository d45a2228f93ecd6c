"""The links between a VM, the workers, the store and the other VMs, with their faults.

Requests and answers take individual times: calls overtake each other, get lost in either direction,
or are carried out seconds late. Answers reach a paused VM when it resumes.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from saddlestack.control.context import EntryContext
from saddlestack.control.membership import Membership
from saddlestack.control.peers import CALL_TIMEOUT_S as PEER_TIMEOUT_S
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.incarnations import started_ms_of, worker_id_of
from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    HistoryGone,
    Item,
    LeaseExpired,
    Listing,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.interfaces.workers import (
    StartOrder,
    StartReply,
    WorkerBusy,
    WorkerFenced,
    WorkerReplaced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.platform.kv import CALL_TIMEOUT_S, LIST_TIMEOUT_S, WATCH_SLACK_S
from saddlestack.platform.orders import check_start_time
from saddlestack.standins.pool.store import StoreState
from tests.simulation.loops import SharedLoop
from tests.simulation.workers import Workers

T = TypeVar("T")

ANY = "*"
TRIP_S = 0.002
MOST_HOPS = 3
"""An answer wakes its reader at once or after some iterations of the loop, so that after a pause
of the VM either the answer or the timeout may come first."""


@dataclass(slots=True)
class Fate:
    """The outcome of one call.

    :param out_s: time until its request arrives.
    :param back_s: time until its answer arrives.
    :param arrives: whether its request arrives.
    :param answers: whether its answer arrives.
    :param late_s: if positive, the call is carried out this much later and is not answered.
    """

    out_s: float
    back_s: float
    arrives: bool = True
    answers: bool = True
    late_s: float = 0.0
    reset: bool = False
    busy: bool = False


@dataclass(slots=True)
class Fault:
    """A fault of all matching links until some time.

    :param vm: the calling VM, or :data:`ANY`.
    :param other: a worker, or one kind of its orders as ``worker/start``; the store; a VM.
    :param kind: ``cut``, ``mute`` (answers get lost), ``reset``, ``busy``, ``slow``, ``lossy`` or
        ``late``.
    """

    kind: str
    vm: str
    other: str
    until: float
    strength: float = 0.0


@dataclass(slots=True)
class Ways:
    """Draws the outcome of each call from the current faults."""

    world: SharedLoop
    rng: random.Random
    faults: list[Fault] = field(default_factory=list)

    def add(self, fault: Fault) -> None:
        """Add a fault."""
        now = self.world.time()
        self.faults = [each for each in self.faults if each.until > now]
        self.faults.append(fault)

    def fate(self, vm: str, other: str) -> Fate:
        """Draw the outcome of a call that is sent now."""
        rng, now = self.rng, self.world.time()
        others = (ANY, other, other.partition("/")[0])
        fate = Fate(rng.uniform(0.0, TRIP_S), rng.uniform(0.0, TRIP_S))
        for fault in self.faults:
            if fault.until <= now or fault.vm not in (ANY, vm) or fault.other not in others:
                continue
            self._apply(fate, fault)
        return fate

    def _apply(self, fate: Fate, fault: Fault) -> None:
        rng = self.rng
        match fault.kind:
            case "cut":
                fate.arrives = fate.answers = False
            case "mute":
                fate.answers = False
            case "reset":
                fate.reset = True
            case "busy":
                fate.busy = True
            case "slow":
                fate.out_s += rng.uniform(0.0, fault.strength)
                fate.back_s += rng.uniform(0.0, fault.strength)
            case "lossy":
                fate.arrives = fate.arrives and rng.random() > fault.strength
                fate.answers = fate.answers and rng.random() > fault.strength
            case "late":
                if rng.random() < fault.strength:
                    fate.late_s = rng.uniform(2.0, 12.0)


@dataclass(slots=True)
class Call:
    """A call whose VM waits for the answer."""

    loop: SharedLoop
    world: SharedLoop
    rng: random.Random
    future: asyncio.Future[Any]

    def answer(self, value: object, back_s: float) -> None:
        """Deliver an answer to the VM."""
        self.world.call_later(back_s, self._arrive, value, self.rng.randrange(MOST_HOPS))

    def _arrive(self, value: object, hops: int) -> None:
        if not self.loop.dead:
            self.loop.call_soon(self._wake, value, hops)

    def _wake(self, value: object, hops: int) -> None:
        if hops:
            self.loop.call_soon(self._wake, value, hops - 1)
        elif not self.future.done():
            if isinstance(value, BaseException):
                self.future.set_exception(value)
            else:
                self.future.set_result(value)


Carry = Callable[[Callable[[object], None]], None]
"""Carries out a call; its argument receives the answer."""


async def _call(
    ways: Ways, vm: str, other: str, timeout_s: float, carry: Carry, refused: Callable[[], object]
) -> Any:
    """Make a call.

    :param refused: makes the error that a reset raises.
    :raises TimeoutError: no answer.
    """
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SharedLoop)
    fate = ways.fate(vm, other)
    call = Call(loop, ways.world, ways.rng, loop.create_future())

    def arrive() -> None:
        if fate.reset or fate.busy:
            call.answer(refused() if fate.reset else WorkerBusy("503"), fate.back_s)
            return
        try:
            carry(reply)
        except (WorkerFenced, WorkerReplaced, WorkerUnreachable) as error:
            reply(error)

    def reply(value: object) -> None:
        if fate.answers and not fate.late_s:
            call.answer(value, fate.back_s)

    if fate.arrives or fate.reset:
        ways.world.call_at(loop.world_s() + fate.out_s + fate.late_s, arrive)
    async with asyncio.timeout(timeout_s):
        return await call.future


class SimOrders:
    """One VM's link to one incarnation of a worker.

    :param life: the incarnation name. If it has a start time, no other incarnation receives the
        orders; otherwise any incarnation with the worker's ID does.
    """

    def __init__(self, ways: Ways, workers: Workers, vm: str, life: str, address: str) -> None:
        self._ways = ways
        self._workers = workers
        self._vm = vm
        self._life = life
        self._worker = workers.lives.get(life) or workers.present(worker_id_of(life))
        self._address = address

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SharedLoop)
        sent = loop.world_s()
        noted = self._workers.note_order(self._worker, order, sent)

        def carry(reply: Callable[[object], None]) -> None:
            self._check_worker()
            reply(self._workers.start(self._worker, order, self._vm, sent))

        reply: StartReply = await self._order("start", timeout_s, carry)
        noted.answered = True
        return reply

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run."""

        def carry(reply: Callable[[object], None]) -> None:
            self._check_worker()
            self._workers.stop(self._worker, task, run, fence)
            reply(None)

        await self._order("stop", timeout_s, carry)

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Do nothing: no simulated work is paced."""

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends, and poll."""

        def carry(reply: Callable[[object], None]) -> None:
            self._check_worker()
            self._workers.hold(self._worker, fence, deadline_ms, seen, wait_s, reply)

        report: WorkerReport = await self._order("hold", timeout_s, carry)
        check_start_time(started_ms_of(self._life), report.born)
        return report

    def close(self) -> None:
        """Do nothing: no connection is open."""

    def _check_worker(self) -> None:
        """Check that this incarnation of the worker is up.

        :raises WorkerReplaced: another incarnation is up at its address.
        :raises WorkerUnreachable: none is up there.
        """
        lives = [each for each in self._workers.lives.values() if each.address == self._address]
        alive = next((each for each in lives if each.up), None)
        if alive is None:
            raise WorkerUnreachable("refused")
        if alive is not self._worker:
            if started_ms_of(self._life) or alive.worker_id != self._worker.worker_id:
                raise WorkerReplaced
            self._worker = alive
        if started_ms_of(self._life) and alive.life != self._life:
            raise WorkerReplaced

    async def _order(self, what: str, timeout_s: float, carry: Carry) -> Any:
        try:
            return await _call(
                self._ways,
                self._vm,
                f"{self._worker.worker_id}/{what}",
                timeout_s,
                carry,
                lambda: WorkerUnreachable("reset"),
            )
        except TimeoutError:
            raise WorkerUnreachable("silence") from None


STORE = "store"


@dataclass(slots=True, eq=False)
class _Watch:
    """A watch request that waits for a change."""

    prefix: str
    after: int
    reply: Callable[[object], None]
    over: bool = False


class WatchedStore(StoreState):
    """The state of the store, with watches that wait for changes."""

    def __init__(self, world: SharedLoop) -> None:
        super().__init__()
        self._world = world
        self._watches: list[_Watch] = []

    def grant(self, ttl_s: float) -> int:
        """Grant a lease; watches are notified as soon as it expires."""
        lease = super().grant(ttl_s)
        self._world.call_later(ttl_s, self._check_lease, lease)
        return lease

    def watch(self, watch: _Watch, wait_s: float) -> None:
        """Answer a watch once something has changed, at the latest after ``wait_s``."""
        if self._answer_watch(watch, last=False):
            return
        self._watches.append(watch)
        self._world.call_later(wait_s, self._answer_watch, watch, True)

    def stretch_leases(self, seconds: float) -> None:
        """Extend all leases, as for the time of an outage."""
        for lease in self._leases.values():
            lease.until += seconds

    def lease_of(self, key: str) -> int:
        """The lease that a key is attached to; 0 where there is none."""
        kept = self._keys.get(key)
        return 0 if kept is None else kept.lease

    def peek(self, key: str) -> bytes:
        """The current value of a key, read without side effects; empty where it is absent."""
        kept = self._keys.get(key)
        return b"" if kept is None else kept.value

    def peek_under(self, prefix: str) -> list[bytes]:
        """The current values of all keys under a prefix, read without side effects."""
        return [kept.value for key, kept in self._keys.items() if key.startswith(prefix)]

    def changes(self, prefix: str, after: int) -> list[Item]:
        """The changes after a revision, oldest first.

        :raises HistoryGone: the history since then is no longer kept.
        """
        if after < self._forgotten:
            raise HistoryGone(prefix)
        found: list[Item] = []
        for event in reversed(self._history):
            if event.revision <= after:
                break
            if event.item.key.startswith(prefix):
                found.append(event.item)
        return found[::-1]

    def _check_lease(self, lease: int) -> None:
        kept = self._leases.get(lease)
        if kept is None:
            return
        left_s = kept.until - self._world.time()
        if left_s > 0:
            self._world.call_later(left_s, self._check_lease, lease)
            return
        self._expire()

    def _notify(self) -> None:
        for watch in list(self._watches):
            self._answer_watch(watch, last=False)

    def _answer_watch(self, watch: _Watch, last: bool) -> bool:
        if watch.over:
            return True
        try:
            items: Any = self.changes(watch.prefix, watch.after)
        except HistoryGone as error:
            items = error
        if not items and not last:
            return False
        watch.over = True
        if watch in self._watches:
            self._watches.remove(watch)
        gone = isinstance(items, HistoryGone)
        watch.reply(items if gone else Listing(tuple(items), self.revision))
        return True


class SimStore:
    """One VM's link to the store: a :class:`saddlestack.interfaces.store.MetadataStore`."""

    def __init__(self, ways: Ways, state: WatchedStore, vm: str) -> None:
        self._ways = ways
        self._state = state
        self._vm = vm

    def reconnect(self) -> None:
        """Do nothing: each call has its own connection."""

    async def get(self, key: str) -> Item:
        """Return a key; revision 0 where it is absent."""
        found: Item = await self._read(CALL_TIMEOUT_S, lambda: self._state.item(key))
        return found

    async def list(self, prefix: str) -> Listing:
        """Return all keys under a prefix."""

        def read() -> Listing:
            return Listing(tuple(self._state.keys(prefix)), self._state.revision)

        found: Listing = await self._read(LIST_TIMEOUT_S, read)
        return found

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision."""

        def carry(reply: Callable[[object], None]) -> None:
            self._state.watch(_Watch(prefix, after, reply), wait_s)

        found: Listing = await self._reading(wait_s + WATCH_SLACK_S, carry)
        return found

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction."""

        def carry(reply: Callable[[object], None]) -> None:
            reply(_outcome(lambda: self._state.transact(transaction)))

        try:
            outcome: Committed | Conflict = await self._through(
                CALL_TIMEOUT_S, carry, WriteInDoubt("reset")
            )
            return outcome
        except TimeoutError:
            raise WriteInDoubt("silence") from None
        except WorkerBusy:
            raise StoreUnavailable("503") from None

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Grant a lease."""
        lease: int = await self._read(CALL_TIMEOUT_S, lambda: self._state.grant(ttl_s))
        return lease, ttl_s

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._read(CALL_TIMEOUT_S, lambda: self._state.keep(lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease and its keys."""
        await self._read(CALL_TIMEOUT_S, lambda: self._state.end(lease))

    async def _read(self, timeout_s: float, read: Callable[[], object]) -> Any:
        def carry(reply: Callable[[object], None]) -> None:
            reply(_outcome(read))

        return await self._reading(timeout_s, carry)

    async def _reading(self, timeout_s: float, carry: Carry) -> Any:
        try:
            return await self._through(timeout_s, carry, StoreUnavailable("reset"))
        except (TimeoutError, WorkerBusy) as error:
            raise StoreUnavailable(str(error) or "silence") from None

    async def _through(self, timeout_s: float, carry: Carry, refused: Exception) -> Any:
        return await _call(self._ways, self._vm, STORE, timeout_s, carry, lambda: refused)


def _outcome(work: Callable[[], object]) -> object:
    """Return the result of a call of the store's state, or the store's error."""
    try:
        return work()
    except (LeaseExpired, HistoryGone) as error:
        return error


class SimPeers(Peers):
    """Calls between VMs, without sockets.

    :cvar reach: returns a VM's peers by its name; set by the deployment.
    """

    ways: Ways
    reach: Callable[[str], SimPeers | None]
    loop: SharedLoop

    def __init__(self, context: EntryContext, membership: Membership) -> None:
        super().__init__(context, membership)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SharedLoop)
        self.loop = loop

    async def start(self) -> None:
        """Do nothing: there are no sockets."""

    async def ask(self, vm: str, question: object, kind: type[T]) -> T:
        """Send a question to a VM; a question to this VM is answered directly."""
        method = type(question).__name__
        if vm == self._membership.local.vm:
            own: Any = await self._methods[method][1](question)
            return own  # type: ignore[no-any-return]
        if self._membership.member(vm) is None:
            raise PeerUnavailable(f"{vm} is not known")

        def carry(reply: Callable[[object], None]) -> None:
            other = type(self).reach(vm)
            if other is not None:
                other.loop.create_task(other.answer(method, question, reply))

        try:
            answer: T = await _call(
                self.ways,
                self._membership.local.vm,
                vm,
                PEER_TIMEOUT_S,
                carry,
                lambda: PeerUnavailable("reset"),
            )
            return answer
        except TimeoutError:
            raise PeerUnavailable("silence", sent=True) from None
        except WorkerBusy:
            raise PeerUnavailable("refused") from None

    async def answer(self, method: str, question: Any, reply: Callable[[object], None]) -> None:
        """Answer a question of another VM."""
        work: Coroutine[Any, Any, object] = self._methods[method][1](question)  # type: ignore[assignment]
        try:
            answer: object = await work
        except SaddlestackError as error:
            answer = error
        self.ways.world.call_at(self.loop.world_s(), reply, answer)
