"""Tests with separate processes: kills, restarts, stops and memory."""

from __future__ import annotations

import contextlib
import itertools
import signal
import subprocess
import sys
import typing
import unittest

import gevent
import psutil
from gevent import socket

from mulberryquay import announcer
from mulberryquay.commands import api_client
from mulberryquay.entry import http_heads, messages
from mulberryquay.standin import target
from testing import fixtures, processes

CASE: typing.Final = unittest.TestCase()

_MIB: typing.Final = 1 << 20


@contextlib.contextmanager
def _stock_service(
    api_port: int,
    handler: target.Handler,
) -> typing.Iterator[target.StandInTarget]:
    """Declares a service at ``/stock`` and runs its one target."""
    client = processes.client(api_port)
    processes.put(client, 'service-classes', 'read', idempotent=True)
    processes.put(client, 'services', 'stock')
    processes.put(
        client,
        'routes',
        'stock',
        path_prefix='/stock',
        service='stock',
        service_class='read',
    )
    stand_in = target.StandInTarget(handler, slots=64)
    stand_in.start()
    target_announcer = announcer.Announcer(
        fixtures.announcement('stock-a', stand_in.address, slots=64),
        [f'127.0.0.1:{api_port}'],
    )
    target_announcer.start()
    try:
        yield stand_in
    finally:
        target_announcer.stop()
        stand_in.stop()


def _is_answered(port: int) -> bool:
    response = fixtures.send(port, fixtures.request_bytes('/stock/x'))
    return response.outcome == 'answered/none'


def test_killed_control_keeps_every_accepted_change() -> None:
    """Guards against losing acknowledged changes to a kill -9 during writes."""
    with fixtures.folder() as folder:
        accepted: dict[str, int] = {}
        with processes.control(folder) as (process, line):
            client = processes.client(fixtures.parse_ports(line)[0])

            def write() -> None:
                for number in range(10_000):
                    name = f's{number}'
                    try:
                        accepted[name] = processes.put(client, 'services', name)
                    except api_client.ApiUnreachableError:
                        return

            writer = gevent.spawn(write)
            fixtures.wait_until(lambda: len(accepted) > 150)
            process.send_signal(signal.SIGKILL)
            writer.join()
        with processes.control(folder) as (_process, line):
            client = processes.client(fixtures.parse_ports(line)[0])
            listed = client.call('GET', '/v1/services')
        stored = {item['name']: item['revision'] for item in listed['items']}
        CASE.assertEqual(stored, {**stored, **accepted})
        # The change in flight at the kill may be on disk without an answer.
        CASE.assertLessEqual(len(stored), len(accepted) + 1)


def test_entry_keeps_serving_when_control_restarts() -> None:
    """Guards against an entry without targets after control restarts.

    The restarted control host relearns targets as they announce again.
    """
    handler = target.echo_handler('stock-a')
    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        process, line = stack.enter_context(processes.control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock_service(api_port, handler))
        entry = stack.enter_context(processes.entry(feed_port))
        fixtures.wait_until(lambda: _is_answered(entry.port))
        process.send_signal(signal.SIGKILL)
        process.wait()
        stack.enter_context(processes.control(folder, api_port, feed_port))
        client = processes.client(api_port)
        fixtures.wait_until(lambda: client.call('GET', '/v1/entries')['items'])
        fixtures.wait_until(lambda: _is_answered(entry.port))
        fixtures.wait_until(lambda: client.call('GET', '/v1/targets')['items'])
        CASE.assertTrue(_is_answered(entry.port))


def test_keyed_request_of_a_killed_entry_is_not_run_again() -> None:
    """Guards against a second run of a keyed request on a retry.

    The entry is killed with kill -9 while the target runs the request; a
    retry through another entry is told that an earlier run exists.
    """
    started_bodies: list[bytes] = []

    def answer_slowly(request: target.ReceivedRequest) -> target.Answer:
        started_bodies.append(request.body)
        gevent.sleep(1)
        return target.Answer(201)

    order = fixtures.request_bytes(
        '/order/x',
        method='POST',
        headers={'Idempotency-Key': 'k1'},
        body=b'one bar',
    )
    with (
        fixtures.folder() as folder,
        fixtures.folder() as ledger_folder,
        contextlib.ExitStack() as stack,
    ):
        _process, line = stack.enter_context(processes.control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock_service(api_port, answer_slowly))
        client = processes.client(api_port)
        processes.put(
            client, 'routes', 'order', path_prefix='/order', service='stock'
        )
        ledger = stack.enter_context(fixtures.ledger(ledger_folder))
        address = f'127.0.0.1:{ledger.port}'
        first = stack.enter_context(processes.entry(feed_port, ledger=address))
        second = stack.enter_context(
            processes.entry(feed_port, 'entry-2', ledger=address),
        )
        fixtures.wait_until(lambda: _is_answered(first.port))
        fixtures.wait_until(lambda: _is_answered(second.port))
        started_bodies.clear()
        pending = gevent.spawn(fixtures.send, first.port, order)
        fixtures.wait_until(lambda: started_bodies)
        concurrent_answer = fixtures.send(second.port, order)
        CASE.assertEqual(concurrent_answer.outcome, 'not-run/key-in-use')
        first.process.send_signal(signal.SIGKILL)
        with CASE.assertRaises((OSError, http_heads.CutShortError)):
            pending.get()
        fixtures.wait_until(
            lambda: (
                fixtures.send(second.port, order).outcome
                == 'unknown/earlier-run'
            ),
        )
        CASE.assertEqual(started_bodies, [b'one bar'])


