"""Tests of merging the target lists of several control hosts."""

from __future__ import annotations

import typing
import unittest

from mulberryquay import protocol
from mulberryquay.entry import targets_view
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _row(
    name: str,
    *,
    incarnation: int = 1,
    sequence: int = 1,
    leaving: bool = False,
) -> list[typing.Any]:
    row = fixtures.warm_row(name, '127.0.0.1:1')
    return list(
        row._replace(
            incarnation=incarnation, is_leaving=leaving, sequence=sequence
        ),
    )


class _MergedTargets:
    """Sends target lists of control hosts and collects the merged rows."""

    def __init__(self) -> None:
        self.rows: dict[str, protocol.TargetRow] = {}
        self.merged_view = targets_view.TargetsView(self._apply)

    def receive(
        self,
        host: str,
        *rows: list[typing.Any],
        removed: typing.Sequence[str] = (),
        is_complete: bool = False,
    ) -> None:
        """Passes on a message of one host."""
        self.merged_view.update(
            host,
            protocol.TargetsChanged(list(rows), list(removed), is_complete),
        )

    def _apply(self, message: protocol.TargetsChanged) -> None:
        for fields in message.changed:
            self.rows[fields[0]] = protocol.TargetRow(*fields)
        for name in message.removed:
            self.rows.pop(name)


def test_outdated_host_does_not_undo_that_a_target_is_leaving() -> None:
    """An outdated row must not make a leaving target available again.

    Only a new incarnation of the target gets new calls.
    """
    merged = _MergedTargets()
    merged.receive('a', _row('t', sequence=5))
    merged.receive('a', _row('t', sequence=5, leaving=True))
    merged.receive('b', _row('t', sequence=9))
    CASE.assertTrue(merged.rows['t'].is_leaving)
    merged.receive('b', _row('t', incarnation=2))
    CASE.assertFalse(merged.rows['t'].is_leaving)
    merged.receive('a', _row('t', sequence=99))
    CASE.assertEqual(merged.rows['t'].incarnation, 2)


def test_target_is_removed_once_no_host_lists_it() -> None:
    """A target must not be removed while a host still lists it.

    One host may list a target that another one has not received yet.
    """
    merged = _MergedTargets()
    merged.receive('a', _row('t'), _row('u'))
    merged.receive('b', _row('t'))
    merged.receive('a', removed=['t', 'u'])
    CASE.assertEqual(set(merged.rows), {'t'})
    merged.receive('b', removed=['t'])
    CASE.assertEqual(merged.rows, {})


def test_leaving_a_host_removes_no_target() -> None:
    """Disconnecting from a host must not remove the targets that it listed.

    They stay until another host has listed all its targets.
    """
    merged = _MergedTargets()
    merged.receive('a', _row('t'), _row('u'))
    merged.merged_view.remove_source('a')
    CASE.assertEqual(set(merged.rows), {'t', 'u'})
    merged.receive('c', _row('u'))
    CASE.assertEqual(set(merged.rows), {'t', 'u'})
    merged.receive('c', _row('u'), is_complete=True)
    CASE.assertEqual(set(merged.rows), {'u'})


def test_end_holds_whichever_hosts_list_the_target() -> None:
    """A host that listed a target before its end kept it in use (review/7)."""
    merged = _MergedTargets()
    merged.receive('a', _row('t', incarnation=5))
    merged.merged_view.receive('b', protocol.TargetsEnded({'t': 5, 'u': 3}))
    CASE.assertTrue(merged.rows['t'].is_leaving)
    merged.receive('a', _row('t', incarnation=5, sequence=9))
    merged.receive('a', _row('u', incarnation=3))
    CASE.assertTrue(merged.rows['t'].is_leaving)
    CASE.assertTrue(merged.rows['u'].is_leaving)
    merged.receive('a', _row('t', incarnation=6))
    CASE.assertFalse(merged.rows['t'].is_leaving)
    merged.merged_view.receive('b', protocol.TargetsEnded({'t': 5}))
    CASE.assertFalse(merged.rows['t'].is_leaving)
