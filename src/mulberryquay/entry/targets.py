"""The state of each target as one entry observes it."""

from __future__ import annotations

import logging
import math
import typing

from mulberryquay import protocol, settings
from mulberryquay.coordination import clock, token_bucket
from mulberryquay.entry import (
    caller_limits,
    connections,
    dialect,
    latency_averages,
    outcomes,
    rate_limit,
)

#: Time constant: a load report decays to 1/e of its value in this time.
REPORT_DECAY_MS: typing.Final = 100.0

#: Time constant of the weight of a host's reported slowness.
SLOWNESS_DECAY_MS: typing.Final = 200.0

#: For this long, a load report is as good as a new one: the target is not
#: probed, nor are targets farther away if it is idle on a host of usual speed.
FRESH_REPORT_MAX_AGE_MS: typing.Final = 60.0
MAX_USUAL_SLOWNESS: typing.Final = 1.3

#: Longest usual time of a load probe, by tier of the target. It may open a
#: connection, which takes one more round trip.
LOAD_PROBE_MS: typing.Final = (8.0, 8.0, 60.0)

#: A load probe that takes longer than usual adds its age, times the weight, to
#: the target's expected time.
_PROBE_DELAY_WEIGHT: typing.Final = 4.0

#: Timeouts in a row that suspend a target.
_MAX_TIMEOUTS: typing.Final = 3

_FIRST_SUSPENSION_MS: typing.Final = 100.0
_MAX_SUSPENSION_MS: typing.Final = 5000.0

#: Failures in a row are counted up to this number; fewer already lead to the
#: longest suspension.
_MAX_COUNTED_FAILURES: typing.Final = 10

_LOG: typing.Final = logging.getLogger(__name__)


def _ignore_suspension(_reason: outcomes.Reason) -> None:
    """Ignores that a target is suspended."""


def _ignore_rate_limit(_target: TargetState) -> None:
    """Ignores that the rate limit of a target changed."""


class Seen(typing.NamedTuple):
    """What the entries together know of a target."""

    calls: float
    #: Duration of its calls relative to those of other targets.
    pace: float
    #: Part of the latest calls that it failed or refused.
    failing: float
    seen_at: float


class TargetContext(typing.NamedTuple):
    """What all targets of an entry have in common."""

    dialect: dialect.HeaderDialect = dialect.OWN
    #: Called with the reason each time a target is suspended.
    on_suspension: typing.Callable[[outcomes.Reason], None] = _ignore_suspension
    #: Called with each target whose rate limit changed.
    on_rate_limit: typing.Callable[[TargetState], None] = _ignore_rate_limit
    #: Counts the connections to all of them.
    all_open: caller_limits.OpenConnections | None = None


