"""Messages between a soak and the processes that simulate its workers.

They are encoded as msgpack, each prefixed with its length. All times are seconds of the system's
monotonic clock, which all processes of one machine share.
"""

from __future__ import annotations

import enum

import msgspec

from saddlestack.soak.shape import ShapeTimes


class MachineSettings(msgspec.Struct, frozen=True):
    """Settings of one machine with a worker.

    :param address: the machine's own loopback address.
    :param births: the worker publishes its start time and keeps its id when it starts again.
    :param time_factor: how much longer work takes there than on a usual machine.
    """

    name: str
    address: str
    hall: str
    rack: str
    accelerators: int
    cpu: int
    memory_mb: int
    births: bool = False
    time_factor: float = 1.0


class HostSettings(msgspec.Struct, frozen=True):
    """Settings of one host process.

    :param parent_port: the port on which the soak accepts the host's connection.
    :param store: the address to which workers write their records.
    """

    number: int
    parent_port: int
    store: str
    service: str
    seed: int
    times: ShapeTimes
    machines: tuple[MachineSettings, ...]


class CallKind(enum.StrEnum):
    """A kind of call to a worker."""

    START = "start"
    STOP = "stop"
    LOOK = "look"


class CutDirection(enum.StrEnum):
    """The direction in which a cut holds data back."""

    BOTH = "both"
    REQUESTS = "requests"
    ANSWERS = "answers"


class ErrorAnswer(enum.IntEnum):
    """How an unhealthy worker answers a call that it does not carry out."""

    RESET = 0
    INTERNAL = 500
    UNAVAILABLE = 503


class RecordCorruption(enum.StrEnum):
    """How another writer corrupts a worker's record."""

    UNREADABLE = "unreadable"
    NO_ADDRESS = "no_address"
    OTHER_ADDRESS = "other_address"
    OTHER_SERVICE = "other_service"
    UNKNOWN_STATE = "unknown_state"
    NEGATIVE_COUNT = "negative_count"
    NO_BIRTH = "no_birth"
    OTHER_BIRTH = "other_birth"


class TaskFault(enum.StrEnum):
    """A fault of all tasks of a worker."""

    FAIL = "fail"
    STUCK = "stand_still"
    SLOW = "slow"


# Messages from the soak to a host


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """A fault or change to apply to some machines.

    :param machines: the names of the machines.
    """

    machines: tuple[str, ...]


class LastingCommand(Command, frozen=True, tag=True, kw_only=True):
    """A fault that ends by itself.

    :param seconds: the duration of the fault.
    """

    seconds: float


