"""Keeps the announced targets across a restart of all control hosts.

The targets announce themselves again within one or two lease renewals.
Without the cache, an entry that starts before that would know no target.
Cached targets may be gone, which entries notice as with any other target.
"""

from __future__ import annotations

import logging
import pathlib
import typing

import gevent

from mulberryquay import protocol
from mulberryquay.control import directory
from mulberryquay.coordination import clock, journal, packing

#: Shortest time between two writes.
WRITE_INTERVAL_MS: typing.Final = 1500.0

_FOLDER_NAME: typing.Final = 'targets'
_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class TargetCache:
    """Runs the task that writes the targets after changes."""

    def __init__(
        self,
        folder: pathlib.Path,
        targets: directory.Directory,
        time_source: clock.Clock,
        *,
        file_system: journal.FileSystem | None = None,
    ) -> None:
        """Writes into ``folder``, the data folder locked by the journal."""
        self._path = folder / _FOLDER_NAME / 'rows'
        self._targets = targets
        self._clock = time_source
        self._file_system = file_system or journal.FileSystem()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Loads the cached targets and starts the task."""
        self.load()
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.kill()

    def load(self) -> None:
        """Adds the targets that were written before the restart."""
        try:
            rows = packing.unpack(self._path.read_bytes())
            cached = [protocol.TargetRow(*row) for row in rows]
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError) as error:
            _LOG.warning('target cache not read', extra={'cause': str(error)})
            return
        for row in cached:
            self._targets.merge_announced(row)

    def write(self) -> None:
        """Writes all targets and syncs them.

        Raises OSError and UnencodableError.
        """
        rows = [list(row) for row in self._targets.list_targets()]
        body = packing.pack(rows)
        self._file_system.run(lambda: self._replace(body))

    def _run(self) -> None:
        written = self._targets.changes.revision
        while True:
            self._clock.sleep(WRITE_INTERVAL_MS)
            revision = self._targets.changes.revision
            if revision == written:
                continue
            try:
                self.write()
            except (OSError, packing.UnencodableError) as error:
                _LOG.warning(
                    'target cache not written', extra={'cause': str(error)}
                )
                continue
            written = revision

    def _replace(self, body: bytes) -> None:
        self._path.parent.mkdir(exist_ok=True)
        self._file_system.replace(self._path, body)
