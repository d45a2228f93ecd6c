"""Which faults were near: promises with a time bound hold where none was."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from saddlestack.soak.faults import Fault
from saddlestack.soak.shape import FaultKind

RECOVERY_S = 15.0
"""So long after a fault has ended, things are as before. From the platform's bounds."""
ALL_VMS = frozenset(
    {
        FaultKind.ALL_KILL,
        FaultKind.STORE_AWAY,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_FORGETS,
        FaultKind.HALL_CUT,
        FaultKind.RECORDS_LAPSE,
    }
)
"""Kinds of faults that disturb every VM."""


class Disturbances:
    """Knows which faults were near some time.

    :param halls: the data hall of each VM.
    """

    def __init__(self, faults: Sequence[Fault], halls: Mapping[str, str]) -> None:
        self._faults = faults
        self._halls = halls

    def is_undisturbed(self, vm: str, at_s: float) -> bool:
        """Whether nothing had disturbed a VM for a while."""
        return not any(self._disturbs(fault, vm) for fault in self._faults if _near(fault, at_s))

    def is_fault_free(self, at_s: float) -> bool:
        """Whether no fault at all was near."""
        return not any(_near(fault, at_s) for fault in self._faults)

    def _disturbs(self, fault: Fault, vm: str) -> bool:
        if fault.kind in ALL_VMS:
            return True
        return vm in fault.on.split() or fault.on == self._halls.get(vm)


def _near(fault: Fault, at_s: float) -> bool:
    """Whether a fault was there within the time that a recovery takes."""
    ended_s = math.inf if fault.ended_s is None else fault.ended_s
    return fault.began_s <= at_s <= ended_s + RECOVERY_S
