"""A notification to all tasks that wait for a change."""

from __future__ import annotations

import typing

from gevent import event

from mulberryquay.coordination import clock


@typing.final
class Signal:
    """A condition variable: each change wakes all tasks that wait for it."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Uses ``time_source`` for timeouts."""
        self._clock = time_source
        self._changed = event.Event()

    def notify(self) -> None:
        """Wakes all waiting tasks."""
        previous_event = self._changed
        self._changed = event.Event()
        previous_event.set()

    def wait(self, timeout: float) -> bool:
        """Waits for the next change; False on timeout after ``timeout`` ms."""
        return self._clock.wait(self._changed, timeout)

    def wait_until(
        self,
        condition: typing.Callable[[], bool],
        *,
        timeout: float,
    ) -> bool:
        """Waits until ``condition`` holds, checking it after each change.

        Returns False if it does not hold after ``timeout`` ms.
        """
        deadline = self._clock.now() + timeout
        while not condition():
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return False
            self.wait(remaining)
        return True
