"""Counts what the peers of a process hold in memory, against one limit."""

from __future__ import annotations

import math
import typing

from mulberryquay.coordination import clock, units

#: A holder that got no byte for so long gives way to others.
SLOW_MS: typing.Final = units.SECOND_MS

#: A reserve of this part of the limit, above it, is for what every peer needs
#: to be served at all.
RESERVE_SHARE: typing.Final = 4

#: Time after a search for holders that give way until the next one, as each
#: looks at all.
_SEARCH_INTERVAL_MS: typing.Final = 20.0


@typing.final
class Part:
    """What one holder holds."""

    __slots__ = ('_account', 'gives_way', 'held_bytes', 'progressed_at')

    def __init__(self, account: MemoryAccount, now: float) -> None:
        """Holds nothing yet."""
        self._account = account
        self.held_bytes = 0
        #: When the holder last got bytes or began to send.
        self.progressed_at = now
        #: Whether the holder was asked to give way.
        self.gives_way = False

    def add(self, size: int) -> None:
        """Counts ``size`` more bytes; fewer if it is negative."""
        self.held_bytes += size
        self._account.held_bytes += size


class Holder(typing.Protocol):
    """A peer's connection."""

    @property
    def waits_for_peer(self) -> bool:
        """Whether only its peer can end its wait, so it may give way."""

    def give_way(self) -> None:
        """Frees soon what it holds; must not block."""


@typing.final
class MemoryAccount:
    """What all holders of a process hold together."""

    def __init__(
        self,
        limit: int,
        time_source: clock.Clock,
        on_given_way: typing.Callable[[], None],
    ) -> None:
        """Lets holders hold up to ``limit`` bytes together."""
        self.limit = limit
        self.held_bytes = 0
        self._clock = time_source
        self._on_given_way = on_given_way
        self._holders: dict[Part, Holder] = {}
        self._next_search = -math.inf
        self._next_end = -math.inf

    @property
    def now(self) -> float:
        """The time at which a holder gets bytes now."""
        return self._clock.now()

    @property
    def is_over(self) -> bool:
        """Whether more is held than the limit."""
        return self.held_bytes > self.limit

    def open(self, holder: Holder) -> Part:
        """Returns the part of a new holder."""
        part = Part(self, self._clock.now())
        self._holders[part] = holder
        return part

    def close(self, part: Part) -> None:
        """Ends a holder, which holds nothing any more."""
        part.add(-part.held_bytes)
        self._holders.pop(part, None)

    def make_room(self, size: int, *, in_reserve: bool = False) -> bool:
        """Returns whether ``size`` more bytes fit.

        If they don't, the slow holders that hold most give way. The reserve
        above the limit is for what every peer needs to be served at all.
        """
        reserve = self.limit // RESERVE_SHARE if in_reserve else 0
        excess = self.held_bytes + size - self.limit - reserve
        if excess <= 0:
            return True
        now = self._clock.now()
        if now < self._next_search:
            return False
        self._next_search = now + _SEARCH_INTERVAL_MS
        excess -= sum(
            part.held_bytes for part in self._holders if part.gives_way
        )
        slow = [part for part in self._holders if self._is_slow(part, now)]
        slow.sort(key=lambda part: part.held_bytes, reverse=True)
        for part in slow:
            if excess <= 0:
                break
            excess -= part.held_bytes
            self._end(part)
        return excess <= 0

    def end_slowest(self, parts: typing.Iterable[Part]) -> bool:
        """Lets the holder give way that was slow longest; False if none is."""
        now = self._clock.now()
        if now < self._next_end:
            return False
        slowest = min(
            (part for part in parts if self._is_slow(part, now)),
            key=lambda part: part.progressed_at,
            default=None,
        )
        if slowest is None:
            self._next_end = now + _SEARCH_INTERVAL_MS
            return False
        self._end(slowest)
        return True

    def _end(self, part: Part) -> None:
        part.gives_way = True
        self._holders[part].give_way()
        self._on_given_way()

    def _is_slow(self, part: Part, now: float) -> bool:
        is_late = now - part.progressed_at >= SLOW_MS
        may_end = is_late and not part.gives_way
        return may_end and self._holders[part].waits_for_peer
