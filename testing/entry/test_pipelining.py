"""Tests of requests that a caller sends before earlier ones are answered."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
import hypothesis
import psutil
from gevent import socket
from hypothesis import strategies

from mulberryquay.coordination import clock, units
from mulberryquay.entry import daemon, http_heads, messages
from mulberryquay.standin import target
from testing import fixtures, processes

CASE: typing.Final = unittest.TestCase()

_SLOW_MS: typing.Final = 300
_TIMEOUT_MS: typing.Final = 500
_LARGE_BYTES: typing.Final = 4 * units.MIB


class Backend:
    """A handler that records when requests begin and end."""

    def __init__(self) -> None:
        """Has served nothing."""
        self.events: list[str] = []

    def handle(self, request: target.ReceivedRequest) -> target.Answer:
        """Answers by the path: /sleep/MS, /large, /close or anything else."""
        path = request.head.path.decode()
        self.events.append(f'begin {path}')
        if '/sleep/' in path:
            duration = int(path.rpartition('/')[2])
            gevent.sleep(duration / clock.MS_PER_SECOND)
        self.events.append(f'end {path}')
        if path.endswith('/large'):
            return target.Answer(body=bytes(_LARGE_BYTES))
        if path.endswith('/close'):
            return target.Answer(raw=b'HTTP/1.1 200 OK\r\n\r\nlast')
        return target.Answer(body=path.encode() + b' ' + request.body)


class Scene(typing.NamedTuple):
    """A running entry with one target."""

    entry: daemon.EntryDaemon
    backend: Backend
    stand_in: target.StandInTarget


def _declare(control: fixtures.Control, **limits: int) -> None:
    """Declares an idempotent service and one that is not, on one target."""
    control.put('limits', 'callers', **limits)
    control.declare(
        'stock',
        service_class={'idempotent': True},
        route={'timeout_ms': _TIMEOUT_MS, 'max_attempts': 1},
    )
    control.put('routes', 'order', path_prefix='/order', service='stock')


@contextlib.contextmanager
def _scene(*arguments: str, **limits: int) -> typing.Iterator[Scene]:
    backend = Backend()
    with (
        fixtures.control() as control,
        fixtures.entry(control, arguments=arguments) as entry,
        fixtures.announced_target(
            control, 'a', backend.handle, slots=64
        ) as stand_in,
    ):
        _declare(control, **limits)
        fixtures.wait_for_targets(entry, 'a')
        control.wait_in_force()
        yield Scene(entry, backend, stand_in)


def _get(*paths: str) -> bytes:
    return b''.join(fixtures.request_bytes(path) for path in paths)


@contextlib.contextmanager
def _connection(port: int) -> typing.Iterator[typing.Any]:
    connection = socket.create_connection(('127.0.0.1', port))
    connection.settimeout(fixtures.TIMEOUT_S)
    try:
        yield connection
    finally:
        connection.close()


def _receive_all(connection: typing.Any) -> list[fixtures.Response]:
    """Reads answers until the entry closes the connection."""
    reader = messages.ResponseReader(connection)
    received = []
    while True:
        try:
            received.append(fixtures.receive(reader))
        except http_heads.CutShortError:
            return received


def _receive(connection: typing.Any, count: int) -> list[fixtures.Response]:
    reader = messages.ResponseReader(connection)
    return [fixtures.receive(reader) for _ in range(count)]


def _bodies(responses: typing.Sequence[fixtures.Response]) -> list[str]:
    return [response.body.decode().strip() for response in responses]


def _count(scene: Scene, outcome: str, reason: str) -> float:
    return scene.entry.state.metrics.read(
        'mulberryquay_requests_total', outcome, reason
    )


def test_idempotent_requests_run_side_by_side_and_are_answered_in_order() -> (
    None
):
    """A pipelined look-up must not wait for the run of the one before it."""
    paths = [f'/stock/{n}/sleep/{_SLOW_MS - 60 * n}' for n in range(4)]
    with _scene() as scene, _connection(scene.entry.port) as connection:
        started = clock.Clock().now()
        connection.sendall(_get(*paths))
        responses = _receive(connection, len(paths))
        took = clock.Clock().now() - started
        CASE.assertEqual(_bodies(responses), paths)
        CASE.assertLess(took, _SLOW_MS * 2)


def test_request_sent_later_runs_beside_those_before_it() -> None:
    """A request that arrives during a run must begin at once."""
    with _scene() as scene, _connection(scene.entry.port) as connection:
        first, second = f'/stock/1/sleep/{_SLOW_MS}', '/stock/2'
        connection.sendall(_get(first))
        fixtures.wait_until(lambda: scene.stand_in.in_flight)
        connection.sendall(_get(second))
        fixtures.wait_until(lambda: f'end {second}' in scene.backend.events)
        CASE.assertNotIn(f'end {first}', scene.backend.events)
        CASE.assertEqual(_bodies(_receive(connection, 2)), [first, second])


def test_request_that_must_not_run_twice_waits_for_the_answers_ahead() -> None:
    """An order may run only once no answer ahead can close the connection."""
    order = fixtures.request_bytes('/order/1', method='POST', body=b'x')
    first, last = f'/stock/1/sleep/{_SLOW_MS}', '/stock/2'
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(_get(first) + order + _get(last))
        bodies = _bodies(_receive(connection, 3))
        CASE.assertEqual(bodies, [first, '/order/1 x', last])
        events = scene.backend.events
        CASE.assertLess(
            events.index(f'end {first}'), events.index('begin /order/1')
        )


def test_answer_that_closes_is_the_last_and_nothing_behind_it_counts() -> None:
    """What stands behind it is cancelled or never begun, and sent again."""
    order = fixtures.request_bytes('/order/1', method='POST', body=b'x')
    slow = f'/stock/sleep/{_TIMEOUT_MS // 2}'
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(_get('/stock/close', slow) + order + _get(slow))
        responses = _receive_all(connection)
        CASE.assertEqual(_bodies(responses), ['last'])
        fixtures.wait_until(lambda: not scene.entry.state.in_flight)
        gevent.sleep(_TIMEOUT_MS / clock.MS_PER_SECOND)
        CASE.assertNotIn('begin /order/1', scene.backend.events)
        CASE.assertEqual(_count(scene, 'answered', 'none'), 1)
        CASE.assertGreaterEqual(_count(scene, 'unknown', 'behind-close'), 1)
        target_state = scene.entry.state.balancer.all_targets['a']
        CASE.assertEqual(target_state.in_flight, 0)
        CASE.assertEqual(target_state.pool.open_count, 0)


def test_nothing_is_read_behind_a_request_to_close() -> None:
    """Requests behind one with ``Connection: close`` must not run."""
    closing = fixtures.request_bytes(
        '/stock/1', headers={'Connection': 'close'}
    )
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(closing + _get('/stock/2'))
        CASE.assertEqual(_bodies(_receive_all(connection)), ['/stock/1'])
        CASE.assertNotIn('begin /stock/2', scene.backend.events)


def test_each_request_has_its_own_deadline() -> None:
    """A late answer must delay neither the runs behind it nor their ends."""
    late = f'/stock/sleep/{_TIMEOUT_MS * 3}'
    with _scene() as scene, _connection(scene.entry.port) as connection:
        started = clock.Clock().now()
        connection.sendall(_get(late, '/stock/2', late, '/stock/4'))
        responses = _receive(connection, 4)
        took = clock.Clock().now() - started
        CASE.assertEqual(
            [response.status for response in responses], [504, 200, 504, 200]
        )
        CASE.assertLess(took, _TIMEOUT_MS * 2)


def test_order_whose_turn_comes_too_late_is_refused_as_not_run() -> None:
    """Waiting for the answers ahead must end at the request's deadline."""
    late = f'/order/1/sleep/{_TIMEOUT_MS * 2}'
    order = fixtures.request_bytes(
        '/order/2',
        method='POST',
        headers={'Mulberryquay-Timeout-Ms': str(_TIMEOUT_MS // 2)},
    )
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(_get(late) + order)
        responses = _receive(connection, 2)
        CASE.assertEqual(responses[0].status, 200)
        CASE.assertEqual(responses[1].outcome, 'not-run/deadline')
        CASE.assertEqual(responses[1].status, 504)
        CASE.assertNotIn('begin /order/2', scene.backend.events)


def test_requests_read_ahead_are_bounded() -> None:
    """A caller must not start more runs than the setting allows."""
    paths = [f'/stock/{n}/sleep/50' for n in range(12)]
    for arguments, allowed in (
        (('--pipelined_requests=3',), 3),
        (('--pipelined_requests=1',), 1),
        (('--pipelined_bytes=1',), 1),
    ):
        with (
            _scene(*arguments) as scene,
            _connection(scene.entry.port) as connection,
        ):
            connection.sendall(_get(*paths))
            CASE.assertEqual(_bodies(_receive(connection, 12)), paths)
            CASE.assertEqual(scene.stand_in.max_in_flight, allowed)


def test_large_answers_wait_at_their_targets() -> None:
    """A caller that reads nothing must not fill the entry's memory."""
    with (
        fixtures.control() as control,
        fixtures.announced_target(control, 'a', Backend().handle, slots=64),
        processes.entry(control.daemon.feed_port) as entry,
    ):
        _declare(control)
        fixtures.wait_until(
            lambda: fixtures.send(entry.port, _get('/stock/x')).status == 200
        )
        process = psutil.Process(entry.process.pid)
        before = process.memory_info().rss
        with _connection(entry.port) as connection:
            connection.sendall(_get(*(['/order/large'] + ['/stock/large'] * 7)))
            gevent.sleep(_TIMEOUT_MS / 2 / clock.MS_PER_SECOND)
            growth = process.memory_info().rss - before
            CASE.assertLess(growth, _LARGE_BYTES)


def test_downloads_of_a_row_arrive_whole_and_in_order() -> None:
    """Streamed answers must not mix, whatever their sizes."""
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(
            _get('/order/large', '/stock/1', '/order/large', '/stock/2')
        )
        sizes = [len(each.body) for each in _receive(connection, 4)]
        CASE.assertEqual(sizes, [_LARGE_BYTES, 9, _LARGE_BYTES, 9])


def test_caller_that_leaves_cancels_its_idempotent_requests() -> None:
    """An order that runs is finished and recorded, look-ups are cancelled."""
    order = fixtures.request_bytes(f'/order/1/sleep/{_SLOW_MS}', method='POST')
    with _scene() as scene:
        with _connection(scene.entry.port) as connection:
            connection.sendall(
                order + _get('/stock/2/sleep/9000', '/stock/3/sleep/9000')
            )
            fixtures.wait_until(lambda: scene.stand_in.in_flight == 3)
        fixtures.wait_until(lambda: not scene.entry.state.in_flight)
        CASE.assertIn(f'end /order/1/sleep/{_SLOW_MS}', scene.backend.events)
        cancelled = _count(scene, 'unknown', 'caller-gone')
        CASE.assertEqual(cancelled + _count(scene, 'answered', 'none'), 3)
        CASE.assertGreaterEqual(cancelled, 2)
        target_state = scene.entry.state.balancer.all_targets['a']
        CASE.assertEqual(target_state.in_flight, 0)


def test_malformed_request_behind_others_is_refused_in_its_turn() -> None:
    """The answers ahead must be whole before the refusal that closes."""
    slow = f'/stock/1/sleep/{_SLOW_MS}'
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(_get(slow) + b'nonsense\r\n\r\n' + _get('/stock/2'))
        responses = _receive_all(connection)
        CASE.assertEqual([each.status for each in responses], [200, 400])
        CASE.assertEqual(responses[0].body.decode().strip(), slow)


def test_slow_head_behind_others_is_refused_in_its_turn() -> None:
    """The head timeout must bind a request behind others too."""
    with (
        _scene(head_timeout_ms=_SLOW_MS) as scene,
        _connection(scene.entry.port) as connection,
    ):
        connection.sendall(_get('/stock/1') + b'GET /stock/2 HTTP/1.1\r\nx')
        responses = _receive_all(connection)
        CASE.assertEqual([each.status for each in responses], [200, 408])


def test_planned_stop_answers_the_whole_row() -> None:
    """Only the last answer of a row may close while the entry stops."""
    paths = [f'/stock/{n}/sleep/{_SLOW_MS}' for n in range(4)]
    with _scene() as scene, _connection(scene.entry.port) as connection:
        connection.sendall(_get(*paths))
        fixtures.wait_until(lambda: scene.stand_in.in_flight == len(paths))
        stopping = gevent.spawn(scene.entry.stop)
        responses = _receive_all(connection)
        CASE.assertEqual(_bodies(responses), paths)
        closes = [each.headers.get('connection') for each in responses]
        CASE.assertEqual(closes, [None, None, None, 'close'])
        stopping.get()


_REQUESTS: typing.Final = strategies.sampled_from(
    (
        _get('/stock/1'),
        _get('/stock/2/sleep/5'),
        _get('/none'),
        fixtures.request_bytes('/order/4', method='POST', body=b'hello'),
        fixtures.request_bytes('/order/5', method='POST'),
        b'POST /stock/6 HTTP/1.1\r\nHost: test\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
    ),
)


def _ask_in_pieces(
    port: int, pieces: typing.Iterable[bytes]
) -> list[tuple[int, str, bytes]]:
    """Sends the pieces and returns the parts of each answer that matter."""
    with _connection(port) as connection:
        for piece in pieces:
            connection.sendall(piece)
            gevent.sleep(0)
        connection.sendall(_LAST_REQUEST)
        return [
            (each.status, each.outcome, each.body)
            for each in _receive_all(connection)
        ]


_LAST_REQUEST: typing.Final = fixtures.request_bytes(
    '/none', headers={'Connection': 'close'}
)


def test_any_row_in_any_pieces_gets_the_answers_of_single_requests() -> None:
    """Pipelining must change neither the answers nor their order."""
    with _scene('--pipelined_requests=3') as scene:
        port = scene.entry.port

        @fixtures.hypothesis_settings(60)
        @hypothesis.given(
            strategies.lists(_REQUESTS, max_size=7),
            strategies.lists(strategies.integers(0, 2000), max_size=6),
        )
        def check(requests: list[bytes], cuts: list[int]) -> None:
            row = _ask_in_pieces(
                port, fixtures.split_at(b''.join(requests), cuts)
            )
            single = [
                _ask_in_pieces(port, [request])[0] for request in requests
            ]
            CASE.assertEqual(row[:-1], single)
            CASE.assertEqual(row[-1][0], 404)

        check()
