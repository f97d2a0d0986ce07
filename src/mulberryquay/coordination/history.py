"""A bounded history of changes, so that watches can resume by revision."""

from __future__ import annotations

import collections
import typing

from gevent import event

from mulberryquay.coordination import clock, errors, memory_size, units

Change = typing.TypeVar('Change')


@typing.final
class RevisionCompactedError(errors.MulberryquayError):
    """Changes after the given revision are no longer kept; list again."""

    code = 'revision-compacted'
    http_status = 410


@typing.final
class History(typing.Generic[Change]):
    """Keeps the newest changes; revisions have no gaps."""

    def __init__(self, *, size: int, max_bytes: int = units.MAX_INT64) -> None:
        """Keeps at most ``size`` changes, and ``max_bytes`` of older ones.

        The newest change is always kept.
        """
        self._max_size = size
        self._max_bytes = max_bytes
        self._changes: collections.deque[Change] = collections.deque()
        #: The bytes of each change.
        self._sizes: collections.deque[int] = collections.deque()
        self._held_bytes = 0
        self._revision = 0
        self._changed = event.Event()

    @property
    def revision(self) -> int:
        """The revision of the newest change."""
        return self._revision

    @property
    def _is_long(self) -> bool:
        if len(self._changes) == 1:
            return False
        is_many = len(self._changes) > self._max_size
        return is_many or self._held_bytes > self._max_bytes

    def restart(self, revision: int) -> None:
        """Continues from a snapshot taken at ``revision``."""
        self._changes.clear()
        self._sizes.clear()
        self._held_bytes = 0
        self._revision = revision
        previous_event = self._changed
        self._changed = event.Event()
        previous_event.set()

    def append(self, change: Change) -> None:
        """Adds the next change and wakes all waiting tasks."""
        self._changes.append(change)
        self._sizes.append(memory_size.measure(change))
        self._held_bytes += self._sizes[-1]
        while self._is_long:
            self._changes.popleft()
            self._held_bytes -= self._sizes.popleft()
        self._revision += 1
        previous_event = self._changed
        self._changed = event.Event()
        previous_event.set()

    def since(self, revision: int) -> list[Change]:
        """Returns the changes after ``revision`` in order.

        Raises RevisionCompactedError if some of them are no longer kept or
        ``revision`` lies in the future.
        """
        missing = self._revision - revision
        if missing < 0 or missing > len(self._changes):
            oldest = self._revision - len(self._changes)
            raise RevisionCompactedError(
                f'got revision {revision}, expected one from {oldest} to '
                f'{self._revision}; list again and watch from there',
            )
        if not missing:
            return []
        return list(self._changes)[-missing:]

    def wait(self, revision: int, *, timeout: float) -> bool:
        """Waits for a change after ``revision``; False on timeout (ms)."""
        if self._revision > revision:
            return True
        return bool(self._changed.wait(timeout / clock.MS_PER_SECOND))
