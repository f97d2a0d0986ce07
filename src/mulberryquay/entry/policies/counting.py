"""Policies that compare or cycle through all targets."""

from __future__ import annotations

import itertools
import random
import typing

from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

#: Exclusive upper bound of the random start of a round-robin counter.
_MAX_START: typing.Final = 65536

Candidates = typing.Sequence[targets.TargetState]


@typing.final
class RoundRobin:
    """Each target in turn."""

    def __init__(self, rng: random.Random) -> None:
        """Starts at a random count so that entries are not synchronized."""
        self._counter = itertools.count(rng.randrange(_MAX_START))

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the next of ``candidates``."""
        return candidates[next(self._counter) % len(candidates)]


@typing.final
class LeastLoaded:
    """The target with the fewest calls per slot; ties are broken randomly."""

    def __init__(self, rng: random.Random) -> None:
        """Breaks ties with ``rng``."""
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
    """A random target with a free slot, or any target if there is none.

    Lu et al., "Join-Idle-Queue: a novel load balancing algorithm for
    dynamically scalable web services", Performance Evaluation 68(11), 2011.
    """

    def __init__(self, rng: random.Random) -> None:
        """Chooses with ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns an idle candidate, or any if none is idle."""
        idle = [target for target in candidates if target.load(now) < 1]
        return self._rng.choice(idle or candidates)


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policies of this module."""
    kernel.policies.add('round-robin', RoundRobin)
    kernel.policies.add('least-loaded', LeastLoaded)
    kernel.policies.add('join-idle-queue', JoinIdleQueue)
