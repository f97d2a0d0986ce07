"""Reloads the settings file on SIGHUP and when it changes."""

from __future__ import annotations

import logging
import pathlib
import signal
import typing

import gevent
from gevent import event

from mulberryquay import settings
from mulberryquay.coordination import clock, errors

#: Interval at which the file is read, as it may change without a signal.
POLL_INTERVAL_MS: typing.Final = 1000.0

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Reloader:
    """Applies changed settings in a background task."""

    def __init__(
        self,
        path: pathlib.Path,
        read: typing.Callable[[], settings.Values],
        apply: typing.Callable[[settings.Values], None],
        time_source: clock.Clock,
    ) -> None:
        """``read`` returns the settings in the file at ``path``."""
        self._path = path
        self._read = read
        self._apply = apply
        self._clock = time_source
        self._reload_requested = event.Event()
        self._content = _content_of(path)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts watching the file and handling SIGHUP."""
        gevent.signal_handler(signal.SIGHUP, self._reload_requested.set)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the background task."""
        if self._task is not None:
            self._task.kill()

    def reload_if_changed(self) -> None:
        """Applies the settings if the content of the file has changed."""
        content = _content_of(self._path)
        if content == self._content or not content:
            return
        self._content = content
        try:
            values = self._read()
        except (errors.MulberryquayError, OSError, ValueError) as error:
            _LOG.warning(
                'changed settings cannot be used; the old ones stay in force',
                extra={'cause': str(error)},
            )
            return
        self._apply(values)
        _LOG.warning(
            'changed settings applied', extra={'path': str(self._path)}
        )

    def _run(self) -> None:
        while True:
            self._clock.wait(self._reload_requested, POLL_INTERVAL_MS)
            self._reload_requested.clear()
            self.reload_if_changed()


def _content_of(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        _LOG.warning(
            'settings file cannot be read', extra={'cause': str(error)}
        )
        return b''
