"""Control hosts, targets and entries whose faults a test puts in any order.

Hosts and entries are the project's own directory, target cache rows, messages
and merged view; the log, the network and time are simulated.
"""

from __future__ import annotations

import random
import typing

from mulberryquay import protocol
from mulberryquay.control import (
    directory,
    ended_targets,
    feed_messages,
    host_protocol,
)
from mulberryquay.coordination import clock, journal
from mulberryquay.entry import targets_view
from testing import fixtures

HOSTS: typing.Final = ('a', 'b', 'c')
TARGETS: typing.Final = ('t', 'u')
_MAJORITY: typing.Final = 2

#: Longer than entries and hosts need to settle, shorter than a lease.
_MAX_STEP_MS: typing.Final = 3000


class GroupLog:
    """The committed records of all hosts; `state` is a host's view of it."""

    def __init__(self) -> None:
        self.committed: list[tuple[str, int]] = []

    @property
    def records_since_snapshot(self) -> int:
        """Always 0: there are no snapshots."""
        return 0

    def recover(self) -> journal.Recovered:
        """Returns nothing: hosts replay the log by themselves."""
        return journal.Recovered(None, [], 0)

    def append(self, records: typing.Sequence[journal.Record]) -> None:
        """Commits records at once."""
        self.committed += [(name, number) for name, number in records]

    def compact(self, snapshot: journal.Record) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


