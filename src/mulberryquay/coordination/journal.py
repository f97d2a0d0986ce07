"""An append-only, synced journal with snapshots, one per data folder.

Layout: ``snapshot-N`` holds a state and ``journal-N`` the records after it. N
grows with each snapshot. Each record is a frame: length, CRC-32 of the body
and CRC-32 of these two (4 bytes each, big-endian), then a msgpack body.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
import typing

import gevent

from mulberryquay.coordination import errors, frames, units

Record = frames.Record

_SNAPSHOT_PREFIX: typing.Final = 'snapshot-'
_JOURNAL_PREFIX: typing.Final = 'journal-'
_LOCK_NAME: typing.Final = 'lock'
_NUMBER_DIGITS: typing.Final = 20


@typing.final
class JournalCorruptError(errors.MulberryquayError):
    """A synced record or snapshot no longer matches its checksum."""

    code = 'journal-corrupt'


@typing.final
class JournalFailedError(errors.MulberryquayError):
    """A write or sync failed; appends fail until a snapshot or a restart."""

    code = 'journal-failed'
    http_status = 503


@typing.final
class FolderInUseError(errors.MulberryquayError):
    """Another process has locked the data folder."""

    code = 'folder-in-use'


class Recovered(typing.NamedTuple):
    """The content of a journal when it was opened."""

    snapshot: Record | None
    records: list[Record]
    #: Bytes of an incomplete last write, which were removed.
    torn_bytes: int


class FileSystem:
    """Disk access of a journal; tests replace it to inject faults."""

    def write(self, descriptor: int, body: bytes) -> None:
        """Writes all of ``body``; raises OSError."""
        view = memoryview(body)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Syncs a file or folder; raises OSError."""
        os.fsync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Syncs created, renamed and removed file names; raises OSError."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: pathlib.Path, body: bytes) -> None:
        """Atomically replaces the content of a file with ``body``.

        Raises OSError.
        """
        partial = path.with_suffix('.partial')
        descriptor = os.open(
            partial,
            os.O_WRONLY | os.O_CREAT | os.O_TRUNC,
            units.PRIVATE_FILE_MODE,
        )
        try:
            self.write(descriptor, body)
            self.sync(descriptor)
        finally:
            os.close(descriptor)
        partial.rename(path)
        self.sync_folder(path.parent)

    def run(self, work: typing.Callable[[], None]) -> None:
        """Runs ``work``, which may block on the disk, in a thread.

        A caller that is ended meanwhile ends once the thread is done, which
        can't be stopped: the files are the thread's until then.
        """
        running = gevent.get_hub().threadpool.spawn(work)
        try:
            running.get()
        finally:
            while not running.ready():
                with contextlib.suppress(gevent.GreenletExit):
                    running.wait()


