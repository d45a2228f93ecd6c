"""Messages between a soak and the processes that play its workers.

They travel as msgpack, each behind its length. All times are seconds of the system's monotonic
clock, which all processes of one machine share.
"""

from __future__ import annotations

import enum

import msgspec

from saddlestack.soak.shape import ShapeTimes


class MachineSettings(msgspec.Struct, frozen=True):
    """One machine with a worker.

    :param address: its own loopback address.
    :param births: its worker tells when it was born, and starts again under the id that it had.
    """

    name: str
    address: str
    hall: str
    rack: str
    accelerators: int
    cpu: int
    memory_mb: int
    births: bool = False


class HostSettings(msgspec.Struct, frozen=True):
    """What a host process plays.

    :param parent_port: where the soak waits for it.
    :param store: the address that workers write their records to.
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
    """What a cut holds back."""

    BOTH = "both"
    REQUESTS = "requests"
    ANSWERS = "answers"


class ErrorAnswer(enum.IntEnum):
    """What an unhealthy worker does to a call, which it does not carry out."""

    RESET = 0
    INTERNAL = 500
    UNAVAILABLE = 503


class RecordCorruption(enum.StrEnum):
    """What another writer changes in a worker's record."""

    UNREADABLE = "unreadable"
    NO_ADDRESS = "no_address"
    OTHER_ADDRESS = "other_address"
    OTHER_SERVICE = "other_service"
    UNKNOWN_STATE = "unknown_state"
    NEGATIVE_COUNT = "negative_count"
    NO_BIRTH = "no_birth"
    OTHER_BIRTH = "other_birth"


class TaskFault(enum.StrEnum):
    """What is wrong with the tasks of a worker."""

    FAIL = "fail"
    STUCK = "stand_still"
    SLOW = "slow"


# What the soak tells a host


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Something that befalls some machines.

    :param machines: their names.
    """

    machines: tuple[str, ...]


class LastingCommand(Command, frozen=True, tag=True, kw_only=True):
    """A trouble that ends by itself.

    :param seconds: how long it lasts.
    """

    seconds: float


class DelayOrders(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are left unanswered and carried out later.

    :param share: of the calls of these kinds.
    """

    calls: tuple[CallKind, ...] = tuple(CallKind)
    share: float = 1.0
    least_s: float = 2.0
    longest_s: float = 12.0


