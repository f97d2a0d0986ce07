"""Tests with peers that send bytes without end, in separate processes."""

from __future__ import annotations

import contextlib
import functools
import os
import typing
import unittest

import gevent
import psutil
from gevent import socket

from mulberryquay import announcer
from mulberryquay.coordination import clock, units, watchdog
from mulberryquay.entry import (
    attempt,
    http_heads,
    messages,
    outcomes,
    targets,
)
from mulberryquay.standin import target
from testing import fixtures, flooding_target, processes

CASE: typing.Final = unittest.TestCase()

_ROUTE_TIMEOUT_MS: typing.Final = 1000.0

#: Longest delay of another caller's answer, and of an ending, in ms.
_MAX_DELAY_MS: typing.Final = 100.0
_MAX_LATE_MS: typing.Final = 500.0

_BLOCK_BYTES: typing.Final = 65536
_MAX_GROWTH_BYTES: typing.Final = 16 * units.MIB


class Scene(typing.NamedTuple):
    """An entry with a calm target and one that floods it."""

    entry: processes.EntryProcess
    control: fixtures.Control
    #: Port of the calm target, to tell a busy machine from a busy entry.
    calm_port: int


class Ending(typing.NamedTuple):
    """How a request to the flooding target ended for its caller."""

    #: The whole answer, None if it was broken off.
    response: fixtures.Response | None
    took_ms: float


@contextlib.contextmanager
def _scene(*arguments: str, **service: typing.Any) -> typing.Iterator[Scene]:
    """Yields a running scene.

    ``arguments`` are added to those of the entry, ``service`` to the fields
    of the flooding target's service.
    """
    with contextlib.ExitStack() as stack:
        control = stack.enter_context(fixtures.control())
        control.declare(
            'stock',
            route={'timeout_ms': int(_ROUTE_TIMEOUT_MS), 'max_attempts': 1},
            service_class={'idempotent': True},
            **service,
        )
        control.declare('calm', service_class={'idempotent': True})
        port = stack.enter_context(processes.flooding_target())
        flooder = announcer.Announcer(
            fixtures.announcement('flooder', f'127.0.0.1:{port}'),
            [control.api],
        )
        flooder.announce()
        fixtures.wait_until_warm(control, 'flooder')
        flooder.start()
        stack.callback(flooder.stop)
        calm = stack.enter_context(
            fixtures.announced_target(
                control, 'calm', target.echo_handler('calm'), service='calm'
            )
        )
        entry = stack.enter_context(
            processes.entry(control.daemon.feed_port, arguments=arguments)
        )
        fixtures.wait_until(lambda: _is_answered(entry, '/stock/ready'))
        fixtures.wait_until(lambda: _is_answered(entry, '/calm/ready'))
        yield Scene(entry, control, int(calm.address.rpartition(':')[2]))


def _is_answered(entry: processes.EntryProcess, path: str) -> bool:
    answer = fixtures.send(entry.port, fixtures.request_bytes(path))
    return answer.outcome == 'answered/none'


def _call_flooder(scene: Scene, name: str) -> Ending:
    started = clock.Clock().now()
    response = None
    with contextlib.suppress(OSError, http_heads.CutShortError):
        response = fixtures.send(
            scene.entry.port,
            fixtures.request_bytes(f'/stock/{name}'),
            keeps_body=False,
        )
    return Ending(response, clock.Clock().now() - started)


def _no_wait() -> float:
    """The wait for a processor where none is subtracted."""
    return 0


def _slowest_call_ms(
    port: int,
    is_over: list[bool],
    processor_wait: typing.Callable[[], float] = _no_wait,
) -> float:
    """Returns the longest latency of calm calls to a port, in ms.

    The time that a process waited for a processor during the call, in all
    so far given by ``processor_wait`` in ms, is subtracted.
    """
    slowest = 0.0
    while not is_over:
        started = clock.Clock().now() - processor_wait()
        answer = fixtures.send(port, fixtures.request_bytes('/calm/x'))
        CASE.assertEqual(answer.status, 200)
        took = clock.Clock().now() - processor_wait() - started
        slowest = max(slowest, took)
        gevent.sleep(0.005)
    return slowest


