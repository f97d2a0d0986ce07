"""The stages of a roll-out: how a new version's share of requests grows.

The new version first gets a small share, spread over so few targets that each
bears a usual load. Just before the time limit the share grows quickly, so
that a version that turns bad late is found while it is still small.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from mulberryquay.decisions import version_evidence

_MS_PER_SECOND: typing.Final = 1000.0


class Stage(enum.Enum):
    """The stages in their order."""

    TRIAL = 'trial'
    #: A quarter and half of the requests, or less if there are very many.
    QUARTER = 'quarter'
    HALF = 'half'
    #: The old version gets nothing, but may get requests again.
    ALL = 'all'
    ENDED = 'ended'


class State(enum.Enum):
    """Whether a roll-out runs, or how it ended; the end is final."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled-back'


class RollOut(typing.NamedTuple):
    """One roll-out; the spec of its resource has the same fields."""

    #: Version of the targets that replace the others.
    version: str
    duration_ms: int
    #: A `State`.
    state: str
    #: A `Stage`.
    stage: str
    #: Share of the requests that go to the new version.
    share: float
    #: Versions of the other targets, as far as they were known.
    old_versions: list[str]
    #: Versions that get nothing, as earlier roll-outs ended.
    barred_versions: list[str]
    #: Time since the order when this stage began.
    elapsed_ms: int
    #: When the order was accepted, in ms since the Unix epoch.
    started_at: int
    #: Why it ended, for operators.
    reason: str = ''

    @property
    def barred(self) -> list[str]:
        """The versions that get nothing once the roll-out has ended."""
        match self.state:
            case State.COMPLETED.value:
                return [*self.barred_versions, *self.old_versions]
            case State.ROLLED_BACK.value:
                return [*self.barred_versions, self.version]
        return self.barred_versions

    @property
    def is_last_stage(self) -> bool:
        """Whether the old version gets nothing, though the roll-out runs."""
        return self.is_running and self.stage == Stage.ALL.value

    @property
    def is_running(self) -> bool:
        """Whether the roll-out has not ended."""
        return self.state == State.RUNNING.value


class Bounds(typing.NamedTuple):
    """How many requests a bad version may get."""

    #: Share of all requests to the service.
    share: float = 0.1
    #: Requests beyond the share.
    slack: float = 50


class Situation(typing.NamedTuple):
    """What is known of a roll-out now; times in milliseconds."""

    duration: float
    #: Time since the order.
    elapsed: float
    stage: Stage
    #: Share of the requests that go to the new version.
    share: float
    #: Time since the stage began.
    stage_elapsed: float
    #: Requests a second to both versions; 0 while not known.
    requests_per_s: float
    #: Answers of the new version that were compared with the old one.
    new_answers: int
    finding: version_evidence.Finding
    #: Calls that the warm targets of each version can run.
    new_slots: int
    old_slots: int
    #: Whether each live entry has the stage.
    is_confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """Nothing changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Advance:
    """The new version gets another share."""

    stage: Stage
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The roll-out ends."""

    state: State
    reason: str


Step = Stay | Advance | End

#: Parts of the bounds that the trial may use; the rest is for the stages
#: after it.
_TRIAL_SHARE_PART: typing.Final = 0.7
_TRIAL_SLACK_PART: typing.Final = 0.3
_MAX_TRIAL_SHARE: typing.Final = 0.5

#: The trial's share is corrected once, when the rate of requests is known.
_RATE_KNOWN_AFTER_MS: typing.Final = 1500.0
_MIN_SHARE_CHANGE: typing.Final = 0.2

#: When the stages after the trial begin, before the time limit. The parts are
#: for short roll-outs.
_QUARTER_BEFORE_MS: typing.Final = 4800.0
_HALF_BEFORE_MS: typing.Final = 4000.0
_ALL_BEFORE_MS: typing.Final = 2000.0
_COMPLETE_BEFORE_MS: typing.Final = 900.0
_FULL_SCHEDULE_MS: typing.Final = 10_000.0

#: Shortest time for answers of a stage to be known before the next one.
_MIN_STAGE_MS: typing.Final = 700.0

#: Answers of the new version without which its share does not grow, by the
#: time before the limit: fewer suffice when time runs out.
_MIN_ANSWERS: typing.Final = 12
_MIN_LATER_ANSWERS: typing.Final = 8
_MIN_LATE_ANSWERS: typing.Final = 5
_LATE_BEFORE_MS: typing.Final = 3200.0

#: Strength of the evidence against a version from which its share does not
#: grow, and from which it is not completed.
_DOUBT: typing.Final = 0.25
_STRONG_DOUBT: typing.Final = 0.5

#: Warm slots of the new version for each of the old one.
_MIN_SLOTS_PART: typing.Final = 0.5

#: Part of the bounds that the stage of half of the requests may use.
_HALF_PART: typing.Final = 0.45
_HALF_SHARE: typing.Final = 0.5

_GROWTH: typing.Final = (
    (Stage.QUARTER, _QUARTER_BEFORE_MS),
    (Stage.HALF, _HALF_BEFORE_MS),
    (Stage.ALL, _ALL_BEFORE_MS),
)
_ORDER: typing.Final = tuple(Stage)


