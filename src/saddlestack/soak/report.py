"""The report of a soak: JSON for machines, lines for readers."""

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
"""Stand-ins that are later than this do not keep time: a VM then counts the store as lost."""
MAX_LINES = 400
"""Log lines that are kept of one broken promise."""


class TimeSummary(msgspec.Struct, frozen=True):
    """A spread of times, in seconds."""

    count: int = 0
    median_s: float = 0.0
    p99_s: float = 0.0
    longest_s: float = 0.0

    @classmethod
    def of(cls, times: Sequence[float]) -> TimeSummary:
        """The spread of some times."""
        if not times:
            return cls()
        return cls(len(times), quantile(times, 0.5), quantile(times, 0.99), max(times))

    def __str__(self) -> str:
        return f"{self.median_s:.2f} / {self.p99_s:.2f} / {self.longest_s:.2f}"


class KindReport(msgspec.Struct):
    """What became of the jobs of one kind.

    :param tasks: of all jobs that were accepted.
    :param acceptance: from the first try to the success.
    :param begins: from the first try to the moment when a first task works.
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
    """What one VM used.

    :param mean: of one processor, over the whole soak.
    :param highest: of one processor, in the busiest second.
    """

    name: str
    mean: float
    highest: float
    highest_s: float
    memory_mb: float


class LagReport(msgspec.Struct):
    """How late a stand-in's event loop was, and what it used of one processor."""

    name: str
    lag: TimeSummary
    processor: float
    calls_per_s: float = 0.0


class BrokenReport(msgspec.Struct):
    """A promise that did not hold.

    :param text: one line: what, when, and both runs.
    :param lines: log lines of VMs that name the job.
    """

    promise: str
    at_s: float
    job_id: str
    text: str
    lines: list[str]


class StandstillReport(msgspec.Struct):
    """A job that stood still beside a free pool for too long.

    :param used: accelerators that were held when it had stood for too long...
    :param total: ...of so many.
    :param beside: runs of other jobs that began meanwhile, before the moment in which it went on.
    :param excuses: what explains it; empty where nothing does.
    """

    job_id: str
    since_s: float
    until_s: float
    used: int
    total: int
    beside: int
    excuses: list[str]

    def __str__(self) -> str:
        why = "; ".join(self.excuses) or "nothing explains it"
        return (
            f"{self.since_s:9.3f} to {self.until_s:9.3f}  {self.job_id}: {self.used} of "
            f"{self.total} accelerators in use, {self.beside} runs of others began: {why}"
        )


class SoakReport(msgspec.Struct):
    """All that came of one soak. Times are seconds from its start.

    :param started_at: wall time of the start, as the logs spell it.
    :param troubled: what went wrong with the soak itself: its verdict counts for nothing.
    :param standstills: all jobs that stood still, broken promises and explained ones.
    :param logs: the folder with all logs, where it was kept.
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

    @property
    def good(self) -> bool:
        """Whether every promise held, and the soak itself was sound."""
        return not self.broken and not self.troubled

    @property
    def late(self) -> list[str]:
        """Stand-ins that did not keep time: the machine bore more than it can, or they do."""
        return [each.name for each in self.stand_ins if each.lag.longest_s > MAX_LAG_S]

    @property
    def accepted(self) -> int:
        """Jobs that were accepted."""
        return sum(kind.accepted for kind in self.kinds)

    @property
    def explained(self) -> int:
        """Jobs that stood still by a fault near them."""
        return sum(bool(stood.excuses) for stood in self.standstills)

    @property
    def unfinished(self) -> int:
        """Accepted jobs that were not over in the end."""
        return sum(kind.unfinished for kind in self.kinds)

    def write(self, path: Path) -> None:
        """Write the report as JSON, and as text beside it."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)))
        path.with_suffix(".txt").write_text("\n".join(self.lines()) + "\n", encoding="utf-8")

    def summary(self) -> str:
        """One line."""
        jobs = sum(kind.jobs for kind in self.kinds)
        return (
            f"seed {self.seed}: {jobs} jobs, {self.accepted} accepted, {len(self.faults)} faults, "
            f"{len(self.terms)} terms, {self.unfinished} unfinished, "
            f"{len(self.broken)} promises broken, "
            f"{self.explained} standstills explained"
            + (f"; late stand-ins: {', '.join(self.late)}" if self.late else "")
        )

    def lines(self) -> Iterator[str]:
        """The report for readers."""
        yield f"{self.shape}, {self.summary()}"
        yield (
            f"{self.vms} VMs, {self.workers} workers, {self.seconds:g} s of faults, "
            f"{self.took_s:.0f} s in all; started {self.started_at}; sources {self.program}"
        )
        yield from (f"unsound: {trouble}" for trouble in self.troubled)
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
        yield from self._standstill_lines()
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

    def _standstill_lines(self) -> Iterator[str]:
        beside = sum(bool(stood.beside) for stood in self.standstills)
        by_excuse = Counter(excuse for stood in self.standstills for excuse in stood.excuses)
        yield ""
        yield (
            f"Jobs that stood still: {len(self.standstills)}, of which a fault near explains "
            f"{self.explained} (more than one may); beside {beside} of them others began to run"
        )
        yield from (f"  {count:4}  {excuse}" for excuse, count in by_excuse.most_common())
        yield from (f"  {stood}" for stood in self.standstills)

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
    """A job of a kind is in time where it is done within this."""
    return kind.stretch * work_s + kind.target_s


def quantile(values: Sequence[float], share: float) -> float:
    """The smallest value that a share of all does not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
