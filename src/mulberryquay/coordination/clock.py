"""The clock type: monotonic and wall time in milliseconds."""

from __future__ import annotations

import time
import typing

import gevent
from gevent import event

#: The unit of all times and durations.
Milliseconds = float

MS_PER_SECOND: typing.Final = 1000.0


class Clock:
    """Reads the machine's clocks; all times are in milliseconds."""

    def now(self) -> Milliseconds:
        """Returns the monotonic time; comparable within one process only."""
        return time.monotonic() * MS_PER_SECOND

    def elapsed(self) -> Milliseconds:
        """Returns a monotonic time that also counts suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND

    def wall(self) -> Milliseconds:
        """Returns the time since the Unix epoch; it may jump."""
        return time.time() * MS_PER_SECOND

    def sleep(self, duration: float) -> None:
        """Suspends the current greenlet for ``duration`` milliseconds."""
        gevent.sleep(duration / MS_PER_SECOND)

    def wait(self, awaited: event.Event, duration: float) -> bool:
        """Waits for an event; False on timeout after ``duration`` ms."""
        return bool(awaited.wait(max(0, duration) / MS_PER_SECOND))


@typing.final
class ManualClock(Clock):
    """A clock that moves only by `advance` and `sleep`, for tests."""

    def __init__(self, *, start: float = 0) -> None:
        """Starts both clocks at ``start`` milliseconds."""
        self._now = start

    def now(self) -> Milliseconds:
        """Returns the set time."""
        return self._now

    def elapsed(self) -> Milliseconds:
        """Returns the set time."""
        return self._now

    def wall(self) -> Milliseconds:
        """Returns the set time."""
        return self._now

    def sleep(self, duration: float) -> None:
        """Advances the clock and yields to other greenlets once."""
        self.advance(duration)
        gevent.sleep(0)

    def advance(self, duration: float) -> None:
        """Moves both clocks forward by ``duration`` milliseconds."""
        self._now += duration
