"""A policy that chooses by expected time, including a cost of distance."""

from __future__ import annotations

import math
import random
import statistics
import typing

from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

#: Added to the expected time of a target by its tier: the entry's own failure
#: domain, another one of its region, another region. Calls to other domains
#: and regions take longer, and their bytes are paid for.
TIER_COST_MS: typing.Final = (0.0, 80.0, 700.0)

#: Assumed duration of a call before any target has answered.
_DEFAULT_WORK_MS: typing.Final = 200.0

#: Average time for which a host stays slow after it reported slowness.
MEAN_SLOW_PERIOD_MS: typing.Final = 150.0

#: Weight of the chosen target's slowness in the average of chosen ones.
_SLOWNESS_WEIGHT: typing.Final = 0.05

#: Above this number of calls per slot, a target's calls slow each other
#: down, by the factor.
_CONTENTION_LOAD: typing.Final = 0.8
_CONTENTION_FACTOR: typing.Final = 1.6


class _UsualReport(typing.NamedTuple):
    """The average of the last load reports of targets."""

    slowness: float
    #: Calls per slot that other entries make.
    load: float


Candidates = typing.Sequence[targets.TargetState]


@typing.final
class ExpectedTime:
    """The target with the least expected time for one more call.

    The time counts work, host slowness, queue and distance.
    """

    #: Compares candidates of all tiers.
    spans_tiers: typing.ClassVar[bool] = True

    def __init__(self, rng: random.Random) -> None:
        """Breaks ties with ``rng``."""
        self._rng = rng
        self._chosen_slowness = 1.0

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the target with the least expected time."""
        baseline = _median_latency(candidates)
        work = baseline / max(1.0, self._chosen_slowness)
        usual = _usual_report(candidates)
        scored = [
            (
                _expected_ms(target, work, usual, now)
                * target.latency_penalty(baseline, now),
                self._rng.random(),
                target,
            )
            for target in candidates
        ]
        chosen = min(scored, key=lambda item: item[:2])[-1]
        self._chosen_slowness += _SLOWNESS_WEIGHT * (
            chosen.slowness - self._chosen_slowness
        )
        return chosen


def _usual_report(candidates: Candidates) -> _UsualReport:
    """Returns what is expected of a target without a recent report.

    It is the average of all last reports, however old: hosts change often, so
    an old report tells little of its target, but all of them tell how many
    are slow or busy.
    """
    reported = [
        target for target in candidates if target.reported_at > -math.inf
    ]
    if not reported:
        return _UsualReport(slowness=1, load=0)
    return _UsualReport(
        statistics.fmean(max(1.0, target.slowness) for target in reported),
        statistics.fmean(target.reported_load for target in reported),
    )


def _expected_ms(
    target: targets.TargetState,
    work: float,
    usual: _UsualReport,
    now: float,
) -> float:
    """Returns the expected time of one more call in ms.

    The reported slowness is assumed for `MEAN_SLOW_PERIOD_MS`, weighted by
    the report's age, and the usual slowness for the remaining work.
    """
    slowness = max(1.0, target.slowness)
    slow_period = MEAN_SLOW_PERIOD_MS * target.report_weight(now)
    done = slow_period / slowness
    expected = slow_period + max(0.0, work - done) * usual.slowness
    load = target.load(now, usual.load)
    if load > _CONTENTION_LOAD:
        expected *= _CONTENTION_FACTOR
    queued_load = load - 1
    if queued_load > 0:
        expected += queued_load * work * usual.slowness
    return expected + TIER_COST_MS[target.tier] + target.probe_delay_penalty_ms


def _median_latency(candidates: Candidates) -> float:
    """Returns the median of the baseline latencies of all candidates."""
    known = sorted(
        target.baseline_latency_ms
        for target in candidates
        if target.baseline_latency_ms > 0
    )
    return known[len(known) // 2] if known else _DEFAULT_WORK_MS


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policy of this module."""
    kernel.policies.add('expected-time', ExpectedTime)
