"""Puts the parts of a control host together and runs them."""

from __future__ import annotations

import logging
import pathlib
import typing

from mulberryquay import metrics, settings, sockets, web
from mulberryquay.control import (
    api,
    cluster,
    directory,
    host_protocol,
    membership,
)
from mulberryquay.coordination import clock, crash_guard, units
from mulberryquay.coordination import store as store_module
from mulberryquay.kernel import plugins

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
        'host_listen addresses of control hosts, perhaps of this one too; '
        'none stands for this host alone',
        text_format='addresses',
    ),
    settings.Setting(
        'found',
        True,
        'whether the named hosts form the group now if the data folder is '
        'empty; otherwise this host joins them',
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
        'milliseconds after which a target that does not renew is removed',
        minimum=units.SECOND_MS,
        maximum=units.MINUTE_MS,
    ),
    settings.LOG_LEVEL,
)

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_control_revision',
        'Revision of the newest accepted change.',
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
        '1 while this host leads the control hosts.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_in_touch',
        '1 while this host is in touch with the majority.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_voters',
        'Control hosts that vote.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_term',
        'The newest term of leadership.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_control_feed_bytes_total',
        'Bytes on closed entry streams, by direction.',
        labels=('direction',),
        is_gauge=True,
    ),
)

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ControlDaemon:
    """One control host."""

    def __init__(
        self,
        values: settings.Values,
        kernel: plugins.Kernel,
        *,
        time_source: clock.Clock | None = None,
    ) -> None:
        """Restores the state and opens the ports.

        Raises FolderInUseError, JournalCorruptError and OSError for a
        port that is taken.
        """
        time_source = time_source or clock.Clock()
        self._metrics = metrics.Metrics(METRICS)
        self._api_listener = sockets.listen(values['api_listen'])
        self._feed_listener = sockets.listen(values['feed_listen'])
        self._host_listener = sockets.listen(values['host_listen'])
        address = sockets.address_of(values['host_listen'], self._host_listener)
        contacts = tuple(filter(None, values['hosts'].split(',')))
        self._cluster = cluster.Cluster(
            cluster.Placement(
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
            ),
            time_source,
            lease=values['target_lease_ms'],
        )
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
        """The breakages that all entries reported."""
        return self._cluster.feed.guard

    @property
    def cluster(self) -> cluster.Cluster:
        """This host among the other control hosts."""
        return self._cluster

    def start(self) -> None:
        """Begins to serve."""
        app = web.new_app()
        web.add_monitoring_endpoints(
            app, self._is_ready, self._metrics, self._refresh
        )
        api.ResourceApi(
            self._cluster,
            self._kernel.resource_kinds,
        ).install(app)
        for install in self._kernel.api_extensions.components:
            install(app, self._cluster, self._kernel)
        self._cluster.start(self._host_listener, self._feed_listener)
        self._server = web.start_server(self._api_listener, app)

    def stop(self) -> None:
        """Stops serving and releases the data folder."""
        _LOG.info('stopping')
        self._server.stop(timeout=1)
        self._cluster.stop()

    def configure(self, values: settings.Values) -> None:
        """Takes settings that changed; only those of other hosts may."""
        contacts = tuple(filter(None, values['hosts'].split(',')))
        self._cluster.replica.configure(contacts)

    def disconnect_entries(self) -> None:
        """Ends all streams to entries for good, as a cut network does."""
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
        log = self._cluster.replica
        set_gauge('mulberryquay_control_leads', int(log.is_leader))
        set_gauge('mulberryquay_control_in_touch', int(log.is_in_touch))
        set_gauge('mulberryquay_control_voters', len(log.members))
        set_gauge('mulberryquay_control_term', log.term)
        waiting = self.entries.waiting_for(self.store.revision)
        set_gauge('mulberryquay_control_entries_waiting', len(waiting))
        received = self._cluster.feed.bytes_received
        set_gauge('mulberryquay_control_feed_bytes_total', received, 'in')
        sent = self._cluster.feed.bytes_sent
        set_gauge('mulberryquay_control_feed_bytes_total', sent, 'out')
