"""Assembles and runs the components of a control host."""

from __future__ import annotations

import logging
import pathlib
import typing

from mulberryquay import api_load, metrics, settings, sockets, web
from mulberryquay.control import (
    api,
    cluster,
    directory,
    host_protocol,
    membership,
    permit_desk,
    roll_out_api,
)
from mulberryquay.coordination import clock, crash_guard, machine_memory, units
from mulberryquay.coordination import store as store_module
from mulberryquay.decisions import rate_slack, roll_outs
from mulberryquay.kernel import plugins

_PERCENT: typing.Final = 100
_ROLL_OUT_SLACK: typing.Final = 50

SETTINGS: typing.Final = (
    settings.Setting(
        'data_folder',
        'mulberryquay-data',
        'folder of the durable state; one process at a time may use it',
        text_format='path',
        required=True,
    ),
    settings.Setting(
        'api_listen',
        '127.0.0.1:7600',
        f'resource API: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'feed_listen',
        '127.0.0.1:7601',
        f'streams of entries: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'host_listen',
        '127.0.0.1:7603',
        f'other control hosts: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'hosts',
        '',
        'host_listen addresses of control hosts, which may include this '
        'host; empty for a single host',
        text_format='addresses',
    ),
    settings.Setting(
        'found',
        True,
        'whether the listed hosts form a new group if the data folder is '
        'empty; otherwise this host joins theirs',
    ),
    settings.Setting(
        'feed_streams',
        0,
        'streams of entries; beyond them, one that sent no whole message is '
        'closed for each new one; 0 for a quarter of the limit of open files',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'host_streams',
        0,
        'streams of other control hosts, bounded in the same way; 0 for an '
        'eighth of the limit of open files',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'store_memory_percent',
        3,
        'part of memory_mb that declared resources may hold, in percent, but '
        'from 2 to 16 MiB; above it, a resource that takes more than it did '
        'is refused, and so is a whole configuration of more bytes',
        minimum=1,
        maximum=_PERCENT,
    ),
    settings.Setting(
        'max_targets',
        0,
        'targets that may be known; above it, new ones are refused; 0 for one '
        'per 16 KiB of memory_mb',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'region',
        'region',
        'region in which this process runs',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'domain',
        'domain',
        'failure domain in which this process runs',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'target_lease_ms',
        directory.TARGET_LEASE_MS,
        'milliseconds without a renewal after which a target is removed; '
        'the same at all control hosts of a group',
        minimum=units.SECOND_MS,
        maximum=units.MINUTE_MS,
    ),
    settings.Setting(
        'account_slack',
        0,
        'requests of a client account beyond its rate that all control hosts '
        'together may grant in account_window_ms while none of them is known '
        'to lead; the same on all control hosts',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'account_slack_percent',
        0,
        'further such requests, in percent of what the rate and the burst '
        'allow in account_window_ms',
        maximum=_PERCENT,
    ),
    settings.Setting(
        'account_window_ms',
        5 * units.SECOND_MS,
        'milliseconds in which account_slack is granted once',
        minimum=units.SECOND_MS,
        maximum=10 * units.MINUTE_MS,
    ),
    settings.Setting(
        'roll_out_percent',
        10,
        'percentage of the requests to a service that a bad version may get '
        'during its roll-out',
        minimum=1,
        maximum=_PERCENT,
    ),
    settings.Setting(
        'roll_out_slack',
        _ROLL_OUT_SLACK,
        'requests beyond roll_out_percent that a bad version may get',
        minimum=0,
        maximum=units.MAX_INT64,
    ),
    *api_load.SETTINGS,
    settings.LOG_LEVEL,
)

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_control_revision',
        'Revision of the newest accepted change.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_store_bytes',
        'Memory that declared resources hold, as limited by '
        'store_memory_percent.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_store_full_total',
        'Resources and configurations that this host refused at that limit.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_targets_refused_total',
        'Announcements that this host refused, or did not take over from '
        'another one, at max_targets.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_targets',
        'Targets that hold a lease.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_entries',
        'Entries that hold a lease.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_entries_waiting',
        'Live entries that have not confirmed the newest revision.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_leads',
        '1 while this host is the leader of the control hosts.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_in_touch',
        '1 while this host is in contact with the majority.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_unapplied',
        'Records that the leader has called committed and that are not applied '
        'on this host.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_voters',
        'Control hosts that vote.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_term',
        'The latest leadership term known to this host.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_roll_outs',
        'Roll-outs that run.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_roll_out_share',
        'Share of requests that the new version gets, by service.',
        labels=('service',),
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_feed_bytes_total',
        'Bytes on closed entry streams, by direction.',
        labels=('direction',),
        is_gauge=True,
    ),
    *permit_desk.METRICS,
    *api_load.METRICS,
    *api_load.STREAM_METRICS,
)

