"""The shape of a soak: its deployment, times, load and faults.

Shapes are read from JSON with comments; ``deploy/soak/`` holds those that are used.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from pathlib import Path

import msgspec

from saddlestack.codec import read_json_with_comments
from saddlestack.control.settings import Scheduling
from saddlestack.errors import invalid
from saddlestack.models import Model

MAX_VMS = 100
MAX_WORKERS = 400
MAX_WORKER_HOSTS = 16
MAX_PRIORITY = 2
SCHEDULING_PARTS = ("worker_speeds", "gang_priority", "demand_forecast")
"""The settings under ``scheduling`` that switch a part on."""


class FaultKind(enum.StrEnum):
    """A kind of fault that a soak injects."""

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
    STORE_STALE_SOME = "store_stale_some"
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

    :param vms: the number of its entry VMs.
    :param strong_vms: how many of them have a processor and link well suited to a leader.
    :param workers: the number of its workers.
    """

    name: str
    vms: int
    strong_vms: int
    workers: int


class WorkerKind(Model, frozen=True):
    """The properties of all workers.

    :param rack: the number of workers per rack.
    :param cpu: thousandths of a core.
    :param births_share: the share of workers that report their start time and keep their id when
        they restart; each incarnation of the others has an id of its own.
    :param slow_share: the share of workers that are slow.
    :param slow_factor: how much longer work takes on these than on the others.
    :param drift_per_s: how often a random worker is drawn anew, so that it may turn slow or
        recover.
    """

    rack: int
    accelerators: int
    cpu: int
    memory_mb: int
    births_share: float = 0.0
    slow_share: float = 0.0
    slow_factor: float = 2.4
    drift_per_s: float = 0.05


class ShapeTimes(Model, frozen=True):
    """Times of the platform, in seconds.

    :param lease_s: the longest lease that a worker grants.
    :param stop_s: the maximum time to stop a run.
    :param drain_s: from a worker's announcement of its end to that end.
    :param notice_s: the same for a worker that is taken away at short notice.
    :param linger_s: the maximum time that a worker still serves after its announced end.
    :param gang_wait_s: how long a member of a gang waits for the others.
    :param heartbeat_s: the interval of a worker's writes to its record.
    :param checkpoint_s: the work between two checkpoints.
    :param restore_s: the time to restore a checkpoint.
    :param grace_s: from SIGTERM to SIGKILL of an entry VM.
    :param status_s: how long a job's state is kept after its end.
    :param history_s: how long the store keeps the history of changes.
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
    """A log-normal distribution with an upper limit.

    :param spread: the standard deviation as a share of the mean.
    :param most: the limit; higher numbers are reduced to it.
    """

    mean: float
    spread: float
    most: float


class JobKind(Model, frozen=True):
    """One kind of jobs; its name is also the name of its queue.

    :param rate_per_s: jobs per second of all clients together.
    :param width: the number of tasks of a job.
    :param accelerators: the choices for the accelerators of each of a job's tasks.
    :param work_s: seconds of work of a task.
    :param gang_share: the share of jobs whose tasks form a gang.
    :param same_rack_share: the share of gangs that prefer a single rack.
    :param checkpoint_share: the share of jobs whose tasks save their progress.
    :param failure_share: the share of jobs whose tasks each fail once.
    :param broken_share: the share of jobs whose tasks always fail.
    :param crashing_share: the share of jobs with a task that crashes each worker that starts it.
    :param crashes_s: seconds from the start of such a task to the crash.
    :param cancel_share: the share of jobs that are cancelled.
    :param attempts: failed runs after which a task fails its job.
    :param stretch: the objective of a job is this many times its work, plus ``target_s``.
    :param target_s: the constant part of the objective.
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

    :param guaranteed: accelerators that it is guaranteed for jobs of priority 0.
    :param share: its weight among all accounts when a job's account is drawn.
    """

    name: str
    guaranteed: int
    share: float


class FailingJobs(Model, frozen=True):
    """Bursts of jobs of one client account that always fail.

    They are drawn like any job of their kind, except for their work, and fail however often they
    start.

    :param account: the client account that submits them.
    :param kinds: names of kinds; each burst is of one of them.
    :param pause_s: the minimum and maximum time from one burst to the next.
    :param jobs: the minimum and maximum number of jobs of a burst.
    :param work_s: seconds of work of a task until it fails.
    """

    account: str
    kinds: tuple[str, ...]
    pause_s: tuple[float, float]
    jobs: tuple[int, int]
    work_s: Spread


class FaultMix(Model, frozen=True):
    """The kinds of faults and their frequencies.

    :param weights: the weight of each kind when a fault is drawn.
    :param pause_s: the minimum and maximum time from one fault to the next.
    :param lasting_s: the minimum and maximum duration of a fault that lasts.
    :param first_s: when the first fault begins.
    """

    weights: dict[FaultKind, float]
    pause_s: tuple[float, float]
    lasting_s: tuple[float, float]
    first_s: float = 0.0


class ConfigurationMix(Model, frozen=True):
    """Changes of the configuration, in series that overlap with faults.

    :param pause_s: the minimum and maximum time between two series.
    :param invalid_share: the share of changes before which an invalid document is written.
    :param series_pause_s: the minimum and maximum time between two changes of a series.
    :param idle_queues: the number of additional queues without jobs, which make the document large.
    """

    pause_s: tuple[float, float]
    invalid_share: float = 0.0
    series_pause_s: tuple[float, float] = (0.05, 0.4)
    idle_queues: int = 0


MIN_LINK_BYTES_S = 1000.0
MAX_IDLE_QUEUES = 8500
"""So many keep the document below the largest value of the platform's store."""
CONFIGURATION_CHANGES = ConfigurationMix(pause_s=(0.1, 2.0), invalid_share=0.1)


