"""Checks that every call of a soak was handled by a configuration that may have been in force."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path

import msgspec

from saddlestack.soak.configuration_probes import ConfigurationProbe
from saddlestack.soak.configurations import ConfigurationHistory
from saddlestack.soak.faults import Fault
from saddlestack.soak.invariants import Invariant, Violation
from saddlestack.soak.shape import FaultKind

APPLY_S = 2.0
"""A confirmed configuration is in force after this time, according to the platform's pages."""
TURNED_AWAY_APPLY_S = APPLY_S + 5.0
"""The same where the store does not answer a VM, while other VMs reach it."""
CONTACT_S = 3.0
"""The bounds hold for a VM that has been free of faults for this long."""

STRIKING_VMS = frozenset(
    {
        FaultKind.VM_KILL,
        FaultKind.VM_STOP,
        FaultKind.VM_FREEZE,
        FaultKind.VM_SUSPEND,
        FaultKind.VM_SLOW,
        FaultKind.LEADER_KILL,
        FaultKind.LEADER_STOP,
        FaultKind.LEADER_FREEZE,
        FaultKind.LEADER_FREEZE_AT_RENEWAL,
        FaultKind.LEADER_SUSPEND,
        FaultKind.LEADER_SLOW,
        FaultKind.HALL_KILL,
        FaultKind.ROLLING_STOP,
    }
)
"""Faults of the processes of the VMs that they name."""
STRIKING_ALL = frozenset({FaultKind.ALL_KILL, FaultKind.STORE_AWAY, FaultKind.STORE_SLOW})
STRIKING_LINKS = frozenset(
    {FaultKind.VM_STORE_CUT, FaultKind.LEADER_STORE_CUT, FaultKind.STORE_SHARE_AWAY}
)
"""Faults of the connections between the store and the VMs that they name."""
STRIKING_CONNECTIONS = frozenset({FaultKind.STORE_STALE, FaultKind.STORE_STALE_SOME})
"""Faults that strike open connections once, at their beginning."""


class ConfigurationChecker:
    """Checks calls against the history of the configuration.

    :param halls: the data hall of each VM.
    :ivar judged: the number of calls that were checked against a time bound.
    """

    def __init__(
        self, history: ConfigurationHistory, faults: Sequence[Fault], halls: Mapping[str, str]
    ) -> None:
        self._history = history
        self._faults = faults
        self._halls = halls
        self.judged = 0

    def check(self, probes: Iterable[ConfigurationProbe]) -> list[Violation]:
        """Find all calls that only an older, or an invalid, configuration explains."""
        return [
            Violation(Invariant.CONFIGURATION, probe.sent_s, "", (), self._describe(probe))
            for probe in probes
            if not self._is_allowed(probe)
        ]

    def _is_allowed(self, probe: ConfigurationProbe) -> bool:
        apply_s = self._apply_s(probe)
        self.judged += apply_s < math.inf
        versions = self._history.versions
        possible = self._history.possible(probe.sent_s, probe.answered_s, apply_s)
        return any(versions[i].status(probe.queue, probe.key) == probe.status for i in possible)

    def _apply_s(self, probe: ConfigurationProbe) -> float:
        """The bound that holds for a call; infinite if a fault lifts it."""
        bounds = [APPLY_S]
        for fault in self._faults:
            if fault.kind in STRIKING_CONNECTIONS:
                ended_s = fault.began_s
            else:
                ended_s = math.inf if fault.ended_s is None else fault.ended_s
            if not fault.began_s <= probe.answered_s or probe.sent_s > ended_s + CONTACT_S:
                continue
            bounds.append(self._bound_under(fault, probe.vm))
        return max(bounds)

    def _bound_under(self, fault: Fault, vm: str) -> float:
        if fault.kind in STRIKING_ALL:
            return math.inf
        if vm not in fault.on.split() and fault.on != self._halls.get(vm):
            return APPLY_S
        if fault.kind in STRIKING_LINKS:
            return TURNED_AWAY_APPLY_S
        if fault.kind in STRIKING_VMS | STRIKING_CONNECTIONS:
            return math.inf
        return APPLY_S

    def _describe(self, probe: ConfigurationProbe) -> str:
        possible = self._history.possible(probe.sent_s, probe.answered_s, self._apply_s(probe))
        numbers = sorted(self._history.versions[index].number for index in possible)
        return (
            f"{probe.vm} answered {probe.status} to a call of {probe.queue} with {probe.key}; "
            f"versions that may be in force: {numbers[0]} to {numbers[-1]}"
        )


class _LogLine(msgspec.Struct):
    event: str = ""
    version: int | None = None


def check_logs(logs: Sequence[Path], history: ConfigurationHistory) -> Iterator[Violation]:
    """Find versions that came into force after a newer one, or that were never valid."""
    valid = {version.number for version in history.versions}
    for log in logs:
        last = 0
        for line in _configuration_lines(log):
            if line.event == "started":
                last = 0
            elif line.version is not None:
                if line.version <= last or line.version not in valid:
                    detail = f"{log.stem} took version {line.version} after {last}"
                    yield Violation(Invariant.CONFIGURATION, math.inf, "", (), detail)
                last = line.version


def _configuration_lines(log: Path) -> Iterator[_LogLine]:
    with log.open("rb") as lines:
        for text in lines:
            if b'"configuration"' not in text and b'"started"' not in text:
                continue
            try:
                line = msgspec.json.decode(text, type=_LogLine)
            except msgspec.DecodeError:
                # A kill has truncated the line.
                continue
            if line.event in {"configuration", "started"}:
                yield line
