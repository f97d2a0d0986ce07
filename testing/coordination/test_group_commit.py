"""Tests of the writer task that many tasks share."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent

from mulberryquay.coordination import group_commit, journal, packing
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: Longest time that a write may take here, in seconds.
_WRITE_LIMIT_S: typing.Final = 5

_UNENCODABLE: typing.Final = ['text that is not valid Unicode', '\ud800']


@contextlib.contextmanager
def _writer() -> typing.Iterator[tuple[group_commit.GroupCommit, list]]:
    with fixtures.folder() as folder:
        log = journal.Journal(folder)
        log.recover()
        applied: list[journal.Record] = []
        commits = group_commit.GroupCommit(log, applied.append)
        try:
            with gevent.Timeout(_WRITE_LIMIT_S):
                yield commits, applied
        finally:
            commits.close()


def test_record_without_encoding_is_refused_and_later_ones_are_written() -> (
    None
):
    """Guards against a record that ends the only task which writes to disk.

    Issue 34.
    """
    with _writer() as (commits, applied):
        with CASE.assertRaises(packing.UnencodableError):
            commits.begin(_UNENCODABLE).get()
        commits.commit(['later', 1])
        CASE.assertEqual(applied, [['later', 1]])


def test_record_without_encoding_fails_no_record_beside_it() -> None:
    """Guards against one bad record that fails all records of its sync."""
    with _writer() as (commits, applied):
        before = commits.begin(['before', 1])
        with CASE.assertRaises(packing.UnencodableError):
            commits.begin(_UNENCODABLE).get()
        after = commits.begin(['after', 2])
        before.get()
        after.get()
        CASE.assertEqual(applied, [['before', 1], ['after', 2]])


def test_snapshot_that_cannot_be_made_does_not_end_the_writer() -> None:
    """Guards against later writes that wait for ever after such an error."""

    def fail() -> typing.NoReturn:
        raise ZeroDivisionError('the state cannot be copied')

    with _writer() as (commits, applied):
        for make_snapshot in (fail, lambda: _UNENCODABLE):
            with (
                CASE.assertLogs(group_commit.__name__, 'ERROR'),
                CASE.assertRaises(journal.JournalFailedError),
            ):
                commits.compact(make_snapshot)
        commits.commit(['later', 1])
        commits.compact(lambda: ['state'])
        CASE.assertEqual(applied, [['later', 1]])
