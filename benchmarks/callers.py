"""A load generator with low CPU cost, and the latencies it measures."""

from __future__ import annotations

import time
import typing

import gevent
from gevent import socket
from hdrh import histogram

_RECEIVE_BYTES: typing.Final = 65536
_MAX_US: typing.Final = 60_000_000
_SIGNIFICANT_DIGITS: typing.Final = 3
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
    """Sends ``calls`` requests, one by one, on each of the connections."""
    latencies_us = histogram.HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
    started = time.perf_counter()
    tasks = [
        gevent.spawn(_send_calls, port, path, calls, latencies_us)
        for _connection in range(connections)
    ]
    gevent.joinall(tasks, raise_error=True)
    duration = time.perf_counter() - started
    return summarise(latencies_us, duration)


def summarise(latencies_us: histogram.HdrHistogram, duration: float) -> Latency:
    """Returns the quantiles of a histogram in microseconds."""
    calls = latencies_us.get_total_count()
    return Latency(
        _quantile(latencies_us, 50),
        _quantile(latencies_us, 99),
        _quantile(latencies_us, 99.9),
        calls,
        calls / duration,
    )


def _quantile(latencies_us: histogram.HdrHistogram, percentile: float) -> float:
    value_ms: float = latencies_us.get_value_at_percentile(percentile) / 1000
    return value_ms


def _send_calls(
    port: int,
    path: str,
    calls: int,
    latencies_us: histogram.HdrHistogram,
) -> None:
    request = f'GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n'.encode()
    connection = socket.create_connection(('127.0.0.1', port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _call in range(calls):
        started = time.perf_counter()
        connection.sendall(request)
        answer = connection.recv(_RECEIVE_BYTES)
        duration = time.perf_counter() - started
        if not answer.startswith(b'HTTP/1.1 200') or b'hello' not in answer:
            raise AssertionError(
                f'unexpected answer to a benchmark call: {answer!r}'
            )
        latencies_us.record_value(max(1, int(duration * _US_PER_S)))
    connection.close()
