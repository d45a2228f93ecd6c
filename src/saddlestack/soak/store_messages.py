"""Messages between a soak and the process that plays its store.

They travel as msgpack, each behind its length. All times are seconds of the system's monotonic
clock, which all processes of one machine share.
"""

from __future__ import annotations

import enum

import msgspec


class StoreSettings(msgspec.Struct, frozen=True):
    """What the process plays.

    :param parent_port: where the soak waits for it.
    :param vms: each has its own way to the store.
    :param heartbeat_s: between a worker's writes to its record.
    :param history_s: changes are remembered for so long.
    :param configuration: the operators' document.
    """

    parent_port: int
    seed: int
    vms: tuple[str, ...]
    heartbeat_s: float
    history_s: float
    configuration: bytes


class LinkFault(enum.StrEnum):
    """What befalls a VM's way to the store.

    ``SILENT`` holds calls and answers, ``ONE_WAY`` answers alone; they pass afterwards. Connections
    that are open when they go ``STALE`` swallow everything from then on; later ones work.
    """

    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"
    STALE = "stale"
    DELAY = "delay"
    REFUSED = "refused"


# What the soak tells the store


class BeginTrouble(msgspec.Struct, frozen=True, tag=True):
    """A trouble of some VMs' ways begins, in place of what they have.

    :param number: names it.
    :param delay_s: of calls and answers, where they are delayed.
    """

    number: int
    vms: tuple[str, ...]
    trouble: LinkFault
    delay_s: float = 0.0


class EndTrouble(msgspec.Struct, frozen=True, tag=True):
    """A trouble ends where no other has taken its place."""

    number: int


class SlowDown(msgspec.Struct, frozen=True, tag=True):
    """All answers come so much later."""

    slow_s: float


class LoseAnswers(msgspec.Struct, frozen=True, tag=True):
    """Writes of some VMs take effect and are not answered.

    :param count: so many of each VM.
    :param late_s: so long after the call they take effect.
    """

    vms: tuple[str, ...]
    count: int
    late_s: float


class ForgetHistory(msgspec.Struct, frozen=True, tag=True):
    """Watches from before now have to read everything again."""


class ProlongLeases(msgspec.Struct, frozen=True, tag=True):
    """All leases end later, as where they wait while the store is away."""

    seconds: float


class TurnWorkersAway(msgspec.Struct, frozen=True, tag=True):
    """Workers' writes are refused, or taken again.

    :param lapse: records may lapse meanwhile.
    """

    away: bool
    lapse: bool = False


class LapseRecords(msgspec.Struct, frozen=True, tag=True):
    """Some workers' records lapse now.

    :param share: of all records, drawn by chance.
    """

    share: float


class HoldAtRenewal(msgspec.Struct, frozen=True, tag=True):
    """Stop a VM's process right before the next renewal of its leadership is answered.

    :param pid: its process; 0 for no longer.
    """

    vm: str
    pid: int


class HealAll(msgspec.Struct, frozen=True, tag=True):
    """All troubles end."""


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
    | HealAll
)


# What the store tells the soak


class StoreReady(msgspec.Struct, frozen=True, tag=True):
    """The store serves.

    :param ports: of each VM's way.
    :param records_port: where workers write their records.
    """

    ports: dict[str, int]
    records_port: int


class TermBegan(msgspec.Struct, frozen=True, tag=True):
    """The leader key was written.

    :param fence: the revision of that.
    :param lease: the lease that it hangs on.
    """

    fence: int
    vm: str
    lease: int
    at_s: float


class TermEnded(msgspec.Struct, frozen=True, tag=True):
    """The leader key has gone."""

    at_s: float


class VmHeld(msgspec.Struct, frozen=True, tag=True):
    """A VM's process was stopped at its renewal."""

    vm: str
    pid: int


class StoreLoad(msgspec.Struct, frozen=True, tag=True):
    """What the store did since its last message of this kind.

    :param lag_s: the most by which its event loop was late.
    :param calls: calls of VMs since the last such message.
    :param processor_s: processor time since its start.
    """

    at_s: float
    lag_s: float
    calls: int
    processor_s: float


FromStore = StoreReady | TermBegan | TermEnded | VmHeld | StoreLoad
