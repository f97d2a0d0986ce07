"""Group commit: one sync for all records that wait to be appended."""

from __future__ import annotations

import typing

import gevent
from gevent import event, queue

from mulberryquay.coordination import journal

#: Most records in one sync.
_MAX_BATCH: typing.Final = 512

_QueuedWrite = tuple[journal.Record, event.AsyncResult]


@typing.final
class GroupCommit:
    """Appends records from many tasks in one writer task."""

    def __init__(
        self,
        log: journal.Journal,
        apply: typing.Callable[[journal.Record], None],
    ) -> None:
        """Takes ownership of ``log``, which must be recovered.

        ``apply`` is called with each record in order, once it is synced and
        before the task that waits for it resumes. A snapshot therefore
        contains all records that were synced before it.
        """
        self._log = log
        self._apply = apply
        self._pending: queue.Queue = queue.Queue()
        self._task = gevent.spawn(self._run)

    def commit(self, record: journal.Record) -> None:
        """Returns once ``record`` is synced; raises JournalFailedError."""
        self.begin(record).get()

    def begin(self, record: journal.Record) -> event.AsyncResult:
        """Queues ``record`` without yielding; the result is set once synced."""
        synced: event.AsyncResult = event.AsyncResult()
        self._pending.put((record, synced))
        return synced

    def compact(self, make_snapshot: typing.Callable[[], typing.Any]) -> None:
        """Replaces all earlier records with a snapshot taken between writes."""
        self.begin(make_snapshot).get()

    def close(self) -> None:
        """Stops the task and closes the journal."""
        self._task.kill()
        self._log.close()

    def _run(self) -> None:
        while True:
            batch = [self._pending.get()]
            while not self._pending.empty() and len(batch) < _MAX_BATCH:
                batch.append(self._pending.get())
            self._write(batch)

    def _write(self, batch: list[_QueuedWrite]) -> None:
        records = [record for record, _ in batch if not callable(record)]
        snapshots = [record for record, _ in batch if callable(record)]
        try:
            if snapshots and self._log.has_failed:
                # A failed journal is usable again only in new files.
                self._log.compact(snapshots.pop()())
            if records:
                self._log.append(records)
                for written in records:
                    self._apply(written)
            if snapshots:
                self._log.compact(snapshots[-1]())
        except journal.JournalFailedError as error:
            for _record, failed in batch:
                failed.set_exception(error)
            return
        for _written, synced in batch:
            synced.set(None)
