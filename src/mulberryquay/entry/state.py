"""The state that all tasks of one entry share, and its metrics."""

from __future__ import annotations

import functools
import itertools
import random
import typing

from mulberryquay import api_load, metrics
from mulberryquay.coordination import (
    clock,
    confirmed_age,
    retry_budget,
    memory_account,
    shares,
    watchdog,
)
from mulberryquay.decisions import permits
from mulberryquay.entry import (
    account_rates,
    account_slots,
    balancer,
    caller_limits,
    caller_watch,
    claim_client,
    competition,
    crash_tracker,
    dialect,
    leased_rates,
    load_metrics,
    outcomes,
    planned_stop,
    relays,
    request_records,
    routing,
    service_queue,
    splits,
    targets,
    version_reports,
)

#: Retries allowed for each new call of a service.
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
        'Retries by the reason why the previous attempt failed.',
        labels=_REASON,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_retries_denied_total',
        'Retries that the retry budget denied, by reason.',
        labels=_REASON,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_retries_suspected_total',
        'Retries not made because the request may crash targets, by reason.',
        labels=_REASON,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_tries_total',
        'Attempts on targets by result and reason.',
        labels=('result', 'reason'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_rate_limited_tries_total',
        'Attempts on targets that had named a rate limit: first or retry.',
        labels=('attempt',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_suspensions_total',
        'Suspensions of targets and entries by reason.',
        labels=_REASON,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_probe_bytes_total',
        'Bytes of probes to targets, by scope (same or cross region).',
        labels=('scope',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_load_probes_skipped_total',
        'Load probes that were not sent because of load_probes_per_target_s.',
    ),
    metrics.MetricDeclaration(
        'mulberryquay_load_pictures_total',
        'Questions about the load of targets to the entries that keep it, by '
        'result: told, or unanswered so that targets were asked directly.',
        labels=('result',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_choices_total',
        'Attempts by tier of the chosen target (0 for the own failure domain, '
        '1 for the region, 2 for others) and whether its load report was '
        'fresh, old or missing.',
        labels=('tier', 'report'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_bytes_total',
        'Bytes on closed streams to control hosts, by direction.',
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
        'mulberryquay_waiting_by_rank',
        'Requests waiting for a target now, by rank of their account.',
        labels=('rank',),
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_wait_before_refusal_ms_total',
        'Milliseconds for which requests waited that were refused with the '
        'reason wont-be-in-time.',
    ),
    metrics.MetricDeclaration(
        'mulberryquay_config_revision',
        'Revision of the configuration in force on this entry.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_config_fresh',
        '1 while a control host confirms that the configuration is current.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_age_ms',
        'Milliseconds since the sending of the newest heartbeat that a control '
        'host in contact with the majority answered; -1 before the first one.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_age_max_ms',
        'The highest value of mulberryquay_control_age_ms since the start.',
        is_gauge=True,
    ),
    *caller_limits.METRICS,
    *leased_rates.METRICS,
    *api_load.METRICS,
    *load_metrics.METRICS,
)


class LoadReportRefresher(typing.Protocol):
    """Refreshes the load reports of targets; learns of calls to them."""

    def refresh_reports(
        self, candidates: typing.Sequence[targets.TargetState]
    ) -> None:
        """Probes candidates with old reports and waits briefly for answers."""

    def begin_call(self, target: targets.TargetState) -> None:
        """Counts a call that is sent to a target."""

    def end_call(
        self, target: targets.TargetState, duration: float, *, has_failed: bool
    ) -> None:
        """Counts its end after ``duration`` ms."""


class PipeliningLimits(typing.NamedTuple):
    """How far a connection is read ahead of its answers."""

    #: Requests of a connection that are served at once; 1 for no pipelining.
    max_requests: int = 8
    #: Size of the heads of these requests, in bytes.
    max_bytes: int = 65536


class EntryOptions(typing.NamedTuple):
    """The behavior of an entry that its settings select."""

    dialect: dialect.HeaderDialect = dialect.OWN
    #: Whether requests are served while no freshness lease holds.
    serves_stale: bool = False
    #: Whether requests with a key are refused then.
    distrusts_stale_keys: bool = False
    #: Whether an entry outside the home regions of a request forwards it to
    #: a target there instead of refusing it.
    forwards_to_home_regions: bool = False
    #: Retries allowed for each new call of a service.
    retry_ratio: float = RETRY_RATIO
    #: Further retries of a service that all entries together may make at once;
    #: 0 gives each entry its own reserve.
    retry_reserve: float = 0
    #: Whether permits of client accounts are asked for at control hosts.
    leases_rates: bool = False
    target_limits: balancer.TargetLimits = balancer.TargetLimits()
    pipelining: PipeliningLimits = PipeliningLimits()
    #: Whether requests that wait are served in fair order, and refused when
    #: they won't be in time.
    orders_fairly: bool = False
    caller_bounds: caller_limits.Bounds = caller_limits.Bounds()


@typing.final
class EntryState:
    """The configuration, targets, limits and records of one entry."""

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
        """Starts without configuration or targets."""
        self.name = name
        self.options = options or EntryOptions()
        #: Selects the headers of callers' requests that are forwarded.
        self.header_filter = self.dialect.header_filter
        self.region = region
        self.clock = time_source or clock.Clock()
        self.metrics = metrics.Metrics(METRICS)
        self.limit_notes = caller_limits.LimitNotes(self.metrics, self.clock)
        bounds = self.options.caller_bounds
        #: What callers hold in memory.
        self.memory = memory_account.MemoryAccount(
            bounds.account_limit,
            self.clock,
            functools.partial(
                self.limit_notes.note, caller_limits.Limit.MEMORY_HELD
            ),
        )
        self.connections = caller_limits.new_places(
            bounds, self.limit_notes, self.memory.end_slowest
        )
        self.routing_table = routing.RoutingTable({})
        self.share_view = shares.ShareView(name)
        target_context = targets.TargetContext(
            self.dialect,
            self._handle_suspension,
            self._handle_rate_limit,
            self.connections.all_open,
        )
        self.relays = relays.Relays(
            name,
            self.share_view,
            self.clock,
            random.Random(name),
            target_context,
        )
        self.balancer = balancer.Balancer(
            self.share_view,
            new_policy,
            self.clock,
            region=region,
            domain=domain,
            peers=self.relays,
            target_context=target_context,
            target_limits=self.options.target_limits,
        )
        self.balancer.new_rivalry = self._new_rivalry
        self.watchdog = watchdog.Watchdog(self.clock)
        self.claims = claim_client.ClaimClient(name, ledger, self.clock)
        self.crashes = crash_tracker.CrashTracker(self.clock)
        self.request_history = request_records.RequestHistory(
            max_bytes=bounds.record_bytes,
            on_limit=functools.partial(
                self.limit_notes.note, caller_limits.Limit.RECORDS
            ),
        )
        self.splits = splits.TrafficSplitter()
        self.version_reports = version_reports.VersionReports(self.clock)
        self.caller_watch = caller_watch.CallerWatch(self.clock)
        #: Probes targets for their load before one is chosen; None if off.
        self.load_prober: LoadReportRefresher | None = None
        self.account_slots = account_slots.AccountSlots(self.share_view)
        #: Grants permits under the rates of client accounts.
        self.account_rates: permits.AccountRates = account_rates.EqualParts(
            self.share_view, self.clock
        )
        self._control_age = confirmed_age.ConfirmedAge(self.clock)
        self._leased_rates = leased_rates.LeasedRates(self.clock, self.metrics)
        if self.options.leases_rates:
            self.account_rates = self._leased_rates
        self.in_flight = 0
        self.is_fresh = False
        self.planned_stop = planned_stop.PlannedStop(self.clock)
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        started = int(self.clock.wall())
        self._request_prefix = f'{name}-{started:x}-'
        self._request_numbers = itertools.count(1)

    @property
    def dialect(self) -> dialect.HeaderDialect:
        """The names of the headers exchanged with callers and targets."""
        return self.options.dialect

    @property
    def control_age(self) -> confirmed_age.ConfirmedAge:
        """How old the control hosts' word is that this entry acts on."""
        return self._control_age

    @property
    def leased_rates(self) -> leased_rates.LeasedRates:
        """The permits that control hosts granted to this entry."""
        return self._leased_rates

    def request_id_from(self, given: bytes | None) -> str:
        """Returns the id that a caller gave its request, or a new one."""
        if given and self.dialect.caller_sets_request_id:
            return given.decode('latin-1')
        return self.next_request_id()

    def record_request(
        self,
        record: request_records.RequestRecord,
        account: routing.ClientAccount | None,
    ) -> None:
        """Keeps the record of a request that has ended, and counts it."""
        self.request_history.add(record)
        load_metrics.count_request(self.metrics, record, account)

    def next_request_id(self) -> str:
        """Returns an id that is unique over all entries and restarts."""
        return f'{self._request_prefix}{next(self._request_numbers):x}'

    def retry_budget_for(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._new_budget()
            self._retry_budgets[service] = budget
        return budget

    def _handle_suspension(self, reason: outcomes.Reason) -> None:
        self.metrics.count('mulberryquay_suspensions_total', reason.value)
        self.balancer.needs_probes.set()

    def _handle_rate_limit(self, target: targets.TargetState) -> None:
        self.balancer.apply_rate_limit(target)
        self.balancer.needs_probes.set()
        self.balancer.has_rate_limits.set()

    def _new_rivalry(self) -> competition.Competition | None:
        if not self.options.orders_fairly:
            return None
        return competition.Competition(
            self.share_view,
            self.clock,
            random.Random(self.name),
            self._count_refusal,
        )

    def _count_refusal(self, waited: float) -> None:
        self.metrics.count(
            'mulberryquay_wait_before_refusal_ms_total', amount=waited
        )

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
        """Returns this entry's part of the shared retry reserve."""
        if not self.share_view.committed.members:
            return 1
        return max(1, self.options.retry_reserve / self.share_view.member_count)
