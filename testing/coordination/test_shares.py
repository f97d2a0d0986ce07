"""Tests of the shares: sums, growth, and changing entry lists."""

from __future__ import annotations

import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.coordination import shares
from testing import fixtures

CASE: typing.Final = unittest.TestCase()
ENTRIES: typing.Final = tuple(f'entry-{number}' for number in range(18))

members_lists = strategies.lists(
    strategies.sampled_from(ENTRIES),
    min_size=1,
    unique=True,
).map(tuple)


def _shares(
    allowance: int,
    members: tuple[str, ...],
    target: str = 't',
) -> dict[str, int]:
    return {
        entry: shares.share_of(
            allowance,
            target=target,
            entry=entry,
            members=members,
        )
        for entry in ENTRIES
    }


@fixtures.hypothesis_settings()
@hypothesis.given(members_lists, strategies.integers(0, 300))
def test_shares_sum_to_the_allowance(
    members: tuple[str, ...],
    allowance: int,
) -> None:
    """Nothing is lost and nothing is given twice."""
    CASE.assertEqual(sum(_shares(allowance, members).values()), allowance)


@fixtures.hypothesis_settings()
@hypothesis.given(members_lists, strategies.integers(0, 60))
def test_no_share_shrinks_when_the_allowance_grows(
    members: tuple[str, ...],
    allowance: int,
) -> None:
    """So entries with the old and the new allowance never exceed the new."""
    smaller = _shares(allowance, members)
    larger = _shares(allowance + 1, members)
    for entry in ENTRIES:
        CASE.assertLessEqual(smaller[entry], larger[entry])


def test_allowance_of_one_is_spread_over_entries() -> None:
    """Different targets start at different entries."""
    owners = set()
    for number in range(200):
        given = _shares(1, ENTRIES, target=f'target-{number}')
        owners |= {entry for entry, share in given.items() if share}
    CASE.assertEqual(owners, set(ENTRIES))


def _run_calls(
    views: dict[str, shares.ShareView],
    in_flight: dict[str, int],
    rng: random.Random,
) -> None:
    """Each entry starts calls up to its share, or ends some."""
    for entry, view in views.items():
        match rng.choice(('start', 'end', 'go on')):
            case 'start':
                in_flight[entry] = max(in_flight[entry], view.share('t', 1))
            case 'end':
                in_flight[entry] = 0


def test_target_that_bears_one_call_never_sees_two() -> None:
    """Entries join and leave, messages arrive in any order and late."""
    rng = random.Random(20261204)
    views = {entry: shares.ShareView(entry) for entry in ENTRIES}
    in_flight = dict.fromkeys(ENTRIES, 0)
    live = set(rng.sample(ENTRIES, 6))
    committed = shares.EntryList(1, tuple(sorted(live)))
    for view in views.values():
        view.commit(committed)
    for epoch in range(2, 300):
        joined = rng.choice(ENTRIES)
        live ^= {joined}
        live |= {ENTRIES[0]}
        pending = shares.EntryList(epoch, tuple(sorted(live)))
        waiting = set(live) | set(committed.members)
        while waiting:
            entry = rng.choice(sorted(waiting))
            views[entry].propose(pending)
            _run_calls(views, in_flight, rng)
            CASE.assertLessEqual(sum(in_flight.values()), 1)
            # The entry confirms only once its calls fit the smaller share.
            if in_flight[entry] <= views[entry].share('t', 1):
                waiting.discard(entry)
        for entry in rng.sample(ENTRIES, len(ENTRIES)):
            views[entry].commit(pending)
            _run_calls(views, in_flight, rng)
            CASE.assertLessEqual(sum(in_flight.values()), 1)
        committed = pending


def test_view_without_a_list_gives_nothing() -> None:
    """An entry that just started must not use cold targets."""
    CASE.assertEqual(shares.ShareView('entry-1').share('t', 5), 0)
