"""Runs the system as separate processes for a measurement."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import tempfile
import typing

import gevent
import psutil

from mulberryquay.commands import api_client

_TIMEOUT_S: typing.Final = 60.0
_POLL_S: typing.Final = 0.02


class Process(typing.NamedTuple):
    """A running process and the ports that it printed."""

    pid: int
    ports: tuple[int, ...]

    def cpu_seconds(self) -> float:
        """Returns the processor time used so far."""
        times = psutil.Process(self.pid).cpu_times()
        return float(times.user + times.system)

    def memory_mib(self) -> float:
        """Returns the resident memory."""
        return float(psutil.Process(self.pid).memory_info().rss) / (1 << 20)


@typing.final
class Fleet:
    """A control host, entries, targets and ledgers, stopped together."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Starts a control host on an empty folder."""
        self._stack = stack
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.control = self._start(
            '-m',
            'mulberryquay',
            'control',
            f'--data_folder={folder}',
            '--target_lease_ms=60000',
            '--log_level=error',
            '--api_listen=127.0.0.1:0',
            '--feed_listen=127.0.0.1:0',
            '--host_listen=127.0.0.1:0',
        )
        self.api = f'127.0.0.1:{self.control.ports[0]}'
        self.client = api_client.ApiClient(self.api)

    def start_entry(self, name: str, **flags: object) -> Process:
        """Starts an entry; its ports are those for callers and for admin."""
        return self._start(
            '-m',
            'mulberryquay',
            'entry',
            f'--name={name}',
            '--region=north',
            '--domain=north-1',
            '--listen=127.0.0.1:0',
            '--admin_listen=127.0.0.1:0',
            '--peer_listen=127.0.0.1:0',
            f'--control=127.0.0.1:{self.control.ports[1]}',
            '--log_level=error',
            *(f'--{flag}={setting}' for flag, setting in flags.items()),
        )

    def start_targets(
        self,
        service: str,
        count: int,
        *,
        slots: int = 6,
        work_ms: float = 0,
        domain: str = 'north-1',
    ) -> Process:
        """Starts ``count`` targets of a service in one process."""
        return self._start(
            '-m',
            'benchmarks.standins',
            self.api,
            service,
            str(count),
            str(slots),
            str(work_ms),
            domain,
        )

    def start_bare_forwarder(self, target_port: int) -> Process:
        """Starts the baseline forwarder, `bare_forwarder`."""
        return self._start('-m', 'benchmarks.bare_forwarder', str(target_port))

    def start_ledger(self) -> Process:
        """Starts a ledger on an empty folder."""
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        return self._start(
            '-m',
            'mulberryquay',
            'ledger',
            f'--data_folder={folder}',
            '--listen=127.0.0.1:0',
            '--admin_listen=127.0.0.1:0',
            '--log_level=error',
        )

    def declare(self, service: str) -> None:
        """Declares a service at ``/<service>`` whose calls may be retried."""
        self.put('service-classes', 'read', idempotent=True)
        self.put('services', service)
        self.put(
            'routes',
            service,
            path_prefix=f'/{service}',
            service=service,
            service_class='read',
        )

    def put(
        self, kind: str, name: str, version: int = 1, **spec: object
    ) -> int:
        """Declares a resource and returns the revision."""
        body = {'version': version, 'spec': spec}
        answer = self.client.call('PUT', f'/v1/{kind}/{name}', body)
        return int(answer['revision'])

    def wait_for_entries(self, count: int) -> None:
        """Waits until ``count`` entries have confirmed all changes."""
        wait_until(lambda: self._has_entries(count))

    def _has_entries(self, count: int) -> bool:
        status = self.client.call('GET', '/v1/status')
        is_settled = not (status['waiting_for'] or status['entries_pending'])
        return len(status['entries']) == count and is_settled

    def _start(self, *arguments: str) -> Process:
        child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self._stack.callback(child.wait)
        self._stack.callback(child.kill)
        assert child.stdout is not None
        words = child.stdout.readline().replace(',', ' ').split()
        ports = tuple(int(word) for word in words if word.isdecimal())
        return Process(child.pid, ports)


@contextlib.contextmanager
def start() -> typing.Iterator[Fleet]:
    """Yields a fleet and stops all its processes at the end."""
    with contextlib.ExitStack() as stack:
        yield Fleet(stack)


def wait_until(condition: typing.Callable[[], bool]) -> None:
    """Polls until ``condition`` holds.

    Raises TimeoutError after `_TIMEOUT_S`.
    """
    for _poll in range(int(_TIMEOUT_S / _POLL_S)):
        if condition():
            return
        gevent.sleep(_POLL_S)
    raise TimeoutError(f'timed out waiting for {condition}')
