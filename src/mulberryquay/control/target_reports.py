"""Applies what entries report of targets, at each control host."""

from __future__ import annotations

import logging
import typing

from mulberryquay import crash_messages, protocol
from mulberryquay.control import directory, host_protocol
from mulberryquay.coordination import clock, crash_guard

_LOG: typing.Final = logging.getLogger(__name__)

CrashReport = crash_messages.ConnectionLost | crash_messages.RequestCleared
Verdict = crash_messages.RequestBlocked | crash_messages.RequestSuspected


@typing.final
class TargetReports:
    """Updates the directory of targets and counts crashes by request."""

    def __init__(
        self,
        targets: directory.Directory,
        time_source: clock.Clock,
        tell_entries: typing.Callable[[Verdict], None],
        tell_hosts: typing.Callable[[CrashReport | Verdict], None],
    ) -> None:
        """Tells others of each request that is suspected or blocked."""
        #: The targets that are reported on.
        self.directory = targets
        self._tell_entries = tell_entries
        self._tell_hosts = tell_hosts
        self._guard = crash_guard.CrashGuard(time_source)

    @property
    def guard(self) -> crash_guard.CrashGuard:
        """The guard that counts the lost connections reported by entries."""
        return self._guard

    def restore(self, hello: protocol.Hello) -> None:
        """Restores what an entry knows of targets from before a start."""
        for name, incarnation, granted, is_warm in hello.known_targets:
            hint = directory.AllowanceHint(incarnation, granted, is_warm)
            self.directory.add_hint(name, hint)
        for limited_name, fields in hello.known_rate_limits.items():
            self.directory.restore_rate_limit(
                limited_name, protocol.RateLimitReport(*fields)
            )

    def apply(self, report: host_protocol.TargetsReported) -> None:
        """Applies a report on targets, received by this or another host."""
        for served_name, answers in report.served.items():
            self.directory.record_served(served_name, answers)
        for shed_name, incarnation in report.shed.items():
            self.directory.record_shed(shed_name, incarnation=incarnation)
        for limited_name, fields in report.rate_limits.items():
            self.directory.record_rate_limit(
                limited_name, protocol.RateLimitReport(*fields)
            )

    def verdicts(self, *, is_current: bool = True) -> list[Verdict]:
        """Returns what others have to know when they connect.

        Entries of older releases read only which requests are blocked.
        """
        return [
            crash_messages.of_standing(standing)
            for standing in self._guard.standings
            if is_current or standing.verdict is crash_guard.Verdict.BLOCKED
        ]

    def receive(self, message: CrashReport | Verdict) -> None:
        """Applies what an entry sent, and passes reports on to other hosts.

        A verdict that an entry kept counts for a while after a start. Later,
        it may have been cleared here.
        """
        match message:
            case (
                crash_messages.ConnectionLost()
                | crash_messages.RequestCleared()
            ):
                self.apply_crash(message)
                self._tell_hosts(message)
            case (
                crash_messages.RequestBlocked()
                | crash_messages.RequestSuspected()
            ):
                if self.directory.is_relearning:
                    self.apply_verdict(message)

    def apply_crash(
        self,
        report: CrashReport,
    ) -> None:
        """Applies a report on a request, received by this or another host."""
        match report:
            case crash_messages.ConnectionLost():
                self._record_connection_loss(report)
            case crash_messages.RequestCleared(fingerprint):
                was_blocked = self._guard.is_blocked(fingerprint)
                self._guard.clear(fingerprint)
                if was_blocked:
                    _LOG.info(
                        'request harmless',
                        extra={'fingerprint': fingerprint.hex()},
                    )
                    self._tell_entries(
                        crash_messages.RequestBlocked(fingerprint, 0)
                    )

    def apply_verdict(self, verdict: Verdict) -> None:
        """Applies what another host, or an entry after a start, knows."""
        fingerprint, duration = verdict
        match verdict:
            case crash_messages.RequestBlocked():
                if self._guard.is_blocked(fingerprint):
                    return
                self._guard.block(fingerprint, duration=duration)
                self._tell_entries(verdict)
            case crash_messages.RequestSuspected():
                if self._guard.suspect(fingerprint, duration=duration):
                    self._tell_entries(verdict)

    def _record_connection_loss(
        self, loss: crash_messages.ConnectionLost
    ) -> None:
        fingerprint = loss.fingerprint
        before = self._guard.verdict_of(fingerprint)
        is_blocked = self._guard.record(
            fingerprint, loss.target, ran_for=loss.ran_for_ms
        )
        verdict = self._guard.verdict_of(fingerprint)
        if verdict is before and not is_blocked:
            return
        _LOG.info(
            f'request {verdict.value}',
            extra={'fingerprint': fingerprint.hex(), 'target': loss.target},
        )
        for standing in self._guard.standings_of(fingerprint):
            message = crash_messages.of_standing(standing)
            self._tell_entries(message)
            if is_blocked:
                self._tell_hosts(message)
