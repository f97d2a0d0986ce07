"""What the tasks of one entry share."""

from __future__ import annotations

import itertools
import random
import typing

from mulberryquay import metrics
from mulberryquay.coordination import (
    clock,
    crash_guard,
    retry_budget,
    shares,
    watchdog,
)
from mulberryquay.entry import (
    balancer,
    caller_watch,
    claim_client,
    dialect,
    relays,
    request_records,
    routing,
    service_queue,
    splits,
    targets,
)

#: Resends allowed for each fresh call of a service.
RETRY_RATIO: typing.Final = 0.1

_REASON: typing.Final = ('reason',)

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_requests_total',
        'Requests by outcome and reason.',
        labels=('outcome', 'reason'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_retries_total',
        'Resends by the reason for which the try before failed.',
        labels=_REASON,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_retries_denied_total',
        'Resends that were allowed but for the retry budget, by reason.',
        labels=_REASON,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_tries_total',
        'Tries on targets by result and reason.',
        labels=('result', 'reason'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_cross_region_bytes_total',
        'Body bytes sent to and received from targets of other regions.',
        labels=('direction',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_probe_bytes_total',
        'Bytes of probes to targets, by scope.',
        labels=('scope',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_bytes_total',
        'Bytes exchanged with control hosts.',
        labels=('direction',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_in_flight',
        'Requests being served now.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_waiting',
        'Requests waiting for a target now.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_config_revision',
        'Revision of the configuration in force here.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_config_fresh',
        '1 while a control host vouches for the configuration.',
        is_gauge=True,
    ),
)


class CrashReporter(typing.Protocol):
    """Tells the control hosts about requests that break targets."""

    def report_broken(
        self,
        fingerprint: bytes,
        target: str,
        *,
        ran_for: float,
    ) -> None:
        """Reports a target that broke while it ran a request."""

    def report_cleared(self, fingerprint: bytes) -> None:
        """Reports that a request reported before was answered."""


class LoadProber(typing.Protocol):
    """Asks targets for their load."""

    def refresh_reports(
        self, candidates: typing.Sequence[targets.TargetState]
    ) -> None:
        """Returns when the useful reports are fresh, or soon after."""


class EntryOptions(typing.NamedTuple):
    """How an entry is set up to behave."""

    dialect: dialect.HeaderDialect = dialect.OWN
    #: Whether requests are served while no control host vouches.
    serves_stale: bool = False
    #: Whether an entry outside the home regions of a request passes it on
    #: to a target there, and does not refuse it.
    forwards_to_homes: bool = False
    #: Resends for each fresh call of a service.
    retry_ratio: float = RETRY_RATIO
    #: Resends beyond that which all entries together may save up; 0 leaves
    #: each entry its own reserve.
    retry_reserve: float = 0
    target_limits: balancer.TargetLimits = balancer.TargetLimits()


@typing.final
class EntryState:
    """The knowledge, limits and records of one entry."""

    def __init__(
        self,
        *,
        name: str,
        region: str,
        domain: str,
        new_policy: typing.Callable[[], service_queue.Policy],
        time_source: clock.Clock | None = None,
        ledger: tuple[str, int] | None = None,
        options: EntryOptions | None = None,
    ) -> None:
        """Starts without configuration and targets."""
        self.name = name
        self.options = options or EntryOptions()
        #: The headers of callers' requests that are kept.
        self.header_filter = self.dialect.header_filter
        self.region = region
        self.clock = time_source or clock.Clock()
        self.metrics = metrics.Metrics(METRICS)
        self.routing_table = routing.RoutingTable({})
        self.share_view = shares.ShareView(name)
        self.relays = relays.Relays(
            name,
            self.share_view,
            self.clock,
            random.Random(name),
            self.dialect,
        )
        self.balancer = balancer.Balancer(
            self.share_view,
            new_policy,
            self.clock,
            region=region,
            domain=domain,
            peers=self.relays,
            spoken=self.dialect,
            target_limits=self.options.target_limits,
        )
        self.watchdog = watchdog.Watchdog(self.clock)
        self.claims = claim_client.ClaimClient(name, ledger, self.clock)
        self.guard = crash_guard.CrashGuard(self.clock)
        self.request_history = request_records.RequestHistory()
        self.splits = splits.Splits()
        self.caller_watch = caller_watch.CallerWatch(self.clock)
        #: Asks targets for their load before one is chosen, if at all.
        self.load_prober: LoadProber | None = None
        self.account_in_flight: dict[str, int] = {}
        self.in_flight = 0
        self.is_fresh = False
        self.is_stopping = False
        self.crash_reporter: CrashReporter | None = None
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        started = int(self.clock.wall())
        self._request_prefix = f'{name}-{started:x}-'
        self._request_numbers = itertools.count(1)

    @property
    def dialect(self) -> dialect.HeaderDialect:
        """The headers by which callers and targets speak."""
        return self.options.dialect

    def next_request_id(self) -> str:
        """Returns an id that no other entry and no restart repeats."""
        return f'{self._request_prefix}{next(self._request_numbers):x}'

    def retry_budget_for(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._new_budget()
            self._budgets[service] = budget
        return budget

    def _new_budget(self) -> retry_budget.RetryBudget:
        ratio = self.options.retry_ratio
        if not self.options.retry_reserve:
            return retry_budget.RetryBudget(ratio=ratio)
        return retry_budget.RetryBudget(
            ratio=ratio,
            reserve=self._retry_capacity(),
            capacity=self._retry_capacity,
        )

    def _retry_capacity(self) -> float:
        """Returns this entry's part of the common reserve."""
        if not self.share_view.committed.members:
            return 1
        return max(1, self.options.retry_reserve / self.share_view.member_count)
