"""A stand-in for the platform's VM list, which shows changes after a lag."""

from __future__ import annotations

import asyncio
from collections import deque

from saddlestack.codec import from_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.platform.vms import VmEntry, VmList
from saddlestack.wire.http import HttpServer, Request, Response, json_response


class StandinVms:
    """The list of live and leaving VMs.

    :param lag_s: seconds until a change is visible.
    """

    def __init__(self, lag_s: float = 1.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self.reads = 0
        self._current: dict[str, VmEntry] = {}
        self._visible = VmList(0, [])
        self._pending: deque[tuple[float, VmList]] = deque()
        self._version = 0
        self.server = HttpServer(self.handle)

    async def start(self, address: str, port: int) -> None:
        """Serve on an address; port 0 picks a free port."""
        await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop serving."""
        await self.server.stop()

    def put(self, entry: VmEntry) -> None:
        """Add or update a VM."""
        self._current[entry.name] = entry
        self._add_snapshot()

    def remove(self, name: str) -> None:
        """Remove a VM, if it is listed."""
        self._current.pop(name, None)
        self._add_snapshot()

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        if self.down:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "the VM list is down")
        if request.path != "/v1/vms":
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no {request.path}")
        if request.method == "PUT":
            self.put(from_json(request.body, VmEntry))
            return Response(204)
        if request.method == "DELETE":
            self.remove(request.query.get("name", ""))
            return Response(204)
        self.reads += 1
        self._apply_due_snapshots()
        if request.query.get("after") == str(self._visible.version):
            return Response(204)
        return json_response(self._filtered(request.query.get("data_hall")))

    def _filtered(self, hall: str | None) -> VmList:
        if hall is None:
            return self._visible
        vms = [vm for vm in self._visible.vms if vm.role == "entry" or vm.data_hall == hall]
        return VmList(self._visible.version, vms)

    def _add_snapshot(self) -> None:
        self._version += 1
        now = asyncio.get_running_loop().time()
        snapshot = VmList(self._version, sorted(self._current.values(), key=lambda vm: vm.name))
        self._pending.append((now + self.lag_s, snapshot))

    def _apply_due_snapshots(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
