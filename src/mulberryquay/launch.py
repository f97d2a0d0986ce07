"""Starts the command line with the standard library made cooperative.

bottle and urllib3 keep their state in thread locals and block on sockets,
so gevent must patch both before they are imported.
"""

from __future__ import annotations

import importlib

from gevent import monkey


def run() -> int:
    """Patches the standard library, then runs one subcommand."""
    patch()
    exit_code: int = importlib.import_module('mulberryquay.main').run()
    return exit_code


def patch() -> None:
    """Patches all but select, whose plain poll checks idle connections."""
    monkey.patch_all(select=False)


def patch_for_daemons() -> None:
    """Patches what daemons use; spares them the import of the rest.

    They speak no TLS and start no processes.
    """
    monkey.patch_all(select=False, ssl=False, subprocess=False)
