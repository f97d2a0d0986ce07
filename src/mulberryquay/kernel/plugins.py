"""Loads the plug-ins and gives each the kernel through its named hook."""

from __future__ import annotations

import importlib
import typing

from mulberryquay.kernel import registry

#: Entry-point group in which other distributions list their plug-ins.
ENTRY_POINT_GROUP: typing.Final = 'mulberryquay.plugins'

#: The hook that every plug-in module defines: takes the kernel.
REGISTER_HOOK: typing.Final = 'mulberryquay_register'

BUILT_IN: typing.Final = (
    'mulberryquay.control.kinds',
    'mulberryquay.entry.dialect',
    'mulberryquay.entry.policies.sampling',
    'mulberryquay.entry.policies.counting',
    'mulberryquay.entry.policies.hot_cold',
    'mulberryquay.entry.policies.expected_time',
    'mulberryquay.commands.daemons',
    'mulberryquay.commands.clients',
    'mulberryquay.commands.explain',
    'mulberryquay.commands.showcase',
)


@typing.final
class Kernel:
    """The registries that the daemons and the command line read."""

    def __init__(self) -> None:
        """Creates a kernel without any plug-in."""
        self.resource_kinds: registry.Registry[typing.Any] = registry.Registry(
            'resource kind',
        )
        self.policies: registry.Registry[typing.Any] = registry.Registry(
            'policy',
        )
        #: Functions that add calls to the API of a control host; they take
        #: the app, the cluster and the kernel.
        self.api_extensions: registry.Registry[typing.Any] = registry.Registry(
            'API extension',
        )
        #: How entries speak with callers and targets.
        self.dialects: registry.Registry[typing.Any] = registry.Registry(
            'dialect',
        )
        self.commands: registry.Registry[typing.Any] = registry.Registry(
            'command',
        )


def load_kernel(
    *,
    module_names: typing.Iterable[str] = BUILT_IN,
    with_installed: bool = True,
) -> Kernel:
    """Returns a kernel filled by the named and the installed plug-ins.

    Raises ImportError if a module is missing and DuplicateNameError if two
    plug-ins use one name.
    """
    kernel = Kernel()
    for module_name in module_names:
        module = importlib.import_module(module_name)
        getattr(module, REGISTER_HOOK)(kernel)
    if not with_installed:
        return kernel
    # Imported on use: it takes memory that a fixed set of plug-ins spares.
    from importlib import metadata  # noqa: PLC0415, WPS433

    for entry_point in metadata.entry_points(group=ENTRY_POINT_GROUP):
        getattr(entry_point.load(), REGISTER_HOOK)(kernel)
    return kernel
