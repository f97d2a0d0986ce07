"""What an entry knows for requests that compete for the room of a service.

The decisions are in `decisions.fair_order`, `decisions.refusal` and
`decisions.room`; this gives them what the answers and reports of targets tell.
Load reports count the calls of all entries, so an entry that sees few
requests decides by what all have sent.
"""

from __future__ import annotations

import math
import random
import statistics
import typing

from mulberryquay.coordination import clock, shares
from mulberryquay.decisions import callers, ordering, refusal, room
from mulberryquay.entry import outcomes, routing, targets

#: Reports older than this tell nothing of the load of a service.
_MAX_REPORT_AGE_MS: typing.Final = 1000.0

#: Weight of a time limit that is shorter than the longest one seen.
_SHORTENING_WEIGHT: typing.Final = 0.001

_ALL_SLOTS: typing.Final = 1.0

#: A request that became late counts with this many times the wait that would
#: have been in time.
_LATE_WAIT_FACTOR: typing.Final = 1.5

_MAX_CLASS_VALUE: typing.Final = 100


class Criteria(typing.Protocol):
    """What the decisions read of a request."""

    @property
    def service_class(self) -> routing.ServiceClass:
        """The class of its route."""

    @property
    def caller(self) -> callers.Caller:
        """Who sent it."""

    @property
    def deadline(self) -> float:
        """When it expires, on the entry's clock."""

    @property
    def may_relay(self) -> bool:
        """Whether it came from its caller and not from another entry."""

    @property
    def need(self) -> Need:
        """What it needs to be answered in time."""


class Need(typing.NamedTuple):
    """What a request needs to be answered in time."""

    #: Requests of one kind take a similar time.
    kind: str = ''
    #: When it arrived, on the entry's clock.
    arrived_at: float = 0
    #: Latency objective; 0 for none.
    objective_ms: float = 0


Targets = typing.Sequence[targets.TargetState]


def _ignore_refusal(_waited: float) -> None:
    """Ignores that a request is refused."""


def rank_of(service_class: routing.ServiceClass) -> int:
    """Returns the rank of a route of this class, 0 for the highest."""
    return _MAX_CLASS_VALUE - service_class.value


