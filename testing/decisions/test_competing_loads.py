"""Tests of what callers get under loads that are more than targets bear.

The bounds are what callers need: those who keep to their usual share are
hardly touched, nobody is starved, and a refusal comes in the first moments.
"""

from __future__ import annotations

import statistics
import typing
import unittest

from testing.decisions import competing_load

CASE: typing.Final = unittest.TestCase()

_PRICES: typing.Final = competing_load.Kind('prices', 0, 140, 425, 1250)
_INVOICES: typing.Final = competing_load.Kind('invoices', 1, 240, 660, 2700)
_STOCK: typing.Final = competing_load.Kind('stock', 1, 350, 830, 2600)
_ORDERS: typing.Final = competing_load.Kind('orders', 2, 450, 2000, 3000)

#: Requests a second of each kind that use a quarter of all slots.
_USUAL: typing.Final = {_PRICES: 20, _INVOICES: 15, _STOCK: 30, _ORDERS: 11}

#: The usual load goes before the hard one, as on any day.
_HARD_FROM_MS: typing.Final = 6000
_HARD_TO_MS: typing.Final = 14_000

_SEEDS: typing.Final = (1, 2)

#: A kind or account that is served less than this part as often as all is
#: starved.
_STARVED: typing.Final = 0.25

#: A refusal is told within this part of the objective.
_FIRST_MOMENTS: typing.Final = 1 / 8

Requests = list[competing_load.Request]
Sources = list[competing_load.Source]


def _source(
    kind: competing_load.Kind,
    account: str,
    usual_per_s: float,
    hard_per_s: float,
    **habits: typing.Any,
) -> Sources:
    """Returns the requests of an account, before the hard load and in it."""
    usual = competing_load.Source(
        kind, account, usual_per_s, 0, _HARD_FROM_MS, **habits
    )
    hard = competing_load.Source(
        kind, account, hard_per_s, _HARD_FROM_MS, _HARD_TO_MS, **habits
    )
    return [usual, hard]


def _kinds(times: float) -> Sources:
    """Returns all kinds, an account each, then at some times their usual."""
    return [
        source
        for kind, per_s in _USUAL.items()
        for source in _source(kind, kind.name, per_s, per_s * times)
    ]


def _play(sources: Sources, *, lost_every: int = 0) -> Requests:
    """Returns the requests of the hard load, over all seeds.

    Each ``lost_every``-th target gets no calls from its beginning.
    """
    lost = range(0, competing_load.TARGETS, lost_every) if lost_every else ()
    requests = []
    for seed in _SEEDS:
        play = competing_load.Play(is_fair=True, seed=seed)
        play.run(sources, lost=lost, lost_at=_HARD_FROM_MS)
        requests += [
            request
            for request in play.requests
            if request.arrived_at - play.began_at >= _HARD_FROM_MS
        ]
    return requests


def _in_time(requests: Requests) -> float:
    return statistics.fmean(request.is_in_time for request in requests)


def _served(requests: Requests) -> float:
    return statistics.fmean(
        request.answered_at is not None for request in requests
    )


def _of_kind(requests: Requests, kind: competing_load.Kind) -> Requests:
    return [request for request in requests if request.kind is kind]


def _check_nobody_starves(requests: Requests) -> None:
    groups = {request.kind.name for request in requests}
    accounts = {request.account for request in requests}
    for name in groups | accounts:
        group = [
            request
            for request in requests
            if name in {request.kind.name, request.account}
        ]
        CASE.assertGreaterEqual(
            _served(group), _STARVED * _served(requests), name
        )


def _check_told_early(requests: Requests) -> None:
    """Checks that most refusals come in the first moments."""
    held = [
        waited / request.kind.objective_ms
        for request in requests
        for waited in request.refused_at
    ]
    CASE.assertLessEqual(statistics.median(held), _FIRST_MOMENTS + 0.01)


def _split(requests: Requests, name: str) -> tuple[Requests, Requests]:
    """Returns the requests of accounts called so, and the others."""
    called_so = [
        request for request in requests if request.account.startswith(name)
    ]
    return called_so, [
        request for request in requests if not request.account.startswith(name)
    ]


def test_all_calm() -> None:
    """A refusal with targets free costs a caller its answer."""
    requests = _play(_kinds(1))
    refused = [request for request in requests if request.refused_at]
    CASE.assertEqual(refused, [])
    CASE.assertGreaterEqual(_in_time(requests), 0.98)


def test_one_kind_at_two_and_a_half_times_while_a_domain_is_out() -> None:
    """A kind that bursts must not take the turns of those that rank higher."""
    requests = _play(
        [*_kinds(2.2), *_source(_ORDERS, 'burst', 1, 36)], lost_every=3
    )
    CASE.assertGreaterEqual(_in_time(_of_kind(requests, _PRICES)), 0.8)
    CASE.assertGreaterEqual(_in_time(requests), 0.55)
    _check_nobody_starves(requests)
    _check_told_early(requests)


def test_two_accounts_at_six_times_beside_eighty() -> None:
    """Accounts that keep their usual share must hardly feel the others."""
    calm_sources = [
        source
        for number in range(80)
        for source in _source(_STOCK, f'calm-{number}', 1, 1)
    ]
    burst_sources = [
        source
        for number in range(2)
        for source in _source(_STOCK, f'burst-{number}', 13, 80)
    ]
    requests = _play(calm_sources + burst_sources)
    calm, bursts = _split(requests, 'calm')
    CASE.assertGreaterEqual(_in_time(calm), 0.75)
    CASE.assertGreaterEqual(_served(calm), 0.85)
    CASE.assertGreaterEqual(_in_time(calm), _in_time(bursts) + 0.1)
    CASE.assertGreaterEqual(_served(bursts), _STARVED * _served(requests))
    _check_told_early(requests)


def test_half_the_room_lost_at_once() -> None:
    """Targets that are left must not be filled until none answers in time."""
    requests = _play(_kinds(3), lost_every=2)
    CASE.assertGreaterEqual(_in_time(_of_kind(requests, _PRICES)), 0.7)
    CASE.assertGreaterEqual(_in_time(requests), 0.4)
    _check_nobody_starves(requests)
    _check_told_early(requests)


def test_callers_who_repeat_three_times_gain_nothing() -> None:
    """Callers who come back as they are told must not lose to others."""
    sources: Sources = []
    for number in range(20):
        sources += _source(_STOCK, f'patient-{number}', 2, 7)
        sources += _source(
            _STOCK, f'hasty-{number}', 2, 7, returns=3, is_patient=False
        )
    patient, hasty = _split(_play(sources), 'patient')
    CASE.assertGreaterEqual(_in_time(patient), 0.5)
    CASE.assertGreaterEqual(_in_time(patient), _in_time(hasty))
    returned = [request for request in patient if request.refused_at]
    CASE.assertGreaterEqual(_served(returned), 0.25)
    _check_told_early(patient + hasty)
