"""Decides on permits where all entries ask for them.

The load that it answers: an account asks for several times its rate, at one
entry or at all of them, beside many that stay below theirs.
"""

from __future__ import annotations

import typing

from mulberryquay.decisions import permits

_MS_PER_SECOND: typing.Final = 1000.0

#: Callers over the rate are told to return within this time.
_MAX_RETURN_MS: typing.Final = 10_000.0


@typing.final
class _Bucket:
    """The permits of one account that can be granted now."""

    __slots__ = ('filled_at', 'return_at', 'tokens')

    def __init__(self, filled_at: float) -> None:
        self.tokens = 0.0
        self.filled_at = filled_at
        self.return_at = 0.0

    def fill(self, limit: permits.RateLimit, now: float) -> None:
        elapsed_s = max(0, now - self.filled_at) / _MS_PER_SECOND
        self.filled_at = max(now, self.filled_at)
        self.tokens = min(
            max(1, limit.burst), self.tokens + elapsed_s * limit.per_s
        )

    def next_return(self, next_ms: float, interval_ms: float) -> float:
        """Returns when the next caller over the rate should come back."""
        self.return_at = max(self.return_at + interval_ms, next_ms)
        if self.return_at - next_ms > _MAX_RETURN_MS:
            self.return_at = next_ms
        return self.return_at


@typing.final
class RateKeeper:
    """Grants at most rate times window plus burst in each window.

    It starts without permits: an earlier keeper may have granted the whole
    burst just before.
    """

    def __init__(self, now: float) -> None:
        """Permits accrue from ``now`` on, for all accounts."""
        self._started_at = now
        self._buckets: dict[str, _Bucket] = {}

    def ask(
        self, limit: permits.RateLimit, count: int, now: float
    ) -> permits.Decision:
        """Grants up to ``count`` permits; they are spent with that."""
        if not limit.per_s:
            return permits.Decision(count)
        bucket = self._filled(limit, now)
        granted = min(count, int(bucket.tokens))
        bucket.tokens -= granted
        if granted == count:
            return permits.Decision(granted)
        next_ms = (1 - bucket.tokens) / limit.per_s * _MS_PER_SECOND
        return_at = bucket.next_return(
            now + next_ms,
            (count - granted) * _MS_PER_SECOND / limit.per_s,
        )
        return permits.Decision(granted, next_ms, return_at - now)

    def available(self, limit: permits.RateLimit, now: float) -> float:
        """Returns the permits that could be granted now."""
        return self._filled(limit, now).tokens

    def _filled(self, limit: permits.RateLimit, now: float) -> _Bucket:
        bucket = self._buckets.get(limit.account)
        if bucket is None:
            bucket = _Bucket(self._started_at)
            self._buckets[limit.account] = bucket
        bucket.fill(limit, now)
        return bucket
