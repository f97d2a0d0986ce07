"""Policies that compare or walk all targets."""

from __future__ import annotations

import itertools
import random
import typing

from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

#: Places at which an entry may begin its round.
_STARTS: typing.Final = 65536

Candidates = typing.Sequence[targets.TargetState]


@typing.final
class RoundRobin:
    """Each target in turn."""

    def __init__(self, rng: random.Random) -> None:
        """Starts at a random place, so that entries do not march in step."""
        self._turn = itertools.count(rng.randrange(_STARTS))

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the next of ``candidates``."""
        return candidates[next(self._turn) % len(candidates)]


@typing.final
class LeastLoaded:
    """The target with the fewest calls per slot; ties are drawn."""

    def __init__(self, rng: random.Random) -> None:
        """Draws ties from ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the least loaded of ``candidates``."""
        if len(candidates) == 1:
            return candidates[0]
        loads = [target.load(now) for target in candidates]
        least = min(loads)
        tied = [
            target
            for target, load in zip(candidates, loads, strict=True)
            if load <= least
        ]
        return tied[0] if len(tied) == 1 else self._rng.choice(tied)


@typing.final
class JoinIdleQueue:
    """A target known to be idle, else any.

    Lu et al., "Join-Idle-Queue: a novel load balancing algorithm for
    dynamically scalable web services", Performance Evaluation 68(11), 2011.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draws from ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns an idle one of ``candidates``, else any."""
        idle = [target for target in candidates if target.load(now) < 1]
        return self._rng.choice(idle or candidates)


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policies of this module."""
    kernel.policies.add('round-robin', RoundRobin)
    kernel.policies.add('least-loaded', LeastLoaded)
    kernel.policies.add('join-idle-queue', JoinIdleQueue)
