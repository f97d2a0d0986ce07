"""Entries and control hosts in simulated time; requests crash targets.

What is thought of a request is decided by the project's own code; attempts,
targets, the network and time are simulated.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import typing
from unittest import mock

from mulberryquay import crash_messages
from mulberryquay.control import directory, replicated_state, target_reports
from mulberryquay.coordination import clock, crash_guard
from mulberryquay.entry import control_view, crash_tracker

_HOSTS: typing.Final = 3
_TARGETS: typing.Final = 12
_MAX_ATTEMPTS: typing.Final = 2

#: A crashed target takes this long to start.
_DOWN_MS: typing.Final = 3000
_HARMLESS: typing.Final = crash_guard.Verdict.HARMLESS


class Call(typing.NamedTuple):
    """One client attempt."""

    at: float
    entry: int
    fingerprint: bytes
    #: How long a run takes, until its answer or its crash.
    runs_for: float
    #: Whether each run ends with a lost connection, by number of the run.
    is_lost: typing.Callable[[int], bool]
    #: Whether a lost connection means that the target is down.
    crashes: bool = True
    is_reported: bool = True


class Run(typing.NamedTuple):
    """An attempt on a target."""

    fingerprint: bytes
    began_at: float
    is_retry: bool
    is_lost: bool


class _Entry:
    """What an entry knows of requests, and the host that it follows."""

    def __init__(self, group: Group, number: int) -> None:
        self.tracker = crash_tracker.CrashTracker(group.clock)
        self.tracker.reporter = self
        state = mock.MagicMock(clock=group.clock, crashes=self.tracker)
        self.view = control_view.ControlView(state, mock.MagicMock())
        self._group = group
        self._host = number % _HOSTS

    def report_connection_lost(
        self, fingerprint: bytes, target: str, *, ran_for: float
    ) -> bool:
        """Tells the followed host."""
        message = crash_messages.ConnectionLost(fingerprint, target, ran_for)
        self._group.hosts[self._host].receive(message)
        return True

    def report_request_cleared(self, fingerprint: bytes) -> None:
        """Tells the followed host."""
        message = crash_messages.RequestCleared(fingerprint)
        self._group.hosts[self._host].receive(message)

    def connect(self) -> None:
        """Exchanges what is known with the followed host."""
        host = self._group.hosts[self._host]
        for known in self.view.known_verdicts():
            host.receive(known)
        for verdict in host.verdicts():
            self.view.apply_verdict(verdict)


class Group:
    """A group that plays calls; what it counts is read afterwards."""

    def __init__(self, entries: int) -> None:
        self.clock = clock.ManualClock(start=1)
        self.runs: list[Run] = []
        self.refused: list[Call] = []
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._down_until = dict.fromkeys(range(_TARGETS), 0.0)
        self._next_target = itertools.cycle(range(_TARGETS))
        self.hosts = [self._new_host(number) for number in range(_HOSTS)]
        self._entries = [_Entry(self, number) for number in range(entries)]

    def play(
        self,
        calls: typing.Iterable[Call],
        *,
        entry_restarts: typing.Mapping[float, int] | None = None,
        hosts_restart_at: float | None = None,
    ) -> None:
        """Plays calls, and restarts of entries and of all hosts at times."""
        for call in calls:
            self._schedule(call.at, functools.partial(self._begin, call))
        for at, number in (entry_restarts or {}).items():
            self._schedule(at, functools.partial(self._restart, number))
        if hosts_restart_at is not None:
            self._schedule(hosts_restart_at, self._restart_hosts)
        while self._events:
            at, _, happen = heapq.heappop(self._events)
            self.clock.advance(max(0, at - self.clock.now()))
            happen()

    def late_retries(self, fingerprint: bytes, after_ms: float) -> int:
        """Counts retries that began so long after the third crash."""
        lost = [
            run
            for run in self.runs
            if run.fingerprint == fingerprint and run.is_lost
        ]
        since = lost[2].began_at + after_ms
        return sum(run.is_retry and run.began_at > since for run in lost)

    def _new_host(self, number: int) -> target_reports.TargetReports:
        ended = replicated_state.ReplicatedState().ended_targets
        return target_reports.TargetReports(
            directory.Directory(self.clock, ended=ended),
            self.clock,
            lambda verdict: self._tell_entries(number, verdict),
            lambda message: self._tell_hosts(number, message),
        )

    def _tell_entries(self, number: int, verdict: typing.Any) -> None:
        for entry in self._entries[number::_HOSTS]:
            entry.view.apply_verdict(verdict)

    def _tell_hosts(self, number: int, message: typing.Any) -> None:
        for other, host in enumerate(self.hosts):
            if other == number:
                continue
            if isinstance(message, target_reports.CrashReport):
                host.apply_crash(message)
            else:
                host.apply_verdict(message)

    def _restart(self, number: int) -> None:
        self._entries[number] = _Entry(self, number)
        self._entries[number].connect()

    def _restart_hosts(self) -> None:
        self.hosts = [self._new_host(number) for number in range(_HOSTS)]
        for entry in self._entries:
            entry.connect()

    def _schedule(self, at: float, happen: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), happen))

    def _begin(self, call: Call, attempts: int = 0) -> None:
        guard = self._guard(call)
        if guard.verdict_of(call.fingerprint) is crash_guard.Verdict.BLOCKED:
            self.refused.append(call)
            return
        target = self._choose_target()
        is_lost = call.is_lost(len(self.runs))
        self.runs.append(
            Run(call.fingerprint, self.clock.now(), attempts > 0, is_lost)
        )
        self._schedule(
            self.clock.now() + call.runs_for,
            lambda: self._end(call, target, attempts + 1, is_lost=is_lost),
        )

    def _end(
        self, call: Call, target: int, attempts: int, *, is_lost: bool
    ) -> None:
        tracker = self._entries[call.entry].tracker
        if not is_lost:
            tracker.clear(call.fingerprint, is_reported=call.is_reported)
            return
        if call.crashes:
            self._down_until[target] = self.clock.now() + _DOWN_MS
        tracker.record_lost_connection(
            crash_tracker.LostConnection(
                call.fingerprint,
                f't{target}',
                ('127.0.0.1', 1),
                call.runs_for,
                call.is_reported,
            )
        )
        verdict = self._guard(call).verdict_of(call.fingerprint)
        if verdict is _HARMLESS and attempts < _MAX_ATTEMPTS:
            self._begin(call, attempts)

    def _guard(self, call: Call) -> crash_guard.CrashGuard:
        return self._entries[call.entry].tracker.guard_for(
            is_reported=call.is_reported
        )

    def _choose_target(self) -> int:
        return next(
            target
            for target in self._next_target
            if self._down_until[target] <= self.clock.now()
        )
