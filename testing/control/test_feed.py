"""Tests of the streams between a control host and entries."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import gevent
from gevent import monkey, socket

from mulberryquay import crash_messages, protocol
from mulberryquay.control import (
    directory,
    feed,
    feed_messages,
    membership,
    replicated_state,
)
from mulberryquay.coordination import clock, crash_guard, wire
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: Sockets that block the whole process, so that the feed's tasks do not run.
_BLOCKING_SOCKET: typing.Final = monkey.get_original('socket', 'socket')


class Scene(typing.NamedTuple):
    """A feed and the group that it reports to."""

    feed: feed.Feed
    group: mock.MagicMock
    port: int


@contextlib.contextmanager
def _scene() -> typing.Iterator[Scene]:
    time_source = clock.Clock()
    state = replicated_state.ReplicatedState()
    group = mock.MagicMock(spec=feed_messages.HostGroup, is_in_touch=True)
    group.list_hosts.return_value = []
    tested = feed.Feed(
        state.store,
        directory.Directory(time_source, ended=state.ended_targets),
        membership.Membership(time_source),
        time_source,
        group,
    )
    listener = socket.create_server(('127.0.0.1', 0))
    tested.start(listener)
    try:
        yield Scene(tested, group, listener.getsockname()[1])
    finally:
        tested.stop()


def _hello(
    entry: str, version: int = protocol.PROTOCOL_VERSION
) -> protocol.Hello:
    return protocol.Hello(
        version,
        entry,
        'north',
        'north-1',
        '127.0.0.1:1',
        '127.0.0.1:1',
        [],
        config_revision=0,
        known_rate_limits={},
    )


def _connect(port: int, entry: str) -> typing.Any:
    connection = _BLOCKING_SOCKET()
    connection.connect(('127.0.0.1', port))
    connection.sendall(protocol.CODEC.encode(_hello(entry)))
    return connection


def _broadcast(tested: feed.Feed) -> None:
    """Makes the feed send a message to all entries."""
    for number in range(crash_guard.MAX_FAILED_TARGETS):
        tested.target_reports.apply_crash(
            crash_messages.ConnectionLost(b'breaks', f't{number}', 0)
        )


def test_entry_that_left_is_noticed_though_sending_to_it_fails() -> None:
    """A list change must not wait for the lease of an entry that left."""
    with _scene() as scene:
        connection = _connect(scene.port, 'e0')
        fixtures.wait_until(lambda: scene.group.reports.record.called)
        connection.sendall(
            protocol.CODEC.encode(protocol.EntryLeft('e0')),
        )
        # Resets the connection, because what the feed sent was not read.
        connection.close()
        _broadcast(scene.feed)
        gevent.sleep(0.1)
        scene.group.reports.record_left.assert_called_once_with('e0')


def _received_ends(scene: Scene, version: int) -> dict[str, int]:
    """Returns the ends that an entry of a release gets, from its start on."""
    stream = wire.connect(('127.0.0.1', scene.port), protocol.CODEC)
    stream.set_timeout(300)
    stream.send(_hello('e0', version))
    fixtures.wait_until(lambda: scene.group.reports.record.called)
    scene.feed.target_reports.directory.end('later', incarnation=8)
    ends: dict[str, int] = {}
    with (
        contextlib.closing(stream),
        contextlib.suppress(wire.StreamClosedError),
    ):
        while True:
            message = stream.receive()
            if isinstance(message, protocol.TargetsEnded):
                ends.update(message.incarnations)
    return ends


def test_entries_learn_ends_of_targets_that_the_host_does_not_list() -> None:
    """Only listed targets were told to be leaving (review/7, issue 58).

    Entries of the release before can't read these messages and still connect.
    """
    with _scene() as scene:
        scene.feed.target_reports.directory.end('before', incarnation=7)
        ends = _received_ends(scene, protocol.PROTOCOL_VERSION)
        CASE.assertEqual(ends, {'before': 7, 'later': 8})
    with _scene() as scene:
        scene.feed.target_reports.directory.end('before', incarnation=7)
        CASE.assertEqual(
            _received_ends(scene, protocol.OLDEST_ENTRY_VERSION), {}
        )
