"""Tests of what the clients of an API server may hold."""

from __future__ import annotations

import os
import typing
import unittest
from unittest import mock

import gevent
from gevent import socket

from mulberryquay import api_load, metrics
from mulberryquay.coordination import machine_memory, units
from testing import fixtures, processes, virtual_time

CASE: typing.Final = unittest.TestCase()

_MEMORY_MB: typing.Final = 16
_LIMIT_BYTES: typing.Final = 2 * units.MIB
_BODY_BYTES: typing.Final = 1_000_000


class _Holder:
    """Records that it gave way."""

    def __init__(self) -> None:
        self.gave_way = False

    def give_way(self) -> None:
        """Ends the wait of this connection."""
        self.gave_way = True


class _Scene:
    """An account of bodies and connections with a clock of its own."""

    def __init__(self, connections: int = 100) -> None:
        self.clock = virtual_time.VirtualClock()
        self.counters = metrics.Metrics(api_load.METRICS)
        self.load = api_load.ApiLoad(
            {'memory_mb': _MEMORY_MB, 'api_connections': connections},
            self.counters,
            self.clock,
        )

    def open(self, *, waits: bool = True) -> _Holder:
        """Returns a connection, which must be taken."""
        holder = _Holder()
        CASE.assertTrue(self.load.open(holder))
        if waits:
            self.load.begin_wait(holder)
        return holder


def test_body_that_waits_longest_with_most_gives_way() -> None:
    """A fast client must not pay for the slow ones that hold the memory."""
    scene = _Scene()
    small, large, fast = (scene.open() for _ in range(3))
    scene.load.grow(small, units.MIB // 2)
    scene.load.grow(large, units.MIB)
    scene.clock.run(1000)
    scene.load.grow(fast, units.MIB)
    CASE.assertEqual(
        [holder.gave_way for holder in (small, large, fast)],
        [False, True, False],
    )
    CASE.assertEqual(scene.load.held_bytes, 3 * units.MIB // 2)


def test_body_of_a_running_request_never_gives_way() -> None:
    """A refusal says that a request was not run."""
    scene = _Scene()
    running, growing = scene.open(), scene.open()
    scene.load.grow(running, _LIMIT_BYTES)
    scene.load.end_wait(running)
    scene.clock.run(1000)
    with CASE.assertRaises(api_load.ApiBusyError):
        scene.load.grow(growing, 1)
    CASE.assertFalse(running.gave_way)
    CASE.assertEqual(scene.load.held_bytes, _LIMIT_BYTES)
    scene.load.release(running)
    scene.load.grow(growing, 1)
    scene.load.release(growing)
    CASE.assertEqual(scene.load.held_bytes, 0)


def test_unread_answer_gives_way_to_another_one() -> None:
    """An answer is never refused for its own size."""
    scene = _Scene()
    unread, newer = scene.open(), scene.open()
    scene.load.begin_send(unread, units.MIB)
    scene.clock.run(1000)
    scene.load.begin_send(newer, 2 * units.MIB)
    CASE.assertEqual((unread.gave_way, newer.gave_way), (True, False))
    scene.load.release(newer)
    CASE.assertEqual(scene.load.held_bytes, 0)


def test_request_runs_once_those_that_gave_way_have_ended() -> None:
    """Answers would pile up while the tasks of others still hold theirs."""
    scene = _Scene()
    unread, newer = scene.open(), scene.open()
    scene.load.begin_send(unread, units.MIB)
    scene.clock.run(1000)
    scene.load.begin_send(newer, units.MIB)
    task = gevent.spawn(scene.load.await_room)
    gevent.sleep(0)
    CASE.assertFalse(task.dead)
    scene.load.release(unread)
    task.get(timeout=fixtures.TIMEOUT_S)


def test_connection_that_waits_longest_gives_way_to_a_new_one() -> None:
    """One that is served must not be closed for another."""
    scene = _Scene(connections=2)
    served, waiting = scene.open(), scene.open()
    scene.load.end_wait(served)
    scene.open(waits=False)
    CASE.assertEqual((served.gave_way, waiting.gave_way), (False, True))
    CASE.assertFalse(scene.load.open(_Holder()))


def test_limits_met_are_logged_now_and_then_only() -> None:
    """A crowd must not fill the log."""
    scene = _Scene(connections=1)
    scene.open(waits=False)
    with CASE.assertLogs(api_load.__name__) as logs:
        for _ in range(1000):
            scene.load.open(_Holder())
    CASE.assertEqual(len(logs.records), 1)
    CASE.assertEqual(
        scene.counters.read('mulberryquay_api_limits_met_total', 'connections'),
        1000,
    )


def test_machine_memory_is_that_of_the_setting() -> None:
    """Zero must mean the memory of the machine, not none."""
    CASE.assertEqual(machine_memory.size_bytes(3), 3 * units.MIB)
    CASE.assertGreater(machine_memory.size_bytes(0), units.MIB)


def test_api_refuses_slow_bodies_and_serves_others() -> None:
    """The slow ones get a typed refusal; small and large ones pass."""
    head = (
        b'PUT /v1/services/stock HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length: %d\r\n\r\n' % _BODY_BYTES
    )
    environment = {'MULBERRYQUAY_MEMORY_MB': str(_MEMORY_MB)}
    with (
        fixtures.folder() as folder,
        mock.patch.dict(os.environ, environment),
        processes.control(folder) as (_process, line),
    ):
        port = fixtures.parse_ports(line)[0]
        client = processes.client(port)
        slow = [
            socket.create_connection(('127.0.0.1', port), fixtures.TIMEOUT_S)
            for _ in range(4)
        ]
        for connection in slow:
            connection.sendall(head + b'x' * (_BODY_BYTES - 1))
            gevent.sleep(0.1)
        refusal = slow[0].recv(4096)
        CASE.assertTrue(refusal.startswith(b'HTTP/1.1 503 '), refusal)
        CASE.assertIn(b'api-busy', refusal)
        CASE.assertIn(b'retry-after: 1\r\n', refusal.lower())
        spec = {'version': 1, 'spec': {}}
        fixtures.wait_until(
            lambda: client.call('PUT', '/v1/services/small', spec)
        )
        body = b' ' * (_BODY_BYTES - 40) + b'{"version": 1, "spec": {}}'
        answer = fixtures.send(
            port,
            fixtures.request_bytes(
                '/v1/services/large', method='PUT', body=body
            ),
        )
        CASE.assertEqual(answer.status, 200, answer.body)
        for connection in slow:
            connection.close()
