"""Virtual time: tasks run in a fixed order and waits take no real time."""

from __future__ import annotations

import heapq
import itertools
import typing

import gevent
from gevent import event

from mulberryquay.coordination import clock


@typing.final
class VirtualClock(clock.Clock):
    """A clock that jumps to the next timer once all tasks are waiting."""

    def __init__(self) -> None:
        """Starts at 0 ms."""
        self._now = 0.0
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, event.Event]] = []

    def now(self) -> float:
        """Returns the virtual time in ms."""
        return self._now

    def elapsed(self) -> float:
        """Returns the virtual time in ms."""
        return self._now

    def wall(self) -> float:
        """Returns the virtual time in ms."""
        return self._now

    def sleep(self, duration: float) -> None:
        """Suspends the current greenlet for ``duration`` virtual ms."""
        self._start_timer(duration).wait()

    def wait(self, awaited: event.Event, duration: float) -> bool:
        """Waits for an event; returns False after ``duration`` virtual ms."""
        if awaited.is_set():
            return True
        gevent.wait([awaited, self._start_timer(duration)], count=1)
        return bool(awaited.is_set())

    def run(self, duration: float) -> None:
        """Lets all tasks run for ``duration`` virtual ms."""
        end = self._now + duration
        gevent.idle()
        while self._timers and self._timers[0][0] <= end:
            next_timer = heapq.heappop(self._timers)
            self._now = next_timer[0]
            next_timer[-1].set()
            gevent.idle()
        self._now = end

    def run_until(
        self,
        condition: typing.Callable[[], bool],
        *,
        limit: float,
    ) -> bool:
        """Runs until ``condition`` holds; returns False after ``limit`` ms."""
        end = self._now + limit
        while not condition():
            if self._now >= end:
                return False
            self.run(10)
        return True

    def _start_timer(self, duration: float) -> event.Event:
        timer = event.Event()
        due_at = self._now + max(0, duration)
        heapq.heappush(self._timers, (due_at, next(self._sequence), timer))
        return timer
