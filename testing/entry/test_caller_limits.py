"""Tests of the bounds of what callers hold (issue 45)."""

from __future__ import annotations

import contextlib
import gc
import typing
import unittest

import gevent
from gevent import socket

from mulberryquay import metrics
from mulberryquay.coordination import clock, memory_account, units
from mulberryquay.entry import caller_limits
from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_LARGE_BYTES: typing.Final = 60_000

#: Requests whose answers fill any buffer of the system.
_MANY: typing.Final = 1000
_SEND_TIMEOUT_S: typing.Final = 0.2


_STALL_S: typing.Final = 0.5

_UNFINISHED: typing.Final = (
    b'POST /stock/x HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\n'
)

#: What each request or connection has.
_REQUEST_TYPES: typing.Final = frozenset(
    ('RequestHead', 'Waiter', 'RefusedError', 'Exchange', 'CallerConnection')
)


def _stall(_request: target.ReceivedRequest) -> target.Answer:
    gevent.sleep(_STALL_S)
    return target.Answer()


class _Connection:
    """A connection that only notes that it must make place."""

    def __init__(self) -> None:
        self.is_closed = False
        account = memory_account.MemoryAccount(
            units.MAX_INT64, clock.ManualClock(), lambda: None
        )
        self.part = memory_account.Part(account, 0)

    def make_place(self) -> None:
        """Notes the call."""
        self.is_closed = True


def _end_none(_parts: typing.Iterable[memory_account.Part]) -> bool:
    return False


def _connections(
    end_slowest: typing.Callable[..., bool] = _end_none,
    **bounds: int,
) -> caller_limits.Connections:
    notes = caller_limits.LimitNotes(
        metrics.Metrics(caller_limits.METRICS), clock.ManualClock()
    )
    return caller_limits.Connections(
        caller_limits.Bounds(**bounds), notes, end_slowest
    )


def _opened(
    connections: caller_limits.Connections, *addresses: str
) -> list[_Connection]:
    opened = []
    for address in addresses:
        CASE.assertTrue(connections.admit(address))
        opened.append(_Connection())
        connections.add(opened[-1], address)
    return opened


def test_longest_wait_ends_for_a_new_connection() -> None:
    """A connection whose request is served must stay (issue 45)."""
    connections = _connections(connections=3)
    served, first, second = _opened(connections, 'a', 'b', 'c')
    connections.begin_request(served)
    CASE.assertTrue(connections.admit('d'))
    CASE.assertEqual([first.is_closed, second.is_closed], [True, False])
    connections.remove(first)
    CASE.assertEqual(len(connections), 2)
    connections.begin_request(second)
    _opened(connections, 'd')
    connections.end_requests(served)
    CASE.assertTrue(connections.admit('e'))
    CASE.assertFalse(served.is_closed)


def test_new_connection_is_closed_if_all_others_are_served() -> None:
    """Requests being served must not end for it (issue 45)."""
    connections = _connections(connections=1)
    served = _opened(connections, 'a')[0]
    connections.begin_request(served)
    CASE.assertFalse(connections.admit('b'))
    connections.end_requests(served)
    CASE.assertTrue(connections.admit('b'))
    CASE.assertTrue(served.is_closed)


def test_request_whose_place_was_given_away_needs_another_one() -> None:
    """It ran in the same place, and connections had no bound."""
    connections = _connections(connections=1)
    first = _opened(connections, 'a')[0]
    second = _opened(connections, 'b')[0]
    CASE.assertTrue(first.is_closed)
    CASE.assertTrue(connections.begin_request(first))
    CASE.assertTrue(second.is_closed)
    CASE.assertFalse(connections.begin_request(second))
    CASE.assertFalse(connections.admit('c'))


def test_connection_that_leaves_is_not_ended_again_as_a_slow_one() -> None:
    """One that ended made place for two."""
    candidates: list[memory_account.Part] = []

    def end_slowest(parts: typing.Iterable[memory_account.Part]) -> bool:
        candidates.extend(parts)
        return bool(candidates)

    connections = _connections(end_slowest, connections=2)
    _, served = _opened(connections, 'a', 'b')
    connections.begin_request(served)
    CASE.assertTrue(connections.admit('c'))
    CASE.assertTrue(connections.admit('d'))
    CASE.assertEqual(candidates, [served.part])


def test_request_is_refused_if_its_place_was_given_away() -> None:
    """A crowd took all descriptors, and nobody else was accepted for 30 s."""
    with _joined(max_connections=1) as (entry, client):
        CASE.assertTrue(entry.state.connections.callers.admit('127.0.0.2'))
        client.sendall(_UNFINISHED)
        CASE.assertIn(b'memory-limit', client.recv(_LARGE_BYTES))
        fixtures.wait_until(lambda: not entry.caller_connections)


def test_connection_that_was_to_end_and_got_a_request_can_end_later() -> None:
    """Its unfinished request was kept, whoever needed the memory."""
    with _joined() as (entry, client):
        memory = entry.state.memory
        gevent.sleep(memory_account.SLOW_MS / units.SECOND_MS)
        memory.limit = 1
        memory.make_room(0)
        memory.limit = units.MAX_INT64
        client.sendall(_UNFINISHED)
        fixtures.wait_until(lambda: entry.state.in_flight)
        memory.limit = 1
        fixtures.wait_until(lambda: memory.make_room(0))
        CASE.assertIn(b'memory-limit', client.recv(_LARGE_BYTES))


