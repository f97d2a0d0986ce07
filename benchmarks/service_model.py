"""A discrete-event model of one service with stale load reports.

It runs on a manual clock, with the policies and the target states that
entries use. It models no network and no protocol.
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
_SIGNIFICANT_DIGITS: typing.Final = 3
_US_PER_MS: typing.Final = 1000


class Scenario(typing.NamedTuple):
    """The size of a service, its load and the disturbances."""

    name: str
    slots: int
    entries: int = 18
    target_count: int = 12
    #: Mean time that a call occupies a slot, in ms.
    work_ms: float = 10.0
    #: Fraction of all slots in use on average without disturbances.
    load: float = 0.8
    #: Factor by which a noisy neighbour slows a target for short periods.
    noise_factor: float = 1.0
    #: Factor by which the first target is slow from the middle of the run.
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
    arrived_at: float
    #: Time in a slot of a target that is not slowed, in ms.
    work_ms: float


@typing.final
class _Target:
    """The free slots and the queue of one target."""

    def __init__(self, slots: int) -> None:
        self.free_slots = slots
        self.waiting: collections.deque[_Call] = collections.deque()
        self.in_flight = 0
        self.slowdown = 1.0


_NOISE_INTERVAL_MS: typing.Final = 400.0
_NOISE_DURATION_MS: typing.Final = 120.0


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
        """Prepares the run; equal seeds give equal calls.

        ``overcommit`` is the number of calls per slot that all entries
        together may send to a target.
        """
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._clock = clock.ManualClock()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._targets = [
            _Target(scenario.slots) for _number in range(scenario.target_count)
        ]
        limit = max(
            1, math.ceil(scenario.slots * overcommit / scenario.entries)
        )
        self._target_states = [
            [
                _new_target_state(number, scenario, self._clock, limit)
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
        self._latencies_us = histogram.HdrHistogram(
            1, _MAX_US, _SIGNIFICANT_DIGITS
        )
        self._remaining_arrivals = scenario.calls

    def run(self) -> Result:
        """Runs until every call is answered."""
        self._schedule(0, self._arrive)
        self._schedule(0, self._send_reports)
        if self._scenario.noise_factor > 1:
            self._schedule(0, self._start_noise)
        if self._scenario.slow_factor > 1:
            middle = self._mean_interarrival_ms() * self._scenario.calls / 2
            self._schedule(middle, self._slow_down)
        while self._latencies_us.get_total_count() < self._scenario.calls:
            due_at, _, action = heapq.heappop(self._events)
            self._clock.advance(due_at - self._clock.now())
            action()
        return summarise(self._latencies_us)

    def _mean_interarrival_ms(self) -> float:
        """Returns the mean time between two arrivals, in ms."""
        scenario = self._scenario
        slots = scenario.slots * scenario.target_count
        return scenario.work_ms / (slots * scenario.load)

    def _schedule(
        self, delay: float, action: typing.Callable[[], None]
    ) -> None:
        due_at = self._clock.now() + delay
        heapq.heappush(self._events, (due_at, next(self._sequence), action))

    def _arrive(self) -> None:
        entry = self._rng.randrange(self._scenario.entries)
        work_ms = self._rng.expovariate(1 / self._scenario.work_ms)
        self._queues[entry].append(_Call(entry, self._clock.now(), work_ms))
        self._dispatch(entry)
        self._remaining_arrivals -= 1
        if self._remaining_arrivals:
            wait = self._rng.expovariate(1 / self._mean_interarrival_ms())
            self._schedule(wait, self._arrive)

    def _dispatch(self, entry: int) -> None:
        """Sends waiting calls while any target has capacity."""
        queue = self._queues[entry]
        while queue:
            candidates = [
                state
                for state in self._target_states[entry]
                if state.has_capacity
            ]
            if not candidates:
                return
            state = self._policies[entry].choose(candidates, self._clock.now())
            state.in_flight += 1
            self._enqueue(int(state.row.name), queue.popleft())

    def _enqueue(self, number: int, call: _Call) -> None:
        target = self._targets[number]
        target.in_flight += 1
        target.waiting.append(call)
        self._start_calls(number)

    def _start_calls(self, number: int) -> None:
        target = self._targets[number]
        while target.free_slots and target.waiting:
            target.free_slots -= 1
            call = target.waiting.popleft()
            self._schedule(
                call.work_ms * target.slowdown,
                functools.partial(self._complete, number, call),
            )

    def _complete(self, number: int, call: _Call) -> None:
        target = self._targets[number]
        target.free_slots += 1
        load_at_answer = target.in_flight
        target.in_flight -= 1
        self._start_calls(number)
        state = self._target_states[call.entry][number]
        latency_ms = self._clock.now() - call.arrived_at
        state.record_answer(latency_ms, reported=_load_report(load_at_answer))
        state.in_flight -= 1
        self._latencies_us.record_value(max(1, int(latency_ms * _US_PER_MS)))
        self._dispatch(call.entry)

    def _send_reports(self) -> None:
        """Reads all loads; every entry receives them after a random delay."""
        loads = [target.in_flight for target in self._targets]
        age = self._rng.uniform(*self._scenario.report_age_ms)
        self._schedule(age, lambda: self._apply_reports(loads, age))
        self._schedule(100, self._send_reports)

    def _apply_reports(self, loads: list[int], age: float) -> None:
        for states in self._target_states:
            for state, load in zip(states, loads, strict=True):
                state.record_report(dialect.LoadReport(load), age=age)

    def _start_noise(self) -> None:
        number = self._rng.randrange(1, self._scenario.target_count)
        target = self._targets[number]
        target.slowdown = self._scenario.noise_factor
        self._schedule(_NOISE_DURATION_MS, lambda: self._end_noise(target))
        self._schedule(
            self._rng.expovariate(1 / _NOISE_INTERVAL_MS),
            self._start_noise,
        )

    def _end_noise(self, target: _Target) -> None:
        target.slowdown = 1.0

    def _slow_down(self) -> None:
        self._targets[0].slowdown = self._scenario.slow_factor


def summarise(latencies_us: histogram.HdrHistogram) -> Result:
    """Returns the quantiles of a histogram in microseconds."""
    return Result(
        *(
            latencies_us.get_value_at_percentile(percentile) / _US_PER_MS
            for percentile in (50, 99, 99.9)
        ),
    )


def _new_target_state(
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
    state = targets.TargetState(row, time_source)
    state.limit = limit
    return state


def _load_report(load_at_answer: int | None) -> dialect.LoadReport | None:
    return (
        None if load_at_answer is None else dialect.LoadReport(load_at_answer)
    )
