"""A named collection that plug-ins add their parts to."""

from __future__ import annotations

import typing

from mulberryquay.coordination import errors

Part = typing.TypeVar('Part')


@typing.final
class UnknownNameError(errors.MulberryquayError):
    """A part was asked for by a name that no plug-in registered."""

    code = 'unknown-part'
    http_status = 404


@typing.final
class DuplicateNameError(errors.MulberryquayError):
    """Two plug-ins registered a part under one name."""

    code = 'duplicate-part'


@typing.final
class Registry(typing.Generic[Part]):
    """Parts of one sort by name, in the order of their registration."""

    def __init__(self, sort: str) -> None:
        """Creates an empty registry; ``sort`` names the parts in errors."""
        self._sort = sort
        self._parts: dict[str, Part] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """The registered names in order of registration."""
        return tuple(self._parts)

    @property
    def components(self) -> tuple[Part, ...]:
        """The registered parts in order of registration."""
        return tuple(self._parts.values())

    def add(self, name: str, part: Part) -> None:
        """Registers ``part``; raises DuplicateNameError for a taken name."""
        if name in self._parts:
            raise DuplicateNameError(
                f'{self._sort} {name!r} is registered twice; '
                'rename one of the two plug-ins',
            )
        self._parts[name] = part

    def get(self, name: str) -> Part:
        """Returns the part; raises UnknownNameError naming the known ones."""
        try:
            return self._parts[name]
        except KeyError:
            known = ', '.join(self._parts)
            raise UnknownNameError(
                f'got {self._sort} {name!r}, expected one of: {known}',
            ) from None
