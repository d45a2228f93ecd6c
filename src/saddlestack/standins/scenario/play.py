"""Runs a scenario and checks the invariants at its end."""

from __future__ import annotations

import asyncio
import inspect
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from saddlestack.errors import SaddlestackError, invalid
from saddlestack.standins import invariants
from saddlestack.standins.cluster import Cluster
from saddlestack.standins.endpoint import GRACE_S
from saddlestack.standins.invariants import InvariantResult, RequestRecord
from saddlestack.standins.scenario.context import ScenarioContext, ScenarioFailed
from saddlestack.standins.scenario.lines import Line, split
from saddlestack.standins.scenario.verbs import VERBS

LEASE_S = 6.0
ALONE_S = LEASE_S + GRACE_S + 1.5
LEAVING_S = 3.0


@dataclass(slots=True)
class Outcome:
    """The result of a scenario.

    :param failures: failed lines, and other failures, with file and line.
    :param promises: results of the invariant checks at the end.
    :param seconds: duration on the scenario's clock.
    """

    name: str
    failures: list[str] = field(default_factory=list)
    promises: list[InvariantResult] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def held(self) -> bool:
        """Whether all expectations and invariants held."""
        return not self.failures and all(promise.held for promise in self.promises)


def parse(text: str, name: str) -> list[Line]:
    """Parse a scenario.

    :raises SaddlestackError: a line can't be parsed; the error has the file and line.
    """
    return split(text, name, VERBS)


def read(path: Path) -> list[Line]:
    """Read and parse a scenario file.

    :raises SaddlestackError: the file can't be read, or a line can't be parsed.
    """
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise invalid(str(error), str(path)) from None


class Scenario:
    """Runs the lines of one scenario."""

    def __init__(self, name: str, lines: list[Line], seed: int = 1) -> None:
        self.name = name
        self._lines = lines
        self._context = ScenarioContext(seed)
        self._revisions: dict[str, int] = {}

    @property
    def cluster(self) -> Cluster:
        """The cluster of the scenario.

        :raises SaddlestackError: it has not started.
        """
        return self._context.cluster

    @property
    def said(self) -> list[RequestRecord]:
        """All answers to callers."""
        return self._context.said

    async def play(self) -> Outcome:
        """Run all lines up to the first that fails, then check the invariants.

        :rtype: Outcome
        :raises SaddlestackError: a line is invalid; the error has the file and line.
        """
        outcome = Outcome(self.name)
        loop = asyncio.get_running_loop()
        watcher: asyncio.Task[None] | None = None
        began = loop.time()
        try:
            for line in self._lines:
                try:
                    result = VERBS[line.verb](self._context, line)
                    if inspect.isawaitable(result):
                        await result
                except SaddlestackError as error:
                    error.where = error.where or f"{self.name}:{line.number}"
                    raise
                except (ScenarioFailed, TimeoutError) as error:
                    outcome.failures.append(f"{self.name}:{line.number}: {error}")
                    break
                if self._context.started is not None and watcher is None:
                    watcher = loop.create_task(self._watch_revisions(outcome))
            outcome.promises = self._check_invariants()
        finally:
            for task in [*self._context.work, *([watcher] if watcher else [])]:
                task.cancel()
            if self._context.started is not None:
                await self._context.started.stop()
        outcome.seconds = loop.time() - began
        return outcome

    def _check_invariants(self) -> list[InvariantResult]:
        if self._context.started is None:
            return []
        now = asyncio.get_running_loop().time()
        checks = invariants.check(
            self._context.started.endpoints, self._context.said, max_partial_s=ALONE_S, now=now
        )
        return [
            *checks,
            InvariantResult("a leaving endpoint got no new work", self._find_late_starts()),
        ]

    def _find_late_starts(self) -> tuple[str, ...]:
        """Return parts that were given to an endpoint over 3 s after it began to leave."""
        return tuple(
            f"{name} was given {entry.job} at {entry.at:.1f}"
            for name, endpoint in self.cluster.endpoints.items()
            for entry in endpoint.history
            if endpoint.left_at is not None
            and entry.event == "prepare"
            and entry.at > endpoint.left_at + LEAVING_S
        )

    async def _watch_revisions(self, outcome: Outcome) -> None:
        """Add a failure if a VM puts an older configuration in force than it had."""
        while True:
            for entry in self._context.cluster.live():
                key = f"{entry.name}#{entry.incarnation}"
                revision = entry.daemon.configuration.document.revision
                if revision < self._revisions.get(key, 0):
                    outcome.failures.append(f"{entry.name} reverted to revision {revision}")
                self._revisions[key] = revision
            await asyncio.sleep(0.1)


class ScenarioReport(msgspec.Struct):
    """The outcome of a scenario, as it is encoded to JSON."""

    name: str
    held: bool
    failures: list[str]
    broken: list[str]
    seconds: float


def report(outcome: Outcome) -> ScenarioReport:
    """Convert an outcome to a report."""
    broken = [
        f"{promise.name}: {breach}" for promise in outcome.promises for breach in promise.breaches
    ]
    return ScenarioReport(
        outcome.name, outcome.held, outcome.failures, broken, round(outcome.seconds, 2)
    )
