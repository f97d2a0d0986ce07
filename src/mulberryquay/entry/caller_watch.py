"""Notices callers that leave while their requests are served."""

from __future__ import annotations

import select
import typing

import gevent
from gevent import socket

from mulberryquay.coordination import clock

#: How often connections are looked at; a caller's leave is noticed within
#: this time.
CHECK_INTERVAL_MS: typing.Final = 60.0


@typing.final
class CallerGoneError(gevent.GreenletExit):
    """The caller closed its connection; nobody waits for the answer."""


class ServedRequest(typing.Protocol):
    """A request that is served now."""

    @property
    def connection(self) -> typing.Any:
        """The caller's connection, a gevent socket."""

    def handle_caller_gone(self) -> None:
        """Ends what is only of use to the caller; must not block."""


@typing.final
class CallerWatch:
    """One task that looks at all connections with a request in service."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Looks at nothing until `start`."""
        self._clock = time_source
        self._requests: set[ServedRequest] = set()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to look."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the task."""
        if self._task is not None:
            self._task.kill()

    def watch(self, request: ServedRequest) -> None:
        """Begins to look at a request's connection."""
        self._requests.add(request)

    def release(self, request: ServedRequest) -> None:
        """Ends that; harmless if it has ended."""
        self._requests.discard(request)

    def check(self) -> None:
        """Lets the requests go whose callers have left."""
        by_descriptor = {
            request.connection.fileno(): request for request in self._requests
        }
        poll = select.poll()
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLIN)
        for descriptor, _ in poll.poll(0):
            request = by_descriptor[descriptor]
            if _is_closed(request.connection):
                self._requests.discard(request)
                request.handle_caller_gone()

    def _run(self) -> None:
        while True:
            self._clock.sleep(CHECK_INTERVAL_MS)
            if self._requests:
                self.check()


def _is_closed(connection: typing.Any) -> bool:
    """Whether a readable connection has ended; its bytes stay unread."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
