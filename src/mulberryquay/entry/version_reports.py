"""Counts the answers of each version while a roll-out runs."""

from __future__ import annotations

import collections
import typing

from mulberryquay.coordination import clock
from mulberryquay.decisions import version_evidence
from mulberryquay.entry import http_heads, outcomes, routing, targets

#: Answers this old are not reported: the other version has answered under
#: another load since.
_MAX_AGE_MS: typing.Final = 2000.0

#: Rows per heartbeat; answers beyond them are not reported.
_MAX_ROWS: typing.Final = 500

#: Losses that say nothing of the target.
_OWN_LOSSES: typing.Final = frozenset((outcomes.Reason.ENTRY_STOPPING,))


class Attempted(typing.NamedTuple):
    """An attempt that has ended."""

    target: targets.TargetState
    route: str
    result: outcomes.AttemptResult
    started_at: float
    duration: float


@typing.final
class VersionReports:
    """The answers since the last heartbeat."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts without roll-outs."""
        self._clock = time_source
        self._services: frozenset[str] = frozenset()
        self._rows: collections.Counter[tuple[typing.Any, ...]] = (
            collections.Counter()
        )
        self._oldest_at = 0.0

    @property
    def is_active(self) -> bool:
        """Whether a roll-out of any service runs."""
        return bool(self._services)

    def configure(self, roll_outs: dict[str, routing.RollOut]) -> None:
        """Sets the services whose answers are counted."""
        self._services = frozenset(
            service
            for service, roll_out in roll_outs.items()
            if roll_out.is_running
        )

    def record(self, attempted: Attempted) -> None:
        """Counts an attempt if a roll-out of its service runs."""
        target = attempted.target
        if target.row.service not in self._services or target.is_peer:
            return
        is_failure = _is_failure(attempted.result)
        if is_failure is None or len(self._rows) >= _MAX_ROWS:
            return
        step = version_evidence.NO_STEP
        if not is_failure and target.cold_until <= attempted.started_at:
            step = version_evidence.latency_step(attempted.duration)
        if not self._rows:
            self._oldest_at = self._clock.now()
        key = (
            target.row.service,
            target.row.version,
            target.row.domain,
            attempted.route,
            is_failure,
            step,
        )
        self._rows[key] += 1

    def pop(self) -> list[list[typing.Any]]:
        """Returns rows of `protocol.VersionAnswers` and resets them."""
        rows = self._rows
        if not rows:
            return []
        self._rows = collections.Counter()
        if self._clock.now() - self._oldest_at > _MAX_AGE_MS:
            return []
        return [[*key, count] for key, count in rows.items()]


def _is_failure(result: outcomes.AttemptResult) -> bool | None:
    """Whether an attempt failed by its target; None if it says nothing."""
    match result:
        case outcomes.Received(head):
            return head.status >= http_heads.FIRST_SERVER_ERROR_STATUS
        case outcomes.Lost(reason):
            return None if reason in _OWN_LOSSES else True
        case _:
            return None
