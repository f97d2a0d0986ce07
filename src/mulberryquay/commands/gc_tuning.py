"""Settings of the garbage collector for long-running processes."""

from __future__ import annotations

import gc
import typing

#: Collection thresholds of the three generations. They are high because
#: requests create few reference cycles, and each collection blocks gevent's
#: event loop.
_GC_THRESHOLDS: typing.Final = (50_000, 20, 50)


def freeze_startup_objects() -> None:
    """Excludes objects that live as long as the process from collection."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
