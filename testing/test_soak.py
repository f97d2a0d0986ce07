"""The fault soak with fixed seeds, and tests of its judgement."""

from __future__ import annotations

import os
import secrets
import sys
import typing
import unittest

from testing import soak

CASE: typing.Final = unittest.TestCase()

#: The last one guards against control hosts that drop targets whose renewals
#: another host gets: its faults last longer than a lease.
_SEEDS: typing.Final = (1, 4, 42527167)

#: Number of runs with fresh seeds; set by hand for `make soak`.
_FRESH_RUNS: typing.Final = int(os.environ.get('MULBERRYQUAY_SOAK_RUNS', '0'))


def _call(outcome: str, **fields: typing.Any) -> soak.Call:
    call = soak.Call(
        'POST /order/1',
        is_idempotent=False,
        outcome=outcome,
        body=b'POST /order/1',
        was_killed=False,
    )
    return call._replace(**fields)


def test_judgement_finds_each_broken_promise() -> None:
    """Guards against a soak that passes whatever happens."""
    name = 'POST /order/1'
    for call, count in (
        (_call('unknown/deadline'), 2),
        (_call('not-run/no-target'), 1),
        (_call('answered/none'), 0),
        (_call('answered/none', body=b'POST /order/2'), 1),
        (_call(''), 1),
    ):
        CASE.assertEqual(len(soak.find_broken([call], {name: count})), 1, call)
    for call, count in (
        (_call('unknown/deadline'), 1),
        (_call('not-run/no-target'), 0),
        (_call('answered/none'), 1),
        (_call(''), 0),
        (_call('', was_killed=True), 1),
        (_call('unknown/connection-lost', is_idempotent=True), 2),
    ):
        CASE.assertEqual(soak.find_broken([call], {name: count}), [], call)


def test_judgement_finds_an_account_over_its_rate() -> None:
    """Guards against a soak that passes whatever is granted."""
    names = {str(number) for number in range(41)}
    CASE.assertEqual(len(soak.find_over_rate(names, per_s=20, seconds=1)), 1)
    CASE.assertEqual(soak.find_over_rate(names, per_s=20, seconds=1.1), [])


def test_overlapping_faults_break_no_promise() -> None:
    """Guards against lost, doubled, mixed up or falsely refused requests."""
    fresh = [secrets.randbits(32) for _ in range(_FRESH_RUNS)]
    for seed in (*_SEEDS, *fresh):
        sys.stdout.write(f'soak: seed {seed} begins\n')
        with CASE.subTest(seed), soak.Soak(seed) as run:
            verdict = run.run()
            sys.stdout.write(
                f'soak: seed {seed}, {verdict.answered} of '
                f'{len(verdict.calls)} answered, {len(verdict.broken)} broken\n'
            )
            CASE.assertEqual(verdict.broken, [], seed)
            CASE.assertGreater(2 * verdict.answered, len(verdict.calls), seed)
