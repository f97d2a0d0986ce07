"""A policy that avoids loaded targets, then prefers fast ones."""

from __future__ import annotations

import random
import typing

from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

#: Targets above this quantile of the load are hot and avoided.
HOT_QUANTILE: typing.Final = 0.6

Candidates = typing.Sequence[targets.TargetState]


@typing.final
class HotCold:
    """The fastest of the targets whose load is not above a quantile.

    The selection rule of Prequal: Wydrowski et al., "Load is not what you
    should balance: introducing Prequal", NSDI 2024. Latency is scaled by
    load, since one more call raises it most where the queue is longest.
    """

    def __init__(self, rng: random.Random) -> None:
        """Breaks ties with ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the fastest candidate that is not hot."""
        loads = [target.load(now) for target in candidates]
        bound = sorted(loads)[int(HOT_QUANTILE * (len(loads) - 1))]
        scored = [
            (target.latency_ms * (1 + load), load, self._rng.random(), target)
            for target, load in zip(candidates, loads, strict=True)
            if load <= bound
        ]
        return min(scored, key=lambda item: item[:3])[-1]


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policy of this module."""
    kernel.policies.add('hot-cold', HotCold)
