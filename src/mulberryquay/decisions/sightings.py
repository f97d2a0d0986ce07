"""What the entries together know of the targets of one failure domain.

One entry of the domain keeps it, for one service; all entries tell it which
calls they begin and end there. So the calls at a target are known from one
report and what came after it, and one entry's report serves all others.
"""

from __future__ import annotations

import collections
import math
import random
import typing

#: For this long, a report is as good as a new one.
FRESH_REPORT_MS: typing.Final = 60.0

#: Targets with a free slot and usual speed of which a new report is wanted
#: before a call is placed: near equals for the calls that come meanwhile.
_WANTED_GOOD: typing.Final = 3

_MAX_USUAL_SLOWNESS: typing.Final = 1.3

#: Load from which a target is not a good choice.
_GOOD_LOAD: typing.Final = 0.8

#: Longest time that a call is on its way to a target that doesn't report it
#: yet.
_ON_THE_WAY_MS: typing.Final = 2.0

#: Time constants of the weights of a report's parts and of failures.
_SLOWNESS_DECAY_MS: typing.Final = 200.0
_CALLS_DECAY_MS: typing.Final = 1000.0

#: A begun or ended call without a later report counts for this long: the
#: message of its end, or of its beginning, may be lost.
_CHANGE_KEPT_MS: typing.Final = 5000.0
_FAILURE_DECAY_MS: typing.Final = 3000.0

#: Weight of the newest call in the part of failed ones, and in the average
#: duration of all calls.
_FAILURE_WEIGHT: typing.Final = 0.2
_DURATION_WEIGHT: typing.Final = 0.02

#: Calls of usual duration that a target counts as having served before its
#: first one, and how much less an older call counts with each new one.
_PACE_PRIOR: typing.Final = 16.0
_PACE_KEPT: typing.Final = 0.98
_MAX_PACE_LOG: typing.Final = 1.6

#: Targets of one speed differ by less than this over some calls. Calls that
#: go to the ones with luck would fill these while others idle.
_USUAL_PACE: typing.Final = 1.5

#: Begun and ended calls remembered for each target.
_MAX_CHANGES: typing.Final = 256


class Sighting(typing.NamedTuple):
    """What is known of a target now."""

    target: str
    calls: float
    slowness: float
    #: Age of the newest report; infinite without one.
    report_age_ms: float
    #: Duration of its calls relative to those of other targets, at least 1.
    pace: float
    #: Part of the latest calls that it failed or refused.
    failing: float


@typing.final
class _Track:
    """The newest report of a target and what came after it."""

    def __init__(self) -> None:
        self.reported_at = -math.inf
        self.asked_at = -math.inf
        self.reported_calls = 0.0
        self.slowness = 1.0
        self.changes: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_MAX_CHANGES
        )
        self.failing = 0.0
        self.failed_at = 0.0
        self.pace_sum = 0.0
        self.pace_count = 0.0

    @property
    def pace(self) -> float:
        mean = math.exp(self.pace_sum / (self.pace_count + _PACE_PRIOR))
        return max(1.0, mean / _USUAL_PACE)

    def calls_at(self, now: float) -> float:
        """Returns the calls at the target, as far as known."""
        begun_after = self.reported_at - _ON_THE_WAY_MS
        begun = sum(
            changed_at > begun_after
            for changed_at, change in self.changes
            if change > 0
        )
        ended = sum(
            changed_at > self.reported_at
            for changed_at, change in self.changes
            if change < 0
        )
        weight = math.exp((self.reported_at - now) / _CALLS_DECAY_MS)
        return max(0.0, self.reported_calls * weight + begun - ended)

    def sighting(self, target: str, now: float) -> Sighting:
        """Returns what is known at ``now``."""
        failing = self.failing * math.exp(
            (self.failed_at - now) / _FAILURE_DECAY_MS
        )
        return Sighting(
            target,
            self.calls_at(now),
            self.slowness,
            now - self.reported_at,
            self.pace,
            failing,
        )

    def forget_before(self, oldest: float) -> None:
        """Forgets the changes that no longer count."""
        while self.changes and self.changes[0][0] < oldest:
            self.changes.popleft()


