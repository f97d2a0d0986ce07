"""Reads settings again on SIGHUP and when their file changes."""

from __future__ import annotations

import logging
import pathlib
import signal
import typing

import gevent
from gevent import event

from mulberryquay import settings
from mulberryquay.coordination import clock, errors

#: A file may change without a signal, so it is looked at this often.
POLL_MS: typing.Final = 1000.0

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Reloader:
    """One task that puts changed settings in force."""

    def __init__(
        self,
        path: pathlib.Path,
        read: typing.Callable[[], settings.Values],
        apply: typing.Callable[[settings.Values], None],
        time_source: clock.Clock,
    ) -> None:
        """``read`` returns the settings of the file at ``path``."""
        self._path = path
        self._read = read
        self._apply = apply
        self._clock = time_source
        self._hung_up = event.Event()
        self._content = _content_of(path)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to look."""
        gevent.signal_handler(signal.SIGHUP, self._hung_up.set)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the task."""
        if self._task is not None:
            self._task.kill()

    def look(self) -> None:
        """Puts the file in force if it has changed."""
        content = _content_of(self._path)
        if content == self._content or not content:
            return
        self._content = content
        try:
            values = self._read()
        except (errors.MulberryquayError, OSError, ValueError) as error:
            _LOG.warning(
                'changed settings are not usable; the ones before hold',
                extra={'cause': str(error)},
            )
            return
        self._apply(values)
        _LOG.warning('settings changed', extra={'path': str(self._path)})

    def _run(self) -> None:
        while True:
            self._clock.wait(self._hung_up, POLL_MS)
            self._hung_up.clear()
            self.look()


def _content_of(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        _LOG.warning('settings not read', extra={'cause': str(error)})
        return b''
