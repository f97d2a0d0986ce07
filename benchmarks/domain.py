"""Service kept while a failure domain leaves and returns under load."""

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
_PAUSE_S: typing.Final = 0.01
_WORK_MS: typing.Final = 10
_MAX_US: typing.Final = 60_000_000
_US_PER_S: typing.Final = 1_000_000


class Domain(typing.NamedTuple):
    """Calls, refusals and lost answers, and p99 in ms, by phase."""

    p99_before: float
    p99_out: float
    p99_after: float
    answered: int
    refused: dict[str, int]
    lost: int
    #: Milliseconds until `drain` and `restore` were in force.
    drain_ms: float
    restore_ms: float
    #: Calls that the domain had begun when it was taken out.
    begun_before: int
    #: Calls that the domain still began after `drain` was in force.
    begun_while_out: int


@typing.final
class _Load:
    """Callers that ask in turn and note what they are told."""

    def __init__(self, ports: list[int]) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.recorded = histogram.HdrHistogram(1, _MAX_US, 3)
        self.lost = 0
        self.is_over = False
        self._tasks = [
            gevent.spawn(self._ask, ports[number % len(ports)])
            for number in range(_CALLERS)
        ]

    def end_phase(self) -> float:
        """Returns the p99 of the calls since the last phase."""
        recorded = self.recorded
        self.recorded = histogram.HdrHistogram(1, _MAX_US, 3)
        return callers.summarise(recorded, 1).p99

    def stop(self) -> None:
        """Ends all callers."""
        self.is_over = True
        gevent.joinall(self._tasks)

    def _ask(self, port: int) -> None:
        request = b'GET /stock/x HTTP/1.1\r\nHost: bench\r\n\r\n'
        while not self.is_over:
            connection = socket.create_connection(('127.0.0.1', port))
            reader = messages.ResponseReader(connection)
            try:
                self._ask_on(connection, reader, request)
            except (OSError, http_heads.CutShortError, http_heads.MessageError):
                self.lost += 1
            connection.close()

    def _ask_on(
        self,
        connection: typing.Any,
        reader: messages.ResponseReader,
        request: bytes,
    ) -> None:
        while not self.is_over:
            began = time.perf_counter()
            connection.sendall(request)
            head = reader.read_head()
            while reader.read_part() is not None:
                """Reads the body to its end."""
            taken = time.perf_counter() - began
            self.recorded.record_value(int(taken * _US_PER_S))
            reason = (head.find(b'mulberryquay-reason') or b'?').decode()
            self.outcomes[reason] += 1
            gevent.sleep(_PAUSE_S)


def run() -> Domain:
    """Runs three phases: all in, one domain out, all in again."""
    with fleet.start() as system:
        for domain in ('north-1', 'north-2'):
            system.put('failure-domains', domain, region='north')
        system.declare('stock')
        # The entries stand in north-1, so that domain carries the load.
        out = system.start_targets('stock', 6, work_ms=_WORK_MS)
        system.start_targets('stock', 6, work_ms=_WORK_MS, domain='north-2')
        entries = [system.start_entry(f'entry-{one}') for one in range(2)]
        system.wait_for_entries(2)
        load = _Load([entry.ports[0] for entry in entries])
        gevent.sleep(_PHASE_S)
        load.end_phase()
        gevent.sleep(_PHASE_S)
        p99_before = load.end_phase()
        drain_ms = _change(system, 2, 'out')
        begun = _begun(out)
        gevent.sleep(_PHASE_S)
        begun_while_out = _begun(out) - begun
        p99_out = load.end_phase()
        restore_ms = _change(system, 3, 'in')
        gevent.sleep(_PHASE_S)
        p99_after = load.end_phase()
        load.stop()
    refused = {
        reason: count
        for reason, count in load.outcomes.items()
        if reason != 'none'
    }
    return Domain(
        p99_before,
        p99_out,
        p99_after,
        load.outcomes['none'],
        refused,
        load.lost,
        drain_ms,
        restore_ms,
        begun,
        begun_while_out,
    )


def _change(system: fleet.Fleet, version: int, state: str) -> float:
    began = time.perf_counter()
    revision = system.put(
        'failure-domains',
        'north-1',
        version,
        region='north',
        state=state,
    )
    path = f'/v1/revisions/{revision}'
    fleet.wait_until(lambda: bool(system.client.call('GET', path)['in_force']))
    return round((time.perf_counter() - began) * 1000, 1)


def _begun(standins: fleet.Process) -> int:
    """Returns the calls that a process of targets has begun."""
    total = 0
    for port in standins.ports:
        connection = socket.create_connection(('127.0.0.1', port))
        connection.sendall(b'GET /begun HTTP/1.1\r\nHost: bench\r\n\r\n')
        reader = messages.ResponseReader(connection)
        reader.read_head()
        total += int(reader.read_part() or b'0')
        connection.close()
    return total
