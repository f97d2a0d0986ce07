"""A fault soak: real processes, overlapping faults, and what callers saw.

A run starts control hosts, entries and targets, calls through the entries on
kept connections, and plays faults drawn from a seed. `find_broken` then
compares what callers were told with what the targets ran.
"""

from __future__ import annotations

import collections
import contextlib
import enum
import functools
import pathlib
import random
import signal
import typing

import gevent
from gevent import lock, socket

from mulberryquay import announcer
from mulberryquay.accounts import keys
from mulberryquay.commands import api_client
from mulberryquay.coordination import clock
from mulberryquay.entry import http_heads, messages
from mulberryquay.standin import target
from testing import fixtures, processes

_CONTROL_HOSTS: typing.Final = 3
_ENTRIES: typing.Final = 3
_TARGETS: typing.Final = 3
_SLOTS: typing.Final = 8
_CALLERS: typing.Final = 24
_FAULTS: typing.Final = 8
_FAULT_SPAN_S: typing.Final = 5.0
_LONGEST_RUN_S: typing.Final = 0.15
_PAUSE_S: typing.Final = 0.005
_LONGEST_FREEZE_S: typing.Final = 1.2
_ROUTE_TIMEOUT_MS: typing.Final = 3000

#: Services and whether their requests may run more than once.
_SERVICES: typing.Final = {'stock': True, 'order': False}

#: Client accounts and their rates; callers of the second exceed theirs.
_ACCOUNTS: typing.Final = {'counter': 0, 'yard': 20}

#: Share of the calls that the second account makes.
_LIMITED_SHARE: typing.Final = 0.3

_API_ERRORS: typing.Final = (
    api_client.ApiRefusedError,
    api_client.ApiUnreachableError,
)


class Fault(enum.Enum):
    """What is done to a process or target."""

    STOP_ENTRY = 'stop entry'
    KILL_ENTRY = 'kill entry'
    FREEZE_ENTRY = 'freeze entry'
    STOP_CONTROL = 'stop control host'
    KILL_CONTROL = 'kill control host'
    FREEZE_CONTROL = 'freeze control host'
    CRASH_TARGET = 'crash target'
    REPLACE_TARGET = 'replace target'
    CHANGE_ROUTE = 'change route'


class PlannedFault(typing.NamedTuple):
    """A fault and when it begins, in s since the first call."""

    at_s: float
    fault: Fault
    #: Which control host, entry or target, by its number.
    number: int


class Call(typing.NamedTuple):
    """One request, and what its caller saw."""

    request: str
    is_idempotent: bool
    #: Outcome and reason; empty if the connection ended without an answer.
    outcome: str
    body: bytes
    #: Whether the entry was killed, so that it may break connections.
    was_killed: bool


class Verdict(typing.NamedTuple):
    """What a run showed."""

    calls: list[Call]
    #: A line for each promise that was broken.
    broken: list[str]

    @property
    def answered(self) -> int:
        """The number of requests that a target answered."""
        return sum(call.outcome == 'answered/none' for call in self.calls)


def plan_faults(rng: random.Random) -> list[PlannedFault]:
    """Draws the faults of a run, in the order in which they begin."""
    faults = [
        PlannedFault(
            rng.uniform(0, _FAULT_SPAN_S),
            rng.choice(list(Fault)),
            rng.randrange(min(_CONTROL_HOSTS, _ENTRIES, _TARGETS)),
        )
        for _ in range(_FAULTS)
    ]
    return sorted(faults, key=lambda planned: planned.at_s)


def find_broken(
    calls: typing.Iterable[Call], runs: typing.Mapping[str, int]
) -> list[str]:
    """Returns a line for each promise to a caller that was broken."""
    broken = []
    for call in calls:
        count = runs.get(call.request, 0)
        if not call.is_idempotent and count > 1:
            broken.append(f'{call.request} ran {count} times')
        if call.outcome.startswith('not-run') and count:
            broken.append(f'{call.request} ran; its caller got {call.outcome}')
        if call.outcome.startswith('answered'):
            if call.body != call.request.encode() or not count:
                broken.append(f'{call.request} got the answer {call.body!r}')
        if not call.outcome and count and not call.was_killed:
            broken.append(f'{call.request} ran; its connection was closed')
    return broken


