"""Counts suspensions, and keeps the targets that failed for the prober."""

from __future__ import annotations

import typing

from gevent import event

from mulberryquay import metrics
from mulberryquay.entry import outcomes, targets


@typing.final
class Suspensions:
    """The targets and entries that failed and were not seen well since."""

    def __init__(self, counters: metrics.Metrics) -> None:
        """Counts suspensions in ``counters``."""
        self._counters = counters
        self._failed: set[targets.TargetState] = set()
        #: Set while a target may have failed.
        self.has_failed = event.Event()

    def handle_suspension(
        self, target: targets.TargetState, reason: outcomes.Reason
    ) -> None:
        """Records a suspension."""
        self._counters.count('mulberryquay_suspensions_total', reason.value)
        self._failed.add(target)
        self.has_failed.set()

    def failed_among(
        self, known: dict[str, targets.TargetState]
    ) -> list[targets.TargetState]:
        """Returns the failed targets in ``known`` and forgets all others."""
        self._failed = {
            target
            for target in self._failed
            if target.has_failed and known.get(target.row.name) is target
        }
        if not self._failed:
            self.has_failed.clear()
        return list(self._failed)
