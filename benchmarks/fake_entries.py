"""Simulated entries that only exchange messages with a control host.

Many of them run in one process.
"""

from __future__ import annotations

import typing

import gevent

from mulberryquay import protocol
from mulberryquay.coordination import wire
from mulberryquay.entry import control_view

_HEARTBEAT_INTERVAL_S: typing.Final = control_view.HEARTBEAT_INTERVAL_MS / 1000


@typing.final
class FakeEntry:
    """Sends heartbeats and confirms updates as an entry does."""

    def __init__(self, name: str, feed_port: int) -> None:
        """Connects and starts the heartbeats."""
        self._stream = wire.connect(('127.0.0.1', feed_port), protocol.CODEC)
        self._stream.send(
            protocol.Hello(
                protocol.PROTOCOL_VERSION,
                name,
                'north',
                'north-1',
                '127.0.0.1:1',
                '127.0.0.1:1',
                [],
                config_revision=0,
                known_rate_limits={},
            ),
        )
        self._sequence = 0
        self.revision = 0
        self._epoch = 0
        self._tasks = [
            gevent.spawn(self._read),
            gevent.spawn(self._send_heartbeats),
        ]

    @property
    def bytes_received(self) -> int:
        """Bytes that the control host sent to this entry."""
        return self._stream.bytes_received

    @property
    def bytes_sent(self) -> int:
        """Bytes that this entry sent to the control host."""
        return self._stream.bytes_sent

    def stop(self) -> None:
        """Closes the stream without announcing that the entry leaves."""
        gevent.killall(self._tasks)
        self._stream.close()

    def _read(self) -> None:
        while True:
            message = self._stream.receive()
            match message:
                case protocol.ConfigSlice(revision, _, True):
                    self._confirm(revision, self._epoch)
                case protocol.ConfigDelta(resources):
                    self._confirm(resources[-1][-1], self._epoch)
                case protocol.EntriesProposed(epoch, _):
                    self._confirm(self.revision, epoch)

    def _confirm(self, revision: int, epoch: int) -> None:
        self.revision = revision
        self._epoch = epoch
        self._send_heartbeat()

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(_HEARTBEAT_INTERVAL_S)
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self._sequence += 1
        heartbeat = protocol.Heartbeat(
            self._sequence,
            self.revision,
            self._epoch,
            {},
            {},
            {},
        )
        self._stream.send(heartbeat)
