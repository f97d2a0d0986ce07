"""Ends what is overdue, without a timer for each of many short waits.

Starting and stopping a timer for each read costs more than the read itself;
one task that looks at all deadlines at intervals costs next to nothing.
"""

from __future__ import annotations

import typing

import gevent
from gevent import event

from mulberryquay.coordination import clock

#: How late an overdue wait may be ended, in ms.
SWEEP_INTERVAL_MS: typing.Final = 20.0


class Watched(typing.Protocol):
    """Something that waits."""

    #: When it is overdue, on the watchdog's clock.
    deadline: float

    def expire(self) -> None:
        """Ends the wait; called once, must not block."""


@typing.final
class Watchdog:
    """Calls `expire` on what stays watched beyond its deadline."""

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        interval: float = SWEEP_INTERVAL_MS,
    ) -> None:
        """Sweeps every ``interval`` ms once started."""
        self._clock = time_source
        self._interval = interval
        self._watched: set[Watched] = set()
        self._has_watched = event.Event()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to sweep."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops to sweep."""
        if self._task is not None:
            self._task.kill()

    def watch(self, watched: Watched) -> None:
        """Begins to watch; the deadline may be moved later."""
        self._watched.add(watched)
        if not self._has_watched.is_set():
            self._has_watched.set()

    def release(self, watched: Watched) -> None:
        """Ends the watch; harmless if it has ended."""
        self._watched.discard(watched)

    def sweep(self) -> None:
        """Expires all that is overdue now."""
        now = self._clock.now()
        overdue = [
            watched for watched in self._watched if watched.deadline <= now
        ]
        for watched in overdue:
            self._watched.discard(watched)
            watched.expire()

    def _run(self) -> None:
        while True:
            self._has_watched.wait()
            self._clock.sleep(self._interval)
            self.sweep()
            if not self._watched:
                self._has_watched.clear()
