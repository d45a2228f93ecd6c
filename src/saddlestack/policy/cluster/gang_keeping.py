"""Keeps the workers where waiting gangs fit soonest from backfill."""

from __future__ import annotations

from saddlestack.policy.cluster.backfill import Backfill
from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.places import Places
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.step_shapes import StepShapeNumbers


class GangKeeping:
    """Keeps workers for one gang of each shape in a round."""

    def __init__(
        self,
        candidates: Candidates,
        backfill: Backfill,
        gang_priority: GangPriority,
        preemption: StepPreemption,
        shapes: StepShapeNumbers,
        failed_shapes: FailedShapes,
    ) -> None:
        self._candidates = candidates
        self._backfill = backfill
        self._gang_priority = gang_priority
        self._preemption = preemption
        self._shapes = shapes
        self._failed_shapes = failed_shapes

    def keep(self, step: StepState, shape: int | None, now: float) -> None:
        """Keep the workers where a gang fits soonest, and stop others there if that is due."""
        if not step.step.gang or not self._begin_keeping(shape):
            return

        def limited_shape() -> int | None:
            limit = self._candidates.speed_limit(step, now)
            return self._shapes.limited(self._shapes.at_any_speed(step, now), limit)

        if self._gang_priority.keep(
            step, lambda: self._candidates.places(step, now), limited_shape
        ):
            self._preemption.preempt_for_gang(step, now)
            return
        self._keep_soonest(step, self._candidates.places(step, now))

    def keep_among(self, step: StepState, shape: int | None, places: Places) -> None:
        """Keep those of some workers where a gang fits soonest."""
        if self._begin_keeping(shape):
            self._keep_soonest(step, places)

    def _begin_keeping(self, shape: int | None) -> bool:
        """Whether workers may be kept for a gang of this shape, which is recorded as kept."""
        if self._backfill.is_full or self._failed_shapes.is_kept(shape):
            return False
        self._failed_shapes.note_kept(shape)
        return True

    def _keep_soonest(self, step: StepState, places: Places) -> None:
        self._backfill.keep(places.soonest(), step.occurrence.job.priority)
