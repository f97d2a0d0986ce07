"""Bounds the streams that peers open to a process: their number and memory.

A peer that sent no whole message yet has a place only until others need it,
and so has one that is silent while no call of it runs. Unfinished messages and
calls that run share one account of memory.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
import math
import typing

import gevent
from gevent import event, socket

from mulberryquay import sockets
from mulberryquay.coordination import clock, memory_account, units, wire

#: Memory of the task of a stream or of a call.
_TASK_BYTES: typing.Final = 16_384

#: Memory of a stream beside what is read: the task, the buffer of the reader
#: and what the system keeps unread.
_STREAM_BYTES: typing.Final = 2 * _TASK_BYTES + sockets.UNREAD_BYTES

#: Size of the buffers of an unfinished message relative to its own.
_COPIES: typing.Final = 4

#: Copies of a message that its call holds: decoded, and encoded for the disk.
_CALL_COPIES: typing.Final = 2

#: A stream with a message in this time never ends for another one.
_MIN_SILENCE_MS: typing.Final = units.SECOND_MS

_LOG_INTERVAL_MS: typing.Final = 10 * units.SECOND_MS

_LOG: typing.Final = logging.getLogger(__name__)


class Limits(typing.NamedTuple):
    """What the streams of one port may hold."""

    streams: int = units.MAX_INT64
    memory_bytes: int = units.MAX_INT64


UNLIMITED: typing.Final = Limits()


@typing.final
class StreamLoad:
    """The streams that peers opened to one port."""

    def __init__(
        self, name: str, limits: Limits, time_source: clock.Clock | None = None
    ) -> None:
        """Starts without streams; ``name`` is that of the port in the log."""
        self._name = name
        self._limits = limits
        self._clock = time_source or clock.Clock()
        self._account = memory_account.MemoryAccount(
            limits.memory_bytes, self._clock, self._note_limit
        )
        self._streams: set[ServedStream] = set()
        #: Those without a whole message; the longest wait comes first.
        self._waiting: dict[ServedStream, None] = {}
        #: The others and the times of their last messages, the oldest first.
        self._greeted: dict[ServedStream, float] = {}
        self._next_log = -math.inf
        #: Streams that were refused or closed at a limit.
        self.limits_met = 0

    @property
    def held_bytes(self) -> int:
        """What the streams hold together."""
        return self._account.held_bytes

    @contextlib.contextmanager
    def serving(
        self, connection: typing.Any, codec: wire.MessageCodec
    ) -> typing.Iterator[ServedStream | None]:
        """Yields the stream of an accepted connection, and closes it.

        Yields None if there is no place for it.
        """
        if not self._has_place():
            connection.close()
            yield None
            return
        stream = ServedStream(
            connection, codec, self._account, self._note_message
        )
        self._streams.add(stream)
        self._waiting[stream] = None
        try:
            yield stream
        finally:
            self._forget(stream)
            stream.close()

    def close_all(self) -> None:
        """Closes all streams."""
        for stream in list(self._streams):
            stream.close()

    def _has_place(self) -> bool:
        has_place = len(self._streams) < self._limits.streams
        if has_place and self._account.make_room(_STREAM_BYTES):
            return True
        self._note_limit()
        longest = next(iter(self._waiting), None) or self._find_silent()
        if longest is None:
            return False
        self._forget(longest)
        longest.give_way()
        return True

    def _find_silent(self) -> ServedStream | None:
        """Returns the stream with the oldest message that may end, if any."""
        last = self._clock.now() - _MIN_SILENCE_MS
        silent = itertools.takewhile(
            lambda stream: self._greeted[stream] <= last, self._greeted
        )
        return next((stream for stream in silent if stream.is_idle), None)

    def _note_message(self, stream: ServedStream) -> None:
        """A whole message arrived."""
        if stream not in self._streams:
            return
        self._waiting.pop(stream, None)
        self._greeted.pop(stream, None)
        self._greeted[stream] = self._clock.now()

    def _forget(self, stream: ServedStream) -> None:
        self._streams.discard(stream)
        self._waiting.pop(stream, None)
        self._greeted.pop(stream, None)

    def _note_limit(self) -> None:
        self.limits_met += 1
        now = self._clock.now()
        if now >= self._next_log:
            self._next_log = now + _LOG_INTERVAL_MS
            _LOG.warning(
                'limit of streams met',
                extra={'port': self._name, 'times': self.limits_met},
            )


@typing.final
class ServedStream:
    """A stream that a peer opened."""

    def __init__(
        self,
        connection: typing.Any,
        codec: wire.MessageCodec,
        account: memory_account.MemoryAccount,
        on_message: typing.Callable[[ServedStream], None],
    ) -> None:
        """Counts in ``account``; calls ``on_message`` at each message."""
        self._socket = connection
        self._account = account
        self._on_message = on_message
        self._part = account.open(self)
        self._part.add(_STREAM_BYTES)
        self._unread_bytes = 0
        self._is_greeted = False
        self._is_closed = False
        self._calls = 0
        self._call_bytes = 0
        self._call_ended = event.Event()
        #: Sends and receives.
        self.messages = wire.Stream(connection, codec, self._count)

    @property
    def is_idle(self) -> bool:
        """Whether no call runs, or its answer is not read."""
        return self.messages.is_sending or not self._calls

    @property
    def waits_for_peer(self) -> bool:
        """Whether only the peer can go on: with a message, or by reading."""
        if self.messages.is_sending:
            return True
        return bool(self._unread_bytes and not self._calls)

    def give_way(self) -> None:
        """Ends the wait for the peer."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def spawn(
        self, call: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Runs a call for the last message in a task.

        Waits while calls hold too much memory.
        """
        size = _TASK_BYTES + _CALL_COPIES * self.messages.message_bytes
        self._call_bytes += size
        self._part.add(size)
        while self._calls and not self._account.make_room(0):
            self._call_ended.clear()
            self._call_ended.wait()
        self._calls += 1
        task = gevent.spawn(call, *arguments)
        task.rawlink(lambda _task: self._end_call(size))

    def close(self) -> None:
        """Closes the stream; may be called again.

        Its calls go on, and count until they end.
        """
        self._is_closed = True
        self.messages.close()
        self._part.add(self._call_bytes - self._part.held_bytes)
        self._close_part_if_unused()

    def _end_call(self, size: int) -> None:
        self._calls -= 1
        self._call_bytes -= size
        self._part.add(-size)
        self._close_part_if_unused()
        self._call_ended.set()

    def _close_part_if_unused(self) -> None:
        if self._is_closed and not self._calls:
            self._account.close(self._part)

    def _greet(self) -> None:
        """Lets more arrive at once from a peer that sent a whole message."""
        if self._is_greeted:
            return
        self._is_greeted = True
        if self._account.make_room(sockets.WIDENED_BYTES):
            self._part.add(sockets.WIDENED_BYTES)
            sockets.widen(self._socket)

    def _count(self, size: int) -> None:
        """Counts what was read of a message; raises StreamClosedError."""
        growth = size - self._unread_bytes
        self._unread_bytes = size
        self._part.add(_COPIES * growth)
        if growth < 0:
            self._on_message(self)
            self._greet()
            return
        self._part.progressed_at = self._account.now
        if not self._account.make_room(0):
            raise wire.StreamClosedError('peers hold too much memory')
