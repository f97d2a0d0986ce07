"""Measures what client accounts with keys cost an entry.

Run as `python -m benchmarks.accounts`. It prints the processor time that a
key adds to a request before it is forwarded, the time of a permit that is
held, and the memory of 10,000 accounts with two keys each.
"""

from __future__ import annotations

import itertools
import random
import sys
import time
import tracemalloc
import typing

from mulberryquay.accounts import keys
from mulberryquay.control import kinds
from mulberryquay.coordination import schema, store
from mulberryquay.decisions import held_permits, permits
from mulberryquay.entry import (
    authentication,
    config_replica,
    http_heads,
    routing,
    state,
)
from mulberryquay.entry.policies import sampling

_ACCOUNTS: typing.Final = 10_000
_CALLS: typing.Final = 50_000
_ROUNDS: typing.Final = 5
_US_PER_S: typing.Final = 1e6
_BYTES_PER_MB: typing.Final = 1e6


def _key(account: int, number: int) -> bytes:
    return b'key-%d-%d-w63is47qdq' % (account, number)


def _resources(accounts: int) -> routing.ResourcesByKey:
    rows = [
        store.Resource(
            kinds.CLIENT_ACCOUNT,
            f'account-{number}',
            1,
            schema.check_spec(
                {
                    'authenticated': True,
                    'key_digests': [
                        keys.digest_of(_key(number, 0)),
                        keys.digest_of(_key(number, 1)),
                    ],
                    'rate_per_s': 100,
                    'burst': 100,
                },
                kinds.CLIENT_ACCOUNT_FIELDS,
                label='account',
            ),
            number + 1,
        )
        for number in range(accounts)
    ]
    return {(row.kind, row.name): row for row in rows}


class Accounts(typing.NamedTuple):
    """What accounts cost, by kind of work."""

    #: Processor time of finding the account of a key and replacing the key.
    key_us_per_request: float
    #: The same for a route that needs no key.
    public_us_per_request: float
    #: Processor time of a permit that is held, and of one that is refused.
    held_permit_us: float
    refused_permit_us: float
    #: Memory of 10,000 accounts with two keys each in an entry.
    state_mb: float


def run() -> Accounts:
    """Returns the least of several rounds."""
    return Accounts(
        round(min(_identify_us(is_public=False) for _ in _rounds()), 2),
        round(min(_identify_us(is_public=True) for _ in _rounds()), 2),
        round(min(_permit_us(granted=_CALLS) for _ in _rounds()), 2),
        round(min(_permit_us(granted=0) for _ in _rounds()), 2),
        round(_state_mb(), 2),
    )


def _rounds() -> range:
    return range(_ROUNDS)


def _head(account: int) -> http_heads.RequestHead:
    known = [(b'authorization', b'Bearer ' + _key(account, 1))]
    return http_heads.RequestHead(
        b'GET',
        b'/stock/x',
        http_heads.HeaderBlock(
            http_heads.encode_headers([*known, (b'accept', b'*/*')])
        ),
        known,
        http_heads.Framing.NONE,
        0,
        keeps_alive=True,
        is_http_one_zero=False,
    )


def _identify_us(*, is_public: bool) -> float:
    accounts = 81
    entry_state = _entry_state()
    entry_state.routing_table = routing.RoutingTable(_resources(accounts))
    route = routing.Route(
        'stock',
        '',
        '/stock',
        (),
        routing.ServiceClass(),
        (),
        0,
        0,
        0,
        is_public,
    )
    heads = [_head(number) for number in range(accounts)]
    started = time.process_time()
    for head in itertools.islice(itertools.cycle(heads), _CALLS):
        identity = authentication.identify(
            entry_state, head, route, is_relayed=False
        )
        authentication.check_still_allowed(entry_state, identity)
        authentication.replace_credentials(
            entry_state, head.forwarded_headers, identity.account
        )
    return (time.process_time() - started) / _CALLS * _US_PER_S


def _permit_us(*, granted: int) -> float:
    limit = permits.RateLimit('yard', 1000, 1000)
    held = held_permits.HeldPermits()
    decision = permits.Decision(granted, 100 - min(granted, 100), 100)
    held.receive(decision, asked_at=0, now=0)
    started = time.process_time()
    for _ in range(_CALLS):
        held.take(limit, 1)
        held.count_to_ask(0, 1)
    return (time.process_time() - started) / _CALLS * _US_PER_S


def _entry_state() -> state.EntryState:
    return state.EntryState(
        name='entry', region='north', domain='north-1', new_policy=_no_policy
    )


def _state_mb() -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    entry_state = _entry_state()
    replica = config_replica.ConfigReplica(entry_state)
    replica.apply_snapshot(_ACCOUNTS, _resources(_ACCOUNTS).values())
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / _BYTES_PER_MB


def _no_policy() -> sampling.RandomChoice:
    return sampling.RandomChoice(random.Random())


if __name__ == '__main__':
    sys.stdout.write(f'{run()}\n')
