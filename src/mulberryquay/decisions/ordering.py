"""The order in which waiting requests get the targets that become free."""

from __future__ import annotations

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
