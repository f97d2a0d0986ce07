"""Applies what entries report of targets, at each control host."""

from __future__ import annotations

import typing

from mulberryquay import protocol
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
        self._directory = targets
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
            self._directory.add_hint(name, hint)
        for limited_name, fields in hello.known_rate_limits.items():
            self._directory.restore_rate_limit(
                limited_name, protocol.RateLimitReport(*fields)
            )

    def apply(self, report: host_protocol.TargetsReported) -> None:
        """Applies a report on targets, received by this or another host."""
        for served_name, answers in report.served.items():
            self._directory.record_served(served_name, answers)
        for shed_name, incarnation in report.shed.items():
            self._directory.record_shed(shed_name, incarnation=incarnation)
        for limited_name, fields in report.rate_limits.items():
            self._directory.record_rate_limit(
                limited_name, protocol.RateLimitReport(*fields)
            )

    def apply_crash(
        self,
        report: protocol.ConnectionLost | protocol.RequestCleared,
    ) -> None:
        """Applies a report on a request, received by this or another host."""
        match report:
            case protocol.ConnectionLost():
                self._record_connection_loss(report)
            case protocol.RequestCleared(fingerprint):
                self._guard.clear(fingerprint)

    def _record_connection_loss(self, loss: protocol.ConnectionLost) -> None:
        is_blocked = self._guard.record(
            loss.fingerprint,
            loss.target,
            ran_for=loss.ran_for_ms,
        )
        if is_blocked:
            self._on_blocked(loss.fingerprint)
