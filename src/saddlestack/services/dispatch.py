"""Sends a gang's commands to its endpoints: two-phase start, and stop of all parts.

A gang is first prepared on every endpoint, which reserves accelerators and runs nothing. Parts
are started only when all are prepared and, for run-once work, the start is in the ledger. If
anything fails, every part is stopped, and the results show whether any of them ran.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

from saddlestack.errors import ErrorKind
from saddlestack.models import JobSpec, Part
from saddlestack.platform.endpoint import Command, CommandResult, Op
from saddlestack.services.link import EndpointLink, EndpointUnreachable, LeaseRefused

START_TIMEOUT_S = 8.0
START_RETRY_S = 0.2


class LaunchOutcome(enum.StrEnum):
    """Outcome of a launch; ``BROKEN`` if some part may have run."""

    STARTED = "started"
    NOT_STARTED = "not_started"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class LaunchOrder:
    """A gang to start.

    :param commit: writes the start of run-once work to the ledger, given the incarnations of
        the endpoints; returns whether the write is confirmed.
    """

    spec: JobSpec
    attempt: int
    parts: tuple[Part, ...]
    progress: float
    resume: bool
    commit: Callable[[tuple[int, ...]], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class StopResult:
    """Result of stopping a gang.

    :param confirmed: every endpoint has confirmed that its part is stopped.
    :param never_started: every endpoint has confirmed that its part never ran.
    :param progress: seconds of work that every part has saved.
    """

    confirmed: bool
    never_started: bool
    progress: float


class Dispatch:
    """Sends the commands of whole gangs.

    :param links: links to the cell's endpoints, by VM name.
    :param now: returns the current time in seconds.
    """

    def __init__(self, links: Mapping[str, EndpointLink], now: Callable[[], float]) -> None:
        self._links = links
        self._now = now

    async def launch(self, order: LaunchOrder) -> LaunchOutcome:
        """Start every part of a gang; on failure, stop all of them.

        :rtype: LaunchOutcome
        """
        if len(order.parts) == 1 and not order.spec.run_once:
            return await self._run_single(order)
        prepared = await self._send_all(order, Op.PREPARE)
        if not all(result is not None and result.ok for result in prepared):
            await self._cancel_prepared(order)
            return LaunchOutcome.NOT_STARTED
        incarnations = tuple(self._incarnation(part.vm) for part in order.parts)
        if order.spec.run_once and not await order.commit(incarnations):
            await self._cancel_prepared(order)
            return LaunchOutcome.NOT_STARTED
        return await self._start(order, incarnations)

    async def stop_parts(
        self,
        job_id: str,
        attempt: int,
        vms: Iterable[str],
        op: Op,
        incarnations: tuple[int, ...] = (),
    ) -> StopResult:
        """Stop every part of a gang.

        :param op: ``CHECKPOINT``, ``STOP`` or ``CANCEL``.
        :param incarnations: incarnations of the endpoints at the start; if given, results
            count only from the same incarnations.
        """
        names = list(vms)
        command = Command(op=op, job=job_id, attempt=attempt)
        results = await asyncio.gather(*(self._send(vm, command) for vm in names))
        same_incarnation = [
            not incarnations or self._incarnation(vm) == incarnations[i]
            for i, vm in enumerate(names)
        ]
        answered = [result for result in results if result is not None]
        return StopResult(
            confirmed=len(answered) == len(names)
            and all(same_incarnation)
            and all(r.ok for r in answered),
            never_started=len(answered) == len(names)
            and all(same_incarnation)
            and not any(r.started for r in answered),
            progress=min((r.progress for r in answered), default=0.0),
        )

    async def acknowledge(self, job_id: str, attempt: int, vms: Iterable[str]) -> None:
        """Let endpoints drop a gang that has ended."""
        command = Command(op=Op.ACK, job=job_id, attempt=attempt)
        await asyncio.gather(*(self._send(vm, command) for vm in vms))

    async def _run_single(self, order: LaunchOrder) -> LaunchOutcome:
        (result,) = await self._send_all(order, Op.RUN)
        if result is not None and result.ok:
            return LaunchOutcome.STARTED
        if result is not None:
            return LaunchOutcome.NOT_STARTED
        stopped = await self._stop_parts(order, Op.STOP)
        return LaunchOutcome.NOT_STARTED if stopped.never_started else LaunchOutcome.BROKEN

    async def _start(self, order: LaunchOrder, incarnations: tuple[int, ...]) -> LaunchOutcome:
        deadline = self._now() + START_TIMEOUT_S
        started = await asyncio.gather(
            *(self._start_part(order, i, deadline) for i in range(len(order.parts)))
        )
        if all(started):
            return LaunchOutcome.STARTED
        vms = [part.vm for part in order.parts]
        stopped = await self.stop_parts(
            order.spec.job_id, order.attempt, vms, Op.STOP, incarnations
        )
        return LaunchOutcome.NOT_STARTED if stopped.never_started else LaunchOutcome.BROKEN

    async def _start_part(self, order: LaunchOrder, index: int, deadline: float) -> bool:
        command = self._command(order, index, Op.START)
        while True:
            result = await self._send(order.parts[index].vm, command)
            if result is not None:
                return result.ok
            if self._now() >= deadline:
                return False
            await asyncio.sleep(START_RETRY_S)

    async def _cancel_prepared(self, order: LaunchOrder) -> None:
        await self._stop_parts(order, Op.CANCEL)

    async def _stop_parts(self, order: LaunchOrder, op: Op) -> StopResult:
        vms = [part.vm for part in order.parts]
        return await self.stop_parts(order.spec.job_id, order.attempt, vms, op)

    async def _send_all(self, order: LaunchOrder, op: Op) -> list[CommandResult | None]:
        return await asyncio.gather(
            *(
                self._send(part.vm, self._command(order, i, op))
                for i, part in enumerate(order.parts)
            )
        )

    def _command(self, order: LaunchOrder, index: int, op: Op) -> Command:
        if op is Op.START:
            return Command(op=op, job=order.spec.job_id, attempt=order.attempt)
        return Command(
            op=op,
            job=order.spec.job_id,
            attempt=order.attempt,
            accelerators=order.parts[index].accelerators,
            progress=order.progress,
            resume=order.resume,
            leader=index == 0,
            parts=tuple(part.vm for part in order.parts),
            spec=order.spec,
        )

    async def _send(self, vm: str, command: Command) -> CommandResult | None:
        """Send a command; ``None`` if it is not known what the endpoint did."""
        link = self._links.get(vm)
        if link is None:
            return None
        try:
            return await link.command(command)
        except LeaseRefused:
            if command.op in {Op.PREPARE, Op.RUN}:
                return CommandResult(ok=False, error=ErrorKind.STALE_TERM.value)
            return None
        except EndpointUnreachable:
            return None

    def _incarnation(self, vm: str) -> int:
        link = self._links.get(vm)
        return 0 if link is None else link.incarnation
