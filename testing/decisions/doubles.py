"""Simple stand-ins for the decisions, for tests of what uses them."""

from __future__ import annotations

import typing

from mulberryquay.decisions import ordering, permits


@typing.final
class FixedRates:
    """Grants a number of permits, and none after them."""

    def __init__(self, granted: int, *, retry_after_ms: float = 1000) -> None:
        """Grants ``granted`` permits in all."""
        self._left = granted
        self._retry_after_ms = retry_after_ms

    def take(self, limit: permits.RateLimit) -> permits.Permit:
        """Takes one of the permits that are left."""
        if not limit.per_s:
            return permits.Granted()
        if not self._left:
            return permits.OverRate(self._retry_after_ms)
        self._left -= 1
        return permits.Granted()


@typing.final
class ArrivalOrder:
    """Serves requests as they came."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._waiting: dict[int, ordering.Waiting] = {}

    def __len__(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    def add(self, waiting: ordering.Waiting) -> None:
        """Adds a request."""
        self._waiting[waiting.number] = waiting

    def remove(self, number: int) -> None:
        """Removes a request."""
        self._waiting.pop(number, None)

    def in_order(self, now: float) -> typing.Iterator[ordering.Waiting]:
        """Yields the requests as they came."""
        return iter(self._waiting.values())

    def serve(self, number: int) -> None:
        """Removes a request that got a target."""
        self.remove(number)

    def last(self, now: float) -> ordering.Waiting | None:
        """Returns the newest request."""
        return next(reversed(self._waiting.values()), None)

    def work_ahead(self, waiting: ordering.Waiting, now: float) -> float:
        """Returns the work of all requests that came earlier."""
        return sum(earlier.cost_ms for earlier in self._waiting.values())
