"""Assembles and runs the components of a ledger."""

from __future__ import annotations

import pathlib
import typing

from mulberryquay import api_load, metrics, settings, sockets, web
from mulberryquay.coordination import clock, journal, machine_memory, units
from mulberryquay.ledger import claims, server

_PERCENT: typing.Final = 100

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
    settings.Setting(
        'entry_streams',
        0,
        'streams of entries; beyond them, one that sent no whole message is '
        'closed for each new one; 0 for a quarter of the limit of open files',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'claim_memory_percent',
        claims.MEMORY_PERCENT,
        'part of memory_mb that claims and kept answers may hold, in percent; '
        'above it, new keys are refused',
        minimum=1,
        maximum=_PERCENT,
    ),
    *api_load.SETTINGS,
    settings.LOG_LEVEL,
)

#: Part of the descriptors that streams of entries may use.
_DESCRIPTOR_SHARE: typing.Final = 4

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_ledger_claims',
        'Keys with a claim that is running, kept or unknown.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_ledger_claim_bytes',
        'Memory that claims and kept answers hold, as limited by '
        'claim_memory_percent.',
        is_gauge=True,
    ),
    *api_load.METRICS,
    *api_load.STREAM_METRICS,
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
            machine_memory.size_bytes(values['memory_mb'])
            * values['claim_memory_percent']
            // _PERCENT,
        )
        self._metrics = metrics.Metrics(METRICS)
        self._api_load = api_load.ApiLoad(values, self._metrics)
        self._listener = sockets.listen(values['listen'])
        self._admin_listener = sockets.listen(values['admin_listen'])
        self._server = server.LedgerServer(
            self._claims,
            self._listener,
            api_load.stream_limits(
                values['memory_mb'],
                values['entry_streams'],
                _DESCRIPTOR_SHARE,
            ),
        )

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
        self._metrics.set_gauge(
            'mulberryquay_ledger_claim_bytes', self._claims.held_bytes
        )
        self._metrics.set_gauge(
            'mulberryquay_stream_limits_met_total',
            self._server.limits_met,
            'entries',
        )
