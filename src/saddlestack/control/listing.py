"""Which workers there are, as their records in the platform's store tell.

A record may come from another writer. One that cannot be read, or names a service that is not
known, names no worker to use; nor does one that names another address while work runs at the one
before. What runs on a life that was known goes on, and is dealt with at the address known before,
until its worker tells its end or its lease has lapsed.

A worker may start again under its id: its record then tells of another life. That one may be used
at once, since orders reach no life but their own. Of the one before, only the worker's own word
tells that it is over, and it is asked for that.
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


class WorkerList:
    """Keeps a board's workers in step with their records."""

    def __init__(
        self, context: EntryContext, cluster_state: ClusterState, sessions: Sessions
    ) -> None:
        self._clock = context.clock
        self._documents = context.documents
        self._cluster_state = cluster_state
        self._sessions = sessions
        self._invalid_records = InvalidRecords(context.metrics, "worker")
        self._services: set[str] = set()
        self._no_service: dict[str, Item] = {}
        self._lives: dict[str, str] = {}

    def add_services(self, services: Iterable[str]) -> None:
        """Workers of these services may be used from now on, also those whose records are known.

        A service stays known for as long as the term: work may be left that asks for its workers.
        """
        new = set(services) - self._services
        if not new:
            return
        self._services |= new
        waiting, self._no_service = self._no_service, {}
        self.apply(waiting.values())

    def replace(self, items: Iterable[Item]) -> None:
        """All records that there are."""
        items = tuple(items)
        self.apply(items)
        listed = {self._id(item) for item in items}
        known = {worker_id_of(life) for life in self._cluster_state.workers} | set(self._no_service)
        for worker_id in sorted(known - listed):
            self._removed(worker_id)

    def apply(self, items: Iterable[Item]) -> None:
        """Some records were written or removed."""
        for item in items:
            if not item.revision:
                self._removed(self._id(item))
                continue
            try:
                record = self._documents.worker(item)
            except SaddlestackError as error:
                self._refuse(item, str(error))
                continue
            if record.service in self._services:
                self._take(item, record)
            else:
                self._refuse_service(item)

    def next_incarnation(self, life: str) -> str | None:
        """The life that is listed under the id of one that is over; ``None`` while there is none.

        The next record under the id counts as that of another life then.
        """
        listed = self._lives.setdefault(worker_id_of(life), life)
        return None if listed == life else listed

    def _take(self, item: Item, record: WorkerRecord) -> None:
        worker_id = self._id(item)
        before = self._lives.get(worker_id, record.worker_id)
        another = record.worker_id != before
        if another:
            self._supersede(before)
        worker = self._cluster_state.workers.get(record.worker_id)
        if worker is not None and worker.record.address not in {"", record.address}:
            if worker.runs:
                self._refuse(item, "another address than the one where its work runs")
                return
            self._unlist(record.worker_id)
        self._no_service.pop(worker_id, None)
        self._lives[worker_id] = record.worker_id
        self._cluster_state.set_worker(record, self._clock.now())
        if another:
            self._sessions.revoke_starts(record.worker_id)

    def _supersede(self, life: str) -> None:
        """A record tells of another life of a worker: this one is asked whether it is over."""
        self._unlist(life)
        worker = self._cluster_state.workers.get(life)
        if worker is not None:
            self._sessions.suspect_worker(worker)

    def _refuse_service(self, item: Item) -> None:
        if self._services:
            self._refuse(item, "no configuration names its service")
        self._no_service[self._id(item)] = item

    def _refuse(self, item: Item, reason: str) -> None:
        worker_id = self._id(item)
        self._invalid_records.report(item.key, reason)
        self._no_service.pop(worker_id, None)
        self._unlist(self._lives.get(worker_id, worker_id))

    def _removed(self, worker_id: str) -> None:
        """A record is gone; what runs there may go on, whatever its worker had announced."""
        self._no_service.pop(worker_id, None)
        life = self._lives.get(worker_id, worker_id)
        if not started_ms_of(life):
            # Another life has another id; otherwise the next record may be the next life's.
            self._lives.pop(worker_id, None)
        self._unlist(life)

    def _unlist(self, life: str) -> None:
        """Give a life nothing new; what runs there goes on."""
        self._cluster_state.unlist_worker(life)
        if life not in self._cluster_state.workers:
            self._sessions.close(life)

    def _id(self, item: Item) -> str:
        return item.key.removeprefix(self._documents.locations.workers_prefix)
