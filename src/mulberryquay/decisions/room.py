"""How many calls the targets of a service bear, learned from their answers.

It answers the load near the limit: above some number of calls, targets get so
slow that more calls in flight mean fewer answers. The limit is the number of
calls per slot at which most is answered, found from the time of work by load.
"""

from __future__ import annotations

import math
import typing

#: Calls per slot are told apart in steps of this size; all slots are the
#: highest limit.
STEP: typing.Final = 0.25
_FULL_STEP: typing.Final = 4
_FIRST_STEP: typing.Final = 3

#: Up to this step, calls hardly slow each other down.
_CALM_STEP: typing.Final = 2

#: Weight of the newest answer in the averages, and of a longer time than the
#: shortest one.
_WEIGHT: typing.Final = 0.1
_LEAST_WEIGHT: typing.Final = 0.002

#: A limit holds this long without being lowered again; then more is tried.
FADING_MS: typing.Final = 10_000.0

#: Answers at the limit that are needed to lower it, and answers of a kind at
#: targets with free slots to compare them with.
_LEAST_ANSWERS: typing.Final = 10
_LEAST_CALM_ANSWERS: typing.Final = 5

#: Weight of the newest answer in the means of loads.
_ROOM_WEIGHT: typing.Final = 0.05

#: Time for the calls in flight to end after a change of the limit.
SETTLING_MS: typing.Final = 1000.0


#: Ranks of an account and of a route, 0 for the highest.
Rank = tuple[int, int]

#: Demand counts with 1/e after this time.
DEMAND_MEMORY_MS: typing.Final = 5000.0

_FORGOTTEN_MS: typing.Final = 1.0


class WorkTime(typing.NamedTuple):
    """The usual time of a request at a target, and its usual deviation."""

    mean_ms: float = 0
    deviation_ms: float = 0
    #: Nearly the shortest time seen.
    least_ms: float = 0


@typing.final
class WorkTimes:
    """The usual times at targets by kind of request."""

    def __init__(self) -> None:
        """Starts without answers."""
        self._times: dict[str, WorkTime] = {}

    def usual(self, kind: str) -> WorkTime:
        """Returns the usual time of a kind, zeros before its first answer."""
        return self._times.get(kind, _UNKNOWN)

    def record(self, kind: str, time_ms: float) -> None:
        """Records the time of one answer."""
        known = self._times.get(kind)
        if known is None:
            self._times[kind] = WorkTime(time_ms, time_ms / 2, time_ms / 2)
            return
        error = time_ms - known.mean_ms
        shorter = time_ms < known.least_ms
        least_weight = _WEIGHT if shorter else _LEAST_WEIGHT
        self._times[kind] = WorkTime(
            known.mean_ms + _WEIGHT * error,
            known.deviation_ms + _WEIGHT * (abs(error) - known.deviation_ms),
            known.least_ms + least_weight * (time_ms - known.least_ms),
        )


_UNKNOWN: typing.Final = WorkTime()


class Answer(typing.NamedTuple):
    """An answer of a target whose load was known as the call began."""

    kind: str
    #: Calls per slot there, with this one.
    load: float
    #: Time of the call on a host of usual speed.
    time_ms: float
    #: Whether most requests find room at once.
    is_calm: bool


class _Mean(typing.NamedTuple):
    """The mean of the first samples, then an average with fading weights."""

    mean: float = 0
    samples: int = 0

    def with_sample(self, newest: float) -> _Mean:
        """Returns the mean with one sample more."""
        weight = max(_ROOM_WEIGHT, 1 / (self.samples + 1))
        return _Mean(
            self.mean + weight * (newest - self.mean), self.samples + 1
        )


@typing.final
class Room:
    """The calls per slot at which the targets of a service answer most.

    While requests wait, targets are filled up to the limit. If calls take so
    much longer there than at targets with free slots that one call less would
    be answered as often, the limit goes down a step; after some time without
    such answers it goes up again.
    """

    def __init__(self, now: float) -> None:
        """Starts below all slots: many targets slow down when nearly full."""
        self._limit_step = _FIRST_STEP
        self._changed_at = now
        #: Usual time of each kind of request at targets with free slots.
        self._calm_ms: dict[str, _Mean] = {}
        #: Times at targets at the limit relative to these.
        self._full_factor = _Mean()

    def record_answer(self, answer: Answer, now: float) -> None:
        """Records an answer of a target whose load was known."""
        step = math.ceil(answer.load / STEP)
        calm_ms = self._calm_ms.get(answer.kind, _Mean())
        if answer.is_calm and step <= _CALM_STEP:
            self._calm_ms[answer.kind] = calm_ms.with_sample(answer.time_ms)
        elif self._is_at_limit(step) and now - self._changed_at > SETTLING_MS:
            if calm_ms.samples >= _LEAST_CALM_ANSWERS:
                self._full_factor = self._full_factor.with_sample(
                    answer.time_ms / calm_ms.mean
                )
                self._adapt(now)

    def record_shed(self, now: float) -> None:
        """Records that a target turned a call away though it had room."""
        if now - self._changed_at > SETTLING_MS:
            self._lower(now)

    def limit(self, now: float) -> float:
        """Returns the calls per slot beyond which a target gets no more."""
        is_lowered = self._limit_step < _FULL_STEP
        if is_lowered and now - self._changed_at > FADING_MS:
            self._limit_step += 1
            self._start_over(now)
        return self._limit_step * STEP

    def _is_at_limit(self, step: int) -> bool:
        if self._limit_step == _FULL_STEP:
            return step >= _FULL_STEP
        return step == self._limit_step

    def _adapt(self, now: float) -> None:
        if self._full_factor.samples < _LEAST_ANSWERS:
            return
        step = self._limit_step
        if self._full_factor.mean > step / (step - 1):
            self._lower(now)

    def _lower(self, now: float) -> None:
        self._limit_step = max(_CALM_STEP, self._limit_step - 1)
        self._start_over(now)

    def _start_over(self, now: float) -> None:
        self._changed_at = now
        self._full_factor = _Mean()


@typing.final
class Demand:
    """The work that requests of each rank asked for of late."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._work_ms: dict[Rank, float] = {}
        self._faded_at = 0.0

    def record(self, rank: Rank, work_ms: float, now: float) -> None:
        """Records a request and the work that it is expected to cost."""
        fading = math.exp((self._faded_at - now) / DEMAND_MEMORY_MS)
        self._work_ms = {
            known: asked * fading
            for known, asked in self._work_ms.items()
            if asked * fading > _FORGOTTEN_MS
        }
        self._work_ms[rank] = self._work_ms.get(rank, 0) + work_ms
        self._faded_at = now

    def part_through(self, rank: Rank) -> float:
        """Returns the part of all work that ranks down to this one ask for."""
        total = sum(self._work_ms.values())
        if not total:
            return 1
        through = sum(
            asked for known, asked in self._work_ms.items() if known <= rank
        )
        return through / total
