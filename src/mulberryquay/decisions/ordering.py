"""The order in which waiting requests get the targets that become free."""

from __future__ import annotations

import bisect
import typing

from mulberryquay.decisions import callers


class Waiting(typing.NamedTuple):
    """A request that waits for a target."""

    #: Unique among the requests that wait at this entry.
    number: int
    caller: callers.Caller
    #: Rank of the request's route, 0 for the highest.
    rank: int
    #: Whether the request goes behind all others.
    is_deferrable: bool
    #: When it arrived, in ms on the entry's clock.
    arrived_at: float
    #: When it must begin to be answered in time, in ms on the entry's clock.
    latest_start: float
    #: The work that it is expected to cost a target, in ms.
    cost_ms: float


class Order(typing.Protocol):
    """The requests that wait for one service at one entry, in order."""

    def __len__(self) -> int:
        """The number of requests that wait."""

    def add(self, waiting: Waiting) -> None:
        """Adds a request."""

    def remove(self, number: int) -> None:
        """Removes a request that gave up or that was refused."""

    def in_order(self, now: float) -> typing.Iterator[Waiting]:
        """Yields the requests in the order in which they are to be served.

        Nothing is added, removed or served meanwhile.
        """

    def serve(self, number: int) -> None:
        """Removes a request that got a target, and counts its cost."""

    def last(self, now: float) -> Waiting | None:
        """Returns the request to be refused first if too many wait."""

    def work_ahead(self, waiting: Waiting, now: float) -> float:
        """Returns the work in ms that goes before a request not yet added."""


_ClassKey = tuple[bool, int, int]


@typing.final
class ClassOrder:
    """Serves the rank of the route first and, within it, who came first."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._keys: list[_ClassKey] = []
        self._waiting: dict[int, Waiting] = {}

    def __len__(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Adds a request."""
        self._waiting[waiting.number] = waiting
        bisect.insort(self._keys, _class_key(waiting))

    def remove(self, number: int) -> None:
        """Removes a request."""
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            del self._keys[bisect.bisect_left(self._keys, _class_key(waiting))]

    def in_order(self, now: float) -> typing.Iterator[Waiting]:
        """Yields the requests by rank, then as they came."""
        for key in self._keys:
            yield self._waiting[key[-1]]

    def serve(self, number: int) -> None:
        """Removes a request that got a target."""
        self.remove(number)

    def last(self, now: float) -> Waiting | None:
        """Returns the newest request of the lowest rank."""
        return self._waiting[self._keys[-1][-1]] if self._keys else None

    def work_ahead(self, waiting: Waiting, now: float) -> float:
        """Returns the work of the requests that go before, in ms."""
        ahead = bisect.bisect_left(self._keys, _class_key(waiting))
        return sum(self._waiting[key[-1]].cost_ms for key in self._keys[:ahead])


def _class_key(waiting: Waiting) -> _ClassKey:
    return waiting.is_deferrable, waiting.rank, waiting.number
