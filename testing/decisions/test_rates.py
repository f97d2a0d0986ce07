"""Tests of permits under the rates of accounts, with a clock of their own."""

from __future__ import annotations

import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.decisions import (
    held_permits,
    permits,
    rate_keeper,
    rate_slack,
)
from testing import fixtures
from testing.decisions import rate_play

CASE: typing.Final = unittest.TestCase()

_ENTRIES: typing.Final = 5
_SECOND_MS: typing.Final = 1000.0


def _bound(limit: permits.RateLimit, *, lent: bool) -> float:
    """Returns what may pass in a window: permits live 300 ms after it."""
    window_s = rate_play.WINDOW_MS / _SECOND_MS
    life_s = permits.PERMIT_LIFE_MS / _SECOND_MS
    bound = limit.per_s * (window_s + life_s) + max(1, limit.burst)
    if lent:
        bound += rate_play.SLACK.requests
        bound += rate_play.SLACK.part * (limit.per_s * window_s + limit.burst)
    return bound


_EVENTS: typing.Final = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('calls', 'calls', 'calls', 'freeze', 'cut', 'lose', 'elect')
        ),
        strategies.integers(0, _ENTRIES - 1),
        strategies.integers(1, 60),
        strategies.integers(0, 400),
    ),
    max_size=60,
)


@fixtures.hypothesis_settings(60)
@hypothesis.given(
    _EVENTS,
    strategies.sampled_from((0.5, 2, 20, 100)),
    strategies.sampled_from((0.0, 1, 5, 100)),
)
def test_no_window_exceeds_its_bound(
    history: list[tuple[str, int, int, int]], per_s: float, burst: float
) -> None:
    """Losses, freezes, cuts and new leaders must not add to the sum."""
    limit = permits.RateLimit('yard', per_s, burst)
    group = rate_play.Group(limit, _ENTRIES)
    for kind, number, amount, steps in history:
        entry = group.entries[number]
        match kind:
            case 'calls':
                for _ in range(amount):
                    group.request(number)
            case 'freeze':
                entry.frozen_until = group.now + 10 * amount
            case 'cut':
                entry.cut_until = group.now + 10 * amount
            case 'lose':
                group.leader = None
            case _:
                group.elect()
        for _ in range(steps):
            group.step()
    assert group.most_in_window() <= _bound(limit, lent=True)


@fixtures.hypothesis_settings(60)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from((1.0, 10.0, 80.0)),
            strategies.integers(0, 50),
            strategies.integers(0, 300),
        ),
        min_size=1,
        max_size=20,
    )
)
def test_changed_rates_bind_at_once(
    changes: list[tuple[float, int, int]],
) -> None:
    """A rate that was lowered must not leave the permits of the old one."""
    group = rate_play.Group(permits.RateLimit('yard', 80, 80), _ENTRIES)
    for per_s, amount, steps in changes:
        group.limit = permits.RateLimit('yard', per_s, per_s)
        started = len(group.sent_at)
        begun = group.now
        for step in range(steps):
            if amount and step % 10 == 0:
                for _ in range(amount):
                    group.request(step % _ENTRIES)
            group.step()
        passed_s = (group.now - begun + permits.PERMIT_LIFE_MS) / _SECOND_MS
        sent = len(group.sent_at) - started
        held = sum(entry.held.held(group.now) for entry in group.entries)
        # Permits of the earlier rate live for a moment.
        earlier = 80 * permits.PERMIT_LIFE_MS / _SECOND_MS + 80
        assert sent + held <= per_s * passed_s + per_s + earlier


def _first() -> int:
    return 0


def test_nearly_all_of_a_rate_is_usable_wherever_callers_are() -> None:
    """Equal parts refused nearly all at one entry of many."""
    for entries in (15, 116, 300):
        for per_s in (2.0, 20.0, 200.0):
            rng = random.Random(1)
            places: dict[str, typing.Any] = {
                'one': _first,
                'evenly': lambda: rng.randrange(entries),
            }
            for place, choose in places.items():
                limit = permits.RateLimit('yard', per_s, per_s)
                group = rate_play.Group(limit, entries)
                rate_play.play(group, 7 * per_s, 20, choose)
                usable = 20 * per_s
                assert len(group.sent_at) >= 0.95 * usable, (
                    entries,
                    per_s,
                    place,
                    len(group.sent_at),
                )
                most = group.most_in_window()
                assert most <= _bound(limit, lent=False), (per_s, place, most)


def test_callers_within_a_small_rate_are_never_refused() -> None:
    """A rate of 2 a second must work at many more entries."""
    for entries in (116, 296):
        rng = random.Random(2)
        group = rate_play.Group(permits.RateLimit('yard', 2, 2), entries)
        for _ in range(200):
            group.step()
        rate_play.play(group, 1.8, 30, lambda: rng.randrange(entries))
        CASE.assertEqual(group.refused, 0)
        CASE.assertGreaterEqual(len(group.sent_at), 53)


def test_entry_that_asks_far_more_is_refused_without_a_question() -> None:
    """Questions for each refused request would load the leader."""
    group = rate_play.Group(permits.RateLimit('yard', 10, 10), 1)
    rate_play.play(group, 500, 10, _first)
    CASE.assertGreater(group.refused, 4000)
    CASE.assertLess(group.questions, 200)


def test_hosts_lend_no_more_than_the_slack_together() -> None:
    """Hosts without a leader do not know of each other."""
    limit = permits.RateLimit('yard', 10, 10)
    total = 0
    for host in rate_play.HOSTS:
        slack = rate_slack.RateSlack(rate_play.SLACK)
        deciders = rate_slack.Deciders(host, rate_play.HOSTS)
        total += slack.ask(limit, 100, 0, deciders).granted
        total += slack.ask(
            limit, 100, rate_play.WINDOW_MS - 1, deciders
        ).granted
        later = slack.ask(limit, 1, rate_play.WINDOW_MS, deciders)
        CASE.assertEqual(later.granted, 1)
    CASE.assertEqual(total, 18 + 2)
    outside = rate_slack.RateSlack(rate_play.SLACK)
    refused = outside.ask(
        limit, 1, 0, rate_slack.Deciders('other', rate_play.HOSTS)
    )
    CASE.assertFalse(refused.is_known)


def test_refused_callers_return_one_after_the_other() -> None:
    """Callers who return together are refused together."""
    keeper = rate_keeper.RateKeeper(0)
    limit = permits.RateLimit('yard', 10, 1)
    returns = [keeper.ask(limit, 1, 50).return_ms for _ in range(5)]
    CASE.assertEqual(returns, [50, 150, 250, 350, 450])


def test_permits_of_a_frozen_entry_are_gone_when_it_wakes() -> None:
    """What is spent late would add to what others got meanwhile."""
    held = held_permits.HeldPermits()
    held.receive(permits.Decision(5), asked_at=0, now=20)
    CASE.assertEqual(held.held(299), 5)
    CASE.assertEqual(held.held(permits.PERMIT_LIFE_MS), 0)
    held.receive(permits.Decision(5), asked_at=0, now=5000)
    CASE.assertEqual(held.held(5000), 0)
