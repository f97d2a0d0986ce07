"""Tests of the order that shares too little room."""

from __future__ import annotations

import itertools
import random
import typing
import unittest

from mulberryquay.decisions import callers, fair_order, ordering

CASE: typing.Final = unittest.TestCase()

_NUMBERS: typing.Final = itertools.count()


def _waiting(
    account: str = '',
    *,
    rank: int = 0,
    route_rank: int = 0,
    latest_start: float = 1000,
    cost_ms: float = 100,
    is_deferrable: bool = False,
) -> ordering.Waiting:
    return ordering.Waiting(
        next(_NUMBERS),
        callers.Caller(account, rank),
        route_rank,
        is_deferrable,
        0,
        latest_start,
        cost_ms,
    )


def _order_of(*requests: ordering.Waiting) -> fair_order.FairOrder:
    order = fair_order.FairOrder()
    for request in requests:
        order.add(request)
    return order


def _serve_all(
    order: fair_order.FairOrder, now: float = 0
) -> list[ordering.Waiting]:
    """Serves one request after the other."""
    served = []
    while len(order):
        first = next(order.in_order(now))
        order.serve(first.number)
        served.append(first)
    return served


def test_rank_of_the_account_goes_before_that_of_the_route() -> None:
    """A low account on an important route must not pass a high account."""
    low = _waiting('low', rank=2, route_rank=0)
    high = _waiting('high', rank=1, route_rank=3)
    deferrable = _waiting('high', rank=0, is_deferrable=True)
    order = _order_of(deferrable, low, high)
    CASE.assertEqual(list(order.in_order(0)), [high, low, deferrable])
    CASE.assertEqual(order.last(0), deferrable)


def test_accounts_get_equal_work_and_not_equal_requests() -> None:
    """An account must not get more by sending costly requests, or many."""
    costly = [_waiting('costly', cost_ms=300) for _ in range(10)]
    cheap = [_waiting('cheap', cost_ms=100) for _ in range(60)]
    served = _serve_all(_order_of(*costly, *cheap))[:20]
    names = [request.caller.account for request in served]
    CASE.assertEqual(names.count('costly'), 5)


def test_account_that_returns_has_saved_no_turns() -> None:
    """Callers who come one by one must not pass those who stayed."""
    order = _order_of(*[_waiting('stays') for _ in range(20)])
    turns = 0
    for _ in range(10):
        order.add(_waiting('returns'))
        first = next(order.in_order(0))
        order.serve(first.number)
        turns += first.caller.account == 'returns'
    CASE.assertLessEqual(turns, 5)


def test_request_that_must_begin_first_goes_first_in_its_account() -> None:
    """One that comes back has less time left, and must not wait again."""
    new = _waiting('a', latest_start=900)
    returned = _waiting('a', latest_start=300)
    CASE.assertEqual(
        list(_order_of(new, returned).in_order(0)), [returned, new]
    )


def test_late_request_goes_behind_those_in_time_and_not_away() -> None:
    """Work on what is too late must not make others late."""
    late = _waiting('high', latest_start=100)
    in_time = _waiting('low', rank=5)
    order = _order_of(late, in_time)
    CASE.assertEqual(list(order.in_order(50)), [late, in_time])
    CASE.assertEqual(list(order.in_order(200)), [in_time, late])
    CASE.assertEqual(order.last(200), late)


def test_no_rank_waits_longer_than_its_bound() -> None:
    """Endless requests of a high rank must not starve those below."""
    order = _order_of(
        _waiting('middle', rank=1),
        _waiting('low', rank=2),
        _waiting('late', latest_start=-1),
    )
    served = []
    for _ in range(fair_order.MAX_PASSED_TURNS + 3):
        order.add(_waiting('high', latest_start=9000))
        first = next(order.in_order(0))
        order.serve(first.number)
        served.append(first.caller.account)
    CASE.assertLessEqual({'middle', 'low', 'late'}, set(served))
    CASE.assertGreaterEqual(served.count('high'), fair_order.MAX_PASSED_TURNS)


def test_last_request_is_of_the_account_with_most_work() -> None:
    """When too many wait, the account that sent them must lose first."""
    names = ('calm', 'calm', 'burst', 'burst', 'burst', 'calm')
    order = _order_of(*map(_waiting, names), _waiting('burst'))
    last = order.last(0)
    assert last is not None
    CASE.assertEqual(last.caller.account, 'burst')


def test_work_ahead_is_what_is_served_before() -> None:
    """A wrong estimate refuses requests that have a turn soon."""
    rng = random.Random(43)
    order = fair_order.FairOrder()
    for _ in range(300):
        order.add(
            _waiting(
                rng.choice('abcdefgh'),
                rank=rng.randrange(2),
                latest_start=rng.uniform(0, 2000),
            )
        )
    added = _waiting('a', rank=1, latest_start=1500)
    expected = order.work_ahead(added, 500)
    order.add(added)
    ahead = sum(
        request.cost_ms
        for request in itertools.takewhile(
            lambda request: request is not added, order.in_order(500)
        )
    )
    CASE.assertAlmostEqual(expected, ahead, delta=800)


def test_removed_requests_leave_nothing_behind() -> None:
    """Requests that give up must not take turns or memory."""
    requests = [_waiting(name, rank=rank) for rank in (0, 1) for name in 'ab']
    order = _order_of(*requests)
    for request in requests:
        order.remove(request.number)
        order.remove(request.number)
    CASE.assertEqual(len(order), 0)
    CASE.assertIsNone(order.last(0))
    CASE.assertEqual(list(order.in_order(0)), [])
