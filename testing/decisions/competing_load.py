"""Plays callers who compete for targets against the decisions, without gevent.

Entries have the decisions and the target states of the product; targets are a
few slots and a short queue. Time is a manual clock.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from mulberryquay.coordination import clock, shares
from mulberryquay.decisions import callers
from mulberryquay.entry import (
    competition,
    dialect,
    http_heads,
    outcomes,
    routing,
    service_queue,
    targets,
    waiting_requests,
)
from mulberryquay.entry.policies import expected_time
from testing import fixtures

ENTRIES: typing.Final = 8
TARGETS: typing.Final = 24
SLOTS: typing.Final = 4

_TARGET_QUEUE: typing.Final = 4
_CONTENTION: typing.Final = 0.8
_CONTENTION_FACTOR: typing.Final = 1.6
_PROBED: typing.Final = 6
_ONE_WAY_MS: typing.Final = 0.5
_DECISION_MS: typing.Final = 100.0
_MAX_ATTEMPTS: typing.Final = 2
_LOAD_LIMIT: typing.Final = 2.0
_OWN_LIMIT: typing.Final = 4
_HONOURED_PART: typing.Final = 1 / 3
_SERVICE: typing.Final = routing.Service('stock', 5000, 1000, 256)


class Kind(typing.NamedTuple):
    """A kind of request: its rank, its work and what its callers need."""

    name: str
    rank: int
    work_ms: float
    objective_ms: float
    deadline_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, over all of its attempts."""

    kind: Kind
    account: str
    arrived_at: float
    work_ms: float
    returns: int = 0
    answered_at: float | None = None
    #: When the caller was told that it is refused, each time.
    refused_at: list[float] = dataclasses.field(default_factory=list)
    attempts: int = 0
    asked_at: float = 0

    @property
    def deadline(self) -> float:
        """When the caller stops waiting."""
        return self.arrived_at + self.kind.deadline_ms

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within its objective."""
        if self.answered_at is None:
            return False
        return self.answered_at - self.arrived_at <= self.kind.objective_ms


class Source(typing.NamedTuple):
    """Requests of one kind from one account, from one moment to another."""

    kind: Kind
    account: str
    per_s: float
    begins_at: float
    ends_at: float
    #: How often a caller comes back after a refusal, and whether as told.
    returns: int = 1
    is_patient: bool = True


class _Target:
    def __init__(self) -> None:
        self.running = 0
        self.queue: collections.deque[_Call] = collections.deque()
        self.is_out = False


class _Call(typing.NamedTuple):
    request: Request
    entry: _Entry
    target: int
    sent_at: float
    load: float | None


class _Entry:
    def __init__(
        self, time_source: clock.Clock, rng: random.Random, *, is_fair: bool
    ) -> None:
        view = shares.ShareView('entry-0')
        names = tuple(f'entry-{number}' for number in range(ENTRIES))
        view.commit(shares.EntryList(1, names))
        self.rivalry = (
            competition.Competition(view, time_source, rng) if is_fair else None
        )
        self.waiting: waiting_requests.WaitingRequests[
            service_queue.TargetCriteria
        ] = waiting_requests.WaitingRequests(self.rivalry)
        self.policy = expected_time.ExpectedTime(rng)
        self.requests: dict[int, Request] = {}
        self.targets = [
            _target_state(number, time_source) for number in range(TARGETS)
        ]


def _target_state(number: int, time_source: clock.Clock) -> targets.TargetState:
    row = fixtures.warm_row(f't{number}', '127.0.0.1:1')
    target = targets.TargetState(row, time_source)
    target.limit = _OWN_LIMIT
    target.load_limit = _LOAD_LIMIT
    target.tier = 0
    return target


_Event = tuple[float, int, typing.Callable[[], None]]


@typing.final
class Play:
    """One play of a load."""

    def __init__(self, *, is_fair: bool, seed: int = 1) -> None:
        """Plays the fair decisions, or the order by class."""
        self.requests: list[Request] = []
        self.is_fair = is_fair
        #: Calls that targets turned away.
        self.turned_away = 0
        self.most_calls = 0
        self._clock = clock.ManualClock(start=10_000)
        self._rng = random.Random(seed)
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._targets = [_Target() for _ in range(TARGETS)]
        self._entries = [
            _Entry(self._clock, self._rng, is_fair=is_fair)
            for _ in range(ENTRIES)
        ]
        self._patience: dict[str, Source] = {}
        self.began_at = self._clock.now()

    def run(
        self,
        sources: typing.Sequence[Source],
        *,
        lost: typing.Sequence[int] = (),
        lost_at: float = 0,
    ) -> None:
        """Plays the sources; ``lost`` targets get no calls from a moment."""
        start = self._clock.now()
        for source in sources:
            self._patience[source.account] = source
            for moment in self._moments(source):
                self._at(start + moment, self._arrival(source, start + moment))
        self._at(start + lost_at, lambda: self._lose(lost))
        while self._events:
            moment, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0, moment - self._clock.now()))
            action()

    def _moments(self, source: Source) -> typing.Iterator[float]:
        """Yields when a source sends requests."""
        moment = source.begins_at
        while True:
            moment += self._rng.expovariate(source.per_s) * clock.MS_PER_SECOND
            if moment >= source.ends_at:
                return
            yield moment

    def _at(self, moment: float, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._numbers), action))

    def _after(
        self, duration: float, action: typing.Callable[[], None]
    ) -> None:
        self._at(self._clock.now() + duration, action)

    def _arrival(
        self, source: Source, moment: float
    ) -> typing.Callable[[], None]:
        work = source.kind.work_ms * self._rng.lognormvariate(0, 0.3)
        request = Request(source.kind, source.account, moment, work)
        self.requests.append(request)
        return lambda: self._ask(request)

    def _lose(self, lost: typing.Sequence[int]) -> None:
        for entry in self._entries:
            for number in lost:
                entry.targets[number].limit = 0

    def _ask(self, request: Request) -> None:
        """A caller sends its request to any entry."""
        request.asked_at = self._clock.now()
        request.attempts = 0
        self._acquire(self._rng.choice(self._entries), request, frozenset())

    def _acquire(
        self, entry: _Entry, request: Request, excluded: frozenset[str]
    ) -> None:
        criteria = self._criteria(request)
        try:
            if entry.rivalry is not None:
                entry.rivalry.check_time(criteria)
            self._refresh(entry)
            target = self._choose(entry, criteria, excluded)
            if target is not None and not len(entry.waiting):
                target.begin_call()
                if entry.rivalry is not None:
                    entry.rivalry.record_room(criteria)
                self._send(entry, request, target)
                return
        except outcomes.RefusedError as refusal:
            self._refused(request, refusal)
            return
        waiter = entry.waiting.add(criteria, excluded, self._clock.now())
        entry.requests[waiter.waiting.number] = request
        self._serve(entry)
        self._decide(entry, waiter, self._clock.now())

    def _decide(
        self,
        entry: _Entry,
        waiter: waiting_requests.Waiter[service_queue.TargetCriteria],
        began_at: float,
    ) -> None:
        """Decides again whether a request waits."""
        if waiter.granted.ready():
            return
        now = self._clock.now()
        request = entry.requests[waiter.waiting.number]
        end = min(request.deadline, began_at + service_queue.MAX_QUEUE_WAIT_MS)
        refusal = None
        pause = end - now
        if now >= end:
            refusal = outcomes.not_run(outcomes.Reason.QUEUE_TIMEOUT, '')
        elif entry.rivalry is not None:
            usable = [target for target in entry.targets if target.limit]
            try:
                pause = entry.waiting.check(waiter, usable, now)
            except outcomes.RefusedError as error:
                refusal = error
        if refusal is not None:
            entry.waiting.withdraw(waiter)
            self._refused(request, refusal)
            return
        if entry.rivalry is not None and now > began_at:
            self._refresh(entry)
        self._serve(entry)
        self._after(
            max(1, min(_DECISION_MS, pause, end - now)),
            lambda: self._decide(entry, waiter, began_at),
        )

    def _serve(self, entry: _Entry) -> None:
        granted = []
        for waiter in entry.waiting.in_order(self._clock.now()):
            target = self._choose(entry, waiter.criteria, waiter.excluded)
            if target is None:
                break
            target.begin_call()
            granted.append((waiter, target))
        for served, chosen in granted:
            entry.waiting.serve(served, chosen, self._clock.now())
            request = entry.requests.pop(served.waiting.number)
            self._send(entry, request, chosen)

    def _choose(
        self,
        entry: _Entry,
        criteria: service_queue.TargetCriteria,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        now = self._clock.now()
        candidates = [
            target
            for target in entry.targets
            if target.has_capacity_at(now)
            and target.suspended_until <= now
            and target.row.name not in excluded
        ]
        if entry.rivalry is not None:
            candidates = entry.rivalry.with_room(
                candidates, criteria, criteria.rank
            )
        return entry.policy.choose(candidates, now) if candidates else None

    def _refresh(self, entry: _Entry) -> None:
        """Asks some targets for their load."""
        for number in self._rng.sample(range(TARGETS), _PROBED):
            target = self._targets[number]
            entry.targets[number].record_report(
                dialect.LoadReport(target.running, len(target.queue)), age=0
            )

    def _send(
        self, entry: _Entry, request: Request, target: targets.TargetState
    ) -> None:
        request.attempts += 1
        number = int(target.row.name[1:])
        now = self._clock.now()
        is_fresh = now - target.reported_at <= targets.FRESH_REPORT_MAX_AGE_MS
        load = target.load(now) if is_fresh else None
        call = _Call(request, entry, number, now, load)
        self._after(_ONE_WAY_MS, lambda: self._arrive(call))

    def _arrive(self, call: _Call) -> None:
        server = self._targets[call.target]
        calls = server.running + len(server.queue)
        self.most_calls = max(self.most_calls, calls)
        if server.running < SLOTS:
            self._begin(call)
        elif len(server.queue) < _TARGET_QUEUE:
            server.queue.append(call)
        else:
            self._turn_away(call)

    def _begin(self, call: _Call) -> None:
        server = self._targets[call.target]
        server.running += 1
        work = call.request.work_ms
        if server.running / SLOTS > _CONTENTION:
            work *= _CONTENTION_FACTOR
        left = call.request.deadline - self._clock.now()
        if left <= 0:
            work = 0
        self._after(
            min(work, max(0, left)),
            lambda: self._finish(call, is_answered=work <= left),
        )

    def _finish(self, call: _Call, *, is_answered: bool) -> None:
        server = self._targets[call.target]
        server.running -= 1
        target = call.entry.targets[call.target]
        duration = self._clock.now() - call.sent_at
        report = dialect.LoadReport(server.running + 1, len(server.queue))
        if is_answered:
            call.request.answered_at = self._clock.now()
            target.record_answer(duration, reported=report)
            self._record(call, _ANSWER, duration)
        target.in_flight -= 1
        if server.queue:
            self._begin(server.queue.popleft())
        self._serve(call.entry)

    def _turn_away(self, call: _Call) -> None:
        self.turned_away += 1
        target = call.entry.targets[call.target]
        target.record_shed(dialect.LoadReport(SLOTS, _TARGET_QUEUE))
        self._record(call, outcomes.Shed(outcomes.Reason.TARGET_SHED), 1)
        target.in_flight -= 1
        if call.request.attempts < _MAX_ATTEMPTS:
            excluded = frozenset((target.row.name,))
            self._acquire(call.entry, call.request, excluded)
            return
        self._refused(
            call.request, outcomes.not_run(outcomes.Reason.TARGET_SHED, '')
        )

    def _record(
        self, call: _Call, result: outcomes.AttemptResult, duration: float
    ) -> None:
        if call.entry.rivalry is not None:
            call.entry.rivalry.record_result(
                self._criteria(call.request),
                call.entry.targets[call.target],
                result,
                load=call.load,
                duration=duration,
            )

    def _refused(
        self, request: Request, refusal: outcomes.RefusedError
    ) -> None:
        """Tells the caller, who may come back."""
        now = self._clock.now()
        request.refused_at.append(now - request.asked_at)
        source = self._patience[request.account]
        if request.returns >= source.returns:
            return
        request.returns += 1
        told = (
            refusal.retry_after_s * clock.MS_PER_SECOND
            if source.is_patient
            else 1
        )
        left = request.deadline - now
        pause = min(told, max(0, left) * _HONOURED_PART)
        if left > pause:
            self._after(pause, lambda: self._ask(request))

    def _criteria(self, request: Request) -> service_queue.TargetCriteria:
        return service_queue.TargetCriteria(
            _SERVICE,
            routing.ServiceClass(value=100 - request.kind.rank),
            None,
            request.deadline,
            caller=callers.Caller(request.account),
            need=competition.Need(
                request.kind.name, request.asked_at, request.kind.objective_ms
            ),
        )


_ANSWER: typing.Final = outcomes.Received(
    http_heads.ResponseHead(
        200,
        http_heads.HeaderBlock(),
        [],
        http_heads.Framing.LENGTH,
        0,
        keeps_alive=True,
    ),
    typing.cast(typing.Any, None),
    b'',
)
