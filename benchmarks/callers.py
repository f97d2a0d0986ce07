"""Callers that spend little themselves, and what they measured."""

from __future__ import annotations

import time
import typing

import gevent
from gevent import socket
from hdrh import histogram

_RECEIVE_BYTES: typing.Final = 65536
_MAX_US: typing.Final = 60_000_000
_DIGITS: typing.Final = 3
_US_PER_S: typing.Final = 1_000_000


class Latency(typing.NamedTuple):
    """Quantiles in milliseconds, and the calls per second."""

    p50: float
    p99: float
    p999: float
    calls: int
    per_second: float


def measure(
    port: int,
    path: str,
    *,
    connections: int = 1,
    calls: int = 2000,
) -> Latency:
    """Sends ``calls`` requests on each of so many connections in turn."""
    recorded = histogram.HdrHistogram(1, _MAX_US, _DIGITS)
    started = time.perf_counter()
    tasks = [
        gevent.spawn(_ask, port, path, calls, recorded)
        for _connection in range(connections)
    ]
    gevent.joinall(tasks, raise_error=True)
    duration = time.perf_counter() - started
    return summarise(recorded, duration)


def summarise(recorded: histogram.HdrHistogram, duration: float) -> Latency:
    """Returns the quantiles of a histogram in microseconds."""
    calls = recorded.get_total_count()
    return Latency(
        _quantile(recorded, 50),
        _quantile(recorded, 99),
        _quantile(recorded, 99.9),
        calls,
        calls / duration,
    )


def _quantile(recorded: histogram.HdrHistogram, percentile: float) -> float:
    reading: float = recorded.get_value_at_percentile(percentile) / 1000
    return reading


def _ask(
    port: int,
    path: str,
    calls: int,
    recorded: histogram.HdrHistogram,
) -> None:
    request = f'GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n'.encode()
    connection = socket.create_connection(('127.0.0.1', port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _call in range(calls):
        began = time.perf_counter()
        connection.sendall(request)
        answer = connection.recv(_RECEIVE_BYTES)
        taken = time.perf_counter() - began
        if not answer.startswith(b'HTTP/1.1 200') or b'hello' not in answer:
            raise AssertionError(f'got {answer!r}')
        recorded.record_value(max(1, int(taken * _US_PER_S)))
    connection.close()
