"""The platform's interface for whole machines, and its adviser.

See the platform's protocol page, "machines" and the call for advice.
"""

from __future__ import annotations

import msgspec

from saddlestack.codec import from_json
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.incarnations import worker_id_of
from saddlestack.interfaces.machines import (
    AdviserUnavailable,
    Leave,
    MachinesUnavailable,
    UpkeepOutcome,
)
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent

HOLDER_HEADER = "Saddlestack-Lease-Holder"
FENCE_HEADER = "Saddlestack-Fence-Token"
CALL_TIMEOUT_S = 1.5
ADVICE_TIMEOUT_S = 10.0
_OUTCOMES = {
    "busy": UpkeepOutcome.BUSY,
    "fence": UpkeepOutcome.FENCED,
    "wave": UpkeepOutcome.NOT_IN_WAVE,
}


class _Upkeep(msgspec.Struct):
    machine: str
    wave: int


class _Refused(msgspec.Struct):
    reason: str = ""


class _Question(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _Good(msgspec.Struct, array_like=True):
    worker: str
    ticket: str


class _Advice(msgspec.Struct, rename="kebab"):
    good: list[_Good] = []
    valid_ms: float = 0


class HttpMachines:
    """Client of the platform's machine interface, over a persistent connection."""

    def __init__(self, address: str, port: int, *, dialer: Dialer | None = None) -> None:
        self._http = HttpClient(address, port, dialer=dialer, max_idle=1)

    async def upkeep(self, machine: str, wave: int, holder: str, fence: int) -> UpkeepOutcome:
        """Take a machine down for its upkeep.

        :raises MachinesUnavailable: no valid answer; the order may have been carried out.
        """
        try:
            response = await self._http.request(
                "POST",
                "/api/machine-upkeep",
                _Upkeep(machine, wave),
                timeout=CALL_TIMEOUT_S,
                headers=((HOLDER_HEADER, holder), (FENCE_HEADER, str(fence))),
            )
        except (NotSent, AnswerLost) as error:
            raise MachinesUnavailable(str(error)) from error
        if response.status == 200:
            return UpkeepOutcome.BEGUN
        if response.status == 400:
            return UpkeepOutcome.UNKNOWN_MACHINE
        if response.status != 409:
            raise MachinesUnavailable(f"answered {response.status}")
        try:
            refused = from_json(response.body, _Refused)
        except SaddlestackError as error:
            raise MachinesUnavailable(str(error)) from error
        return _OUTCOMES.get(refused.reason, UpkeepOutcome.BUSY)


class HttpAdviser:
    """Client of the adviser, over one persistent connection."""

    def __init__(self, address: str, port: int, *, dialer: Dialer | None = None) -> None:
        self._http = HttpClient(address, port, dialer=dialer, max_idle=1)

    async def advise(self, step: str, workers: tuple[str, ...]) -> tuple[Leave, ...]:
        """Return the adviser's approvals of workers for a step.

        The adviser is given worker IDs; its answers are mapped back to incarnation names.

        :raises AdviserUnavailable: no valid answer.
        """
        incarnations = {worker_id_of(name): name for name in workers}
        try:
            response = await self._http.request(
                "POST",
                "/api/advise",
                _Question(step, tuple(incarnations)),
                timeout=ADVICE_TIMEOUT_S,
            )
            if response.status != 200:
                raise AdviserUnavailable(f"answered {response.status}")
            advice = from_json(response.body, _Advice)
        except (NotSent, AnswerLost, SaddlestackError) as error:
            raise AdviserUnavailable(str(error)) from error
        valid_s = advice.valid_ms / 1000
        good = [row for row in advice.good if row.worker in incarnations]
        return tuple(Leave(incarnations[row.worker], row.ticket, valid_s) for row in good)