@contextlib.contextmanager
def _unharmed(scene: Scene, name: str) -> typing.Iterator[None]:
    """Checks that another caller is served as usual, in bounded memory."""
    process = psutil.Process(scene.entry.process.pid)
    before = process.memory_info().rss
    is_over: list[bool] = []
    through_entry = gevent.spawn(
        _slowest_call_ms,
        scene.entry.port,
        is_over,
        functools.partial(processes.processor_wait_ms, process.pid),
    )
    # What a call takes without the entry on this machine at this time.
    direct = gevent.spawn(_slowest_call_ms, scene.calm_port, is_over)
    yield
    is_over.append(True)
    CASE.assertLess(through_entry.get(), direct.get() + _MAX_DELAY_MS, name)
    growth = process.memory_info().rss - before
    CASE.assertLess(growth, _MAX_GROWTH_BYTES, name)


def _check_flood(scene: Scene, name: str) -> None:
    fixtures.wait_until(lambda: _is_answered(scene.entry, '/stock/ready'))
    retransmissions = processes.syn_retransmissions()
    with _unharmed(scene, name), _stalls_ms() as stalls:
        ending = _call_flooder(scene, name)
    retransmissions = processes.syn_retransmissions() - retransmissions
    facts = (
        f'{name}; stalls of this process: {stalls}; connection requests sent '
        f'again on this machine: {retransmissions}; {_logged(scene, name)}'
    )
    if ending.response is not None:
        CASE.assertIn(ending.response.status, (502, 504), name)
    CASE.assertLess(ending.took_ms, _ROUTE_TIMEOUT_MS + _MAX_LATE_MS, facts)


@contextlib.contextmanager
def _stalls_ms() -> typing.Iterator[list[float]]:
    """Yields the times, in ms, that tasks of this process had to wait long."""
    stalls: list[float] = []

    def watch() -> None:
        while True:
            started = clock.Clock().now()
            gevent.sleep(0)
            stall = clock.Clock().now() - started
            if stall > _MAX_DELAY_MS:
                stalls.append(stall)
            gevent.sleep(0.005)

    task = gevent.spawn(watch)
    yield stalls
    task.kill()


def _logged(scene: Scene, name: str) -> str:
    """Returns the entry's log lines about a request, for a failing test."""
    output = scene.entry.process.stdout
    os.set_blocking(output.fileno(), False)
    written = b''
    with contextlib.suppress(BlockingIOError):
        while part := os.read(output.fileno(), _BLOCK_BYTES):
            written += part
    lines = written.decode().splitlines()
    return '\n'.join(line for line in lines if f'/{name}"' in line)


def test_target_that_sends_without_end_harms_nobody_else() -> None:
    """Guards against an entry that serves only the target that floods it.

    Each kind of bytes ends at the deadline at the latest, never as a
    complete answer, in bounded memory, and with another caller served as
    usual.
    """
    with _scene() as scene:
        for name in flooding_target.ENDLESS_ANSWERS:
            with CASE.subTest(name):
                _check_flood(scene, name)


def test_slow_framing_of_an_answer_ends_at_the_deadline() -> None:
    """A target must not hold a caller by a byte of framing now and then."""
    with _scene() as scene:
        for name in flooding_target.SLOW_ANSWERS:
            with CASE.subTest(name):
                _check_flood(scene, name)


