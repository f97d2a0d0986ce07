"""The order that shares too little room among ranks and accounts.

It answers the load of callers who compete: one account or one kind of request
that sends many times its usual must not take the turns of the others.

The rank of the account goes before that of the route. Within a rank, accounts
take turns by start-time fair queueing (Goyal et al., SIGCOMM 1996): an account
that costs much work waits until the others have had as much. Within an
account, the request that must begin first goes first. Requests that can no
longer be in time go behind all that can.
"""

from __future__ import annotations

import bisect
import heapq
import typing

from mulberryquay.decisions import ordering

#: A level that waits gets a turn at the latest after this many turns of the
#: other levels and one of each level that waited as long.
MAX_PASSED_TURNS: typing.Final = 8

#: Whether a request is late; whether it is deferrable; ranks of its account
#: and of its route. A lower level goes first.
Level = tuple[bool, bool, int, int]

_Deadline = tuple[float, int]


@typing.final
class _Account:
    """The waiting requests of one account in one level."""

    __slots__ = ('cost_ms', 'requests', 'start')

    def __init__(self, start: float) -> None:
        #: By latest start.
        self.requests: list[_Deadline] = []
        self.cost_ms = 0.0
        #: The work that each account has had when the account's turn begins.
        self.start = start


@typing.final
class _LevelQueue:
    """The waiting requests of one level, by accounts in turn."""

    __slots__ = (
        '_accounts',
        '_resumes_at',
        '_virtual_ms',
        'cost_ms',
        'passed',
        'requests',
    )

    def __init__(self, requests: dict[int, ordering.Waiting]) -> None:
        self.requests = requests
        self._accounts: dict[str, _Account] = {}
        #: When the next turn of an account begins of which none waits now.
        self._resumes_at: dict[str, float] = {}
        self._virtual_ms = 0.0
        self.cost_ms = 0.0
        #: Turns of other levels since the last turn of this one.
        self.passed = 0

    @property
    def is_empty(self) -> bool:
        """Whether no request waits."""
        return not self._accounts

    def add(self, waiting: ordering.Waiting) -> None:
        """Adds a request; an account that was away saved up no turns."""
        account = self._accounts.get(waiting.caller.account)
        if account is None:
            resumes_at = self._resumes_at.pop(waiting.caller.account, 0)
            account = _Account(max(self._virtual_ms, resumes_at))
            self._accounts[waiting.caller.account] = account
        bisect.insort(account.requests, _deadline_of(waiting))
        account.cost_ms += waiting.cost_ms
        self.cost_ms += waiting.cost_ms

    def remove(self, waiting: ordering.Waiting, *, is_served: bool) -> None:
        """Removes a request; one that was served uses up a turn."""
        name = waiting.caller.account
        account = self._accounts[name]
        position = bisect.bisect_left(account.requests, _deadline_of(waiting))
        del account.requests[position]
        account.cost_ms -= waiting.cost_ms
        self.cost_ms -= waiting.cost_ms
        if is_served:
            self._virtual_ms = max(self._virtual_ms, account.start)
            account.start += waiting.cost_ms
        if not account.requests:
            del self._accounts[name]
            self._resumes_at[name] = account.start

    def in_order(self) -> typing.Iterator[ordering.Waiting]:
        """Yields the requests by the turns of their accounts."""
        # Mostly, only the first one is asked for.
        yield self._first()
        turns = [
            (account.start, account.requests[0], name, 0)
            for name, account in self._accounts.items()
        ]
        heapq.heapify(turns)
        is_first = True
        while turns:
            start, (_, number), name, position = turns[0]
            waiting = self.requests[number]
            if not is_first:
                yield waiting
            is_first = False
            position += 1
            queued = self._accounts[name].requests
            if position < len(queued):
                turn = (start + waiting.cost_ms, queued[position])
                heapq.heapreplace(turns, (*turn, name, position))
            else:
                heapq.heappop(turns)

    def last(self) -> ordering.Waiting:
        """Returns the last request of the account with most work waiting."""
        account = max(
            self._accounts.values(), key=lambda queued: queued.cost_ms
        )
        return self.requests[account.requests[-1][1]]

    def work_ahead(self, waiting: ordering.Waiting) -> float:
        """Returns the work that has its turn before that of a request."""
        own = self._accounts.get(waiting.caller.account)
        start = self._virtual_ms
        ahead: float = 0
        if own is not None:
            position = bisect.bisect_left(own.requests, _deadline_of(waiting))
            ahead = sum(
                self.requests[number].cost_ms
                for _, number in own.requests[:position]
            )
            start = own.start
        turn = start + ahead
        for account in self._accounts.values():
            lead = turn - account.start
            if lead > 0 and account is not own:
                ahead += lead if lead < account.cost_ms else account.cost_ms
        return ahead

    def _first(self) -> ordering.Waiting:
        first = min(
            self._accounts.values(),
            key=lambda queued: (queued.start, queued.requests[0]),
        )
        return self.requests[first.requests[0][1]]


