"""The last ended incarnation of each name, for a bounded number of names."""

from __future__ import annotations

import typing

#: Names whose last ended incarnation is remembered, so that late messages of
#: it are still refused. The one that ended longest ago is forgotten first.
_MAX_NAMES: typing.Final = 10_000


@typing.final
class EndedIncarnations:
    """An incarnation has ended if it or a later one of its name has."""

    def __init__(self) -> None:
        """Starts without ended incarnations."""
        self._last: dict[str, int] = {}

    def has_ended(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation has ended."""
        last = self._last.get(name)
        return last is not None and incarnation <= last

    def add(self, name: str, incarnation: int) -> bool:
        """Ends an incarnation; returns False if it had ended before."""
        if self.has_ended(name, incarnation):
            return False
        self._last.pop(name, None)
        self._last[name] = incarnation
        if len(self._last) > _MAX_NAMES:
            self._last.pop(next(iter(self._last)))
        return True

    def to_dict(self) -> dict[str, int]:
        """Returns the last ended incarnations, by name."""
        return dict(self._last)
