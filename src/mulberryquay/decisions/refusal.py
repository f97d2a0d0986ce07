"""Whether a request that finds no room waits or is refused, and until when.

It answers the load of more requests than targets can serve: one that can't be
answered before its deadline is told so as soon as that is known, with the time
at which room is expected for it, instead of being held to its end.
"""

from __future__ import annotations

import dataclasses
import math
import random
import typing

#: Of what was known a second ago, 1/e counts: hosts and demand change within
#: seconds.
KNOWLEDGE_DECAY_MS: typing.Final = 1000.0

#: Callers that are told the same moment come back spread over this part of
#: the time until then.
RETURN_SPREAD: typing.Final = 0.3

#: Part of the remaining time that a caller is asked to wait at most, so that
#: there is time for its request when it comes back.
MAX_RETURN_PART: typing.Final = 1 / 3

#: A caller that returns within this part of its objective was not told to.
_HASTY_PART: typing.Final = 1 / 4
_LEAST_AGE_MS: typing.Final = 2.0

#: Earliest return; room isn't known more finely.
MIN_RETURN_MS: typing.Final = 50.0


#: While requests compete, one waits at most this part of its objective. Short
#: waits serve more of them in time, as in CoDel, and those that are refused
#: learn it while they have time to come back.
CONTENDED_WAIT_PART: typing.Final = 1 / 8

#: Weight of the newest request in what was measured.
_WEIGHT: typing.Final = 0.2

#: Above this part of requests that are late or refused, targets are kept busy
#: by requests that can be in time, and one that would be late takes their
#: place.
_CONTENDED_PART: typing.Final = 0.1

#: Without requests that show it, contention is forgotten in this time.
_CONTENTION_DECAY_MS: typing.Final = 5000.0

#: While requests compete, one in this many may wait until its objective. It
#: shows whether waiting is in vain.
PATIENT_INTERVAL: typing.Final = 8


@typing.final
class Waits:
    """The measured waits of the requests of one rank."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._wait_ms = 0.0
        self._served_at = -math.inf
        self._lost_part = 0.0
        self._ended_at = -math.inf

    def record_wait(self, wait_ms: float, now: float) -> None:
        """Records the wait of a request that got a target."""
        self._wait_ms = _average(self.expected_ms(now), wait_ms)
        self._served_at = now

    def record_end(self, now: float, *, is_lost: bool) -> None:
        """Records whether a request that could wait was late or refused."""
        self._lost_part = _average(self._lost(now), is_lost)
        self._ended_at = now

    def expected_ms(self, now: float) -> float:
        """Returns the wait to expect; what was measured fades."""
        age = now - self._served_at
        return self._wait_ms * math.exp(-age / KNOWLEDGE_DECAY_MS)

    def is_contended(self, now: float) -> bool:
        """Whether many requests wait in vain."""
        return self._lost(now) > _CONTENDED_PART

    def _lost(self, now: float) -> float:
        age = now - self._ended_at
        return self._lost_part * math.exp(-age / _CONTENTION_DECAY_MS)


class Prospect(typing.NamedTuple):
    """What is known of a request that finds no target with room now."""

    #: Work of the requests that go before it at this entry, in ms.
    work_ahead_ms: float
    #: Calls that this entry may have at targets at once: its part of the room
    #: of all targets that may serve the request.
    room: float
    #: Usual time of such a request at a target, and its usual deviation; 0
    #: while unknown.
    work_ms: float
    deviation_ms: float
    #: Wait of such requests, as measured of late.
    measured_wait_ms: float
    #: Time until the deadline.
    left_ms: float
    #: Latency objective, 0 for none, and the time until it is missed.
    objective_ms: float
    objective_left_ms: float
    #: Time since the request began to wait.
    waited_ms: float
    #: Whether it may wait until its objective in any case.
    is_patient: bool
    #: Whether other requests that can still be in time need the room.
    is_contended: bool
    #: Whether its caller came back sooner than any caller is told to.
    is_hasty: bool
    #: Age of the newest knowledge of the room.
    knowledge_age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request may wait; ``until_ms`` from now it is decided again."""

    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request can't be answered in time."""

    expected_wait_ms: float
    retry_after_ms: float


Decision = Wait | Refuse


def _average(known: float, newest: float) -> float:
    return known + _WEIGHT * (newest - known)


def expected_wait_ms(prospect: Prospect) -> float:
    """Returns how long the request is expected to wait for a target.

    Each of the entry's calls in the room ends once in the time of a request.
    """
    if prospect.room <= 0:
        return math.inf
    turn_ms = (prospect.work_ahead_ms + prospect.work_ms) / prospect.room
    return max(turn_ms, prospect.measured_wait_ms)


def decide(prospect: Prospect, rng: random.Random) -> Decision:
    """Returns whether a request without a target waits or is refused.

    While others that can be in time need the room, it is refused if it would
    be late, and waits for the first moments only.

    What is known counts less with its age, so that an entry that was
    cut off or has just started doesn't refuse by guess.
    """
    certainty = math.exp(-prospect.knowledge_age_ms / KNOWLEDGE_DECAY_MS)
    shortest_ms = max(0.0, prospect.work_ms - prospect.deviation_ms)
    slack_ms = prospect.left_ms - shortest_ms
    patience_ms = slack_ms
    if prospect.is_contended and prospect.objective_ms:
        slack_ms = min(slack_ms, prospect.objective_left_ms - shortest_ms)
        patience_ms = slack_ms
        if not prospect.is_patient:
            longest_ms = prospect.objective_ms * CONTENDED_WAIT_PART
            patience_ms = min(slack_ms, longest_ms - prospect.waited_ms)
        if prospect.is_hasty:
            patience_ms = 0
    wait_ms = expected_wait_ms(prospect)
    is_hopeless = certainty > 0 and wait_ms * certainty > slack_ms
    if patience_ms > 0 and not is_hopeless:
        return Wait(patience_ms)
    return Refuse(wait_ms, _return_ms(prospect, wait_ms, rng))


def is_hasty(*, age_ms: float, objective_ms: float) -> bool:
    """Whether a request of this age returned sooner than it was told to.

    The age is known from the time that its caller still waits.
    """
    return _LEAST_AGE_MS < age_ms < objective_ms * _HASTY_PART


def _return_ms(prospect: Prospect, wait_ms: float, rng: random.Random) -> float:
    """Returns when to come back: with room expected, and while of use.

    While requests compete, that is as late as the request can still be in
    time, if that is not over.
    """
    latest_ms = prospect.left_ms * MAX_RETURN_PART
    if prospect.is_contended and prospect.objective_ms:
        next_wait_ms = prospect.objective_ms * CONTENDED_WAIT_PART
        of_use_ms = prospect.objective_left_ms - next_wait_ms - prospect.work_ms
        if of_use_ms > MIN_RETURN_MS:
            latest_ms = min(latest_ms, of_use_ms)
        wait_ms = latest_ms
    spread = 1 - RETURN_SPREAD * rng.random()
    return max(MIN_RETURN_MS, min(wait_ms, latest_ms) * spread)
