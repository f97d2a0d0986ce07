"""Tests of shares: their sum, their growth, and changing entry lists."""

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
    """A rounding error would leave calls unused or overload the target."""
    CASE.assertEqual(sum(_shares(allowance, members).values()), allowance)


@fixtures.hypothesis_settings()
@hypothesis.given(members_lists, strategies.integers(0, 60))
def test_no_share_shrinks_when_the_allowance_grows(
    members: tuple[str, ...],
    allowance: int,
) -> None:
    """A mix of old and new shares must stay within the new allowance."""
    smaller = _shares(allowance, members)
    larger = _shares(allowance + 1, members)
    for entry in ENTRIES:
        CASE.assertLessEqual(smaller[entry], larger[entry])


def test_allowance_of_one_is_spread_over_entries() -> None:
    """One entry process must not get the single calls of all targets."""
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
    """Lets each entry process fill its share, end all calls, or do nothing."""
    for entry, view in views.items():
        match rng.choice(('start', 'end', 'go on')):
            case 'start':
                in_flight[entry] = max(in_flight[entry], view.share('t', 1))
            case 'end':
                in_flight[entry] = 0


def test_target_with_an_allowance_of_one_never_gets_two_calls() -> None:
    """Late or reordered lists must not let two entry processes call at once."""
    rng = random.Random(20261204)
    views = {entry: shares.ShareView(entry) for entry in ENTRIES}
    in_flight = dict.fromkeys(ENTRIES, 0)
    live = set(rng.sample(ENTRIES, 6))
    committed = shares.EntryList(1, tuple(sorted(live)))
    for view in views.values():
        view.commit(committed)
    for epoch in range(2, 300):
        toggled = rng.choice(ENTRIES)
        live ^= {toggled}
        live |= {ENTRIES[0]}
        pending = shares.EntryList(epoch, tuple(sorted(live)))
        waiting = set(live) | set(committed.members)
        while waiting:
            entry = rng.choice(sorted(waiting))
            views[entry].propose(pending)
            _run_calls(views, in_flight, rng)
            CASE.assertLessEqual(sum(in_flight.values()), 1)
            # An entry process confirms once its calls fit the smaller share.
            if in_flight[entry] <= views[entry].share('t', 1):
                waiting.discard(entry)
        for entry in rng.sample(ENTRIES, len(ENTRIES)):
            views[entry].commit(pending)
            _run_calls(views, in_flight, rng)
            CASE.assertLessEqual(sum(in_flight.values()), 1)
        committed = pending


def test_view_without_an_entry_list_gives_no_share() -> None:
    """An entry process without a list must not use cold targets."""
    CASE.assertEqual(shares.ShareView('entry-1').share('t', 5), 0)


@fixtures.hypothesis_settings()
@hypothesis.given(members_lists, strategies.floats(0.01, 500))
def test_parts_of_a_rate_sum_to_it(
    members: tuple[str, ...], per_s: float
) -> None:
    """A rate must be neither exceeded nor left unused by rounding."""
    parts = [
        shares.rate_share_of(per_s, target='t', entry=entry, members=members)
        for entry in ENTRIES
    ]
    CASE.assertAlmostEqual(sum(parts), per_s)


def test_rate_stays_with_the_entries_near_the_target() -> None:
    """Entries that hardly use a target must not hold shares of its rate."""
    view = shares.ShareView('entry-1')
    view.commit(shares.EntryList(1, ENTRIES))
    regions = dict.fromkeys(ENTRIES, 'south')
    view.update_regions({**regions, 'entry-1': 'north'})
    CASE.assertEqual(view.rate_share('t', 9, region='north'), 9)
    CASE.assertEqual(view.rate_holders('t', 9, region='north'), ['entry-1'])
    CASE.assertGreater(view.rate_share('t', 90, region='west'), 0)


def test_rate_share_is_the_smaller_one_while_the_list_changes() -> None:
    """Entries with different lists must not use the same part of a rate."""
    view = shares.ShareView('entry-1')
    view.commit(shares.EntryList(1, ('entry-1',)))
    view.propose(shares.EntryList(2, ('entry-2',)))
    CASE.assertEqual(view.rate_share('t', 5, region='north'), 0)


def test_group_sizes_count_entries_by_their_distance() -> None:
    """Parts of a rate must fit the larger list while the list changes."""
    view = shares.ShareView('entry-0')
    members = tuple(f'entry-{number}' for number in range(6))
    view.commit(shares.EntryList(1, members[:5]))
    view.update_regions(
        {name: 'north' if name < 'entry-3' else 'south' for name in members}
    )
    view.update_domains(
        {name: 'a' if name < 'entry-2' else 'b' for name in members}
    )
    CASE.assertEqual(view.group_sizes('north', 'a'), (2, 1, 2))
    CASE.assertEqual(view.group_sizes('north', 'c'), (0, 3, 2))
    view.propose(shares.EntryList(2, members[1:]))
    CASE.assertEqual(view.group_sizes('north', 'a'), (2, 1, 3))


def test_entries_of_all_domains_agree_on_a_keeper() -> None:
    """Two keepers of the same targets would each know half of the calls.

    Services of a domain have different keepers, all of them in that domain.
    """
    members = tuple(f'entry-{number}' for number in range(12))
    domains = {name: f'north-{rank % 2}' for rank, name in enumerate(members)}
    views = [shares.ShareView(name) for name in members]
    for view in views:
        view.commit(shares.EntryList(1, members))
        view.update_domains(domains)
    keepers = set()
    for service in ('a', 'b', 'c', 'd', 'e', 'f'):
        agreed = {view.keeper_of('north-1', service) for view in views}
        CASE.assertEqual(len(agreed), 1)
        keepers |= agreed
    CASE.assertGreater(len(keepers), 1)
    CASE.assertEqual({domains[keeper] for keeper in keepers}, {'north-1'})
    CASE.assertEqual(views[0].keeper_of('south-1', 'a'), '')
    views[0].commit(shares.EntryList(2, members[:1]))
    CASE.assertEqual(views[0].keeper_of('north-1', 'a'), '')
