"""Reads a request's body: a replayable beginning, then the rest."""

from __future__ import annotations

import contextlib
import typing

from gevent import socket

from mulberryquay.coordination import memory_account, wait_limit
from mulberryquay.entry import (
    admission,
    answers,
    caller_limits,
    http_heads,
    messages,
    outcomes,
    routing,
    state,
)

#: Size of the beginning of a body that is buffered before a target is chosen.
#: Only requests that fit can be sent to a second target.
REPLAY_BYTES: typing.Final = 65536

#: A body or an answer up to this size may use the reserve of the account.
_SMALL_BYTES: typing.Final = 16384

_CONTINUE: typing.Final = b'HTTP/1.1 100 Continue\r\n\r\n'


@typing.final
class RequestBody:
    """The body of one request on a caller's connection."""

    def __init__(
        self,
        connection: typing.Any,
        reader: messages.RequestReader,
        head: http_heads.RequestHead,
        entry_state: state.EntryState,
        part: memory_account.Part,
    ) -> None:
        """Reads the body that follows ``head`` on ``reader``.

        What it holds is counted in ``part``.
        """
        self._state = entry_state
        self._part = part
        self._expected_bytes = (
            REPLAY_BYTES
            if head.framing is http_heads.Framing.CHUNKED
            else min(head.length, REPLAY_BYTES)
        )
        #: What is counted in the part for the request.
        self.held_bytes = 0
        #: The largest message that waited to be sent.
        self._unsent_bytes = 0
        self._gives_way = False
        self._socket = connection
        self._reader = reader
        self._expects_continue = head.find(b'expect') is not None
        self._size = 0
        self._is_read = head.framing is http_heads.Framing.NONE
        if self._is_read:
            reader.read_part()

    @property
    def is_read(self) -> bool:
        """Whether the request was read to its end."""
        return self._is_read

    def read_replayable(
        self, service: routing.Service, limit: wait_limit.WaitLimit
    ) -> bytes:
        """Returns the whole body, or the beginning that fits the buffer.

        Raises RefusedError, with the outcome not-run, and OSError.
        """
        if self._is_read:
            return b''
        self._make_room(self._expected_bytes)
        if self._expects_continue:
            self._socket.sendall(_CONTINUE)
        parts = []
        while self._size < REPLAY_BYTES:
            part = self._read_part(limit)
            if part is None:
                break
            parts.append(part)
            self.hold(len(part))
            self._make_room(0)
        admission.check_length(service, self._size)
        return b''.join(parts)

    def read_remaining(
        self, service: routing.Service, limit: wait_limit.WaitLimit
    ) -> typing.Iterator[bytes]:
        """Yields the parts of the body after the buffered beginning.

        Raises RefusedError, possibly after a target received some of it.
        """
        self.hold(messages.READ_BYTES)
        while True:
            part = self._read_part(limit)
            if part is None:
                return
            if self._size > service.max_body_bytes:
                raise outcomes.unknown(
                    outcomes.Reason.BODY_TOO_LARGE,
                    f'got a body of more than {service.max_body_bytes} bytes',
                )
            yield part

    def hold(self, size: int) -> None:
        """Counts ``size`` bytes more for the request; fewer if negative."""
        self.held_bytes += size
        self._part.add(size)

    def holds_answer(self, size: int) -> bool:
        """Counts ``size`` bytes of the answer; False if they do not fit."""
        if not self._fits(size):
            self._state.limit_notes.note(caller_limits.Limit.MEMORY)
            return False
        self.hold(size)
        return True

    def hold_unsent(self, size: int) -> None:
        """Counts a message of ``size`` bytes that waits for the caller.

        Counts one at a time. Raises AnswerCutShortError if it does not fit.
        """
        added = max(0, size - self._unsent_bytes)
        if not self._fits(added):
            self._state.limit_notes.note(caller_limits.Limit.MEMORY_HELD)
            raise answers.AnswerCutShortError(
                'the caller did not read its answer at once, and callers hold '
                'too much memory of this entry',
                outcomes.Reason.MEMORY_LIMIT,
                is_by_caller=True,
            )
        self._unsent_bytes += added
        self.hold(added)

    def note_progress(self) -> None:
        """Notes that the caller is not slow now."""
        self._part.progressed_at = self._state.clock.now()

    def give_way(self) -> None:
        """Ends the wait for the rest of the body."""
        self._gives_way = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def _make_room(self, size: int) -> None:
        """Raises RefusedError if callers would hold too much."""
        if self._fits(size):
            return
        self._state.limit_notes.note(caller_limits.Limit.MEMORY)
        raise memory_refusal()

    def _fits(self, size: int) -> bool:
        """Whether there is room; a small request may use the reserve."""
        is_small = max(size, self.held_bytes) <= _SMALL_BYTES
        return self._state.memory.make_room(size, in_reserve=is_small)

    def _read_part(self, limit: wait_limit.WaitLimit) -> bytes | None:
        self._reader.wait_limit = limit
        try:
            part = self._reader.read_part()
        except http_heads.MessageError as error:
            raise outcomes.not_run(
                outcomes.Reason.MALFORMED_REQUEST,
                str(error),
                status=error.http_status,
            ) from error
        except TimeoutError as error:
            raise outcomes.not_run(
                outcomes.Reason.REQUEST_TIMEOUT,
                'the rest of the request did not arrive in time',
            ) from error
        except (http_heads.CutShortError, OSError) as error:
            if self._gives_way:
                raise memory_refusal() from error
            raise outcomes.not_run(
                outcomes.Reason.REQUEST_CUT_SHORT,
                'the caller closed the connection before the end of its '
                'request',
            ) from error
        self.note_progress()
        if part is None:
            self._is_read = True
            self._reader.wait_limit = None
            self._socket.settimeout(wait_limit.STALL_TIMEOUT_S)
        else:
            self._size += len(part)
        return part


def memory_refusal() -> outcomes.RefusedError:
    """Returns the error for a request that would hold too much."""
    return outcomes.not_run(
        outcomes.Reason.MEMORY_LIMIT,
        'callers hold too much memory or too many connections of this entry',
    )