@typing.final
class Competition:
    """The competition for the targets of one service at one entry."""

    def __init__(
        self,
        share_view: shares.ShareView,
        time_source: clock.Clock,
        rng: random.Random,
        on_refused: typing.Callable[[float], None] = _ignore_refusal,
    ) -> None:
        """Starts without knowledge.

        Calls ``on_refused`` with the time for which each refused request
        waited.
        """
        self._share_view = share_view
        self._clock = time_source
        self._rng = rng
        self._on_refused = on_refused
        self._times = room.WorkTimes()
        self._room = room.Room(time_source.now())
        self._waits: dict[tuple[int, int], refusal.Waits] = {}
        #: The longest time that callers wait for a kind of request.
        self._longest_ms: dict[str, float] = {}
        self._demand = room.Demand()

    def record_demand(self, criteria: Criteria) -> None:
        """Records the work that a request asks for."""
        self._demand.record(
            (criteria.caller.rank, rank_of(criteria.service_class)),
            self.cost_ms(criteria),
            self._clock.now(),
        )

    def latest_start(self, criteria: Criteria) -> float:
        """Returns when a request must begin to reach its objective."""
        end = criteria.deadline
        need = criteria.need
        if need.objective_ms:
            end = min(end, need.arrived_at + need.objective_ms)
        return end - self._times.usual(need.kind).mean_ms

    def cost_ms(self, criteria: Criteria) -> float:
        """Returns the work that a request is expected to cost."""
        return self._times.usual(criteria.need.kind).mean_ms

    def with_room(
        self,
        candidates: Targets,
        criteria: Criteria,
        rank: tuple[int, int],
    ) -> list[targets.TargetState]:
        """Returns the targets that bear another call of this ``rank``."""
        now = self._clock.now()
        limit = self._limit(criteria, rank, now)
        usual = _usual_load(candidates, now)
        return [
            target
            for target in candidates
            if _has_room(target, limit, target.load(now, usual))
        ]

    def check_time(self, criteria: Criteria) -> None:
        """Refuses a request that no target has ever answered so quickly."""
        least = self._times.usual(criteria.need.kind).least_ms
        left = criteria.deadline - self._clock.now()
        if left >= least:
            return
        self._on_refused(self._clock.now() - criteria.need.arrived_at)
        raise outcomes.not_run(
            outcomes.Reason.WONT_BE_IN_TIME,
            f'got {max(0, left):.0f} ms for a request that takes '
            f'{least:.0f} ms or more',
            retry_after_s=_in_seconds(max(left, refusal.MIN_RETURN_MS)),
        )

    def record_room(self, criteria: Criteria) -> None:
        """Records a request that found room at once."""
        self.record_demand(criteria)
        number = self._rng.randrange(refusal.PATIENT_INTERVAL)
        self.record_end(criteria, number, is_lost=False)

    def record_end(
        self, criteria: Criteria, number: int, *, is_lost: bool
    ) -> None:
        """Records whether a request began in time.

        While requests compete, only patient ones tell whether waiting is in
        vain; the others are refused without a try.
        """
        now = self._clock.now()
        waits = self._waits_of(criteria)
        if _is_patient(number) or not waits.is_contended(now):
            waits.record_end(now, is_lost=is_lost)

    def record_wait(self, criteria: Criteria, wait_ms: float) -> None:
        """Records the wait of a request that got a target.

        One that became late went behind the others, so that the rest of its
        wait tells nothing of them.
        """
        now = self._clock.now()
        in_time_ms = self.latest_start(criteria) - (now - wait_ms)
        longest_ms = max(0.0, in_time_ms) * _LATE_WAIT_FACTOR
        self._waits_of(criteria).record_wait(min(wait_ms, longest_ms), now)

    def check_wait(
        self,
        criteria: Criteria,
        waiting: ordering.Waiting,
        work_ahead: float,
        usable: Targets,
    ) -> float:
        """Returns for how many ms a request may wait before the next check.

        Raises RefusedError for one that won't be answered in time.
        """
        now = self._clock.now()
        known = self._times.usual(criteria.need.kind)
        waits = self._waits_of(criteria)
        left = criteria.deadline - now
        newest = max((target.reported_at for target in usable), default=0)
        decision = refusal.decide(
            refusal.Prospect(
                work_ahead,
                self._own_room(usable, now),
                known.mean_ms,
                known.deviation_ms,
                waits.expected_ms(now),
                left,
                criteria.need.objective_ms,
                criteria.need.arrived_at + criteria.need.objective_ms - now,
                now - waiting.arrived_at,
                _is_patient(waiting.number),
                waits.is_contended(now),
                self._is_hasty(criteria),
                now - newest,
            ),
            self._rng,
        )
        match decision:
            case refusal.Wait(until_ms):
                return until_ms
            case refusal.Refuse(expected_wait_ms, retry_after_ms):
                waited = now - criteria.need.arrived_at
                self._on_refused(waited)
                raise outcomes.not_run(
                    outcomes.Reason.WONT_BE_IN_TIME,
                    f'a target is expected in {expected_wait_ms:.0f} ms, the '
                    f'deadline is in {left:.0f} ms',
                    retry_after_s=_in_seconds(retry_after_ms),
                )

    def record_result(
        self,
        criteria: Criteria,
        target: targets.TargetState,
        result: outcomes.AttemptResult,
        *,
        load: float | None,
        duration: float,
    ) -> None:
        """Learns from the end of an attempt.

        ``load`` is what a fresh report told as it began, in calls per slot
        with this one; None without such a report of a host of usual speed. On
        slow hosts calls pile up, which would look as if calls made them slow.
        """
        if target.is_peer:
            return
        now = self._clock.now()
        match result:
            case outcomes.Received(head) if head.status < _FIRST_FAILURE_STATUS:
                kind = criteria.need.kind
                self._times.record(kind, duration)
                is_usual = target.slowness <= targets.MAX_USUAL_SLOWNESS
                if load is not None and is_usual:
                    self._room.record_answer(
                        room.Answer(
                            kind,
                            load,
                            duration,
                            not self._waits_of(criteria).is_contended(now),
                        ),
                        now,
                    )
            case outcomes.Shed(outcomes.Reason.TARGET_SHED):
                self._room.record_shed(now)

    def _is_hasty(self, criteria: Criteria) -> bool:
        """Whether the caller returned sooner than any is told to."""
        if not criteria.may_relay:
            return False
        need = criteria.need
        given_ms = criteria.deadline - need.arrived_at
        longest_ms = self._longest_ms.get(need.kind, 0.0)
        longest_ms += (given_ms - longest_ms) * _SHORTENING_WEIGHT
        self._longest_ms[need.kind] = max(longest_ms, given_ms)
        return refusal.is_hasty(
            age_ms=longest_ms - given_ms, objective_ms=need.objective_ms
        )

    def _waits_of(self, criteria: Criteria) -> refusal.Waits:
        """Returns the measured waits of the requests of one rank."""
        rank = (criteria.caller.rank, rank_of(criteria.service_class))
        return self._waits.setdefault(rank, refusal.Waits())

    def _limit(
        self, criteria: Criteria, rank: tuple[int, int], now: float
    ) -> float:
        """Returns the calls per slot up to which a request may fill targets.

        The slots above the limit are for the ranks that need no more than
        these; a request that is late leaves a step to those in time.
        """
        limit = self._room.limit(now)
        if self.latest_start(criteria) < now:
            return limit - room.STEP
        if self._demand.part_through(rank) <= _ALL_SLOTS - limit:
            return _ALL_SLOTS
        return limit

    def _own_room(self, usable: Targets, now: float) -> float:
        """Returns this entry's part of the calls that targets bear."""
        limit = self._room.limit(now)
        in_service = [
            target for target in usable if target.suspended_until <= now
        ]
        slots = sum(target.row.slots for target in in_service or usable)
        return slots * limit / self._share_view.member_count


_FIRST_FAILURE_STATUS: typing.Final = 300


def _usual_load(known: Targets, now: float) -> float:
    """Returns the calls per slot of a target without a recent report."""
    recent = [
        target.reported_load
        for target in known
        if now - target.reported_at <= _MAX_REPORT_AGE_MS
    ]
    return statistics.fmean(recent) if recent else 0


def _has_room(target: targets.TargetState, limit: float, load: float) -> bool:
    """Whether one call more stays within the limit; one always does."""
    calls = max(1, math.floor(limit * target.row.slots))
    return load * target.row.slots < calls - 1 / 2


def _is_patient(number: int) -> bool:
    return number % refusal.PATIENT_INTERVAL == 0


def _in_seconds(duration: float) -> float:
    return duration / clock.MS_PER_SECOND
