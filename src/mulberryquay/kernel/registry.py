"""A collection of named components that plug-ins add to."""

from __future__ import annotations

import typing

from mulberryquay.coordination import errors

Component = typing.TypeVar('Component')


@typing.final
class UnknownNameError(errors.MulberryquayError):
    """No plug-in has registered a component of this name."""

    code = 'unknown-part'
    http_status = 404


@typing.final
class DuplicateNameError(errors.MulberryquayError):
    """Two plug-ins have registered components of the same name."""

    code = 'duplicate-part'


@typing.final
class Registry(typing.Generic[Component]):
    """Components of one kind by name, in order of registration."""

    def __init__(self, label: str) -> None:
        """Creates an empty registry; errors call a component ``label``."""
        self._label = label
        self._components: dict[str, Component] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """The registered names in order of registration."""
        return tuple(self._components)

    @property
    def components(self) -> tuple[Component, ...]:
        """The registered components in order of registration."""
        return tuple(self._components.values())

    def add(self, name: str, component: Component) -> None:
        """Registers ``component``; raises DuplicateNameError."""
        if name in self._components:
            raise DuplicateNameError(
                f'{self._label} {name!r} is registered twice; '
                'rename it in one of the two plug-ins',
            )
        self._components[name] = component

    def get(self, name: str) -> Component:
        """Returns the component; raises UnknownNameError."""
        try:
            return self._components[name]
        except KeyError:
            known = ', '.join(self._components)
            raise UnknownNameError(
                f'got {self._label} {name!r}, expected one of: {known}',
            ) from None
