"""Applies gevent's monkey patches, then starts the command line.

bottle and urllib3 keep state in thread locals and block on sockets, so
gevent must patch threading and sockets before they are imported.
"""

from __future__ import annotations

import importlib

from gevent import monkey


def run() -> int:
    """Patches the standard library and runs one subcommand."""
    patch()
    exit_code: int = importlib.import_module('mulberryquay.main').run()
    return exit_code


def patch() -> None:
    """Patches all modules but select.

    Connections are checked with the unpatched `select.poll`.
    """
    monkey.patch_all(select=False)


def patch_for_daemons() -> None:
    """Patches only the modules that daemons use.

    Daemons use neither TLS nor subprocesses, so these modules need not be
    imported.
    """
    monkey.patch_all(select=False, ssl=False, subprocess=False)
