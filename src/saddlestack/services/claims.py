"""Claims: assign each request id to one cell across all data halls.

A claim is written by compare-and-swap on one of a few keys before a job is submitted to a cell.
The first claim wins, so that the same request sent through two VMs or two halls at once reaches
one cell and runs once.
"""

from __future__ import annotations

import asyncio

import msgspec

from saddlestack.codec import from_json, to_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import Service
from saddlestack.models import Model
from saddlestack.platform.store import StoreClient, StoreUnavailable
from saddlestack.services import names
from saddlestack.services.context import Context
from saddlestack.services.groupcommit import GroupCommit, WriterStamp
from saddlestack.services.ledger import bucket_of
from saddlestack.services.membership import Membership, rendezvous
from saddlestack.services.rpc import Rpc
from saddlestack.wire.messages import ClaimReply, ClaimRequest
from saddlestack.wire.streams import LinkLost

CLAIM_BUCKETS = 8
RUN_ONCE_TIMEOUT_S = 4.0
CLAIM_TIMEOUT_S = 1.5
FORWARD_SLACK_S = 0.5
MAX_CLAIMS_PER_BUCKET = 10_000
RETRY_AFTER_S = 2.0


class Claim(msgspec.Struct, array_like=True):
    """The cell that a request id belongs to, and the wall time of the claim."""

    cell: str
    at: float


class ClaimValue(Model, frozen=True):
    """The stored form of a bucket of claims."""

    writer: str
    sequence: int
    claims: dict[str, Claim]


class _ClaimBucket:
    """Claims known to be in the store, and those that this VM has yet to add."""

    def __init__(self, owner: Claims, store: StoreClient, number: int, context: Context) -> None:
        self.known: dict[str, Claim] = {}
        self.pending: dict[str, Claim] = {}
        self._built: dict[str, Claim] = {}
        self._owner = owner
        self._writer = f"{context.vm}#{context.incarnation}"
        self.commit = GroupCommit(
            store,
            f"claims/{number}",
            self._writer,
            context.rng,
            build=self._build,
            merge=self._merge,
            read_stamp=self._read_stamp,
            committed=self._committed,
        )

    def _build(self, sequence: int) -> bytes:
        oldest = self._owner.oldest_kept()
        merged = {**self.pending, **self.known}
        self._built = {job_id: claim for job_id, claim in merged.items() if claim.at >= oldest}
        return to_json(ClaimValue(writer=self._writer, sequence=sequence, claims=self._built))

    def _committed(self) -> None:
        self.known = self._built

    def _merge(self, value: bytes) -> None:
        """Replace the known claims by the stored ones; they win over pending claims."""
        other = from_json(value, ClaimValue)
        self.known = dict(other.claims)

    def _read_stamp(self, value: bytes) -> WriterStamp:
        other = from_json(value, ClaimValue)
        return WriterStamp(other.writer, other.sequence)


class Claims(Service):
    """Claims request ids for cells and looks claims up."""

    def __init__(self, context: Context) -> None:
        super().__init__(names.CLAIMS, context.clock)
        self._context = context
        self._store = context.registry.get(names.STORE, StoreClient)
        self._membership = context.registry.get(names.MEMBERSHIP, Membership)
        rpc = context.registry.get(names.RPC, Rpc)
        rpc.add("claim", ClaimRequest, self._serve_claim)
        self._buckets = [
            _ClaimBucket(self, self._store, number, context) for number in range(CLAIM_BUCKETS)
        ]

    async def stop(self) -> None:
        """Stop; claims that are not yet written fail."""
        for bucket in self._buckets:
            await bucket.commit.close()
        await super().stop()

    def oldest_kept(self) -> float:
        """The wall time before which claims are dropped."""
        return self.clock.wall() - self._context.settings.retention_s

    async def claim(self, job_id: str, cell: str, *, patient: bool) -> str:
        """Claim a request id for a cell through the VM that currently writes its bucket.

        Any VM may write any bucket; using one writer per bucket avoids conflicts.

        :param patient: wait longer for a slow store.
        :return: the cell that has the claim, which an earlier claim may have chosen.
        :raises SaddlestackError: the store is unavailable, or the bucket is full; the request
            will not run.
        """
        writer = self._writer_of(job_id)
        if writer != self._context.vm:
            body = ClaimRequest(job_id, cell, patient)
            timeout = (
                RUN_ONCE_TIMEOUT_S + FORWARD_SLACK_S
                if patient
                else CLAIM_TIMEOUT_S + FORWARD_SLACK_S
            )
            try:
                reply = await self._membership.call(writer, "claim", body, ClaimReply, timeout)
            except (LinkLost, SaddlestackError):
                pass
            else:
                return reply.cell
        return await self._claim_locally(job_id, cell, patient=patient)

    def _writer_of(self, job_id: str) -> str:
        bucket = bucket_of(job_id, CLAIM_BUCKETS)
        return rendezvous(f"claims/{bucket}", self._membership.alive())[0]

    async def _serve_claim(self, body: ClaimRequest) -> ClaimReply:
        return ClaimReply(await self._claim_locally(body.job_id, body.cell, patient=body.patient))

    async def _claim_locally(self, job_id: str, cell: str, *, patient: bool) -> str:
        bucket = self._buckets[bucket_of(job_id, CLAIM_BUCKETS)]
        known = bucket.known.get(job_id)
        if known is not None:
            return known.cell
        if len(bucket.known) >= MAX_CLAIMS_PER_BUCKET:
            raise SaddlestackError(
                ErrorKind.QUEUE_FULL, "too many claims are stored", retry_after=60.0
            )
        bucket.pending.setdefault(job_id, Claim(cell, self.clock.wall()))
        try:
            async with asyncio.timeout(RUN_ONCE_TIMEOUT_S if patient else CLAIM_TIMEOUT_S):
                await asyncio.shield(bucket.commit.commit())
        except TimeoutError:
            raise SaddlestackError(
                ErrorKind.STORE_UNAVAILABLE,
                "the platform's store does not answer; the request was not run",
                retry_after=RETRY_AFTER_S,
            ) from None
        finally:
            bucket.pending.pop(job_id, None)
        return bucket.known[job_id].cell

    async def find(self, job_id: str) -> str | None:
        """The cell that has a request id, from memory or from the store.

        :raises StoreUnavailable: the store did not answer.
        """
        bucket = self._buckets[bucket_of(job_id, CLAIM_BUCKETS)]
        if job_id in bucket.known:
            return bucket.known[job_id].cell
        entry = await self._store.get(bucket.commit.key)
        if not entry.version:
            return None
        claim = from_json(entry.value, ClaimValue).claims.get(job_id)
        return claim.cell if claim else None

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last call."""
        return self._store.available


__all__ = ["Claim", "Claims", "StoreUnavailable"]
