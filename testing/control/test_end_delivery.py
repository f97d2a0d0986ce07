"""Tests how soon entries learn of ends while control hosts are disturbed."""

from __future__ import annotations

import os
import typing
import unittest

from testing.control import end_delivery_world

CASE: typing.Final = unittest.TestCase()

#: Hosts and failure domains, by deployment.
_SIZES: typing.Final = ((5, 5), (11, 6), (12, 9))

#: Seeds in CI; `make soak` runs more seeds, from a random first one.
_SEEDS: typing.Final = 14
_SOAK_SEEDS: typing.Final = 200
_SPLIT_MS: typing.Final = 9000.0
_SHOWN: typing.Final = 4


def _seeds() -> range:
    if os.environ.get('MULBERRYQUAY_SOAK'):
        first = int.from_bytes(os.urandom(4))
        return range(first, first + _SOAK_SEEDS)
    return range(_SEEDS)


def _check_split(seed: int, *, hosts: int, domains: int) -> None:
    with end_delivery_world.running(
        seed=seed, hosts=hosts, domains=domains
    ) as world:
        minority = world.choose_minority(has_leader=bool(seed % 2))
        world.cut(minority)
        split_at = world.clock.now()
        world.end_targets(_SPLIT_MS)
        CASE.assertTrue(world.committed_at)
        late = world.late(split_at)[:_SHOWN]
        CASE.assertFalse(late, f'seed {seed}, {hosts} hosts')


def test_split_of_control_hosts_delays_no_end_past_the_drain_time() -> None:
    """Entries followed hosts without a majority for too long (issue 62)."""
    for hosts, domains in _SIZES:
        for seed in _seeds():
            _check_split(seed, hosts=hosts, domains=domains)


def test_hosts_without_power_delay_no_end_past_the_drain_time() -> None:
    """Both followed hosts may be lost at once, with a region's others."""
    hosts, domains = _SIZES[1]
    for seed in _seeds():
        with end_delivery_world.running(
            seed=seed, hosts=hosts, domains=domains
        ) as world:
            lost = world.choose_minority(has_leader=bool(seed % 2))
            world.power_off(lost)
            lost_at = world.clock.now()
            world.end_targets(_SPLIT_MS)
            CASE.assertTrue(world.committed_at)
            late = world.late(lost_at)[:_SHOWN]
            CASE.assertFalse(late, f'seed {seed}')
