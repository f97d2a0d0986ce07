"""Sequential tests of whether a new version answers worse than the old one.

Each test is Page's cumulative sum of log likelihood ratios. It compares the
answers of the new version with the rate that the old one shows at the same
time, so that what slows or breaks both versions is no evidence. A version is
worse only if the sum stays over the bound without any single failure domain,
so that one bad host or domain does not stop a good version.
"""

from __future__ import annotations

import enum
import math
import typing

#: Latencies are counted in steps, each this many times the one before.
_STEP: typing.Final = 1.25

#: A latency this many steps above the old version's median is slow: about
#: two and a half times as long.
_SLOW_STEPS: typing.Final = 4

#: A slow answer takes longer than the median by this at least: new targets
#: have new connections.
_SLOW_FLOOR_MS: typing.Final = 20.0

#: The step of an answer whose latency says nothing of the version.
NO_STEP: typing.Final = -1

#: Log likelihood ratio at which the new version counts as worse.
ALARM: typing.Final = 4.0

#: The same for a test of one route, of which there are several.
_ROUTE_ALARM: typing.Final = 5.0

#: The same while the new version has answered from one domain only.
_SINGLE_DOMAIN_ALARM: typing.Final = 9.0

#: Time constant in which older answers of the old version lose their weight
#: while newer ones arrive.
_OLD_DECAY_MS: typing.Final = 2000.0

#: Answers that the rate assumed of the old version weighs, without others.
_PRIOR_ANSWERS: typing.Final = 15.0

_ALL_ROUTES: typing.Final = ''
_NO_DOMAIN: typing.Final = ''


class Measure(enum.Enum):
    """What the versions are compared by."""

    FAILURES = 'failures'
    SLOW = 'slow answers'


#: The hypotheses on slow answers, which the old version also has.
_SLOW_PRIOR: typing.Final = 0.05
_SLOW_FACTOR: typing.Final = 1.3
_SLOW_MARGIN: typing.Final = 0.03
_SLOW_EXCESS: typing.Final = 0.25


class _Hypotheses(typing.NamedTuple):
    """How much worse than the old version a good and a bad one may be."""

    #: Rate assumed of the old version before it has answered.
    prior: float = 0.01
    #: A good version's rate is at most this many times the old one's, plus
    #: the margin.
    factor: float = 1.5
    margin: float = 0.02
    #: A bad version's rate is higher than that by this.
    excess: float = 0.2


_HYPOTHESES: typing.Final = {
    Measure.FAILURES: _Hypotheses(),
    Measure.SLOW: _Hypotheses(
        prior=_SLOW_PRIOR,
        factor=_SLOW_FACTOR,
        margin=_SLOW_MARGIN,
        excess=_SLOW_EXCESS,
    ),
}
_MAX_RATE: typing.Final = 0.98


class Observation(typing.NamedTuple):
    """Equal answers of one version to one route in one failure domain."""

    is_new: bool
    domain: str
    route: str
    is_failure: bool
    #: Latency as `latency_step`, or `NO_STEP`.
    step: int
    answers: int


class Finding(typing.NamedTuple):
    """The test that speaks most against the new version."""

    measure: Measure
    #: Empty for all routes together.
    route: str
    #: The cumulative sum as a share of the bound; 1 or more is an alarm.
    strength: float


NO_FINDING: typing.Final = Finding(Measure.FAILURES, _ALL_ROUTES, 0.0)


def latency_step(latency_ms: float) -> int:
    """Returns the step under which a latency is counted."""
    return max(0, round(math.log(max(1.0, latency_ms)) / math.log(_STEP)))


class _OldAnswers:
    """Answers of the old version to one route in one failure domain."""

    def __init__(self) -> None:
        self.answers = 0.0
        self.failures = 0.0
        self.steps: dict[int, float] = {}
        self._added_at = 0.0

    def add(self, seen: Observation, now: float) -> None:
        """Adds answers; earlier ones weigh less."""
        weight = math.exp((self._added_at - now) / _OLD_DECAY_MS)
        self._added_at = now
        self.answers = self.answers * weight + seen.answers
        self.failures = self.failures * weight + seen.answers * seen.is_failure
        self.steps = {
            step: count * weight for step, count in self.steps.items()
        }
        if seen.step != NO_STEP:
            self.steps[seen.step] = self.steps.get(seen.step, 0) + seen.answers


#: Measure, route and the domain that is left out.
_Key = tuple[Measure, str, str]


