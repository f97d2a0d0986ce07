"""Tests of how an entry applies its settings."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.entry import targets
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class LastCandidate:
    """A policy that is not built in."""

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
    """The flag must not be limited to the built-in policies."""
    fixtures.KERNEL.policies.add('last-one', LastCandidate)
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
        target_names = list(entry.state.balancer.queue_for('stock').targets)
        CASE.assertEqual(
            fixtures.parse_json(answer)['target'], target_names[-1]
        )
