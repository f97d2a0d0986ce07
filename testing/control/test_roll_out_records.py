"""Tests of the records of roll-outs in the store."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.control import host_protocol, roll_out_records
from mulberryquay.coordination import journal, store
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def test_roll_out_can_be_ended_though_the_store_is_full() -> None:
    """A bad version must be stopped whatever others declared."""
    with fixtures.folder() as folder:
        resources = store.Store(journal.Journal(folder), max_bytes=4000)
        roll_out_records.start(
            resources,
            host_protocol.StartRollOut(
                'stock', 'v2', 1000, 0.1, ['v1'], 0, 0, False
            ),
        )
        with CASE.assertRaises(store.StoreFullError):
            resources.put('services', 's', version=1, spec={'p': 'x' * 4000})
        resources.put(
            'services',
            's',
            version=1,
            spec={'p': 'x' * (3900 - resources.held_bytes)},
            is_limited=False,
        )
        roll_out_records.move(
            resources,
            host_protocol.MoveRollOut(
                'stock', 0, 'rolled-back', 'trial', 0, ['v1'], 10, 'x' * 1000
            ),
        )
        ended = roll_out_records.find(resources, 'stock')
        assert ended is not None
        CASE.assertFalse(ended.is_running)
        resources.close()