class Host:
    """A control host that may freeze, or be killed and start again."""

    def __init__(self, world: World, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.cached: list[protocol.TargetRow] = []
        self._world = world
        self.start()

    def start(self) -> None:
        """Starts with what is on disk: its part of the log and the cache."""
        self._applied = 0
        self._ended = ended_targets.EndedTargets(self._world.log)
        self.targets = directory.Directory(self._world.clock, ended=self._ended)
        for row in self.cached:
            self.targets.merge_announced(row)
        self.targets.publish = self._publish
        self.targets.publish_ends = self._send_ends
        self.followers: dict[str, int] = {}
        self.catch_up()

    def catch_up(self) -> None:
        """Applies all committed records and sends the changes to entries."""
        committed = self._world.log.committed
        while self._applied < len(committed):
            self._applied += 1
            self._ended.apply(committed[self._applied - 1])
        self.targets.expire()
        for entry, sent in self.followers.items():
            changes = self.targets.changes.since(sent)
            self.followers[entry] = sent + len(changes)
            if changes:
                message = feed_messages.targets_changed(changes)
                self._world.entries[entry].receive(self.name, message)

    def connect(self, entry: Entry) -> None:
        """Sends an entry the whole state, and what changes from now on."""
        self.catch_up()
        self.followers[entry.name] = self.targets.changes.revision
        for message in feed_messages.target_state(
            self.targets, is_current=True
        ):
            entry.receive(self.name, message)

    def write_cache(self) -> None:
        """Keeps the listed targets for the next start."""
        self.cached = self.targets.list_targets()

    def _send_ends(self, ends: dict[str, int]) -> None:
        for entry in self.followers:
            for message in feed_messages.targets_ended(ends):
                self._world.entries[entry].receive(self.name, message)

    def _publish(self, update: tuple[typing.Any, ...]) -> None:
        if isinstance(update, host_protocol.TargetAnnounced):
            row = protocol.TargetRow(*update.row)
            for host in self._world.running:
                if host is not self:
                    host.targets.merge_announced(row)


class Entry:
    """An entry that may freeze; what is sent meanwhile comes when it wakes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.rows: dict[str, protocol.TargetRow] = {}
        self.followed: set[str] = set()
        self._view = targets_view.TargetsView(self._apply)
        self._held: list[tuple[str, typing.Any]] = []

    def receive(self, host: str, message: typing.Any) -> None:
        """Receives a message from a host, or holds it while frozen."""
        if self.is_frozen:
            self._held.append((host, message))
        else:
            self._view.receive(host, message)

    def wake(self) -> None:
        """Reads what came from hosts whose streams are still open."""
        self.is_frozen = False
        for host, message in self._held:
            if host in self.followed:
                self._view.receive(host, message)
        self._held = []

    def lose(self, host: str) -> None:
        """Loses the stream of a host, with what was not read."""
        self.followed.discard(host)
        self._held = [held for held in self._held if held[0] != host]
        self._view.remove_source(host)

    def _apply(self, message: protocol.TargetsChanged) -> None:
        for fields in message.changed:
            self.rows[fields[0]] = protocol.TargetRow(*fields)
        for name in message.removed:
            self.rows.pop(name)


class World:
    """Three hosts, two entries and two targets, with one fault a step."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.clock = clock.ManualClock(start=1)
        self.log = GroupLog()
        self.hosts: dict[str, Host] = {}
        self.entries = {name: Entry(name) for name in ('e', 'f')}
        #: The incarnations that run now, by name.
        self.running_targets: dict[str, int] = {}
        #: The last incarnations whose end was acknowledged, by name.
        self.acknowledged: dict[str, int] = {}
        self.steps: list[str] = []
        for name in HOSTS:
            self.hosts[name] = Host(self, name)
        self._faults: tuple[typing.Callable[[], None], ...] = (
            self._start_target,
            self._check_in,
            self._check_in,
            self._end_target,
            self._end_target,
            self._write_cache,
            self._kill_all_hosts,
            self._kill_host,
            self._toggle_host,
            self._toggle_entry,
            self._reconnect,
        )

    @property
    def running(self) -> list[Host]:
        """The hosts that are not frozen."""
        return [host for host in self.hosts.values() if not host.is_frozen]

    def step(self) -> None:
        """Lets one thing happen, and time pass."""
        fault = self.rng.choice(self._faults)
        self.steps.append(fault.__name__.strip('_'))
        fault()
        self.clock.advance(self.rng.randrange(_MAX_STEP_MS))
        self.settle()

    def settle(self) -> None:
        """Lets hosts and entries that run catch up."""
        for host in self.running:
            host.catch_up()
        for entry in self.entries.values():
            self._follow(entry)

    def heal(self) -> None:
        """Ends all faults; the targets that run check in everywhere."""
        for host in self.hosts.values():
            host.is_frozen = False
        for entry in self.entries.values():
            entry.wake()
        self.settle()
        for name in self.running_targets:
            for host in self.hosts.values():
                self._announce(host, name)
        self.settle()

    def misdirected(self) -> list[str]:
        """Returns what entries would send to ended targets, as texts."""
        return [
            f'{entry.name} uses {row.name} {row.incarnation}'
            for entry in self.entries.values()
            if not entry.is_frozen and self._is_informed(entry)
            for row in entry.rows.values()
            if not row.is_leaving
            and row.incarnation <= self.acknowledged.get(row.name, 0)
        ]

    def live_targets(self) -> list[str]:
        """Returns the names whose running incarnation has not ended."""
        return [
            name
            for name, incarnation in self.running_targets.items()
            if incarnation > self.acknowledged.get(name, 0)
        ]

    def entries_without(self, name: str) -> list[str]:
        """Returns the entries that don't use the target that runs."""
        return [
            entry.name
            for entry in self.entries.values()
            if entry.rows[name].is_leaving
            or entry.rows[name].incarnation != self.running_targets[name]
        ]

    def _is_informed(self, entry: Entry) -> bool:
        return any(host.name in entry.followed for host in self.running)

    def _follow(self, entry: Entry) -> None:
        """Connects an entry that runs to two hosts that run."""
        if entry.is_frozen:
            return
        for host in self.running:
            if len(entry.followed) < 2 and host.name not in entry.followed:
                entry.followed.add(host.name)
                host.connect(entry)

    def _start_target(self) -> None:
        name = self.rng.choice(TARGETS)
        self.clock.advance(1)
        self.running_targets[name] = int(self.clock.wall())

    def _check_in(self) -> None:
        name = self.rng.choice(TARGETS)
        if name in self.running_targets and self.running:
            self._announce(self.rng.choice(self.running), name)

    def _announce(self, host: Host, name: str) -> None:
        try:
            host.targets.announce(
                fixtures.announcement(
                    name,
                    '127.0.0.1:80',
                    incarnation=self.running_targets[name],
                    sequence=int(self.clock.now()),
                )
            )
        except directory.StaleIncarnationError:
            return

    def _end_target(self) -> None:
        """Ends the incarnation that runs, as the platform's call does."""
        name = self.rng.choice(TARGETS)
        running = self.running
        if name not in self.running_targets or len(running) < _MAJORITY:
            return
        called, leader = self.rng.choice(running), self.rng.choice(running)
        leader.catch_up()
        incarnation = called.targets.newest_incarnation(name)
        ended = leader.targets.end(name, incarnation=incarnation)
        # The run that called waits for the answer, so it is the newest one.
        self.acknowledged[name] = max(ended, self.running_targets[name])

    def _write_cache(self) -> None:
        self.rng.choice(list(self.hosts.values())).write_cache()

    def _kill_all_hosts(self) -> None:
        for host in self.hosts.values():
            self._restart(host)

    def _kill_host(self) -> None:
        self._restart(self.rng.choice(list(self.hosts.values())))

    def _restart(self, host: Host) -> None:
        for entry in self.entries.values():
            entry.lose(host.name)
        host.is_frozen = False
        host.start()

    def _toggle_host(self) -> None:
        """Freezes a host, or wakes it; its streams may be lost."""
        host = self.rng.choice(list(self.hosts.values()))
        host.is_frozen = not host.is_frozen
        if self.rng.randrange(2):
            for entry in self.entries.values():
                entry.lose(host.name)
                host.followers.pop(entry.name, None)

    def _toggle_entry(self) -> None:
        entry = self.rng.choice(list(self.entries.values()))
        if entry.is_frozen:
            entry.wake()
        else:
            entry.is_frozen = True

    def _reconnect(self) -> None:
        entry = self.rng.choice(list(self.entries.values()))
        for host in self.hosts.values():
            entry.lose(host.name)
            host.followers.pop(entry.name, None)
