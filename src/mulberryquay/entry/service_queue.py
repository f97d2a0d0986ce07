"""Grants each request a target with capacity, or queues it up to a limit."""

from __future__ import annotations

import statistics
import typing

import gevent

from mulberryquay.coordination import clock
from mulberryquay.decisions import callers
from mulberryquay.entry import (
    competition,
    outcomes,
    relays,
    routing,
    targets,
    version_choice,
    waiting_requests,
)

#: Longest time that a request waits for a target.
MAX_QUEUE_WAIT_MS: typing.Final = 2000.0

#: Longest time that a request waits for some entry to have a share of a
#: target, unless the entry list is changing.
MAX_SHARE_WAIT_MS: typing.Final = 1000.0

_SHARE_POLL_INTERVAL_MS: typing.Final = 5.0

#: Where requests compete, one that waits is decided again at this interval,
#: by new reports of targets.
_DECISION_INTERVAL_MS: typing.Final = 100.0

Regions = frozenset[str] | None


class TargetCriteria(typing.NamedTuple):
    """What the choice of targets for a request depends on, and its limits."""

    service: routing.Service
    service_class: routing.ServiceClass
    #: Regions that may serve the request, None for all.
    regions: Regions
    #: When the request expires, on the entry's clock.
    deadline: float
    #: Attempts in total, including the first one.
    max_attempts: int = 3
    #: Whether the request may be relayed to another entry.
    may_relay: bool = True
    caller: callers.Caller = callers.ANONYMOUS
    #: What the request needs to be answered in time.
    need: competition.Need = competition.Need()

    @property
    def rank(self) -> tuple[int, int]:
        """The ranks of its account and of its route, 0 for the highest."""
        return self.caller.rank, competition.rank_of(self.service_class)


class Policy(typing.Protocol):
    """Chooses among targets that all have capacity."""

    def choose(
        self,
        candidates: typing.Sequence[targets.TargetState],
        now: float,
    ) -> targets.TargetState:
        """Returns one of ``candidates``, of which there is at least one."""


def _do_nothing() -> None:
    """Does nothing."""


_Waiter = waiting_requests.Waiter[TargetCriteria]


