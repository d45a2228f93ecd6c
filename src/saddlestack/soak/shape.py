"""The shape of a soak: what is served, at which times, under which load and faults.

Read from JSON with comments; ``deploy/soak/`` holds the shapes that are played.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from pathlib import Path

from saddlestack.codec import read_json_with_comments
from saddlestack.errors import invalid
from saddlestack.models import Model

MAX_VMS = 100
MAX_WORKERS = 400
MAX_WORKER_HOSTS = 16
MAX_PRIORITY = 2


class FaultKind(enum.StrEnum):
    """A kind of fault that a soak plays."""

    VM_KILL = "vm_kill"
    VM_STOP = "vm_stop"
    VM_FREEZE = "vm_freeze"
    VM_SUSPEND = "vm_suspend"
    VM_SLOW = "vm_slow"
    VM_RELOAD = "vm_reload"
    VM_STORE_CUT = "vm_store_cut"
    LEADER_KILL = "leader_kill"
    LEADER_STOP = "leader_stop"
    LEADER_FREEZE = "leader_freeze"
    LEADER_FREEZE_AT_RENEWAL = "leader_freeze_at_renewal"
    LEADER_SUSPEND = "leader_suspend"
    LEADER_SLOW = "leader_slow"
    LEADER_STORE_CUT = "leader_store_cut"
    ALL_KILL = "all_kill"
    HALL_KILL = "hall_kill"
    ROLLING_STOP = "rolling_stop"
    HALL_CUT = "hall_cut"
    STORE_SHARE_AWAY = "store_share_away"
    STORE_AWAY = "store_away"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_STALE = "store_stale"
    STORE_FORGETS = "store_forgets"
    RECORDS_LAPSE = "records_lapse"
    WORKER_LATE_ORDERS = "worker_late_orders"
    WORKER_LOST_ANSWERS = "worker_lost_answers"
    WORKER_DRAIN = "worker_drain"
    WORKER_SHORT_NOTICE = "worker_short_notice"
    WORKER_LEAVES = "worker_leaves"
    WORKER_LAPSE = "worker_lapse"
    WORKER_CRASH = "worker_crash"
    WORKER_CRASH_CUT = "worker_crash_cut"
    WORKER_RESTART = "worker_restart"
    WORKER_SHRINKS = "worker_shrinks"
    WORKER_REWRITTEN = "worker_rewritten"
    WORKER_HANG = "worker_hang"
    WORKER_ERRORS = "worker_errors"
    WORKER_TASKS = "worker_tasks"
    WORKER_FAILS = "worker_fails"
    WORKER_STORE_CUT = "worker_store_cut"
    WORKER_VMS_CUT = "worker_vms_cut"


class Hall(Model, frozen=True):
    """One data hall.

    :param vms: its entry VMs...
    :param strong_vms: ...and how many of them have a processor and link that can lead well.
    :param workers: its workers.
    """

    name: str
    vms: int
    strong_vms: int
    workers: int


class WorkerKind(Model, frozen=True):
    """What every worker has.

    :param rack: workers a rack.
    :param cpu: thousandths of a core.
    :param births_share: of the workers so many tell when they were born, and start again under
        the id that they had; each life of the others has an id of its own.
    """

    rack: int
    accelerators: int
    cpu: int
    memory_mb: int
    births_share: float = 0.0


class ShapeTimes(Model, frozen=True):
    """Times of the platform, in seconds.

    :param lease_s: the longest lease that a worker grants.
    :param stop_s: a stop takes at most so long.
    :param drain_s: from a worker's announcement of its end to that end.
    :param notice_s: a worker that is taken away at short notice announces it so long before.
    :param linger_s: a worker serves on after its announced end for at most so long.
    :param gang_wait_s: a member of a gang waits so long for the others.
    :param heartbeat_s: between a worker's writes to its record.
    :param checkpoint_s: work between two checkpoints.
    :param restore_s: how long it takes to go on from a checkpoint.
    :param grace_s: from SIGTERM to SIGKILL of an entry VM.
    :param status_s: a job's state is kept so long after its end.
    :param history_s: the store remembers changes for so long.
    """

    lease_s: float
    stop_s: float
    drain_s: float
    notice_s: float
    linger_s: float
    gang_wait_s: float
    heartbeat_s: float
    checkpoint_s: float
    restore_s: float
    grace_s: float
    status_s: float
    history_s: float


class Spread(Model, frozen=True):
    """A number drawn by chance: log-normal around a mean, and never above the most.

    :param spread: standard deviation as a share of the mean.
    """

    mean: float
    spread: float
    most: float


class JobKind(Model, frozen=True):
    """One kind of jobs; its name is its queue's.

    :param rate_per_s: jobs a second, of all clients together.
    :param width: tasks of a job.
    :param accelerators: a job draws what each of its tasks takes from these.
    :param work_s: seconds of work of a task.
    :param gang_share: share of jobs whose tasks work only together...
    :param same_rack_share: ...and of those, on one rack at best.
    :param checkpoint_share: share of jobs whose tasks save their progress.
    :param failure_share: share of jobs of whose tasks each fails once.
    :param broken_share: share of jobs whose tasks fail however often they start.
    :param crashing_share: share of jobs one of whose tasks crashes each worker that starts it...
    :param crashes_s: ...so many seconds after its start.
    :param cancel_share: share of jobs that are cancelled.
    :param attempts: failed runs after which a task fails its job.
    :param stretch: the objective is this many times the work...
    :param target_s: ...plus this.
    """

    name: str
    priority: int
    rate_per_s: float
    width: Spread
    accelerators: tuple[int, ...]
    cpu: int
    memory_mb: int
    work_s: Spread
    gang_share: float
    same_rack_share: float
    checkpoint_share: float
    failure_share: float
    broken_share: float
    cancel_share: float
    attempts: int
    stretch: float
    target_s: float
    crashing_share: float = 0.0
    crashes_s: float = 0.0


class ClientAccount(Model, frozen=True):
    """A client account.

    :param guaranteed: accelerators that it owns for jobs of priority 0.
    :param share: its part of all jobs, in proportion to the other accounts'.
    """

    name: str
    guaranteed: int
    share: float


class FailingJobs(Model, frozen=True):
    """Jobs that fail by their own fault, in bursts, all of one client account.

    They are drawn as any job of their kind but for what they work, and fail however often they
    start.

    :param account: the client account that hands them in.
    :param kinds: names of kinds; each burst is of one of them.
    :param pause_s: shortest and longest time from one burst to the next.
    :param jobs: fewest and most jobs of a burst.
    :param work_s: seconds of work of a task until it fails.
    """

    account: str
    kinds: tuple[str, ...]
    pause_s: tuple[float, float]
    jobs: tuple[int, int]
    work_s: Spread


class FaultMix(Model, frozen=True):
    """Which faults come, and how often.

    :param weights: how often a kind comes, in proportion to the others.
    :param pause_s: shortest and longest time from one fault to the next.
    :param lasting_s: shortest and longest duration of a fault that lasts.
    :param first_s: when the first one comes.
    """

    weights: dict[FaultKind, float]
    pause_s: tuple[float, float]
    lasting_s: tuple[float, float]
    first_s: float = 0.0


class SoakShape(Model, frozen=True):
    """All of a soak but its seed and length.

    :param worker_hosts: processes that the workers are spread over.
    :param lead_s: load before the first fault.
    :param settle_s: after the last fault, accepted jobs have so long to end.
    :param more_faults: mixes that are played beside the faults, each drawn for itself, so that a
        seed goes on drawing the same faults when one is added.
    :param failing: bursts of jobs that fail by their own fault, beside all others, drawn for
        themselves as well; ``None`` for none.
    """

    name: str
    halls: tuple[Hall, ...]
    worker: WorkerKind
    worker_hosts: int
    times: ShapeTimes
    kinds: tuple[JobKind, ...]
    accounts: tuple[ClientAccount, ...]
    faults: FaultMix
    lead_s: float
    settle_s: float
    more_faults: tuple[FaultMix, ...] = ()
    failing: FailingJobs | None = None

    @property
    def vms(self) -> int:
        """Entry VMs of all halls."""
        return sum(hall.vms for hall in self.halls)

    @property
    def workers(self) -> int:
        """Workers of all halls."""
        return sum(hall.workers for hall in self.halls)

    @property
    def rate_per_s(self) -> float:
        """Jobs a second of all kinds."""
        return sum(kind.rate_per_s for kind in self.kinds)


def load(path: Path) -> SoakShape:
    """Read and check a shape.

    :raises SaddlestackError: with every fault found, each with its line or key path.
    """
    shape = read_json_with_comments(path, SoakShape)
    faults = list(check(shape))
    if faults:
        raise invalid("; ".join(faults), str(path))
    return shape


def check(shape: SoakShape) -> Iterator[str]:
    """Every fault of a shape: key path and what was expected."""
    yield from _size_faults(shape)
    yield from _time_faults(shape.times)
    for number, kind in enumerate(shape.kinds):
        yield from _kind_faults(f"kinds[{number}]", kind, shape.worker)
    yield from _account_faults(shape)
    for mix in (shape.faults, *shape.more_faults):
        yield from _mix_faults(mix)
    if shape.failing is not None:
        yield from _failing_faults(shape.failing, shape)
    for key in ("lead_s", "settle_s"):
        yield from _between(key, getattr(shape, key), 0, 3600)


def _size_faults(shape: SoakShape) -> Iterator[str]:
    yield from _distinct("halls", [hall.name for hall in shape.halls])
    for number, hall in enumerate(shape.halls):
        yield from _between(f"halls[{number}].vms", hall.vms, 0, MAX_VMS)
        yield from _between(f"halls[{number}].strong_vms", hall.strong_vms, 0, hall.vms)
        yield from _between(f"halls[{number}].workers", hall.workers, 0, MAX_WORKERS)
    yield from _between("halls: VMs in all", shape.vms, 1, MAX_VMS)
    yield from _between("halls: workers in all", shape.workers, 1, MAX_WORKERS)
    yield from _between("worker_hosts", shape.worker_hosts, 1, MAX_WORKER_HOSTS)
    for key in ("rack", "accelerators", "cpu", "memory_mb"):
        yield from _between(f"worker.{key}", getattr(shape.worker, key), 1, 10_000_000)
    yield from _between("worker.births_share", shape.worker.births_share, 0, 1)


def _time_faults(times: ShapeTimes) -> Iterator[str]:
    for key in times.__struct_fields__:
        yield from _between(f"times.{key}", getattr(times, key), 0, 3600)
    for key in ("lease_s", "heartbeat_s", "checkpoint_s", "grace_s", "status_s", "history_s"):
        if not getattr(times, key):
            yield f"times.{key}: expected more than 0"


def _kind_faults(place: str, kind: JobKind, worker: WorkerKind) -> Iterator[str]:
    yield from _between(f"{place}.priority", kind.priority, 0, MAX_PRIORITY)
    yield from _between(f"{place}.rate_per_s", kind.rate_per_s, 0, 1000)
    yield from _spread_faults(f"{place}.width", kind.width, 1)
    yield from _spread_faults(f"{place}.work_s", kind.work_s, 0.01)
    if not kind.accelerators:
        yield f"{place}.accelerators: expected one choice at least"
    for choice in kind.accelerators:
        yield from _between(f"{place}.accelerators", choice, 1, worker.accelerators)
    yield from _between(f"{place}.cpu", kind.cpu, 0, worker.cpu)
    yield from _between(f"{place}.memory_mb", kind.memory_mb, 0, worker.memory_mb)
    for key in kind.__struct_fields__:
        if key.endswith("_share"):
            yield from _between(f"{place}.{key}", getattr(kind, key), 0, 1)
    yield from _between(f"{place}.attempts", kind.attempts, 1, 100)
    yield from _between(f"{place}.stretch", kind.stretch, 1, 100)
    yield from _between(f"{place}.target_s", kind.target_s, 0, 3600)
    yield from _between(f"{place}.crashes_s", kind.crashes_s, 0, 3600)
    if kind.crashing_share and not kind.crashes_s:
        yield f"{place}.crashes_s: expected more than 0 where jobs crash workers"


def _spread_faults(place: str, spread: Spread, least: float) -> Iterator[str]:
    yield from _between(f"{place}.mean", spread.mean, least, 10_000)
    yield from _between(f"{place}.spread", spread.spread, 0, 10)
    yield from _between(f"{place}.most", spread.most, spread.mean, 10_000)


def _account_faults(shape: SoakShape) -> Iterator[str]:
    yield from _distinct("kinds", [kind.name for kind in shape.kinds])
    yield from _distinct("accounts", [account.name for account in shape.accounts])
    for number, account in enumerate(shape.accounts):
        yield from _between(f"accounts[{number}].share", account.share, 0, 1_000_000)
        yield from _between(f"accounts[{number}].guaranteed", account.guaranteed, 0, 1_000_000)
    if not any(account.share for account in shape.accounts):
        yield "accounts: expected one at least with a share above 0"
    guaranteed = sum(account.guaranteed for account in shape.accounts)
    owned = shape.workers * shape.worker.accelerators
    yield from _between("accounts: guaranteed in all", guaranteed, 0, owned)


def _mix_faults(mix: FaultMix) -> Iterator[str]:
    for kind, weight in mix.weights.items():
        yield from _between(f"faults.weights.{kind}", weight, 0, 1_000_000)
    for key in ("pause_s", "lasting_s"):
        least, longest = getattr(mix, key)
        if not 0 < least <= longest:
            yield f"faults.{key}: expected two times above 0, the shorter one first"
    yield from _between("faults.first_s", mix.first_s, 0, 3600)


def _failing_faults(failing: FailingJobs, shape: SoakShape) -> Iterator[str]:
    if failing.account not in {account.name for account in shape.accounts}:
        yield "failing.account: expected the name of an account"
    if not failing.kinds or not set(failing.kinds) <= {kind.name for kind in shape.kinds}:
        yield "failing.kinds: expected names of kinds, one at least"
    for key in ("pause_s", "jobs"):
        least, most = getattr(failing, key)
        if not 0 < least <= most:
            yield f"failing.{key}: expected two numbers above 0, the smaller one first"
    yield from _spread_faults("failing.work_s", failing.work_s, 0.01)


def _distinct(place: str, names: list[str]) -> Iterator[str]:
    if not names:
        yield f"{place}: expected one at least"
    if len(set(names)) < len(names) or not all(name.strip() for name in names):
        yield f"{place}: expected names that differ"


def _between(place: str, value: float, least: float, most: float) -> Iterator[str]:
    if not least <= value <= most:
        yield f"{place}: expected {least:g} to {most:g}, got {value:g}"
