"""Decides whether the headroom allows a step to take workers, by its wait and the forecast."""

from __future__ import annotations

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.demand import DemandForecast
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.headroom import headroom_allows
from saddlestack.policy.cluster.index import CapacityIndex, ServiceCapacity
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.wait_limits import HEADROOM_WAIT_S
from saddlestack.policy.cluster.workers import Worker


class HeadroomGate:
    """Keeps the headroom from steps that are not urgent.

    :param demand: forecast of the demand of urgent work; by default the headroom is fixed.
    """

    def __init__(
        self,
        cluster_state: PlannerContext,
        index: CapacityIndex,
        candidates: Candidates,
        gang_priority: GangPriority,
        demand: DemandForecast | None,
    ) -> None:
        self._cluster_state = cluster_state
        self._index = index
        self._candidates = candidates
        self._gang_priority = gang_priority
        self._demand = demand

    @property
    def accelerators(self) -> int:
        """Accelerators that the forecast keeps for urgent work; 0 without a forecast."""
        if self._demand is None:
            return 0
        with self._index.without_refresh():
            kept = [self._demand.headroom(*each) for each in self._index.services()]
        return round(sum(kept))

    def allows(self, step: StepState, places: list[Worker], now: float) -> bool:
        """Whether the headroom allows a step to take these workers."""
        if step.occurrence.job.priority == TOP_PRIORITY or step.step.long_running:
            return True
        waited_s = step.waited_s(now)
        if waited_s > HEADROOM_WAIT_S or self._gang_priority.opens_headroom(step):
            return True
        service_capacity = self._candidates.service_capacity(step)
        forecast = self._forecast(step, service_capacity)
        return headroom_allows(service_capacity, places, waited_s, forecast)

    def opens_s(self, step: StepState, now: float) -> float:
        """When the headroom opens to a waiting step at the latest."""
        since_s = now if step.waiting_since_s is None else step.waiting_since_s
        opens_s = self._gang_priority.headroom_opens_s(step)
        until_s = since_s + HEADROOM_WAIT_S
        return until_s if opens_s is None else min(until_s, opens_s)

    def _forecast(self, step: StepState, service_capacity: ServiceCapacity) -> float | None:
        if self._demand is None:
            return None
        service = self._cluster_state.service_of(step.occurrence.job)
        return self._demand.headroom(service, service_capacity)
