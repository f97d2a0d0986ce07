"""Serves health, metrics and request records of an entry."""

from __future__ import annotations

import importlib
import typing

import gevent
from gevent import monkey, socket

from mulberryquay import api_load
from mulberryquay.entry import request_records, state

#: The other descriptors are for callers and targets.
_DESCRIPTOR_SHARE: typing.Final = 16


@typing.final
class Admin:
    """Serves the admin port.

    Its libraries are loaded on the first connection, to save their memory
    where the port is not used.
    """

    def __init__(
        self,
        listener: typing.Any,
        entry_state: state.EntryState,
        is_ready: typing.Callable[[], bool],
        update_gauges: typing.Callable[[], None],
    ) -> None:
        """``update_gauges`` is called just before the gauges are read."""
        self._listener = listener
        self._state = entry_state
        self._is_ready = is_ready
        self._update_gauges = update_gauges
        self._server: typing.Any = None
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Waits for the first connection."""
        self._task = gevent.spawn(self._serve_first)

    def stop(self) -> None:
        """Closes the port."""
        if self._task is not None:
            self._task.kill()
        if self._server is None:
            self._listener.close()
        else:
            self._server.stop(timeout=1)

    def _serve_first(self) -> None:
        socket.wait_read(self._listener.fileno())
        if not monkey.is_module_patched('threading'):
            # bottle keeps the current request in a thread-local variable.
            monkey.patch_thread()
        web = importlib.import_module('mulberryquay.web')
        app = web.new_app()
        web.add_monitoring_endpoints(
            app,
            self._is_ready,
            self._state.metrics,
            self._update_gauges,
        )
        app.route('/accounts/<request_id>', 'GET', self._show_record)
        connections = api_load.share_of_descriptors(_DESCRIPTOR_SHARE)
        load = api_load.ApiLoad(
            {'memory_mb': 0, 'api_connections': connections},
            self._state.metrics,
        )
        self._server = web.start_server(self._listener, app, load)

    def _show_record(self, request_id: str) -> str:
        web = importlib.import_module('mulberryquay.web')
        record = self._state.request_history.get(request_id)
        text: str = web.to_json(request_records.to_json(record))
        return text
