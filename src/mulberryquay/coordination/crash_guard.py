"""Stops requests that break each target that runs them.

A request is blocked after it broke three targets one after the other: each
run must have begun after the target before it broke, so that targets that
fail together (a rack) do not block the requests they ran. Two are not enough:
where answers are lost on their way, many good requests lose two in a row. A
good answer clears the request.
"""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock

#: Targets broken one after the other, after which a request is refused.
MAX_BROKEN_TARGETS: typing.Final = 3

#: How long a request stays refused, and how long a breakage counts.
BLOCK_MS: typing.Final = 60_000

#: Requests remembered; the oldest are forgotten first.
_MAX_TRACKED: typing.Final = 10_000


class _FailureRecord(typing.NamedTuple):
    """The targets that a request broke and when the last one broke."""

    targets: frozenset[str]
    last_failed_at: float


@typing.final
class CrashGuard:
    """Counts the distinct targets that broke while running a request."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts with no request blocked."""
        self._clock = time_source
        self._failures: dict[bytes, _FailureRecord] = {}
        self._blocked: dict[bytes, float] = {}
        self._recorded_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is counted or blocked; cheap to ask."""
        return not (self._blocked or self._failures)

    @property
    def recorded_count(self) -> int:
        """Breakages that were told of so far."""
        return self._recorded_count

    @property
    def blocked_count(self) -> int:
        """Requests that were blocked and not asked for since it ended."""
        return len(self._blocked)

    def record(
        self,
        fingerprint: bytes,
        target: str,
        *,
        ran_for: float,
    ) -> bool:
        """Counts a breakage; True when it blocks the request.

        ``ran_for`` is how long the request ran on the target, in ms.
        """
        now = self._clock.now()
        self._recorded_count += 1
        known = self._failures.get(fingerprint)
        if known is None or now - known.last_failed_at > BLOCK_MS:
            known = _FailureRecord(frozenset(), now - ran_for)
        if now - ran_for < known.last_failed_at:
            return False
        counted = _FailureRecord(known.targets | {target}, now)
        self._failures[fingerprint] = counted
        _forget_oldest(self._failures)
        if len(counted.targets) < MAX_BROKEN_TARGETS:
            return False
        self.block(fingerprint, duration=BLOCK_MS)
        return True

    def clear(self, fingerprint: bytes) -> bool:
        """Forgets the breakages of a request; True if there were any."""
        return self._failures.pop(fingerprint, None) is not None

    def block(self, fingerprint: bytes, *, duration: float) -> None:
        """Refuses the request for ``duration`` milliseconds."""
        self._failures.pop(fingerprint, None)
        self._blocked[fingerprint] = self._clock.now() + duration
        _forget_oldest(self._blocked)

    def is_blocked(self, fingerprint: bytes) -> bool:
        """Whether the request is refused now."""
        until = self._blocked.get(fingerprint)
        if until is None:
            return False
        if until > self._clock.now():
            return True
        self._blocked.pop(fingerprint)
        return False


def _forget_oldest(tracked: dict[bytes, typing.Any]) -> None:
    if len(tracked) > _MAX_TRACKED:
        tracked.pop(next(iter(tracked)))
