"""A fault soak: real processes, overlapping faults, and what callers saw.

A run starts a control host, entries and targets, calls through the entries on
kept connections, and plays faults drawn from a seed. `find_broken` then
compares what callers were told with what the targets ran.
"""

from __future__ import annotations

import collections
import contextlib
import enum
import functools
import random
import signal
import typing

import gevent
from gevent import lock, socket

from mulberryquay import announcer
from mulberryquay.entry import http_heads, messages
from mulberryquay.standin import target
from testing import fixtures, processes

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
    #: Which entry or target, by its number.
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
            rng.randrange(max(_ENTRIES, _TARGETS)),
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
        self._calls: list[Call] = []
        self._entries: dict[int, _EntryLife] = {}
        self._locks: dict[str, lock.RLock] = collections.defaultdict(lock.RLock)
        self._targets: dict[int, contextlib.ExitStack] = {}
        self._announcers: dict[int, list[announcer.Announcer]] = {}
        self._is_over = False
        self._incarnation = 1
        self._route_version = 1
        self._exit_codes: list[int] = []

    def __enter__(self) -> typing.Self:
        """Starts all processes and waits until each entry serves."""
        self._folder = self._stack.enter_context(fixtures.folder())
        process, line = self._stack.enter_context(
            processes.control(self._folder)
        )
        api_port, feed_port = fixtures.parse_ports(line)
        self._control = process
        self._api_port = api_port
        self._feed_port = feed_port
        self._declare()
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
        broken += [
            f'a planned stop ended with exit code {code}'
            for code in self._exit_codes
            if code
        ]
        return Verdict(self._calls, broken)

    def _declare(self) -> None:
        client = processes.client(self._api_port)
        for service, is_idempotent in _SERVICES.items():
            processes.put(
                client, 'service-classes', service, idempotent=is_idempotent
            )
            processes.put(client, 'services', service)
            processes.put(client, 'routes', service, **_route(service))

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
                [f'127.0.0.1:{self._api_port}'],
            )
            announced.start()
            stack.callback(announced.stop)
            self._announcers[number].append(announced)
        self._targets[number] = stack

    def _run_request(self, request: target.ReceivedRequest) -> target.Answer:
        name = f'{request.head.method.decode()} {request.head.path.decode()}'
        self._runs[name] += 1
        gevent.sleep(self._rng.uniform(0, _LONGEST_RUN_S))
        return target.Answer(body=name.encode())

    def _start_entry(self, number: int) -> None:
        entry = self._stack.enter_context(
            processes.entry(
                self._feed_port,
                f'entry-{number}',
                drain_ms=200,
                arguments=('--stale_config=serve',),
            )
        )
        self._entries[number] = _EntryLife(entry, set())

    def _wait_until_served(self) -> None:
        for life in list(self._entries.values()):
            for service in _SERVICES:
                request = fixtures.request_bytes(f'/{service}/ready')
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
            outcome, body, keeps_alive = '', b'', False
            with contextlib.suppress(OSError, http_heads.CutShortError):
                connection.sendall(fixtures.request_bytes(path, method=method))
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
                with self._locks['control']:
                    self._change_route()
            case _:
                with self._locks['control']:
                    self._disturb_control(planned.fault)

    def _disturb_entry(self, planned: PlannedFault) -> None:
        life = self._entries[planned.number]
        life.faults.add(planned.fault)
        process = life.entry.process
        if planned.fault is Fault.FREEZE_ENTRY:
            self._freeze(process)
            return
        # As behind the platform's balancer, callers go elsewhere.
        self._entries.pop(planned.number)
        if planned.fault is Fault.STOP_ENTRY:
            process.send_signal(signal.SIGTERM)
            self._exit_codes.append(process.wait())
        else:
            process.send_signal(signal.SIGKILL)
            process.wait()
        self._start_entry(planned.number)

    def _disturb_target(self, planned: PlannedFault) -> None:
        if planned.fault is Fault.REPLACE_TARGET:
            for announced in self._announcers[planned.number]:
                with contextlib.suppress(announcer.AnnounceError):
                    announced.leave()
            gevent.sleep(1)
        self._targets.pop(planned.number).close()
        self._start_target(planned.number)

    def _disturb_control(self, fault: Fault) -> None:
        if fault is Fault.FREEZE_CONTROL:
            self._freeze(self._control)
            return
        is_planned = fault is Fault.STOP_CONTROL
        self._control.send_signal(
            signal.SIGTERM if is_planned else signal.SIGKILL
        )
        exit_code = self._control.wait()
        if is_planned:
            self._exit_codes.append(exit_code)
        restarted, _ = self._stack.enter_context(
            processes.control(self._folder, self._api_port, self._feed_port)
        )
        self._control = restarted

    def _freeze(self, process: typing.Any) -> None:
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self._rng.uniform(0, _LONGEST_FREEZE_S))
        process.send_signal(signal.SIGCONT)

    def _change_route(self) -> None:
        self._route_version += 1
        service = self._rng.choice(list(_SERVICES))
        body = {'version': self._route_version, 'spec': _route(service)}
        client = processes.client(self._api_port)
        client.call('PUT', f'/v1/routes/{service}', body)


def _route(service: str) -> dict[str, typing.Any]:
    return {
        'path_prefix': f'/{service}',
        'service': service,
        'service_class': service,
        'timeout_ms': _ROUTE_TIMEOUT_MS,
    }


def _is_answered(port: int, request: bytes) -> bool:
    with contextlib.suppress(OSError, http_heads.CutShortError):
        return fixtures.send(port, request).outcome == 'answered/none'
    return False
