"""Blocks requests that crash every target they run on.

A request is blocked after three targets failed while running it, one after
the other. A run counts only if it began after the previous target failed, so
that a common failure, such as the loss of a rack, does not block the requests
that were running. Two failures are too few: when answers are lost on the
network, many harmless requests lose two in a row. A successful answer clears
the count.
"""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock

#: Targets that must fail one after the other before a request is blocked.
MAX_FAILED_TARGETS: typing.Final = 3

#: How long a request stays blocked, and how long a failure counts.
BLOCK_MS: typing.Final = 60_000

#: Most requests that are tracked; the oldest are dropped first.
_MAX_TRACKED: typing.Final = 10_000


class _FailureRecord(typing.NamedTuple):
    """The targets that failed while running a request."""

    targets: frozenset[str]
    #: When the last of them failed.
    last_failed_at: float


@typing.final
class CrashGuard:
    """Counts the distinct targets that failed while running a request."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Tracks no request at first."""
        self._clock = time_source
        self._failures: dict[bytes, _FailureRecord] = {}
        self._blocked: dict[bytes, float] = {}
        self._recorded_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is counted or blocked; cheap to call."""
        if self._blocked or self._failures:
            self._drop_expired()
        return not (self._blocked or self._failures)

    @property
    def recorded_count(self) -> int:
        """The number of failures recorded so far."""
        return self._recorded_count

    @property
    def blocked_count(self) -> int:
        """The number of requests that are blocked now."""
        now = self._clock.now()
        return sum(until > now for until in self._blocked.values())

    def record(
        self,
        fingerprint: bytes,
        target: str,
        *,
        ran_for: float,
    ) -> bool:
        """Counts a failed target; True if that blocks the request.

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
        # Moves the request to the end, behind those that expire earlier.
        self._failures.pop(fingerprint, None)
        self._failures[fingerprint] = counted
        _forget_oldest(self._failures)
        if len(counted.targets) < MAX_FAILED_TARGETS:
            return False
        self.block(fingerprint, duration=BLOCK_MS)
        return True

    def clear(self, fingerprint: bytes) -> bool:
        """Clears the failures of a request; True if there were any."""
        return self._failures.pop(fingerprint, None) is not None

    def block(self, fingerprint: bytes, *, duration: float) -> None:
        """Blocks the request for ``duration`` milliseconds."""
        self._failures.pop(fingerprint, None)
        self._blocked.pop(fingerprint, None)
        self._blocked[fingerprint] = self._clock.now() + duration
        _forget_oldest(self._blocked)

    def is_blocked(self, fingerprint: bytes) -> bool:
        """Whether the request is currently blocked."""
        until = self._blocked.get(fingerprint)
        return until is not None and until > self._clock.now()

    def _drop_expired(self) -> None:
        """Forgets the oldest blocks and failures once they have expired."""
        now = self._clock.now()
        _drop_while(self._blocked, lambda until: until <= now)
        _drop_while(
            self._failures,
            lambda record: now - record.last_failed_at > BLOCK_MS,
        )


def _drop_while(
    tracked: dict[bytes, typing.Any],
    is_expired: typing.Callable[[typing.Any], bool],
) -> None:
    """Removes the oldest entries as long as they have expired."""
    while tracked:
        oldest = next(iter(tracked))
        if not is_expired(tracked[oldest]):
            return
        tracked.pop(oldest)


def _forget_oldest(tracked: dict[bytes, typing.Any]) -> None:
    if len(tracked) > _MAX_TRACKED:
        tracked.pop(next(iter(tracked)))