@typing.final
class Journal:
    """Appends records durably; one greenlet at a time may call it."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        file_system: FileSystem | None = None,
    ) -> None:
        """Creates and locks ``folder``; raises FolderInUseError."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._file_system = file_system or FileSystem()
        self._lock = _lock_folder(folder)
        self._descriptor = -1
        self._snapshot_number = 0
        self._record_count = 0
        self._record_bytes = 0
        self._failed = False

    @property
    def has_failed(self) -> bool:
        """Whether a write failed and no snapshot has been written since."""
        return self._failed

    @property
    def records_since_snapshot(self) -> int:
        """The number of records that a restart would replay."""
        return self._record_count

    @property
    def bytes_since_snapshot(self) -> int:
        """The bytes that a restart would read beside the snapshot."""
        return self._record_bytes

    def recover(self) -> Recovered:
        """Reads the newest snapshot and the records after it.

        Removes an incomplete last write. Raises JournalCorruptError if a
        synced record is damaged.
        """
        snapshot_number, snapshot = self._read_snapshot()
        self._snapshot_number = snapshot_number
        path = self._path(_JOURNAL_PREFIX, self._snapshot_number)
        body = path.read_bytes() if path.exists() else b''
        records, good_bytes = _decode_frames(body, path.name)
        self._open_journal(path)
        if good_bytes < len(body):
            os.ftruncate(self._descriptor, good_bytes)
            self._file_system.sync(self._descriptor)
        self._record_count = len(records)
        self._record_bytes = good_bytes
        self._remove_older()
        return Recovered(snapshot, records, len(body) - good_bytes)

    def append(self, records: typing.Sequence[Record]) -> None:
        """Writes and syncs ``records`` together.

        Raises JournalFailedError, and UnencodableError before any is written.
        """
        self.append_frames([frames.encode(record) for record in records])

    def append_frames(self, encoded: typing.Sequence[bytes]) -> None:
        """Appends records that `frames.encode` has encoded.

        Raises JournalFailedError.
        """
        self._check_usable()
        body = b''.join(encoded)
        try:
            self._file_system.run(lambda: self._write_synced(body))
        except OSError as error:
            self._fail(error)
        self._record_count += len(encoded)
        self._record_bytes += len(body)

    def compact(self, snapshot: Record) -> None:
        """Replaces all records with ``snapshot``; raises JournalFailedError.

        This makes a failed journal usable again, because the whole state is
        then in new files.
        """
        snapshot_number = self._snapshot_number + self._record_count + 1
        try:
            self._file_system.run(
                lambda: self._replace(snapshot_number, snapshot)
            )
        except OSError as error:
            self._fail(error)
        self._failed = False

    def _replace(self, snapshot_number: int, snapshot: Record) -> None:
        path = self._path(_SNAPSHOT_PREFIX, snapshot_number)
        self._file_system.replace(path, frames.encode(snapshot))
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        self._snapshot_number = snapshot_number
        self._record_count = 0
        self._record_bytes = 0
        self._open_journal(self._path(_JOURNAL_PREFIX, snapshot_number))
        self._remove_older()

    def _write_synced(self, body: bytes) -> None:
        self._file_system.write(self._descriptor, body)
        self._file_system.sync(self._descriptor)

    def close(self) -> None:
        """Closes the files and unlocks the folder; may be called again."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _path(self, prefix: str, number: int) -> pathlib.Path:
        return self._folder / f'{prefix}{number:0{_NUMBER_DIGITS}d}'

    def _check_usable(self) -> None:
        if self._failed:
            raise JournalFailedError(
                'an earlier write to the data folder failed; '
                'check the disk and restart this process',
            )

    def _fail(self, error: OSError) -> typing.NoReturn:
        # After a failed fsync the kernel may drop the dirty pages, so a
        # successful retry does not mean that the data is on disk.
        self._failed = True
        raise JournalFailedError(
            f'writing to {self._folder} failed: {error}',
        ) from error

    def _open_journal(self, path: pathlib.Path) -> None:
        mode = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, mode, units.PRIVATE_FILE_MODE)
        self._file_system.sync_folder(self._folder)

    def _read_snapshot(self) -> tuple[int, Record | None]:
        numbers = sorted(
            int(path.name.removeprefix(_SNAPSHOT_PREFIX))
            for path in self._folder.glob(f'{_SNAPSHOT_PREFIX}*')
            if not path.suffix
        )
        if not numbers:
            return 0, None
        path = self._path(_SNAPSHOT_PREFIX, numbers[-1])
        body = path.read_bytes()
        decoded = _decode_frames(body, path.name)
        if len(decoded.records) != 1 or decoded.size != len(body):
            raise JournalCorruptError(
                f'{path.name} is damaged; restore the data folder from an '
                'intact copy',
            )
        return numbers[-1], decoded.records[0]

    def _remove_older(self) -> None:
        kept = {
            self._path(_SNAPSHOT_PREFIX, self._snapshot_number).name,
            self._path(_JOURNAL_PREFIX, self._snapshot_number).name,
            _LOCK_NAME,
        }
        for path in self._folder.iterdir():
            if path.name not in kept and path.is_file():
                path.unlink()


def _lock_folder(folder: pathlib.Path) -> int:
    descriptor = os.open(
        folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, units.PRIVATE_FILE_MODE
    )
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise FolderInUseError(
            f'{folder} is locked by another process; stop it or choose '
            'another data folder',
        ) from None
    return descriptor


def _decode_frames(content: bytes, name: str) -> frames.Decoded:
    """Returns the records of a file; raises JournalCorruptError."""
    try:
        return frames.decode_all(content)
    except frames.DamagedFrameError as error:
        raise JournalCorruptError(
            f'{name} is damaged at byte {error.offset}; restore the data '
            'folder from an intact copy',
        ) from error
