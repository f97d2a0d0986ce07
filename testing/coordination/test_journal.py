"""Tests of the synced journal: torn, damaged and failed writes."""

from __future__ import annotations

import errno
import os
import pathlib
import struct
import typing
import unittest
import zlib

import msgpack

from mulberryquay.coordination import journal
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class FailingDisk(journal.FileSystem):
    """Fails one sync when ``is_failing`` is set."""

    def __init__(self) -> None:
        """Starts without a fault."""
        self.is_failing = False

    def sync(self, descriptor: int) -> None:
        """Raises the error of a disk that lost dirty pages."""
        if self.is_failing:
            self.is_failing = False
            raise OSError(errno.EIO, 'input/output error')
        super().sync(descriptor)


def _write(folder: pathlib.Path, records: list[typing.Any]) -> pathlib.Path:
    log = journal.Journal(folder)
    log.recover()
    log.append(records)
    log.close()
    return next(folder.glob('journal-*'))


def _recover(folder: pathlib.Path) -> journal.Recovered:
    log = journal.Journal(folder)
    try:
        return log.recover()
    finally:
        log.close()


def test_records_survive_a_restart() -> None:
    """Appended records must be recovered in order."""
    with fixtures.folder() as folder:
        _write(folder, [['a', 1], ['b', 2]])
        CASE.assertEqual(_recover(folder).records, [['a', 1], ['b', 2]])


def test_torn_last_write_is_cut_off_at_every_length() -> None:
    """A crash during a write must lose only the record that is not synced."""
    with fixtures.folder() as folder:
        path = _write(folder, [['kept', 1]])
        whole = path.read_bytes()
        _write(folder, [['torn', 2]])
        torn = path.read_bytes()
        for length in range(len(whole), len(torn)):
            path.write_bytes(torn[:length])
            recovered = _recover(folder)
            CASE.assertEqual(recovered.records, [['kept', 1]])
            CASE.assertEqual(recovered.torn_bytes, length - len(whole))


def test_zeros_after_a_crash_are_cut_off() -> None:
    """Zeros after the last record must not make the journal unreadable.

    A file system may extend a file before it writes the blocks.
    """
    with fixtures.folder() as folder:
        path = _write(folder, [['kept', 1]])
        path.write_bytes(path.read_bytes() + bytes(64))
        CASE.assertEqual(_recover(folder).records, [['kept', 1]])


def test_damage_before_the_end_is_reported() -> None:
    """A damaged synced record must not be taken for an incomplete write."""
    with fixtures.folder() as folder:
        path = _write(folder, [['first', 1], ['second', 2]])
        body = bytearray(path.read_bytes())
        body[10] ^= 0xFF
        path.write_bytes(bytes(body))
        with CASE.assertRaises(journal.JournalCorruptError):
            _recover(folder)


def test_zeroed_record_before_the_end_is_reported() -> None:
    """Zeros that other records follow are damage, not an unfinished write."""
    with fixtures.folder() as folder:
        path = _write(folder, [['first', 1], ['second', 2]])
        whole = path.read_bytes()
        half = len(whole) // 2
        for kept in (0, 4, 8, 12):
            damaged = whole[:kept] + bytes(half - kept) + whole[half:]
            path.write_bytes(damaged)
            with CASE.assertRaises(journal.JournalCorruptError):
                _recover(folder)


def test_any_damaged_bit_of_a_synced_record_is_reported() -> None:
    """No damage may silently cut off synced records, of lengths least of all.

    Only damage inside the body of the very last record looks like a write
    that was not finished.
    """
    records = [['first', 1], ['second', 2], ['third', 3]]
    with fixtures.folder() as folder:
        path = _write(folder, records)
        whole = path.read_bytes()
        last_body = len(msgpack.packb(records[-1]))
        for position in range(len(whole) - last_body):
            for bit in range(8):
                body = bytearray(whole)
                body[position] ^= 1 << bit
                path.write_bytes(bytes(body))
                with CASE.assertRaises(
                    journal.JournalCorruptError, msg=f'{position}.{bit}'
                ):
                    _recover(folder)
                CASE.assertEqual(path.read_bytes(), bytes(body))


def test_journal_of_the_first_format_is_read_and_continued() -> None:
    """A data folder written before headers had a checksum must stay usable."""
    with fixtures.folder() as folder:
        path = _write(folder, [])
        body = msgpack.packb(['old', 1])
        header = struct.pack('>II', len(body), zlib.crc32(body))
        path.write_bytes(header + body)
        _write(folder, [['new', 2]])
        CASE.assertEqual(_recover(folder).records, [['old', 1], ['new', 2]])


def test_snapshot_replaces_the_records_before_it() -> None:
    """Records that a snapshot contains must not be replayed again."""
    with fixtures.folder() as folder:
        log = journal.Journal(folder)
        log.recover()
        log.append([1, 2])
        log.compact({'sum': 3})
        log.append([4])
        log.close()
        recovered = _recover(folder)
        CASE.assertEqual(recovered.snapshot, {'sum': 3})
        CASE.assertEqual(recovered.records, [4])
        CASE.assertEqual(len(list(folder.glob('journal-*'))), 1)


def test_unfinished_snapshot_is_ignored() -> None:
    """A crash before the rename must leave the old journal in use."""
    with fixtures.folder() as folder:
        _write(folder, [1, 2])
        (folder / 'snapshot-00000000000000000002.partial').write_bytes(b'x')
        CASE.assertEqual(_recover(folder).records, [1, 2])


def test_failed_sync_stops_all_later_writes() -> None:
    """No write must be accepted after a failed sync.

    A later sync may succeed although the data of the failed one is lost.
    """
    with fixtures.folder() as folder:
        disk = FailingDisk()
        log = journal.Journal(folder, file_system=disk)
        log.recover()
        log.append(['kept'])
        disk.is_failing = True
        with CASE.assertRaises(journal.JournalFailedError):
            log.append(['lost'])
        with CASE.assertRaises(journal.JournalFailedError):
            log.append(['refused'])
        log.close()
        CASE.assertEqual(_recover(folder).records[0], 'kept')


def test_folder_is_held_by_one_journal() -> None:
    """Two processes must not write to one folder and damage its journal."""
    with fixtures.folder() as folder:
        log = journal.Journal(folder)
        with CASE.assertRaises(journal.FolderInUseError):
            journal.Journal(folder)
        log.close()
        CASE.assertTrue(os.path.exists(folder / 'lock'))
