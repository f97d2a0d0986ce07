"""Repeats work at intervals, but only while there is any."""

from __future__ import annotations

import typing

import gevent
from gevent import event

from mulberryquay.coordination import clock


@typing.final
class PacedTask:
    """One task that sleeps until it is needed."""

    def __init__(
        self,
        work: typing.Callable[[], bool],
        time_source: clock.Clock,
        *,
        interval: float,
        needed: event.Event | None = None,
    ) -> None:
        """Calls ``work`` ``interval`` ms after ``needed`` is set.

        ``work`` must not block; it returns whether to call it again after
        another interval.
        """
        self._work = work
        self._clock = time_source
        self._interval = interval
        self._needed = needed or event.Event()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.kill()

    def wake(self) -> None:
        """Says that there is work."""
        if not self._needed.is_set():
            self._needed.set()

    def _run(self) -> None:
        while True:
            self._needed.wait()
            self._clock.sleep(self._interval)
            self._needed.clear()
            if self._work():
                self._needed.set()
