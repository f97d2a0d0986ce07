"""Writes log lines as JSON through a bounded, non-blocking queue."""

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

from mulberryquay.coordination import clock, token_bucket, units

#: Queue limit; lines beyond it are dropped and counted.
MAX_QUEUED_LINES: typing.Final = 2000

#: Limit of what the queue holds, in bytes.
MAX_QUEUED_BYTES: typing.Final = 2 * units.MIB

#: Token bucket for lines below level WARNING: rate and burst.
LINES_PER_S: typing.Final = 400
BURST_LINES: typing.Final = 2000

#: Size of one write.
_WRITE_BYTES: typing.Final = 16_384

#: How long a stopping process waits for queued lines to be written.
_FLUSH_TIMEOUT_MS: typing.Final = 200.0

_ROOT: typing.Final = 'mulberryquay'


@typing.final
class BoundedHandler(logging.Handler):
    """Queues log lines, which a background task writes.

    A slow or absent reader never blocks the process: lines that do not fit
    are dropped, and their number is logged once there is room again.
    """

    def __init__(self, descriptor: int, time_source: clock.Clock) -> None:
        """Writes to ``descriptor`` once `start` is called."""
        super().__init__()
        mode = os.fstat(descriptor).st_mode
        self._may_block = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if self._may_block:
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = time_source
        self._lines: collections.deque[bytes] = collections.deque()
        self._rate_limit = token_bucket.TokenBucket(
            time_source,
            rate=LINES_PER_S,
            burst=BURST_LINES,
        )
        self._queued_bytes = 0
        self._has_lines = event.Event()
        self._task: gevent.Greenlet | None = None
        self._unreported_drops = 0
        #: Lines dropped since the start.
        self.dropped = 0

    def start(self) -> None:
        """Starts the task that writes the queued lines."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops once the queue is written, or after a short timeout."""
        if self._task is None:
            return
        deadline = self._clock.now() + _FLUSH_TIMEOUT_MS
        while self._lines and self._clock.now() < deadline:
            self._clock.sleep(1)
        self._task.kill()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops and counts it."""
        is_allowed = (
            record.levelno >= logging.WARNING or self._rate_limit.take()
        )
        if not is_allowed or self._is_full:
            self._count_dropped(1)
            return
        if self._unreported_drops:
            self._report_dropped()
        self._enqueue(record)

    @property
    def _is_full(self) -> bool:
        is_long = len(self._lines) >= MAX_QUEUED_LINES
        return is_long or self._queued_bytes >= MAX_QUEUED_BYTES

    def _count_dropped(self, count: int) -> None:
        self.dropped += count
        self._unreported_drops += count

    def _enqueue(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b'\n'
        self._lines.append(line)
        self._queued_bytes += len(line)
        self._has_lines.set()

    def _report_dropped(self) -> None:
        count = self._unreported_drops
        self._unreported_drops = 0
        record = logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.WARNING,
                'levelname': 'WARNING',
                'msg': 'log lines dropped',
                'count': count,
            },
        )
        self._enqueue(record)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                self._write_chunk()

    def _write_chunk(self) -> None:
        chunk = bytearray()
        while self._lines and len(chunk) < _WRITE_BYTES:
            chunk += self._lines.popleft()
        self._queued_bytes -= len(chunk)
        unwritten = memoryview(bytes(chunk))
        try:
            while unwritten:
                unwritten = unwritten[self._write(unwritten) :]
        except OSError:
            # The reader has closed the pipe; queued lines cannot be written.
            lost = bytes(chunk[len(chunk) - len(unwritten) :])
            self._count_dropped(lost.count(b'\n') + len(self._lines))
            self._lines.clear()
            self._queued_bytes = 0

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
    """Logs lines of ``level`` and above, each with role and node.

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
    """Writes the queued lines, within a short timeout, and stops logging."""
    root = logging.getLogger(_ROOT)
    for handler in list(root.handlers):
        if isinstance(handler, BoundedHandler):
            handler.stop()
            root.removeHandler(handler)
