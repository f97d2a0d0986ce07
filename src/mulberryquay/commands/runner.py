"""What long-running subcommands have in common."""

from __future__ import annotations

import gc
import typing

#: Container objects between collections of the three generations. Few
#: cycles arise per request, and each collection holds the hub.
_GC_THRESHOLDS: typing.Final = (50_000, 20, 50)


def freeze_start_objects() -> None:
    """Spares the collector the objects that live as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
