"""This entry's part of the rate of each client account."""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock, shares, token_bucket
from mulberryquay.decisions import permits


@typing.final
class EqualParts:
    """Gives each entry an equal part of each rate, and of each burst."""

    def __init__(
        self, share_view: shares.ShareView, time_source: clock.Clock
    ) -> None:
        """Divides the rates among the entries in ``share_view``."""
        self._share_view = share_view
        self._clock = time_source
        self._buckets: dict[str, token_bucket.TokenBucket] = {}

    def take(self, limit: permits.RateLimit) -> permits.Permit:
        """Takes a permit for one request, now."""
        if not limit.per_s:
            return permits.Granted()
        parts = self._share_view.member_count
        rate = limit.per_s / parts
        burst = max(1.0, limit.burst / parts)
        bucket = self._buckets.get(limit.account)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._clock, rate=rate, burst=burst
            )
            self._buckets[limit.account] = bucket
        bucket.set_limits(rate=rate, burst=burst)
        if bucket.take():
            return permits.Granted()
        return permits.OverRate(
            (1 - bucket.tokens) / rate * clock.MS_PER_SECOND
        )