@typing.final
class DomainPicture:
    """What is known of the targets of one service in one failure domain."""

    def __init__(self, rng: random.Random) -> None:
        """Breaks ties with ``rng``."""
        self._rng = rng
        self._tracks: dict[str, _Track] = {}
        self._usual_ms = 0.0

    def report(
        self, target: str, calls: float, slowness: float, *, reported_at: float
    ) -> None:
        """Records what a target reported; an older report is ignored."""
        track = self._track(target)
        if reported_at >= track.reported_at:
            track.reported_at = reported_at
            track.reported_calls = calls
            track.slowness = slowness
            track.forget_before(reported_at - _ON_THE_WAY_MS)

    def begin_call(self, target: str, now: float) -> None:
        """Counts a call that some entry sends to the target."""
        track = self._track(target)
        track.forget_before(now - _CHANGE_KEPT_MS)
        track.changes.append((now, 1))

    def end_call(
        self, target: str, now: float, duration: float, *, has_failed: bool
    ) -> None:
        """Counts the end of a call."""
        track = self._track(target)
        track.changes.append((now, -1))
        aged = track.failing * math.exp(
            (track.failed_at - now) / _FAILURE_DECAY_MS
        )
        track.failing = aged + _FAILURE_WEIGHT * (int(has_failed) - aged)
        track.failed_at = now
        if duration > 0 and not has_failed:
            self._record_duration(track, duration)

    def retain(self, targets: typing.Collection[str]) -> None:
        """Forgets all other targets."""
        for gone in set(self._tracks) - set(targets):
            self._tracks.pop(gone)

    def sightings(
        self, targets: typing.Iterable[str], now: float
    ) -> list[Sighting]:
        """Returns what is known of ``targets``."""
        return [self._track(target).sighting(target, now) for target in targets]

    def targets_to_ask(
        self, slots: typing.Mapping[str, int], now: float
    ) -> list[str]:
        """Returns the targets to ask for a report before a call is placed.

        ``slots`` has the targets that may serve the call. Few are asked, the
        most promising ones, and none if enough good ones are known.
        """
        seen = self.sightings(slots, now)
        good = sum(_is_good(sighting, slots) for sighting in seen)
        missing = _WANTED_GOOD - good
        if missing <= 0:
            return []
        stale = [
            sighting
            for sighting in seen
            if sighting.report_age_ms > FRESH_REPORT_MS
            and self._track(sighting.target).asked_at < now - FRESH_REPORT_MS
        ]
        stale.sort(
            key=lambda sighting: (
                _promise(sighting, slots),
                self._rng.random(),
            )
        )
        wanted = [sighting.target for sighting in stale[:missing]]
        for target in wanted:
            self._track(target).asked_at = now
        return wanted

    def _track(self, target: str) -> _Track:
        track = self._tracks.get(target)
        if track is None:
            track = _Track()
            self._tracks[target] = track
        return track

    def _record_duration(self, track: _Track, duration: float) -> None:
        if not self._usual_ms:
            self._usual_ms = duration
        ratio = math.log(duration / self._usual_ms)
        bounded = max(-_MAX_PACE_LOG, min(_MAX_PACE_LOG, ratio))
        track.pace_sum = track.pace_sum * _PACE_KEPT + bounded
        track.pace_count = track.pace_count * _PACE_KEPT + 1
        self._usual_ms *= math.exp(_DURATION_WEIGHT * bounded)


def has_room(calls: float, slots: int) -> bool:
    """Whether a target is not nearly full with one more call."""
    return calls < 1 or (calls + 1) / slots <= _GOOD_LOAD


def _is_good(sighting: Sighting, slots: typing.Mapping[str, int]) -> bool:
    return (
        sighting.report_age_ms <= FRESH_REPORT_MS
        and sighting.slowness <= _MAX_USUAL_SLOWNESS
        and has_room(sighting.calls, slots[sighting.target])
    )


def _promise(sighting: Sighting, slots: typing.Mapping[str, int]) -> float:
    """Returns how long a call may take there; the least is asked first."""
    weight = math.exp(-sighting.report_age_ms / _SLOWNESS_DECAY_MS)
    slowness = 1 + (max(1.0, sighting.slowness) - 1) * weight
    load = sighting.calls / slots[sighting.target]
    return sighting.pace * slowness * (1 + load) * (1 + sighting.failing)