@contextlib.contextmanager
def _joined(
    **overrides: typing.Any,
) -> typing.Iterator[tuple[entry_daemon.EntryDaemon, typing.Any]]:
    """Yields an entry and the only client, whose connection it serves."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, **overrides) as entry,
    ):
        control.declare()
        control.wait_in_force()
        address = ('127.0.0.1', entry.port)
        with contextlib.closing(socket.create_connection(address)) as client:
            fixtures.wait_until(lambda: entry.caller_connections)
            yield entry, client


def test_bound_of_an_address_ends_only_its_own_connections() -> None:
    """Others must not lose theirs to one address (issue 45)."""
    connections = _connections(address_connections=1)
    other, own = _opened(connections, 'a', 'b')
    CASE.assertTrue(connections.admit('b'))
    CASE.assertEqual([other.is_closed, own.is_closed], [False, True])


def test_bounds_are_derived_from_the_machine() -> None:
    """A default must be neither none nor below what is in use."""
    given = caller_limits.memory_bound(96, 25)
    CASE.assertEqual(given, 24 * units.MIB)
    derived = caller_limits.memory_bound(0, 100)
    CASE.assertGreater(derived, given)
    CASE.assertLess(derived, units.MAX_INT64)
    CASE.assertEqual(caller_limits.connection_bound(7), 7)
    CASE.assertGreater(caller_limits.connection_bound(0), 0)


def _has_stopped(stand_in: target.StandInTarget) -> bool:
    """Whether a target that had requests gets no more."""
    count = stand_in.runs.total()
    gevent.sleep(_SEND_TIMEOUT_S)
    return count > 0 and count == stand_in.runs.total()


def test_answers_that_nobody_reads_give_way() -> None:
    """They were kept for as long as the caller stayed (issue 45)."""
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        contextlib.ExitStack() as stack,
    ):
        control.declare()
        control.wait_in_force()
        large = fixtures.announced_target(
            control,
            'stock-a',
            lambda _request: target.Answer(body=b'x' * _LARGE_BYTES),
        )
        stand_in = stack.enter_context(large)
        fixtures.wait_for_targets(entry, 'stock-a')
        connection = stack.enter_context(
            contextlib.closing(
                socket.create_connection(('127.0.0.1', entry.port))
            )
        )
        memory = entry.state.memory
        connection.settimeout(_SEND_TIMEOUT_S)
        request = fixtures.request_bytes('/stock/x')
        with contextlib.suppress(TimeoutError):
            connection.sendall(request * _MANY)
        fixtures.wait_until(lambda: _has_stopped(stand_in))
        CASE.assertGreaterEqual(memory.held_bytes, _LARGE_BYTES)
        memory.limit = 1
        fixtures.wait_until(lambda: memory.make_room(0))
        memory.limit = units.MAX_INT64
        fixtures.wait_until(lambda: memory.held_bytes == 0)
        page = fixtures.send(
            entry.admin_port, fixtures.request_bytes('/metrics')
        )
        CASE.assertIn(b'limit="memory-held"', page.body)


def test_large_body_is_refused_while_callers_hold_too_much() -> None:
    """It is not run, small ones pass, and all is given back (issue 45)."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        control.wait_in_force()
        with fixtures.announced_target(control, 'stock-a'):
            fixtures.wait_for_targets(entry, 'stock-a')
            memory = entry.state.memory
            whole_limit = memory.limit
            memory.limit = _LARGE_BYTES
            refused = fixtures.ask(
                entry, '/stock/x', method='POST', body=b'x' * _LARGE_BYTES
            )
            CASE.assertEqual(refused.status, 503)
            CASE.assertEqual(
                refused.headers['mulberryquay-reason'], 'memory-limit'
            )
            CASE.assertEqual(refused.headers['mulberryquay-outcome'], 'not-run')
            CASE.assertIn('retry-after', refused.headers)
            small = fixtures.ask(
                entry, '/stock/x', method='POST', body=b'x' * 1000
            )
            CASE.assertEqual(small.status, 200)
            memory.limit = whole_limit
            fixtures.wait_until(lambda: memory.held_bytes == 0)


def test_ended_requests_need_no_garbage_collector() -> None:
    """It runs rarely, so what it has to free is held meanwhile (issue 53)."""
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'stock-a', _stall, slots=1),
    ):
        control.declare(max_queue=1)
        control.wait_in_force()
        fixtures.wait_for_targets(entry, 'stock-a')
        gc.collect()
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            callers = [
                gevent.spawn(fixtures.ask, entry, '/stock/x') for _ in range(8)
            ]
            statuses = {caller.get().status for caller in callers}
            fixtures.wait_until(lambda: not entry.caller_connections)
            gc.collect()
            kept = {type(part).__name__ for part in gc.garbage}
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
    CASE.assertEqual(statuses, {200, 503})
    CASE.assertFalse(kept & _REQUEST_TYPES)


class _Pool:
    """A pool whose connections are numbers."""

    def __init__(self) -> None:
        self.dropped: list[int] = []
        self.all_open = caller_limits.OpenConnections(limit=2)

    def open_idle(self, number: int) -> None:
        """Opens a connection that is not used at once."""
        self.all_open.to_targets += 1
        self.all_open.add_idle(number, self)

    def drop_idle(self, connection: int) -> None:
        """Closes a connection."""
        self.dropped.append(connection)
        self.all_open.remove_idle(connection)
        self.all_open.to_targets -= 1


def test_target_connection_that_was_idle_longest_gives_way() -> None:
    """One in use never ends for another one."""
    pool = _Pool()
    pool.open_idle(1)
    pool.open_idle(2)
    pool.all_open.remove_idle(1)
    CASE.assertTrue(pool.all_open.make_room())
    pool.all_open.to_targets += 1
    CASE.assertEqual(pool.dropped, [2])
    CASE.assertFalse(pool.all_open.make_room())
    pool.all_open.add_idle(1, pool)
    CASE.assertTrue(pool.all_open.make_room())
    CASE.assertEqual(pool.dropped, [2, 1])
