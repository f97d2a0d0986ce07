"""Shared fixtures: context managers that start and stop daemons."""

from __future__ import annotations

import contextlib
import itertools
import json
import logging
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import typing

import gevent
import hypothesis
from gevent import socket

from mulberryquay import announcer, logs, protocol, settings
from mulberryquay.commands import api_client
from mulberryquay.control import daemon as control_daemon
from mulberryquay.coordination import clock
from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.entry import http_heads, messages
from mulberryquay.kernel import plugins
from mulberryquay.ledger import daemon as ledger_daemon
from mulberryquay.standin import target

KERNEL: typing.Final = plugins.load_kernel()

#: Limit of each wait, long enough for slow machines; only failures reach it.
TIMEOUT_S: typing.Final = 30.0

#: Interval between the bytes of a slow peer.
_SLOW_INTERVAL_S: typing.Final = 0.1

_INCARNATIONS: typing.Final = itertools.count(1)


#: Set by `make soak`: property tests run more examples, from random seeds.
_SOAK: typing.Final = bool(os.environ.get('MULBERRYQUAY_SOAK'))
_EXAMPLES_FACTOR: typing.Final = 50 if _SOAK else 1


def hypothesis_settings(examples: int = 100) -> hypothesis.settings:
    """Returns Hypothesis settings with the same examples on each CI run."""
    return hypothesis.settings(
        derandomize=not _SOAK,
        deadline=None,
        max_examples=examples * _EXAMPLES_FACTOR,
    )


class Response(typing.NamedTuple):
    """A complete answer as the caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """The outcome and the reason, as ``outcome/reason``."""
        return '/'.join(
            self.headers.get(f'mulberryquay-{name}', '?')
            for name in ('outcome', 'reason')
        )


def wait_until(condition: typing.Callable[[], typing.Any]) -> typing.Any:
    """Polls ``condition`` and returns its first true result.

    Raises AssertionError after `TIMEOUT_S`.
    """
    deadline = clock.Clock().now() + TIMEOUT_S * clock.MS_PER_SECOND
    while True:
        result = condition()
        if result:
            return result
        if clock.Clock().now() > deadline:
            raise AssertionError(f'timed out waiting for {condition}')
        gevent.sleep(0.005)


@contextlib.contextmanager
def folder() -> typing.Iterator[pathlib.Path]:
    """Yields an empty temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


class Control:
    """A control host in this process and a client of its API."""

    def __init__(self, daemon: control_daemon.ControlDaemon) -> None:
        """Wraps a started daemon."""
        self.daemon = daemon
        self.api = f'127.0.0.1:{daemon.api_port}'
        self.client = api_client.ApiClient(self.api)

    def put(
        self, kind: str, name: str, version: int = 1, **spec: typing.Any
    ) -> int:
        """Declares a resource and returns the revision.

        Sends it again if the disk was too slow, as the answer then says.
        """
        body = {'version': version, 'spec': spec}

        def answer() -> typing.Any:
            try:
                return self.client.call('PUT', f'/v1/{kind}/{name}', body)
            except api_client.ApiRefusedError as error:
                if error.api_code != 'no-quorum':
                    raise
                return None

        return int(wait_until(answer)['revision'])

    def declare(
        self,
        service: str = 'stock',
        *,
        route: dict[str, typing.Any] | None = None,
        service_class: dict[str, typing.Any] | None = None,
        **limits: typing.Any,
    ) -> None:
        """Declares a service with a route at ``/<service>``."""
        self.put('services', service, **limits)
        if service_class is not None:
            self.put('service-classes', service, **service_class)
        self.put(
            'routes',
            service,
            **{
                'path_prefix': f'/{service}',
                'service': service,
                'service_class': service if service_class else 'default',
                **(route or {}),
            },
        )

    def wait_in_force(self) -> None:
        """Waits until every live entry confirmed the newest revision."""
        revision = self.daemon.store.revision
        path = f'/v1/revisions/{revision}'
        wait_until(lambda: self.client.call('GET', path)['in_force'])


@contextlib.contextmanager
def control(
    data_folder: pathlib.Path | None = None,
    *,
    target_lease_ms: int = 45_000,
    feed_port: int = 0,
) -> typing.Iterator[Control]:
    """Yields a running control host."""
    with contextlib.ExitStack() as stack:
        data_folder = data_folder or stack.enter_context(folder())
        values, _ = settings.parse(
            control_daemon.SETTINGS,
            [
                f'--data_folder={data_folder}',
                '--api_listen=127.0.0.1:0',
                f'--feed_listen=127.0.0.1:{feed_port}',
                '--host_listen=127.0.0.1:0',
                f'--target_lease_ms={target_lease_ms}',
            ],
            environment={},
        )
        daemon = control_daemon.ControlDaemon(values, KERNEL)
        daemon.start()
        wait_until(lambda: daemon.cluster.replica.is_caught_up_leader)
        try:
            yield Control(daemon)
        finally:
            daemon.stop()


