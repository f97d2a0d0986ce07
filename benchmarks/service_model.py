"""A model of one service: entries, targets with slots, stale reports.

Discrete events on a manual clock; the policies and the targets' records are
the ones that entries use. It models no network and no protocol.
"""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import math
import random
import typing

from hdrh import histogram

from mulberryquay import protocol
from mulberryquay.coordination import clock
from mulberryquay.entry import balancer, dialect, service_queue, targets

_MAX_US: typing.Final = 60_000_000
_DIGITS: typing.Final = 3
_US_PER_MS: typing.Final = 1000


class Scenario(typing.NamedTuple):
    """What is served, and what goes wrong."""

    name: str
    slots: int
    entries: int = 18
    target_count: int = 12
    #: Mean time that a call takes in a slot, in ms.
    work_ms: float = 10.0
    #: Share of all slots that the calls need when nothing goes wrong.
    load: float = 0.8
    #: How much a noisy neighbour slows a target, now and then.
    noise_factor: float = 1.0
    #: How much the first target is slowed from the middle of the run.
    slow_factor: float = 1.0
    #: Age range of load reports when they arrive, in ms.
    report_age_ms: tuple[float, float] = (50.0, 500.0)
    calls: int = 12_000


class Result(typing.NamedTuple):
    """Quantiles of the time from arrival to answer, in ms."""

    p50: float
    p99: float
    p999: float


class _Call(typing.NamedTuple):
    entry: int
    arrived: float
    #: Time in a slot if nothing slows the target, in ms.
    work: float


@typing.final
class _Target:
    """Slots and a queue of its own."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.waiting: collections.deque[_Call] = collections.deque()
        self.in_flight = 0
        self.factor = 1.0


_NOISE_INTERVAL_MS: typing.Final = 400.0
_NOISE_MS: typing.Final = 120.0


@typing.final
class ServiceModel:
    """One run of a scenario under one policy."""

    def __init__(
        self,
        scenario: Scenario,
        new_policy: typing.Callable[[random.Random], service_queue.Policy],
        *,
        overcommit: float = balancer.OVERCOMMIT,
        seed: int = 1,
    ) -> None:
        """Prepares the run; equal seeds give equal calls."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._clock = clock.ManualClock()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._targets = [
            _Target(scenario.slots) for _number in range(scenario.target_count)
        ]
        limit = max(
            1, math.ceil(scenario.slots * overcommit / scenario.entries)
        )
        self._views = [
            [
                _new_view(number, scenario, self._clock, limit)
                for number in range(scenario.target_count)
            ]
            for _entry in range(scenario.entries)
        ]
        self._policies = [
            new_policy(random.Random(f'{seed} {entry}'))
            for entry in range(scenario.entries)
        ]
        self._queues: list[collections.deque[_Call]] = [
            collections.deque() for _entry in range(scenario.entries)
        ]
        self._recorded = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
        self._remaining = scenario.calls

    def run(self) -> Result:
        """Runs to the last answer."""
        self._schedule(0, self._arrive)
        self._schedule(0, self._report)
        if self._scenario.noise_factor > 1:
            self._schedule(0, self._start_noise)
        if self._scenario.slow_factor > 1:
            middle = self._interval() * self._scenario.calls / 2
            self._schedule(middle, self._slow_down)
        while self._recorded.get_total_count() < self._scenario.calls:
            moment, _, action = heapq.heappop(self._events)
            self._clock.advance(moment - self._clock.now())
            action()
        return result_of(self._recorded)

    def _interval(self) -> float:
        """Mean time between two arrivals, in ms."""
        scenario = self._scenario
        slots = scenario.slots * scenario.target_count
        return scenario.work_ms / (slots * scenario.load)

    def _schedule(
        self, delay: float, action: typing.Callable[[], None]
    ) -> None:
        moment = self._clock.now() + delay
        heapq.heappush(self._events, (moment, next(self._order), action))

    def _arrive(self) -> None:
        entry = self._rng.randrange(self._scenario.entries)
        work = self._rng.expovariate(1 / self._scenario.work_ms)
        self._queues[entry].append(_Call(entry, self._clock.now(), work))
        self._dispatch(entry)
        self._remaining -= 1
        if self._remaining:
            wait = self._rng.expovariate(1 / self._interval())
            self._schedule(wait, self._arrive)

    def _dispatch(self, entry: int) -> None:
        """Sends waiting calls while some target has room."""
        queue = self._queues[entry]
        while queue:
            candidates = [
                view for view in self._views[entry] if view.has_capacity
            ]
            if not candidates:
                return
            view = self._policies[entry].choose(candidates, self._clock.now())
            view.in_flight += 1
            self._accept(int(view.row.name), queue.popleft())

    def _accept(self, number: int, call: _Call) -> None:
        target = self._targets[number]
        target.in_flight += 1
        target.waiting.append(call)
        self._start(number)

    def _start(self, number: int) -> None:
        target = self._targets[number]
        while target.free and target.waiting:
            target.free -= 1
            call = target.waiting.popleft()
            self._schedule(
                call.work * target.factor,
                functools.partial(self._answer, number, call),
            )

    def _answer(self, number: int, call: _Call) -> None:
        target = self._targets[number]
        target.free += 1
        carried = target.in_flight
        target.in_flight -= 1
        self._start(number)
        view = self._views[call.entry][number]
        taken = self._clock.now() - call.arrived
        view.record_answer(taken, reported=_report(carried))
        view.in_flight -= 1
        self._recorded.record_value(max(1, int(taken * _US_PER_MS)))
        self._dispatch(call.entry)

    def _report(self) -> None:
        """Load reports leave now and arrive late, at every entry."""
        loads = [target.in_flight for target in self._targets]
        age = self._rng.uniform(*self._scenario.report_age_ms)
        self._schedule(age, lambda: self._take_report(loads, age))
        self._schedule(100, self._report)

    def _take_report(self, loads: list[int], age: float) -> None:
        for views in self._views:
            for view, load in zip(views, loads, strict=True):
                view.record_report(dialect.LoadReport(load), age=age)

    def _start_noise(self) -> None:
        number = self._rng.randrange(1, self._scenario.target_count)
        target = self._targets[number]
        target.factor = self._scenario.noise_factor
        self._schedule(_NOISE_MS, lambda: self._end_noise(target))
        self._schedule(
            self._rng.expovariate(1 / _NOISE_INTERVAL_MS),
            self._start_noise,
        )

    def _end_noise(self, target: _Target) -> None:
        target.factor = 1.0

    def _slow_down(self) -> None:
        self._targets[0].factor = self._scenario.slow_factor


def result_of(recorded: histogram.HdrHistogram) -> Result:
    """Returns the quantiles of a histogram in microseconds."""
    return Result(
        *(
            recorded.get_value_at_percentile(percentile) / _US_PER_MS
            for percentile in (50, 99, 99.9)
        ),
    )


def _new_view(
    number: int,
    scenario: Scenario,
    time_source: clock.Clock,
    limit: int,
) -> targets.TargetState:
    row = protocol.TargetRow(
        name=str(number),
        service='model',
        address='127.0.0.1:1',
        region='north',
        domain='north-1',
        slots=scenario.slots,
        connections=220,
        incarnation=1,
        allowance=scenario.slots,
        is_warm=True,
        is_leaving=False,
        shed_statuses=[],
    )
    view = targets.TargetState(row, time_source)
    view.limit = limit
    return view


def _report(carried: int | None) -> dialect.LoadReport | None:
    return None if carried is None else dialect.LoadReport(carried)
