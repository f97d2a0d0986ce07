"""Bounds what the callers of an entry hold: memory and connections.

Connections to targets count in the bound of all.
"""

from __future__ import annotations

import collections
import enum
import logging
import math
import resource
import typing

from mulberryquay import metrics
from mulberryquay.coordination import (
    clock,
    machine_memory,
    memory_account,
    units,
)

#: Part of the machine's memory that callers may hold, in percent. The rest is
#: for the process itself and for what the account does not see.
MEMORY_PERCENT: typing.Final = 25

#: Part of the descriptors that connections of callers may use. The rest is
#: for those to targets, other entries and control hosts.
_DESCRIPTOR_PART: typing.Final = 0.75

#: Part of them that all connections but those for monitoring may use.
_OPEN_DESCRIPTOR_PART: typing.Final = 0.875

#: Part of them that connections of other entries may use.
_PEER_DESCRIPTOR_PART: typing.Final = 0.125

_PERCENT: typing.Final = 100

#: Time between two log lines about one limit, and about that of records,
#: which a small machine may meet with each request.
_LOG_INTERVAL_MS: typing.Final = units.SECOND_MS
_RECORD_LOG_INTERVAL_MS: typing.Final = units.HOUR_MS

_LOG: typing.Final = logging.getLogger(__name__)

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_limits_met_total',
        'Requests refused, connections closed and records dropped by a limit '
        'of the process.',
        labels=('limit',),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_caller_memory_bytes',
        'Memory that callers hold now, as limited by caller_memory_percent.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_record_bytes',
        'Memory of the records of requests, as limited by '
        'record_memory_percent.',
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
    #: No connection was left but those of requests, whoever opened them.
    OPEN_CONNECTIONS = 'open-connections'
    #: The oldest record of a request was dropped for their memory.
    RECORDS = 'records'


class Bounds(typing.NamedTuple):
    """What all callers of a process may hold."""

    memory_bytes: int = units.MAX_INT64
    connections: int = units.MAX_INT64
    #: Connections of one address; 0 for no bound of its own.
    address_connections: int = 0
    #: Connections of other entries.
    peer_connections: int = units.MAX_INT64
    #: What the records of their requests may hold.
    record_bytes: int = units.MAX_INT64
    #: Connections in all, also those to targets.
    open_connections: int = units.MAX_INT64

    @property
    def of_peers(self) -> Bounds:
        """The bounds of other entries, which have places of their own."""
        return Bounds(connections=self.peer_connections)

    @property
    def account_limit(self) -> int:
        """The limit of an account that holds so much with its reserve."""
        return int(self.memory_bytes / (1 + 1 / memory_account.RESERVE_SHARE))


def memory_bound(memory_mb: int, percent: int) -> int:
    """Returns a part of the memory in bytes; 0 MB for the machine's."""
    return machine_memory.size_bytes(memory_mb) * percent // _PERCENT


def connection_bound(given: int) -> int:
    """Returns how many connections callers may open; derived if 0."""
    return given or _share_of_descriptors(_DESCRIPTOR_PART)


def peer_connection_bound(given: int) -> int:
    """Returns how many connections other entries may open; derived if 0."""
    return given or _share_of_descriptors(_PEER_DESCRIPTOR_PART)


def open_connection_bound(given: int) -> int:
    """Returns how many connections may be open in all; derived if 0."""
    return given or _share_of_descriptors(_OPEN_DESCRIPTOR_PART)


def _share_of_descriptors(part: float) -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return units.MAX_INT64
    return max(1, int(descriptors * part))


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
        interval = (
            _RECORD_LOG_INTERVAL_MS
            if limit is Limit.RECORDS
            else _LOG_INTERVAL_MS
        )
        if now - self._logged_at.get(limit, -math.inf) < interval:
            return
        self._logged_at[limit] = now
        _LOG.warning('limit met', extra={'limit': limit.value})


class Connection(typing.Protocol):
    """A caller's connection."""

    @property
    def part(self) -> memory_account.Part:
        """What it holds in memory."""

    def make_place(self) -> None:
        """Closes soon; must not block."""


_Parts = typing.Iterable[memory_account.Part]


def _end_none(_parts: _Parts) -> bool:
    """Lets no connection give way."""
    return False


