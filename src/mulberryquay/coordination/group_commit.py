"""Group commit: one sync for all records that wait to be appended."""

from __future__ import annotations

import logging
import typing

import gevent
from gevent import event, queue

from mulberryquay.coordination import frames, journal

#: Most records in one sync.
_MAX_BATCH: typing.Final = 512
#: Longest wait of `GroupCommit.close` for a write that is under way, seconds.
_CLOSE_WAIT_S: typing.Final = 5

_LOG: typing.Final = logging.getLogger(__name__)


class _QueuedRecord(typing.NamedTuple):
    """A record that waits to be appended."""

    record: journal.Record
    frame: bytes
    synced: event.AsyncResult


class _QueuedSnapshot(typing.NamedTuple):
    """A snapshot that waits to be made and written."""

    make: typing.Callable[[], typing.Any]
    synced: event.AsyncResult


_QueuedWrite = _QueuedRecord | _QueuedSnapshot


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
        """Returns once ``record`` is synced.

        Raises JournalFailedError and UnencodableError.
        """
        self.begin(record).get()

    def begin(self, record: journal.Record) -> event.AsyncResult:
        """Queues ``record`` without yielding; the result is set once synced.

        Raises UnencodableError, and queues nothing then.
        """
        synced: event.AsyncResult = event.AsyncResult()
        self._pending.put(_QueuedRecord(record, frames.encode(record), synced))
        return synced

    def compact(self, make_snapshot: typing.Callable[[], typing.Any]) -> None:
        """Replaces all earlier records with a snapshot taken between writes.

        Raises JournalFailedError.
        """
        synced: event.AsyncResult = event.AsyncResult()
        self._pending.put(_QueuedSnapshot(make_snapshot, synced))
        synced.get()

    def close(self) -> None:
        """Stops the task and closes the journal; may be called again.

        Waits for a write that is under way, up to a limit; after it the files
        stay open and locked, since the disk may still write to them.
        """
        self._task.kill(timeout=_CLOSE_WAIT_S)
        if self._task.dead:
            self._log.close()
        else:
            _LOG.warning(
                'a disk write takes longer than %s s; '
                'the data folder stays locked until this process ends',
                _CLOSE_WAIT_S,
            )

    def _run(self) -> None:
        while True:
            batch = [self._pending.get()]
            while not self._pending.empty() and len(batch) < _MAX_BATCH:
                batch.append(self._pending.get())
            self._write(batch)

    def _write(self, batch: list[_QueuedWrite]) -> None:
        try:
            self._write_all(batch)
        except journal.JournalFailedError as error:
            _fail(batch, error)
        except Exception as error:
            # Without this task every later write would wait for ever.
            _LOG.exception('disk write ended with an unexpected error')
            _fail(batch, journal.JournalFailedError(f'got {error!r}'))
        else:
            for written in batch:
                written.synced.set(None)

    def _write_all(self, batch: list[_QueuedWrite]) -> None:
        """Writes the records of a batch and the newest of its snapshots."""
        records = [write for write in batch if isinstance(write, _QueuedRecord)]
        snapshots = [
            write for write in batch if isinstance(write, _QueuedSnapshot)
        ]
        if snapshots and self._log.has_failed:
            # A failed journal is usable again only in new files.
            self._log.compact(snapshots.pop().make())
        if records:
            self._log.append_frames([write.frame for write in records])
            for written in records:
                self._apply(written.record)
        if snapshots:
            self._log.compact(snapshots[-1].make())


def _fail(
    batch: typing.Iterable[_QueuedWrite], error: journal.JournalFailedError
) -> None:
    for failed in batch:
        failed.synced.set_exception(error)
