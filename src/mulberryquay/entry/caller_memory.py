"""Counts what one caller's connection holds in the account of the entry."""

from __future__ import annotations

import typing

from mulberryquay import sockets
from mulberryquay.coordination import memory_account
from mulberryquay.entry import caller_limits, http_heads, messages, state

#: Memory of a task and of what it refers to.
_TASK_BYTES: typing.Final = 16_384

#: Memory of a connection beside what is read and sent on it: the task, and
#: what the system keeps until it is read.
CONNECTION_BYTES: typing.Final = _TASK_BYTES + sockets.UNREAD_BYTES

#: Copies of a head that are kept while it is served.
_HEAD_COPIES: typing.Final = 2

#: An unfinished head up to this size never ends for the memory of others.
_SMALL_HEAD_BYTES: typing.Final = 4096


def request_bytes(head_bytes: int) -> int:
    """Returns the memory of a request beside its body and its answer."""
    return _TASK_BYTES + _HEAD_COPIES * head_bytes


@typing.final
class ConnectionMemory:
    """What a connection holds beside its requests."""

    def __init__(
        self,
        entry_state: state.EntryState,
        holder: memory_account.Holder,
        connection: typing.Any,
        reader: messages.RequestReader,
    ) -> None:
        """Counts ``connection``, a gevent socket that ``reader`` reads."""
        self._state = entry_state
        self._socket = connection
        self._reader = reader
        #: What the connection holds, with its requests.
        self.part = entry_state.memory.open(holder)
        self.part.add(CONNECTION_BYTES)
        self._input_bytes = 0
        #: Whether the system may keep more of what the caller sends.
        self._is_widened = False

    def count_input(self) -> None:
        """Counts what was received and is not part of a request yet."""
        size = self._reader.unfinished_bytes
        self.part.add(size - self._input_bytes)
        self._input_bytes = size

    def hold_head(self) -> bool:
        """Counts an unfinished head; returns whether it may be kept."""
        self.part.progressed_at = self._state.clock.now()
        self.count_input()
        if self._input_bytes <= _SMALL_HEAD_BYTES:
            return True
        if self._state.memory.make_room(0):
            return True
        self._state.limit_notes.note(caller_limits.Limit.MEMORY)
        return False

    def widen(self, head: http_heads.RequestHead) -> None:
        """Lets a large body arrive faster if there is room for it."""
        is_large = (
            head.framing is http_heads.Framing.CHUNKED
            or head.length > sockets.UNREAD_BYTES
        )
        if self._is_widened or not is_large:
            return
        if self._state.memory.make_room(sockets.WIDENED_BYTES):
            self._is_widened = True
            self.part.add(sockets.WIDENED_BYTES)
            sockets.widen(self._socket)

    def close(self) -> None:
        """Counts nothing any more."""
        self._reader.close()
        self._state.memory.close(self.part)
