"""The rate limit that a target names in its answers, as one entry sees it."""

from __future__ import annotations

import logging
import typing

from mulberryquay.coordination import clock

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class RateLimit:
    """The newest rate limit of one target and the calls sent under it."""

    __slots__ = ('_call_count', '_clock', '_began_at', 'per_s')

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts without a limit."""
        self._clock = time_source
        self._began_at = 0.0
        self._call_count = 0
        #: Calls per second that the target takes from all entries together;
        #: None without a limit.
        self.per_s: float | None = None

    def count_call(self) -> None:
        """Counts a call that is about to be sent."""
        self._call_count += 1

    def update(self, per_s: float | None, *, target: str, source: str) -> None:
        """Sets the limit that a ``source`` named; logs a change."""
        if per_s == self.per_s:
            return
        now = self._clock.now()
        _LOG.info(
            'target rate limit changed',
            extra={
                'target': target,
                'per_s': per_s,
                'source': source,
                'previous_per_s': self.per_s,
                'calls': 0 if self.per_s is None else self._call_count,
                'for_ms': 0 if self.per_s is None else now - self._began_at,
            },
        )
        self.per_s = per_s
        self._began_at = now
        self._call_count = 0
