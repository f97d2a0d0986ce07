"""What an entry knows of each target."""

from __future__ import annotations

import logging
import math
import typing

from mulberryquay import protocol, settings
from mulberryquay.coordination import clock
from mulberryquay.entry import connections, dialect

#: A load report counts for 1/e of its value after this long.
REPORT_DECAY_MS: typing.Final = 100.0

#: What a host said of its slowness counts for 1/e after this long.
SLOWNESS_DECAY_MS: typing.Final = 200.0

#: A report of an idle target on a usual host is believed for this long.
CALM_MS: typing.Final = 60.0
_CALM: typing.Final = 1.3

#: A question that is open for longer makes the target less likely to be
#: chosen, by this many ms for each ms.
_SILENCE_MS: typing.Final = 8.0
_SILENCE_WEIGHT: typing.Final = 4.0

#: Answers that take this many times the usual time, as an average of the
#: newest few, are a drag; noise of neighbours alone stays below it mostly.
_DRAG_FLOOR: typing.Final = 2.0
_MAX_DRAG: typing.Final = 4.0

#: Without answers, a drag is forgotten to 1/e after this long.
_DRAG_DECAY_MS: typing.Final = 3000.0

#: Weight of the newest answer in the fast and the slow latency average.
_FAST_WEIGHT: typing.Final = 0.3
_SLOW_WEIGHT: typing.Final = 0.02

#: A target is slow when its fast average is this many times the slow one.
_SLOW_FACTOR: typing.Final = 5.0
_SLOW_FLOOR_MS: typing.Final = 20.0
_SLOW_ANSWERS: typing.Final = 3

#: Calls in a row without an answer that suspend a target.
_MAX_TIMEOUTS: typing.Final = 3

_FIRST_SUSPENSION_MS: typing.Final = 100.0
_MAX_SUSPENSION_MS: typing.Final = 5000.0

