"""Puts the answers to pipelined requests in the order of the requests.

Requests of one connection may run side by side, but each answer is sent
whole after the one before it. An answer that closes the connection is the
last one: the requests behind it count as not read (RFC 9112, section 9.3.2),
so their runs are cancelled and the caller sends them again.
"""

from __future__ import annotations

import collections
import itertools
import typing

import gevent
from gevent import event

from mulberryquay.coordination import clock, errors


class BehindCloseError(gevent.GreenletExit):
    """An earlier answer on the connection closes it."""


@typing.final
class TurnTimeoutError(errors.MulberryquayError):
    """The answers ahead were not sent in time."""

    code = 'turn-timeout'


@typing.final
class Turn:
    """The place of one request in the row of its connection."""

    __slots__ = (
        '_row',
        'held_bytes',
        'is_sending',
        'size',
        'task',
        'turn_came',
    )

    def __init__(self, row: AnswerRow, size: int) -> None:
        """Belongs to ``row``; ``size`` is that of the request in bytes."""
        self._row = row
        self.size = size
        #: What is counted for the request beside its body and its answer.
        self.held_bytes = 0
        #: The task that serves the request, once it is started.
        self.task: gevent.Greenlet | None = None
        #: Whether an answer that is here as a whole is being sent.
        self.is_sending = False
        #: Set when all answers ahead are sent; None until one waits for it.
        self.turn_came: event.Event | None = None

    @property
    def is_first(self) -> bool:
        """Whether all answers ahead are sent."""
        return self._row.is_first(self)

    @property
    def is_last(self) -> bool:
        """Whether no request behind this one was read."""
        return self._row.is_last(self)

    def wait(self, *, timeout: float | None = None) -> None:
        """Returns once all answers ahead are sent.

        Raises TurnTimeoutError after ``timeout`` ms, and BehindCloseError if
        one of them closes the connection.
        """
        if not self.is_first:
            self.turn_came = event.Event()
            seconds = None
            if timeout is not None:
                seconds = max(0, timeout) / clock.MS_PER_SECOND
            if not self.turn_came.wait(seconds):
                raise TurnTimeoutError('the answers ahead were not sent yet')

    def leave(self, *, keeps_alive: bool) -> None:
        """Ends the turn; unless it ``keeps_alive``, also the row.

        May be called again.
        """
        self._row.remove(self, keeps_alive=keeps_alive)

    def leave_if_killed(self, _task: gevent.Greenlet) -> None:
        """Ends the turn of a task that was killed before it began."""
        self.leave(keeps_alive=False)


@typing.final
class AnswerRow:
    """The requests of one connection that are not answered yet, in order."""

    def __init__(self, on_change: typing.Callable[[], None]) -> None:
        """Calls ``on_change`` each time a request leaves the row."""
        self._turns: collections.deque[Turn] = collections.deque()
        self._on_change = on_change
        self._size = 0
        #: Whether an answer closed the connection.
        self.is_closed = False

    def __len__(self) -> int:
        """Returns the number of requests that are not answered."""
        return len(self._turns)

    @property
    def size(self) -> int:
        """The size of the requests that are not answered, in bytes."""
        return self._size

    @property
    def is_sending(self) -> bool:
        """Whether an answer that is here as a whole is being sent."""
        return bool(self._turns) and self._turns[0].is_sending

    def enter(self, size: int) -> Turn:
        """Adds a request of ``size`` bytes behind all others."""
        turn = Turn(self, size)
        self._turns.append(turn)
        self._size += size
        return turn

    def is_first(self, turn: Turn) -> bool:
        """Whether a request is the oldest one not answered."""
        return self._turns[0] is turn

    def is_last(self, turn: Turn) -> bool:
        """Whether a request is the newest one read."""
        return self._turns[-1] is turn

    def remove(self, turn: Turn, *, keeps_alive: bool) -> None:
        """Removes a request.

        Unless it ``keeps_alive``, those behind it are cancelled, too.
        """
        if turn not in self._turns:
            return
        if not keeps_alive:
            self._close_behind(turn)
        self._turns.remove(turn)
        self._size -= turn.size
        if self._turns and self._turns[0].turn_came is not None:
            self._turns[0].turn_came.set()
        self._on_change()

    def _close_behind(self, last: Turn) -> None:
        self.is_closed = True
        for turn in itertools.islice(
            self._turns, self._turns.index(last) + 1, None
        ):
            if turn.task is not None:
                gevent.kill(turn.task, BehindCloseError())
