"""Measures the latency that an entry adds and the calls per core."""

from __future__ import annotations

import statistics
import typing

from benchmarks import callers, fleet

_ROUNDS: typing.Final = 9
_CALLS: typing.Final = 1000
_BUSY_CONNECTIONS: typing.Final = 6
_BUSY_CALLS: typing.Final = 3000
_WARM_UP_CALLS: typing.Final = 500
_US_PER_S: typing.Final = 1_000_000


class DataPath(typing.NamedTuple):
    """Medians over the rounds of one run; times in ms.

    ``bare`` is `bare_forwarder`, which parses messages without routing them.
    """

    direct_p50: float
    direct_p99: float
    bare_added_p50: float
    bare_added_p99: float
    entry_added_p50: float
    entry_added_p99: float
    #: Lowest added p99 of all rounds; other load on the machine usually
    #: raises the added p99.
    entry_added_p99_best_round: float
    bare_cpu_us_per_call: float
    entry_cpu_us_per_call: float
    entry_cpu_to_bare: float
    entry_calls_per_core_second: float


def run() -> DataPath:
    """Measures direct calls, a bare forwarder and an entry, in turn."""
    with fleet.start() as system:
        entry = system.start_entry('entry-1')
        standins = system.start_targets('stock', 1, slots=64)
        bare = system.start_bare_forwarder(standins.ports[0])
        system.declare('stock')
        system.wait_for_entries(1)
        fleet.wait_until(lambda: has_announced_target(system))
        callers.measure(entry.ports[0], '/stock/x', calls=_WARM_UP_CALLS)
        ports = (standins.ports[0], bare.ports[0], entry.ports[0])
        rounds = [
            [callers.measure(port, '/stock/x', calls=_CALLS) for port in ports]
            for _round in range(_ROUNDS)
        ]
        bare_cpu = _cpu_per_call(bare)
        entry_cpu = _cpu_per_call(entry)
    return _summarise(rounds, bare_cpu, entry_cpu)


def has_announced_target(system: fleet.Fleet) -> bool:
    """Returns whether any target has announced itself."""
    return bool(system.client.call('GET', '/v1/targets')['items'])


def _cpu_per_call(process: fleet.Process) -> float:
    before = process.cpu_seconds()
    latency = callers.measure(
        process.ports[0],
        '/stock/x',
        connections=_BUSY_CONNECTIONS,
        calls=_BUSY_CALLS,
    )
    return (process.cpu_seconds() - before) / latency.calls


def _summarise(
    rounds: list[list[callers.Latency]],
    bare_cpu: float,
    entry_cpu: float,
) -> DataPath:
    added_by_entry = [
        via_entry.p99 - direct.p99 for direct, _, via_entry in rounds
    ]
    return DataPath(
        direct_p50=_median([direct.p50 for direct, _, _ in rounds]),
        direct_p99=_median([direct.p99 for direct, _, _ in rounds]),
        bare_added_p50=_median(
            [bare.p50 - direct.p50 for direct, bare, _ in rounds],
        ),
        bare_added_p99=_median(
            [bare.p99 - direct.p99 for direct, bare, _ in rounds],
        ),
        entry_added_p50=_median(
            [via_entry.p50 - direct.p50 for direct, _, via_entry in rounds],
        ),
        entry_added_p99=_median(added_by_entry),
        entry_added_p99_best_round=round(min(added_by_entry), 3),
        bare_cpu_us_per_call=round(bare_cpu * _US_PER_S, 1),
        entry_cpu_us_per_call=round(entry_cpu * _US_PER_S, 1),
        entry_cpu_to_bare=round(entry_cpu / bare_cpu, 2),
        entry_calls_per_core_second=round(1 / entry_cpu),
    )


def _median(figures: list[float]) -> float:
    return round(statistics.median(figures), 3)
