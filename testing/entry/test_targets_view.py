"""Tests of merging what two control hosts say of targets."""

from __future__ import annotations

import typing
import unittest

from mulberryquay import protocol
from mulberryquay.entry import targets_view

CASE: typing.Final = unittest.TestCase()


def _row(
    name: str,
    *,
    incarnation: int = 1,
    sequence: int = 1,
    leaving: bool = False,
) -> list[typing.Any]:
    return list(
        protocol.TargetRow(
            name=name,
            service='stock',
            address='127.0.0.1:1',
            region='north',
            domain='north-1',
            slots=4,
            connections=100,
            incarnation=incarnation,
            allowance=4,
            is_warm=True,
            is_leaving=leaving,
            shed_statuses=[],
            sequence=sequence,
        ),
    )


class _View:
    """Two control hosts, a and b, and what an entry makes of them."""

    def __init__(self) -> None:
        self.rows: dict[str, protocol.TargetRow] = {}
        self.merging = targets_view.TargetsView(self._apply)

    def say(
        self,
        host: str,
        *rows: list[typing.Any],
        removed: typing.Sequence[str] = (),
        is_complete: bool = False,
    ) -> None:
        """Takes what one host says."""
        self.merging.take(
            host,
            protocol.TargetsChanged(list(rows), list(removed), is_complete),
        )

    def _apply(self, message: protocol.TargetsChanged) -> None:
        for fields in message.changed:
            self.rows[fields[0]] = protocol.TargetRow(*fields)
        for name in message.removed:
            self.rows.pop(name)


def test_leaving_run_stays_so_whatever_a_lagging_host_says() -> None:
    """Only a new run of the target takes work again."""
    view = _View()
    view.say('a', _row('t', sequence=5))
    view.say('a', _row('t', sequence=5, leaving=True))
    view.say('b', _row('t', sequence=9))
    CASE.assertTrue(view.rows['t'].is_leaving)
    view.say('b', _row('t', incarnation=2))
    CASE.assertFalse(view.rows['t'].is_leaving)
    view.say('a', _row('t', sequence=99))
    CASE.assertEqual(view.rows['t'].incarnation, 2)


def test_target_is_gone_once_no_host_lists_it() -> None:
    """One host may have heard of it that the other has not."""
    view = _View()
    view.say('a', _row('t'), _row('u'))
    view.say('b', _row('t'))
    view.say('a', removed=['t', 'u'])
    CASE.assertEqual(set(view.rows), {'t'})
    view.say('b', removed=['t'])
    CASE.assertEqual(view.rows, {})


def test_host_that_is_left_takes_no_target_with_it() -> None:
    """Not before another one has listed all targets."""
    view = _View()
    view.say('a', _row('t'), _row('u'))
    view.merging.drop('a')
    CASE.assertEqual(set(view.rows), {'t', 'u'})
    view.say('c', _row('u'))
    CASE.assertEqual(set(view.rows), {'t', 'u'})
    view.say('c', _row('u'), is_complete=True)
    CASE.assertEqual(set(view.rows), {'u'})