@typing.final
class TargetState:
    """One target with its limits and this entry's observations."""

    __slots__ = (
        '_load_probe_began_at',
        '_clock',
        '_failures_in_row',
        '_latency',
        '_reported_calls',
        '_reported_at',
        '_slowness',
        '_timeouts_in_row',
        '_next_cold_call_at',
        '_on_suspension',
        'cold_rate',
        'cold_until',
        'dialect',
        'in_flight',
        'is_peer',
        'is_relay_only',
        'limit',
        'load_limit',
        'load_probe_budget',
        'rate_limit',
        'connection_limit',
        'pool',
        'row',
        'sighting',
        'warmup_answers',
        'was_overloaded',
        'suspended_until',
        'tier',
    )

    def __init__(
        self,
        row: protocol.TargetRow,
        time_source: clock.Clock,
        context: TargetContext | None = None,
    ) -> None:
        """Starts without observations and with a call limit of 0."""
        context = context or TargetContext()
        self._on_suspension = context.on_suspension
        self.row = row
        self.dialect = context.dialect
        self.pool = connections.ConnectionPool(
            settings.parse_address(row.address),
            time_source,
            self.dialect.header_filter,
            context.all_open,
        )
        self.pool.echoes_ids = self.dialect.caller_sets_request_id
        #: Calls from this entry that the target is running.
        self.in_flight = 0
        #: Concurrent calls that this entry may send to the target.
        self.limit = 0
        #: Connections that this entry may open to the target.
        self.connection_limit = 1
        #: Whether this is another entry to which requests are relayed.
        self.is_peer = False
        #: Whether the target is cold and only other entries have shares.
        self.is_relay_only = False
        #: What its failure domain's keeper told last.
        self.sighting: Seen | None = None
        #: 0 for the entry's own domain, 1 for its region, 2 for others.
        self.tier = 2
        #: Good answers since the last heartbeat, counted while it is cold.
        self.warmup_answers = 0
        #: Whether the target shed a call or slowed down since the last
        #: heartbeat.
        self.was_overloaded = False
        self.suspended_until = 0.0
        #: Estimated calls per slot at which it gets no new calls; 0 for no
        #: limit.
        self.load_limit = 0.0
        #: When the cold period that the target reported ends.
        self.cold_until = 0.0
        #: Calls per second that this entry may send until then.
        self.cold_rate = 0.0
        #: The rate limit that the target named.
        self.rate_limit = rate_limit.RateLimit(
            row.name, time_source, lambda: context.on_rate_limit(self)
        )
        #: Limits the load probes of this entry, once it has sent one.
        self.load_probe_budget: token_bucket.TokenBucket | None = None
        self._next_cold_call_at = 0.0
        self._clock = time_source
        self._failures_in_row = 0
        self._latency = latency_averages.LatencyAverages(time_source)
        self._timeouts_in_row = 0
        self._reported_calls = 0.0
        self._reported_at = float('-inf')
        self._slowness = 1.0
        self._load_probe_began_at = 0.0

    @property
    def latency_ms(self) -> float:
        """The fast-moving average latency, 0 before the first answer."""
        return self._latency.recent_ms

    @property
    def baseline_latency_ms(self) -> float:
        """The slow-moving average latency, 0 before the first answer."""
        return self._latency.usual_ms

    @property
    def slowness(self) -> float:
        """The last reported slowness of the target's host; 1 is as usual."""
        return self._slowness

    @property
    def reported_load(self) -> float:
        """Calls per slot of other entries, as last reported."""
        return self._reported_calls / self.row.slots

    @property
    def reported_at(self) -> float:
        """When the newest load report was made."""
        return self._reported_at

    @property
    def probe_delay_penalty_ms(self) -> float:
        """A penalty in ms for a load probe that is still unanswered."""
        if not self._load_probe_began_at:
            return 0
        probe_delay = self._clock.now() - self._load_probe_began_at
        return (
            0
            if probe_delay < LOAD_PROBE_MS[self.tier]
            else probe_delay * _PROBE_DELAY_WEIGHT
        )

    @property
    def has_failed(self) -> bool:
        """Whether the newest recorded result is a failure."""
        return self._failures_in_row > 0

    @property
    def has_capacity(self) -> bool:
        """Whether this entry may send the target another call now."""
        return self.has_capacity_at(self._clock.now())

    def has_capacity_at(self, now: float) -> bool:
        """Whether this entry may send the target another call at ``now``."""
        if self.in_flight >= self.limit or not self.rate_limit.is_due(now):
            return False
        if self.load_limit and self.load(now) >= self.load_limit:
            return False
        if self.cold_until <= now:
            return True
        return self.cold_rate > 0 and self._next_cold_call_at <= now

    def begin_call(self) -> None:
        """Counts a call that is about to be sent."""
        self.in_flight += 1
        now = self._clock.now()
        self.rate_limit.begin_call(now)
        if self.cold_until > now and self.cold_rate > 0:
            self._next_cold_call_at = now + clock.MS_PER_SECOND / self.cold_rate

    def record_cold_period(self, remaining: float) -> None:
        """Records that the target stays cold for ``remaining`` ms."""
        self.cold_until = self._clock.now() + remaining

    def latency_penalty(self, baseline: float, now: float) -> float:
        """Returns 1, or more if recent latency far exceeds ``baseline``."""
        return self._latency.penalty(baseline, now)

    def report_weight(self, now: float) -> float:
        """Returns the weight of the last report, which decays from 1 to 0."""
        return math.exp((self._reported_at - now) / SLOWNESS_DECAY_MS)

    def is_reported_idle(self, now: float) -> bool:
        """Whether a recent report shows a free slot and usual speed."""
        is_fresh = now - self._reported_at <= FRESH_REPORT_MAX_AGE_MS
        return (
            is_fresh
            and self._slowness <= MAX_USUAL_SLOWNESS
            and self.load(now) < 1
        )

    def begin_load_probe(self) -> None:
        """Records that a load probe to the target began."""
        self._load_probe_began_at = self._clock.now()

    def end_load_probe(self) -> None:
        """Records that the load probe ended, with or without an answer."""
        self._load_probe_began_at = 0.0

    def load(self, now: float, usual_load: float = 0) -> float:
        """Estimates calls per slot from own calls and the last report.

        The report counts by its age: what other entries make decays to
        ``usual_load`` calls per slot.
        """
        weight = math.exp((self._reported_at - now) / REPORT_DECAY_MS)
        other_load = usual_load + weight * (self.reported_load - usual_load)
        return self.in_flight / self.row.slots + other_load

    def record_answer(
        self,
        latency: float,
        *,
        reported: dialect.LoadReport | None,
        is_served: bool = True,
    ) -> None:
        """Records an answer with its latency in ms and its load report.

        ``reported`` includes this call. An answer that is not ``is_served``
        is an error of the target, which does not show that it warmed up.
        """
        self._clear_failures('answered')
        self._timeouts_in_row = 0
        if is_served and not self.row.is_warm:
            self.warmup_answers += 1
        if reported is not None:
            self.record_report(reported, age=0)
        self.was_overloaded |= self._latency.record(latency)

    def record_report(self, report: dialect.LoadReport, *, age: float) -> None:
        """Records a load report that is ``age`` ms old.

        A report older than the newest one is ignored.
        """
        reported_at = self._clock.now() - age
        if reported_at < self._reported_at:
            return
        calls = report.running + report.waiting
        self._reported_calls = max(0.0, calls - self.in_flight)
        self._reported_at = reported_at
        self._slowness = report.slowness

    def record_probe(self) -> None:
        """Records a successful probe, which ends a suspension."""
        self._clear_failures('probe answered')

    def record_address_reused(self) -> None:
        """Suspends the target because another one now has its address."""
        self._failures_in_row = _MAX_COUNTED_FAILURES
        self.record_failure(outcomes.Reason.MISDIRECTED)

    def record_failure(self, reason: outcomes.Reason) -> None:
        """Suspends the target, longer after each failure in a row."""
        self._on_suspension(reason)
        suspension = _FIRST_SUSPENSION_MS * 2**self._failures_in_row
        self._failures_in_row = min(
            self._failures_in_row + 1, _MAX_COUNTED_FAILURES
        )
        suspension = min(suspension, _MAX_SUSPENSION_MS)
        self.suspended_until = self._clock.now() + suspension
        _LOG.info(
            'target suspended',
            extra={
                'target': self.row.name,
                'incarnation': self.row.incarnation,
                'reason': reason.value,
                'failures': self._failures_in_row,
                'for_ms': suspension,
            },
        )

    def record_timeout(self, waited: float) -> None:
        """Records a timeout; several in a row suspend the target."""
        self.was_overloaded |= self._latency.record(waited)
        self._timeouts_in_row += 1
        if self._timeouts_in_row >= _MAX_TIMEOUTS:
            self._timeouts_in_row = 0
            self.record_failure(outcomes.Reason.DEADLINE)

    def record_shed(self, report: dialect.LoadReport | None = None) -> None:
        """Suspends a target that shed a call and marks it as overloaded."""
        self.was_overloaded = True
        self.record_failure(outcomes.Reason.TARGET_SHED)
        if report is not None:
            self.record_report(report, age=0)

    def _clear_failures(self, cause: str) -> None:
        if self._failures_in_row:
            _LOG.info(
                'target no longer suspended',
                extra={'target': self.row.name, 'cause': cause},
            )
        self._failures_in_row = 0
        self.suspended_until = 0
