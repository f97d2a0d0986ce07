"""The subcommands that operators and analysts use."""

from __future__ import annotations

import json
import pathlib
import time
import typing

from mulberryquay import settings
from mulberryquay.commands import api_client, command
from mulberryquay.control import kinds
from mulberryquay.coordination import clock, errors, units
from mulberryquay.kernel import plugins

API: typing.Final = settings.Setting(
    'api',
    '127.0.0.1:7600',
    'resource APIs of the control hosts',
    text_format='addresses',
    required=True,
)
WAIT: typing.Final = settings.Setting(
    'wait_ms',
    5 * units.SECOND_MS,
    'milliseconds to wait until the change is in force at every live entry; '
    '0 does not wait',
    maximum=10 * units.MINUTE_MS,
)
FILE: typing.Final = settings.Setting(
    'file',
    '',
    'JSON file with a list of resources (kind, name, version, spec)',
    text_format='path',
    required=True,
)
SINCE: typing.Final = settings.Setting(
    'since',
    -1,
    'revision to resume from; -1 shows only new changes',
    minimum=-1,
)
COUNT: typing.Final = settings.Setting(
    'count',
    0,
    'stop after this many changes; 0 is unlimited',
)

_POLL_INTERVAL_S: typing.Final = 0.05
_MAX_PUT_ATTEMPTS: typing.Final = 5
_NOT_FOUND: typing.Final = 404

#: Exit code if a change was accepted but not in force within ``wait_ms``.
EXIT_NOT_IN_FORCE: typing.Final = 3


@typing.final
class BadFileError(errors.InvalidInputError):
    """The file given to ``apply`` cannot be read or is invalid."""

    code = 'bad-file'


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the client subcommands."""
    for subcommand in (
        command.Command(
            'apply',
            'create or update the resources in a file',
            (),
            (FILE, API, WAIT),
            run_apply,
        ),
        command.Command(
            'get',
            'list the resources of a kind, or show one',
            ('KIND', '[NAME]'),
            (API,),
            run_get,
        ),
        command.Command(
            'delete',
            'delete a resource',
            ('KIND', 'NAME'),
            (API, WAIT),
            run_delete,
        ),
        command.Command(
            'watch',
            'print changes as they are accepted',
            ('[KIND]',),
            (API, SINCE, COUNT),
            run_watch,
        ),
        command.Command(
            'status',
            'show the control hosts, and each entry with its revision',
            (),
            (API,),
            run_status,
        ),
        command.Command(
            'drain',
            'take a failure domain out of service',
            ('DOMAIN',),
            (API, WAIT),
            run_drain,
        ),
        command.Command(
            'restore',
            'return a failure domain to service',
            ('DOMAIN',),
            (API, WAIT),
            run_restore,
        ),
        command.Command(
            'account',
            'show how a request was handled',
            ('REQUEST_ID',),
            (API,),
            run_account,
        ),
    ):
        kernel.commands.add(subcommand.name, subcommand)


def run_apply(
    values: settings.Values,
    _arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Puts the resources in the order of the file."""
    client = api_client.ApiClient(values['api'])
    revision = 0
    for resource in _read_resources(values['file']):
        path = f'/v1/{resource["kind"]}/{resource["name"]}'
        body = {'version': resource['version'], 'spec': resource['spec']}
        accepted = client.call('PUT', path, body)
        revision = accepted['revision']
        command.print_line(
            f'{resource["kind"]}/{resource["name"]} version '
            f'{resource["version"]} accepted at revision {revision}',
        )
    return _wait_until_in_force(client, revision, values['wait_ms'])


