"""Numbers for the shapes of steps, which decide whether a step is tried again in a round."""

from __future__ import annotations

from dataclasses import replace

from saddlestack.policy.cluster.candidates import prefers_near
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.shapes import Shape, ShapeNumbers, StepShapes
from saddlestack.policy.cluster.speed_limits import SpeedLimit


class StepShapeNumbers:
    """Looks up the number of each step's shape."""

    def __init__(self, cluster_state: PlannerContext) -> None:
        self._cluster_state = cluster_state
        self._shapes = ShapeNumbers()

    def at_any_speed(self, step: StepState, now: float) -> int | None:
        """Number of the step's shape at any speed.

        ``None`` if more than its shape decides whether it fits.
        """
        if self._cluster_state.is_advised(step.occurrence.job):
            return None
        if not step.step.gang and (step.step.per_worker or step.has_avoided_workers):
            return None
        service = self._cluster_state.service_of(step.occurrence.job)
        if step.shapes is None or step.shapes.service != service:
            step.shapes = self._step_shapes(step, service)
        return step.shapes.near if prefers_near(step, now) else step.shapes.anywhere

    def limited(self, shape: int | None, limit: SpeedLimit | None) -> int | None:
        """Number of a shape with a speed limit."""
        return shape if shape is None or limit is None else self._shapes.limited(shape, limit)

    def _step_shapes(self, step: StepState, service: str) -> StepShapes:
        needs = step.step
        anywhere = Shape(
            service=service,
            room=needs.allocation,
            count=needs.count if needs.gang else 1,
            same_rack=needs.gang and needs.same_rack,
            label=needs.label,
            near="",
            per_worker=needs.per_worker,
            proven=step.needs_proven_worker,
            lasting=needs.long_running,
        )
        near = replace(anywhere, near=needs.data_rack)
        return StepShapes(service, self._shapes.number(near), self._shapes.number(anywhere))