class SoakShape(Model, frozen=True):
    """The configuration of a soak, except for its seed and length.

    :param worker_hosts: the number of processes that run the workers.
    :param lead_s: the time of load before the first fault.
    :param settle_s: the time that accepted jobs have to end after the last fault.
    :param more_faults: additional mixes of faults, injected at the same time. Each is drawn
        independently, so that adding one does not change the other faults of a seed.
    :param failing: bursts of jobs that always fail, in addition to all others and drawn
        independently as well; ``None`` for none.
    :param configuration: changes of the configuration; ``None`` for none.
    :param scheduling: the optional scheduling decisions of the entry VMs.
    :param weak_link_bytes_s: bandwidth between the store and VMs that are not strong, in bytes per
        second; ``None`` if it is not limited.
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
    configuration: ConfigurationMix | None = None
    scheduling: Scheduling = Scheduling()
    weak_link_bytes_s: float | None = None

    @property
    def vms(self) -> int:
        """The number of entry VMs of all halls."""
        return sum(hall.vms for hall in self.halls)

    @property
    def workers(self) -> int:
        """The number of workers of all halls."""
        return sum(hall.workers for hall in self.halls)

    @property
    def rate_per_s(self) -> float:
        """Jobs per second of all kinds."""
        return sum(kind.rate_per_s for kind in self.kinds)

    def with_unequal_workers(self, share: float | None, factor: float | None) -> SoakShape:
        """The shape with another share of slow workers, or another factor; ``None`` keeps each."""
        given = {"slow_share": share, "slow_factor": factor}
        changes = {key: value for key, value in given.items() if value is not None}
        return msgspec.structs.replace(self, worker=msgspec.structs.replace(self.worker, **changes))


def scheduling_with(parts: str) -> Scheduling:
    """Return the settings with some optional scheduling decisions switched on.

    :param parts: names of :data:`SCHEDULING_PARTS`, with commas.
    :raises SaddlestackError: a name is unknown.
    """
    names = [name for name in parts.split(",") if name]
    unknown = sorted(set(names) - set(SCHEDULING_PARTS))
    if unknown:
        expected = ", ".join(SCHEDULING_PARTS)
        raise invalid(f"expected some of {expected}, got {', '.join(unknown)}", "options")
    return Scheduling(**dict.fromkeys(names, True))


def load(path: Path) -> SoakShape:
    """Read and check a shape.

    :raises SaddlestackError: if the shape is invalid, with all errors and their lines or key paths.
    """
    shape = read_json_with_comments(path, SoakShape)
    errors = list(check(shape))
    if errors:
        raise invalid("; ".join(errors), str(path))
    return shape


def check(shape: SoakShape) -> Iterator[str]:
    """Find all errors of a shape; each names the key path and what was expected."""
    yield from _size_errors(shape)
    yield from _time_errors(shape.times)
    for number, kind in enumerate(shape.kinds):
        yield from _kind_errors(f"kinds[{number}]", kind, shape.worker)
    yield from _account_errors(shape)
    for mix in (shape.faults, *shape.more_faults):
        yield from _mix_errors(mix)
    if shape.failing is not None:
        yield from _failing_errors(shape.failing, shape)
    if shape.configuration is not None:
        yield from _configuration_errors(shape.configuration)
    if shape.weak_link_bytes_s is not None:
        yield from _check_range(
            "weak_link_bytes_s", shape.weak_link_bytes_s, MIN_LINK_BYTES_S, math.inf
        )
    for key in ("lead_s", "settle_s"):
        yield from _check_range(key, getattr(shape, key), 0, 3600)


def _size_errors(shape: SoakShape) -> Iterator[str]:
    yield from _check_distinct("halls", [hall.name for hall in shape.halls])
    for number, hall in enumerate(shape.halls):
        yield from _check_range(f"halls[{number}].vms", hall.vms, 0, MAX_VMS)
        yield from _check_range(f"halls[{number}].strong_vms", hall.strong_vms, 0, hall.vms)
        yield from _check_range(f"halls[{number}].workers", hall.workers, 0, MAX_WORKERS)
    yield from _check_range("halls: VMs in all", shape.vms, 1, MAX_VMS)
    yield from _check_range("halls: workers in all", shape.workers, 1, MAX_WORKERS)
    yield from _check_range("worker_hosts", shape.worker_hosts, 1, MAX_WORKER_HOSTS)
    for key in ("rack", "accelerators", "cpu", "memory_mb"):
        yield from _check_range(f"worker.{key}", getattr(shape.worker, key), 1, 10_000_000)
    for key in ("births_share", "slow_share"):
        yield from _check_range(f"worker.{key}", getattr(shape.worker, key), 0, 1)
    yield from _check_range("worker.slow_factor", shape.worker.slow_factor, 1, 100)
    yield from _check_range("worker.drift_per_s", shape.worker.drift_per_s, 0, 100)


def _time_errors(times: ShapeTimes) -> Iterator[str]:
    for key in times.__struct_fields__:
        yield from _check_range(f"times.{key}", getattr(times, key), 0, 3600)
    for key in ("lease_s", "heartbeat_s", "checkpoint_s", "grace_s", "status_s", "history_s"):
        if not getattr(times, key):
            yield f"times.{key}: expected more than 0"


def _kind_errors(key_path: str, kind: JobKind, worker: WorkerKind) -> Iterator[str]:
    yield from _check_range(f"{key_path}.priority", kind.priority, 0, MAX_PRIORITY)
    yield from _check_range(f"{key_path}.rate_per_s", kind.rate_per_s, 0, 1000)
    yield from _spread_errors(f"{key_path}.width", kind.width, 1)
    yield from _spread_errors(f"{key_path}.work_s", kind.work_s, 0.01)
    if not kind.accelerators:
        yield f"{key_path}.accelerators: expected one choice at least"
    for choice in kind.accelerators:
        yield from _check_range(f"{key_path}.accelerators", choice, 1, worker.accelerators)
    yield from _check_range(f"{key_path}.cpu", kind.cpu, 0, worker.cpu)
    yield from _check_range(f"{key_path}.memory_mb", kind.memory_mb, 0, worker.memory_mb)
    for key in kind.__struct_fields__:
        if key.endswith("_share"):
            yield from _check_range(f"{key_path}.{key}", getattr(kind, key), 0, 1)
    yield from _check_range(f"{key_path}.attempts", kind.attempts, 1, 100)
    yield from _check_range(f"{key_path}.stretch", kind.stretch, 1, 100)
    yield from _check_range(f"{key_path}.target_s", kind.target_s, 0, 3600)
    yield from _check_range(f"{key_path}.crashes_s", kind.crashes_s, 0, 3600)
    if kind.crashing_share and not kind.crashes_s:
        yield f"{key_path}.crashes_s: expected more than 0 where jobs crash workers"


def _spread_errors(key_path: str, spread: Spread, least: float) -> Iterator[str]:
    yield from _check_range(f"{key_path}.mean", spread.mean, least, 10_000)
    yield from _check_range(f"{key_path}.spread", spread.spread, 0, 10)
    yield from _check_range(f"{key_path}.most", spread.most, spread.mean, 10_000)


def _account_errors(shape: SoakShape) -> Iterator[str]:
    yield from _check_distinct("kinds", [kind.name for kind in shape.kinds])
    yield from _check_distinct("accounts", [account.name for account in shape.accounts])
    for number, account in enumerate(shape.accounts):
        yield from _check_range(f"accounts[{number}].share", account.share, 0, 1_000_000)
        yield from _check_range(f"accounts[{number}].guaranteed", account.guaranteed, 0, 1_000_000)
    if not any(account.share for account in shape.accounts):
        yield "accounts: expected one at least with a share above 0"
    guaranteed = sum(account.guaranteed for account in shape.accounts)
    owned = shape.workers * shape.worker.accelerators
    yield from _check_range("accounts: guaranteed in all", guaranteed, 0, owned)


def _mix_errors(mix: FaultMix) -> Iterator[str]:
    for kind, weight in mix.weights.items():
        yield from _check_range(f"faults.weights.{kind}", weight, 0, 1_000_000)
    for key in ("pause_s", "lasting_s"):
        least, longest = getattr(mix, key)
        if not 0 < least <= longest:
            yield f"faults.{key}: expected two times above 0, the shorter one first"
    yield from _check_range("faults.first_s", mix.first_s, 0, 3600)


def _failing_errors(failing: FailingJobs, shape: SoakShape) -> Iterator[str]:
    if failing.account not in {account.name for account in shape.accounts}:
        yield "failing.account: expected the name of an account"
    if not failing.kinds or not set(failing.kinds) <= {kind.name for kind in shape.kinds}:
        yield "failing.kinds: expected names of kinds, one at least"
    for key in ("pause_s", "jobs"):
        least, most = getattr(failing, key)
        if not 0 < least <= most:
            yield f"failing.{key}: expected two numbers above 0, the smaller one first"
    yield from _spread_errors("failing.work_s", failing.work_s, 0.01)


def _configuration_errors(mix: ConfigurationMix) -> Iterator[str]:
    for name in ("pause_s", "series_pause_s"):
        least, longest = getattr(mix, name)
        if not 0 < least <= longest:
            yield f"configuration.{name}: expected two times above 0, the shorter one first"
    yield from _check_range("configuration.idle_queues", mix.idle_queues, 0, MAX_IDLE_QUEUES)
    yield from _check_range("configuration.invalid_share", mix.invalid_share, 0, 1)


def _check_distinct(key_path: str, names: list[str]) -> Iterator[str]:
    if not names:
        yield f"{key_path}: expected one at least"
    if len(set(names)) < len(names) or not all(name.strip() for name in names):
        yield f"{key_path}: expected names that differ"


def _check_range(key_path: str, value: float, least: float, most: float) -> Iterator[str]:
    if not least <= value <= most:
        yield f"{key_path}: expected {least:g} to {most:g}, got {value:g}"
