"""The target that is expected to answer a request soonest."""

from __future__ import annotations

import math
import random
import statistics
import typing

#: Gain in expected time for which a call leaves the failure domain, and the
#: region, of the entry: it takes room that callers there may need.
TIER_MARGIN_MS: typing.Final = (0.0, 60.0, 200.0)

#: Assumed duration of a call before any target has answered.
_DEFAULT_WORK_MS: typing.Final = 200.0

#: Average time for which a host stays slow after it reported slowness.
_MEAN_SLOW_PERIOD_MS: typing.Final = 150.0

#: Time constant of the weight of a report of slowness.
_SLOWNESS_DECAY_MS: typing.Final = 200.0

#: Weight of the chosen target's slowness in the average of chosen ones.
_SLOWNESS_WEIGHT: typing.Final = 0.05

#: A target with all slots in use works slower by this factor.
_FULL_FACTOR: typing.Final = 1.6
_FULL_LOAD: typing.Final = 0.8

#: Part of a call's time by which a full target is worse than an idle one
#: even below that load: others may choose it at the same moment.
_CROWD_PART: typing.Final = 0.1

#: A failed call costs about this many times the work, with its repetition.
_FAILURE_FACTOR: typing.Final = 3.0

#: Targets are nearly equal if their times differ by this part of the least
#: time, and by the second part if nothing new is known of them.
_NEAR_PART: typing.Final = 0.03
_UNCERTAIN_PART: typing.Final = 0.25
_NEAR_RANGE: typing.Final = 3.0

#: Weights among near equals without and with an idle connection.
_CONNECTION_WEIGHTS: typing.Final = (1.0, 6.0)

#: Parts of a tier's margin at which calls begin to go there and at which
#: they stop.
_OPEN_PART: typing.Final = 1.25
_CLOSE_PART: typing.Final = 0.5


class Option(typing.NamedTuple):
    """A target that may serve the request, as far as this entry knows."""

    name: str
    #: 0 for the entry's own failure domain, 1 for its region, 2 for others.
    tier: int
    slots: int
    #: Calls of this entry that the target runs or queues now.
    own_calls: int
    #: Calls of other entries there, as far as known.
    other_calls: float
    #: Age of the newest report in ms; infinite without one.
    report_age_ms: float
    #: Duration of work on its host relative to the usual one, as reported.
    slowness: float
    #: Usual time of a call there in ms; 0 if not known.
    usual_ms: float
    #: Duration of its calls relative to those of other targets.
    pace: float = 1.0
    #: Part of the latest calls that it failed or refused.
    failing: float = 0.0
    #: Whether this entry has an idle connection to it.
    is_connected: bool = False
    #: Further expected delay in ms, for example of an unanswered probe.
    delay_ms: float = 0.0


class Placement(typing.Protocol):
    """Chooses among targets that all have capacity."""

    def place(self, options: typing.Sequence[Option]) -> int:
        """Returns the index of the chosen one of at least one option."""


class _Usual(typing.NamedTuple):
    """What is usual among the options."""

    #: Duration of a call on a host of usual speed.
    work_ms: float
    slowness: float
    failing: float


@typing.final
class Soonest:
    """Chooses by expected time to the answer: way, wait and work.

    The load that it answers: many entries, each with a few calls a second and
    reports of different ages, whose targets slow down and fill up by turns.
    A call leaves the tier only for a gain; the more of it, the more calls do,
    and once some do, a smaller gain keeps them going, so that domains don't
    pass the same calls to each other and back.
    """

    def __init__(self, rng: random.Random) -> None:
        """Chooses among near equals with ``rng``."""
        self._rng = rng
        self._chosen_slowness = 1.0
        self._open_tiers: set[int] = set()

    def place(self, options: typing.Sequence[Option]) -> int:
        """Returns the index of the chosen one of at least one option."""
        usual = self._usual(options)
        times = [_expected_ms(option, usual) for option in options]
        tier = self._choose_tier(options, times)
        chosen = self._choose_near(options, times, tier)
        self._chosen_slowness += _SLOWNESS_WEIGHT * (
            options[chosen].slowness - self._chosen_slowness
        )
        return chosen

    def _usual(self, options: typing.Sequence[Option]) -> _Usual:
        known = sorted(
            option.usual_ms for option in options if option.usual_ms > 0
        )
        work = known[len(known) // 2] if known else _DEFAULT_WORK_MS
        slownesses = [
            max(1.0, option.slowness)
            for option in options
            if option.report_age_ms < math.inf
        ]
        return _Usual(
            work / max(1.0, self._chosen_slowness),
            statistics.fmean(slownesses) if slownesses else 1.0,
            statistics.median(option.failing for option in options),
        )

    def _choose_tier(
        self,
        options: typing.Sequence[Option],
        times: typing.Sequence[float],
    ) -> int:
        best: dict[int, float] = {}
        for option, time in zip(options, times, strict=True):
            best[option.tier] = min(time, best.get(option.tier, math.inf))
        tiers = sorted(best)
        chosen = tiers[0]
        for tier in tiers[1:]:
            margin = TIER_MARGIN_MS[tier] - TIER_MARGIN_MS[chosen]
            if self._goes_to(tier, (best[chosen] - best[tier]) / margin):
                chosen = tier
        return chosen

    def _goes_to(self, tier: int, gain: float) -> bool:
        """Whether a call goes to a tier, for a gain in parts of its margin."""
        if gain < _CLOSE_PART:
            self._open_tiers.discard(tier)
            return False
        if gain >= _OPEN_PART:
            self._open_tiers.add(tier)
        if tier not in self._open_tiers:
            return False
        return self._rng.random() < gain / _OPEN_PART

    def _choose_near(
        self,
        options: typing.Sequence[Option],
        times: typing.Sequence[float],
        tier: int,
    ) -> int:
        """Returns one of the near equals of a tier."""
        in_tier = [
            number
            for number, option in enumerate(options)
            if option.tier == tier
        ]
        best = min(in_tier, key=times.__getitem__)
        unknown = 1 - _report_weight(options[best])
        least = times[best]
        width = least * (_NEAR_PART + _UNCERTAIN_PART * unknown)
        near = [
            number
            for number in in_tier
            if times[number] - least <= width * _NEAR_RANGE
        ]
        weights = [
            math.exp((least - times[number]) / width)
            * _CONNECTION_WEIGHTS[options[number].is_connected]
            for number in near
        ]
        return self._rng.choices(near, weights)[0]


def _report_weight(option: Option) -> float:
    return math.exp(-option.report_age_ms / _SLOWNESS_DECAY_MS)


def _expected_ms(option: Option, usual: _Usual) -> float:
    """Returns the expected time to the answer of one more call."""
    work = usual.work_ms * option.pace
    slow_period = _MEAN_SLOW_PERIOD_MS * _report_weight(option)
    done = slow_period / max(1.0, option.slowness)
    expected = slow_period + max(0.0, work - done) * usual.slowness
    if done > work:
        expected = work * max(1.0, option.slowness)
    calls = option.own_calls + option.other_calls
    load = calls / option.slots
    if (calls + 1) / option.slots > _FULL_LOAD:
        expected *= _FULL_FACTOR
    expected += work * _CROWD_PART * min(1.0, load)
    waiting = calls + 1 - option.slots
    if waiting > 0:
        expected += waiting / option.slots * work * usual.slowness
    failing = max(0.0, option.failing - usual.failing)
    return expected + failing * _FAILURE_FACTOR * work + option.delay_ms