@typing.final
class Connections:
    """The open connections of callers, bounded in all and by address.

    At a bound, the one that waited longest without a complete request is
    closed for the new one. Without any, a slow one that serves a request
    gives way, so that the next ones find a place.
    """

    def __init__(
        self,
        bounds: Bounds,
        notes: LimitNotes,
        end_slowest: typing.Callable[[_Parts], bool] = _end_none,
    ) -> None:
        """Starts without connections.

        ``end_slowest`` lets one of several connections give way that waits
        for its caller, by their parts; it returns whether there was one.
        """
        self._bounds = bounds
        self._notes = notes
        self._end_slowest = end_slowest
        self._addresses: dict[Connection, str] = {}
        self._by_address: collections.Counter[str] = collections.Counter()
        #: Those without a complete request; the longest wait comes first.
        self._waiting: dict[Connection, None] = {}
        #: Those whose place was given to another one, with the address whose
        #: bound was met, if it was that. They end, unless a request arrives.
        self._leaving: dict[Connection, str] = {}

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._addresses)

    def admit(self, address: str) -> bool:
        """Returns whether a new connection may be served."""
        bound = self._bounds.address_connections
        if bound and self._by_address[address] >= bound:
            self._notes.note(Limit.ADDRESS_CONNECTIONS)
            return self._close_one(address)
        if len(self._addresses) < self._bounds.connections:
            return True
        self._notes.note(Limit.CONNECTIONS)
        return self._close_one()

    def make_place(self) -> bool:
        """Closes the one that waits longest; returns whether one did."""
        return self._close_longest_wait()

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
        self._leaving.pop(connection, None)
        self._by_address[address] -= 1
        if not self._by_address[address]:
            self._by_address.pop(address)

    def begin_request(self, connection: Connection) -> bool:
        """Keeps a connection from being closed for another one.

        Returns whether the request may run. Where it arrived after the place
        was given away, another connection has to close instead.
        """
        self._waiting.pop(connection, None)
        address = self._leaving.pop(connection, None)
        if address is None or self._close_one(address):
            return True
        self._leaving[connection] = address
        self._notes.note(
            Limit.ADDRESS_CONNECTIONS if address else Limit.CONNECTIONS
        )
        return False

    def end_requests(self, connection: Connection) -> None:
        """Notes that a connection waits for its next request."""
        if connection in self._addresses:
            self._waiting[connection] = None

    def _close_one(self, address: str = '') -> bool:
        """Closes one that waits for a request, else a slow one, if any.

        Among those of an ``address``, a slow one stays.
        """
        if self._close_longest_wait(address):
            return True
        return not address and self._end_slowest(
            connection.part
            for connection in self._addresses
            if connection not in self._leaving
        )

    def _close_longest_wait(self, address: str = '') -> bool:
        """Closes the one that waits longest, at ``address`` if it is given."""
        chosen = next(
            (
                waiting
                for waiting in self._waiting
                if not address or self._addresses[waiting] == address
            ),
            None,
        )
        if chosen is None:
            return False
        self._waiting.pop(chosen)
        self._leaving[chosen] = address
        chosen.make_place()
        return True


class Pool(typing.Protocol):
    """The connections to one target."""

    def drop_idle(self, connection: typing.Any) -> None:
        """Closes a connection that is not in use, and forgets it."""


@typing.final
class OpenConnections:
    """All open connections of an entry, whoever opened them.

    Callers, other entries and targets share the descriptors of the process.
    At the bound, a connection to a target that is not in use is closed for a
    new one, else the caller that waited longest without a request.
    """

    def __init__(
        self,
        limit: int = units.MAX_INT64,
        callers: Connections | None = None,
        peers: Connections | None = None,
        notes: LimitNotes | None = None,
    ) -> None:
        """Counts those of callers and peers, and those to targets as told."""
        self._limit = limit
        self._accepted = [side for side in (callers, peers) if side is not None]
        self._callers = callers
        self._notes = notes
        #: Connections to targets, in use or not.
        self.to_targets = 0
        #: Those not in use with their pools; the longest idle comes first.
        self._idle: dict[object, Pool] = {}

    def add_idle(self, connection: object, pool: Pool) -> None:
        """Notes a connection to a target that is not in use any more."""
        self._idle[connection] = pool

    def remove_idle(self, connection: object) -> None:
        """Notes that a connection is in use again, or closed."""
        self._idle.pop(connection, None)

    def make_room(self) -> bool:
        """Closes another connection if there is no room for a new one.

        Returns whether there is room now, or soon.
        """
        while self._is_full and self._idle:
            connection, pool = next(iter(self._idle.items()))
            pool.drop_idle(connection)
        if not self._is_full:
            return True
        if self._notes is not None:
            self._notes.note(Limit.OPEN_CONNECTIONS)
        return self._callers is not None and self._callers.make_place()

    @property
    def _is_full(self) -> bool:
        accepted = sum(len(side) for side in self._accepted)
        return self.to_targets + accepted >= self._limit


class Places(typing.NamedTuple):
    """The open connections of an entry by who opened them."""

    callers: Connections
    #: Those of other entries, which must not compete with callers.
    peers: Connections
    all_open: OpenConnections


def new_places(
    bounds: Bounds,
    notes: LimitNotes,
    end_slowest: typing.Callable[[_Parts], bool],
) -> Places:
    """Returns the connections of an entry that has none yet."""
    callers = Connections(bounds, notes, end_slowest)
    peers = Connections(bounds.of_peers, notes, end_slowest)
    return Places(
        callers,
        peers,
        OpenConnections(bounds.open_connections, callers, peers, notes),
    )