def test_planned_stop_finishes_what_is_in_flight() -> None:
    """Guards against cutting off requests and long answers on SIGTERM."""

    def answer_slowly(_request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(1)
        return target.Answer(body=b'x' * (4 * _MIB))

    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _process, line = stack.enter_context(processes.control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stand_in = stack.enter_context(_stock_service(api_port, answer_slowly))
        entry = stack.enter_context(processes.entry(feed_port))
        fixtures.wait_until(lambda: _is_answered(entry.port))
        request = fixtures.request_bytes('/stock/x')
        pending = gevent.spawn(fixtures.send, entry.port, request)
        fixtures.wait_until(lambda: stand_in.in_flight)
        entry.process.send_signal(signal.SIGTERM)
        response = pending.get()
        CASE.assertEqual(response.outcome, 'answered/none')
        CASE.assertEqual(len(response.body), 4 * _MIB)
        CASE.assertEqual(response.headers['connection'], 'close')
        fixtures.wait_until(lambda: entry.process.poll() is not None)
        CASE.assertEqual(entry.process.returncode, 0)


#: Beginnings of answers, by the path of their request.
_BEGINNINGS: typing.Final = {
    b'/stock/unsized': b'HTTP/1.1 200 OK\r\n\r\nhello',
    b'/stock/chunked': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n'
    ),
    b'/stock/length': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 10000000\r\n\r\nhello'
    ),
}
_VERSIONS: typing.Final = (b'HTTP/1.1', b'HTTP/1.0')
_END_SIGNALS: typing.Final = (signal.SIGKILL, signal.SIGTERM)


def _read_to_end(connection: typing.Any) -> bytes:
    received = b''
    while chunk := connection.recv(messages.READ_BYTES):
        received += chunk
    return received


def _is_cut_answer_noticed(
    entry: processes.EntryProcess,
    start_line: bytes,
    end_signal: signal.Signals,
) -> bool:
    """Ends an entry while it sends an answer; whether its caller notices."""
    connection = socket.create_connection(('127.0.0.1', entry.port))
    connection.settimeout(fixtures.TIMEOUT_S)
    connection.sendall(b'%b\r\nHost: test\r\n\r\n' % start_line)
    received = b''
    while not received.endswith((b'hello', b'hello\r\n')):
        received += connection.recv(messages.READ_BYTES)
    entry.process.send_signal(end_signal)
    try:
        received += _read_to_end(connection)
    except ConnectionResetError:
        return True
    finally:
        connection.close()
    head, _, body = received.lower().partition(b'\r\n\r\n')
    if b'\r\ntransfer-encoding: chunked' in head:
        return not body.endswith(b'0\r\n\r\n')
    return b'\r\ncontent-length: ' in head and len(body) < 10_000_000


