"""Detects callers that close the connection before they get an answer."""

from __future__ import annotations

import select
import typing

import gevent

from mulberryquay.coordination import clock, paced_task

#: Time between two checks; a closed connection is detected within it.
CHECK_INTERVAL_MS: typing.Final = 60.0


@typing.final
class CallerGoneError(gevent.GreenletExit):
    """The caller closed its connection and does not wait for the answer."""


class ServedRequest(typing.Protocol):
    """A request that is being served."""

    @property
    def connection(self) -> typing.Any:
        """The caller's connection, a gevent socket."""

    def handle_caller_gone(self) -> None:
        """Cancels work that only the caller needs; must not block."""


@typing.final
class CallerWatch:
    """One task that checks the connections of all requests being served."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Checks nothing until `start`."""
        self._requests: set[ServedRequest] = set()
        self._task = paced_task.PacedTask(
            self._check_again, time_source, interval=CHECK_INTERVAL_MS
        )

    def start(self) -> None:
        """Starts the task."""
        self._task.start()

    def stop(self) -> None:
        """Stops the task."""
        self._task.stop()

    def watch(self, request: ServedRequest) -> None:
        """Starts checking a request's connection."""
        self._requests.add(request)
        self._task.wake()

    def release(self, request: ServedRequest) -> None:
        """Stops checking it; harmless if it is not checked."""
        self._requests.discard(request)

    def check(self) -> None:
        """Notifies the requests whose callers closed the connection."""
        by_descriptor: dict[int, list[ServedRequest]] = {}
        for request in self._requests:
            descriptor = request.connection.fileno()
            by_descriptor.setdefault(descriptor, []).append(request)
        poll = select.poll()
        for descriptor in by_descriptor:
            # Not POLLIN: unread requests of a caller may come before its end.
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, _ in poll.poll(0):
            for abandoned in by_descriptor[descriptor]:
                self._requests.discard(abandoned)
                abandoned.handle_caller_gone()

    def _check_again(self) -> bool:
        if self._requests:
            self.check()
        return bool(self._requests)
