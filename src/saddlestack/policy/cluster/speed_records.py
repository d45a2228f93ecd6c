"""Records of worker speeds: what is known of one worker, and the rows that others receive."""

from __future__ import annotations

from dataclasses import dataclass, field

from saddlestack.policy.cluster.speed_evidence import Belief, Evidence, confidence_of, decay
from saddlestack.policy.cluster.speed_levels import level_factor
from saddlestack.policy.cluster.workers import Worker

KNOWN_WEIGHT = 0.45
"""Weight of evidence from which on a worker's speed is known: a piece from five unknown workers."""
LEAST_CONFIDENCE = 0.1
"""Confidence below which the speed of a worker is no longer known: four half-lives after a piece
from a wide step."""


@dataclass(frozen=True, slots=True)
class SpeedEstimate:
    """The speed of a worker.

    :param factor: how long work takes there relative to a usual worker of its service.
    :param confidence: from 0 to 1.
    :param evidence: pieces of evidence.
    :param updated_s: when the latest piece changed.
    """

    factor: float
    confidence: float
    evidence: int
    updated_s: float


@dataclass(frozen=True, slots=True)
class SpeedRow:
    """The speed of a machine, as kept for the next leader.

    :param confidence: when the evidence last changed, ``age_s`` ago.
    """

    machine: str
    factor: float
    confidence: float
    evidence: int
    age_s: float


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A change of a worker's level; the confidence is 0 where the speed is no longer known."""

    worker_id: str
    machine: str
    factor: float
    confidence: float
    evidence: int
    age_s: float


@dataclass(slots=True, eq=False)
class WorkerSpeed:
    """What is known of the speed of one worker incarnation.

    :param pieces: its evidence, oldest first.
    :param prior: what was known of its machine before, if anything.
    :param belief: what the evidence says, before factors are made relative.
    :param estimated_s: when the belief was formed.
    :param offset: logarithm of its factor relative to its service, 0 while its speed is not known.
    :param known: whether there is enough evidence.
    :param level: its level, or ``None`` while there is none.
    :param gone: the incarnation was removed.
    """

    worker: Worker
    machine: str
    service: str
    pieces: list[Evidence] = field(default_factory=list)
    prior: Evidence | None = None
    belief: Belief | None = None
    estimated_s: float = 0.0
    offset: float = 0.0
    known: bool = False
    level: int | None = None
    gone: bool = False

    def weight(self, now: float, half_life_s: float) -> float:
        """The weight of its evidence, decayed to a time."""
        if self.belief is None:
            return 0.0
        return self.belief.weight * decay(now - self.estimated_s, half_life_s)

    def confidence(self, now: float, half_life_s: float) -> float:
        """Confidence in its factor at a time, from 0 to 1."""
        return confidence_of(self.weight(now, half_life_s))

    @property
    def evidence(self) -> int:
        """Number of pieces of evidence, with what was known before as one."""
        return len(self.pieces) + (self.prior is not None)

    @property
    def factor(self) -> float:
        """The time factor of its level; 1 while it has none."""
        return 1.0 if self.level is None else level_factor(self.level)

    def estimate(self, now: float, half_life_s: float) -> SpeedEstimate | None:
        """Its speed; ``None`` if it is not known."""
        if self.belief is None or self.level is None:
            return None
        confidence = self.confidence(now, half_life_s)
        return SpeedEstimate(self.factor, confidence, self.evidence, self.belief.updated_s)

    def row(self, now: float, half_life_s: float) -> SpeedRow | None:
        """Its speed for the next leader; ``None`` if it is not known."""
        found = self.estimate(now, half_life_s)
        if found is None:
            return None
        then = confidence_of(
            self.weight(self.estimated_s, half_life_s)
            / decay(self.estimated_s - found.updated_s, half_life_s)
        )
        age_s = max(0.0, now - found.updated_s)
        return SpeedRow(self.machine, self.factor, then, found.evidence, age_s)

    def change(self, now: float, half_life_s: float) -> SpeedChange:
        """The change to its present level."""
        found = self.estimate(now, half_life_s)
        if found is None:
            return SpeedChange(self.worker.worker_id, self.machine, 1.0, 0.0, 0, 0.0)
        return SpeedChange(
            self.worker.worker_id,
            self.machine,
            found.factor,
            found.confidence,
            found.evidence,
            max(0.0, now - found.updated_s),
        )
