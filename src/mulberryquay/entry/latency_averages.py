"""How long the answers of a target take, recently and usually."""

from __future__ import annotations

import math
import typing

from mulberryquay.coordination import clock

#: A target is penalized when its recent average latency exceeds the usual
#: latency by this factor; noisy neighbors alone mostly stay below it.
_LATENCY_RATIO_FLOOR: typing.Final = 2.0
_MAX_LATENCY_EXCESS: typing.Final = 4.0

#: Time constant of the latency penalty while no latency is recorded.
_LATENCY_PENALTY_DECAY_MS: typing.Final = 3000.0

#: Weight of the newest latency in the fast-moving and slow-moving average.
_FAST_WEIGHT: typing.Final = 0.3
_SLOW_WEIGHT: typing.Final = 0.02

#: A latency is slow if it is above the floor and this many times the
#: slow-moving average, and the fast-moving average is above half of that.
#: Several slow latencies in a row mark the target as overloaded.
_SLOW_FACTOR: typing.Final = 5.0
_SLOW_FLOOR_MS: typing.Final = 20.0
_MAX_SLOW_ANSWERS: typing.Final = 3


@typing.final
class LatencyAverages:
    """A fast-moving and a slow-moving average of latencies in ms."""

    __slots__ = (
        '_clock',
        '_recorded_at',
        '_slow_answer_count',
        'recent_ms',
        'usual_ms',
    )

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts at 0, which means that nothing is known."""
        self._clock = time_source
        self._recorded_at = 0.0
        self._slow_answer_count = 0
        self.recent_ms = 0.0
        self.usual_ms = 0.0

    def record(self, latency: float) -> bool:
        """Adds a latency; returns whether several in a row were slow."""
        self._recorded_at = self._clock.now()
        if not self.usual_ms:
            self.recent_ms = latency
            self.usual_ms = latency
            return False
        self.recent_ms += _FAST_WEIGHT * (latency - self.recent_ms)
        if not self._is_slow(latency):
            self._slow_answer_count = 0
            self.usual_ms += _SLOW_WEIGHT * (latency - self.usual_ms)
            return False
        self._slow_answer_count += 1
        if self._slow_answer_count < _MAX_SLOW_ANSWERS:
            return False
        self._slow_answer_count = 0
        return True

    def penalty(self, baseline: float, now: float) -> float:
        """Returns 1, or more if recent latency far exceeds ``baseline``."""
        if not baseline or self.recent_ms <= baseline * _LATENCY_RATIO_FLOOR:
            return 1
        age = now - self._recorded_at
        excess = self.recent_ms / (baseline * _LATENCY_RATIO_FLOOR) - 1
        return 1 + min(excess, _MAX_LATENCY_EXCESS) * math.exp(
            -age / _LATENCY_PENALTY_DECAY_MS
        )

    def _is_slow(self, latency: float) -> bool:
        bound = max(self.usual_ms * _SLOW_FACTOR, _SLOW_FLOOR_MS)
        return latency > bound and self.recent_ms > bound / 2
