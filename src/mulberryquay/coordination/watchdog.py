"""Deadlines for many short waits without a timer for each.

Starting and stopping a timer for each read costs more than the read itself.
One task that checks all deadlines at intervals costs next to nothing.
"""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock, paced_task

#: Interval between checks, and so the longest delay of an expiry, in ms.
SWEEP_INTERVAL_MS: typing.Final = 20.0


class Watched(typing.Protocol):
    """A wait with a deadline."""

    #: When the wait expires, on the watchdog's clock.
    deadline: float

    def expire(self) -> None:
        """Ends the wait; called once and must not block."""


@typing.final
class Watchdog:
    """Calls `expire` on each wait that is still watched at its deadline."""

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        interval: float = SWEEP_INTERVAL_MS,
    ) -> None:
        """Checks the deadlines every ``interval`` ms once started."""
        self._clock = time_source
        self._watched: set[Watched] = set()
        self._task = paced_task.PacedTask(
            self._sweep_again, time_source, interval=interval
        )

    def start(self) -> None:
        """Starts to check the deadlines."""
        self._task.start()

    def stop(self) -> None:
        """Stops checking the deadlines."""
        self._task.stop()

    def watch(self, watched: Watched) -> None:
        """Starts to watch; the deadline may be changed afterwards."""
        self._watched.add(watched)
        self._task.wake()

    def release(self, watched: Watched) -> None:
        """Stops watching; has no effect if the wait is not watched."""
        self._watched.discard(watched)

    def sweep(self) -> None:
        """Expires all waits whose deadline has passed."""
        now = self._clock.now()
        self._expire(
            [watched for watched in self._watched if watched.deadline <= now]
        )

    def expire_all(self) -> None:
        """Expires all waits before their deadlines."""
        self._expire(list(self._watched))

    def _expire(self, overdue: list[Watched]) -> None:
        for watched in overdue:
            self._watched.discard(watched)
            watched.expire()

    def _sweep_again(self) -> bool:
        self.sweep()
        return bool(self._watched)
