"""The rate limit that a target names in its answers.

The limit holds for all entries together. Some of the entries in the target's
region share it (`shares.rate_share_of`), and each of these spaces its calls.

A limit that ends is raised in steps before it is dropped, so that requests
that waited at all entries do not reach the target at once.
"""

from __future__ import annotations

import enum
import logging
import typing

from mulberryquay.coordination import clock
from mulberryquay.entry import http_heads

#: For this long, an own observation that differs from what control hosts
#: announce takes precedence and is reported to them. It covers a heartbeat
#: and the time that control hosts take to tell all entries.
OBSERVATION_MS: typing.Final = 1500.0

#: A limit that no answer confirmed for this long is confirmed by a probe.
_CONFIRMATION_INTERVAL_MS: typing.Final = 2000.0

#: A target that takes fewer calls is still tried this often, because its
#: answers tell when it takes more.
_LEAST_BOUND_PER_S: typing.Final = 0.5

#: After its end, a limit is raised by the factor in each of these steps.
_RELEASE_STEP_MS: typing.Final = 250.0
_RELEASE_STEPS: typing.Final = 4
_RELEASE_FACTOR: typing.Final = 2.0

_LOG: typing.Final = logging.getLogger(__name__)


class Source(enum.Enum):
    """Where a limit was learned."""

    ANSWER = 'answer'
    PROBE = 'probe'
    CONTROL = 'control'


@typing.final
class RateLimit:
    """The rate limit of one target, and this entry's calls under it."""

    __slots__ = (
        '_announced_per_s',
        '_began_at',
        '_call_count',
        '_clock',
        '_is_in_probes',
        '_is_news',
        '_next_call_at',
        '_observed_at',
        '_observed_per_s',
        '_on_change',
        '_released_from',
        '_target',
        'bound_per_s',
        'per_s',
        'share_per_s',
    )

    def __init__(
        self,
        target: str,
        time_source: clock.Clock,
        on_change: typing.Callable[[], None],
    ) -> None:
        """Starts without a limit; calls ``on_change`` after each change."""
        self._target = target
        self._clock = time_source
        self._on_change = on_change
        self._began_at = 0.0
        self._call_count = 0
        self._next_call_at = 0.0
        self._announced_per_s: float | None = None
        self._observed_at = float('-inf')
        self._observed_per_s: float | None = None
        #: Whether the observation differed from what was announced before it.
        self._is_news = False
        #: Whether answers to probes name the limit, too, so that one without
        #: it shows that the limit has ended.
        self._is_in_probes = False
        #: The bound when the limit ended.
        self._released_from = 0.0
        #: Calls per second that the target takes from all entries together;
        #: None without a limit.
        self.per_s: float | None = None
        #: Calls per second that all entries together may send: the limit, or
        #: more for some time after its end; None if any number.
        self.bound_per_s: float | None = None
        #: Calls per second that this entry may send of these.
        self.share_per_s = 0.0

    @property
    def has_share(self) -> bool:
        """Whether this entry may send calls, now or later."""
        return self.bound_per_s is None or self.share_per_s > 0

    @property
    def is_being_released(self) -> bool:
        """Whether the limit has ended but still bounds calls."""
        return self.per_s is None and self.bound_per_s is not None

    @property
    def has_report(self) -> bool:
        """Whether control hosts have to learn of a recent observation."""
        age = self._clock.now() - self._observed_at
        return self._is_news and age <= OBSERVATION_MS

    def is_due(self, now: float) -> bool:
        """Whether this entry may send a call at ``now``."""
        if self.bound_per_s is None:
            return True
        return self.share_per_s > 0 and self._next_call_at <= now

    def needs_confirmation(self, now: float) -> bool:
        """Whether no answer has confirmed the limit for some time."""
        if self.per_s is None or not self.share_per_s:
            return False
        return now - self._observed_at > _CONFIRMATION_INTERVAL_MS

    def grant_share(self, per_s: float) -> None:
        """Sets this entry's share; a new one begins with a pause.

        The entry that had the share before may just have used it.
        """
        if per_s and not self.share_per_s:
            self._next_call_at = self._clock.now() + clock.MS_PER_SECOND / per_s
        self.share_per_s = per_s

    def begin_call(self, now: float) -> None:
        """Counts a call that is about to be sent.

        After a pause, one call may follow early.
        """
        self._call_count += 1
        if self.share_per_s:
            interval = clock.MS_PER_SECOND / self.share_per_s
            self._next_call_at = max(self._next_call_at, now - interval)
            self._next_call_at += interval

    def observe_header(self, text: bytes | None, source: Source) -> None:
        """Records the header of an answer; None if there was none."""
        per_s = None if text is None else http_heads.parse_decimal(text)
        if text is not None and per_s is None:
            _LOG.warning(
                'target named a rate limit that is no decimal number',
                extra={'target': self._target, 'source': source.value},
            )
            return
        self.observe(per_s, source)

    def observe(self, per_s: float | None, source: Source) -> None:
        """Records what an answer of the target said; None for no limit."""
        if source is Source.PROBE:
            if per_s is None and not self._is_in_probes:
                return
            self._is_in_probes = True
        self._observed_at = self._clock.now()
        self._observed_per_s = per_s
        self._is_news = per_s != self._announced_per_s
        self._change(per_s, source)

    def accept(self, per_s: float | None) -> None:
        """Records what control hosts announce."""
        self._announced_per_s = per_s
        if per_s == self._observed_per_s or not self.has_report:
            self._is_news = False
            self._change(per_s, Source.CONTROL)

    def release(self) -> None:
        """Raises the bound of a limit that has ended, if it is time."""
        steps = int((self._clock.now() - self._began_at) // _RELEASE_STEP_MS)
        bound = None
        if steps < _RELEASE_STEPS:
            bound = self._released_from * _RELEASE_FACTOR**steps
        if self.is_being_released and bound != self.bound_per_s:
            self.bound_per_s = bound
            self._on_change()

    def _change(self, per_s: float | None, source: Source) -> None:
        if per_s == self.per_s:
            return
        now = self._clock.now()
        _LOG.info(
            'target rate limit changed',
            extra={
                'target': self._target,
                'per_s': per_s,
                'source': source.value,
                'previous_per_s': self.per_s,
                'calls': 0 if self.per_s is None else self._call_count,
                'for_ms': 0 if self.per_s is None else now - self._began_at,
            },
        )
        self.per_s = per_s
        self._began_at = now
        self._call_count = 0
        if per_s is None:
            self._released_from = self.bound_per_s or _LEAST_BOUND_PER_S
            self.bound_per_s = self._released_from
        else:
            self.bound_per_s = max(per_s, _LEAST_BOUND_PER_S)
        self._on_change()
