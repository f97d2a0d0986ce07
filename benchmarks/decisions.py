"""Measures the decisions on a request while many wait."""

from __future__ import annotations

import itertools
import random
import statistics
import time
import typing

from mulberryquay.decisions import callers, fair_order, ordering, refusal

_WAITING: typing.Final = 1000
_ACCOUNTS: typing.Final = 80
_RANKS: typing.Final = 3
_DECISIONS: typing.Final = 500
_BATCHES: typing.Final = 20
_US_PER_S: typing.Final = 1_000_000


class Result(typing.NamedTuple):
    """Processor time of a decision, in microseconds."""

    #: A request arrives, and is refused or waits.
    arrival_us: float
    #: The first of those that wait is found and served.
    service_us: float


def run() -> Result:
    """Returns the times with a thousand requests waiting.

    They are medians over batches, as other programs take processor time.
    """
    rng = random.Random(43)
    order = fair_order.FairOrder()
    numbers = itertools.count()
    for number in itertools.islice(numbers, _WAITING):
        order.add(_request(number, rng))
    batches = [_run_batch(order, numbers, rng) for _ in range(_BATCHES)]
    return Result(
        statistics.median(batch.arrival_us for batch in batches),
        statistics.median(batch.service_us for batch in batches),
    )


def _run_batch(
    order: fair_order.FairOrder,
    numbers: typing.Iterator[int],
    rng: random.Random,
) -> Result:
    arrival_s = 0.0
    service_s = 0.0
    for number in itertools.islice(numbers, _DECISIONS):
        request = _request(number, rng)
        began = time.process_time()
        ahead = order.work_ahead(request, number)
        refusal.decide(_prospect(ahead), rng)
        order.add(request)
        arrived = time.process_time()
        order.serve(next(order.in_order(number)).number)
        service_s += time.process_time() - arrived
        arrival_s += arrived - began
    return Result(
        arrival_s / _DECISIONS * _US_PER_S, service_s / _DECISIONS * _US_PER_S
    )


def _request(number: int, rng: random.Random) -> ordering.Waiting:
    caller = callers.Caller(
        f'account-{rng.randrange(_ACCOUNTS)}', rng.randrange(_RANKS)
    )
    return ordering.Waiting(
        number,
        caller,
        rng.randrange(_RANKS),
        False,
        number,
        number + rng.uniform(0, 2 * _WAITING),
        rng.uniform(100, 500),
    )


def _prospect(work_ahead_ms: float) -> refusal.Prospect:
    return refusal.Prospect(
        work_ahead_ms=work_ahead_ms,
        room=4,
        work_ms=300,
        deviation_ms=100,
        measured_wait_ms=50,
        left_ms=2000,
        objective_ms=800,
        objective_left_ms=800,
        waited_ms=0,
        is_patient=False,
        is_contended=True,
        is_hasty=False,
        knowledge_age_ms=50,
    )