class LoseAnswers(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are carried out, and their answers lost.

    :param reset_share: of them, so many end their connections; the others go silent.
    """

    calls: tuple[CallKind, ...] = tuple(CallKind)
    share: float = 1.0
    reset_share: float = 0.5


class Hang(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are accepted and neither carried out nor answered."""

    share: float = 1.0


class AnswerErrors(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Calls are refused without being carried out."""

    answer: ErrorAnswer = ErrorAnswer.UNAVAILABLE
    share: float = 1.0


class CutFromVms(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Nothing passes between the machines and the VMs; what is held back passes afterwards.

    :param fences: only calls with these tokens are cut; empty for all calls.
    """

    way: CutDirection = CutDirection.BOTH
    fences: tuple[int, ...] = ()


class CutFromStore(LastingCommand, frozen=True, tag=True, kw_only=True):
    """The worker's record is not written, and lapses; the worker serves on."""


class CutOff(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Nothing passes between the machines and anybody else; what they hold runs on.

    As long as their leases last: their records lapse, and nobody sees how their runs end.
    """


class TroubleTasks(LastingCommand, frozen=True, tag=True, kw_only=True):
    """Tasks fail at once, stand still, or are slow.

    :param factor: how many times longer slow tasks take.
    """

    how: TaskFault
    factor: float = 5.0


class Leave(Command, frozen=True, tag=True, kw_only=True):
    """The worker ends as planned.

    :param announced: whether its record says so before; else the record goes at once.
    :param notice_s: from the announcement, or the removal, to the announced end...
    :param linger_s: ...and for so long it serves on after that.
    :param record_first: its record goes at the announced end; else when it has ended.
    :param back_s: after that, a new life begins at the same address; ``None`` for never.
    """

    announced: bool = True
    notice_s: float
    linger_s: float = 0.0
    record_first: bool = False
    back_s: float | None = 0.5


class Crash(Command, frozen=True, tag=True, kw_only=True):
    """The worker is gone at once.

    :param removed: whether its record goes at once too; else it lapses.
    :param silent: its connections are not reset: they hang until a new life begins.
    :param back_s: after that, a new life begins at the same address; ``None`` for never.
    """

    removed: bool = False
    silent: bool = False
    back_s: float | None = 0.5


class Resize(Command, frozen=True, tag=True, kw_only=True):
    """The worker has other room from now on, says so, and guards it no longer.

    :param accelerators: that it has; the life after it has all of them again.
    """

    accelerators: int


class RewriteRecord(Command, frozen=True, tag=True, kw_only=True):
    """Another writer changes the worker's record, until the worker writes it again."""

    how: RecordCorruption


class Heal(Command, frozen=True, tag=True, kw_only=True):
    """All lasting troubles end; machines without a worker get a new one."""


class GangMoved(msgspec.Struct, frozen=True, tag=True):
    """A gang is whole and works at this rate from then on.

    :param members: those at the host: workers and tasks.
    :param whole_s: when it became whole.
    :param done_s: seconds of work that were done then.
    :param rate: seconds of work a second.
    """

    step: str
    run: int
    members: frozenset[tuple[str, str]]
    at_s: float
    done_s: float
    rate: float
    whole_s: float


class GangEnded(msgspec.Struct, frozen=True, tag=True):
    """A gang that was whole is over.

    :param members: those at the host: workers and tasks.
    :param how: how its members ended...
    :param failed: ...but for this task, which has failed.
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
    | Heal
    | GangMoved
    | GangEnded
)


# What a host tells the soak. Hundreds of thousands are kept: plain fields, so that the garbage
# collector need not visit them.


class HostHello(msgspec.Struct, frozen=True, tag=True, gc=False):
    """The first message of a host: its number."""

    host: int


class HostReady(msgspec.Struct, frozen=True, tag=True, gc=False):
    """All machines of a host serve."""

    host: int


class MemberPresent(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A member of a gang has begun to wait for the others.

    :param size: members of the whole gang.
    :param work_s: seconds of work of the gang...
    :param done_s: ...of which so many are done.
    :param failures: so many runs fail, at their end.
    :param rate: seconds of work a second at this worker.
    :param far_x: the gang takes so many times as long on more than one rack.
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
    """A member of a gang works at another rate."""

    worker: str
    step: str
    run: int
    task: str
    rate: float


class MemberGone(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A member of a gang has ended, other than together with the whole."""

    worker: str
    step: str
    run: int
    task: str


class LifeBegan(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A worker's life has begun."""

    worker: str
    machine: str
    hall: str
    rack: str
    accelerators: int
    at_s: float


class LifeAnnounced(msgspec.Struct, frozen=True, tag=True, gc=False):
    """The store has taken a worker's announcement of its end."""

    worker: str
    at_s: float
    notice_s: float


class LifeEnded(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A worker's life is over, and all that ran there.

    :param by: the task that crashed it, or empty.
    """

    worker: str
    at_s: float
    crashed: bool
    by: str = ""


class LifeResized(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A worker's room has grown, or has shrunk and its record tells.

    :param at_s: when it grew, or when the store had taken the record that tells of less.
    """

    worker: str
    at_s: float
    accelerators: int


class RunBegan(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A run has begun to be present at a worker.

    :param ordered_s: when its order arrived.
    :param late: the order was left unanswered and carried out later.
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

    :param at_s: when the hub saw that the gang is whole.
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

    :param lapsed: the worker's lease had lapsed between the end and this.
    """

    worker: str
    task: str
    run: int
    fence: int
    at_s: float
    lapsed: bool


class HostLoad(msgspec.Struct, frozen=True, tag=True, gc=False):
    """What a host did since its last message of this kind.

    :param lag_s: the most by which its event loop was late.
    :param runs: runs that are present.
    :param calls: calls since the last such message.
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
