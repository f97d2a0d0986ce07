"""Measures the slopes of docs/CAPACITY.md, each at three or more points.

Writes the points to `benchmarks/measurements.json`, from which
`make capacity` computes the page.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import time
import typing

import gevent
import urllib3

from benchmarks import callers, data_path, fake_entries, fleet
from mulberryquay.coordination import clock
from mulberryquay.entry import claim_client
from mulberryquay.ledger import protocol

MEASUREMENTS: typing.Final = pathlib.Path(__file__).parent / 'measurements.json'

_WINDOW_S: typing.Final = 4.0
_US_PER_S: typing.Final = 1_000_000
_TARGET_COUNTS: typing.Final = (100, 400, 1000)
_ENTRY_COUNTS: typing.Final = (10, 50, 150)
_RESOURCE_COUNTS: typing.Final = (50, 250, 700)
_ENTRY_TARGET_COUNTS: typing.Final = (100, 1000, 2600)
_BUSY_CONNECTIONS: typing.Final = (1, 6, 24)
_CLAIM_TASKS: typing.Final = (1, 16, 128)
_CLAIMS: typing.Final = 2000
_RENEWAL_INTERVAL_S: typing.Final = 2.0
_CHANGES: typing.Final = 20

Points = list[tuple[float, float]]


class Slopes(typing.NamedTuple):
    """Points (x, y) of each measurement; each comment names x; y."""

    #: Renewals per second; control CPU in us per second.
    control_cpu_by_renewals: Points
    #: Targets; control memory in MiB.
    control_memory_by_targets: Points
    #: Entries; control CPU in us per second without changes.
    control_cpu_by_entries: Points
    #: Entries; bytes per second that control sends and receives.
    control_bytes_by_entries: Points
    #: Entries; control CPU in us per accepted change.
    control_cpu_per_change_by_entries: Points
    #: Entries; median ms until all entries have confirmed a change.
    in_force_ms_by_entries: Points
    #: Entries; bytes that one entry receives per change.
    entry_bytes_per_change_by_entries: Points
    #: Targets; entry memory in MiB.
    entry_memory_by_targets: Points
    #: Targets; entry CPU in us per second without calls.
    entry_idle_cpu_by_targets: Points
    #: Resources; entry CPU in us per change that it puts in force.
    entry_cpu_per_change_by_resources: Points
    #: Busy connections; entry CPU in us per call.
    entry_cpu_per_call_by_connections: Points
    #: Concurrent tasks; ledger CPU in us to claim and settle one key.
    ledger_cpu_per_claim_by_tasks: Points
    #: Concurrent tasks; keys claimed and settled per second.
    ledger_claims_per_s_by_tasks: Points


def run() -> Slopes:
    """Measures all slopes and writes the points to `MEASUREMENTS`."""
    by_targets = [_measure_targets(count) for count in _TARGET_COUNTS]
    by_entries = [_measure_entries(count) for count in _ENTRY_COUNTS]
    by_entry_targets = [
        _measure_idle_entry(count) for count in _ENTRY_TARGET_COUNTS
    ]
    by_tasks = [_measure_claims(count) for count in _CLAIM_TASKS]
    slopes = Slopes(
        [cpu for cpu, _ in by_targets],
        [memory for _, memory in by_targets],
        [(count, costs.cpu) for count, costs in by_entries],
        [(count, costs.traffic) for count, costs in by_entries],
        [(count, costs.cpu_per_change) for count, costs in by_entries],
        [(count, costs.in_force_ms) for count, costs in by_entries],
        [(count, costs.bytes_per_change) for count, costs in by_entries],
        [memory for memory, _ in by_entry_targets],
        [cpu for _, cpu in by_entry_targets],
        [_measure_entry_changes(count) for count in _RESOURCE_COUNTS],
        _measure_calls(),
        [cpu for cpu, _ in by_tasks],
        [rate for _, rate in by_tasks],
    )
    MEASUREMENTS.write_text(json.dumps(slopes._asdict(), indent=1) + '\n')
    return slopes


def fit_line(points: Points) -> tuple[float, float]:
    """Returns slope and intercept of the least-squares line."""
    fitted = statistics.linear_regression(*zip(*points, strict=True))
    return fitted.slope, fitted.intercept


class _EntryCosts(typing.NamedTuple):
    """The cost of a number of entries to a control host."""

    #: In us and bytes per second, without changes.
    cpu: float
    traffic: float
    #: In us, in ms and in bytes to each entry, per change.
    cpu_per_change: float
    in_force_ms: float
    bytes_per_change: float


def _measure_targets(
    count: int,
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Returns control CPU by renewals per second and memory by targets."""
    with fleet.start() as system:
        pool = _announce_all(system, count)
        before = system.control.cpu_seconds()
        renewed = 0
        deadline = time.monotonic() + _WINDOW_S
        while time.monotonic() < deadline:
            number = renewed % count
            path = f'/v1/announcements/t{number}'
            _call_api(pool, system, 'PUT', path, {'incarnation': 1})
            renewed += 1
            gevent.sleep(_RENEWAL_INTERVAL_S / count)
        cpu = (system.control.cpu_seconds() - before) / _WINDOW_S * _US_PER_S
        memory = system.control.memory_mib()
    return (renewed / _WINDOW_S, cpu), (count, memory)