def test_answer_cut_by_the_end_of_its_entry_does_not_look_complete() -> None:
    """Guards against a part of an answer that callers take for all of it.

    The entry is killed, or stopped while its target has paused; an answer
    without a length looked complete. Issue 34.
    """

    def begin_answer(request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(
            raw=_BEGINNINGS[request.head.path], pause_ms=60_000
        )

    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _process, line = stack.enter_context(processes.control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock_service(api_port, begin_answer))
        for path, version, end_signal in itertools.product(
            _BEGINNINGS, _VERSIONS, _END_SIGNALS
        ):
            start_line = b'GET %b %b' % (path, version)
            with processes.entry(
                feed_port, arguments=['--stop_timeout_ms=100']
            ) as entry:
                CASE.assertTrue(
                    _is_cut_answer_noticed(entry, start_line, end_signal),
                    f'{start_line!r}, {end_signal.name}',
                )


class CallResults(typing.NamedTuple):
    """Outcomes of the answered requests and errors of the others."""

    outcomes: list[str]
    lost: list[str]


def _send_requests_until(
    is_done: typing.Callable[[], bool],
    choose_port: typing.Callable[[], int],
    results: CallResults,
) -> None:
    """Sends on kept-alive connections as the platform's balancer does."""
    while not is_done():
        connection = socket.create_connection(('127.0.0.1', choose_port()))
        connection.settimeout(fixtures.TIMEOUT_S)
        reader = messages.ResponseReader(connection)
        keeps_alive = True
        while keeps_alive and not is_done():
            try:
                connection.sendall(fixtures.request_bytes('/stock/x'))
                response = fixtures.receive(reader)
            except (OSError, http_heads.CutShortError) as error:
                results.lost.append(repr(error))
                break
            results.outcomes.append(response.outcome)
            keeps_alive = response.headers.get('connection') != 'close'
            gevent.sleep(0.002)
        connection.close()


def test_rolling_restarts_of_every_entry_lose_no_request() -> None:
    """Guards against lost requests while entries are restarted in turn.

    As behind the platform's balancer, new connections go only to entries
    that are ready.
    """
    handler = target.echo_handler('stock-a')
    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _process, line = stack.enter_context(processes.control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock_service(api_port, handler))
        ready_entries: list[processes.EntryProcess] = []

        def start(name: str) -> None:
            entry = stack.enter_context(
                processes.entry(feed_port, name, drain_ms=300),
            )
            fixtures.wait_until(lambda: _is_answered(entry.port))
            ready_entries.append(entry)

        for number in range(3):
            start(f'entry-{number}')
        results = CallResults([], [])
        stopped: list[bool] = []
        callers = [
            gevent.spawn(
                _send_requests_until,
                lambda: bool(stopped),
                lambda number=number: (
                    ready_entries[number % len(ready_entries)].port
                ),
                results,
            )
            for number in range(12)
        ]
        for number in range(3):
            stopping = ready_entries.pop(0)
            stopping.process.send_signal(signal.SIGTERM)
            stopping.process.wait()
            CASE.assertEqual(stopping.process.returncode, 0)
            start(f'entry-{number}')
        stopped.append(True)
        gevent.joinall(callers, raise_error=True)
        CASE.assertEqual(results.lost, [])
        CASE.assertEqual(set(results.outcomes), {'answered/none'})


def test_body_of_the_largest_size_passes_in_bounded_memory() -> None:
    """Guards against an entry that holds a whole 64 MiB body in memory."""

    def answer_length(request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(body=b'%d' % len(request.body))

    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _process, line = stack.enter_context(processes.control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock_service(api_port, answer_length))
        entry = stack.enter_context(processes.entry(feed_port))
        fixtures.wait_until(lambda: _is_answered(entry.port))
        process = psutil.Process(entry.process.pid)
        before = process.memory_info().rss
        body = bytes(64 * _MIB)
        request = fixtures.request_bytes('/stock/x', method='POST', body=body)
        response = fixtures.send(entry.port, request)
        CASE.assertEqual(response.body, b'%d' % len(body))
        growth = process.memory_info().rss - before
        CASE.assertLess(growth, 16 * _MIB)


def test_demo_stops_cleanly_on_both_signals() -> None:
    """Guards against missing output, an ignored signal or an exit error."""
    for number in (signal.SIGTERM, signal.SIGINT):
        with fixtures.process(
            'demo',
            '--listen=127.0.0.1:0',
            '--api_listen=127.0.0.1:0',
        ) as (process, line):
            CASE.assertIn('mulberryquay demo', line)
            process.send_signal(number)
            CASE.assertEqual(process.wait(timeout=fixtures.TIMEOUT_S), 0)


def test_bad_arguments_end_with_exit_code_two() -> None:
    """Guards against bad arguments without exit code 2 and a clear error.

    The error names the flag or the argument that is wrong.
    """
    for named, arguments in (
        ('--name', ('entry', '--name=Bad Name', '--region=r', '--domain=d')),
        ('--drain_ms', (*_ENTRY, '--drain_ms=-1')),
        ('--policy', (*_ENTRY, '--policy=nil')),
        ('--region', ('entry', '--name=e', '--domain=d')),
        ('nonsense', ('entry', '--nonsense=1')),
        ('--api_listen', ('control', '--api_listen=localhost:80')),
        ('--file', ('apply',)),
        ('nonsense', ('nonsense',)),
    ):
        ended = subprocess.run(
            [sys.executable, '-m', 'mulberryquay', *arguments],
            capture_output=True,
            text=True,
            timeout=fixtures.TIMEOUT_S,
            check=False,
        )
        CASE.assertEqual(ended.returncode, 2, arguments)
        CASE.assertIn(named, ended.stderr)
        CASE.assertNotIn('Traceback', ended.stderr)


_ENTRY: typing.Final = ('entry', '--name=e', '--region=r', '--domain=d')


def test_idle_entry_wakes_up_rarely() -> None:
    """The background work of an entry must not grow with its targets.

    Hundreds of entries share the processors of a test machine, and each pays
    for its wake-ups on a small host.
    """
    with fixtures.control() as control:
        control.declare()
        for number in range(_MANY_TARGETS):
            control.daemon.targets.announce(
                fixtures.announcement(f't{number}', '127.0.0.1:9'),
            )
        control.wait_in_force()
        with processes.entry(
            control.daemon.feed_port, arguments=('--ask_load',)
        ) as entry:
            process = psutil.Process(entry.process.pid)
            gevent.sleep(1)
            before = process.num_ctx_switches().voluntary
            gevent.sleep(_IDLE_S)
            wakes = process.num_ctx_switches().voluntary - before
            CASE.assertLess(wakes / _IDLE_S, _MAX_IDLE_WAKES_PER_S)


_MANY_TARGETS: typing.Final = 300
_IDLE_S: typing.Final = 3

#: Two heartbeats, their answers and the timeouts of callers, each second.
_MAX_IDLE_WAKES_PER_S: typing.Final = 16
