"""The subcommands that start, watch and end roll-outs."""

from __future__ import annotations

import time
import typing

from mulberryquay import settings
from mulberryquay.commands import api_client, clients, command
from mulberryquay.coordination import units
from mulberryquay.decisions import roll_outs
from mulberryquay.kernel import plugins

DURATION: typing.Final = settings.Setting(
    'duration_ms',
    10 * units.MINUTE_MS,
    'milliseconds within which the roll-out has to be completed',
    minimum=1,
    maximum=24 * units.HOUR_MS,
)
AGAIN: typing.Final = settings.Setting(
    'again',
    False,
    'start a roll-out to the same version again that has ended',
)
WATCH: typing.Final = settings.Setting(
    'watch',
    True,
    'print a line per change until the roll-out ends',
)

#: Exit code if the roll-out was rolled back.
EXIT_ROLLED_BACK: typing.Final = 4

_POLL_INTERVAL_S: typing.Final = 0.5

Json = typing.Any


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the subcommands of roll-outs."""
    for subcommand in (
        command.Command(
            'roll-out',
            'move a service to targets of another version, and watch it',
            ('SERVICE', 'VERSION'),
            (clients.API, DURATION, AGAIN, WATCH),
            run_roll_out,
        ),
        command.Command(
            'roll-back',
            'end a roll-out: the old version gets all requests again',
            ('SERVICE',),
            (clients.API,),
            run_roll_back,
        ),
    ):
        kernel.commands.add(subcommand.name, subcommand)


def run_roll_out(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Starts a roll-out and prints its progress until it ends."""
    service, version = arguments
    client = api_client.ApiClient(values['api'])
    path = f'/v1/roll-outs/{service}'
    body = {
        'version': version,
        'duration_ms': values['duration_ms'],
        'again': values['again'],
    }
    current = client.call('POST', path, body)
    command.print_line(describe(current))
    while values['watch'] and current['state'] == roll_outs.State.RUNNING.value:
        time.sleep(_POLL_INTERVAL_S)
        newest = client.call('GET', path)
        if newest != current:
            current = newest
            command.print_line(describe(current))
    if current['state'] == roll_outs.State.ROLLED_BACK.value:
        return EXIT_ROLLED_BACK
    return 0


def run_roll_back(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Ends a roll-out that runs."""
    client = api_client.ApiClient(values['api'])
    command.print_line(
        describe(client.call('DELETE', f'/v1/roll-outs/{arguments[0]}'))
    )
    return 0


def describe(roll_out: Json) -> str:
    """Returns the line that shows how far a roll-out is."""
    line = (
        f'{roll_out["service"]} to {roll_out["version"]}: '
        f'{roll_out["state"]}, stage {roll_out["stage"]}, share '
        f'{roll_out["share"]:.1%} after {roll_out["elapsed_ms"] / 1000:.1f} s '
        f'of {roll_out["duration_ms"] / 1000:.1f} s'
    )
    return f'{line}: {roll_out["reason"]}' if roll_out['reason'] else line
