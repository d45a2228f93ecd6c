"""The report of a soak, as JSON and as text."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from saddlestack.soak.faults import Fault
from saddlestack.soak.platform import Term
from saddlestack.soak.shape import JobKind

MAX_LAG_S = 0.25
"""The maximum lag of stand-ins: with more, a VM considers the store unavailable."""
MAX_LINES = 400
"""The number of log lines that are kept of one violation."""


class TimeSummary(msgspec.Struct, frozen=True):
    """Count, median, 99th percentile and maximum of some times, in seconds."""

    count: int = 0
    median_s: float = 0.0
    p99_s: float = 0.0
    longest_s: float = 0.0

    @classmethod
    def of(cls, times: Sequence[float]) -> TimeSummary:
        """Summarize some times."""
        if not times:
            return cls()
        return cls(len(times), quantile(times, 0.5), quantile(times, 0.99), max(times))

    def __str__(self) -> str:
        return f"{self.median_s:.2f} / {self.p99_s:.2f} / {self.longest_s:.2f}"


class KindReport(msgspec.Struct):
    """The outcomes of the jobs of one kind.

    :param tasks: the number of tasks of all accepted jobs.
    :param acceptance: from the first submission to the acceptance.
    :param begins: from the first submission until the first task works.
    :param in_time: the share of completed jobs that met their objective.
    """

    name: str
    jobs: int
    accepted: int
    refused: int
    completed: int
    failed: int
    cancelled: int
    unfinished: int
    tasks: int
    runs: int
    acceptance: TimeSummary
    begins: TimeSummary
    in_time: float


class VmReport(msgspec.Struct):
    """The resource usage of one VM.

    :param mean: the share of one processor, over the whole soak.
    :param highest: the share of one processor in the busiest second.
    :param highest_s: when that second was.
    """

    name: str
    mean: float
    highest: float
    highest_s: float
    memory_mb: float


class LagReport(msgspec.Struct):
    """The event loop lag of a stand-in and its share of one processor."""

    name: str
    lag: TimeSummary
    processor: float
    calls_per_s: float = 0.0


class BrokenReport(msgspec.Struct):
    """A violation of an invariant.

    :param text: a one-line description with the time and the runs.
    :param lines: log lines of VMs that name the job.
    """

    promise: str
    at_s: float
    job_id: str
    text: str
    lines: list[str]


class ConfigurationReport(msgspec.Struct):
    """The changes of the configuration, and the calls that show which version is in force.

    :param invalid: documents that no VM may take.
    :param calls: calls that were answered in a way that depends on the configuration.
    :param judged: those of them to which a time bound applied.
    """

    versions: int
    invalid: int
    calls: int
    judged: int

    def __str__(self) -> str:
        return (
            f"{self.versions} configurations and {self.invalid} invalid ones; "
            f"{self.calls} calls, {self.judged} of them judged"
        )


class StandstillReport(msgspec.Struct):
    """A job that stalled beside a free pool.

    :param used: accelerators in use when the job began to count as stalled.
    :param total: all accelerators of the pool at that time.
    :param beside: runs of other jobs that began meanwhile, before the job continued.
    :param excuses: the causes of the stall; empty if nothing explains it.
    """

    job_id: str
    since_s: float
    until_s: float
    used: int
    total: int
    beside: int
    excuses: list[str]

    def __str__(self) -> str:
        causes = "; ".join(self.excuses) or "nothing explains it"
        return (
            f"{self.since_s:9.3f} to {self.until_s:9.3f}  {self.job_id}: {self.used} of "
            f"{self.total} accelerators in use, {self.beside} runs of others began: {causes}"
        )


class SoakReport(msgspec.Struct):
    """The results of a soak. Times are seconds from its start.

    :param started_at: wall time of the start, in the format of the logs.
    :param broken: all violations of invariants.
    :param troubled: faults of the soak itself, which make its result invalid.
    :param standstills: all stalls, explained or not.
    :param logs: the folder with all logs, if it was kept.
    """

    shape: str
    seed: int
    seconds: float
    program: str
    started_at: str
    took_s: float
    vms: int
    workers: int
    kinds: list[KindReport]
    busiest: list[VmReport]
    memory_mb: float
    stand_ins: list[LagReport]
    faults: list[Fault]
    terms: list[Term]
    broken: list[BrokenReport]
    troubled: list[str]
    logs: str = ""
    standstills: list[StandstillReport] = []
    configurations: ConfigurationReport | None = None

    @property
    def good(self) -> bool:
        """Whether every invariant held and the soak itself had no faults."""
        return not self.broken and not self.troubled

    @property
    def late(self) -> list[str]:
        """Stand-ins that exceeded the maximum lag: the machine or the stand-in was overloaded."""
        return [each.name for each in self.stand_ins if each.lag.longest_s > MAX_LAG_S]

    @property
    def accepted(self) -> int:
        """The number of accepted jobs."""
        return sum(kind.accepted for kind in self.kinds)

    @property
    def explained(self) -> int:
        """The number of stalls that a fault explains."""
        return sum(bool(stall.excuses) for stall in self.standstills)

    @property
    def unfinished(self) -> int:
        """The number of accepted jobs that were not over at the end."""
        return sum(kind.unfinished for kind in self.kinds)

    def write(self, path: Path) -> None:
        """Write the report as JSON, and as text to a file beside it."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)))
        path.with_suffix(".txt").write_text("\n".join(self.lines()) + "\n", encoding="utf-8")

    def summary(self) -> str:
        """Summarize the soak in one line."""
        jobs = sum(kind.jobs for kind in self.kinds)
        return (
            f"seed {self.seed}: {jobs} jobs, {self.accepted} accepted, {len(self.faults)} faults, "
            f"{len(self.terms)} terms, {self.unfinished} unfinished, "
            f"{len(self.broken)} promises broken, "
            f"{self.explained} standstills explained"
            + (f"; {self.configurations}" if self.configurations is not None else "")
            + (f"; late stand-ins: {', '.join(self.late)}" if self.late else "")
        )

    def lines(self) -> Iterator[str]:
        """Return the lines of the text report."""
        yield f"{self.shape}, {self.summary()}"
        yield (
            f"{self.vms} VMs, {self.workers} workers, {self.seconds:g} s of faults, "
            f"{self.took_s:.0f} s in all; started {self.started_at}; sources {self.program}"
        )
        yield from (f"unsound: {trouble}" for trouble in self.troubled)
        if self.configurations is not None:
            yield str(self.configurations)
        yield from self._kind_lines()
        yield from self._load_lines()
        yield ""
        yield "Terms:"
        for term in self.terms:
            ended = "on" if term.ended_s is None else f"{term.ended_s:.3f}"
            yield f"  {term.began_s:9.3f} to {ended:>9}  {term.vm}, token {term.fence}"
        yield ""
        yield "Faults:"
        for fault in self.faults:
            ended = "on" if fault.ended_s is None else f"{fault.ended_s:.3f}"
            yield f"  {fault.began_s:9.3f} to {ended:>9}  {fault.kind} {fault.on}: {fault.detail}"
        yield from self._stall_lines()
        yield ""
        yield f"Broken promises: {len(self.broken)}"
        for broken in self.broken:
            yield f"  {broken.text}"
            yield from (f"    {line}" for line in broken.lines)

    def _kind_lines(self) -> Iterator[str]:
        yield ""
        yield "Jobs (times: median / 99th percentile / longest, seconds):"
        for kind in self.kinds:
            yield (
                f"  {kind.name}: {kind.jobs} handed in, {kind.accepted} accepted, "
                f"{kind.refused} refused; {kind.completed} completed, {kind.failed} failed, "
                f"{kind.cancelled} cancelled, {kind.unfinished} unfinished; "
                f"{kind.tasks} tasks, {kind.runs} runs"
            )
            yield (
                f"    accepted after {kind.acceptance}, working after {kind.begins}, "
                f"{kind.in_time:.1%} of the completed in time"
            )

    def _stall_lines(self) -> Iterator[str]:
        beside = sum(bool(stall.beside) for stall in self.standstills)
        by_cause = Counter(cause for stall in self.standstills for cause in stall.excuses)
        yield ""
        yield (
            f"Jobs that stood still: {len(self.standstills)}, of which a fault near explains "
            f"{self.explained} (more than one may); beside {beside} of them others began to run"
        )
        yield from (f"  {count:4}  {cause}" for cause, count in by_cause.most_common())
        yield from (f"  {stall}" for stall in self.standstills)

    def _load_lines(self) -> Iterator[str]:
        yield ""
        yield f"VMs (share of one processor; all hold up to {self.memory_mb:.0f} MB):"
        for vm in self.busiest:
            yield (
                f"  {vm.name}: {vm.mean:.0%} on average, {vm.highest:.0%} in the second at "
                f"{vm.highest_s:.0f} s, {vm.memory_mb:.0f} MB"
            )
        yield ""
        yield "Stand-ins (lag: median / 99th percentile / longest, seconds):"
        for stand_in in self.stand_ins:
            yield (
                f"  {stand_in.name}: lag {stand_in.lag}, {stand_in.processor:.0%} of a processor, "
                f"{stand_in.calls_per_s:.0f} calls a second"
            )


def objective_s(kind: JobKind, work_s: float) -> float:
    """Return the time within which a job of a kind has to be done to meet its objective."""
    return kind.stretch * work_s + kind.target_s


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least a share of all values does not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
