"""Assembles the components of an entry process and runs them."""

from __future__ import annotations

import functools
import logging
import random
import typing

from mulberryquay import settings, sockets
from mulberryquay.coordination import clock, paced_task
from mulberryquay.entry import (
    admin,
    balancer,
    caller,
    caller_limits,
    caller_server,
    control_link,
    dialect,
    domain_keeper,
    domain_watch,
    entry_settings,
    load_prober,
    outcomes,
    probe_budget,
    prober,
    ready,
    state,
)
from mulberryquay.kernel import plugins, registry

#: The settings of an entry, as the command line declares them.
SETTINGS: typing.Final = entry_settings.SETTINGS

#: Interval at which queued requests are checked without any other event.
_SERVE_WAITING_INTERVAL_MS: typing.Final = 50.0

#: Interval at which bounds of rate limits that have ended are raised.
_RELEASE_INTERVAL_MS: typing.Final = 50.0

_STOP_POLL_INTERVAL_MS: typing.Final = 20.0

#: Longest time to send the answers of requests that a stop has ended.
_LAST_ANSWERS_MS: typing.Final = 200.0
_LOG: typing.Final = logging.getLogger(__name__)


class _Component(typing.Protocol):
    """A component with tasks of its own."""

    def start(self) -> None:
        """Starts its tasks."""

    def stop(self) -> None:
        """Stops its tasks."""


@typing.final
class EntryDaemon:
    """One entry process."""

    def __init__(
        self,
        values: settings.Values,
        kernel: plugins.Kernel,
        *,
        time_source: clock.Clock | None = None,
    ) -> None:
        """Opens the ports.

        Raises InvalidSettingError, for instance for an unknown policy.
        """
        factory = _find_policy(kernel, values['policy'])
        rng = random.Random()
        self._values = values
        self._waiting_ranks: set[int] = set()
        self._state = state.EntryState(
            name=values['name'],
            region=values['region'],
            domain=values['domain'],
            new_policy=lambda: factory(rng),
            time_source=time_source,
            ledger=_address_or_none(values['ledger']),
            options=_entry_options(values, kernel),
        )
        self._listener = sockets.listen(values['listen'], reuse_port=True)
        self._admin_listener = sockets.listen(values['admin_listen'])
        self._peer_listener = sockets.listen(values['peer_listen'])
        self._control_link = control_link.ControlLink(
            self._state,
            values['control'].split(','),
            admin_address=sockets.address_of(
                values['admin_listen'],
                self._admin_listener,
            ),
            peer_address=sockets.address_of(
                values['peer_listen'],
                self._peer_listener,
            ),
            domain=values['domain'],
        )
        self._state.crashes.reporter = self._control_link
        self._queue_task = paced_task.PacedTask(
            self._serve_waiting,
            self._state.clock,
            interval=_SERVE_WAITING_INTERVAL_MS,
            needed=self._state.balancer.has_waiting,
        )
        self._release_task = paced_task.PacedTask(
            self._state.balancer.release_rate_limits,
            self._state.clock,
            interval=_RELEASE_INTERVAL_MS,
            needed=self._state.balancer.has_rate_limits,
        )
        self._prober = prober.Prober(
            self._state,
            path=values['probe_path'],
            per_target_rate=values['probes_per_target_s'],
            bytes_rate=values['probe_bytes_s'],
        )
        self._load_components: list[_Component] = []
        if values['ask_load']:
            self._ask_load(values)
        self._admin = admin.Admin(
            self._admin_listener,
            self._state,
            self._is_ready,
            self._update_gauges,
        )
        self._ready_servers = [
            ready.ReadyServer(
                sockets.listen(address),
                values['ready_path'],
                self._is_ready,
                self._state.clock,
            )
            for address in filter(None, [values['ready_listen']])
        ]
        self._caller_server = caller_server.CallerServer(
            self._state, self._listener, self._peer_listener
        )

    @property
    def port(self) -> int:
        """The port for callers."""
        return sockets.port_of(self._listener)

    @property
    def admin_port(self) -> int:
        """The port for health, metrics and request records."""
        return sockets.port_of(self._admin_listener)

    @property
    def state(self) -> state.EntryState:
        """The state shared by the components of the entry."""
        return self._state

    @property
    def caller_connections(self) -> set[caller.CallerConnection]:
        """The open connections of callers and other entries."""
        return self._caller_server.connections

    def start(self) -> None:
        """Starts to serve."""
        for component in self._components():
            component.start()
        self._caller_server.start()

    def stop(self) -> None:
        """Stops after requests in flight have finished.

        The entry first reports that it is not ready, so that the platform's
        load balancer sends nothing new. The ports close after the drain
        time. Requests that exceed the stop timeout are answered: not-run
        while they wait for a target, else unknown.
        """
        _LOG.info('stopping')
        time_source = self._state.clock
        drain_ms = self._values['drain_ms']
        planned_stop = self._state.planned_stop
        planned_stop.begin(drain_ms + self._values['stop_timeout_ms'])
        self._control_link.announce_leaving()
        time_source.sleep(drain_ms)
        self._caller_server.close_ports()
        while self._caller_server.is_busy and not planned_stop.has_ended:
            self._caller_server.close_idle()
            time_source.sleep(_STOP_POLL_INTERVAL_MS)
        self._end_requests()
        self._caller_server.stop()
        for component in self._components():
            component.stop()

    def _ask_load(self, values: settings.Values) -> None:
        """Asks targets for their load before each choice."""
        per_target_s = values['load_probes_per_target_s']
        is_shared = values['share_load']
        on_skipped = functools.partial(
            self._state.metrics.count, 'mulberryquay_load_probes_skipped_total'
        )
        own_part = 1 - domain_keeper.KEEPER_PART if is_shared else 1
        own_prober = load_prober.LoadProber(
            self._prober,
            self._state.clock,
            probe_budget.ProbeBudget(
                self._state.share_view,
                self._state.clock,
                region=self._state.region,
                domain=values['domain'],
                per_target_s=per_target_s * own_part,
                on_skipped=on_skipped,
            ),
        )
        self._state.load_prober = own_prober
        if not is_shared:
            return
        watch = domain_watch.DomainWatch(
            self._state,
            domain_keeper.DomainKeeper(
                self._state,
                self._prober,
                per_target_s=per_target_s * domain_keeper.KEEPER_PART,
                on_skipped=on_skipped,
            ),
            own_prober,
            sockets.bind_datagrams(
                sockets.address_of(values['peer_listen'], self._peer_listener)
            ),
            values['domain'],
        )
        self._state.load_prober = watch
        self._load_components.append(watch)

    def _end_requests(self) -> None:
        """Answers the requests that are still in flight."""
        if not self._caller_server.is_busy:
            return
        time_source = self._state.clock
        _LOG.warning(
            'requests ended by the stop',
            extra={'in_flight': self._state.in_flight},
        )
        self._state.balancer.refuse_waiting(
            outcomes.not_run(
                outcomes.Reason.ENTRY_STOPPING,
                'this entry stops and no target had capacity before',
            )
        )
        self._state.watchdog.expire_all()
        deadline = time_source.now() + _LAST_ANSWERS_MS
        while self._state.in_flight and time_source.now() < deadline:
            time_source.sleep(_STOP_POLL_INTERVAL_MS)

    def configure(self, values: settings.Values) -> None:
        """Applies changed settings; only ``control`` may change at run time."""
        self._control_link.configure(values['control'].split(','))

    def _components(self) -> list[_Component]:
        """Returns the components to start and stop with this entry."""
        return [
            self._control_link,
            self._state.claims,
            self._prober,
            *self._load_components,
            self._queue_task,
            self._release_task,
            self._state.watchdog,
            self._state.caller_watch,
            self._admin,
            *self._ready_servers,
        ]

    def _serve_waiting(self) -> bool:
        """Serves waiting requests; returns whether some still wait."""
        self._state.balancer.serve_waiting()
        return bool(self._state.balancer.waiting_by_rank)

    def _is_ready(self) -> bool:
        entry_state = self._state
        is_usable = entry_state.is_fresh or (
            entry_state.options.serves_stale
            and entry_state.routing_table.is_configured
        )
        return is_usable and not entry_state.planned_stop.has_begun

    def _update_gauges(self) -> None:
        entry_state = self._state
        set_gauge = entry_state.metrics.set_gauge
        set_gauge('mulberryquay_in_flight', entry_state.in_flight)
        set_gauge(
            'mulberryquay_caller_memory_bytes', entry_state.memory.held_bytes
        )
        set_gauge(
            'mulberryquay_record_bytes',
            entry_state.request_history.held_bytes,
        )
        set_gauge(
            'mulberryquay_caller_connections',
            len(entry_state.connections.callers),
        )
        waiting = entry_state.balancer.waiting_by_rank
        set_gauge('mulberryquay_waiting', waiting.total())
        self._waiting_ranks |= set(waiting)
        for rank in self._waiting_ranks:
            set_gauge('mulberryquay_waiting_by_rank', waiting[rank], str(rank))
        set_gauge('mulberryquay_config_revision', self._control_link.revision)
        set_gauge('mulberryquay_config_fresh', int(entry_state.is_fresh))
        age = entry_state.control_age
        set_gauge('mulberryquay_control_age_ms', age.milliseconds)
        set_gauge('mulberryquay_control_age_max_ms', age.longest_ms)
        entry_state.leased_rates.update_gauges()


