"""Measures the effect of draining and restoring a domain under load."""

from __future__ import annotations

import collections
import time
import typing

import gevent
from gevent import socket
from hdrh import histogram

from benchmarks import callers, fleet
from mulberryquay.entry import http_heads, messages

_CALLERS: typing.Final = 16
_PHASE_S: typing.Final = 4.0
_THINK_TIME_S: typing.Final = 0.01
_WORK_MS: typing.Final = 10
_MAX_US: typing.Final = 60_000_000
_US_PER_S: typing.Final = 1_000_000


class Domain(typing.NamedTuple):
    """Calls by outcome, and the p99 in ms of each phase."""

    p99_before: float
    p99_out: float
    p99_after: float
    answered: int
    refused: dict[str, int]
    lost: int
    #: Milliseconds until `drain` and `restore` were in force.
    drain_ms: float
    restore_ms: float
    #: Calls that the domain had started by the time `drain` was in force.
    begun_before: int
    #: Calls that the domain still started after `drain` was in force.
    begun_while_out: int


@typing.final
class _LoadGenerator:
    """Concurrent callers that count outcomes and record latencies."""

    def __init__(self, ports: list[int]) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.latencies_us = histogram.HdrHistogram(1, _MAX_US, 3)
        self.lost = 0
        self.is_stopped = False
        self._tasks = [
            gevent.spawn(self._call_until_stopped, ports[number % len(ports)])
            for number in range(_CALLERS)
        ]

    def end_phase(self) -> float:
        """Returns the p99 of the calls since the previous phase ended."""
        latencies_us = self.latencies_us
        self.latencies_us = histogram.HdrHistogram(1, _MAX_US, 3)
        return callers.summarise(latencies_us, 1).p99

    def stop(self) -> None:
        """Stops all callers and waits for them."""
        self.is_stopped = True
        gevent.joinall(self._tasks)

    def _call_until_stopped(self, port: int) -> None:
        request = b'GET /stock/x HTTP/1.1\r\nHost: bench\r\n\r\n'
        while not self.is_stopped:
            connection = socket.create_connection(('127.0.0.1', port))
            reader = messages.ResponseReader(connection)
            try:
                self._call_on_connection(connection, reader, request)
            except (OSError, http_heads.CutShortError, http_heads.MessageError):
                self.lost += 1
            connection.close()

    def _call_on_connection(
        self,
        connection: typing.Any,
        reader: messages.ResponseReader,
        request: bytes,
    ) -> None:
        while not self.is_stopped:
            started = time.perf_counter()
            connection.sendall(request)
            head = reader.read_head()
            while reader.read_part() is not None:
                """Reads the body to its end."""
            duration = time.perf_counter() - started
            self.latencies_us.record_value(int(duration * _US_PER_S))
            reason = (head.find(b'mulberryquay-reason') or b'?').decode()
            self.outcomes[reason] += 1
            gevent.sleep(_THINK_TIME_S)


def run() -> Domain:
    """Runs three phases: all domains in, one out, all in again."""
    with fleet.start() as system:
        for domain in ('north-1', 'north-2'):
            system.put('failure-domains', domain, region='north')
        system.declare('stock')
        # The entries are in north-1, so the targets there carry the load.
        drained_targets = system.start_targets('stock', 6, work_ms=_WORK_MS)
        system.start_targets('stock', 6, work_ms=_WORK_MS, domain='north-2')
        entries = [system.start_entry(f'entry-{number}') for number in range(2)]
        system.wait_for_entries(2)
        load_generator = _LoadGenerator([entry.ports[0] for entry in entries])
        gevent.sleep(_PHASE_S)
        load_generator.end_phase()
        gevent.sleep(_PHASE_S)
        p99_before = load_generator.end_phase()
        drain_ms = _set_domain_state(system, 2, 'out')
        calls_before_drain = _count_started_calls(drained_targets)
        gevent.sleep(_PHASE_S)
        begun_while_out = (
            _count_started_calls(drained_targets) - calls_before_drain
        )
        p99_out = load_generator.end_phase()
        restore_ms = _set_domain_state(system, 3, 'in')
        gevent.sleep(_PHASE_S)
        p99_after = load_generator.end_phase()
        load_generator.stop()
    refused = {
        reason: count
        for reason, count in load_generator.outcomes.items()
        if reason != 'none'
    }
    return Domain(
        p99_before,
        p99_out,
        p99_after,
        load_generator.outcomes['none'],
        refused,
        load_generator.lost,
        drain_ms,
        restore_ms,
        calls_before_drain,
        begun_while_out,
    )


def _set_domain_state(system: fleet.Fleet, version: int, state: str) -> float:
    started = time.perf_counter()
    revision = system.put(
        'failure-domains',
        'north-1',
        version,
        region='north',
        state=state,
    )
    path = f'/v1/revisions/{revision}'
    fleet.wait_until(lambda: bool(system.client.call('GET', path)['in_force']))
    return round((time.perf_counter() - started) * 1000, 1)


def _count_started_calls(standins: fleet.Process) -> int:
    """Returns how many calls the targets of a process have started."""
    total = 0
    for port in standins.ports:
        connection = socket.create_connection(('127.0.0.1', port))
        connection.sendall(b'GET /begun HTTP/1.1\r\nHost: bench\r\n\r\n')
        reader = messages.ResponseReader(connection)
        reader.read_head()
        total += int(reader.read_part() or b'0')
        connection.close()
    return total
