"""Tests of how an entry takes its settings."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.entry import targets
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class LastOne:
    """A policy that no built-in plug-in has."""

    def __init__(self, _rng: random.Random) -> None:
        """Needs no random numbers."""

    def choose(
        self,
        candidates: typing.Sequence[targets.TargetState],
        now: float,
    ) -> targets.TargetState:
        """Returns the last candidate."""
        return candidates[-1]


def test_policy_of_another_plug_in_can_be_chosen() -> None:
    """The flag takes whatever the kernel has registered."""
    fixtures.KERNEL.policies.add('last-one', LastOne)
    with (
        fixtures.control() as control,
        fixtures.entry(control, arguments=['--policy=last-one']) as entry,
        fixtures.announced_target(control, 'a'),
        fixtures.announced_target(control, 'b'),
    ):
        control.declare()
        fixtures.wait_for_targets(entry, 'a', 'b')
        control.wait_in_force()
        answer = fixtures.ask(entry, '/stock/x')
        known = list(entry.state.balancer.queue_for('stock').targets)
        CASE.assertEqual(fixtures.parse_json(answer)['target'], known[-1])
