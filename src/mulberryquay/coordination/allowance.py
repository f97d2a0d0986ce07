"""Grows a cold target's concurrency on served work and halves it on sheds.

Slow start and multiplicative decrease follow Jacobson, "Congestion
avoidance and control", SIGCOMM 1988, counted in answers in place of time.
"""

from __future__ import annotations

import typing

#: Answers per unit of allowance before the allowance doubles.
ANSWERS_PER_STEP: typing.Final = 4

FIRST_ALLOWANCE: typing.Final = 1


@typing.final
class Allowance:
    """How many calls a target may run at once, over all entries."""

    def __init__(self, *, slots: int, cold: bool) -> None:
        """``slots`` is the target's full concurrency, at least 1."""
        self._slots = max(1, slots)
        self._current = FIRST_ALLOWANCE if cold else self._slots
        self._is_warm = not cold
        self._served = 0

    @property
    def current(self) -> int:
        """The calls that may run at once now."""
        return self._current

    @property
    def is_warm(self) -> bool:
        """Whether the target has shown that it bears all its slots."""
        return self._is_warm

    def record_served(self, answers: int) -> bool:
        """Counts good answers; True when the allowance changed."""
        if self._is_warm:
            return False
        self._served += answers
        if self._served < self._current * ANSWERS_PER_STEP:
            return False
        self._served = 0
        self._is_warm = self._current >= self._slots
        self._current = min(self._slots, self._current * 2)
        return True

    def record_shed(self) -> bool:
        """Halves the allowance; True when it changed."""
        self._served = 0
        reduced = max(FIRST_ALLOWANCE, self._current // 2)
        changed = self._is_warm or reduced != self._current
        self._is_warm = False
        self._current = reduced
        return changed

    def reset_cold(self) -> bool:
        """Starts over after a restart; True when the allowance changed."""
        changed = self._is_warm or self._current != FIRST_ALLOWANCE
        self._is_warm = False
        self._current = FIRST_ALLOWANCE
        self._served = 0
        return changed

    def restore(self, granted: int, *, is_warm: bool) -> None:
        """Continues from an allowance that was granted before."""
        self._is_warm = is_warm
        self._current = max(FIRST_ALLOWANCE, min(self._slots, granted))
