"""Finds requests that crash every target they run on.

A request whose runs lost two targets, one after the other, is suspected: it is
not retried. After three it is blocked for a while, and suspected for longer, so
that one more loss blocks it again. A run counts only if it began after the
previous target failed, so that a common failure, such as the loss of a rack,
does not block the requests that were running.

An answer refutes all of that: a request that crashes targets has none. See
docs/design/crashing-requests.md.
"""

from __future__ import annotations

import enum
import typing

from mulberryquay.coordination import clock

#: Targets that must fail one after the other before a request is blocked.
MAX_FAILED_TARGETS: typing.Final = 3

#: Targets that must fail so before a request is not retried any more.
_SUSPECT_FAILED_TARGETS: typing.Final = 2

#: How long a request stays blocked, and how long a failure counts.
BLOCK_MS: typing.Final = 60_000

#: How long a request stays suspected once it was blocked.
PROBATION_MS: typing.Final = 600_000

#: Most requests that are tracked; the oldest are dropped first.
_MAX_TRACKED: typing.Final = 10_000


class Verdict(enum.Enum):
    """What is thought of a request."""

    #: It may run, and be retried.
    HARMLESS = 'harmless'
    #: It may run, and is not retried.
    SUSPECTED = 'suspected'
    #: It is refused.
    BLOCKED = 'blocked'


class Standing(typing.NamedTuple):
    """A verdict on a request, and for how many ms it holds."""

    fingerprint: bytes
    verdict: Verdict
    duration: float


class _FailureRecord(typing.NamedTuple):
    """The targets that failed while running a request."""

    targets: frozenset[str]
    #: When the last of them failed.
    last_failed_at: float
    #: Failed targets that are not known by name.
    earlier: int


@typing.final
class CrashGuard:
    """Counts the distinct targets that failed while running a request."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Tracks no request at first."""
        self._clock = time_source
        self._failures: dict[bytes, _FailureRecord] = {}
        #: Until when requests are suspected and blocked.
        self._suspected: dict[bytes, float] = {}
        self._blocked: dict[bytes, float] = {}
        self._recorded_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is counted, suspected or blocked; cheap."""
        if self._blocked or self._suspected or self._failures:
            self._drop_expired()
        return not (self._blocked or self._suspected or self._failures)

    @property
    def recorded_count(self) -> int:
        """The number of failures recorded so far."""
        return self._recorded_count

    @property
    def blocked_count(self) -> int:
        """The number of requests that are blocked now."""
        now = self._clock.now()
        return sum(until > now for until in self._blocked.values())

    @property
    def standings(self) -> list[Standing]:
        """All verdicts that hold now."""
        fingerprints = self._blocked.keys() | self._suspected.keys()
        return [
            standing
            for fingerprint in fingerprints
            for standing in self.standings_of(fingerprint)
        ]

    def standings_of(self, fingerprint: bytes) -> list[Standing]:
        """Returns the verdicts on a request, the strictest one first."""
        now = self._clock.now()
        return [
            Standing(fingerprint, verdict, tracked[fingerprint] - now)
            for verdict, tracked in (
                (Verdict.BLOCKED, self._blocked),
                (Verdict.SUSPECTED, self._suspected),
            )
            if tracked.get(fingerprint, now) > now
        ]

    def verdict_of(self, fingerprint: bytes) -> Verdict:
        """Returns the verdict on a request."""
        now = self._clock.now()
        if self._blocked.get(fingerprint, now) > now:
            return Verdict.BLOCKED
        if self._suspected.get(fingerprint, now) > now:
            return Verdict.SUSPECTED
        return Verdict.HARMLESS

    def is_blocked(self, fingerprint: bytes) -> bool:
        """Whether the request is currently blocked."""
        return self.verdict_of(fingerprint) is Verdict.BLOCKED

    def record(
        self,
        fingerprint: bytes,
        target: str,
        *,
        ran_for: float,
        may_block: bool = True,
    ) -> bool:
        """Counts a failed target; True if that blocks the request.

        ``ran_for`` is how long the request ran on the target, in ms. Unless
        it ``may_block``, the request is suspected at most.
        """
        now = self._clock.now()
        self._recorded_count += 1
        known = self._find_failures(fingerprint, now - ran_for)
        if now - ran_for < known.last_failed_at:
            return False
        counted = known._replace(
            targets=known.targets | {target}, last_failed_at=now
        )
        _keep_newest(self._failures, fingerprint, counted)
        failed = len(counted.targets) + counted.earlier
        if failed >= MAX_FAILED_TARGETS and may_block:
            self.block(fingerprint, duration=BLOCK_MS)
            self.suspect(fingerprint, duration=BLOCK_MS + PROBATION_MS)
            return True
        if failed >= _SUSPECT_FAILED_TARGETS:
            self.suspect(fingerprint, duration=BLOCK_MS)
        return False

    def clear(self, fingerprint: bytes) -> bool:
        """Clears a request that was answered; True if any was known of it."""
        known = [
            tracked.pop(fingerprint, None)
            for tracked in (self._failures, self._suspected, self._blocked)
        ]
        return any(each is not None for each in known)

    def suspect(self, fingerprint: bytes, *, duration: float) -> bool:
        """Suspects a request for ``duration`` ms; False if it was longer."""
        until = self._clock.now() + duration
        if self._suspected.get(fingerprint, 0) >= until:
            return False
        _keep_newest(self._suspected, fingerprint, until)
        return True

    def block(self, fingerprint: bytes, *, duration: float) -> None:
        """Blocks the request for ``duration`` milliseconds."""
        self._failures.pop(fingerprint, None)
        _keep_newest(self._blocked, fingerprint, self._clock.now() + duration)

    def _find_failures(
        self, fingerprint: bytes, began_at: float
    ) -> _FailureRecord:
        """Returns the failures that count for a run that began then."""
        known = self._failures.get(fingerprint)
        now = self._clock.now()
        if known is not None and now - known.last_failed_at <= BLOCK_MS:
            return known
        earlier = 0
        if self.verdict_of(fingerprint) is not Verdict.HARMLESS:
            earlier = MAX_FAILED_TARGETS - 1
        return _FailureRecord(frozenset(), began_at, earlier)

    def _drop_expired(self) -> None:
        """Forgets the oldest verdicts and failures once they have expired."""
        now = self._clock.now()
        _drop_until(self._blocked, now)
        _drop_until(self._suspected, now)
        while self._failures:
            oldest = next(iter(self._failures))
            if now - self._failures[oldest].last_failed_at <= BLOCK_MS:
                return
            self._failures.pop(oldest)


def _drop_until(verdicts: dict[bytes, float], now: float) -> None:
    """Removes the oldest verdicts as long as they have expired."""
    while verdicts:
        oldest = next(iter(verdicts))
        if verdicts[oldest] > now:
            return
        verdicts.pop(oldest)


_Tracked = typing.TypeVar('_Tracked')


def _keep_newest(
    tracked: dict[bytes, _Tracked], fingerprint: bytes, fact: _Tracked
) -> None:
    """Keeps a fact behind older ones; forgets the oldest if they are many."""
    tracked.pop(fingerprint, None)
    tracked[fingerprint] = fact
    if len(tracked) > _MAX_TRACKED:
        tracked.pop(next(iter(tracked)))
