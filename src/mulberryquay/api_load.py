"""Bounds what the clients of a process's API server hold.

Bodies and answers are counted against a part of the machine's memory,
connections against a part of the process's descriptors. Above either, clients
that keep the process waiting give way; a request that runs never does.
"""

from __future__ import annotations

import logging
import resource
import typing

import gevent

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
        'Bytes that requests to the API hold: of bodies, beyond small ones, '
        'and of answers that are not sent yet.',
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

#: Copies of an answer that are kept until it is sent: as text, as bytes, and
#: in its framing.
_ANSWER_COPIES: typing.Final = 3

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


class _Part:
    """What one request holds of its body, or of its answer."""

    def __init__(self, now: float) -> None:
        self.held = 0
        self.last_progress = now


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
        self._parts: dict[Holder, _Part] = {}
        #: Gave way for their memory and have not freed it yet.
        self._ending: set[Holder] = set()

    @property
    def held_bytes(self) -> int:
        """What bodies beyond small ones and answers hold."""
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
        self._ending.discard(holder)

    def grow(self, holder: Holder, size: int) -> None:
        """Counts received bytes; others give way if they do not fit.

        Raises ApiBusyError if none of them can.
        """
        self._add(holder, size)
        if not self._make_room(holder):
            self._record('memory')
            self.release(holder)
            raise ApiBusyError(
                'bodies of other requests hold all memory for them; the '
                'request was not run, try again later',
            )

    def begin_send(self, holder: Holder, size: int) -> None:
        """Counts an answer until the release; others give way for it."""
        self.release(holder)
        self._add(holder, _ANSWER_COPIES * size)
        self._make_room(holder)

    def await_room(self) -> None:
        """Returns once those that gave way have freed their memory."""
        while self._ending:
            gevent.sleep(0)

    def release(self, holder: Holder) -> None:
        """The body or the answer of a request is held no longer."""
        self._ending.discard(holder)
        self._forget(holder)

    def _add(self, holder: Holder, size: int) -> None:
        now = self._clock.now()
        part = self._parts.get(holder)
        if part is None:
            part = _Part(now)
            self._parts[holder] = part
        part.last_progress = now
        part.held += size
        self._count_held(size)

    def _make_room(self, growing: Holder) -> bool:
        """Lets others give way; returns whether that was enough."""
        while self._held > self._max_held:
            slowest = self._find_slowest(growing)
            if slowest is None:
                return False
            self._record('memory')
            self._forget(slowest)
            self._ending.add(slowest)
            slowest.give_way()
        return True

    def _forget(self, holder: Holder) -> None:
        part = self._parts.pop(holder, None)
        if part is not None:
            self._count_held(-part.held)

    def _find_slowest(self, growing: Holder) -> Holder | None:
        """Returns whom to end, if any waits for its peer.

        It held the most for the longest time without a byte.
        """
        now = self._clock.now()
        costs = {
            other: part.held * (now - part.last_progress)
            for other, part in self._parts.items()
            if other in self._waiting and other is not growing
        }
        return max(costs, key=costs.__getitem__, default=None)

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


def share_of_descriptors(share: int) -> int:
    """Returns the ``share``-th part of how many files may be open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return _MAX_CONNECTIONS
    return max(1, soft_limit // share)