def first_share(bounds: Bounds) -> float:
    """Returns the share in the trial while the rate is not known."""
    return bounds.share * _TRIAL_SHARE_PART


def next_step(now: Situation, bounds: Bounds) -> Step:
    """Returns what is to be done now with a roll-out that runs."""
    if now.finding.strength >= 1:
        return End(State.ROLLED_BACK, _describe(now.finding))
    if now.stage is Stage.ALL:
        return _end_of_last_stage(now)
    if now.elapsed >= now.duration:
        return End(State.ROLLED_BACK, _describe_doubt(now))
    for stage, before in _GROWTH:
        is_next = _ORDER.index(stage) == _ORDER.index(now.stage) + 1
        if is_next and _may_grow(now, before):
            return Advance(stage, _share_of(stage, now, bounds))
    return _correct_trial(now, bounds)


def trial_targets(
    names_by_domain: typing.Mapping[str, typing.Sequence[str]],
    share: float,
    old_count: int,
) -> frozenset[str]:
    """Returns the targets of the new version that get its share.

    They are as many as bear the usual load of a target, at least one in each
    failure domain.
    """
    wanted = max(len(names_by_domain), round(share * old_count))
    ranked = sorted(
        (rank, domain, name)
        for domain, names in names_by_domain.items()
        for rank, name in enumerate(sorted(names))
    )
    return frozenset(name for _rank, _domain, name in ranked[:wanted])


def _scale(now: Situation) -> float:
    return min(1.0, now.duration / _FULL_SCHEDULE_MS)


def _share_of(stage: Stage, now: Situation, bounds: Bounds) -> float:
    """Returns the share of a stage after the trial.

    Slow answers of the stage of half of the requests are known before it
    ends, so what it sends must fit the bounds.
    """
    if stage is Stage.ALL:
        return 1.0
    half = _HALF_SHARE
    sent_at_all = now.requests_per_s * (_HALF_BEFORE_MS - _ALL_BEFORE_MS)
    if sent_at_all > 0:
        allowed = bounds.slack * _MS_PER_SECOND
        allowed += bounds.share * now.requests_per_s * now.duration
        half = min(half, _HALF_PART * allowed / sent_at_all)
    share = half if stage is Stage.HALF else half / 2
    return round(max(share, now.share), 3)


def _may_grow(now: Situation, before: float) -> bool:
    scale = _scale(now)
    remaining = now.duration - now.elapsed
    if remaining > before * scale:
        return False
    if now.stage is not Stage.TRIAL:
        if now.stage_elapsed < _MIN_STAGE_MS * scale:
            return False
    needed = _MIN_ANSWERS
    if remaining <= _LATE_BEFORE_MS * scale:
        needed = _MIN_LATE_ANSWERS
    elif remaining <= _HALF_BEFORE_MS * scale:
        needed = _MIN_LATER_ANSWERS
    bears_load = now.new_slots >= now.old_slots * _MIN_SLOTS_PART
    return (
        now.new_answers >= needed
        and now.finding.strength < _DOUBT
        and now.new_slots > 0
        and bears_load
    )


def _end_of_last_stage(now: Situation) -> Step:
    scale = _scale(now)
    remaining = now.duration - now.elapsed
    is_settled = now.stage_elapsed >= _MIN_STAGE_MS * scale
    if now.finding.strength >= _STRONG_DOUBT:
        is_settled = False
    if is_settled and remaining <= _COMPLETE_BEFORE_MS * scale:
        # An entry that is cut off must not hold up the others for ever.
        if now.is_confirmed or remaining <= _COMPLETE_BEFORE_MS * scale / 2:
            return End(State.COMPLETED, 'the new version bears the load')
    if remaining <= 0 and now.finding.strength >= _STRONG_DOUBT:
        return End(State.ROLLED_BACK, _describe_doubt(now))
    return Stay()


def _correct_trial(now: Situation, bounds: Bounds) -> Step:
    """Raises the share of a service with few requests."""
    is_known = now.elapsed >= _RATE_KNOWN_AFTER_MS and now.requests_per_s > 0
    if now.stage is not Stage.TRIAL or not is_known:
        return Stay()
    expected = now.requests_per_s * now.duration / _MS_PER_SECOND
    share = first_share(bounds)
    share += bounds.slack * _TRIAL_SLACK_PART / expected
    share = round(min(share, _MAX_TRIAL_SHARE), 3)
    if abs(share - now.share) < now.share * _MIN_SHARE_CHANGE:
        return Stay()
    return Advance(Stage.TRIAL, share)


def _describe(finding: version_evidence.Finding) -> str:
    where = f' on route {finding.route}' if finding.route else ''
    return f'more {finding.measure.value} than the old version{where}'


def _describe_doubt(now: Situation) -> str:
    if now.new_answers < _MIN_LATE_ANSWERS:
        return (
            f'the new version gave only {now.new_answers} answers within the '
            'time limit'
        )
    if now.new_slots < now.old_slots * _MIN_SLOTS_PART or not now.new_slots:
        return (
            f'the new version had {now.new_slots} warm slots for '
            f'{now.old_slots} of the old one at the time limit'
        )
    if now.finding.strength >= _DOUBT:
        return f'in doubt at the time limit: {_describe(now.finding)}'
    return 'the time limit came before the last stage had ended'
