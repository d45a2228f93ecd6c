"""Client of the platform's list of VMs, which lags behind the actual state."""

from __future__ import annotations

import msgspec

from saddlestack.codec import from_json
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent

LIST_TIMEOUT_S = 2.0


class VmEntry(msgspec.Struct):
    """One VM as the platform lists it.

    :param role: ``entry`` or ``endpoint``.
    :param port: its HTTP port.
    :param peer_port: port on which an entry VM accepts peer streams; 0 for endpoints.
    :param leaving: whether it must receive no new work.
    """

    name: str
    data_hall: str
    role: str
    address: str
    port: int
    peer_port: int = 0
    leaving: bool = False


class VmList(msgspec.Struct):
    """The list of VMs and its version."""

    version: int
    vms: list[VmEntry]


class VmListUnavailable(Exception):
    """The platform did not answer; callers keep using the last list."""


class VmListClient:
    """Reads the platform's list of VMs."""

    def __init__(
        self, address: str, port: int, *, dialer: Dialer | None = None, token: str | None = None
    ) -> None:
        self._http = HttpClient(address, port, dialer=dialer, token=token)

    async def read(self, data_hall: str, after: int) -> VmList | None:
        """Read the current list, or ``None`` if it has not changed.

        :param data_hall: list only the endpoints of this hall, to keep the answer small.
        :param after: the last version received, or -1.
        :raises VmListUnavailable: no valid answer.
        """
        path = f"/v1/vms?data_hall={data_hall}"
        if after >= 0:
            path += f"&after={after}"
        try:
            response = await self._http.request("GET", path, timeout=LIST_TIMEOUT_S)
        except (NotSent, AnswerLost) as error:
            raise VmListUnavailable(str(error)) from error
        if response.status == 204:
            return None
        if response.status != 200:
            raise VmListUnavailable(f"answered {response.status}")
        return from_json(response.body, VmList)

    @property
    def bytes(self) -> int:
        """Bytes sent and received."""
        return self._http.bytes

    def close(self) -> None:
        """Close all connections."""
        self._http.close()
