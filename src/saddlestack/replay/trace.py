"""Traces: JSON lines of events and expected outcomes.

Other tools write traces as well, so the format is a contract: unknown fields are errors that name
the line and the field. Times are seconds from the start of the trace.
"""

from __future__ import annotations

import enum
from pathlib import Path
from typing import ClassVar

import msgspec

from saddlestack.codec import from_json, read_json_with_comments
from saddlestack.errors import ErrorKind, SaddlestackError, invalid
from saddlestack.models import Account, Adjacency, DataHall, Intent, JobClass, JobSpec, Weights
from saddlestack.policy.intent import check_intent
from saddlestack.policy.planner import CellSite, cells_of, narrowest
from saddlestack.shapes import check_accelerators

MAX_LINE = 1_000_000


class TraceEvent(msgspec.Struct, tag_field="event", forbid_unknown_fields=True, kw_only=True):
    """Base class of all events.

    :param t: seconds from the start of the trace.
    """

    t: float


class Submit(TraceEvent, tag="submit"):
    """A job is submitted.

    :param duration: its true run time in seconds.
    :param estimate: the run time that the caller expects, in seconds.
    """

    account: str
    request: str
    job_class: JobClass = msgspec.field(name="class")
    accelerators: int
    duration: float
    adjacent: Adjacency | None = None
    run_once: bool = False
    checkpoint: bool = False
    estimate: float | None = None


class VmLost(TraceEvent, tag="vm_lost"):
    """A worker is lost with everything that runs on it."""

    vm: str


class VmLeaving(TraceEvent, tag="vm_leaving"):
    """A worker receives no new work from now on."""

    vm: str


class VmBack(TraceEvent, tag="vm_back"):
    """A worker is available again."""

    vm: str


class Cancel(TraceEvent, tag="cancel"):
    """A caller cancels a job."""

    account: str
    request: str


class Outcome(enum.StrEnum):
    """The kinds of expected outcomes."""

    STARTED_WITHIN = "started_within"
    FINISHED = "finished"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    RUNNING = "running"
    STARTS_AT_MOST = "starts_at_most"
    GUARANTEE_FORMABLE = "guarantee_formable"
    FREE_AT_LEAST = "free_at_least"


class Expect(TraceEvent, tag="expect"):
    """An outcome that must hold at this time.

    :cvar needs: required fields of each kind of outcome.
    :cvar allows: optional fields of each kind of outcome.
    """

    that: Outcome
    account: str | None = None
    request: str | None = None
    seconds: float | None = None
    kind: ErrorKind | None = None
    count: int | None = None
    shape: int | None = None
    accelerators: int | None = None
    adjacent: Adjacency | None = None

    needs: ClassVar[dict[Outcome, tuple[str, ...]]] = {
        Outcome.STARTED_WITHIN: ("account", "request", "seconds"),
        Outcome.FINISHED: ("account", "request"),
        Outcome.NOT_STARTED: ("account", "request"),
        Outcome.UNKNOWN: ("account", "request"),
        Outcome.REFUSED: ("account", "request"),
        Outcome.RUNNING: ("account", "request"),
        Outcome.STARTS_AT_MOST: ("account", "request", "count"),
        Outcome.GUARANTEE_FORMABLE: ("account",),
        Outcome.FREE_AT_LEAST: ("accelerators",),
    }
    allows: ClassVar[dict[Outcome, tuple[str, ...]]] = {
        Outcome.REFUSED: ("kind",),
        Outcome.GUARANTEE_FORMABLE: ("shape",),
        Outcome.FREE_AT_LEAST: ("adjacent",),
    }


Event = Submit | VmLost | VmLeaving | VmBack | Cancel | Expect


class ReplayConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The data halls, accounts and weights for a replay.

    :param spare: number of workers that each cell must be able to lose; optional.
    """

    data_halls: tuple[DataHall, ...]
    accounts: tuple[Account, ...]
    weights: Weights = Weights()
    spare: int = 0


class Trace(msgspec.Struct):
    """A validated trace.

    :param events: events in order of time, with their line numbers.
    """

    events: list[tuple[int, Event]]


def read_config(path: Path) -> ReplayConfig:
    """Read and validate a configuration.

    :raises SaddlestackError: it is invalid; names the file and the key path.
    """
    config = read_json_with_comments(path, ReplayConfig)
    intent = Intent(
        data_halls=config.data_halls,
        accounts=config.accounts,
        weights=config.weights,
        spare=config.spare,
    )
    try:
        check_intent(intent)
    except SaddlestackError as error:
        raise invalid(error.message, f"{path}: {error.where}") from None
    if not any(hall.racks for hall in config.data_halls):
        raise invalid("expected at least one rack", f"{path}: data_halls")
    return config


def read_trace(path: Path, config: ReplayConfig) -> Trace:
    """Read a trace and validate it against a configuration.

    :raises SaddlestackError: it is invalid; names the file, the line and the field.
    """
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise invalid(f"cannot be read: {error}", str(path)) from None
    return parse_trace(lines, config, str(path))


def parse_trace(lines: list[str], config: ReplayConfig, name: str) -> Trace:
    """Parse and validate the lines of a trace.

    :param name: name of the trace in errors.
    :raises SaddlestackError: a line is invalid.
    """
    checker = _Checker(config)
    events: list[tuple[int, Event]] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        where = f"{name}:{number}"
        if len(line) > MAX_LINE:
            raise SaddlestackError(ErrorKind.TOO_LARGE, "the line is too long", where=where)
        event: Event = from_json(line, Event, where)  # type: ignore[arg-type]
        checker.check(event, where)
        events.append((number, event))
    return Trace(events)


class _Checker:
    """Validates each event against the configuration and the events before it."""

    def __init__(self, config: ReplayConfig) -> None:
        sites = cells_of(config.data_halls)
        self._accounts = {account.name: account for account in config.accounts}
        self._vms = {worker.name for site in sites for worker in site.workers}
        self._submitted: dict[tuple[str, str], Submit] = {}
        self._last_s = 0.0

    def check(self, event: Event, where: str) -> None:
        if event.t < 0:
            raise invalid(f"expected 0 or more, got {event.t:g}", f"{where}: t")
        if event.t < self._last_s:
            raise invalid(
                f"events are not in order of time: {event.t:g} after {self._last_s:g}",
                f"{where}: t",
            )
        self._last_s = event.t
        if isinstance(event, Submit):
            self._check_submit(event, where)
        elif isinstance(event, VmLost | VmLeaving | VmBack):
            if event.vm not in self._vms:
                raise invalid(f"no VM {event.vm} in the configuration", f"{where}: vm")
        elif isinstance(event, Cancel):
            self._check_submitted(event.account, event.request, where)
        else:
            self._check_expect(event, where)

    def _check_submit(self, event: Submit, where: str) -> None:
        if event.account not in self._accounts:
            raise invalid(f"no account {event.account}", f"{where}: account")
        if not event.request:
            raise invalid("expected a name", f"{where}: request")
        check_accelerators(event.accelerators, f"{where}: accelerators")
        if not 0 < event.duration < float("inf"):
            raise invalid(f"expected above 0, got {event.duration:g}", f"{where}: duration")
        if event.estimate is not None and not 0 < event.estimate < float("inf"):
            raise invalid(f"expected above 0, got {event.estimate:g}", f"{where}: estimate")
        key = (event.account, event.request)
        before = self._submitted.setdefault(key, event)
        if msgspec.structs.replace(before, t=event.t) != event:
            raise invalid(
                f"{event.account}/{event.request} was submitted before, as another job",
                f"{where}: request",
            )

    def _check_submitted(self, account: str | None, request: str | None, where: str) -> None:
        if account not in self._accounts:
            raise invalid(f"no account {account}", f"{where}: account")
        if (account, request) not in self._submitted:
            raise invalid(f"{account}/{request} was not submitted before", f"{where}: request")

    def _check_expect(self, event: Expect, where: str) -> None:
        needed = Expect.needs[event.that]
        allowed = (*needed, *Expect.allows.get(event.that, ()))
        for name in Expect.__struct_fields__:
            if name in {"t", "that"}:
                continue
            given = getattr(event, name) is not None
            if name in needed and not given:
                raise invalid(f"{event.that} needs this field", f"{where}: {name}")
            if given and name not in allowed:
                raise invalid(f"{event.that} has no such field", f"{where}: {name}")
        if "request" in needed:
            self._check_submitted(event.account, event.request, where)
        elif event.account is not None:
            self._check_shape(event, where)

    def _check_shape(self, event: Expect, where: str) -> None:
        account = self._accounts.get(event.account or "")
        if account is None:
            raise invalid(f"no account {event.account}", f"{where}: account")
        if event.shape is not None and not 0 <= event.shape < len(account.guarantees):
            raise invalid(
                f"account {account.name} has {len(account.guarantees)} guarantees",
                f"{where}: shape",
            )


def spec_of(event: Submit, sites: list[CellSite]) -> JobSpec:
    """Return the job of a submission, by default with the narrowest adjacency that fits.

    :rtype: JobSpec
    """
    try:
        adjacent = event.adjacent or narrowest(event.accelerators, sites)
    except SaddlestackError:
        adjacent = Adjacency.HALL
    return JobSpec(
        account=event.account,
        request=event.request,
        job_class=event.job_class,
        accelerators=event.accelerators,
        adjacent=adjacent,
        run_once=event.run_once,
        checkpoint=event.checkpoint,
        estimate=event.estimate or event.duration,
    )
