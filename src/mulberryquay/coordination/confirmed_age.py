"""The age of what another process last confirmed."""

from __future__ import annotations

import math
import typing

from mulberryquay.coordination import clock


@typing.final
class ConfirmedAge:
    """The time since the newest moment at which something was confirmed."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts without a confirmation."""
        self._clock = time_source
        self._confirmed_at = -math.inf
        self._longest_ms = 0.0

    @property
    def milliseconds(self) -> int:
        """The age in ms, -1 before the first confirmation."""
        if math.isinf(self._confirmed_at):
            return -1
        return int(self._clock.now() - self._confirmed_at)

    @property
    def longest_ms(self) -> float:
        """The highest age in ms so far, 0 before the first confirmation."""
        return max(self._longest_ms, self.milliseconds)

    def record(self, moment: float) -> None:
        """Records a confirmation of what held at ``moment``."""
        self._longest_ms = self.longest_ms
        self._confirmed_at = max(self._confirmed_at, moment)
