"""Fixtures that run daemons in processes of their own."""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import typing

from mulberryquay import settings, sockets
from mulberryquay.commands import api_client
from testing import fixtures

_NS_PER_MS: typing.Final = 1e6

#: Below the kernel's ephemeral ports, which outgoing connections use.
_PORTS: typing.Final = itertools.count(20_000 + os.getpid() % 100 * 100)


class EntryProcess(typing.NamedTuple):
    """An entry in a process of its own."""

    process: typing.Any
    port: int
    admin_port: int


def control(
    folder: pathlib.Path,
    api_port: int = 0,
    feed_port: int = 0,
    host_port: int = 0,
    arguments: typing.Sequence[str] = (),
) -> typing.Any:
    """Returns a fixture of a control host, as `fixtures.process` yields it."""
    return fixtures.process(
        'control',
        f'--data_folder={folder}',
        '--target_lease_ms=6000',
        f'--api_listen=127.0.0.1:{api_port}',
        f'--feed_listen=127.0.0.1:{feed_port}',
        f'--host_listen=127.0.0.1:{host_port}',
        *arguments,
    )


def ledger(
    folder: pathlib.Path, port: int = 0, admin_port: int = 0
) -> typing.Any:
    """Returns a fixture of a ledger, as `fixtures.process` yields it."""
    return fixtures.process(
        'ledger',
        f'--data_folder={folder}',
        f'--listen=127.0.0.1:{port}',
        f'--admin_listen=127.0.0.1:{admin_port}',
    )


def free_ports(count: int) -> list[int]:
    """Returns ports that no process listens on now.

    They are below those that the kernel gives to outgoing connections, so that
    a process which restarts finds its port free.
    """
    free: list[int] = []
    while len(free) < count:
        port = next(_PORTS)
        with contextlib.suppress(settings.InvalidSettingError):
            sockets.listen(f'127.0.0.1:{port}').close()
            free.append(port)
    return free


def client(port: int) -> api_client.ApiClient:
    """Returns a client of the API at a local port."""
    return api_client.ApiClient(f'127.0.0.1:{port}')


@contextlib.contextmanager
def entry(
    feed_port: int,
    name: str = 'entry-1',
    *,
    listen: int = 0,
    drain_ms: int = 0,
    ledger: str = '',
    arguments: typing.Sequence[str] = (),
) -> typing.Iterator[EntryProcess]:
    """Yields an entry that is ready."""
    command_line = (
        'entry',
        f'--name={name}',
        '--region=north',
        '--domain=north-1',
        f'--listen=127.0.0.1:{listen}',
        '--admin_listen=127.0.0.1:0',
        '--peer_listen=127.0.0.1:0',
        f'--control=127.0.0.1:{feed_port}',
        f'--drain_ms={drain_ms}',
        f'--ledger={ledger}',
        *arguments,
    )
    with fixtures.process(*command_line) as (process, line):
        port, admin_port = fixtures.parse_ports(line)
        admin_client = client(admin_port)
        fixtures.wait_until(lambda: _is_ready(admin_client))
        yield EntryProcess(process, port, admin_port)


@contextlib.contextmanager
def flooding_target() -> typing.Iterator[int]:
    """Yields the port of a process that runs `flooding_target`."""
    with fixtures.process(module='testing.flooding_target') as (_, line):
        yield int(line)


def processor_wait_ms(pid: int) -> float:
    """Returns how long a process has waited for a processor so far, in ms.

    Linux counts it if it keeps scheduler statistics; 0 if it does not.
    """
    try:
        statistics = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
    except FileNotFoundError:
        return 0
    waited_ns = int(statistics.split()[1])
    return waited_ns / _NS_PER_MS


def syn_retransmissions() -> int:
    """Returns how many connection requests this machine has sent again.

    Each of them delays the opening of a connection by a second or more.
    """
    lines = pathlib.Path('/proc/net/netstat').read_text().splitlines()
    names, counts = (
        line.split() for line in lines if line.startswith('TcpExt:')
    )
    return int(counts[names.index('TCPSynRetrans')])


def _is_ready(admin_client: api_client.ApiClient) -> bool:
    try:
        admin_client.call('GET', '/readyz')
    except api_client.ApiRefusedError:
        return False
    return True


def put(
    control_client: api_client.ApiClient,
    kind: str,
    name: str,
    **spec: typing.Any,
) -> int:
    """Declares a resource and returns the revision."""
    body = {'version': 1, 'spec': spec}
    answer = control_client.call('PUT', f'/v1/{kind}/{name}', body)
    return int(answer['revision'])
