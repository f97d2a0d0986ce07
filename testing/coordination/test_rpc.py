"""Tests of calls between processes."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import socket

from mulberryquay.control import host_protocol
from mulberryquay.coordination import errors, rpc
from mulberryquay.coordination.replication import messages

CASE: typing.Final = unittest.TestCase()


@contextlib.contextmanager
def _server(
    handle: typing.Callable[[typing.Any], typing.Any],
) -> typing.Iterator[tuple[rpc.Server, rpc.Client]]:
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    serving = rpc.Server(listener, host_protocol.CODEC, handle)
    serving.start()
    client = rpc.Client(listener.getsockname(), host_protocol.CODEC)
    try:
        yield serving, client
    finally:
        client.close()
        serving.stop()


def test_answers_go_to_their_own_calls() -> None:
    """Answers that arrive in another order must not be swapped."""

    def handle(request: messages.JoinRequest) -> messages.JoinAnswer:
        gevent.sleep(0.05 if request.identity == 'slow' else 0)
        return messages.JoinAnswer(request.identity)

    with _server(handle) as (_, client):
        calls = [
            gevent.spawn(
                client.call,
                messages.JoinRequest(name, 'x'),
                timeout=2000,
            )
            for name in ('slow', 'quick')
        ]
        answers = [call.get().leader_address for call in calls]
        CASE.assertEqual(answers, ['slow', 'quick'])


def test_error_of_the_peer_keeps_its_code_and_status() -> None:
    """A host that forwards an order must return the original error."""

    def handle(_request: typing.Any) -> typing.Any:
        raise errors.ConflictError('taken')

    with _server(handle) as (_, client):
        with CASE.assertRaises(rpc.RemoteError) as caught:
            client.call(messages.ReadRequest(), timeout=2000)
        CASE.assertEqual(caught.exception.code, 'conflict')
        CASE.assertEqual(caught.exception.http_status, 409)


def test_peer_that_stops_answering_is_called_on_a_new_stream() -> None:
    """A dead connection must not block later calls to the peer."""
    served: list[str] = []

    def handle(_request: typing.Any) -> typing.Any:
        served.append('call')
        if len(served) == 1:
            gevent.sleep(60)
        return messages.ReadAnswer(1)

    with _server(handle) as (_, client):
        with CASE.assertRaises(rpc.CallFailedError):
            client.call(messages.ReadRequest(), timeout=50)
        answer = client.call(messages.ReadRequest(), timeout=2000)
        CASE.assertEqual(answer, messages.ReadAnswer(1))


def test_peer_that_cannot_be_reached_is_a_typed_error() -> None:
    """A closed port must raise CallFailedError, not an OSError."""
    with _server(lambda _: messages.ReadAnswer(1)) as (serving, client):
        serving.stop()
        with CASE.assertRaises(rpc.CallFailedError):
            client.call(messages.ReadRequest(), timeout=500)
