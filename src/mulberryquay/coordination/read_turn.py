"""Lets other tasks run while a peer sends faster than it is read."""

from __future__ import annotations

import typing

import gevent

#: Bytes that a task reads from one connection before it yields, if no read
#: had to wait.
MAX_TURN_BYTES: typing.Final = 65536

#: A sleep of this length ends in the next iteration of the event loop, after
#: the loop has polled all sockets; one of 0 may end in the same iteration.
_NEXT_ITERATION_S: typing.Final = 1e-9


def yield_now() -> None:
    """Lets other tasks run, and the event loop poll all sockets."""
    gevent.sleep(_NEXT_ITERATION_S)


@typing.final
class ReadTurn:
    """Counts what one task read since the event loop last polled sockets.

    A read from a socket that has data returns without switching to another
    task, so a fast peer could otherwise keep all other tasks from running.
    """

    __slots__ = ('_bytes_read', '_iteration', '_loop', '_max_bytes')

    def __init__(self, max_bytes: int = MAX_TURN_BYTES) -> None:
        """Yields after ``max_bytes`` without another reason to wait."""
        self._max_bytes = max_bytes
        self._loop = gevent.get_hub().loop
        self._iteration = self._loop.iteration
        self._bytes_read = 0

    def begin_read(self) -> None:
        """Yields before a read if this turn has read its share."""
        if self._bytes_read < self._max_bytes:
            return
        if self._loop.iteration == self._iteration:
            yield_now()
        self._bytes_read = 0

    def end_read(self, size: int) -> None:
        """Counts ``size`` bytes that were read."""
        iteration = self._loop.iteration
        if iteration != self._iteration:
            self._iteration = iteration
            self._bytes_read = 0
        self._bytes_read += size
