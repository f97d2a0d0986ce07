"""Grants each request a target with room, or a place in a bounded queue."""

from __future__ import annotations

import heapq
import itertools
import typing

import gevent
from gevent import event

from mulberryquay.coordination import clock
from mulberryquay.entry import outcomes, relays, routing, targets

#: A request waits this long for a target at the most.
MAX_QUEUE_MS: typing.Final = 2000.0

#: A request waits this long for a share of a cold target at the most.
MAX_SHARE_WAIT_MS: typing.Final = 1000.0

_SHARE_POLL_MS: typing.Final = 5.0

Regions = frozenset[str] | None


class TargetCriteria(typing.NamedTuple):
    """What a request asks of the balancer."""

    service: routing.Service
    service_class: routing.ServiceClass
    #: Regions that may serve the request, None for all.
    regions: Regions
    #: When the request is of no more use, on the entry's clock.
    deadline: float
    #: Tries in all, the first one included.
    max_attempts: int = 3
    #: Whether another entry may be asked to serve the request.
    may_relay: bool = True


class Policy(typing.Protocol):
    """Chooses among targets that all have room."""

    def choose(
        self,
        candidates: typing.Sequence[targets.TargetState],
        now: float,
    ) -> targets.TargetState:
        """Returns one of ``candidates``, which is never empty."""


@typing.final
class _Waiter:
    """A request that waits for a target."""

    __slots__ = ('demand', 'excluded', 'granted', 'is_over')

    def __init__(
        self, demand: TargetCriteria, excluded: frozenset[str]
    ) -> None:
        self.demand = demand
        self.excluded = excluded
        self.granted: event.AsyncResult = event.AsyncResult()
        self.is_over = False


_Place = tuple[bool, int, int, _Waiter]


