"""The memory of the machine, from which limits are derived."""

from __future__ import annotations

import os

from mulberryquay.coordination import units


def size_bytes(memory_mb: int) -> int:
    """Returns the memory that the setting ``memory_mb`` names, in bytes."""
    if memory_mb:
        return memory_mb * units.MIB
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
