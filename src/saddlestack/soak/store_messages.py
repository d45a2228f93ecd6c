"""Messages between a soak and the process that simulates its store.

They are encoded as msgpack, each prefixed with its length. All times are seconds of the system's
monotonic clock, which all processes of one machine share.
"""

from __future__ import annotations

import enum

import msgspec


class StoreSettings(msgspec.Struct, frozen=True):
    """Settings of the store's process.

    :param parent_port: the port on which the soak accepts the process's connection.
    :param vms: the names of the VMs; each has its own link to the store.
    :param heartbeat_s: the interval between a worker's writes to its record.
    :param history_s: how long changes are kept for watches.
    :param configuration: the operators' configuration.
    :param bandwidths: bytes per second of the links of VMs whose bandwidth is limited.
    """

    parent_port: int
    seed: int
    vms: tuple[str, ...]
    heartbeat_s: float
    history_s: float
    configuration: bytes
    bandwidths: dict[str, float] = {}


class LinkFault(enum.StrEnum):
    """A fault of a VM's link to the store.

    ``SILENT`` holds back calls and answers, ``ONE_WAY`` only answers; both are delivered
    afterwards. Connections that are open when ``STALE`` begins drop all data from then on; later
    ones work. ``STALE_SOME`` strikes half of the open connections in the same way.
    """

    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"
    STALE = "stale"
    STALE_SOME = "stale_some"
    DELAY = "delay"
    REFUSED = "refused"


# Messages from the soak to the store


class BeginTrouble(msgspec.Struct, frozen=True, tag=True):
    """Begin a fault of some VMs' links, in place of the faults that they have.

    :param number: identifies the fault.
    :param delay_s: delay of calls and answers, for :attr:`LinkFault.DELAY`.
    """

    number: int
    vms: tuple[str, ...]
    trouble: LinkFault
    delay_s: float = 0.0


class EndTrouble(msgspec.Struct, frozen=True, tag=True):
    """End a fault on the links where no other fault has replaced it."""

    number: int


class SlowDown(msgspec.Struct, frozen=True, tag=True):
    """Delay all answers by ``slow_s``."""

    slow_s: float


class LoseAnswers(msgspec.Struct, frozen=True, tag=True):
    """Let writes of some VMs take effect without being answered.

    :param count: the number of writes of each VM.
    :param late_s: the delay from the call until the write takes effect.
    """

    vms: tuple[str, ...]
    count: int
    late_s: float


class ForgetHistory(msgspec.Struct, frozen=True, tag=True):
    """Drop the history, so that existing watches have to read everything again."""


class ProlongLeases(msgspec.Struct, frozen=True, tag=True):
    """Extend all leases, as a store does that suspends expiry while it is unavailable."""

    seconds: float


class TurnWorkersAway(msgspec.Struct, frozen=True, tag=True):
    """Refuse workers' writes, or accept them again.

    :param lapse: records may expire meanwhile.
    """

    away: bool
    lapse: bool = False


class LapseRecords(msgspec.Struct, frozen=True, tag=True):
    """Let some workers' records expire now.

    :param share: the share of all records, drawn at random.
    """

    share: float


class HoldAtRenewal(msgspec.Struct, frozen=True, tag=True):
    """Pause a VM's process right before the next renewal of its leadership is answered.

    :param pid: the id of the process; 0 withdraws the order.
    """

    vm: str
    pid: int


class Configure(msgspec.Struct, frozen=True, tag=True):
    """Write a configuration.

    :param number: identifies the message.
    """

    number: int
    document: bytes


class HealAll(msgspec.Struct, frozen=True, tag=True):
    """End all faults."""


ToStore = (
    BeginTrouble
    | EndTrouble
    | SlowDown
    | LoseAnswers
    | ForgetHistory
    | ProlongLeases
    | TurnWorkersAway
    | LapseRecords
    | HoldAtRenewal
    | Configure
    | HealAll
)


# Messages from the store to the soak


class StoreReady(msgspec.Struct, frozen=True, tag=True):
    """The store accepts calls.

    :param ports: the port of each VM's link.
    :param records_port: the port to which workers write their records.
    """

    ports: dict[str, int]
    records_port: int


class TermBegan(msgspec.Struct, frozen=True, tag=True):
    """The leader key was written.

    :param fence: the revision of the write.
    :param lease: the lease that the key is attached to.
    """

    fence: int
    vm: str
    lease: int
    at_s: float


class TermEnded(msgspec.Struct, frozen=True, tag=True):
    """The leader key was removed."""

    at_s: float


class VmHeld(msgspec.Struct, frozen=True, tag=True):
    """A VM's process was paused at the renewal of its leadership."""

    vm: str
    pid: int


class Configured(msgspec.Struct, frozen=True, tag=True):
    """The configuration of a message was written."""

    number: int
    at_s: float


class StoreLoad(msgspec.Struct, frozen=True, tag=True):
    """The load of the store since its last message of this kind.

    :param lag_s: the maximum lag of its event loop.
    :param calls: the number of calls of VMs.
    :param processor_s: processor time since the start of the process.
    """

    at_s: float
    lag_s: float
    calls: int
    processor_s: float


FromStore = StoreReady | TermBegan | TermEnded | VmHeld | Configured | StoreLoad