def _announce_all(system: fleet.Fleet, count: int) -> urllib3.PoolManager:
    """Announces ``count`` targets; returns the connection pool."""
    pool = urllib3.PoolManager(maxsize=8)
    for number in range(count):
        _call_api(
            pool, system, 'POST', '/v1/announcements', _announcement(number)
        )
    return pool


def _measure_entries(count: int) -> tuple[int, _EntryCosts]:
    """Returns the costs of ``count`` entries."""
    with fleet.start() as system:
        feed_port = system.control.ports[1]
        entries = [
            fake_entries.FakeEntry(f'e{number}', feed_port)
            for number in range(count)
        ]
        system.wait_for_entries(count)
        cpu, traffic = _idle_costs(system, entries)
        before = system.control.cpu_seconds()
        received_before = sum(entry.bytes_received for entry in entries)
        began = time.monotonic()
        times = [
            _time_change(system, entries, version)
            for version in range(1, _CHANGES + 1)
        ]
        duration = time.monotonic() - began
        cpu_spent = (system.control.cpu_seconds() - before) * _US_PER_S
        bytes_to_entries = (
            sum(entry.bytes_received for entry in entries) - received_before
        )
        for entry in entries:
            entry.stop()
    heartbeat_bytes = traffic[0] * duration / count
    return count, _EntryCosts(
        cpu,
        sum(traffic),
        max(0, cpu_spent - cpu * duration) / _CHANGES,
        statistics.median(times),
        max(0, bytes_to_entries / count - heartbeat_bytes) / _CHANGES,
    )


def _idle_costs(
    system: fleet.Fleet,
    entries: list[fake_entries.FakeEntry],
) -> tuple[float, tuple[float, float]]:
    """Returns CPU (us/s) and bytes per second, sent and received."""
    before = system.control.cpu_seconds()
    sent = sum(entry.bytes_received for entry in entries)
    received = sum(entry.bytes_sent for entry in entries)
    gevent.sleep(_WINDOW_S)
    cpu = (system.control.cpu_seconds() - before) / _WINDOW_S * _US_PER_S
    sent = sum(entry.bytes_received for entry in entries) - sent
    received = sum(entry.bytes_sent for entry in entries) - received
    return cpu, (sent / _WINDOW_S, received / _WINDOW_S)


def _time_change(
    system: fleet.Fleet,
    entries: list[fake_entries.FakeEntry],
    version: int,
) -> float:
    began = time.monotonic()
    revision = system.put('services', 's', version, timeout_ms=version)
    while any(entry.revision < revision for entry in entries):
        gevent.sleep(0.001)
    return (time.monotonic() - began) * 1000


