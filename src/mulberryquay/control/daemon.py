"""Puts the parts of a control host together and runs them."""

from __future__ import annotations

import pathlib
import typing

from mulberryquay import metrics, settings, sockets, web
from mulberryquay.control import api, directory, feed, membership
from mulberryquay.coordination import (
    clock,
    crash_guard,
    journal,
    store,
    units,
)
from mulberryquay.kernel import plugins

SETTINGS: typing.Final = (
    settings.Setting(
        'data_folder',
        'mulberryquay-data',
        'folder of the durable state; one process at a time may use it',
        form='path',
        required=True,
    ),
    settings.Setting(
        'api_listen',
        '127.0.0.1:7600',
        f'resource API: {settings.LISTEN_HELP}',
        form='address',
        required=True,
    ),
    settings.Setting(
        'feed_listen',
        '127.0.0.1:7601',
        f'streams of entries: {settings.LISTEN_HELP}',
        form='address',
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
    metrics.Declared(
        'mulberryquay_control_revision',
        'Revision of the newest accepted change.',
        is_gauge=True,
    ),
    metrics.Declared(
        'mulberryquay_control_targets',
        'Targets that hold a lease.',
        is_gauge=True,
    ),
    metrics.Declared(
        'mulberryquay_control_entries',
        'Entries that hold a lease.',
        is_gauge=True,
    ),
    metrics.Declared(
        'mulberryquay_control_entries_waiting',
        'Live entries that have not confirmed the newest revision.',
        is_gauge=True,
    ),
    metrics.Declared(
        'mulberryquay_control_feed_bytes_total',
        'Bytes on closed entry streams, by direction.',
        labels=('direction',),
        is_gauge=True,
    ),
)


@typing.final
class ControlDaemon:
    """One control host."""

    def __init__(
        self,
        values: settings.Values,
        kernel: plugins.Kernel,
        *,
        time: clock.Clock | None = None,
    ) -> None:
        """Restores the state and opens the ports.

        Raises FolderInUseError, JournalCorruptError and OSError for a
        port that is taken.
        """
        time = time or clock.Clock()
        folder = pathlib.Path(values['data_folder'])
        self._store = store.Store(journal.Journal(folder))
        self._directory = directory.Directory(
            time,
            lease=values['target_lease_ms'],
        )
        self._membership = membership.Membership(time)
        self._feed = feed.Feed(
            self._store,
            self._directory,
            self._membership,
            time,
        )
        self._metrics = metrics.Metrics(METRICS)
        self._api_listener = sockets.listen(values['api_listen'])
        self._feed_listener = sockets.listen(values['feed_listen'])
        self._kinds = kernel.resource_kinds

    @property
    def api_port(self) -> int:
        """The port of the resource API."""
        return sockets.port_of(self._api_listener)

    @property
    def feed_port(self) -> int:
        """The port for entries."""
        return sockets.port_of(self._feed_listener)

    @property
    def store(self) -> store.Store:
        """The durable resources."""
        return self._store

    @property
    def targets(self) -> directory.Directory:
        """The announced targets."""
        return self._directory

    @property
    def entries(self) -> membership.Membership:
        """The live entries."""
        return self._membership

    @property
    def guard(self) -> crash_guard.CrashGuard:
        """The breakages that all entries reported."""
        return self._feed.guard

    def start(self) -> None:
        """Begins to serve."""
        app = web.new_app()
        web.add_health(app, lambda: True, self._metrics, self._refresh)
        api.ResourceApi(
            self._store,
            self._directory,
            self._membership,
            self._kinds,
        ).install(app)
        self._feed.start(self._feed_listener)
        self._server = web.serve(self._api_listener, app)

    def stop(self) -> None:
        """Stops serving and releases the data folder."""
        self._server.stop(timeout=1)
        self._feed.stop()
        self._store.close()

    def cut_feed(self) -> None:
        """Ends all streams to entries for good, as a cut network does."""
        self._feed.stop()

    def _refresh(self) -> None:
        gauge = self._metrics.gauge
        gauge('mulberryquay_control_revision', self._store.revision)
        gauge(
            'mulberryquay_control_targets',
            len(self._directory.list_targets()),
        )
        gauge('mulberryquay_control_entries', len(self._membership.entries))
        waiting = self._membership.waiting_for(self._store.revision)
        gauge('mulberryquay_control_entries_waiting', len(waiting))
        received = self._feed.bytes_received
        gauge('mulberryquay_control_feed_bytes_total', received, 'in')
        sent = self._feed.bytes_sent
        gauge('mulberryquay_control_feed_bytes_total', sent, 'out')
