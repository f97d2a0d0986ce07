"""Bounds what the callers of an entry hold: memory and connections."""

from __future__ import annotations

import collections
import enum
import logging
import math
import resource
import typing

from mulberryquay import metrics
from mulberryquay.coordination import clock, machine_memory, units

#: Part of the machine's memory that callers may hold, in percent. The rest is
#: for the process itself and for what the account does not see.
MEMORY_PERCENT: typing.Final = 25

#: Part of the descriptors that connections of callers may use. The rest is
#: for those to targets, other entries and control hosts.
_DESCRIPTOR_PART: typing.Final = 0.75

_PERCENT: typing.Final = 100

#: Time between two log lines about one limit.
_LOG_INTERVAL_MS: typing.Final = units.SECOND_MS

_LOG: typing.Final = logging.getLogger(__name__)

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_limits_met_total',
        'Requests refused and connections closed by a limit of the process.',
        labels=('limit',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_caller_memory_bytes',
        'Memory that callers hold now, as limited by caller_memory_percent.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_caller_connections',
        'Open connections of callers, as limited by max_connections.',
        is_gauge=True,
    ),
)


class Limit(enum.Enum):
    """What was met; also a metric label."""

    #: A request was refused because callers hold too much memory.
    MEMORY = 'memory'
    #: A slow connection that held much was ended for others.
    MEMORY_HELD = 'memory-held'
    CONNECTIONS = 'connections'
    ADDRESS_CONNECTIONS = 'address-connections'


class Bounds(typing.NamedTuple):
    """What all callers of a process may hold."""

    memory_bytes: int = units.MAX_INT64
    connections: int = units.MAX_INT64
    #: Connections of one address; 0 for no bound of its own.
    address_connections: int = 0


def memory_bound(memory_mb: int, percent: int) -> int:
    """Returns the bytes that callers may hold; 0 MB for the machine's."""
    return machine_memory.size_bytes(memory_mb) * percent // _PERCENT


def connection_bound(given: int) -> int:
    """Returns how many connections callers may open; derived if 0."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if given or descriptors == resource.RLIM_INFINITY:
        return given or units.MAX_INT64
    return max(1, int(descriptors * _DESCRIPTOR_PART))


@typing.final
class LimitNotes:
    """Counts the limits that were met, and logs them now and then."""

    def __init__(
        self, counters: metrics.Metrics, time_source: clock.Clock
    ) -> None:
        """Counts in ``counters``."""
        self._metrics = counters
        self._clock = time_source
        self._logged_at: dict[Limit, float] = {}

    def note(self, limit: Limit) -> None:
        """Counts a limit that was met once more."""
        self._metrics.count('mulberryquay_limits_met_total', limit.value)
        now = self._clock.now()
        if now - self._logged_at.get(limit, -math.inf) < _LOG_INTERVAL_MS:
            return
        self._logged_at[limit] = now
        _LOG.warning('limit met', extra={'limit': limit.value})


class Connection(typing.Protocol):
    """A caller's connection."""

    def make_place(self) -> None:
        """Closes soon; must not block."""


@typing.final
class Connections:
    """The open connections of callers, bounded in all and by address.

    At a bound, the one that waited longest without a complete request is
    closed for the new one.
    """

    def __init__(self, bounds: Bounds, notes: LimitNotes) -> None:
        """Starts without connections."""
        self._bounds = bounds
        self._notes = notes
        self._addresses: dict[Connection, str] = {}
        self._by_address: collections.Counter[str] = collections.Counter()
        #: Those without a complete request; the longest wait comes first.
        self._waiting: dict[Connection, None] = {}

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._addresses)

    def admit(self, address: str) -> bool:
        """Returns whether a new connection may be served."""
        bound = self._bounds.address_connections
        if bound and self._by_address[address] >= bound:
            self._notes.note(Limit.ADDRESS_CONNECTIONS)
            return self._close_first(
                waiting
                for waiting in self._waiting
                if self._addresses[waiting] == address
            )
        if len(self._addresses) < self._bounds.connections:
            return True
        self._notes.note(Limit.CONNECTIONS)
        return self._close_first(iter(self._waiting))

    def add(self, connection: Connection, address: str) -> None:
        """Adds an admitted connection, which waits for its first request."""
        self._addresses[connection] = address
        self._by_address[address] += 1
        self._waiting[connection] = None

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed; harmless if unknown."""
        address = self._addresses.pop(connection, None)
        if address is None:
            return
        self._waiting.pop(connection, None)
        self._by_address[address] -= 1
        if not self._by_address[address]:
            self._by_address.pop(address)

    def begin_request(self, connection: Connection) -> None:
        """Keeps a connection from being closed for another one."""
        self._waiting.pop(connection, None)

    def end_requests(self, connection: Connection) -> None:
        """Notes that a connection waits for its next request."""
        if connection in self._addresses:
            self._waiting[connection] = None

    def _close_first(self, candidates: typing.Iterator[Connection]) -> bool:
        chosen = next(candidates, None)
        if chosen is None:
            return False
        self._waiting.pop(chosen)
        chosen.make_place()
        return True
