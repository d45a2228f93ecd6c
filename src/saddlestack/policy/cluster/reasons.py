"""The reasons for which a job waits: every mechanism that keeps work from starting.

There is no reason for a limit of a client account, since accounts have no limit on concurrent runs.
"""

from __future__ import annotations

import enum


class WaitReason(enum.StrEnum):
    """The mechanism that keeps all tasks of a job from running."""

    NOT_DUE = "not_due"
    EARLIER_STEP = "earlier_step"
    WRITE = "write"
    STARTING = "starting"
    STOPPING = "stopping"
    LEASE = "lease"
    ROUND_FULL = "round_full"
    ROUND_HELD = "round_held"
    NEXT_ROUND = "next_round"
    MAKING_ROOM = "making_room"
    HEADROOM = "headroom"
    NEAR_DATA = "near_data"
    FAILED_THERE = "failed_there"
    FASTER_WORKER = "faster_worker"
    HEALTHY_WORKER = "healthy_worker"
    ISOLATION = "isolation"
    UNCONFIRMED_CRASH = "unconfirmed_crash"
    ADVISER = "adviser"
    BACKFILL = "backfill"
    GANG_FIRST = "gang_first"
    RESERVED = "reserved"
    ISOLATED = "isolated"
    TRIAL = "trial"
    PROBATION = "probation"
    QUARANTINE = "quarantine"
    SILENT = "silent"
    LEAVING = "leaving"
    ONE_RACK = "one_rack"
    NO_ROOM = "no_room"
    NO_LABEL = "no_label"
    TOO_WIDE = "too_wide"
    LEFT_OUT = "left_out"

    @property
    def awaited(self) -> str:
        """What the job waits for, as a clause for operators."""
        return _SENTENCES[self][0]

    @property
    def ends(self) -> str:
        """What ends the wait, as a phrase for operators."""
        return _SENTENCES[self][1]


_SENTENCES: dict[WaitReason, tuple[str, str]] = {
    WaitReason.NOT_DUE: (
        "its next time is not due yet",
        "the time at which it is due",
    ),
    WaitReason.EARLIER_STEP: (
        "an earlier step of it has to be done first",
        "the end of that step",
    ),
    WaitReason.WRITE: (
        "its start is decided and not in the store yet",
        "the store's answer to the write",
    ),
    WaitReason.STARTING: (
        "its worker has not confirmed the start",
        "the worker's answer or next report, else a stop that it confirms",
    ),
    WaitReason.STOPPING: (
        "an earlier run of it is being stopped",
        "the worker's report that the run is over",
    ),
    WaitReason.LEASE: (
        "an earlier run of it may go on unseen on a worker that does not answer",
        "the worker's answer, else the end of its lease",
    ),
    WaitReason.ROUND_FULL: (
        "the last round of decisions was full before its turn",
        "one of the next rounds, which follow at once",
    ),
    WaitReason.ROUND_HELD: (
        "the next round of decisions cannot begin: records of an earlier one are being written",
        "the store's answer to that write",
    ),
    WaitReason.NEXT_ROUND: (
        "it fits, and the last round of decisions has not placed it",
        "the next round, within half a second; a longer wait is a defect: report it",
    ),
    WaitReason.MAKING_ROOM: (
        "runs are being stopped to make room for it",
        "the end of those runs, else of its reservation, after which room is searched anew",
    ),
    WaitReason.HEADROOM: (
        "the empty workers that it would open are kept for urgent work",
        "the end of other runs, or of its patience, after which these workers are open to it",
    ),
    WaitReason.NEAR_DATA: (
        "it waits for a place in the rack near its data, and would fit elsewhere",
        "room in that rack, or the end of its patience, after which it goes anywhere",
    ),
    WaitReason.FAILED_THERE: (
        "room is free only on workers where it failed, and there are others",
        "room on another worker",
    ),
    WaitReason.FASTER_WORKER: (
        "room is free only on workers that are too slow for its objective",
        "room on a faster worker, or the end of its wait, after which it goes to a slower one",
    ),
    WaitReason.HEALTHY_WORKER: (
        "its next failure is its last, and room is free only on workers that may be faulty",
        "room on a healthy worker, or the end of its wait, after which it goes to any worker",
    ),
    WaitReason.ISOLATION: (
        "a worker crashed under it, and it is to be started alone",
        "an empty worker, or the end of its patience, after which it goes beside others",
    ),
    WaitReason.UNCONFIRMED_CRASH: (
        "several workers stopped answering under it, and may have crashed or be cut off",
        "an answer of these workers or their successors, or the end of its wait, which doubles",
    ),
    WaitReason.ADVISER: (
        "the adviser has given leave for no worker with room enough",
        "the adviser's answer",
    ),
    WaitReason.BACKFILL: (
        "the workers that it would fill are kept for gangs of higher priority",
        "the start of those gangs, or other room",
    ),
    WaitReason.GANG_FIRST: (
        "the workers that it would fill are kept for a gang that has less time left",
        "the start of that gang, other room, or the end of its wait, after which it goes there",
    ),
    WaitReason.RESERVED: (
        "the free room is reserved for urgent work that waits for runs to stop",
        "the start of that work, the end of its reservation, or for short work a loan of the room",
    ),
    WaitReason.ISOLATED: (
        "workers with room are kept for a task that may crash them",
        "the end of that task there, or room elsewhere",
    ),
    WaitReason.TRIAL: (
        "workers with room have failed lately and take one task at a time",
        "a run that ends well there",
    ),
    WaitReason.PROBATION: (
        "workers with room have failed lately and take neither urgent work nor gangs",
        "the end of their probation, or a run that ends well there",
    ),
    WaitReason.QUARANTINE: (
        "workers with room have failed lately and take no work",
        "the end of their quarantine",
    ),
    WaitReason.SILENT: (
        "workers with room do not answer, or may be out of reach",
        "their answer, or room elsewhere",
    ),
    WaitReason.LEAVING: (
        "only workers that leave, are about to have upkeep or lie in evacuated data halls would do",
        "the return of the data hall, other workers, or room elsewhere",
    ),
    WaitReason.ONE_RACK: (
        "it wants one rack, and fits only spread over several",
        "the end of runs in one rack",
    ),
    WaitReason.NO_ROOM: (
        "the pool is too full for it",
        "the end of other runs",
    ),
    WaitReason.NO_LABEL: (
        "no worker has the label that it asks for",
        "a worker with that label",
    ),
    WaitReason.TOO_WIDE: (
        "it is wider than the pool as it is now, even if the pool were empty",
        "more workers, or larger ones; it is not rejected, since pools grow again",
    ),
    WaitReason.LEFT_OUT: (
        "its reason was not looked for: others have waited longer",
        "a look at it, once fewer wait",
    ),
}
