"""Tests of the writer task that many tasks share."""

from __future__ import annotations

import contextlib
import pathlib
import typing
import unittest
from unittest import mock

import gevent
from gevent import monkey

from mulberryquay.coordination import group_commit, journal, packing
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: Longest time that a write may take here, in seconds.
_WRITE_LIMIT_S: typing.Final = 5

#: The thread of a disk has no hub, so it needs locks that are not patched.
_THREAD_LOCK: typing.Final = monkey.get_original('_thread', 'allocate_lock')

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


class _HeldDisk(journal.FileSystem):
    """A disk whose writes wait in their thread until they are let go."""

    def __init__(self) -> None:
        self.has_begun = False
        self.has_ended = False
        self._lock = _THREAD_LOCK()
        self._lock.acquire()

    def let_go(self) -> None:
        """Lets one write go on."""
        self._lock.release()

    def write(self, descriptor: int, body: bytes) -> None:
        """Waits, then writes."""
        self.has_begun = True
        self._lock.acquire()
        super().write(descriptor, body)
        self.has_ended = True


def _begin_write(
    folder: pathlib.Path, disk: _HeldDisk
) -> group_commit.GroupCommit:
    """Returns a writer whose first record is with the disk."""
    log = journal.Journal(folder, file_system=disk)
    log.recover()
    commits = group_commit.GroupCommit(log, lambda _record: None)
    commits.begin(['first', 1])
    fixtures.wait_until(lambda: disk.has_begun)
    return commits


def test_close_waits_for_the_write_that_is_under_way() -> None:
    """Guards against writes to a folder, or number, that others have by then.

    The disk's thread goes on when the task that waits for it ends. Issue 36.
    """
    with fixtures.folder() as folder, gevent.Timeout(_WRITE_LIMIT_S):
        disk = _HeldDisk()
        commits = _begin_write(folder, disk)
        closing = gevent.spawn(commits.close)
        gevent.sleep(0.05)
        with CASE.assertRaises(journal.FolderInUseError):
            journal.Journal(folder)
        disk.let_go()
        closing.get()
        CASE.assertTrue(disk.has_ended)
        reopened = journal.Journal(folder)
        CASE.assertEqual(reopened.recover().records, [['first', 1]])
        reopened.close()


def test_close_leaves_the_files_to_a_disk_that_does_not_answer() -> None:
    """Guards against a stop that never ends, and against an early unlock."""
    with fixtures.folder() as folder, gevent.Timeout(_WRITE_LIMIT_S):
        disk = _HeldDisk()
        commits = _begin_write(folder, disk)
        with (
            mock.patch.object(group_commit, '_CLOSE_WAIT_S', 0.05),
            CASE.assertLogs(group_commit.__name__, 'WARNING'),
        ):
            commits.close()
        with CASE.assertRaises(journal.FolderInUseError):
            journal.Journal(folder)
        disk.let_go()
        fixtures.wait_until(lambda: disk.has_ended)
        commits.close()
        journal.Journal(folder).close()
