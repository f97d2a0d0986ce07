"""The messages that wait to be sent to connected entries."""

from __future__ import annotations

import typing

from gevent import queue

#: Messages queued for an entry; beyond this it has to reconnect.
_MAX_QUEUED: typing.Final = 10_000

Message = tuple[typing.Any, ...]


def new_queue() -> queue.Queue:
    """Returns the queue of a stream; it is full after `_MAX_QUEUED`."""
    return queue.Queue(maxsize=_MAX_QUEUED)


@typing.final
class EntryQueues:
    """The queue of each connected entry, by its name."""

    def __init__(self) -> None:
        """Starts without entries."""
        self._queues: dict[str, queue.Queue] = {}
        #: Entries of this release; older ones cannot read all messages.
        self._current: set[str] = set()

    @property
    def count(self) -> int:
        """The number of connected entries."""
        return len(self._queues)

    def connect(
        self, entry: str, outbound: queue.Queue, *, is_current: bool
    ) -> None:
        """Adds an entry, in place of its earlier stream if there is one."""
        self._queues[entry] = outbound
        if is_current:
            self._current.add(entry)
        else:
            self._current.discard(entry)

    def disconnect(self, entry: str, outbound: queue.Queue) -> bool:
        """Removes an entry; False if another stream has taken its place."""
        if self._queues.get(entry) is not outbound:
            return False
        self._remove(entry)
        return True

    def all_queues(self) -> list[queue.Queue]:
        """Returns the queues of all entries."""
        return list(self._queues.values())

    def send_to_all(self, message: Message) -> None:
        """Queues a message for all entries."""
        self._send(self._queues, message)

    def send_to_current(self, message: Message) -> None:
        """Queues a message for the entries of this release."""
        self._send(self._current, message)

    def _send(self, entries: typing.Iterable[str], message: Message) -> None:
        for entry in list(entries):
            try:
                self._queues[entry].put_nowait(message)
            except queue.Full:
                # The entry does not read. Without answers to its heartbeats
                # it reconnects and gets the whole state.
                self._remove(entry)

    def _remove(self, entry: str) -> None:
        self._queues.pop(entry)
        self._current.discard(entry)
