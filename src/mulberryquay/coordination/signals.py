"""A wake-up call for all tasks that wait for the next change."""

from __future__ import annotations

import typing

from gevent import event

from mulberryquay.coordination import clock


@typing.final
class Signal:
    """Wakes every task that waits at the moment of a change."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Waits are timed by ``time``."""
        self._clock = time_source
        self._changed = event.Event()

    def notify(self) -> None:
        """Wakes all tasks that wait now."""
        woken = self._changed
        self._changed = event.Event()
        woken.set()

    def wait(self, timeout: float) -> bool:
        """Waits for the next change; False after ``timeout`` ms."""
        return self._clock.wait(self._changed, timeout)

    def wait_until(
        self,
        condition: typing.Callable[[], bool],
        *,
        timeout: float,
    ) -> bool:
        """Waits until ``condition`` holds after some change.

        False if it does not hold after ``timeout`` ms.
        """
        deadline = self._clock.now() + timeout
        while not condition():
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return False
            self.wait(remaining)
        return True
