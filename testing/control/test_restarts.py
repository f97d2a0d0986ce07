"""Tests that nothing withdrawn is in use again after a restart."""

from __future__ import annotations

import pathlib
import shutil
import typing
import unittest

import gevent

from mulberryquay import announcer
from mulberryquay.control import target_cache
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: How long a restarted control host is watched: an election and a feed fit.
_WATCHED_S: typing.Final = 1.5


def _announcer(
    control: fixtures.Control, incarnation: int
) -> announcer.Announcer:
    return announcer.Announcer(
        fixtures.announcement('gone', '127.0.0.1:9', incarnation=incarnation),
        [control.api],
    )


def _crash_after_leaving(folder: pathlib.Path, copy: pathlib.Path) -> None:
    """Copies what is on disk the moment a target's end is acknowledged.

    The cache there still has the row of the target.
    """
    with fixtures.control(folder) as control:
        control.declare()
        leaving = _announcer(control, 7)
        leaving.announce()
        gevent.sleep(target_cache.WRITE_INTERVAL_MS * 2 / clock.MS_PER_SECOND)
        leaving.leave()
        shutil.copytree(folder, copy)


def test_target_that_left_is_not_used_after_a_restart() -> None:
    """The cached row of a target must not bring it back after it left."""
    with fixtures.folder() as folder:
        _crash_after_leaving(folder / 'before', folder / 'after')
        with (
            fixtures.control(folder / 'after') as control,
            fixtures.entry(control, awaits_fresh=False) as entry,
        ):
            end = clock.Clock().now() + _WATCHED_S * clock.MS_PER_SECOND
            target_states = entry.state.balancer.all_targets
            while clock.Clock().now() < end:
                known = target_states.get('gone')
                CASE.assertTrue(known is None or not known.limit)
                gevent.sleep(0.005)


def test_late_announcement_of_a_target_that_left_does_not_revive_it() -> None:
    """A resent announcement must not bring it back after a restart either.

    The repeat is answered, and the target stays leaving; a later incarnation
    is a new target.
    """
    with fixtures.folder() as folder:
        _crash_after_leaving(folder / 'before', folder / 'after')
        with fixtures.control(folder / 'after') as control:
            _announcer(control, 7).announce()
            CASE.assertTrue(control.daemon.targets.get('gone').is_leaving)
            _announcer(control, 8).announce()
            CASE.assertFalse(control.daemon.targets.get('gone').is_leaving)