def run_get(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints the resources as JSON."""
    client = api_client.ApiClient(values['api'])
    _print_json(client.call('GET', '/v1/' + '/'.join(arguments)))
    return 0


def run_delete(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Deletes a resource; the deletion takes the next version."""
    client = api_client.ApiClient(values['api'])
    path = '/v1/' + '/'.join(arguments)
    version = client.call('GET', path)['version'] + 1
    deleted = client.call('DELETE', f'{path}?version={version}')
    command.print_line(f'deleted at revision {deleted["revision"]}')
    return _wait_until_in_force(client, deleted['revision'], values['wait_ms'])


def run_watch(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints a JSON line per change."""
    client = api_client.ApiClient(values['api'])
    path = f'/v1/{arguments[0]}?watch=1' if arguments else '/v1/watch?'
    if values['since'] >= 0:
        path += f'&since={values["since"]}'
    remaining = values['count'] or -1
    for change in client.stream(path):
        if 'bookmark' in change:
            continue
        command.print_line(json.dumps(change))
        remaining -= 1
        if not remaining:
            break
    return 0


def run_status(
    values: settings.Values,
    _arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints the status of the control hosts and of each entry."""
    client = api_client.ApiClient(values['api'])
    status = client.call('GET', '/v1/status')
    status['entries'] = client.call('GET', '/v1/entries')['items']
    _print_json(status)
    return 0


def run_drain(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Takes a failure domain out of service and waits for the entries."""
    return _set_domain_state(values, arguments[0], kinds.STATE_OUT)


def run_restore(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Returns a failure domain to service and waits for the entries."""
    return _set_domain_state(values, arguments[0], kinds.STATE_IN)


def run_account(
    values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints the record of a request from the entry that served it."""
    request_id = arguments[0]
    client = api_client.ApiClient(values['api'])
    entry_name = request_id.rsplit('-', 2)[0]
    for entry in client.call('GET', '/v1/entries')['items']:
        if entry['name'] == entry_name:
            admin = api_client.ApiClient(entry['admin_address'])
            _print_json(admin.call('GET', f'/accounts/{request_id}'))
            return 0
    raise errors.NotFoundError(
        f'request {request_id!r} was served by entry {entry_name!r}, which '
        'is not alive',
    )


def _set_domain_state(
    values: settings.Values,
    domain: str,
    wanted: str,
) -> int:
    client = api_client.ApiClient(values['api'])
    path = f'/v1/{kinds.FAILURE_DOMAIN}/{domain}'
    for _attempt in range(_MAX_PUT_ATTEMPTS):
        current = client.call('GET', path)
        body = {
            'version': current['version'] + 1,
            'spec': {**current['spec'], 'state': wanted},
        }
        if current['spec']['state'] == wanted:
            accepted = current
            break
        try:
            accepted = client.call('PUT', path, body)
        except api_client.ApiRefusedError as error:
            if error.api_code == 'version-conflict':
                continue
            raise
        break
    else:
        raise errors.ConflictError(
            f'failure domain {domain!r} is being changed by others; try again',
        )
    command.print_line(
        f'{domain} is {wanted} at revision {accepted["revision"]}'
    )
    return _wait_until_in_force(client, accepted['revision'], values['wait_ms'])


def _wait_until_in_force(
    client: api_client.ApiClient,
    revision: int,
    wait_ms: int,
) -> int:
    if not (revision and wait_ms):
        return 0
    deadline = time.monotonic() + wait_ms / clock.MS_PER_SECOND
    while True:
        answer = client.call('GET', f'/v1/revisions/{revision}')
        if answer['in_force']:
            command.print_line(
                f'revision {revision} is in force at every live entry'
            )
            return 0
        if time.monotonic() >= deadline:
            waiting = ', '.join(answer['waiting_for'])
            command.print_line(
                f'revision {revision} is accepted; these entries have not '
                f'confirmed it yet: {waiting}',
            )
            return EXIT_NOT_IN_FORCE
        time.sleep(_POLL_INTERVAL_S)


def _read_resources(path: str) -> list[dict[str, typing.Any]]:
    try:
        resources = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise BadFileError(f'{path}: {error}') from error
    expected = {'kind', 'name', 'version', 'spec'}
    if not isinstance(resources, list):
        raise BadFileError(f'{path}: expected a list of resources')
    for resource in resources:
        if not isinstance(resource, dict) or set(resource) != expected:
            raise BadFileError(
                f'{path}: got {resource!r}, expected an object with exactly '
                f'{", ".join(sorted(expected))}',
            )
    return resources


def _print_json(content: typing.Any) -> None:
    command.print_line(json.dumps(content, indent=2))
