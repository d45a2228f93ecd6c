"""Determines which faults were near a time: invariants with time bounds hold if none was."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from saddlestack.soak.faults import Fault
from saddlestack.soak.shape import FaultKind

RECOVERY_S = 15.0
"""The platform has recovered this long after the end of a fault. Follows from its time bounds."""
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
"""Kinds of faults that affect every VM."""


class Disturbances:
    """Determines which faults were near a time.

    :param halls: the data hall of each VM.
    """

    def __init__(self, faults: Sequence[Fault], halls: Mapping[str, str]) -> None:
        self._faults = faults
        self._halls = halls

    def is_undisturbed(self, vm: str, at_s: float) -> bool:
        """Whether no fault that affects a VM was near a time."""
        return not any(self._affects(fault, vm) for fault in self._faults if _is_near(fault, at_s))

    def is_fault_free(self, at_s: float) -> bool:
        """Whether no fault at all was near a time."""
        return not any(_is_near(fault, at_s) for fault in self._faults)

    def _affects(self, fault: Fault, vm: str) -> bool:
        if fault.kind in ALL_VMS:
            return True
        return vm in fault.on.split() or fault.on == self._halls.get(vm)


def _is_near(fault: Fault, at_s: float) -> bool:
    """Whether a fault lasted at a time, or had ended less than the recovery time before."""
    ended_s = math.inf if fault.ended_s is None else fault.ended_s
    return fault.began_s <= at_s <= ended_s + RECOVERY_S
