"""What the diagnosis asks about the reasons of waits. All queries only read from the planner."""

from __future__ import annotations

from saddlestack.policy.cluster.candidates import Candidates, prefers_near
from saddlestack.policy.cluster.headroom_gate import HeadroomGate
from saddlestack.policy.cluster.index import CapacityIndex
from saddlestack.policy.cluster.isolation import Isolation
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.kept_workers import KeptWorkers
from saddlestack.policy.cluster.last_attempts import LastAttempts
from saddlestack.policy.cluster.places import IsKept
from saddlestack.policy.cluster.reservations import Reservations
from saddlestack.policy.cluster.speed_limits import SpeedLimit, SpeedLimits
from saddlestack.policy.cluster.worker_preferences import Preference
from saddlestack.policy.cluster.workers import Worker


class WaitQueries:
    """Tells what the last round has kept from a step, and until when."""

    def __init__(
        self,
        index: CapacityIndex,
        candidates: Candidates,
        kept_workers: KeptWorkers,
        speed_limits: SpeedLimits,
        last_attempts: LastAttempts,
        reservations: Reservations,
        headroom: HeadroomGate,
        isolation: Isolation,
    ) -> None:
        self._index = index
        self._candidates = candidates
        self._kept_workers = kept_workers
        self._speed_limits = speed_limits
        self._last_attempts = last_attempts
        self._reservations = reservations
        self._headroom = headroom
        self._isolation = isolation

    def kept_from(self, step: StepState) -> IsKept | None:
        """Test for workers that were kept from a step in the last round; ``None`` if none were."""
        with self._index.without_refresh():
            return self._candidates.kept(step)

    def held_back_from(self, step: StepState) -> IsKept | None:
        """Test for workers that are kept from a step for normal gangs; ``None`` if none are."""
        with self._index.without_refresh():
            return self._candidates.held_back(step)

    def kept_rank(self, step: StepState) -> int | None:
        """Number that is equal for steps from which the same workers are kept, if there are any."""
        return self._kept_workers.rank(step)

    def waits_near_data(self, step: StepState, now: float) -> bool:
        """Whether a step waits for a place near its data."""
        with self._index.without_refresh():
            return bool(step.step.data_rack) and prefers_near(step, now)

    def speed_limit(self, step: StepState, now: float) -> SpeedLimit | None:
        """The speed limit of a step that still waits for workers within it, or ``None``."""
        with self._index.without_refresh():
            limit = self._candidates.speed_limit(step, now)
        return limit if limit is not None and limit.restricts and not limit.relaxed else None

    def limit_until(self, step: StepState) -> float | None:
        """When a waiting step starts above its speed limit at the latest."""
        if step.stalled_since_s is None:
            return None
        return step.stalled_since_s + self._speed_limits.max_wait_s(step)

    def awaited_healthy(self, step: StepState, now: float) -> Preference | None:
        """Test for the workers that a step on its last attempt waits for; ``None`` if for none."""
        if not self._last_attempts.awaits_healthy(step, now):
            return None
        return self._last_attempts.healthy(now)

    def healthy_until(self, step: StepState) -> float:
        """When a step on its last attempt may be placed on any worker again."""
        return self._last_attempts.until_s(step)

    def reserved_until(self, step: StepState) -> float | None:
        """When a step's reservation expires; ``None`` if it has none."""
        reservation = self._reservations.of(step)
        return None if reservation is None else reservation.expires_s

    def headroom_until(self, step: StepState, now: float) -> float:
        """When the headroom opens to a waiting step at the latest."""
        return self._headroom.opens_s(step, now)

    def headroom_allows(self, step: StepState, places: list[Worker], now: float) -> bool:
        """Whether the headroom left by the last round allows a step to take these workers."""
        with self._index.without_refresh():
            return self._headroom.allows(step, places, now)

    def held_until(self, step: StepState, now: float) -> float | None:
        """When a step is started although its unconfirmed crashes are not decided, if it waits."""
        return self._isolation.held_until(step, now)

    def awaits_isolation(self, step: StepState) -> bool:
        """Whether tasks of a step wait for workers to run isolated on."""
        return self._isolation.has_waiting_tasks(step)