def _address_or_none(address: str) -> tuple[str, int] | None:
    return settings.parse_address(address) if address else None


def _entry_options(
    values: settings.Values,
    kernel: plugins.Kernel,
) -> state.EntryOptions:
    return state.EntryOptions(
        _find_dialect(kernel, values['dialect']),
        values['stale_config'] != entry_settings.REFUSE_STALE,
        values['stale_config'] == entry_settings.SERVE_KEYLESS_STALE,
        values['outside_homes'] == entry_settings.FORWARD_OUTSIDE,
        values['retry_percent'] / entry_settings.PERCENT,
        values['retry_reserve'],
        values['account_rates'] == entry_settings.LEASES,
        balancer.TargetLimits(
            values['min_calls'],
            values['load_limit_percent'] / entry_settings.PERCENT,
        ),
        state.PipeliningLimits(
            values['pipelined_requests'], values['pipelined_bytes']
        ),
        values['queue_order'] == entry_settings.FAIR_ORDER,
        caller_limits.Bounds(
            caller_limits.memory_bound(
                values['memory_mb'], values['caller_memory_percent']
            ),
            caller_limits.connection_bound(values['max_connections']),
            values['max_address_connections'],
            caller_limits.peer_connection_bound(values['max_peer_connections']),
            caller_limits.memory_bound(
                values['memory_mb'], values['record_memory_percent']
            ),
            caller_limits.open_connection_bound(values['max_open_connections']),
        ),
    )


def _find_dialect(kernel: plugins.Kernel, name: str) -> dialect.HeaderDialect:
    try:
        found: dialect.HeaderDialect = kernel.dialects.get(name)
    except registry.UnknownNameError as error:
        raise settings.InvalidSettingError(f'--dialect: {error}') from error
    return found


def _find_policy(kernel: plugins.Kernel, name: str) -> typing.Any:
    try:
        return kernel.policies.get(name)
    except registry.UnknownNameError as error:
        raise settings.InvalidSettingError(f'--policy: {error}') from error
