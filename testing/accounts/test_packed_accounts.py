"""Tests of client accounts as entries keep them."""

from __future__ import annotations

import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.accounts import keys
from mulberryquay.control import kinds
from mulberryquay.coordination import schema, store
from mulberryquay.entry import config_replica, routing, state
from mulberryquay.entry.policies import counting
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_CHANGES: typing.Final = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('yard', 'counter', 'office')),
        strategies.lists(strategies.integers(0, 8), max_size=4, unique=True),
        strategies.sampled_from((0, 0.5, 126)),
        strategies.booleans(),
    ),
    max_size=12,
)


def _digest(number: int) -> str:
    return keys.digest_of(b'key-%d' % number)


def _spec(numbers: typing.Sequence[int], per_s: float) -> dict[str, typing.Any]:
    return schema.check_spec(
        {
            'authenticated': True,
            'key_digests': [_digest(number) for number in numbers],
            'rate_per_s': per_s,
            'home_regions': ['north'],
        },
        kinds.CLIENT_ACCOUNT_FIELDS,
        label='account',
    )


@fixtures.hypothesis_settings(60)
@hypothesis.given(_CHANGES, strategies.integers(1, 4))
def test_changes_give_the_same_accounts_as_the_whole(
    history: list[tuple[str, list[int], float, bool]], together: int
) -> None:
    """A change that is lost lets a revoked key pass."""
    replica_state = state.EntryState(
        name='entry',
        region='north',
        domain='north-1',
        new_policy=lambda: counting.RoundRobin(random.Random()),
    )
    replica = config_replica.ConfigReplica(replica_state)
    resources: routing.ResourcesByKey = {}
    pending: list[store.Resource] = []
    for revision, (name, numbers, per_s, is_live) in enumerate(history, 1):
        held = [
            number
            for number in numbers
            if not any(
                _digest(number) in (other.spec or {}).get('key_digests', ())
                for other in resources.values()
                if other.name != name
            )
        ]
        change = store.Resource(
            kinds.CLIENT_ACCOUNT,
            name,
            revision,
            _spec(held, per_s) if is_live else None,
            revision,
        )
        resources[change.kind, change.name] = change
        pending.append(change)
        if len(pending) == together:
            replica.apply_delta(pending)
            pending = []
    replica.apply_delta(pending)
    whole = routing.RoutingTable(resources)
    table = replica_state.routing_table
    CASE.assertEqual(table.authenticates_callers, whole.authenticates_callers)
    for number in range(9):
        digest = _digest(number)
        holder = table.key_ring.holder_of(digest)
        CASE.assertEqual(holder, whole.key_ring.holder_of(digest))
        CASE.assertFalse(holder and table.key_ring.revoked_in(digest))
    for name in ('yard', 'counter', 'office'):
        CASE.assertEqual(table.has_account(name), whole.has_account(name))
        if table.has_account(name):
            found = table.find_account(name)
            CASE.assertEqual(found, whole.find_account(name))
            CASE.assertEqual(found.home_regions, ('north',))


def test_unknown_and_malformed_digests_have_no_holder() -> None:
    """A look-up between two keys must not return a neighbour."""
    ring = keys.KeyRing([(_digest(1), 'yard'), (_digest(2), 'counter')])
    for digest in ('', 'ab', '00' * 16, 'ff' * 16, _digest(3)):
        assert ring.holder_of(digest) is None, digest
    CASE.assertEqual(ring.holder_of(_digest(2)), 'counter')
