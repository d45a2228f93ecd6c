"""Retry delays with exponential backoff and jitter, retry budgets, and circuit breakers."""

from __future__ import annotations

import enum
import random

from saddlestack.policy.limits import TokenBucket

BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0
RETRY_SHARE = 0.2
RETRY_BURST = 20.0
RETRIES_PER_S = 20.0
LARGEST_EXPONENT = 10
BREAKER_FAILURES = 5
BREAKER_OPEN_S = 5.0


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Seconds to wait before retry ``attempt`` (0 is the first), with full jitter."""
    return rng.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * float(2**attempt)))


def backoff_delay(failures: int, first_s: float, longest_s: float, rng: random.Random) -> float:
    """Seconds to wait after ``failures`` in a row, for callers that retry without limit.

    The delay doubles up to ``longest_s``. Only half of it is random, so that it is never close
    to zero.
    """
    most = min(longest_s, first_s * float(2 ** min(failures, LARGEST_EXPONENT)))
    return rng.uniform(most / 2, most)


class RetryBudget:
    """Limits retries to a share of first tries, so that retries never multiply the load.

    A small steady rate is allowed in addition, so that a VM with few requests can retry at all.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: float = RETRY_BURST,
        per_second: float = RETRIES_PER_S,
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst
        self._steady = TokenBucket(per_second, per_second)

    def record_first_try(self) -> None:
        """Add the share of a retry that each first try earns to the budget."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def retry(self, now: float) -> bool:
        """Take one retry from the budget.

        :return: whether the budget allowed it.
        """
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        return self._steady.take(now)


class BreakerState(enum.StrEnum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """A circuit breaker for one endpoint.

    It opens after a number of consecutive failures, lets one call through after ``open_s``
    seconds, and closes when that call succeeds.
    """

    def __init__(self, failures: int = BREAKER_FAILURES, open_s: float = BREAKER_OPEN_S) -> None:
        self._limit = failures
        self._open_s = open_s
        self._failures = 0
        self._opened = 0.0
        self.state = BreakerState.CLOSED

    def allows(self, now: float) -> bool:
        """Whether a call may be made now."""
        if self.state is BreakerState.OPEN and now - self._opened >= self._open_s:
            self.state = BreakerState.HALF_OPEN
            return True
        return self.state is BreakerState.CLOSED

    def succeeded(self) -> None:
        """Record a call that was answered."""
        self._failures = 0
        self.state = BreakerState.CLOSED

    def failed(self, now: float) -> None:
        """Record a call that was not answered."""
        self._failures += 1
        if self.state is BreakerState.HALF_OPEN or self._failures >= self._limit:
            self.state = BreakerState.OPEN
            self._opened = now


__all__ = ["Breaker", "BreakerState", "RetryBudget", "TokenBucket", "retry_delay"]
