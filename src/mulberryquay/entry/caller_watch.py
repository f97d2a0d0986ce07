"""Notices callers that leave while their requests are served."""

from __future__ import annotations

import select
import typing

import gevent
from gevent import socket

from mulberryquay.coordination import clock

#: How often connections are looked at; a caller's leave is noticed within
#: this time.
INTERVAL_MS: typing.Final = 60.0


@typing.final
class CallerGoneError(gevent.GreenletExit):
    """The caller closed its connection; nobody waits for the answer."""


class Served(typing.Protocol):
    """A request that is served now."""

    @property
    def connection(self) -> typing.Any:
        """The caller's connection, a gevent socket."""

    def leave(self) -> None:
        """Ends what is only of use to the caller; must not block."""


@typing.final
class CallerWatch:
    """One task that looks at all connections with a request in service."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Looks at nothing until `start`."""
        self._clock = time_source
        self._served: set[Served] = set()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to look."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the task."""
        if self._task is not None:
            self._task.kill()

    def watch(self, served: Served) -> None:
        """Begins to look at a request's connection."""
        self._served.add(served)

    def release(self, served: Served) -> None:
        """Ends that; harmless if it has ended."""
        self._served.discard(served)

    def look(self) -> None:
        """Lets the requests go whose callers have left."""
        by_descriptor = {
            served.connection.fileno(): served for served in self._served
        }
        poll = select.poll()
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLIN)
        for descriptor, _ in poll.poll(0):
            served = by_descriptor[descriptor]
            if _has_left(served.connection):
                self._served.discard(served)
                served.leave()

    def _run(self) -> None:
        while True:
            self._clock.sleep(INTERVAL_MS)
            if self._served:
                self.look()


def _has_left(connection: typing.Any) -> bool:
    """Whether a readable connection has ended; its bytes stay unread."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
