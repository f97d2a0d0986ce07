"""Estimates the memory of values that clients choose."""

from __future__ import annotations

import sys
import typing


def measure(content: typing.Any) -> int:
    """Returns about the bytes in memory of a value of msgpack types.

    A value that occurs twice counts twice.
    """
    size = 0
    unread = [content]
    while unread:
        part = unread.pop()
        size += sys.getsizeof(part)
        if isinstance(part, dict):
            unread.extend(part)
            unread.extend(part.values())
        elif isinstance(part, list | tuple):
            unread.extend(part)
    return size
