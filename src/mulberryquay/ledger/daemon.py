"""Assembles and runs the components of a ledger."""

from __future__ import annotations

import pathlib
import typing

from mulberryquay import api_load, metrics, settings, sockets, web
from mulberryquay.coordination import clock, journal
from mulberryquay.ledger import claims, server

SETTINGS: typing.Final = (
    settings.Setting(
        'data_folder',
        'mulberryquay-ledger',
        'folder of the claims; one process at a time may use it',
        text_format='path',
        required=True,
    ),
    settings.Setting(
        'listen',
        '127.0.0.1:7801',
        f'streams of entries: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'admin_listen',
        '127.0.0.1:7802',
        f'health and metrics: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    *api_load.SETTINGS,
    settings.LOG_LEVEL,
)

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_ledger_claims',
        'Keys with a claim that is running, kept or unknown.',
        is_gauge=True,
    ),
    *api_load.METRICS,
)


@typing.final
class LedgerDaemon:
    """The process of one ledger of a region."""

    def __init__(
        self,
        values: settings.Values,
        *,
        time_source: clock.Clock | None = None,
    ) -> None:
        """Restores the claims and opens the ports.

        Raises FolderInUseError, JournalCorruptError, and InvalidSettingError
        if a port cannot be bound.
        """
        folder = pathlib.Path(values['data_folder'])
        self._claims = claims.Claims(
            journal.Journal(folder),
            time_source or clock.Clock(),
        )
        self._metrics = metrics.Metrics(METRICS)
        self._api_load = api_load.ApiLoad(values, self._metrics)
        self._listener = sockets.listen(values['listen'])
        self._admin_listener = sockets.listen(values['admin_listen'])
        self._server = server.LedgerServer(self._claims, self._listener)

    @property
    def port(self) -> int:
        """The port for entries."""
        return sockets.port_of(self._listener)

    @property
    def admin_port(self) -> int:
        """The port for health and metrics."""
        return sockets.port_of(self._admin_listener)

    def start(self) -> None:
        """Starts to serve."""
        app = web.new_app()
        web.add_monitoring_endpoints(
            app, lambda: True, self._metrics, self._refresh
        )
        self._admin = web.start_server(
            self._admin_listener, app, self._api_load
        )
        self._server.start()

    def stop(self) -> None:
        """Stops serving and releases the data folder."""
        self._server.stop()
        self._admin.stop(timeout=1)
        self._claims.close()

    def _refresh(self) -> None:
        self._metrics.set_gauge(
            'mulberryquay_ledger_claims', self._claims.count
        )
