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
_FAULT_MS: typing.Final = 9000.0
_SHOWN: typing.Final = 4


def _seeds() -> range:
    if os.environ.get('MULBERRYQUAY_SOAK'):
        first = int.from_bytes(os.urandom(4))
        return range(first, first + _SOAK_SEEDS)
    return range(_SEEDS)


def _check(
    seed: int,
    size: tuple[int, int],
    disturb: typing.Callable[[end_delivery_world.World, list[str]], None],
) -> None:
    """Ends targets after a fault of a minority of the hosts."""
    hosts, domains = size
    with end_delivery_world.running(
        seed=seed, hosts=hosts, domains=domains
    ) as world:
        disturb(world, world.choose_minority(has_leader=bool(seed % 2)))
        fault_at = world.clock.now()
        world.end_targets(_FAULT_MS)
        CASE.assertTrue(world.committed_at)
        late = world.late(fault_at)[:_SHOWN]
        CASE.assertFalse(late, f'seed {seed}, {hosts} hosts')


def test_split_of_control_hosts_delays_no_end_past_the_drain_time() -> None:
    """Entries followed hosts without a majority for too long (issue 62)."""
    for size in _SIZES:
        for seed in _seeds():
            _check(seed, size, end_delivery_world.World.cut)


def test_hosts_without_power_delay_no_end_past_the_drain_time() -> None:
    """Both followed hosts may be lost at once, with a region's others."""
    for seed in _seeds():
        _check(seed, _SIZES[1], end_delivery_world.World.power_off)
