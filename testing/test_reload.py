"""Tests of reloading the settings file."""

from __future__ import annotations

import os
import pathlib
import signal
import typing
import unittest
from unittest import mock

import gevent

from mulberryquay import reload, settings
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class _WatchedSettings:
    """Reads a file as one setting and records the applied values."""

    def __init__(self, path: pathlib.Path) -> None:
        self.applied: list[str] = []
        self._path = path
        self.reloader = reload.Reloader(
            path,
            self._read,
            self._apply,
            clock.Clock(),
        )

    def _read(self) -> settings.Values:
        text = self._path.read_text()
        if text == 'bad':
            raise settings.InvalidSettingError('got bad, expected good')
        return {'text': text}

    def _apply(self, values: settings.Values) -> None:
        self.applied.append(values['text'])


def test_changed_file_is_applied_once_and_a_bad_one_not() -> None:
    """Guards against applying a change twice or an invalid one at all."""
    with fixtures.folder() as folder:
        path = folder / 'settings'
        path.write_text('first')
        watched = _WatchedSettings(path)
        watched.reloader.reload_if_changed()
        CASE.assertEqual(watched.applied, [])
        for text in ('second', 'bad', 'third'):
            path.write_text(text)
            watched.reloader.reload_if_changed()
            watched.reloader.reload_if_changed()
        path.unlink()
        watched.reloader.reload_if_changed()
        CASE.assertEqual(watched.applied, ['second', 'third'])


def test_sighup_reloads_at_once() -> None:
    """Guards against a SIGHUP that does not reload the settings.

    The file is not polled while the test runs.
    """
    with (
        fixtures.folder() as folder,
        mock.patch.object(reload, 'POLL_INTERVAL_MS', clock.MS_PER_SECOND**2),
    ):
        path = folder / 'settings'
        path.write_text('first')
        watched = _WatchedSettings(path)
        watched.reloader.start()
        try:
            gevent.sleep(0.01)
            path.write_text('second')
            os.kill(os.getpid(), signal.SIGHUP)
            fixtures.wait_until(lambda: watched.applied)
        finally:
            watched.reloader.stop()
        CASE.assertEqual(watched.applied, ['second'])
