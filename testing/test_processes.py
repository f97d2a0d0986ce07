"""Separate processes: kills, restarts, graceful stops, bounded memory."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import typing
import unittest

import gevent
import psutil
from gevent import socket

from mulberryquay import announcer
from mulberryquay.commands import api_client
from mulberryquay.entry import http_heads, messages
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_MIB: typing.Final = 1 << 20


class EntryProcess(typing.NamedTuple):
    """An entry in a process of its own."""

    running: typing.Any
    port: int
    admin_port: int


def _control(
    folder: pathlib.Path,
    api_port: int = 0,
    feed_port: int = 0,
) -> typing.Any:
    return fixtures.process(
        'control',
        f'--data_folder={folder}',
        '--target_lease_ms=6000',
        f'--api_listen=127.0.0.1:{api_port}',
        f'--feed_listen=127.0.0.1:{feed_port}',
        '--host_listen=127.0.0.1:0',
    )


def _client(port: int) -> api_client.ApiClient:
    return api_client.ApiClient(f'127.0.0.1:{port}')


@contextlib.contextmanager
def _entry(
    feed_port: int,
    name: str = 'entry-1',
    *,
    listen: int = 0,
    drain_ms: int = 0,
    ledger: str = '',
) -> typing.Iterator[EntryProcess]:
    arguments = (
        'entry',
        f'--name={name}',
        '--region=north',
        '--domain=north-1',
        f'--listen=127.0.0.1:{listen}',
        '--admin_listen=127.0.0.1:0',
        '--peer_listen=127.0.0.1:0',
        f'--control=127.0.0.1:{feed_port}',
        f'--drain_ms={drain_ms}',
        f'--ledger={ledger}',
    )
    with fixtures.process(*arguments) as (running, line):
        port, admin_port = fixtures.parse_ports(line)
        client = _client(admin_port)
        fixtures.wait_until(lambda: _is_ready(client))
        yield EntryProcess(running, port, admin_port)


def _is_ready(client: api_client.ApiClient) -> bool:
    try:
        client.call('GET', '/readyz')
    except api_client.ApiRefusedError:
        return False
    return True


def _put(
    client: api_client.ApiClient, kind: str, name: str, **spec: typing.Any
) -> int:
    body = {'version': 1, 'spec': spec}
    answer = client.call('PUT', f'/v1/{kind}/{name}', body)
    return int(answer['revision'])


@contextlib.contextmanager
def _stock(
    api_port: int,
    handler: target.Handler,
) -> typing.Iterator[target.StandInTarget]:
    """Declares a service at ``/stock`` and runs its one target."""
    client = _client(api_port)
    _put(client, 'service-classes', 'read', idempotent=True)
    _put(client, 'services', 'stock')
    _put(
        client,
        'routes',
        'stock',
        path_prefix='/stock',
        service='stock',
        service_class='read',
    )
    stand_in = target.StandInTarget(handler, slots=64)
    stand_in.start()
    announcing = announcer.Announcer(
        {
            'name': 'stock-a',
            'service': 'stock',
            'address': stand_in.address,
            'region': 'north',
            'domain': 'north-1',
            'slots': 64,
            'connections': 220,
            'incarnation': 1,
        },
        [f'127.0.0.1:{api_port}'],
    )
    announcing.start()
    try:
        yield stand_in
    finally:
        announcing.stop()
        stand_in.stop()


def _is_answered(port: int) -> bool:
    response = fixtures.send(port, fixtures.request_bytes('/stock/x'))
    return response.outcome == 'answered/none'


def test_killed_control_keeps_every_accepted_change() -> None:
    """kill -9 in the middle of writes, then a restart on the same folder."""
    with fixtures.folder() as folder:
        accepted: dict[str, int] = {}
        with _control(folder) as (running, line):
            client = _client(fixtures.parse_ports(line)[0])

            def write() -> None:
                for number in range(10_000):
                    name = f's{number}'
                    try:
                        accepted[name] = _put(client, 'services', name)
                    except api_client.ApiUnreachableError:
                        return

            writer = gevent.spawn(write)
            fixtures.wait_until(lambda: len(accepted) > 150)
            running.send_signal(signal.SIGKILL)
            writer.join()
        with _control(folder) as (_running, line):
            client = _client(fixtures.parse_ports(line)[0])
            listed = client.call('GET', '/v1/services')
        kept = {item['name']: item['revision'] for item in listed['items']}
        CASE.assertEqual(kept, {**kept, **accepted})
        # The one change in flight at the kill may have been synced.
        CASE.assertLessEqual(len(kept), len(accepted) + 1)


def test_entry_serves_on_when_control_comes_back() -> None:
    """The targets are relearned; none is dropped meanwhile."""
    handler = target.echo_handler('stock-a')
    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        running, line = stack.enter_context(_control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock(api_port, handler))
        entry = stack.enter_context(_entry(feed_port))
        fixtures.wait_until(lambda: _is_answered(entry.port))
        running.send_signal(signal.SIGKILL)
        running.wait()
        stack.enter_context(_control(folder, api_port, feed_port))
        client = _client(api_port)
        fixtures.wait_until(lambda: client.call('GET', '/v1/entries')['items'])
        fixtures.wait_until(lambda: _is_answered(entry.port))
        fixtures.wait_until(lambda: client.call('GET', '/v1/targets')['items'])
        CASE.assertTrue(_is_answered(entry.port))


def test_order_of_a_killed_entry_is_not_run_again() -> None:
    """kill -9 of the entry while its target runs; the resend is told."""
    begun: list[bytes] = []

    def slow(request: target.ReceivedRequest) -> target.Answer:
        begun.append(request.body)
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
        fixtures.folder() as claims,
        contextlib.ExitStack() as stack,
    ):
        _running, line = stack.enter_context(_control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock(api_port, slow))
        client = _client(api_port)
        _put(client, 'routes', 'order', path_prefix='/order', service='stock')
        ledger = stack.enter_context(fixtures.ledger(claims))
        address = f'127.0.0.1:{ledger.port}'
        first = stack.enter_context(_entry(feed_port, ledger=address))
        second = stack.enter_context(
            _entry(feed_port, 'entry-2', ledger=address),
        )
        fixtures.wait_until(lambda: _is_answered(first.port))
        fixtures.wait_until(lambda: _is_answered(second.port))
        begun.clear()
        asking = gevent.spawn(fixtures.send, first.port, order)
        fixtures.wait_until(lambda: begun)
        in_use = fixtures.send(second.port, order)
        CASE.assertEqual(in_use.outcome, 'not-run/key-in-use')
        first.running.send_signal(signal.SIGKILL)
        with CASE.assertRaises((OSError, http_heads.CutShortError)):
            asking.get()
        fixtures.wait_until(
            lambda: (
                fixtures.send(second.port, order).outcome
                == 'unknown/earlier-run'
            ),
        )
        CASE.assertEqual(begun, [b'one bar'])


def test_planned_stop_finishes_what_is_in_flight() -> None:
    """Also a long stream that began before the stop."""

    def slow(_request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(1)
        return target.Answer(body=b'x' * (4 * _MIB))

    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _running, line = stack.enter_context(_control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stock = stack.enter_context(_stock(api_port, slow))
        entry = stack.enter_context(_entry(feed_port))
        fixtures.wait_until(lambda: _is_answered(entry.port))
        request = fixtures.request_bytes('/stock/x')
        asking = gevent.spawn(fixtures.send, entry.port, request)
        fixtures.wait_until(lambda: stock.in_flight)
        entry.running.send_signal(signal.SIGTERM)
        response = asking.get()
        CASE.assertEqual(response.outcome, 'answered/none')
        CASE.assertEqual(len(response.body), 4 * _MIB)
        CASE.assertEqual(response.headers['connection'], 'close')
        fixtures.wait_until(lambda: entry.running.poll() is not None)
        CASE.assertEqual(entry.running.returncode, 0)


class Load(typing.NamedTuple):
    """Callers that keep asking, and what they were told."""

    outcomes: list[str]
    lost: list[str]


def _call_until(
    is_over: typing.Callable[[], bool],
    port_of: typing.Callable[[], int],
    load: Load,
) -> None:
    """Asks on kept connections as the platform's balancer does."""
    while not is_over():
        connection = socket.create_connection(('127.0.0.1', port_of()))
        connection.settimeout(fixtures.TIMEOUT_S)
        reader = messages.ResponseReader(connection)
        keeps_alive = True
        while keeps_alive and not is_over():
            try:
                connection.sendall(fixtures.request_bytes('/stock/x'))
                response = fixtures.receive(reader)
            except (OSError, http_heads.CutShortError) as error:
                load.lost.append(repr(error))
                break
            load.outcomes.append(response.outcome)
            keeps_alive = response.headers.get('connection') != 'close'
            gevent.sleep(0.002)
        connection.close()


