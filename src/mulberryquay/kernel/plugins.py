"""Loads plug-ins, which register their components with the kernel."""

from __future__ import annotations

import importlib
import typing

from mulberryquay.kernel import registry

#: Entry-point group in which installed packages declare plug-ins.
ENTRY_POINT_GROUP: typing.Final = 'mulberryquay.plugins'

#: Function that every plug-in module defines; it takes the kernel.
REGISTER_HOOK: typing.Final = 'mulberryquay_register'

BUILT_IN_PLUGINS: typing.Final = (
    'mulberryquay.control.kinds',
    'mulberryquay.entry.dialect',
    'mulberryquay.entry.policies.sampling',
    'mulberryquay.entry.policies.counting',
    'mulberryquay.entry.policies.hot_cold',
    'mulberryquay.entry.policies.expected_time',
    'mulberryquay.entry.policies.soonest',
    'mulberryquay.commands.daemons',
    'mulberryquay.commands.clients',
    'mulberryquay.commands.roll_outs',
    'mulberryquay.commands.explain',
    'mulberryquay.commands.key_digest',
    'mulberryquay.commands.showcase',
)


@typing.final
class Kernel:
    """The registries that the daemons and the command line use."""

    def __init__(self) -> None:
        """Creates empty registries."""
        self.resource_kinds: registry.Registry[typing.Any] = registry.Registry(
            'resource kind',
        )
        self.policies: registry.Registry[typing.Any] = registry.Registry(
            'policy',
        )
        #: Functions that add routes to the API of a control host; they take
        #: the app, the cluster and the kernel.
        self.api_extensions: registry.Registry[typing.Any] = registry.Registry(
            'API extension',
        )
        #: Headers and statuses that entries exchange with callers and targets.
        self.dialects: registry.Registry[typing.Any] = registry.Registry(
            'dialect',
        )
        self.commands: registry.Registry[typing.Any] = registry.Registry(
            'command',
        )


def load_kernel(
    *,
    module_names: typing.Iterable[str] = BUILT_IN_PLUGINS,
    with_installed: bool = True,
) -> Kernel:
    """Returns a kernel with the named and the installed plug-ins.

    Raises ImportError if a module is missing and DuplicateNameError if two
    plug-ins use one name.
    """
    kernel = Kernel()
    for module_name in module_names:
        module = importlib.import_module(module_name)
        getattr(module, REGISTER_HOOK)(kernel)
    if not with_installed:
        return kernel
    # Imported here so that processes with a fixed set of plug-ins do not
    # load it: it takes memory.
    from importlib import metadata  # noqa: PLC0415, WPS433

    for entry_point in metadata.entry_points(group=ENTRY_POINT_GROUP):
        getattr(entry_point.load(), REGISTER_HOOK)(kernel)
    return kernel
