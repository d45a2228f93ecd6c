"""Drives the operators' waves of upkeep while this VM leads.

A machine gets no new work, runs empty as far as time allows, and is then ordered down. Orders
carry the term's fencing token; a new leader waits until no order of an earlier one can count
as taking turns with its own.
"""

from __future__ import annotations

import asyncio
import logging

from saddlestack.codec import from_json, to_json
from saddlestack.control.context import EntryContext
from saddlestack.control.feed import Feed
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.keys import LEADER, wave_key
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.machines import Machines, MachinesUnavailable, UpkeepOutcome
from saddlestack.interfaces.store import (
    Conflict,
    Item,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.models import Model
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.workers import Worker
from saddlestack.policy.upkeep import WaveState

log = logging.getLogger("saddlestack.upkeep")

TICK_S = 0.25
STORE_RETRY_S = 0.3


class WaveRecord(Model, frozen=True):
    """What is kept of a wave: machines whose upkeep has begun, and whether it is over."""

    begun: tuple[str, ...] = ()
    completed: bool = False


class Upkeep:
    """The waves of one term.

    :param fence: the term's fencing token.
    """

    def __init__(
        self, context: EntryContext, machines: Machines, cluster_state: ClusterState, fence: int
    ) -> None:
        self._context = context
        self._machines = machines
        self._cluster_state = cluster_state
        self._fence = fence
        self._clock = context.clock
        self._waves: dict[int, WaveState] = {}
        self._completed: set[int] = set()
        self._feed = Feed(
            context, context.documents.locations.waves_prefix, self._ordered, self._ordered
        )
        self._fresh: list[Item] = []
        self._invalid_records = InvalidRecords(context.metrics, "wave")

    async def run(self) -> None:
        """Drive waves until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._feed.run())
            group.create_task(self._drive())

    def _ordered(self, items: tuple[Item, ...]) -> None:
        self._fresh += [item for item in items if item.revision]

    async def _drive(self) -> None:
        await asyncio.sleep(self._context.settings.timings.machine_lease_ms / 1000)
        while True:
            while self._fresh:
                await self._take(self._fresh.pop(0))
            for number, state in list(self._waves.items()):
                await self._advance(state)
                if state.finished:
                    await self._keep(state, completed=True)
                    self._completed.add(number)
                    del self._waves[number]
            await asyncio.sleep(TICK_S)

    async def _take(self, item: Item) -> None:
        try:
            wave = self._context.documents.wave(item)
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            return
        if wave.wave in self._waves or wave.wave in self._completed:
            return
        try:
            kept = await self._read(wave.wave)
        except SaddlestackError as error:
            # Some of its machines may have had their upkeep, and none is to have it twice.
            self._invalid_records.report(wave_key(wave.wave), str(error))
            return
        if kept.completed:
            self._completed.add(wave.wave)
            return
        down_s = self._context.settings.timings.upkeep_s
        state = WaveState(wave, self._clock.now(), down_s)
        for name in kept.begun:
            state.mark_done(name)
        self._waves[wave.wave] = state
        log.info(
            "wave of upkeep",
            extra={"event": "wave", "wave": wave.wave, "machines": len(wave.machines)},
        )
        await self._keep(state, completed=False)

    async def _advance(self, state: WaveState) -> None:
        workers = self._by_machine()
        now = self._clock.now()
        for worker, leaves_s in state.prepare(workers, now):
            worker.closing = True
            worker.leaves_s = leaves_s
        due = state.due(workers, now)
        if due:
            await asyncio.gather(*(self._order(state, name) for name in due))

    def _by_machine(self) -> dict[str, Worker]:
        """The worker of each machine, also one whose record is refused while work runs there.

        Where records of several name a machine, one may be another writer's, or that of a life
        before: the machine is not idle while work runs on any that is listed.
        """
        workers = [
            worker for worker in self._cluster_state.workers.values() if worker.record.machine
        ]
        present = [worker for worker in workers if worker.listed or worker.runs]
        present.sort(key=lambda worker: (worker.listed, bool(worker.runs)))
        return {worker.record.machine: worker for worker in present}

    async def _order(self, state: WaveState, machine: str) -> None:
        try:
            outcome = await self._machines.upkeep(
                machine, state.wave.wave, self._context.settings.vm, self._fence
            )
        except MachinesUnavailable as error:
            log.warning(
                "machines do not answer",
                extra={"event": "machines_lost", "machine": machine, "reason": str(error)},
            )
            return
        log.info(
            "upkeep",
            extra={"event": "upkeep", "machine": machine, "outcome": outcome.value},
        )
        if outcome is UpkeepOutcome.BEGUN:
            state.mark_down(machine)
            await self._keep(state, completed=False)
        elif outcome in {UpkeepOutcome.UNKNOWN_MACHINE, UpkeepOutcome.NOT_IN_WAVE}:
            state.mark_done(machine)
            self._give_back(machine)

    def _give_back(self, machine: str) -> None:
        """A machine goes on: its worker takes work again, unless another wave prepares it."""
        if any(state.is_preparing(machine) for state in self._waves.values()):
            return
        for worker in self._cluster_state.workers.values():
            if worker.record.machine == machine:
                worker.cancel_upkeep()

    async def _read(self, wave: int) -> WaveRecord:
        while True:
            try:
                item = await self._context.store.get(wave_key(wave))
                return from_json(item.value, WaveRecord) if item.revision else WaveRecord()
            except StoreUnavailable:
                await self._context.health.wait_for_recovery(STORE_RETRY_S)

    async def _keep(self, state: WaveState, *, completed: bool) -> None:
        """Write how far a wave is, for the operator and for the next leader."""
        number = state.wave.wave
        places = self._context.documents.locations
        status = self._context.documents.wave_status(completed=completed)
        record = WaveRecord(begun=state.begun, completed=completed)
        transaction = Transaction(
            expect=((LEADER, self._fence),),
            puts=(
                Put(f"{places.wave_status_prefix}{number}", status),
                Put(wave_key(number), to_json(record)),
            ),
        )
        while True:
            try:
                outcome = await self._context.store.transact(transaction)
            except (StoreUnavailable, WriteInDoubt):
                await self._context.health.wait_for_recovery(STORE_RETRY_S)
                continue
            if isinstance(outcome, Conflict):
                log.warning("wave is another leader's", extra={"event": "wave_displaced"})
            return
