"""The hot-cold rule on load and latency."""

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
    """The fastest of the targets that are not hot, else the least loaded.

    The selection rule of Prequal: Wydrowski et al., "Load is not what you
    should balance: introducing Prequal", NSDI 2024. Latency is scaled by
    the load, since one call more raises it most where much waits.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draws ties from ``rng``."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the fastest of the cold ones of ``candidates``."""
        loads = [target.load(now) for target in candidates]
        bound = sorted(loads)[int(HOT_QUANTILE * (len(loads) - 1))]
        scored = [
            (target.latency_ms * (1 + load), load, self._rng.random(), target)
            for target, load in zip(candidates, loads, strict=True)
            if load <= bound
        ]
        return min(scored, key=lambda entry: entry[:3])[-1]


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policy of this module."""
    kernel.policies.add('hot-cold', HotCold)
