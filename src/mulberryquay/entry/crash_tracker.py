"""Tracks which requests crash targets, here and with the control hosts."""

from __future__ import annotations

import functools
import typing

from mulberryquay.coordination import clock, crash_guard
from mulberryquay.entry import crash_evidence


class CrashReporter(typing.Protocol):
    """Reports to the control hosts which requests crash targets."""

    def report_connection_lost(
        self,
        fingerprint: bytes,
        target: str,
        *,
        ran_for: float,
    ) -> bool:
        """Reports that a target's connection was lost during a request.

        The request ran for ``ran_for`` ms and may have crashed the target.
        Returns False if nobody could be told.
        """

    def report_request_cleared(self, fingerprint: bytes) -> None:
        """Reports that a target answered a request reported earlier."""


class LostConnection(typing.NamedTuple):
    """A connection to a target that was lost while a request ran."""

    fingerprint: bytes
    target: str
    address: tuple[str, int]
    #: How long the request ran, in ms.
    ran_for: float
    #: Whether control hosts may learn of the request.
    is_reported: bool


@typing.final
class CrashTracker:
    """Counts the crashes that requests caused on this entry."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts without crashes and without a reporter."""
        self.guard = crash_guard.CrashGuard(time_source)
        #: For requests of which control hosts must not learn.
        self._own_guard = crash_guard.CrashGuard(time_source)
        #: Where crashes are reported; None if nowhere.
        self.reporter: CrashReporter | None = None
        self._evidence = crash_evidence.CrashEvidence(time_source)

    def record_lost_connection(self, lost: LostConnection) -> None:
        """Counts a crash if the request may have caused one."""
        self._evidence.examine(
            lost.fingerprint,
            lost.address,
            functools.partial(self._record_crash, lost),
        )

    def guard_for(self, *, is_reported: bool) -> crash_guard.CrashGuard:
        """Returns the guard of requests that are reported, or are not."""
        return self.guard if is_reported else self._own_guard

    def clear(self, fingerprint: bytes, *, is_reported: bool) -> None:
        """Forgets the crashes of a request that a target answered."""
        guard = self.guard_for(is_reported=is_reported)
        is_cleared = guard.clear(fingerprint)
        if is_cleared and is_reported and self.reporter is not None:
            self.reporter.report_request_cleared(fingerprint)

    def _record_crash(self, lost: LostConnection, decided_in: float) -> None:
        ran_for = lost.ran_for + decided_in
        is_told = False
        if lost.is_reported and self.reporter is not None:
            is_told = self.reporter.report_connection_lost(
                lost.fingerprint, lost.target, ran_for=ran_for
            )
        # Control hosts know of answers at other entries, so they decide.
        self.guard_for(is_reported=lost.is_reported).record(
            lost.fingerprint,
            lost.target,
            ran_for=ran_for,
            may_block=not is_told,
        )
