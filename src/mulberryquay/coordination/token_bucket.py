"""A rate limit by a token bucket."""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock


@typing.final
class TokenBucket:
    """Never grants more than ``burst`` plus ``rate`` times the elapsed time."""

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        rate: float,
        burst: float,
    ) -> None:
        """``rate`` is in tokens per second; the bucket starts full."""
        self._clock = time_source
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = time_source.now()

    @property
    def tokens(self) -> float:
        """The number of tokens that can be taken now."""
        self._fill()
        return self._tokens

    def set_limits(self, *, rate: float, burst: float) -> None:
        """Changes the rate and the burst from now on; keeps the tokens."""
        if (rate, burst) != (self._rate, self._burst):
            self._fill()
            self._rate = rate
            self._burst = burst

    def take(self, amount: float = 1) -> bool:
        """Takes tokens; False, taking none, if there are too few."""
        self._fill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def _fill(self) -> None:
        now = self._clock.now()
        elapsed = (now - self._filled_at) / clock.MS_PER_SECOND
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
