"""Slow start for cold targets: doubles on answers, halves on shed requests.

Slow start and multiplicative decrease follow Jacobson, "Congestion
avoidance and control", SIGCOMM 1988, but count answers instead of time.
"""

from __future__ import annotations

import typing

#: Answers per unit of allowance before the allowance doubles.
ANSWERS_PER_STEP: typing.Final = 4

FIRST_ALLOWANCE: typing.Final = 1


@typing.final
class Allowance:
    """How many calls a target may run at once, over all entry processes."""

    def __init__(self, *, slots: int, cold: bool) -> None:
        """``slots`` is the full concurrency; values below 1 count as 1."""
        self._slots = max(1, slots)
        self._current = FIRST_ALLOWANCE if cold else self._slots
        self._is_warm = not cold
        self._served = 0

    @property
    def current(self) -> int:
        """The number of calls that may currently run at once."""
        return self._current

    @property
    def is_warm(self) -> bool:
        """Whether the target sustained its full concurrency for one step."""
        return self._is_warm

    def record_served(self, answers: int) -> bool:
        """Counts successful answers; True if any property changed."""
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
        """Halves the allowance; True if any property changed."""
        self._served = 0
        reduced = max(FIRST_ALLOWANCE, self._current // 2)
        changed = self._is_warm or reduced != self._current
        self._is_warm = False
        self._current = reduced
        return changed

    def reset_cold(self) -> bool:
        """Resets to cold after a restart; True if any property changed."""
        changed = self._is_warm or self._current != FIRST_ALLOWANCE
        self._is_warm = False
        self._current = FIRST_ALLOWANCE
        self._served = 0
        return changed

    def restore(self, granted: int, *, is_warm: bool) -> None:
        """Continues from an earlier allowance, limited to the slots."""
        self._is_warm = is_warm
        self._current = max(FIRST_ALLOWANCE, min(self._slots, granted))
