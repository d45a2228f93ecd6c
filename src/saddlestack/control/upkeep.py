"""Runs the operators' waves of machine upkeep while this VM leads.

A machine gets no new work, is drained as far as time allows, and is then ordered down. Orders
carry the term's fencing token. A new leader first waits for one machine lease, so that no order of
an earlier leader can interleave with its own.
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
    """The stored progress of a wave: machines whose upkeep has begun, and whether it is over."""

    begun: tuple[str, ...] = ()
    completed: bool = False


class Upkeep:
    """Runs the waves of one term.

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
            context,
            context.documents.locations.waves_prefix,
            self._on_waves,
            self._on_waves,
            name="waves",
        )
        self._new_items: list[Item] = []
        self._invalid_records = InvalidRecords(context.metrics, "wave")

    async def run(self) -> None:
        """Run waves until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._feed.run())
            group.create_task(self._drive())

    def _on_waves(self, items: tuple[Item, ...]) -> None:
        self._new_items += [item for item in items if item.revision]

    async def _drive(self) -> None:
        await asyncio.sleep(self._context.settings.timings.machine_lease_ms / 1000)
        while True:
            while self._new_items:
                await self._begin_wave(self._new_items.pop(0))
            for number, state in list(self._waves.items()):
                await self._advance(state)
                if state.finished:
                    await self._save(state, completed=True)
                    self._completed.add(number)
                    del self._waves[number]
            await asyncio.sleep(TICK_S)

    async def _begin_wave(self, item: Item) -> None:
        try:
            wave = self._context.documents.wave(item)
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            return
        if wave.wave in self._waves or wave.wave in self._completed:
            return
        try:
            stored_record = await self._read(wave.wave)
        except SaddlestackError as error:
            # Some of its machines may have had their upkeep already; none must have it twice.
            self._invalid_records.report(wave_key(wave.wave), str(error))
            return
        if stored_record.completed:
            self._completed.add(wave.wave)
            return
        down_s = self._context.settings.timings.upkeep_s
        state = WaveState(wave, self._clock.now(), down_s)
        for name in stored_record.begun:
            state.mark_done(name)
        self._waves[wave.wave] = state
        log.info(
            "upkeep wave started",
            extra={"event": "wave", "wave": wave.wave, "machines": len(wave.machines)},
        )
        await self._save(state, completed=False)

    async def _advance(self, state: WaveState) -> None:
        workers = self._workers_by_machine()
        now = self._clock.now()
        for worker, leaves_s in state.prepare(workers, now):
            worker.closing = True
            worker.leaves_s = leaves_s
        due = state.due(workers, now)
        if due:
            await asyncio.gather(*(self._order(state, name) for name in due))

    def _workers_by_machine(self) -> dict[str, Worker]:
        """The worker of each machine, including one with runs whose record is invalid.

        If several records name a machine, one may come from another writer or from an earlier
        incarnation: the machine is not idle while work runs on any that is listed.
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
                "machine service does not answer",
                extra={"event": "machines_lost", "machine": machine, "reason": str(error)},
            )
            return
        log.info(
            "upkeep",
            extra={"event": "upkeep", "machine": machine, "outcome": outcome.value},
        )
        if outcome is UpkeepOutcome.BEGUN:
            state.mark_down(machine)
            await self._save(state, completed=False)
        elif outcome in {UpkeepOutcome.UNKNOWN_MACHINE, UpkeepOutcome.NOT_IN_WAVE}:
            state.mark_done(machine)
            self._release_machine(machine)

    def _release_machine(self, machine: str) -> None:
        """Let a machine's worker take work again, unless another wave is draining it."""
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

    async def _save(self, state: WaveState, *, completed: bool) -> None:
        """Write the progress of a wave, for the operator and for the next leader."""
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
                log.warning("another leader runs the wave", extra={"event": "wave_displaced"})
            return
