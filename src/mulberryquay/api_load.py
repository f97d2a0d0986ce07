"""Bounds what the clients of a process's API server hold.

Bodies are counted against a part of the machine's memory, connections against
a part of the process's descriptors. Above either, clients that keep the
process waiting give way; a request that runs never does.
"""

from __future__ import annotations

import logging
import resource
import typing

from mulberryquay import metrics as metrics_module
from mulberryquay import settings
from mulberryquay.coordination import (
    clock,
    errors,
    machine_memory,
    stream_load,
    units,
)

#: Bodies up to this size always pass and are not counted.
SMALL_BODY_BYTES: typing.Final = 16_384

SETTINGS: typing.Final = (
    settings.MEMORY_MB,
    settings.Setting(
        'api_connections',
        0,
        'connections that the API and metrics server keeps; above it, one '
        'that waits for a request is closed for each new one; 0 for half of '
        'the limit of open files',
        maximum=units.MAX_INT64,
    ),
)

METRICS: typing.Final = (
    metrics_module.MetricDeclaration(
        'mulberryquay_api_body_bytes',
        'Bytes of the bodies that requests to the API hold, beyond small ones.',
        is_gauge=True,
    ),
    metrics_module.MetricDeclaration(
        'mulberryquay_api_limits_met_total',
        'Requests (limit: memory) and connections (limit: connections) of '
        'the API that were refused or closed at a limit.',
        labels=('limit',),
    ),
)

STREAM_METRICS: typing.Final = (
    metrics_module.MetricDeclaration(
        'mulberryquay_stream_limits_met_total',
        'Streams between processes that were refused or closed at a limit, by '
        'port.',
        labels=('port',),
        is_gauge=True,
    ),
)

#: Part of the machine's memory that bodies and answers may hold.
_MEMORY_SHARE: typing.Final = 8
_DESCRIPTOR_SHARE: typing.Final = 2
_MAX_CONNECTIONS: typing.Final = 1_000_000

#: Some bodies of legal size fit on any machine.
_MIN_HELD_BYTES: typing.Final = 2 * units.MIB
_LOG_INTERVAL_MS: typing.Final = 10_000.0

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ApiBusyError(errors.MulberryquayError, OSError):
    """The body does not fit beside those of other requests."""

    code = 'api-busy'
    http_status = 503


@typing.final
class RequestTooLargeError(OSError):
    """A peer sent more bytes than a request may have."""


class Holder(typing.Protocol):
    """A connection to the API server."""

    def give_way(self) -> None:
        """Ends the wait for more bytes of the connection soon."""


class _Body:
    """What one request holds of its body."""

    def __init__(self, now: float) -> None:
        self.held = 0
        self.last_received = now


@typing.final
class ApiLoad:
    """The bodies and connections of the API server of one process."""

    def __init__(
        self,
        values: settings.Values,
        counters: metrics_module.Metrics,
        time_source: clock.Clock | None = None,
    ) -> None:
        """``values`` has `SETTINGS`, ``counters`` declares `METRICS`."""
        memory = machine_memory.size_bytes(values['memory_mb'])
        self._max_held = max(memory // _MEMORY_SHARE, _MIN_HELD_BYTES)
        self._max_connections = values[
            'api_connections'
        ] or share_of_descriptors(_DESCRIPTOR_SHARE)
        self._counters = counters
        self._clock = time_source or clock.Clock()
        self._next_log = 0.0
        self._unlogged = 0
        self._held = 0
        self._connections: set[Holder] = set()
        #: In the order of the begin of their wait.
        self._waiting: dict[Holder, None] = {}
        self._bodies: dict[Holder, _Body] = {}

    @property
    def held_bytes(self) -> int:
        """What bodies beyond small ones hold."""
        return self._held

    def open(self, holder: Holder) -> bool:
        """Adds a connection; returns False if none can give way to it."""
        if len(self._connections) >= self._max_connections:
            self._record('connections')
            longest = next(iter(self._waiting), None)
            if longest is None:
                return False
            self.close(longest)
            longest.give_way()
        self._connections.add(holder)
        return True

    def close(self, holder: Holder) -> None:
        """Removes a connection."""
        self._connections.discard(holder)
        self._waiting.pop(holder, None)

    def begin_wait(self, holder: Holder) -> None:
        """The connection waits for bytes of a request from now on."""
        if holder in self._connections:
            self._waiting[holder] = None

    def end_wait(self, holder: Holder) -> None:
        """The request runs, or its head is complete."""
        self._waiting.pop(holder, None)

    def grow(self, holder: Holder, size: int) -> None:
        """Counts received bytes; others give way if they do not fit.

        Raises ApiBusyError if none of them can.
        """
        now = self._clock.now()
        body = self._bodies.get(holder)
        if body is None:
            body = _Body(now)
            self._bodies[holder] = body
        body.last_received = now
        body.held += size
        self._count_held(size)
        while self._held > self._max_held:
            slowest = self._find_slowest(holder, now)
            self._record('memory')
            self.release(slowest)
            if slowest is holder:
                raise ApiBusyError(
                    'bodies of other requests hold all memory for them; the '
                    'request was not run, try again later',
                )
            slowest.give_way()

    def release(self, holder: Holder) -> None:
        """The body of a request is held no longer."""
        body = self._bodies.pop(holder, None)
        if body is not None:
            self._count_held(-body.held)

    def _find_slowest(self, growing: Holder, now: float) -> Holder:
        """Returns whom to end; the growing one if no other body is waited for.

        It held the most for the longest time without a byte.
        """
        costs = {
            other: body.held * (now - body.last_received)
            for other, body in self._bodies.items()
            if other in self._waiting and other is not growing
        }
        return max(costs, key=costs.__getitem__, default=growing)

    def _count_held(self, size: int) -> None:
        self._held += size
        self._counters.set_gauge('mulberryquay_api_body_bytes', self._held)

    def _record(self, limit: str) -> None:
        self._counters.count('mulberryquay_api_limits_met_total', limit)
        self._unlogged += 1
        now = self._clock.now()
        if now >= self._next_log:
            _LOG.warning(
                'limit of the API server met',
                extra={'limit': limit, 'times': self._unlogged},
            )
            self._unlogged = 0
            self._next_log = now + _LOG_INTERVAL_MS


def share_of_descriptors(share: int) -> int:
    """Returns the ``share``-th part of how many files may be open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return _MAX_CONNECTIONS
    return max(1, soft_limit // share)
def stream_limits(
    memory_mb: int, streams: int, descriptor_share: int
) -> stream_load.Limits:
    """Returns the limits of the streams of one port.

    ``streams`` is their number, derived from the descriptors if 0.
    """
    return stream_load.Limits(
        streams or share_of_descriptors(descriptor_share),
        machine_memory.size_bytes(memory_mb) // _MEMORY_SHARE,
    )


