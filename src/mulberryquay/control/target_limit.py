"""The limit of how many targets a control host knows."""

from __future__ import annotations

import logging
import math
import typing

from mulberryquay.coordination import clock, units

#: Time between two log lines about targets that are refused.
_LOG_INTERVAL_MS: typing.Final = 10 * units.SECOND_MS

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class TargetLimit:
    """Counts and logs each target that is refused at the limit."""

    def __init__(self, max_targets: int, time_source: clock.Clock) -> None:
        """Allows up to ``max_targets``."""
        self.max_targets = max_targets
        #: How often a target was refused.
        self.times_met = 0
        self._clock = time_source
        self._next_log = -math.inf

    def has_place(self, known: int) -> bool:
        """Whether one more may be added to the known targets."""
        if known < self.max_targets:
            return True
        self.times_met += 1
        now = self._clock.now()
        if now >= self._next_log:
            self._next_log = now + _LOG_INTERVAL_MS
            _LOG.warning(
                'limit of targets met', extra={'times': self.times_met}
            )
        return False