@typing.final
class FairOrder:
    """Serves ranks in order, and within a rank accounts in turn."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._waiting: dict[int, ordering.Waiting] = {}
        self._level_of: dict[int, Level] = {}
        self._queues: dict[Level, _LevelQueue] = {}
        #: The levels in which requests wait, the highest first.
        self._levels: list[Level] = []
        self._in_time: list[_Deadline] = []

    def __len__(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    def add(self, waiting: ordering.Waiting) -> None:
        """Adds a request."""
        self._waiting[waiting.number] = waiting
        self._enqueue(waiting, is_late=False)
        heapq.heappush(self._in_time, _deadline_of(waiting))

    def remove(self, number: int) -> None:
        """Removes a request that gave up or that was refused."""
        if self._dequeue(number, is_served=False) is not None:
            self._waiting.pop(number)

    def in_order(self, now: float) -> typing.Iterator[ordering.Waiting]:
        """Yields the requests in the order in which they are to be served."""
        self._move_late(now)
        levels = self._levels
        if any(
            self._queues[level].passed >= MAX_PASSED_TURNS for level in levels
        ):
            levels = sorted(levels, key=self._urgency)
        for level in levels:
            yield from self._queues[level].in_order()

    def serve(self, number: int) -> None:
        """Removes a request that got a target, and counts its cost."""
        served = self._dequeue(number, is_served=True)
        if served is None:
            return
        self._waiting.pop(number)
        for level in self._levels:
            self._queues[level].passed += 1
        if served in self._levels:
            self._queues[served].passed = 0

    def last(self, now: float) -> ordering.Waiting | None:
        """Returns the request to be refused first if too many wait."""
        self._move_late(now)
        if not self._levels:
            return None
        return self._queues[self._levels[-1]].last()

    def work_ahead(self, waiting: ordering.Waiting, now: float) -> float:
        """Returns the work in ms that goes before a request not yet added."""
        self._move_late(now)
        own = _level_of(waiting, is_late=waiting.latest_start < now)
        ahead: float = 0
        for level in self._levels:
            if level < own:
                ahead += self._queues[level].cost_ms
            elif level == own:
                ahead += self._queues[level].work_ahead(waiting)
        return ahead

    def _urgency(self, level: Level) -> tuple[int, Level]:
        """Returns the sort key that puts levels first whose turn is due."""
        passed = self._queues[level].passed
        return (-passed if passed >= MAX_PASSED_TURNS else 0, level)

    def _move_late(self, now: float) -> None:
        """Puts requests that can't be in time any more behind the others."""
        while self._in_time and self._in_time[0][0] < now:
            _, number = heapq.heappop(self._in_time)
            waiting = self._waiting.get(number)
            if waiting is not None:
                self._dequeue(number, is_served=False)
                self._enqueue(waiting, is_late=True)
        if len(self._in_time) > 2 * len(self._waiting) + MAX_PASSED_TURNS:
            self._in_time = [
                deadline
                for deadline in self._in_time
                if deadline[1] in self._waiting
            ]
            heapq.heapify(self._in_time)

    def _enqueue(self, waiting: ordering.Waiting, *, is_late: bool) -> None:
        level = _level_of(waiting, is_late=is_late)
        queue = self._queues.get(level)
        if queue is None:
            queue = _LevelQueue(self._waiting)
            self._queues[level] = queue
            bisect.insort(self._levels, level)
        queue.add(waiting)
        self._level_of[waiting.number] = level

    def _dequeue(self, number: int, *, is_served: bool) -> Level | None:
        """Returns the level in which a request waited, None if in none."""
        level = self._level_of.pop(number, None)
        if level is None:
            return None
        queue = self._queues[level]
        queue.remove(self._waiting[number], is_served=is_served)
        if queue.is_empty:
            del self._queues[level]
            self._levels.remove(level)
        return level


def _level_of(waiting: ordering.Waiting, *, is_late: bool) -> Level:
    return (
        is_late,
        waiting.is_deferrable,
        waiting.caller.rank,
        waiting.rank,
    )


def _deadline_of(waiting: ordering.Waiting) -> _Deadline:
    return waiting.latest_start, waiting.number
