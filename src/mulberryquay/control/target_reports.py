"""Applies what entries report of targets, at each control host."""

from __future__ import annotations

import typing

from mulberryquay import crash_messages, protocol
from mulberryquay.control import directory, host_protocol
from mulberryquay.coordination import clock, crash_guard


@typing.final
class TargetReports:
    """Updates the directory of targets and counts crashes by request."""

    def __init__(
        self,
        targets: directory.Directory,
        time_source: clock.Clock,
        on_blocked: typing.Callable[[bytes], None],
    ) -> None:
        """Calls ``on_blocked`` with each request that is blocked from now."""
        #: The targets that are reported on.
        self.directory = targets
        self._on_blocked = on_blocked
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

    def apply_crash(
        self,
        report: crash_messages.ConnectionLost | crash_messages.RequestCleared,
    ) -> None:
        """Applies a report on a request, received by this or another host."""
        match report:
            case crash_messages.ConnectionLost():
                self._record_connection_loss(report)
            case crash_messages.RequestCleared(fingerprint):
                self._guard.clear(fingerprint)

    def _record_connection_loss(
        self, loss: crash_messages.ConnectionLost
    ) -> None:
        is_blocked = self._guard.record(
            loss.fingerprint,
            loss.target,
            ran_for=loss.ran_for_ms,
        )
        if is_blocked:
            self._on_blocked(loss.fingerprint)