@contextlib.contextmanager
def entry(
    control_host: Control,
    name: str = 'entry-1',
    *,
    region: str = 'north',
    domain: str = 'north-1',
    arguments: typing.Sequence[str] = (),
    awaits_fresh: bool = True,
    **overrides: typing.Any,
) -> typing.Iterator[entry_daemon.EntryDaemon]:
    """Yields a running entry, by default once its configuration is fresh.

    ``overrides`` replaces parsed settings.
    """
    values, _ = settings.parse(
        entry_daemon.SETTINGS,
        [
            f'--name={name}',
            f'--region={region}',
            f'--domain={domain}',
            '--listen=127.0.0.1:0',
            '--admin_listen=127.0.0.1:0',
            '--peer_listen=127.0.0.1:0',
            f'--control=127.0.0.1:{control_host.daemon.feed_port}',
            '--drain_ms=0',
            '--probes_per_target_s=0',
            '--stop_timeout_ms=2000',
            *arguments,
        ],
        environment={},
    )
    daemon = entry_daemon.EntryDaemon({**values, **overrides}, KERNEL)
    daemon.start()
    try:
        wait_until(lambda: daemon.state.is_fresh or not awaits_fresh)
        yield daemon
    finally:
        daemon.stop()


@contextlib.contextmanager
def ledger(
    data_folder: pathlib.Path,
    *,
    port: int = 0,
) -> typing.Iterator[ledger_daemon.LedgerDaemon]:
    """Yields a running ledger."""
    daemon = ledger_daemon.LedgerDaemon(
        {
            **settings.defaults(ledger_daemon.SETTINGS),
            'data_folder': str(data_folder),
            'listen': f'127.0.0.1:{port}',
            'admin_listen': '127.0.0.1:0',
        },
    )
    daemon.start()
    try:
        yield daemon
    finally:
        daemon.stop()


