"""Tests of settings that are read again."""

from __future__ import annotations

import os
import pathlib
import signal
import typing
import unittest

from mulberryquay import reload, settings
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class _Reading:
    """Reads a file as one setting and notes what is applied."""

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
    """What held before a bad change goes on to hold."""
    with fixtures.folder() as folder:
        path = folder / 'settings'
        path.write_text('first')
        reading = _Reading(path)
        reading.reloader.reload_if_changed()
        CASE.assertEqual(reading.applied, [])
        for text in ('second', 'bad', 'third'):
            path.write_text(text)
            reading.reloader.reload_if_changed()
            reading.reloader.reload_if_changed()
        path.unlink()
        reading.reloader.reload_if_changed()
        CASE.assertEqual(reading.applied, ['second', 'third'])


def test_signal_makes_it_look_at_once() -> None:
    """Without one the file is looked at by and by."""
    with fixtures.folder() as folder:
        path = folder / 'settings'
        path.write_text('first')
        reading = _Reading(path)
        reading.reloader.start()
        try:
            path.write_text('second')
            os.kill(os.getpid(), signal.SIGHUP)
            fixtures.wait_until(lambda: reading.applied)
        finally:
            reading.reloader.stop()
        CASE.assertEqual(reading.applied, ['second'])
