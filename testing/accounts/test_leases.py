"""Tests of rates of client accounts that several entries keep together."""

from __future__ import annotations

import contextlib
import typing

from mulberryquay.accounts import keys
from mulberryquay.entry import daemon as entry_daemon
from testing import fixtures

_KEY: typing.Final = b'w63is47qdqiqrh4jcda9'
_WITH_KEY: typing.Final = {'Authorization': f'Bearer {_KEY.decode()}'}
_LEASES: typing.Final = ('--account_rates=leases',)


def _declare(
    control: fixtures.Control, version: int = 1, **spec: typing.Any
) -> None:
    control.put(
        'client-accounts',
        'yard',
        version,
        **{
            'authenticated': True,
            'key_digests': [keys.digest_of(_KEY)],
            **spec,
        },
    )


@contextlib.contextmanager
def _entries(
    control: fixtures.Control, count: int
) -> typing.Iterator[list[entry_daemon.EntryDaemon]]:
    """Yields entries that ask for permits, with a target of `stock`."""
    with contextlib.ExitStack() as stack:
        entries = [
            stack.enter_context(
                fixtures.entry(control, f'entry-{number}', arguments=_LEASES)
            )
            for number in range(count)
        ]
        control.declare('stock')
        control.wait_in_force()
        stack.enter_context(fixtures.announced_target(control, 'stock-a'))
        for entry in entries:
            fixtures.wait_for_targets(entry, 'stock-a')
        yield entries


def _fill(control: fixtures.Control, account: str, amount: int) -> None:
    """Lets a burst accrue, which a new leader begins without."""
    desk = control.daemon.cluster.permits
    fixtures.wait_until(lambda: desk.available(account) >= amount)


def test_entries_keep_a_rate_together() -> None:
    """Callers who spread over entries must not get the rate at each."""
    with fixtures.control() as control, _entries(control, 3) as entries:
        _declare(control, rate_per_s=20, burst=4)
        control.wait_in_force()
        _fill(control, 'yard', 4)
        _declare(control, 2, rate_per_s=0.01, burst=4)
        control.wait_in_force()
        answers = [
            fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
            for _ in range(3)
            for entry in entries
        ]
    statuses = [answer.status for answer in answers]
    assert statuses == [200] * 4 + [429] * 5, statuses
    assert b'got 3 in a second' in answers[-1].body, answers[-1]
    returns = [float(a.headers['retry-after']) for a in answers[4:]]
    assert len(set(returns)) == len(returns), returns


def test_entry_without_control_hosts_refuses_what_it_cannot_account_for() -> (
    None
):
    """An entry that is cut off must not add to the sum of the others."""
    with fixtures.control() as control, _entries(control, 1) as entries:
        _declare(control, rate_per_s=20, burst=4)
        control.wait_in_force()
        entries[0].state.leased_rates.hosts = None
        answer = fixtures.ask(entries[0], '/stock/x', headers=_WITH_KEY)
    assert answer.status == 503, answer
    assert answer.outcome == 'not-run/no-permit', answer
    assert answer.headers['retry-after'] == '0.2', answer