@typing.final
class ServiceQueue:
    """The targets of one service and the requests that wait for them."""

    def __init__(
        self,
        policy: Policy,
        time_source: clock.Clock,
        peers: relays.Relays,
        on_waiting: typing.Callable[[], None] = _do_nothing,
        rivalry: competition.Competition | None = None,
    ) -> None:
        """Starts without targets; calls ``on_waiting`` as a wait begins.

        With a ``rivalry``, requests are served in fair order, and refused
        when they won't be in time.
        """
        self._relays = peers
        self._on_waiting = on_waiting
        self.targets: dict[str, targets.TargetState] = {}
        #: Divides requests between versions while a roll-out runs.
        self.versions: version_choice.VersionChoice | None = None
        self._policy = policy
        self._clock = time_source
        self._rivalry = rivalry
        self._waiting: waiting_requests.WaitingRequests[TargetCriteria] = (
            waiting_requests.WaitingRequests(rivalry)
        )

    @property
    def waiting_count(self) -> int:
        """The number of requests that wait for a target."""
        return len(self._waiting)

    @property
    def waiting_ranks(self) -> typing.Iterator[int]:
        """The rank of the account of each request that waits."""
        return self._waiting.ranks

    @property
    def usual_latency_ms(self) -> float:
        """The median of the targets' usual latencies, 0 if none is known."""
        known = [
            target.baseline_latency_ms
            for target in self.targets.values()
            if target.baseline_latency_ms
        ]
        return statistics.median(known) if known else 0

    def acquire(
        self,
        criteria: TargetCriteria,
        excluded: frozenset[str],
        refresh: typing.Callable[[], None] = _do_nothing,
    ) -> targets.TargetState:
        """Returns a target and counts the call as in flight there.

        Waits for capacity until the deadline. Raises RefusedError (not-run)
        with the reason ``no-target``, ``overloaded``, ``queue-timeout`` or
        ``wont-be-in-time``. Calls ``refresh`` for new reports of targets
        while requests compete.
        """
        if self.versions is not None and not excluded:
            self.versions.count_request()
        if self._rivalry is not None:
            self._rivalry.check_time(criteria)
        if not self._waiting:
            target = self._choose_target(criteria, excluded)
            if target is not None:
                self._begin_call(target)
                if self._rivalry is not None:
                    self._rivalry.record_room(criteria)
                return target
        started = self._clock.now()
        while True:
            if self._has_usable_target(criteria, excluded):
                target = self._wait(criteria, excluded, refresh)
            else:
                target = self._choose_peer(criteria, excluded)
            if target is not None:
                return target
            if self._clock.now() >= self._share_wait_end(started, criteria):
                raise _no_target_error(criteria)
            self._clock.sleep(_SHARE_POLL_INTERVAL_MS)

    def eligible_targets(
        self,
        criteria: TargetCriteria,
        excluded: frozenset[str],
    ) -> list[targets.TargetState]:
        """Returns the targets that have capacity and are not suspended."""
        now = self._clock.now()
        return [
            target
            for target in self.targets.values()
            if target.has_capacity_at(now)
            and target.suspended_until <= now
            and _is_allowed(target, criteria.regions, excluded)
        ]

    def release(self, target: targets.TargetState) -> None:
        """Counts the end of a call on a target and serves waiting requests."""
        target.in_flight -= 1
        if self._waiting:
            self.serve_waiting()

    def serve_waiting(self) -> None:
        """Grants targets to waiting requests, in their order."""
        granted: list[tuple[_Waiter, targets.TargetState]] = []
        for waiter in self._waiting.in_order(self._clock.now()):
            if not self._has_capacity():
                break
            target = self._choose_target(waiter.criteria, waiter.excluded)
            if target is not None:
                self._begin_call(target)
                granted.append((waiter, target))
        for served, chosen in granted:
            self._waiting.serve(served, chosen, self._clock.now())

    def adapt_to_limits(self) -> None:
        """Wakes and serves waiting requests after limits have changed."""
        if self._waiting:
            self.wake_unservable()
            self.serve_waiting()

    def refuse_waiting(self, refusal: outcomes.RefusedError) -> None:
        """Refuses all requests that wait for a target."""
        for waiter in self._waiting.everything():
            self._waiting.refuse(waiter, refusal)

    def wake_unservable(self) -> None:
        """Wakes waiting requests that no target can serve any more."""
        for waiter in self._waiting.everything():
            if not self._has_usable_target(waiter.criteria, waiter.excluded):
                self._waiting.give_up(waiter)

    def record_result(
        self,
        criteria: TargetCriteria,
        target: targets.TargetState,
        result: outcomes.AttemptResult,
        *,
        load: float | None,
        duration: float,
    ) -> None:
        """Learns from the end of an attempt on a target with some load."""
        if self._rivalry is not None:
            self._rivalry.record_result(
                criteria, target, result, load=load, duration=duration
            )

    def _share_wait_end(
        self, started: float, criteria: TargetCriteria
    ) -> float:
        """Returns until when a request waits for a share of a target.

        All shares can be 0 while the entry list is changing, which takes as
        long as the slowest entry needs to confirm it. An entry that has left
        the list gets none, so that a request relayed to it must go elsewhere.
        """
        if not criteria.may_relay and not self._relays.is_listed:
            return started
        longest = MAX_SHARE_WAIT_MS
        if self._relays.is_list_changing:
            longest = MAX_QUEUE_WAIT_MS
        return min(started + longest, criteria.deadline)

    def _begin_call(self, target: targets.TargetState) -> None:
        target.begin_call()
        if self.versions is not None:
            self.versions.record_sent(target)

    def _has_capacity(self) -> bool:
        versions = self.versions
        return any(
            target.has_capacity
            for target in self.targets.values()
            if versions is None or versions.may_get(target)
        )

    def _choose_target(
        self,
        criteria: TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        """Returns a target in the nearest tier that has capacity, if any.

        A policy with ``spans_tiers`` chooses among the targets of all tiers.
        """
        now = self._clock.now()
        with_capacity = [
            target
            for target in self.targets.values()
            if target.has_capacity_at(now)
        ]
        if criteria.regions is not None or excluded:
            with_capacity = [
                target
                for target in with_capacity
                if _is_allowed(target, criteria.regions, excluded)
            ]
        if self.versions is not None:
            with_capacity = self.versions.narrow(
                with_capacity, now, is_retry=bool(excluded)
            )
        candidates = [
            target for target in with_capacity if target.suspended_until <= now
        ]
        if not candidates:
            # All of them are suspended, but one may have recovered.
            candidates = with_capacity
        if self._rivalry is not None:
            candidates = self._rivalry.with_room(
                candidates, criteria, criteria.rank
            )
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

    def _has_usable_target(
        self,
        criteria: TargetCriteria,
        excluded: frozenset[str],
    ) -> bool:
        return any(
            target.limit and _is_allowed(target, criteria.regions, excluded)
            for target in self.targets.values()
        )

    def _choose_peer(
        self,
        criteria: TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        """Returns an entry that has a share of a target, if any.

        The call is counted as in flight there. Raises RefusedError if there
        is no such target either.
        """
        shared_targets = [
            target
            for target in self.targets.values()
            if target.is_relay_only
            and _is_allowed(target, criteria.regions, excluded)
        ]
        if not shared_targets:
            raise _no_target_error(criteria)
        if not criteria.may_relay:
            return None
        peer = self._relays.find(shared_targets, criteria.regions, excluded)
        if peer is not None:
            peer.begin_call()
        return peer

    def _wait(
        self,
        criteria: TargetCriteria,
        excluded: frozenset[str],
        refresh: typing.Callable[[], None],
    ) -> targets.TargetState | None:
        """Returns a target, or None once no target can serve the request."""
        now = self._clock.now()
        waiter = self._waiting.add(criteria, excluded, now)
        try:
            self._waiting.refuse_overflow(criteria.service, now)
            self._on_waiting()
            # A free target may be one that the earlier waiters may not use.
            self.serve_waiting()
            self._wait_until_granted(waiter, refresh)
        except gevent.Timeout:
            if waiter.granted.ready() and waiter.granted.successful():
                return waiter.target
            raise outcomes.not_run(
                outcomes.Reason.QUEUE_TIMEOUT,
                'no target had capacity in time',
            ) from None
        except BaseException as error:
            if waiter.target is not None:
                # The request ends, but a target was just granted to it.
                self.release(waiter.target)
            waiter.forget()
            if isinstance(error, outcomes.RefusedError):
                # The frames so far refer to the refusal.
                raise error.with_traceback(None)
            raise
        finally:
            self._waiting.withdraw(waiter)
        return waiter.target

    def _wait_until_granted(
        self, waiter: _Waiter, refresh: typing.Callable[[], None]
    ) -> None:
        """Waits; raises RefusedError, and Timeout once the wait is over."""
        now = self._clock.now()
        end = min(waiter.criteria.deadline, now + MAX_QUEUE_WAIT_MS)
        while self._rivalry is not None and not waiter.granted.ready():
            usable = self._usable_targets(waiter.criteria, waiter.excluded)
            until_ms = self._waiting.check(waiter, usable, now)
            if now >= end:
                break
            pause = min(until_ms, _DECISION_INTERVAL_MS, end - now)
            waiter.granted.wait(pause / clock.MS_PER_SECOND)
            if not waiter.granted.ready():
                refresh()
            now = self._clock.now()
        waiter.granted.get(timeout=max(0, end - now) / clock.MS_PER_SECOND)

    def _usable_targets(
        self, criteria: TargetCriteria, excluded: frozenset[str]
    ) -> list[targets.TargetState]:
        return [
            target
            for target in self.targets.values()
            if target.limit and _is_allowed(target, criteria.regions, excluded)
        ]


def _no_target_error(criteria: TargetCriteria) -> outcomes.RefusedError:
    return outcomes.not_run(
        outcomes.Reason.NO_TARGET,
        f'service {criteria.service.name!r} has no target that may serve this '
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
