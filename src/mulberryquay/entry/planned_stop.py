"""Decides which requests a stopping entry still takes."""

from __future__ import annotations

import math
import typing

from mulberryquay.coordination import clock

#: A request is expected to end within this many times the usual latency of
#: its service: hosts are slow at times.
_SLOW_FACTOR: typing.Final = 4.0


@typing.final
class PlannedStop:
    """When an entry stops, if it does."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts without a planned stop."""
        self._clock = time_source
        self._ends_at = math.inf
        self._duration = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the entry is stopping."""
        return self._ends_at < math.inf

    @property
    def has_ended(self) -> bool:
        """Whether requests in flight have no more time."""
        return self._clock.now() >= self._ends_at

    def begin(self, duration: float) -> None:
        """Begins a stop; requests in flight have ``duration`` ms to end."""
        self._duration = duration
        self._ends_at = self._clock.now() + duration

    def leaves_time_for(self, *, timeout: float, usual: float) -> bool:
        """Whether a new request can be expected to end before the stop.

        ``timeout`` is its longest duration and ``usual`` the usual one of
        its service, both in ms. If that is not known and 0, requests of the
        first half of the stop have time.
        """
        expected = usual * _SLOW_FACTOR if usual else self._duration / 2
        return self._clock.now() + min(timeout, expected) < self._ends_at
