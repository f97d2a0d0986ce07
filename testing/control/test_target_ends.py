"""Tests that the end of a target reaches entries in any order of faults."""

from __future__ import annotations

import os
import typing
import unittest

from testing.control import target_end_world

CASE: typing.Final = unittest.TestCase()

#: Seeds in CI; `make soak` runs more seeds, from a random first one.
_SEEDS: typing.Final = 150
_SOAK_SEEDS: typing.Final = 20_000
_STEPS: typing.Final = 40


def test_no_entry_uses_a_target_whose_end_was_acknowledged() -> None:
    """Hosts told no entry of an end if they did not list the target.

    Check-ins, cache writes, kills, starts, ends, freezes and lost streams come
    in any order (review/7, issue 58).
    """
    first, count = 0, _SEEDS
    if os.environ.get('MULBERRYQUAY_SOAK'):
        first, count = int.from_bytes(os.urandom(4)), _SOAK_SEEDS
    for seed in range(first, first + count):
        world = target_end_world.World(seed)
        for _ in range(_STEPS):
            world.step()
            misdirected = world.misdirected()
            CASE.assertFalse(misdirected, f'seed {seed}: {world.steps}')


def test_target_that_runs_is_used_once_faults_are_over() -> None:
    """The end of an incarnation must not take a later one out of use."""
    used = 0
    for seed in range(_SEEDS):
        world = target_end_world.World(seed)
        for _ in range(_STEPS):
            world.step()
        world.heal()
        for name in world.live_targets():
            used += 1
            unused = world.entries_without(name)
            CASE.assertFalse(unused, f'seed {seed}: {world.steps}')
    CASE.assertGreater(used, _SEEDS / 10)