class DelayOrders(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are left unanswered and carried out later.

    :param share: the share of calls of these kinds that is affected.
    :param least_s: the shortest delay.
    :param longest_s: the longest delay.
    """

    calls: tuple[CallKind, ...] = tuple(CallKind)
    share: float = 1.0
    least_s: float = 2.0
    longest_s: float = 12.0


class LoseAnswers(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are carried out, and their answers are lost.

    :param reset_share: the share of these calls whose connection is reset; the others get no
        answer.
    """

    calls: tuple[CallKind, ...] = tuple(CallKind)
    share: float = 1.0
    reset_share: float = 0.5


class Hang(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are accepted but neither carried out nor answered."""

    share: float = 1.0


class AnswerErrors(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are refused without being carried out."""

    answer: ErrorAnswer = ErrorAnswer.UNAVAILABLE
    share: float = 1.0


class CutFromVms(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Nothing passes between the machines and the VMs; held data is delivered afterwards.

    :param fences: cut only calls with these fence tokens; empty for all calls.
    """

    way: CutDirection = CutDirection.BOTH
    fences: tuple[int, ...] = ()


class CutFromStore(LastingCommand, frozen=True, tag=True, kw_only=True):
    """The worker's record is not written, and expires; the worker continues to serve."""


class CutOff(LastingCommand, frozen=True, tag=True, kw_only=True):
    """The machines are partitioned from the VMs and the store.

    Their runs continue as long as their leases last. Their records expire, and no VM learns how
    the runs end.
    """


class TroubleTasks(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Tasks fail at once, make no progress, or are slow.

    :param factor: the factor by which slow tasks take longer.
    """

    how: TaskFault
    factor: float = 5.0


class Leave(Command, frozen=True, tag=True, kw_only=True):
    """The worker shuts down as planned.

    :param announced: whether its record announces the end; otherwise the record is removed at once.
    :param notice_s: time from the announcement, or the removal, to the announced end.
    :param linger_s: time for which the worker continues to serve after the announced end.
    :param record_first: remove the record at the announced end; otherwise after the actual end.
    :param back_s: delay until a new incarnation begins at the same address; ``None`` for never.
    """

    announced: bool = True
    notice_s: float
    linger_s: float = 0.0
    record_first: bool = False
    back_s: float | None = 0.5


class Crash(Command, frozen=True, tag=True, kw_only=True):
    """The worker crashes.

    :param removed: whether its record is removed at once; otherwise it expires.
    :param silent: connections are not reset: they hang until a new incarnation begins.
    :param back_s: delay until a new incarnation begins at the same address; ``None`` for never.
    """

    removed: bool = False
    silent: bool = False
    back_s: float | None = 0.5


class Resize(Command, frozen=True, tag=True, kw_only=True):
    """The worker changes its accelerators, publishes that, and stops enforcing capacity.

    :param accelerators: their new number; the next incarnation has all of them again.
    """

    accelerators: int


class RewriteRecord(Command, frozen=True, tag=True, kw_only=True):
    """Another writer corrupts the worker's record, until the worker writes it again."""

    how: RecordCorruption


class SetTimeFactor(Command, frozen=True, tag=True, kw_only=True):
    """The machines become slower or faster; this is no fault and does not heal.

    :param factor: how much longer work takes there than on a usual machine.
    """

    factor: float


class Heal(Command, frozen=True, tag=True, kw_only=True):
    """All lasting faults end; machines without a worker start a new one."""


class MemberProgress(msgspec.Struct, frozen=True):
    """A member of a complete gang works at this rate from a given time on.

    :param at_s: when the rate takes effect.
    :param done_s: seconds of work done by ``at_s``.
    :param rate: seconds of work per second.
    """

    worker: str
    task: str
    at_s: float
    done_s: float
    rate: float


class GangMoved(msgspec.Struct, frozen=True, tag=True):
    """A gang became complete, or a member changed its rate.

    :param members: the progress of the members at the host.
    :param whole_s: when the gang became complete.
    """

    step: str
    run: int
    members: tuple[MemberProgress, ...]
    whole_s: float


class GangEnded(msgspec.Struct, frozen=True, tag=True):
    """A gang that was complete has ended.

    :param members: the members at the host, as pairs of worker and task.
    :param how: how its members ended.
    :param failed: the task that has failed instead, or empty.
    """

    step: str
    run: int
    members: frozenset[tuple[str, str]]
    how: str
    failed: str = ""


ToHost = (
    DelayOrders
    | LoseAnswers
    | Hang
    | AnswerErrors
    | CutFromVms
    | CutFromStore
    | CutOff
    | TroubleTasks
    | Leave
    | Crash
    | RewriteRecord
    | Resize
    | SetTimeFactor
    | Heal
    | GangMoved
    | GangEnded
)


# Messages from a host to the soak. Hundreds of thousands are kept, so they have only plain fields
# and are not tracked by the garbage collector (``gc=False``).


class HostHello(msgspec.Struct, frozen=True, tag=True, gc=False):
    """The first message of a host: its number."""

    host: int


class HostReady(msgspec.Struct, frozen=True, tag=True, gc=False):
    """All machines of a host accept calls."""

    host: int


class MemberPresent(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A member of a gang has begun to wait for the others.

    :param size: the number of members of the complete gang.
    :param work_s: seconds of work of the gang.
    :param done_s: seconds of that work which are done.
    :param restore_s: time to restore the saved work once the gang is complete.
    :param failures: the number of first runs that fail at their end.
    :param rate: seconds of work per second at this worker.
    :param far_x: the factor by which the gang takes longer on more than one rack.
    """

    worker: str
    step: str
    run: int
    task: str
    size: int
    work_s: float
    done_s: float
    restore_s: float
    failures: int
    rate: float
    rack: str
    far_x: float


class MemberPaced(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A member of a gang has changed its rate."""

    worker: str
    step: str
    run: int
    task: str
    rate: float


class MemberGone(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A member of a gang has ended on its own, not together with the gang."""

    worker: str
    step: str
    run: int
    task: str


class LifeBegan(msgspec.Struct, frozen=True, tag=True, gc=False):
    """An incarnation of a worker has begun."""

    worker: str
    machine: str
    hall: str
    rack: str
    accelerators: int
    at_s: float


class LifeAnnounced(msgspec.Struct, frozen=True, tag=True, gc=False):
    """The store has accepted a worker's announcement of its end."""

    worker: str
    at_s: float
    notice_s: float


class LifeEnded(msgspec.Struct, frozen=True, tag=True, gc=False):
    """An incarnation of a worker has ended, with all of its runs.

    :param by: the task that crashed it, or empty.
    """

    worker: str
    at_s: float
    crashed: bool
    by: str = ""


class LifeResized(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A worker's accelerators have increased, or have decreased and the store lists it.

    :param at_s: time of the increase, or when the store had accepted the record of the decrease.
    """

    worker: str
    at_s: float
    accelerators: int


class RunBegan(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A run has begun at a worker.

    :param ordered_s: when its order arrived.
    :param late: the order was left unanswered and carried out later.
    :param gang: the size of its gang; 0 for none.
    """

    worker: str
    task: str
    run: int
    fence: int
    ordered_s: float
    at_s: float
    late: bool
    accelerators: int
    gang: int


class RunWorks(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A member of a gang has begun to work.

    :param at_s: when the hub saw that the gang is complete.
    """

    worker: str
    task: str
    run: int
    at_s: float


class RunStopping(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A run has been ordered to stop."""

    worker: str
    task: str
    run: int
    fence: int
    ordered_s: float
    at_s: float
    late: bool


class RunEnded(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A run has ended and its end is listed."""

    worker: str
    task: str
    run: int
    how: str
    at_s: float


class EndNoted(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A VM has acknowledged the end of a run.

    :param lapsed: the worker's lease expired between the end and the acknowledgment.
    """

    worker: str
    task: str
    run: int
    fence: int
    at_s: float
    lapsed: bool


class HostLoad(msgspec.Struct, frozen=True, tag=True, gc=False):
    """The load of a host since its last message of this kind.

    :param lag_s: the maximum lag of its event loop.
    :param runs: the number of runs that are present.
    :param calls: the number of calls.
    :param processor_s: processor time since the start of the process.
    """

    host: int
    at_s: float
    lag_s: float
    runs: int
    calls: int
    processor_s: float


Record = (
    LifeBegan
    | LifeAnnounced
    | LifeEnded
    | LifeResized
    | RunBegan
    | RunWorks
    | RunStopping
    | RunEnded
    | EndNoted
)
GangMessage = MemberPresent | MemberPaced | MemberGone
FromHost = (
    HostHello
    | HostReady
    | HostLoad
    | MemberPresent
    | MemberPaced
    | MemberGone
    | LifeBegan
    | LifeAnnounced
    | LifeEnded
    | LifeResized
    | RunBegan
    | RunWorks
    | RunStopping
    | RunEnded
    | EndNoted
)
