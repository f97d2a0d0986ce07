"""Policies that choose from a random sample of targets."""

from __future__ import annotations

import random
import typing

from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

_SAMPLE_SIZE: typing.Final = 2

Candidates = typing.Sequence[targets.TargetState]


@typing.final
class RandomChoice:
    """A random target; the baseline for other policies."""

    def __init__(self, rng: random.Random) -> None:
        """Chooses with ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


@typing.final
class PowerOfTwo:
    """The less loaded of two random targets.

    Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """

    def __init__(self, rng: random.Random) -> None:
        """Chooses with ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the less loaded of two random candidates."""
        if len(candidates) <= 1:
            return candidates[0]
        sample = self._rng.sample(candidates, _SAMPLE_SIZE)
        return min(sample, key=lambda target: target.load(now))


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policies of this module."""
    kernel.policies.add('random', RandomChoice)
    kernel.policies.add('power-of-two', PowerOfTwo)