#: Failures in a row that are counted; the pause has long been the longest.
_MAX_FAILURES: typing.Final = 10

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class TargetState:
    """One target with this entry's own observations."""

    __slots__ = (
        '_answered_at',
        '_asked_at',
        '_clock',
        '_failures',
        '_fast_ms',
        '_reported',
        '_reported_at',
        '_slow_answers',
        '_slow_ms',
        '_slowness',
        '_timeouts',
        '_cold_next',
        'cold_rate',
        'cold_until',
        'dialect',
        'in_flight',
        'is_peer',
        'is_shared_out',
        'limit',
        'load_limit',
        'link_limit',
        'pool',
        'row',
        'served',
        'shed',
        'suspended_until',
        'tier',
    )

    def __init__(
        self,
        row: protocol.TargetRow,
        time_source: clock.Clock,
        spoken: dialect.HeaderDialect = dialect.OWN,
    ) -> None:
        """Starts without observations and without permission to use it."""
        self.row = row
        self.dialect = spoken
        self.pool = connections.ConnectionPool(
            settings.parse_address(row.address),
            time_source,
            spoken.header_filter,
        )
        #: Calls that this entry runs on the target now.
        self.in_flight = 0
        #: Calls that this entry may run on the target at once.
        self.limit = 0
        #: Connections that this entry may open to the target.
        self.link_limit = 1
        #: Whether this is another entry, to which requests are relayed.
        self.is_peer = False
        #: Whether it is cold and only other entries have a share of it.
        self.is_shared_out = False
        #: 0 for the entry's own domain, 1 for its region, 2 for others.
        self.tier = 2
        #: Good answers since the last beat, kept while the target is cold.
        self.served = 0
        #: Whether the target shed or slowed down since the last beat.
        self.shed = False
        self.suspended_until = 0.0
        #: Calls a slot, as reported, at which it gets no more; 0 for any.
        self.load_limit = 0.0
        #: Until when the target said that it is cold.
        self.cold_until = 0.0
        #: Calls a second that this entry may send it meanwhile.
        self.cold_rate = 0.0
        self._cold_next = 0.0
        self._clock = time_source
        self._failures = 0
        self._fast_ms = 0.0
        self._slow_ms = 0.0
        self._slow_answers = 0
        self._timeouts = 0
        self._reported = 0.0
        self._reported_at = float('-inf')
        self._slowness = 1.0
        self._asked_at = 0.0
        self._answered_at = 0.0

    @property
    def latency_ms(self) -> float:
        """The fast average of the answers' latency, 0 before the first."""
        return self._fast_ms

    @property
    def usual_ms(self) -> float:
        """The slow average of the answers' latency, 0 before the first."""
        return self._slow_ms

    @property
    def slowness(self) -> float:
        """How long work takes on the target's host, as last reported."""
        return self._slowness

    @property
    def reported_at(self) -> float:
        """When the target reported its load last."""
        return self._reported_at

    @property
    def silence_ms(self) -> float:
        """For how long it has not answered a question that is open."""
        if not self._asked_at:
            return 0
        silence = self._clock.now() - self._asked_at
        return 0 if silence < _SILENCE_MS else silence * _SILENCE_WEIGHT

    @property
    def has_failed(self) -> bool:
        """Whether the newest call or probe failed."""
        return self._failures > 0

    @property
    def has_capacity(self) -> bool:
        """Whether this entry may send the target another call."""
        return self.has_room_at(self._clock.now())

    def has_room_at(self, now: float) -> bool:
        """Whether this entry may send the target another call then."""
        if self.in_flight >= self.limit:
            return False
        if self.load_limit and self.load(now) >= self.load_limit:
            return False
        if self.cold_until <= now:
            return True
        return self.cold_rate > 0 and self._cold_next <= now

    def enter(self) -> None:
        """Takes the room for one call."""
        self.in_flight += 1
        now = self._clock.now()
        if self.cold_until > now and self.cold_rate > 0:
            self._cold_next = now + clock.MS_PER_SECOND / self.cold_rate

    def note_cold(self, remaining: float) -> None:
        """Takes for how long the target stays cold, in ms."""
        self.cold_until = self._clock.now() + remaining

    def drag(self, usual: float, now: float) -> float:
        """Returns by how much its answers take longer than usual of late."""
        if not usual or self._fast_ms <= usual * _DRAG_FLOOR:
            return 1
        age = now - self._answered_at
        excess = self._fast_ms / (usual * _DRAG_FLOOR) - 1
        return 1 + min(excess, _MAX_DRAG) * math.exp(-age / _DRAG_DECAY_MS)

    def freshness(self, now: float) -> float:
        """Returns how much the last report still says, 1 for all."""
        return math.exp((self._reported_at - now) / SLOWNESS_DECAY_MS)

    def is_calm(self, now: float) -> bool:
        """Whether it said just now that it works as usual and has a slot."""
        is_fresh = now - self._reported_at <= CALM_MS
        return is_fresh and self._slowness <= _CALM and self.load(now) < 1

    def begin_question(self) -> None:
        """Notes that the target was asked for its load."""
        self._asked_at = self._clock.now()

    def end_question(self) -> None:
        """Notes that the question was answered or given up."""
        self._asked_at = 0.0

    def load(self, now: float) -> float:
        """Estimates the calls per slot, own ones and aged reports."""
        others = self._reported
        if others:
            age = now - self._reported_at
            others *= math.exp(-age / REPORT_DECAY_MS)
        return (self.in_flight + others) / self.row.slots

    def record_answer(
        self,
        latency: float,
        *,
        reported: dialect.LoadReport | None,
    ) -> None:
        """Takes an answer's latency (ms) and the load that it carried.

        ``reported`` counts this call, too.
        """
        self._clear_failures('answered')
        self._timeouts = 0
        if not self.row.is_warm:
            self.served += 1
        if reported is not None:
            self.record_report(reported, age=0)
        self._average(latency)

    def record_report(self, report: dialect.LoadReport, *, age: float) -> None:
        """Takes a load report that is ``age`` ms old.

        An answer that came since then knows better and is kept.
        """
        reported_at = self._clock.now() - age
        if reported_at < self._reported_at:
            return
        calls = report.running + report.waiting
        self._reported = max(0.0, calls - self.in_flight)
        self._reported_at = reported_at
        self._slowness = report.slowness

    def record_probe(self) -> None:
        """Takes a probe's answer: the target may be used again."""
        self._clear_failures('probe answered')

    def record_address_reused(self) -> None:
        """Suspends a target whose address belongs to another one now."""
        self._failures = _MAX_FAILURES
        self.record_failure()

    def record_failure(self) -> None:
        """Suspends the target for a growing while."""
        pause = _FIRST_SUSPENSION_MS * 2**self._failures
        self._failures = min(self._failures + 1, _MAX_FAILURES)
        pause = min(pause, _MAX_SUSPENSION_MS)
        self.suspended_until = self._clock.now() + pause
        _LOG.info(
            'target suspended',
            extra={
                'target': self.row.name,
                'incarnation': self.row.incarnation,
                'failures': self._failures,
                'for_ms': pause,
            },
        )

    def record_timeout(self, waited: float) -> None:
        """Takes a call without an answer; several suspend the target."""
        self._average(waited)
        self._timeouts += 1
        if self._timeouts >= _MAX_TIMEOUTS:
            self._timeouts = 0
            self.record_failure()

    def record_shed(self, report: dialect.LoadReport | None = None) -> None:
        """Suspends the target and reports that it bears less."""
        self.shed = True
        self.record_failure()
        if report is not None:
            self.record_report(report, age=0)

    def _clear_failures(self, cause: str) -> None:
        if self._failures:
            _LOG.info(
                'target is back',
                extra={'target': self.row.name, 'cause': cause},
            )
        self._failures = 0
        self.suspended_until = 0

    def _average(self, latency: float) -> None:
        self._answered_at = self._clock.now()
        if not self._slow_ms:
            self._fast_ms = latency
            self._slow_ms = latency
            return
        self._fast_ms += _FAST_WEIGHT * (latency - self._fast_ms)
        if self._is_slow(latency):
            self._slow_answers += 1
        else:
            self._slow_answers = 0
            self._slow_ms += _SLOW_WEIGHT * (latency - self._slow_ms)
        if self._slow_answers >= _SLOW_ANSWERS:
            self._slow_answers = 0
            self.shed = True

    def _is_slow(self, latency: float) -> bool:
        bound = max(self._slow_ms * _SLOW_FACTOR, _SLOW_FLOOR_MS)
        return latency > bound and self._fast_ms > bound / 2
