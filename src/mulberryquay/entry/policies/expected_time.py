"""The target with the least expected time, its distance counted in."""

from __future__ import annotations

import random
import typing

from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

#: Milliseconds that a call to another failure domain of the region, and to
#: another region, has to win: its bytes are paid for and its way is longer.
TIER_COST_MS: typing.Final = (0.0, 80.0, 700.0)

#: How long work takes while no answer has told it yet.
_FIRST_WORK_MS: typing.Final = 200.0

#: A host's slowness lasts this long on average after it was reported.
SLOWNESS_MS: typing.Final = 150.0

#: Weight of the newest report in the average slowness.
_SLOWNESS_WEIGHT: typing.Final = 0.05

#: Above this share of busy slots a target's calls slow each other down.
_KNEE: typing.Final = 0.8
_KNEE_FACTOR: typing.Final = 1.6

Candidates = typing.Sequence[targets.TargetState]


@typing.final
class ExpectedTime:
    """Compares work, slowness of the host, queue and distance."""

    #: Takes candidates of all distances.
    spans_tiers: typing.ClassVar[bool] = True

    def __init__(self, rng: random.Random) -> None:
        """Draws ties from ``rng``."""
        self._rng = rng
        self._usual = 1.0

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the target with the least expected time."""
        usual = _usual_work(candidates)
        work = usual / max(1.0, self._usual)
        scored = [
            (
                self._expect(target, work, now) * target.drag(usual, now),
                self._rng.random(),
                target,
            )
            for target in candidates
        ]
        chosen = min(scored, key=lambda entry: entry[:2])[-1]
        self._usual += _SLOWNESS_WEIGHT * (chosen.slowness - self._usual)
        return chosen

    def _expect(
        self,
        target: targets.TargetState,
        work: float,
        now: float,
    ) -> float:
        """Returns the expected time of one more call in ms."""
        slowness = max(1.0, target.slowness)
        usual = max(1.0, self._usual)
        remaining = SLOWNESS_MS * target.freshness(now)
        done = remaining / slowness
        taken = remaining + max(0.0, work - done) * usual
        load = target.load(now)
        if load > _KNEE:
            taken *= _KNEE_FACTOR
        waiting = load - 1
        if waiting > 0:
            taken += waiting * work * usual
        return taken + TIER_COST_MS[target.tier] + target.silence_ms


def _usual_work(candidates: Candidates) -> float:
    """Returns how long a call usually takes, over all candidates."""
    known = sorted(
        target.usual_ms for target in candidates if target.usual_ms > 0
    )
    return known[len(known) // 2] if known else _FIRST_WORK_MS


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policy of this module."""
    kernel.policies.add('expected-time', ExpectedTime)
