"""Writes log lines as JSON, bounded, without ever holding the process."""

from __future__ import annotations

import collections
import logging
import os
import stat
import sys
import typing

import gevent
from gevent import event
from gevent import os as gevent_os
from pythonjsonlogger import json

from mulberryquay.coordination import clock, token_bucket

#: Lines that wait for a reader; later ones are dropped and counted.
MAX_WAITING: typing.Final = 2000

#: Lines a second below warnings, and how many may come at once.
LINES_PER_S: typing.Final = 400
BURST_LINES: typing.Final = 2000

#: Bytes given to one write.
_WRITE_BYTES: typing.Final = 16_384

#: A process that ends waits this long for its reader.
_FLUSH_MS: typing.Final = 200.0

_ROOT: typing.Final = 'mulberryquay'


@typing.final
class BoundedHandler(logging.Handler):
    """Queues lines for one task that writes them.

    A reader that is slow or gone costs lines, never time: what does not fit
    is counted, and the count is written once there is room again.
    """

    def __init__(self, descriptor: int, time_source: clock.Clock) -> None:
        """Writes to ``descriptor`` after `start`."""
        super().__init__()
        mode = os.fstat(descriptor).st_mode
        self._may_block = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if self._may_block:
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = time_source
        self._lines: collections.deque[bytes] = collections.deque()
        self._pace = token_bucket.TokenBucket(
            time_source,
            rate=LINES_PER_S,
            burst=BURST_LINES,
        )
        self._news = event.Event()
        self._task: gevent.Greenlet | None = None
        self._unreported = 0
        #: Lines that were dropped since the start.
        self.dropped = 0

    def start(self) -> None:
        """Begins to write."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the task once all is written, or after a short while."""
        if self._task is None:
            return
        deadline = self._clock.now() + _FLUSH_MS
        while self._lines and self._clock.now() < deadline:
            self._clock.sleep(1)
        self._task.kill()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or counts it as dropped."""
        is_paced = record.levelno >= logging.WARNING or self._pace.take()
        if not is_paced or len(self._lines) >= MAX_WAITING:
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            self._report_dropped()
        self._put(record)

    def _put(self, record: logging.LogRecord) -> None:
        self._lines.append(self.format(record).encode() + b'\n')
        self._news.set()

    def _report_dropped(self) -> None:
        count = self._unreported
        self._unreported = 0
        record = logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.WARNING,
                'levelname': 'WARNING',
                'msg': 'log lines dropped',
                'count': count,
            },
        )
        self._put(record)

    def _run(self) -> None:
        while True:
            self._news.wait()
            self._news.clear()
            while self._lines:
                self._write_some()

    def _write_some(self) -> None:
        chunk = bytearray()
        while self._lines and len(chunk) < _WRITE_BYTES:
            chunk += self._lines.popleft()
        unwritten = memoryview(bytes(chunk))
        try:
            while unwritten:
                unwritten = unwritten[self._write(unwritten) :]
        except OSError:
            # The reader is gone, so there is nobody to tell.
            self.dropped += len(self._lines)
            self._lines.clear()

    def _write(self, part: memoryview) -> int:
        if self._may_block:
            return int(gevent_os.nb_write(self._descriptor, part))
        return os.write(self._descriptor, part)


def configure(
    *,
    level: str,
    role: str,
    node: str = '',
    stream: typing.TextIO | None = None,
) -> None:
    """Writes lines of ``level`` and above; each names role and process.

    They go to standard output unless ``stream`` is given.
    """
    close()
    descriptor = (stream or sys.stdout).fileno()
    handler = BoundedHandler(descriptor, clock.Clock())
    handler.setFormatter(
        json.JsonFormatter(
            '{asctime}{levelname}{name}{message}',
            style='{',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
            },
            static_fields={'role': role, 'node': node},
        ),
    )
    handler.start()
    root = logging.getLogger(_ROOT)
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def close() -> None:
    """Writes what waits, for a short while, and writes no more."""
    root = logging.getLogger(_ROOT)
    for handler in list(root.handlers):
        if isinstance(handler, BoundedHandler):
            handler.stop()
            root.removeHandler(handler)