def test_request_goes_elsewhere_if_a_target_sends_no_answer() -> None:
    """An idempotent request must be retried, and the flooder suspended."""
    with _scene() as scene, _healthy_target(scene):
        scene.control.put(
            'routes',
            'stock',
            version=2,
            path_prefix='/stock',
            service='stock',
            service_class='stock',
            timeout_ms=int(_ROUTE_TIMEOUT_MS),
        )
        scene.control.wait_in_force()
        request = fixtures.request_bytes('/stock/interim-heads')
        calls = [
            gevent.spawn(fixtures.send, scene.entry.port, request)
            for _ in range(8)
        ]
        for call in calls:
            CASE.assertEqual(call.get().outcome, 'answered/none')
        exported = fixtures.send(
            scene.entry.admin_port, fixtures.request_bytes('/metrics')
        ).body
        CASE.assertRegex(
            exported.decode(),
            r'mulberryquay_suspensions_total{reason="malformed-answer"} [1-9]',
        )


@contextlib.contextmanager
def _healthy_target(scene: Scene) -> typing.Iterator[None]:
    def answer_slowly(_request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(0.02)
        return target.Answer(body=b'healthy')

    with fixtures.announced_target(scene.control, 'healthy', answer_slowly):
        fixtures.wait_until(
            lambda: (
                b'healthy'
                in fixtures.send(
                    scene.entry.port, fixtures.request_bytes('/stock/ready')
                ).body
            ),
        )
        yield


def test_caller_that_does_not_read_is_reset_at_the_deadline() -> None:
    """A caller must not hold a target's connection by reading nothing."""
    with _scene() as scene, _unharmed(scene, 'no reads'):
        connection = socket.create_connection(('127.0.0.1', scene.entry.port))
        connection.sendall(fixtures.request_bytes('/stock/long-body'))
        started = clock.Clock().now()
        fixtures.wait_until(lambda: _in_flight(scene))
        fixtures.wait_until(lambda: not _in_flight(scene))
        took = clock.Clock().now() - started
        CASE.assertLess(took, _ROUTE_TIMEOUT_MS + _MAX_LATE_MS)
        connection.settimeout(fixtures.TIMEOUT_S)
        with CASE.assertRaises(ConnectionResetError):
            while connection.recv(messages.READ_BYTES):
                """Reads what was sent before the reset."""


def _in_flight(scene: Scene) -> bool:
    exported = fixtures.send(
        scene.entry.admin_port, fixtures.request_bytes('/metrics')
    ).body
    return b'\nmulberryquay_in_flight 1' in exported


_POST: typing.Final = (
    b'POST /stock/ready HTTP/1.1\r\nhost: x\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)

#: The beginning of a request and what follows again and again.
_ENDLESS_REQUESTS: typing.Final = {
    'line': (b'GET /', b'x'),
    'fields': (b'GET /stock/ready HTTP/1.1\r\n', b'a: b\r\n'),
    'empty lines': (b'', b'\r\n'),
    'garbage': (b'', b'\x00\xff'),
    'chunk size': (_POST, b'0'),
    'chunk extension': (_POST + b'5;', b'x'),
    'small chunks': (_POST, b'1\r\nx\r\n'),
    'large chunks': (_POST, b'10000\r\n' + bytes(65536) + b'\r\n'),
    'trailers': (_POST + b'0\r\n', b'a: b\r\n'),
    'refused requests': (b'', b'GET /none HTTP/1.1\r\nhost: x\r\n\r\n'),
}


def _flood(port: int, name: str, duration_ms: float) -> None:
    """Sends an endless request and reads what comes back."""
    beginning, repeated = _ENDLESS_REQUESTS[name]
    block = repeated * (_BLOCK_BYTES // len(repeated) + 1)
    connection = socket.create_connection(('127.0.0.1', port))
    reading = gevent.spawn(_read_to_the_end, connection)
    end = clock.Clock().now() + duration_ms
    connection.settimeout(duration_ms / clock.MS_PER_SECOND)
    with contextlib.suppress(OSError):
        connection.sendall(beginning)
        while clock.Clock().now() < end:
            connection.sendall(block)
            gevent.sleep(0)
    reading.kill()
    connection.close()


def _read_to_the_end(connection: typing.Any) -> None:
    with contextlib.suppress(OSError):
        while connection.recv(messages.READ_BYTES):
            """Discards what the process answers."""


def test_caller_that_sends_without_end_harms_nobody_else() -> None:
    """Guards against an entry that reads only one caller."""
    with _scene() as scene:
        for name in _ENDLESS_REQUESTS:
            with CASE.subTest(name), _unharmed(scene, name):
                _flood(scene.entry.port, name, _ROUTE_TIMEOUT_MS)


def test_slow_framing_of_a_body_ends_at_the_deadline() -> None:
    """A caller must not hold its connection by a byte now and then."""
    with _scene() as scene:
        for name in ('chunk size', 'chunk extension', 'trailers'):
            beginning, repeated = _ENDLESS_REQUESTS[name]
            connection = socket.create_connection(
                ('127.0.0.1', scene.entry.port), fixtures.TIMEOUT_S
            )
            connection.sendall(beginning)
            started = clock.Clock().now()
            sending = gevent.spawn(fixtures.send_slowly, connection, repeated)
            answer = connection.recv(messages.READ_BYTES)
            took = clock.Clock().now() - started
            sending.kill()
            connection.close()
            CASE.assertLess(took, _ROUTE_TIMEOUT_MS + _MAX_LATE_MS, name)
            CASE.assertIn(b' 408 ', answer, name)


def test_client_of_the_api_that_sends_without_end_harms_nobody_else() -> None:
    """Guards against a control host whose API reads only one client."""
    with fixtures.folder() as folder, processes.control(folder) as (_, line):
        port = fixtures.parse_ports(line)[0]
        client = processes.client(port)
        client.call('GET', '/healthz')
        for name in _ENDLESS_REQUESTS:
            flooding = gevent.spawn(_flood, port, name, _ROUTE_TIMEOUT_MS)
            slowest = 0.0
            while not flooding.ready():
                started = clock.Clock().now()
                client.call('GET', '/healthz')
                slowest = max(slowest, clock.Clock().now() - started)
                gevent.sleep(0.005)
            CASE.assertLess(slowest, _MAX_DELAY_MS, name)


def test_probe_answer_without_end_is_a_failed_probe() -> None:
    """Probes of load must end in time and bytes, whatever the target sends."""
    for name in ('no-length', 'small-chunks', 'interim-heads'):
        with (
            CASE.subTest(name),
            _scene('--ask_load', health_path=f'/{name}') as scene,
            _unharmed(scene, name),
        ):
            for _ in range(5):
                CASE.assertTrue(_is_answered(scene.entry, '/stock/ready'))
                gevent.sleep(0.3)


def test_relay_whose_entry_sends_without_end_ends_as_lost() -> None:
    """An entry that answers a relay with endless bytes must be left in time."""
    time_source = clock.Clock()
    deadlines = watchdog.Watchdog(time_source)
    deadlines.start()
    with processes.flooding_target() as port:
        for name in ('interim-heads', 'long-line', 'head-fields', 'garbage'):
            peer = targets.TargetState(
                fixtures.warm_row('entry-2', f'127.0.0.1:{port}'), time_source
            )
            peer.is_peer = True
            outgoing = attempt.OutgoingRequest(
                b'GET',
                f'/stock/{name}'.encode(),
                http_heads.HeaderBlock(b'host: test\r\n'),
                http_heads.Framing.NONE,
                b'',
                None,
                time_source.now() + _ROUTE_TIMEOUT_MS,
            )
            result = attempt.Attempt(
                peer, outgoing, time_source, deadlines
            ).run([])
            CASE.assertIsInstance(result, outcomes.Lost, name)
            CASE.assertLess(
                time_source.now(), outgoing.deadline + _MAX_LATE_MS, name
            )
            CASE.assertTrue(peer.has_failed, name)
    deadlines.stop()
