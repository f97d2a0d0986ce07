"""Tests of an entry with doubles in place of its decisions."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.accounts import keys
from mulberryquay.decisions import callers, ordering
from testing import fixtures
from testing.decisions import doubles

CASE: typing.Final = unittest.TestCase()

_KEY: typing.Final = b'n4ryrbbkf83fgfwrz56a'
_HEADERS: typing.Final = {'Authorization': f'Bearer {_KEY.decode()}'}


def test_entry_obeys_whatever_grants_permits() -> None:
    """A refusal must come with its status and the time to return."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        entry.state.account_rates = doubles.FixedRates(1, retry_after_ms=250)
        control.put(
            'client-accounts',
            'yard',
            authenticated=True,
            key_digests=[keys.digest_of(_KEY)],
            rate_per_s=1,
        )
        control.declare('stock')
        control.wait_in_force()
        with fixtures.announced_target(control, 'stock-a'):
            fixtures.wait_for_targets(entry, 'stock-a')
            answers = [
                fixtures.ask(entry, '/stock/x', headers=_HEADERS)
                for _ in range(2)
            ]
    CASE.assertEqual([answer.status for answer in answers], [200, 429])
    CASE.assertEqual(answers[1].headers['retry-after'], '0.25')


def test_requests_of_one_rank_are_served_as_they_came() -> None:
    """The order by class must be that of arrival where nothing ranks."""
    orders: list[ordering.Order] = [
        ordering.ClassOrder(),
        doubles.ArrivalOrder(),
    ]
    for order in orders:
        for number in range(4):
            order.add(
                ordering.Waiting(
                    number,
                    callers.ANONYMOUS,
                    rank=1,
                    is_deferrable=False,
                    arrived_at=number,
                    latest_start=100,
                    cost_ms=10,
                )
            )
        order.serve(1)
    served = [
        [waiting.number for waiting in order.in_order(5)] for order in orders
    ]
    CASE.assertEqual(served, [[0, 2, 3], [0, 2, 3]])