def test_rolling_restarts_of_every_entry_lose_no_request() -> None:
    """The balancer heeds readiness; each entry is stopped in turn."""
    handler = target.echo_handler('stock-a')
    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _running, line = stack.enter_context(_control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock(api_port, handler))
        ready: list[EntryProcess] = []

        def start(name: str) -> None:
            entry = stack.enter_context(
                _entry(feed_port, name, drain_ms=300),
            )
            fixtures.wait_until(lambda: _is_answered(entry.port))
            ready.append(entry)

        for number in range(3):
            start(f'entry-{number}')
        load = Load([], [])
        stopped: list[bool] = []
        callers = [
            gevent.spawn(
                _call_until,
                lambda: bool(stopped),
                lambda number=number: ready[number % len(ready)].port,
                load,
            )
            for number in range(12)
        ]
        for number in range(3):
            leaving = ready.pop(0)
            leaving.running.send_signal(signal.SIGTERM)
            leaving.running.wait()
            CASE.assertEqual(leaving.running.returncode, 0)
            start(f'entry-{number}')
        stopped.append(True)
        gevent.joinall(callers, raise_error=True)
        CASE.assertEqual(load.lost, [])
        CASE.assertEqual(set(load.outcomes), {'answered/none'})


def test_body_of_the_largest_size_passes_in_bounded_memory() -> None:
    """64 MB through an entry whose memory stays far below that."""

    def count(request: target.ReceivedRequest) -> target.Answer:
        return target.Answer(body=b'%d' % len(request.body))

    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        _running, line = stack.enter_context(_control(folder))
        api_port, feed_port = fixtures.parse_ports(line)
        stack.enter_context(_stock(api_port, count))
        entry = stack.enter_context(_entry(feed_port))
        fixtures.wait_until(lambda: _is_answered(entry.port))
        process = psutil.Process(entry.running.pid)
        before = process.memory_info().rss
        body = bytes(64 * _MIB)
        request = fixtures.request_bytes('/stock/x', method='POST', body=body)
        response = fixtures.send(entry.port, request)
        CASE.assertEqual(response.body, b'%d' % len(body))
        growth = process.memory_info().rss - before
        CASE.assertLess(growth, 16 * _MIB)


def test_demo_stops_cleanly_on_both_signals() -> None:
    """The guide is printed, and the exit code is 0."""
    for number in (signal.SIGTERM, signal.SIGINT):
        with fixtures.process(
            'demo',
            '--listen=127.0.0.1:0',
            '--api_listen=127.0.0.1:0',
        ) as (running, line):
            CASE.assertIn('mulberryquay demo', line)
            running.send_signal(number)
            CASE.assertEqual(running.wait(timeout=fixtures.TIMEOUT_S), 0)


def test_bad_settings_end_with_code_two_and_name_the_flag() -> None:
    """From a flag as well as from the environment."""
    for arguments in (
        ('entry', '--name=Bad Name', '--region=r', '--domain=d'),
        ('entry', '--name=e', '--region=r', '--domain=d', '--drain_ms=-1'),
        ('entry', '--name=e', '--region=r', '--domain=d', '--policy=nil'),
        ('entry', '--nonsense=1'),
        ('control', '--api_listen=localhost:80'),
        ('apply',),
        ('nonsense',),
    ):
        with fixtures.process(*arguments) as (running, _line):
            CASE.assertEqual(running.wait(timeout=fixtures.TIMEOUT_S), 2)
