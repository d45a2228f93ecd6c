"""Token buckets that limit accounts, retries, store calls and log lines."""

from __future__ import annotations


class TokenBucket:
    """A token bucket on the caller's clock.

    :param rate: tokens added per second.
    :param burst: the maximum number of tokens.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at: float | None = None

    def configure(self, rate: float, burst: float) -> None:
        """Change the rate and burst; tokens above the new burst are dropped."""
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now: float, count: float = 1.0) -> bool:
        """Take tokens if enough are available.

        :return: whether they were taken.
        """
        self._fill(now)
        if self._tokens + 1e-9 < count:
            return False
        self._tokens -= count
        return True

    def wait(self, now: float, count: float = 1.0) -> float:
        """Seconds until that many tokens are available."""
        self._fill(now)
        missing = count - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def _fill(self, now: float) -> None:
        if self._at is not None and now > self._at:
            self._tokens = min(self.burst, self._tokens + (now - self._at) * self.rate)
        self._at = now if self._at is None else max(now, self._at)