def find_over_rate(
    run_names: typing.Collection[str], *, per_s: float, seconds: float
) -> list[str]:
    """Returns a line if an account ran more than its rate and burst allow."""
    allowed = per_s * (seconds + 1)
    if len(run_names) <= allowed:
        return []
    return [f'{len(run_names)} requests ran, the rate allows {allowed:.0f}']


class _ControlHost(typing.NamedTuple):
    """The folder and the ports of a control host, which restarts keep."""

    folder: pathlib.Path
    api_port: int
    feed_port: int
    host_port: int


class _EntryLife(typing.NamedTuple):
    """One run of an entry process."""

    entry: processes.EntryProcess
    faults: set[Fault]


@typing.final
class Soak:
    """One run; use it as a context manager, then call `run`."""

    def __init__(self, seed: int) -> None:
        """Draws everything from ``seed``."""
        self._rng = random.Random(seed)
        self._faults = plan_faults(self._rng)
        self._stack = contextlib.ExitStack()
        self._runs: collections.Counter[str] = collections.Counter()
        #: Requests that ran, by their account.
        self._run_names: dict[str, set[str]] = collections.defaultdict(set)
        self._declared_at = 0.0
        self._clock = clock.Clock()
        self._calls: list[Call] = []
        self._control_hosts: list[_ControlHost] = []
        self._control_processes: dict[int, typing.Any] = {}
        self._entries: dict[int, _EntryLife] = {}
        self._locks: dict[str, lock.RLock] = collections.defaultdict(lock.RLock)
        self._targets: dict[int, contextlib.ExitStack] = {}
        self._announcers: dict[int, list[announcer.Announcer]] = {}
        self._is_over = False
        self._incarnation = 1
        self._route_version = 1
        self._exit_codes: list[int] = []
        #: Exit codes of processes that ended by themselves.
        self._unplanned_exits: list[int] = []

    def __enter__(self) -> typing.Self:
        """Starts all processes and waits until each entry serves."""
        for _ in range(_CONTROL_HOSTS):
            folder = self._stack.enter_context(fixtures.folder())
            self._control_hosts.append(
                _ControlHost(folder, *processes.free_ports(3))
            )
        for number in range(_CONTROL_HOSTS):
            self._start_control_host(number)
        fixtures.wait_until(self._declare)
        for number in range(_TARGETS):
            self._start_target(number)
        for number in range(_ENTRIES):
            self._start_entry(number)
        self._wait_until_served()
        return self

    def __exit__(self, *_error: object) -> None:
        """Ends all processes."""
        for stack in self._targets.values():
            stack.close()
        self._stack.close()

    def run(self) -> Verdict:
        """Calls, plays the faults, waits until all is well, and judges."""
        callers = [gevent.spawn(self._call_until_over) for _ in range(_CALLERS)]
        faults = [
            gevent.spawn_later(planned.at_s, self._play, planned)
            for planned in self._faults
        ]
        gevent.joinall(faults, raise_error=True)
        self._wait_until_served()
        self._is_over = True
        gevent.joinall(callers, raise_error=True)
        broken = find_broken(self._calls, self._runs)
        passed_ms = self._clock.now() - self._declared_at
        broken += find_over_rate(
            self._run_names['yard'],
            per_s=_ACCOUNTS['yard'],
            seconds=passed_ms / clock.MS_PER_SECOND,
        )
        broken += [
            f'a planned stop ended with exit code {code}'
            for code in self._exit_codes
            if code
        ]
        for process in self._running_processes():
            self._note_if_ended(process)
        broken += [
            f'a process ended by itself with exit code {code}'
            for code in self._unplanned_exits
        ]
        return Verdict(self._calls, broken)

    def _start_control_host(self, number: int) -> None:
        host = self._control_hosts[number]
        contacts = _addresses(host.host_port for host in self._control_hosts)
        process, _ = self._stack.enter_context(
            processes.control(
                host.folder,
                host.api_port,
                host.feed_port,
                host.host_port,
                (f'--hosts={contacts}',),
            )
        )
        self._control_processes[number] = process

    def _api_client(self) -> api_client.ApiClient:
        host = self._rng.choice(self._control_hosts)
        return processes.client(host.api_port)

    def _declare(self) -> bool:
        """Declares all resources; returns whether that was accepted."""
        client = self._api_client()
        self._declared_at = self._declared_at or self._clock.now()
        try:
            for service, is_idempotent in _SERVICES.items():
                processes.put(
                    client, 'service-classes', service, idempotent=is_idempotent
                )
                processes.put(client, 'services', service)
                processes.put(client, 'routes', service, **_route(service))
            for account, per_s in _ACCOUNTS.items():
                processes.put(
                    client,
                    'client-accounts',
                    account,
                    **_account(account, per_s),
                )
        except _API_ERRORS:
            return False
        return True

    def _start_target(self, number: int) -> None:
        """Starts a target for each service, with a new incarnation."""
        stack = contextlib.ExitStack()
        self._incarnation += 1
        self._announcers[number] = []
        for service in _SERVICES:
            stand_in = target.StandInTarget(self._run_request, slots=_SLOTS)
            stand_in.start()
            stack.callback(stand_in.stop)
            announced = announcer.Announcer(
                fixtures.announcement(
                    f'{service}-{number}',
                    stand_in.address,
                    service=service,
                    incarnation=self._incarnation,
                    slots=_SLOTS,
                ),
                [f'127.0.0.1:{host.api_port}' for host in self._control_hosts],
            )
            announced.start()
            stack.callback(announced.stop)
            self._announcers[number].append(announced)
        self._targets[number] = stack

    def _run_request(self, request: target.ReceivedRequest) -> target.Answer:
        name = f'{request.head.method.decode()} {request.head.path.decode()}'
        self._runs[name] += 1
        account = request.head.find(b'mulberryquay-account') or b''
        self._run_names[account.decode()].add(name)
        gevent.sleep(self._rng.uniform(0, _LONGEST_RUN_S))
        return target.Answer(body=name.encode())

    def _start_entry(self, number: int) -> None:
        feeds = _addresses(host.feed_port for host in self._control_hosts)
        entry = self._stack.enter_context(
            processes.entry(
                self._control_hosts[0].feed_port,
                f'entry-{number}',
                drain_ms=200,
                arguments=(
                    '--stale_config=serve',
                    '--account_rates=leases',
                    f'--control={feeds}',
                ),
            )
        )
        self._entries[number] = _EntryLife(entry, set())

    def _wait_until_served(self) -> None:
        for life in list(self._entries.values()):
            for service in _SERVICES:
                request = fixtures.request_bytes(
                    f'/{service}/ready', headers=_credentials('counter')
                )
                fixtures.wait_until(
                    functools.partial(_is_answered, life.entry.port, request)
                )

    def _call_until_over(self) -> None:
        while not self._is_over:
            if not self._entries:
                gevent.sleep(_PAUSE_S)
                continue
            life = self._rng.choice(list(self._entries.values()))
            with contextlib.suppress(OSError):
                connection = socket.create_connection(
                    ('127.0.0.1', life.entry.port), fixtures.TIMEOUT_S
                )
                with connection:
                    self._call_on(connection, life)
            gevent.sleep(_PAUSE_S)

    def _call_on(self, connection: typing.Any, life: _EntryLife) -> None:
        """Calls on one connection until its entry closes it."""
        reader = messages.ResponseReader(connection)
        while not self._is_over:
            service = self._rng.choice(list(_SERVICES))
            method = 'GET' if _SERVICES[service] else 'POST'
            path = f'/{service}/{self._rng.getrandbits(64):x}'
            is_limited = self._rng.random() < _LIMITED_SHARE
            credentials = _credentials('yard' if is_limited else 'counter')
            outcome, body, keeps_alive = '', b'', False
            with contextlib.suppress(OSError, http_heads.CutShortError):
                connection.sendall(
                    fixtures.request_bytes(
                        path, method=method, headers=credentials
                    )
                )
                response = fixtures.receive(reader)
                outcome, body = response.outcome, response.body
                keeps_alive = response.headers.get('connection') != 'close'
            self._calls.append(
                Call(
                    f'{method} {path}',
                    _SERVICES[service],
                    outcome,
                    body,
                    was_killed=Fault.KILL_ENTRY in life.faults,
                )
            )
            if not keeps_alive:
                return
            gevent.sleep(_PAUSE_S)

    def _play(self, planned: PlannedFault) -> None:
        match planned.fault:
            case Fault.STOP_ENTRY | Fault.KILL_ENTRY | Fault.FREEZE_ENTRY:
                with self._locks[f'entry-{planned.number}']:
                    self._disturb_entry(planned)
            case Fault.CRASH_TARGET | Fault.REPLACE_TARGET:
                with self._locks[f'target-{planned.number}']:
                    self._disturb_target(planned)
            case Fault.CHANGE_ROUTE:
                self._change_route()
            case _:
                with self._locks[f'control-{planned.number}']:
                    self._disturb_control_host(planned)

    def _disturb_entry(self, planned: PlannedFault) -> None:
        life = self._entries[planned.number]
        life.faults.add(planned.fault)
        process = life.entry.process
        if planned.fault is Fault.FREEZE_ENTRY:
            self._freeze(process)
            return
        # As behind the platform's balancer, callers go elsewhere.
        self._entries.pop(planned.number)
        self._end(process, is_planned=planned.fault is Fault.STOP_ENTRY)
        self._start_entry(planned.number)

    def _disturb_target(self, planned: PlannedFault) -> None:
        if planned.fault is Fault.REPLACE_TARGET:
            for announced in self._announcers[planned.number]:
                with contextlib.suppress(announcer.AnnounceError):
                    announced.leave()
            gevent.sleep(1)
        self._targets.pop(planned.number).close()
        self._start_target(planned.number)

    def _disturb_control_host(self, planned: PlannedFault) -> None:
        process = self._control_processes[planned.number]
        if planned.fault is Fault.FREEZE_CONTROL:
            self._freeze(process)
            return
        self._end(process, is_planned=planned.fault is Fault.STOP_CONTROL)
        self._start_control_host(planned.number)

    def _end(self, process: typing.Any, *, is_planned: bool) -> None:
        self._note_if_ended(process)
        process.send_signal(signal.SIGTERM if is_planned else signal.SIGKILL)
        exit_code = process.wait()
        if is_planned:
            self._exit_codes.append(exit_code)

    def _running_processes(self) -> list[typing.Any]:
        entries = [life.entry.process for life in self._entries.values()]
        return [*self._control_processes.values(), *entries]

    def _note_if_ended(self, process: typing.Any) -> None:
        exit_code = process.poll()
        if exit_code is not None:
            self._unplanned_exits.append(exit_code)

    def _freeze(self, process: typing.Any) -> None:
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self._rng.uniform(0, _LONGEST_FREEZE_S))
        process.send_signal(signal.SIGCONT)

    def _change_route(self) -> None:
        self._route_version += 1
        service = self._rng.choice(list(_SERVICES))
        body = {'version': self._route_version, 'spec': _route(service)}
        # The control hosts may be without a leader just now.
        with contextlib.suppress(*_API_ERRORS):
            self._api_client().call('PUT', f'/v1/routes/{service}', body)


def _addresses(ports: typing.Iterable[int]) -> str:
    return ','.join(f'127.0.0.1:{port}' for port in ports)


def _route(service: str) -> dict[str, typing.Any]:
    return {
        'path_prefix': f'/{service}',
        'service': service,
        'service_class': service,
        'timeout_ms': _ROUTE_TIMEOUT_MS,
    }


def _account(name: str, per_s: float) -> dict[str, typing.Any]:
    return {
        'authenticated': True,
        'key_digests': [keys.digest_of(_key_of(name))],
        'rate_per_s': per_s,
        'burst': per_s,
    }


def _key_of(account: str) -> bytes:
    return b'key of %s' % account.encode()


def _credentials(account: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {_key_of(account).decode()}'}


def _is_answered(port: int, request: bytes) -> bool:
    with contextlib.suppress(OSError, http_heads.CutShortError):
        return fixtures.send(port, request).outcome == 'answered/none'
    return False