@typing.final
class ServiceQueue:
    """The targets of one service and the requests that wait for them."""

    def __init__(
        self,
        policy: Policy,
        time_source: clock.Clock,
        peers: relays.Relays,
    ) -> None:
        """Starts without targets."""
        self._relays = peers
        self.targets: dict[str, targets.TargetState] = {}
        self._policy = policy
        self._clock = time_source
        self._waiting: list[_Place] = []
        self._waiting_count = 0
        self._order = itertools.count()

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a target now."""
        return self._waiting_count

    def acquire(
        self,
        demand: TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState:
        """Returns a target with its in-flight count raised.

        Waits for room until the deadline; raises RefusedError (not-run)
        with the reason ``no-target``, ``overloaded`` or ``queue-timeout``.
        """
        if not self._waiting_count:
            target = self._find(demand, excluded)
            if target is not None:
                target.enter()
                return target
        started = self._clock.now()
        while True:
            if self._is_possible(demand, excluded):
                target = self._wait(demand, excluded)
            else:
                target = self._find_peer(demand, excluded)
            if target is not None:
                return target
            # Every share may be void while the entry list changes.
            waited = self._clock.now() - started
            if waited > MAX_SHARE_WAIT_MS:
                raise _no_target(demand)
            self._clock.sleep(_SHARE_POLL_MS)

    def eligible_targets(
        self,
        demand: TargetCriteria,
        excluded: frozenset[str],
    ) -> list[targets.TargetState]:
        """Returns the targets among which `acquire` would choose now."""
        now = self._clock.now()
        return [
            target
            for target in self.targets.values()
            if target.has_room_at(now)
            and target.suspended_until <= now
            and _is_allowed(target, demand.regions, excluded)
        ]

    def release(self, target: targets.TargetState) -> None:
        """Ends a call on a target and serves those who wait."""
        target.in_flight -= 1
        if self._waiting_count:
            self.serve_waiting()

    def serve_waiting(self) -> None:
        """Grants targets with room to waiting requests, most valued first."""
        passed: list[_Place] = []
        while self._waiting and self._has_room():
            place = heapq.heappop(self._waiting)
            waiter = place[-1]
            if waiter.is_over:
                continue
            target = self._find(waiter.demand, waiter.excluded)
            if target is None:
                passed.append(place)
                continue
            target.enter()
            self._end(waiter)
            waiter.granted.set(target)
        for skipped in passed:
            heapq.heappush(self._waiting, skipped)

    def send_on_waiting(self) -> None:
        """Wakes the requests that no target here may serve any more."""
        for place in self._waiting:
            waiter = place[-1]
            if waiter.is_over:
                continue
            if not self._is_possible(waiter.demand, waiter.excluded):
                self._end(waiter)
                waiter.granted.set(None)
        self._waiting = [
            place for place in self._waiting if not place[-1].is_over
        ]
        heapq.heapify(self._waiting)

    def _has_room(self) -> bool:
        return any(target.has_capacity for target in self.targets.values())

    def _find(
        self,
        demand: TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        """Chooses in the nearest tier that has a target with room."""
        now = self._clock.now()
        with_room = [
            target
            for target in self.targets.values()
            if target.has_room_at(now)
        ]
        if demand.regions is not None or excluded:
            with_room = [
                target
                for target in with_room
                if _is_allowed(target, demand.regions, excluded)
            ]
        candidates = [
            target for target in with_room if target.suspended_until <= now
        ]
        if not candidates:
            # All that are left failed just now; one of them may be back.
            candidates = with_room
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        if getattr(self._policy, 'spans_tiers', False):
            return self._policy.choose(candidates, now)
        nearest = min([target.tier for target in candidates])
        return self._policy.choose(
            [target for target in candidates if target.tier == nearest],
            now,
        )

    def _is_possible(
        self,
        demand: TargetCriteria,
        excluded: frozenset[str],
    ) -> bool:
        return any(
            target.limit and _is_allowed(target, demand.regions, excluded)
            for target in self.targets.values()
        )

    def _find_peer(
        self,
        demand: TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        """Returns an entry that has a share of a cold target, if any.

        Its in-flight count is raised. Raises RefusedError if no target is
        cold either.
        """
        cold_rows = [
            target.row
            for target in self.targets.values()
            if target.is_shared_out
            and _is_allowed(target, demand.regions, excluded)
        ]
        if not cold_rows:
            raise _no_target(demand)
        if not demand.may_relay:
            return None
        peer = self._relays.find(cold_rows, demand.regions, excluded)
        if peer is not None:
            peer.enter()
        return peer

    def _wait(
        self,
        demand: TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        """Returns a target, or None if there is none to wait for any more."""
        if self._waiting_count >= demand.service.max_queue:
            self._make_place(demand)
        waiter = _Waiter(demand, excluded)
        heapq.heappush(self._waiting, self._place_of(waiter))
        self._waiting_count += 1
        # Those who wait already may not be allowed what is free.
        self.serve_waiting()
        remaining = min(demand.deadline - self._clock.now(), MAX_QUEUE_MS)
        try:
            granted = waiter.granted.get(
                timeout=max(0, remaining) / clock.MS_PER_SECOND,
            )
        except gevent.Timeout:
            if waiter.granted.ready() and waiter.granted.successful():
                return _granted_to(waiter)
            raise outcomes.not_run(
                outcomes.Reason.QUEUE_TIMEOUT,
                'no target had room in time',
            ) from None
        except BaseException:
            self._give_back(waiter)
            raise
        finally:
            self._end(waiter)
        return typing.cast(targets.TargetState | None, granted)

    def _place_of(self, waiter: _Waiter) -> _Place:
        service_class = waiter.demand.service_class
        return (
            service_class.deferrable,
            -service_class.value,
            next(self._order),
            waiter,
        )

    def _make_place(self, demand: TargetCriteria) -> None:
        """Refuses the least valued waiter, or the newcomer if it is that."""
        live = [place for place in self._waiting if not place[-1].is_over]
        service_class = demand.service_class
        newcomer = (service_class.deferrable, -service_class.value)
        refusal = outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            f'service {demand.service.name!r} has its full queue of '
            f'{demand.service.max_queue} requests',
        )
        self._waiting = live
        heapq.heapify(self._waiting)
        if not live or max(live)[:2] <= newcomer:
            raise refusal
        last = max(live)[-1]
        self._end(last)
        last.granted.set_exception(refusal)

    def _give_back(self, waiter: _Waiter) -> None:
        """Returns a target that was granted to a greenlet that is killed."""
        if waiter.granted.ready() and waiter.granted.successful():
            target = _granted_to(waiter)
            if target is not None:
                self.release(target)

    def _end(self, waiter: _Waiter) -> None:
        if not waiter.is_over:
            waiter.is_over = True
            self._waiting_count -= 1


def _granted_to(waiter: _Waiter) -> targets.TargetState | None:
    return typing.cast(targets.TargetState | None, waiter.granted.get())


def _no_target(demand: TargetCriteria) -> outcomes.RefusedError:
    return outcomes.not_run(
        outcomes.Reason.NO_TARGET,
        f'service {demand.service.name!r} has no target that may serve this '
        'request now',
    )


def _is_allowed(
    target: targets.TargetState,
    regions: Regions,
    excluded: frozenset[str],
) -> bool:
    if target.row.name in excluded:
        return False
    return regions is None or target.row.region in regions