def announcement(
    name: str, address: str, *, incarnation: int = 1, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Returns the announcement of a target; ``fields`` replaces defaults."""
    return {
        'name': name,
        'service': 'stock',
        'address': address,
        'region': 'north',
        'domain': 'north-1',
        'slots': 6,
        'connections': 220,
        'incarnation': incarnation,
        **fields,
    }


def warm_row(name: str, address: str) -> protocol.TargetRow:
    """Returns the row of a warm target as entries get it."""
    return protocol.TargetRow(
        name=name,
        service='stock',
        address=address,
        region='north',
        domain='north-1',
        slots=4,
        connections=100,
        incarnation=1,
        allowance=4,
        is_warm=True,
        is_leaving=False,
        shed_statuses=[],
    )


def wait_until_warm(control_host: Control, name: str, slots: int = 6) -> None:
    """Reports good answers of a target until it has its full allowance."""
    directory = control_host.daemon.targets
    while not directory.get(name).is_warm:
        directory.record_served(name, slots * 4)


@contextlib.contextmanager
def announced_target(
    control_host: Control,
    name: str,
    handler: target.Handler | None = None,
    *,
    service: str = 'stock',
    region: str = 'north',
    domain: str = 'north-1',
    slots: int = 6,
    sheds: bool = False,
    warm: bool = True,
    shed_status: int = 0,
    version: str | None = None,
) -> typing.Iterator[target.StandInTarget]:
    """Yields a stand-in target that announced itself.

    A ``warm`` target has its full allowance from the start.
    """
    stand_in = target.StandInTarget(
        handler or target.echo_handler(name),
        slots=slots,
        sheds=sheds,
    )
    stand_in.start()
    target_announcer = announcer.Announcer(
        announcement(
            name,
            stand_in.address,
            incarnation=next(_INCARNATIONS),
            service=service,
            region=region,
            domain=domain,
            slots=slots,
            shed_status=shed_status,
            version=version,
        ),
        [control_host.api],
    )
    target_announcer.announce()
    if warm:
        wait_until_warm(control_host, name, slots)
    target_announcer.start()
    try:
        yield stand_in
    finally:
        target_announcer.stop()
        stand_in.stop()


def wait_for_targets(daemon: entry_daemon.EntryDaemon, *names: str) -> None:
    """Waits until the entry has a limit above 0 for each named target."""
    target_states = daemon.state.balancer.all_targets
    wait_until(
        lambda: all(
            name in target_states and target_states[name].limit
            for name in names
        ),
    )


def send_slowly(connection: typing.Any, repeated: bytes) -> None:
    """Sends some bytes now and then until the peer closes."""
    with contextlib.suppress(OSError):
        while True:
            connection.sendall(repeated)
            gevent.sleep(_SLOW_INTERVAL_S)


class SlowRequestEnd(typing.NamedTuple):
    """How a server ended a request that never ended."""

    took_ms: float
    answer: bytes


def send_slow_request(port: int, beginning: bytes) -> SlowRequestEnd:
    """Sends a ``beginning``, then a byte now and then until the peer closes."""
    started = clock.Clock().now()
    connection = socket.create_connection(('127.0.0.1', port), TIMEOUT_S)
    connection.sendall(beginning)
    sending = gevent.spawn(send_slowly, connection, b'x')
    answer = b''
    with contextlib.suppress(ConnectionResetError):
        while part := connection.recv(messages.READ_BYTES):
            answer += part
    sending.kill()
    connection.close()
    return SlowRequestEnd(clock.Clock().now() - started, answer)


def send(
    port: int,
    raw: bytes,
    *,
    method: bytes = b'GET',
    keeps_body: bool = True,
) -> Response:
    """Sends raw bytes on a new connection and reads one answer.

    Raises http_heads.CutShortError and OSError as the caller would see them.
    """
    connection = socket.create_connection(('127.0.0.1', port))
    connection.settimeout(TIMEOUT_S)
    try:
        connection.sendall(raw)
        return receive(
            messages.ResponseReader(connection),
            method=method,
            keeps_body=keeps_body,
        )
    finally:
        connection.close()


def receive(
    reader: messages.ResponseReader,
    *,
    method: bytes = b'GET',
    keeps_body: bool = True,
) -> Response:
    """Reads one answer; the body is empty unless it ``keeps_body``."""
    head = reader.read_head()
    parts = []
    read = reader.read_part
    if head.framing is http_heads.Framing.UNTIL_CLOSE:
        read = reader.read_until_close
    while method != b'HEAD':
        part = read()
        if part is None:
            break
        if keeps_body:
            parts.append(part)
    headers = {
        name.decode(): header.decode()
        for name, header in (*head.known_headers, *head.forwarded_headers)
    }
    return Response(head.status, headers, b''.join(parts))


def request_bytes(
    path: str,
    *,
    method: str = 'GET',
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> bytes:
    """Returns the bytes of an HTTP/1.1 request."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: test']
    lines += [f'{name}: {header}' for name, header in (headers or {}).items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def ask(
    daemon: entry_daemon.EntryDaemon,
    path: str,
    **options: typing.Any,
) -> Response:
    """Sends one request to an entry."""
    method = options.get('method', 'GET').encode()
    return send(daemon.port, request_bytes(path, **options), method=method)


def fetch_request_record(
    daemon: entry_daemon.EntryDaemon,
    response: Response,
) -> typing.Any:
    """Returns the record that an entry keeps of an answered request."""
    client = api_client.ApiClient(f'127.0.0.1:{daemon.admin_port}')
    request_id = response.headers['mulberryquay-request-id']
    return client.call('GET', f'/accounts/{request_id}')


def split_at(
    stream: bytes, cuts: typing.Sequence[int]
) -> typing.Iterator[bytes]:
    """Yields a stream in pieces; ``cuts`` may be any numbers."""
    positions = sorted(
        {0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)}
    )
    for start, end in itertools.pairwise(positions):
        yield stream[start:end]


@contextlib.contextmanager
def process(
    *arguments: str,
    module: str = 'mulberryquay',
) -> typing.Iterator[tuple[subprocess.Popen[str], str]]:
    """Yields a process that runs ``module`` and the first line it printed."""
    child = subprocess.Popen(
        [sys.executable, '-m', module, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env={**os.environ, 'PYTHONUNBUFFERED': '1'},
    )
    assert child.stdout is not None
    try:
        yield child, _first_output_line(child.stdout)
    finally:
        if child.poll() is None:
            child.send_signal(signal.SIGKILL)
        child.wait()
        child.stdout.close()


def _first_output_line(printed: typing.IO[str]) -> str:
    """Returns the first line that is not a JSON log line, or ''."""
    for line in printed:
        if not line.startswith('{'):
            return line.strip()
    return ''


def parse_ports(line: str) -> list[int]:
    """Returns the port numbers that a daemon printed."""
    return [int(word.strip(',')) for word in line.split() if word[0].isdigit()]


def parse_json(response: Response) -> typing.Any:
    """Returns the JSON body of an answer."""
    return json.loads(response.body)


@contextlib.contextmanager
def enter_all(
    managers: typing.Iterable[contextlib.AbstractContextManager[typing.Any]],
) -> typing.Iterator[list[typing.Any]]:
    """Enters all context managers and yields their values in order."""
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(manager) for manager in managers]


@contextlib.contextmanager
def log_pipe() -> typing.Iterator[int]:
    """Redirects this process's logs to a pipe and yields its read end."""
    read_end, write_end = os.pipe()
    root = logging.getLogger('mulberryquay')
    previous = (list(root.handlers), root.level, root.propagate)
    with open(write_end, 'w', encoding='utf-8') as stream:
        logs.configure(level='info', role='entry', node='e-1', stream=stream)
        try:
            yield read_end
        finally:
            logs.close()
            os.close(read_end)
            _restore_logger(root, *previous)


def _restore_logger(
    root: logging.Logger,
    handlers: list[logging.Handler],
    level: int,
    propagate: bool,
) -> None:
    root.handlers = handlers
    root.level = level
    root.propagate = propagate


def read_log_lines(read_end: int) -> list[dict[str, typing.Any]]:
    """Reads lines from the pipe for about 200 ms."""
    os.set_blocking(read_end, False)
    body = b''
    for _ in range(200):
        gevent.sleep(0.001)
        with contextlib.suppress(BlockingIOError):
            body += os.read(read_end, 1 << 20)
    return [json.loads(line) for line in body.splitlines()]
