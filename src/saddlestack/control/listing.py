"""The list of workers, according to their records in the platform's store.

A record may have been written by another writer. One that is invalid, or names an unknown service,
adds no worker; nor does one that names another address while work runs at the previous one. Runs on
a known incarnation continue, and are managed at its known address, until its worker reports their
end or its lease has expired.

A worker may restart under the same id: its record then names another incarnation. That one may be
used at once, since orders reach no incarnation but their own. Only the worker itself can confirm
that the previous incarnation is over, so it is polled for that.
"""

from __future__ import annotations

from collections.abc import Iterable

from saddlestack.control.context import EntryContext
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.sessions import Sessions
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.incarnations import started_ms_of, worker_id_of
from saddlestack.interfaces.store import Item
from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.policy.cluster.state import ClusterState

RECORD_RETURN_S = 3.0
"""A record that expired while the store was away is back within 2 s of its return, if its worker
lives; the removal may arrive 1 s late."""


class WorkerList:
    """Keeps the workers of a cluster state up to date with their records."""

    def __init__(
        self, context: EntryContext, cluster_state: ClusterState, sessions: Sessions
    ) -> None:
        self._clock = context.clock
        self._health = context.health
        self._documents = context.documents
        self._cluster_state = cluster_state
        self._sessions = sessions
        self._invalid_records = InvalidRecords(context.metrics, "worker")
        self._services: set[str] = set()
        self._unknown_service: dict[str, Item] = {}
        self._incarnations: dict[str, str] = {}

    def add_services(self, services: Iterable[str]) -> None:
        """Allows workers of these services to be used, also if their records were read before.

        A service stays allowed for the whole term, since there may be work left that needs its
        workers.
        """
        new = set(services) - self._services
        if not new:
            return
        self._services |= new
        waiting, self._unknown_service = self._unknown_service, {}
        self.apply(waiting.values())

    def replace(self, items: Iterable[Item]) -> None:
        """Applies a full list of the records; workers without one are removed."""
        items = tuple(items)
        self.apply(items)
        listed = {self._worker_id(item) for item in items}
        known = {worker_id_of(incarnation) for incarnation in self._cluster_state.workers} | set(
            self._unknown_service
        )
        for worker_id in sorted(known - listed):
            self._removed(worker_id)

    def apply(self, items: Iterable[Item]) -> None:
        """Applies records that were written or removed."""
        for item in items:
            if not item.revision:
                self._removed(self._worker_id(item))
                continue
            try:
                record = self._documents.worker(item)
            except SaddlestackError as error:
                self._reject(item, str(error))
                continue
            if record.service in self._services:
                self._take(item, record)
            else:
                self._reject_service(item)

    def next_incarnation(self, incarnation: str) -> str | None:
        """Returns the incarnation that follows one that is over, or ``None`` if none is listed yet.

        If none is, the next record under the same id counts as another incarnation.
        """
        listed = self._incarnations.setdefault(worker_id_of(incarnation), incarnation)
        return None if listed == incarnation else listed

    def _take(self, item: Item, record: WorkerRecord) -> None:
        worker_id = self._worker_id(item)
        before = self._incarnations.get(worker_id, record.worker_id)
        is_restarted = record.worker_id != before
        if is_restarted:
            self._supersede(before)
        worker = self._cluster_state.workers.get(record.worker_id)
        if worker is not None and worker.record.address not in {"", record.address}:
            if worker.runs:
                self._reject(item, "address differs from the one where its work runs")
                return
            self._unlist(record.worker_id)
        self._unknown_service.pop(worker_id, None)
        self._incarnations[worker_id] = record.worker_id
        self._cluster_state.set_worker(record, self._clock.now())
        if is_restarted:
            self._sessions.revoke_starts(record.worker_id)

    def _supersede(self, incarnation: str) -> None:
        """Polls an incarnation to find out whether it is over, since a record names another one."""
        self._unlist(incarnation)
        worker = self._cluster_state.workers.get(incarnation)
        if worker is not None:
            self._sessions.suspect_worker(worker)

    def _reject_service(self, item: Item) -> None:
        if self._services:
            self._reject(item, "no configuration names its service")
        self._unknown_service[self._worker_id(item)] = item

    def _reject(self, item: Item, reason: str) -> None:
        worker_id = self._worker_id(item)
        self._invalid_records.report(item.key, reason)
        self._unknown_service.pop(worker_id, None)
        self._unlist(self._incarnations.get(worker_id, worker_id))

    def _removed(self, worker_id: str) -> None:
        """Handles a removed record. Runs may continue, whatever their worker announced before.

        A worker that has announced nothing is polled at once: whether it still answers tells a
        planned end from a crash.
        """
        self._unknown_service.pop(worker_id, None)
        incarnation = self._incarnations.get(worker_id, worker_id)
        if not started_ms_of(incarnation):
            # Without a start time, the next record may be that of the next incarnation.
            self._incarnations.pop(worker_id, None)
        is_stable = self._health.available_s > RECORD_RETURN_S
        self._unlist(incarnation, self._clock.now() if is_stable else None)
        worker = self._cluster_state.workers.get(incarnation)
        if worker is not None and not worker.record.draining:
            self._sessions.poll(worker)

    def _unlist(self, incarnation: str, withdrawn_s: float | None = None) -> None:
        """Starts nothing more on an incarnation; its runs continue.

        :param withdrawn_s: when its record was removed, if that was not in an outage of the store.
        """
        self._cluster_state.unlist_worker(incarnation, withdrawn_s)
        if incarnation not in self._cluster_state.workers:
            self._sessions.close(incarnation)

    def _worker_id(self, item: Item) -> str:
        return item.key.removeprefix(self._documents.locations.workers_prefix)
