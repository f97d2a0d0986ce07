"""The requests that wait for a target of one service, in their order."""

from __future__ import annotations

import itertools
import math
import typing

from gevent import event

from mulberryquay.decisions import fair_order, ordering
from mulberryquay.entry import competition, outcomes, routing, targets

_Criteria = typing.TypeVar('_Criteria', bound=competition.Criteria)


@typing.final
class Waiter(typing.Generic[_Criteria]):
    """A request that waits for a target."""

    __slots__ = ('criteria', 'excluded', 'granted', 'has_ended', 'waiting')

    def __init__(
        self,
        criteria: _Criteria,
        excluded: frozenset[str],
        waiting: ordering.Waiting,
    ) -> None:
        """``waiting`` is the request as the order sees it."""
        self.criteria = criteria
        self.excluded = excluded
        self.waiting = waiting
        #: Whether it is known if the request began in time.
        self.has_ended = False
        #: Gets the target, None once no target can serve the request, or the
        #: refusal.
        self.granted: event.AsyncResult = event.AsyncResult()

    @property
    def target(self) -> targets.TargetState | None:
        """The target that was granted, None without one."""
        if self.granted.ready() and self.granted.successful():
            return typing.cast(targets.TargetState | None, self.granted.get())
        return None

    def forget(self) -> None:
        """Drops the refusal, which refers to frames that refer to this.

        Only the garbage collector, which runs rarely, would free them.
        """
        self.granted = event.AsyncResult()


@typing.final
class WaitingRequests(typing.Generic[_Criteria]):
    """Waiting requests, from their arrival until they are granted a target."""

    def __init__(self, rivalry: competition.Competition | None) -> None:
        """Starts without requests; with a ``rivalry``, in fair order."""
        self._rivalry = rivalry
        self._order: ordering.Order = ordering.ClassOrder()
        if rivalry is not None:
            self._order = fair_order.FairOrder()
        self._arrival_numbers = itertools.count()
        self._waiters: dict[int, Waiter[_Criteria]] = {}

    def __len__(self) -> int:
        """The number of requests that wait."""
        return len(self._waiters)

    @property
    def ranks(self) -> typing.Iterator[int]:
        """The rank of the account of each request that waits."""
        for waiter in self._waiters.values():
            yield waiter.waiting.caller.rank

    def add(
        self, criteria: _Criteria, excluded: frozenset[str], now: float
    ) -> Waiter[_Criteria]:
        """Adds a request."""
        waiting = self._new_waiting(criteria, now)
        waiter = Waiter(criteria, excluded, waiting)
        self._waiters[waiting.number] = waiter
        self._order.add(waiting)
        return waiter

    def withdraw(self, waiter: Waiter[_Criteria]) -> None:
        """Removes a request that does not wait any more, if it still waits."""
        if self._waiters.pop(waiter.waiting.number, None) is not None:
            self._order.remove(waiter.waiting.number)

    def in_order(self, now: float) -> typing.Iterator[Waiter[_Criteria]]:
        """Yields the requests in the order in which they are to be served.

        Nothing is added, removed or served meanwhile.
        """
        for waiting in self._order.in_order(now):
            yield self._waiters[waiting.number]

    def everything(self) -> list[Waiter[_Criteria]]:
        """Returns all requests that wait."""
        return list(self._waiters.values())

    def refuse_overflow(self, service: routing.Service, now: float) -> None:
        """Refuses the last request if more wait than the service allows."""
        if len(self._waiters) <= service.max_queue:
            return
        last = self._order.last(now)
        if last is not None:
            refusal = outcomes.not_run(
                outcomes.Reason.OVERLOADED,
                f'the queue of service {service.name!r} is full with '
                f'{service.max_queue} requests',
            )
            self.refuse(self._waiters[last.number], refusal)

    def check(
        self,
        waiter: Waiter[_Criteria],
        usable: typing.Sequence[targets.TargetState],
        now: float,
    ) -> float:
        """Returns for how many ms a request may wait before the next check.

        Raises RefusedError for one that won't be answered in time.
        """
        if self._rivalry is None:
            return math.inf
        waiting = waiter.waiting
        if waiting.latest_start < now:
            self._record_end(waiter, is_lost=True)
        ahead = self._order.work_ahead(waiting, now)
        try:
            return self._rivalry.check_wait(
                waiter.criteria, waiting, ahead, usable
            )
        except outcomes.RefusedError:
            self._record_end(waiter, is_lost=True)
            raise

    def serve(
        self,
        waiter: Waiter[_Criteria],
        target: targets.TargetState,
        now: float,
    ) -> None:
        """Grants a target to a request."""
        if self._rivalry is not None:
            self._record_end(waiter, is_lost=False)
            wait_ms = now - waiter.waiting.arrived_at
            self._rivalry.record_wait(waiter.criteria, wait_ms)
        self._waiters.pop(waiter.waiting.number)
        self._order.serve(waiter.waiting.number)
        waiter.granted.set(target)

    def give_up(self, waiter: Waiter[_Criteria]) -> None:
        """Wakes a request that no target can serve any more."""
        self.withdraw(waiter)
        waiter.granted.set(None)

    def refuse(
        self, waiter: Waiter[_Criteria], refusal: outcomes.RefusedError
    ) -> None:
        """Refuses a request."""
        self.withdraw(waiter)
        waiter.granted.set_exception(refusal)

    def _record_end(self, waiter: Waiter[_Criteria], *, is_lost: bool) -> None:
        """Records once whether a request began in time."""
        if self._rivalry is not None and not waiter.has_ended:
            waiter.has_ended = True
            self._rivalry.record_end(
                waiter.criteria, waiter.waiting.number, is_lost=is_lost
            )

    def _new_waiting(self, criteria: _Criteria, now: float) -> ordering.Waiting:
        latest_start = criteria.deadline
        cost: float = 0
        if self._rivalry is not None:
            self._rivalry.record_demand(criteria)
            latest_start = self._rivalry.latest_start(criteria)
            cost = self._rivalry.cost_ms(criteria)
        return ordering.Waiting(
            next(self._arrival_numbers),
            criteria.caller,
            competition.rank_of(criteria.service_class),
            criteria.service_class.deferrable,
            now,
            latest_start,
            cost,
        )
