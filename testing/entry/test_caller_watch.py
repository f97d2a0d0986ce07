"""Tests of callers that disconnect before they get their answer."""

from __future__ import annotations

import typing
import unittest

import gevent
from gevent import socket

from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _disconnect_after_sending(entry: entry_daemon.EntryDaemon) -> None:
    connection = socket.create_connection(('127.0.0.1', entry.port))
    connection.sendall(fixtures.request_bytes('/stock/1'))
    target_state = entry.state.balancer.all_targets['stock-a']
    fixtures.wait_until(lambda: target_state.in_flight)
    connection.close()


def _answer_slowly(_request: target.ReceivedRequest) -> target.Answer:
    gevent.sleep(0.7)
    return target.Answer(body=b'done')


def _caller_gone_count(entry: entry_daemon.EntryDaemon) -> float:
    return entry.state.metrics.read(
        'mulberryquay_requests_total',
        'unknown',
        'caller-gone',
    )


def test_idempotent_request_ends_with_its_caller() -> None:
    """A target must not keep working for a caller that disconnected."""
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'stock-a', _answer_slowly),
    ):
        control.declare(service_class={'idempotent': True})
        fixtures.wait_for_targets(entry, 'stock-a')
        control.wait_in_force()
        _disconnect_after_sending(entry)
        target_state = entry.state.balancer.all_targets['stock-a']
        fixtures.wait_until(lambda: not target_state.in_flight)
        CASE.assertEqual(target_state.pool.open_count, 0)
        CASE.assertEqual(_caller_gone_count(entry), 1)


def test_request_that_must_not_run_twice_continues_to_its_end() -> None:
    """A request that may have run must not be cancelled with its caller.

    Its outcome would be lost.
    """
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'stock-a', _answer_slowly) as stock,
    ):
        control.declare(service_class={'idempotent': False})
        fixtures.wait_for_targets(entry, 'stock-a')
        control.wait_in_force()
        _disconnect_after_sending(entry)
        gevent.sleep(0.3)
        target_state = entry.state.balancer.all_targets['stock-a']
        CASE.assertEqual(target_state.in_flight, 1)
        fixtures.wait_until(lambda: not target_state.in_flight)
        CASE.assertEqual(sum(stock.runs.values()), 1)


def test_caller_that_sends_its_next_request_early_is_not_gone() -> None:
    """A readable pipelined request must not be taken for a disconnect."""
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'stock-a', _answer_slowly),
    ):
        control.declare(service_class={'idempotent': True})
        fixtures.wait_for_targets(entry, 'stock-a')
        control.wait_in_force()
        twice = fixtures.request_bytes('/stock/1') * 2
        answer = fixtures.send(entry.port, twice)
        CASE.assertEqual(answer.status, 200)