#: Some resources of legal size fit on any machine.
_MIN_STORE_BYTES: typing.Final = 2 * units.MIB

#: Memory of the machine for each target; the directory takes a fourth of it.
_TARGET_BYTES: typing.Final = 16_384

#: Parts of the descriptors that streams may use; half are for the API.
_FEED_DESCRIPTOR_SHARE: typing.Final = 4
_HOST_DESCRIPTOR_SHARE: typing.Final = 8

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ControlDaemon:
    """The process of one control host."""

    def __init__(
        self,
        values: settings.Values,
        kernel: plugins.Kernel,
        *,
        time_source: clock.Clock | None = None,
    ) -> None:
        """Restores the state and opens the ports.

        Raises FolderInUseError, JournalCorruptError, and InvalidSettingError
        if a port cannot be bound.
        """
        time_source = time_source or clock.Clock()
        self._metrics = metrics.Metrics(METRICS)
        self._api_load = api_load.ApiLoad(values, self._metrics)
        self._api_listener = sockets.listen(values['api_listen'])
        self._feed_listener = sockets.listen(values['feed_listen'])
        self._host_listener = sockets.listen(values['host_listen'])
        address = sockets.address_of(values['host_listen'], self._host_listener)
        contacts = tuple(filter(None, values['hosts'].split(',')))
        self._cluster = cluster.Cluster(
            cluster.HostConfig(
                host_protocol.HostInfo(
                    address,
                    sockets.address_of(
                        values['feed_listen'], self._feed_listener
                    ),
                    values['region'],
                    values['domain'],
                ),
                contacts or (address,),
                values['found'],
                pathlib.Path(values['data_folder']),
                rate_slack.SlackLimits(
                    values['account_slack'],
                    values['account_slack_percent'] / _PERCENT,
                    values['account_window_ms'],
                ),
                _stream_limits(values),
                _store_bound(values),
                _target_bound(values),
            ),
            time_source,
            lease=values['target_lease_ms'],
            bounds=roll_outs.Bounds(
                values['roll_out_percent'] / _PERCENT,
                values['roll_out_slack'],
            ),
        )
        self._cluster.permits.metrics = self._metrics
        self._kernel = kernel

    @property
    def api_port(self) -> int:
        """The port of the resource API."""
        return sockets.port_of(self._api_listener)

    @property
    def feed_port(self) -> int:
        """The port for entries."""
        return sockets.port_of(self._feed_listener)

    @property
    def store(self) -> store_module.Store:
        """The durable resources."""
        return self._cluster.state.store

    @property
    def targets(self) -> directory.Directory:
        """The announced targets."""
        return self._cluster.targets

    @property
    def entries(self) -> membership.Membership:
        """The live entries."""
        return self._cluster.entries

    @property
    def guard(self) -> crash_guard.CrashGuard:
        """The guard that counts the lost connections reported by entries."""
        return self._cluster.feed.target_reports.guard

    @property
    def cluster(self) -> cluster.Cluster:
        """The state and the tasks of this host in its group."""
        return self._cluster

    def start(self) -> None:
        """Starts to serve."""
        app = web.new_app()
        web.add_monitoring_endpoints(
            app, self._is_ready, self._metrics, self._refresh
        )
        roll_out_api.RollOutApi(self._cluster).install(app)
        api.ResourceApi(
            self._cluster,
            self._kernel.resource_kinds,
        ).install(app)
        for install in self._kernel.api_extensions.components:
            install(app, self._cluster, self._kernel)
        self._cluster.start(self._host_listener, self._feed_listener)
        self._server = web.start_server(self._api_listener, app, self._api_load)

    def stop(self) -> None:
        """Stops serving and releases the data folder."""
        _LOG.info('stopping')
        self._server.stop(timeout=1)
        self._cluster.stop()

    def configure(self, values: settings.Values) -> None:
        """Applies changed settings; only ``hosts`` can change at run time."""
        contacts = tuple(filter(None, values['hosts'].split(',')))
        self._cluster.replica.configure(contacts)

    def disconnect_entries(self) -> None:
        """Stops the feed for good; simulates a network failure in tests."""
        self._cluster.feed.stop()

    def _is_ready(self) -> bool:
        return self._cluster.is_in_touch

    def _refresh(self) -> None:
        set_gauge = self._metrics.set_gauge
        set_gauge('mulberryquay_control_revision', self.store.revision)
        set_gauge(
            'mulberryquay_control_targets',
            len(self.targets.list_targets()),
        )
        set_gauge('mulberryquay_control_entries', len(self.entries.entries))
        replica = self._cluster.replica
        set_gauge('mulberryquay_control_leads', int(replica.is_leader))
        set_gauge('mulberryquay_control_in_touch', int(replica.is_in_touch))
        set_gauge('mulberryquay_control_unapplied', replica.unapplied)
        set_gauge('mulberryquay_control_voters', len(replica.members))
        set_gauge('mulberryquay_control_term', replica.term)
        running = self._cluster.roll_outs.running
        set_gauge('mulberryquay_control_roll_outs', len(running))
        for service, roll_out in running.items():
            set_gauge(
                'mulberryquay_control_roll_out_share', roll_out.share, service
            )
        waiting = self.entries.waiting_for(self.store.revision)
        set_gauge('mulberryquay_control_entries_waiting', len(waiting))
        received = self._cluster.feed.bytes_received
        set_gauge('mulberryquay_control_feed_bytes_total', received, 'in')
        sent = self._cluster.feed.bytes_sent
        set_gauge('mulberryquay_control_feed_bytes_total', sent, 'out')
        self._refresh_limits()

    def _refresh_limits(self) -> None:
        set_gauge = self._metrics.set_gauge
        set_gauge('mulberryquay_control_store_bytes', self.store.held_bytes)
        set_gauge(
            'mulberryquay_control_store_full_total', self.store.limits_met
        )
        set_gauge(
            'mulberryquay_control_targets_refused_total',
            self.targets.limit.times_met,
        )
        for port, count in self._cluster.stream_limits_met.items():
            set_gauge('mulberryquay_stream_limits_met_total', count, port)


def _target_bound(values: settings.Values) -> int:
    """Returns how many targets may be known."""
    memory = machine_memory.size_bytes(values['memory_mb'])
    return int(values['max_targets'] or memory // _TARGET_BYTES)


def _store_bound(values: settings.Values) -> int:
    """Returns what declared resources may hold, in bytes.

    A snapshot of them fits one message between control hosts.
    """
    memory = machine_memory.size_bytes(values['memory_mb'])
    percent = int(values['store_memory_percent'])
    bound = max(_MIN_STORE_BYTES, memory * percent // _PERCENT)
    return min(bound, units.MAX_CONFIGURATION_BYTES)


def _stream_limits(values: settings.Values) -> cluster.StreamLimits:
    return cluster.StreamLimits(
        api_load.stream_limits(
            values['memory_mb'], values['feed_streams'], _FEED_DESCRIPTOR_SHARE
        ),
        api_load.stream_limits(
            values['memory_mb'], values['host_streams'], _HOST_DESCRIPTOR_SHARE
        ),
    )