@typing.final
class VersionEvidence:
    """The tests of one roll-out."""

    def __init__(self) -> None:
        """Starts without answers."""
        self._old: dict[tuple[str, str], _OldAnswers] = {}
        self._sums: dict[_Key, float] = {}
        self._domains: set[str] = set()
        self._routes: set[str] = {_ALL_ROUTES}
        self._new_answers = 0
        self._timed_answers = 0
        self._bad_answers = 0
        self._all_answers = 0

    @property
    def new_answers(self) -> int:
        """Answers of the new version so far."""
        return self._new_answers

    @property
    def compared_answers(self) -> int:
        """Answers of the new version that were compared by both measures."""
        return self._timed_answers

    @property
    def bad_answers(self) -> int:
        """Answers of the new version that were failures or slow."""
        return self._bad_answers

    @property
    def all_answers(self) -> int:
        """Answers of both versions so far."""
        return self._all_answers

    @property
    def finding(self) -> Finding:
        """The test that speaks most against the new version."""
        found = NO_FINDING
        for measure in Measure:
            for route in self._routes:
                strength = self._strength(measure, route)
                if strength > found.strength:
                    found = Finding(measure, route, strength)
        return found

    def add(
        self, observations: typing.Iterable[Observation], now: float
    ) -> None:
        """Adds answers that arrived together, at ``now`` in ms."""
        by_age = sorted(observations, key=lambda seen: seen.is_new)
        for seen in by_age:
            self._all_answers += seen.answers
            if seen.is_new:
                self._add_new(seen)
                continue
            key = seen.route, seen.domain
            self._old.setdefault(key, _OldAnswers()).add(seen, now)

    def _add_new(self, seen: Observation) -> None:
        self._new_answers += seen.answers
        if seen.step != NO_STEP:
            self._timed_answers += seen.answers
        if seen.domain not in self._domains:
            self._leave_out(seen.domain)
        self._routes.add(seen.route)
        is_slow = False
        for left_out in (_NO_DOMAIN, *self._domains):
            if left_out == seen.domain:
                continue
            failure_rate = self._failure_rate(seen.route, left_out)
            self._test(Measure.FAILURES, seen, left_out, failure_rate)
            if seen.step == NO_STEP:
                continue
            slow_from, slow_rate = self._slow_rate(seen.route, left_out)
            self._test(Measure.SLOW, seen, left_out, slow_rate, slow_from)
            is_slow = is_slow or seen.step >= slow_from
        if seen.is_failure or is_slow:
            self._bad_answers += seen.answers

    def _leave_out(self, domain: str) -> None:
        """Starts the sums without a domain, which had no answers so far."""
        self._domains.add(domain)
        for (measure, route, left_out), total in list(self._sums.items()):
            if left_out == _NO_DOMAIN:
                self._sums[measure, route, domain] = total

    def _test(
        self,
        measure: Measure,
        seen: Observation,
        left_out: str,
        old_rate: float,
        slow_from: float = math.inf,
    ) -> None:
        hypotheses = _HYPOTHESES[measure]
        good = min(old_rate * hypotheses.factor + hypotheses.margin, _MAX_RATE)
        bad = min(good + hypotheses.excess, (1 + good) / 2)
        is_bad = seen.is_failure
        if measure is Measure.SLOW:
            is_bad = seen.step >= slow_from
        ratio = math.log(bad / good if is_bad else (1 - bad) / (1 - good))
        for route in (_ALL_ROUTES, seen.route):
            key = measure, route, left_out
            total = self._sums.get(key, 0.0) + ratio * seen.answers
            self._sums[key] = max(0.0, total)

    def _strength(self, measure: Measure, route: str) -> float:
        bound = _ROUTE_ALARM if route else ALARM
        if len(self._domains) < 2:
            bound = _SINGLE_DOMAIN_ALARM
        left_out: typing.Iterable[str] = self._domains
        if len(self._domains) < 2:
            left_out = (_NO_DOMAIN,)
        return min(
            (
                self._sums.get((measure, route, domain), 0.0) / bound
                for domain in left_out
            ),
            default=0.0,
        )

    def _failure_rate(self, route: str, left_out: str) -> float:
        answers = _PRIOR_ANSWERS
        failures = _PRIOR_ANSWERS * _HYPOTHESES[Measure.FAILURES].prior
        for old in self._old_answers(route, left_out):
            answers += old.answers
            failures += old.failures
        return failures / answers

    def _slow_rate(self, route: str, left_out: str) -> tuple[float, float]:
        """Returns the first slow step and the old version's rate of slow."""
        steps: dict[int, float] = {}
        for old in self._old_answers(route, left_out):
            for step, count in old.steps.items():
                steps[step] = steps.get(step, 0) + count
        total = sum(steps.values())
        prior = _HYPOTHESES[Measure.SLOW].prior
        if not total:
            return math.inf, prior
        slow_from = _slow_step(_median(steps, total))
        slow = sum(count for step, count in steps.items() if step >= slow_from)
        return slow_from, (slow + _PRIOR_ANSWERS * prior) / (
            total + _PRIOR_ANSWERS
        )

    def _old_answers(
        self, route: str, left_out: str
    ) -> typing.Iterator[_OldAnswers]:
        for (old_route, domain), old in self._old.items():
            if old_route == route and domain != left_out:
                yield old


def _slow_step(median: int) -> int:
    floor = latency_step(_STEP**median + _SLOW_FLOOR_MS)
    return max(median + _SLOW_STEPS, floor)


def _median(steps: dict[int, float], total: float) -> int:
    below = 0.0
    for step in sorted(steps):
        below += steps[step]
        if below * 2 >= total:
            return step
    return 0
