"""The subcommands that run daemons."""

from __future__ import annotations

import logging
import typing

import mulberryquay
from mulberryquay import logs, settings
from mulberryquay.commands import command, gc_tuning
from mulberryquay.control import daemon as control_daemon
from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.kernel import plugins
from mulberryquay.ledger import daemon as ledger_daemon


_LOG: typing.Final = logging.getLogger(__name__)


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers ``control``, ``entry``, ``ledger`` and ``version``."""
    kernel.commands.add(
        'control',
        command.Command(
            'control',
            'run a control host: resource API, announcements, fan-out',
            (),
            control_daemon.SETTINGS,
            run_control,
        ),
    )
    kernel.commands.add(
        'entry',
        command.Command(
            'entry',
            'run an entry: answer callers and forward to targets',
            (),
            entry_daemon.SETTINGS,
            run_entry,
        ),
    )
    kernel.commands.add(
        'ledger',
        command.Command(
            'ledger',
            'run a ledger: claims that prevent requests from running twice',
            (),
            ledger_daemon.SETTINGS,
            run_ledger,
        ),
    )
    kernel.commands.add(
        'version',
        command.Command('version', 'print the version', (), (), run_version),
    )


class Daemon(typing.Protocol):
    """The interface of all daemons."""

    def start(self) -> None:
        """Starts serving."""

    def stop(self) -> None:
        """Stops without interrupting requests in progress."""


def run_control(
    values: settings.Values,
    _arguments: list[str],
    kernel: plugins.Kernel,
) -> int:
    """Runs a control host until SIGTERM or SIGINT."""
    logs.configure(level=values['log_level'], role='control')
    daemon = control_daemon.ControlDaemon(values, kernel)
    ports = f'api port {daemon.api_port}, feed port {daemon.feed_port}'
    return run_until_signal(daemon, ports)


def run_entry(
    values: settings.Values,
    _arguments: list[str],
    kernel: plugins.Kernel,
) -> int:
    """Runs an entry until SIGTERM or SIGINT, then drains and stops it."""
    logs.configure(
        level=values['log_level'],
        role='entry',
        node=values['name'],
    )
    daemon = entry_daemon.EntryDaemon(values, kernel)
    ports = f'port {daemon.port}, admin port {daemon.admin_port}'
    return run_until_signal(daemon, ports)


def run_ledger(
    values: settings.Values,
    _arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Runs a ledger until SIGTERM or SIGINT."""
    logs.configure(level=values['log_level'], role='ledger')
    daemon = ledger_daemon.LedgerDaemon(values)
    ports = f'port {daemon.port}, admin port {daemon.admin_port}'
    return run_until_signal(daemon, ports)


def run_until_signal(daemon: Daemon, ports: str) -> int:
    """Runs a daemon, prints its ports and stops it on a signal."""
    # Handlers come first: a reader of the printed ports may signal at once.
    stopping = command.catch_stop_signals()
    daemon.start()
    command.print_line(ports)
    _LOG.info('started', extra={'ports': ports})
    gc_tuning.freeze_startup_objects()
    stopping.wait()
    daemon.stop()
    _LOG.info('stopped')
    logs.close()
    return 0


def run_version(
    _values: settings.Values,
    _arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints the version."""
    command.print_line(mulberryquay.__version__)
    return 0