def _measure_idle_entry(
    count: int,
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Returns an idle entry's memory and CPU by targets."""
    with fleet.start() as system:
        _announce_all(system, count)
        entry = system.start_entry('entry-1')
        system.wait_for_entries(1)
        gevent.sleep(1)
        before = entry.cpu_seconds()
        gevent.sleep(_WINDOW_S)
        cpu = (entry.cpu_seconds() - before) / _WINDOW_S * _US_PER_S
        memory = entry.memory_mib()
    return (count, memory), (count, cpu)


def _measure_entry_changes(count: int) -> tuple[float, float]:
    """Returns an entry's CPU per change, by declared resources."""
    with fleet.start() as system:
        for number in range(count // 2):
            system.put('services', f's{number}')
            system.put(
                'routes',
                f's{number}',
                path_prefix=f'/s{number}',
                service=f's{number}',
            )
        entry = system.start_entry('entry-1')
        system.wait_for_entries(1)
        before = entry.cpu_seconds()
        began = time.monotonic()
        for version in range(2, 2 + _CHANGES * 5):
            system.put('services', 's0', version, timeout_ms=version)
        system.wait_for_entries(1)
        duration = time.monotonic() - began
        cpu_spent = entry.cpu_seconds() - before
        before = entry.cpu_seconds()
        gevent.sleep(_WINDOW_S)
        idle = (entry.cpu_seconds() - before) / _WINDOW_S
    changes = _CHANGES * 5
    return count, max(0, cpu_spent - idle * duration) / changes * _US_PER_S


def _measure_calls() -> Points:
    with fleet.start() as system:
        entry = system.start_entry('entry-1')
        system.start_targets('stock', 2, slots=64)
        system.declare('stock')
        system.wait_for_entries(1)
        fleet.wait_until(lambda: data_path.has_announced_target(system))
        callers.measure(entry.ports[0], '/stock/x', calls=500)
        points = []
        for connections in _BUSY_CONNECTIONS:
            before = entry.cpu_seconds()
            busy = callers.measure(
                entry.ports[0],
                '/stock/x',
                connections=connections,
                calls=6000 // connections,
            )
            cpu_spent = entry.cpu_seconds() - before
            points.append(
                (float(connections), cpu_spent / busy.calls * _US_PER_S)
            )
    return points


def _measure_claims(
    count: int,
) -> tuple[tuple[float, float], tuple[float, float]]:
    """Returns CPU per claim and claims per second for ``count`` tasks."""
    with fleet.start() as system:
        ledger = system.start_ledger()
        client = claim_client.ClaimClient(
            'bench',
            ('127.0.0.1', ledger.ports[0]),
            clock.Clock(),
        )
        client.start()
        fleet.wait_until(lambda: client.is_connected)
        before = ledger.cpu_seconds()
        began = time.monotonic()
        tasks = [
            gevent.spawn(_claim, client, f'{number}', _CLAIMS // count)
            for number in range(count)
        ]
        gevent.joinall(tasks, raise_error=True)
        duration = time.monotonic() - began
        claims = _CLAIMS // count * count
        cpu = (ledger.cpu_seconds() - before) / claims * _US_PER_S
        client.stop()
    return (count, cpu), (count, claims / duration)


def _claim(
    client: claim_client.ClaimClient,
    prefix: str,
    count: int,
) -> None:
    for number in range(count):
        granted, _ = client.claim(f'{prefix}-{number}', b'd' * 16, timeout=1000)
        stored_answer = [200, [[b'content-type', b'text/plain']], b'x' * 200]
        client.settle(granted, protocol.ClaimState.KEPT, stored_answer)


def _announcement(number: int) -> dict[str, typing.Any]:
    return {
        'name': f't{number}',
        'service': f's{number % 100}',
        'address': f'127.0.0.1:{10_000 + number}',
        'region': 'north',
        'domain': 'north-1',
        'slots': 6,
        'connections': 220,
        'incarnation': 1,
    }


def _call_api(
    pool: urllib3.PoolManager,
    system: fleet.Fleet,
    method: str,
    path: str,
    body: dict[str, typing.Any],
) -> None:
    response = pool.request(
        method,
        f'http://{system.api}{path}',
        body=json.dumps(body),
    )
    if response.status != 200:
        raise AssertionError(
            f'control API answered {response.status}: {response.data!r}'
        )
