"""Tests of the target cache across a restart of all control hosts."""

from __future__ import annotations

import errno
import typing
import unittest

from mulberryquay.control import directory, replicated_state, target_cache
from mulberryquay.coordination import clock, journal
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_ANNOUNCEMENT: typing.Final = {
    'name': 't',
    'service': 's',
    'address': '127.0.0.1:80',
    'region': 'r',
    'domain': 'd',
    'slots': 2,
    'connections': 10,
    'incarnation': 5,
    'sequence': 3,
    'cold_ms': 0,
}


class _FullDisk(journal.FileSystem):
    """A file system without free space."""

    def write(self, descriptor: int, body: bytes) -> None:
        """Raises ENOSPC."""
        raise OSError(errno.ENOSPC, 'no space left on device')


def _directory() -> directory.Directory:
    ended = replicated_state.ReplicatedState().ended_targets
    return directory.Directory(clock.ManualClock(), ended=ended)


def _cache(
    folder: typing.Any,
    targets: directory.Directory,
    disk: journal.FileSystem | None = None,
) -> target_cache.TargetCache:
    return target_cache.TargetCache(
        folder,
        targets,
        clock.ManualClock(),
        file_system=disk,
    )


def test_cached_targets_are_restored_and_later_announcements_win() -> None:
    """Guards against cached rows that hide a target's later restart."""
    with fixtures.folder() as folder:
        before = _directory()
        before.announce(_ANNOUNCEMENT)
        _cache(folder, before).write()
        after = _directory()
        _cache(folder, after).load()
        CASE.assertEqual(after.get('t').incarnation, 5)
        after.announce({**_ANNOUNCEMENT, 'incarnation': 6, 'sequence': 0})
        CASE.assertEqual(after.get('t').incarnation, 6)


def test_damaged_or_missing_cache_restores_no_target() -> None:
    """Guards against a host that cannot start because of its cache."""
    with fixtures.folder() as folder:
        targets = _directory()
        _cache(folder, targets).load()
        (folder / 'targets').mkdir()
        for body in (b'', b'\xc1', b'\x91\x91\x01'):
            (folder / 'targets' / 'rows').write_bytes(body)
            _cache(folder, targets).load()
        CASE.assertEqual(targets.list_targets(), [])


def test_full_disk_keeps_the_previous_cache() -> None:
    """Guards against a failed write that damages the previous cache."""
    with fixtures.folder() as folder:
        targets = _directory()
        targets.announce(_ANNOUNCEMENT)
        _cache(folder, targets).write()
        targets.announce({**_ANNOUNCEMENT, 'name': 'u'})
        with CASE.assertRaises(OSError):
            _cache(folder, targets, _FullDisk()).write()
        after = _directory()
        _cache(folder, after).load()
        CASE.assertEqual([row.name for row in after.list_targets()], ['t'])
