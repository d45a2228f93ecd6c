"""Counters and latency histograms of a daemon."""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Callable

import msgspec
from hdrh.histogram import HdrHistogram

from saddlestack.kernel.clock import Clock
from saddlestack.kernel.service import Service
from saddlestack.services import names

MAX_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2


class Distribution(msgspec.Struct):
    """Summary of a latency histogram, in milliseconds."""

    count: int
    mean_ms: float
    p50_ms: float
    p99_ms: float
    max_ms: float


class MetricsView(msgspec.Struct):
    """All metrics of a daemon.

    :param resident_bytes: peak resident memory.
    :param cpu_s: processor time used, in seconds.
    """

    vm: str
    counters: dict[str, int]
    latencies: dict[str, Distribution]
    resident_bytes: int
    cpu_s: float


class Metrics(Service):
    """Collects the counters, gauges and latencies of the other services."""

    def __init__(self, vm: str, clock: Clock) -> None:
        super().__init__(names.METRICS, clock)
        self._vm = vm
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], int]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def time(self, name: str, seconds: float) -> None:
        """Record a latency, in seconds, in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        histogram.record_value(min(MAX_MS, max(1, round(seconds * 1000))))

    def gauge(self, name: str, read: Callable[[], int]) -> None:
        """Register a gauge, read when the metrics are viewed."""
        self._gauges[name] = read

    def remove_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Remove a gauge, unless another one was registered under its name since."""
        if self._gauges.get(name) == read:
            del self._gauges[name]
            self._counters.pop(name, None)

    def view(self) -> MetricsView:
        """The current metrics."""
        for name, read in self._gauges.items():
            self._counters[name] = read()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return MetricsView(
            vm=self._vm,
            counters=dict(sorted(self._counters.items())),
            latencies={name: _summarize(h) for name, h in sorted(self._histograms.items())},
            resident_bytes=usage.ru_maxrss * 1024,
            cpu_s=usage.ru_utime + usage.ru_stime,
        )


def as_text(view: MetricsView) -> str:
    """Format the metrics as text, with a line of name and value for each."""
    lines = [f"{name} {value}" for name, value in view.counters.items()]
    for name, distribution in view.latencies.items():
        lines.append(f"{name}_count {distribution.count}")
        lines.append(f"{name}_mean_ms {distribution.mean_ms:.1f}")
        lines.append(f"{name}_p50_ms {distribution.p50_ms:.0f}")
        lines.append(f"{name}_p99_ms {distribution.p99_ms:.0f}")
        lines.append(f"{name}_max_ms {distribution.max_ms:.0f}")
    lines.append(f"resident_bytes {view.resident_bytes}")
    lines.append(f"cpu_seconds {view.cpu_s:.3f}")
    return "\n".join(lines) + "\n"


def _summarize(histogram: HdrHistogram) -> Distribution:
    return Distribution(
        count=histogram.get_total_count(),
        mean_ms=histogram.get_mean_value(),
        p50_ms=histogram.get_value_at_percentile(50),
        p99_ms=histogram.get_value_at_percentile(99),
        max_ms=histogram.get_max_value(),
    )
