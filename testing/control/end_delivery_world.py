"""Control hosts and entries in virtual time, and when ends reach entries.

Replicas, feeds, directories, control links and views are the project's own;
network, disks and time are simulated.
"""

from __future__ import annotations

import collections
import contextlib
import pathlib
import random
import typing
from unittest import mock

import gevent

from mulberryquay.control import (
    announcements,
    directory,
    feed,
    feed_messages,
    kinds,
    membership,
    replicated_state,
)
from mulberryquay.coordination import errors, signals, wire
from mulberryquay.entry import control_link, state
from mulberryquay.entry.policies import soonest
from testing import fixtures
from testing.coordination.replication import world as replication_world

#: The shortest time in which a leaving target has to be out of use, and after
#: which an entry that reaches all hosts counts as in touch again.
DRAIN_MS: typing.Final = 2000.0
IN_TOUCH_AFTER_MS: typing.Final = 3000.0

_REGIONS: typing.Final = ('north', 'central', 'south')
_ENTRIES_PER_DOMAIN: typing.Final = 2
_FOUNDERS: typing.Final = 3
_MAX_DELAY_MS: typing.Final = 13.0
_END_INTERVAL_MS: typing.Final = 250.0
_LOOK_INTERVAL_MS: typing.Final = 20.0
_INCARNATION: typing.Final = 1
_TARGETS: typing.Final = 60
_SETTLE_MS: typing.Final = 8000.0
_JOIN_MS: typing.Final = 600_000.0


class SimulatedStream:
    """One side of a stream whose other side may be without power."""

    def __init__(self, world: World, host: str, delay: float) -> None:
        self.peer: SimulatedStream | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self._world = world
        self._host = host
        self._delay = delay
        self._inbox: collections.deque[tuple[float, typing.Any]] = (
            collections.deque()
        )
        self._arrived = signals.Signal(world.clock)
        self._is_closed = False
        self._timeout: float | None = None

    def send(self, message: typing.Any) -> None:
        """Sends a message, which arrives after the stream's delay."""
        if self._is_closed:
            raise wire.StreamClosedError('closed here')
        if self.peer is not None and self._host not in self._world.dark:
            self.peer.push(message, self._delay)

    def push(self, message: typing.Any, delay: float) -> None:
        """Lets a message arrive; None for the end of the stream."""
        self._inbox.append((self._world.clock.now() + delay, message))
        self._arrived.notify()

    def receive(self) -> typing.Any:
        """Returns the next message."""
        clock = self._world.clock
        end = clock.now() + (self._timeout or float('inf'))
        while not self._is_closed:
            wait = end - clock.now()
            if self._inbox:
                due_in = self._inbox[0][0] - clock.now()
                if due_in <= 0:
                    return self._next_message()
                wait = min(wait, due_in)
            if wait <= 0:
                break
            self._arrived.wait(wait)
        raise wire.StreamClosedError('closed or timed out')

    def set_timeout(  # noqa: WPS615
        self, duration: float | None
    ) -> None:
        """Sets how long `receive` waits, in ms."""
        self._timeout = duration

    def stop_waiting(self) -> None:
        """Makes later calls of `receive` return at once."""
        self._timeout = _LOOK_INTERVAL_MS

    def close(self) -> None:
        """Ends the stream, also for the other side."""
        if self._is_closed:
            return
        self._is_closed = True
        self._arrived.notify()
        if self.peer is not None and self._host not in self._world.dark:
            self.peer.push(None, self._delay)

    def _next_message(self) -> typing.Any:
        message = self._inbox.popleft()[1]
        if message is None:
            raise wire.StreamClosedError('closed by the peer')
        return message


class SimulatedHost:
    """A control host; stands for the group of hosts to its feed."""

    def __init__(self, world: World, address: str, number: int) -> None:
        self.address = address
        self.region = _REGIONS[world.domain_of(number) % len(_REGIONS)]
        self.domain = f'domain-{world.domain_of(number)}'
        self.state = replicated_state.ReplicatedState()
        self.targets = directory.Directory(
            world.clock, ended=self.state.ended_targets
        )
        self._world = world

    def start(self) -> None:
        """Starts to serve entries."""
        self.state.bind(self.replica)
        group = mock.MagicMock(spec=feed_messages.HostGroup)
        type(group).is_in_touch = property(lambda _: self.replica.is_in_touch)
        group.wait_until_current = lambda: self.replica.read_barrier(
            timeout=replication_world.CALL_MS
        )
        group.list_hosts = self._world.list_hosts
        self.feed = feed.Feed(
            self.state.store,
            self.targets,
            membership.Membership(self._world.clock),
            self._world.clock,
            group,
        )
        self.feed.start_tasks()

    @property
    def replica(self) -> typing.Any:
        """The replica of this host."""
        return self._world.group.nodes[self.address].replica


class World:
    """A group of control hosts over some failure domains, and entries."""

    def __init__(
        self, folder: pathlib.Path, *, seed: int, hosts: int, domains: int
    ) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.group = replication_world.World(folder, seed=seed)
        self.clock = self.group.clock
        #: Hosts that have no power.
        self.dark: set[str] = set()
        #: When ends were committed, by name of the target.
        self.committed_at: dict[str, float] = {}
        #: When entries stopped to use the targets, by entry and name.
        self.unused_at: dict[tuple[str, str], float] = {}
        self._names = [f'target-{number}' for number in range(_TARGETS)]
        self._domains = domains
        addresses = [f'127.9.0.{number + 1}:1' for number in range(hosts)]
        self.hosts = {
            address: SimulatedHost(self, address, number)
            for number, address in enumerate(addresses)
        }
        self.links: dict[str, control_link.ControlLink] = {}
        self._states: dict[str, state.EntryState] = {}
        self.group.new_machine = lambda address: self.hosts[address].state
        self.group.start_group(addresses, _FOUNDERS)
        for host in self.hosts.values():
            host.start()
            for name in self._names:
                announced = fixtures.announcement(
                    name, '127.0.0.1:9', incarnation=_INCARNATION
                )
                host.targets.merge_announced(announcements.parse(announced))
        self._await_voters()
        gevent.spawn(self._declare)
        self.clock.run(_SETTLE_MS)

    def domain_of(self, number: int) -> int:
        """Returns the failure domain of a host by its number."""
        return number % self._domains

    def list_hosts(self) -> list[list[str]]:
        """Returns address, region and domain of each host."""
        return [
            [host.address, host.region, host.domain]
            for host in self.hosts.values()
        ]

    def start_entries(self) -> None:
        """Starts entries in all failure domains and lets them connect."""
        for number in range(self._domains * _ENTRIES_PER_DOMAIN):
            self._start_entry(f'entry-{number}', self.domain_of(number))
        self.clock.run(_SETTLE_MS)

    def connect(
        self, address: tuple[str, int], _codec: typing.Any, *, timeout: float
    ) -> SimulatedStream:
        """Replaces `wire.connect`."""
        name = f'{address[0]}:{address[1]}'
        if name in self.dark:
            self.clock.sleep(timeout)
            raise wire.StreamClosedError('no answer')
        delay = self.rng.uniform(0.1, _MAX_DELAY_MS)
        self.clock.sleep(2 * delay)
        ours = SimulatedStream(self, name, delay)
        theirs = SimulatedStream(self, name, delay)
        ours.peer = theirs
        theirs.peer = ours
        served = typing.cast(wire.Stream, theirs)
        gevent.spawn(self.hosts[name].feed.serve_stream, served)
        return ours

    def choose_minority(self, *, has_leader: bool) -> list[str]:
        """Returns most of the hosts that a majority can do without."""
        leader = self.group.leader
        assert leader is not None
        others = sorted(set(self.hosts) - {leader.address})
        size = (len(self.hosts) - 1) // 2
        if has_leader:
            return [leader.address, *self.rng.sample(others, size - 1)]
        return self.rng.sample(others, size)

    def cut(self, minority: typing.Collection[str]) -> None:
        """Parts some hosts from the others; entries reach all of them."""
        rest = set(self.hosts) - set(minority)
        self.group.cut(minority, rest)
        self.group.cut(rest, minority)

    def power_off(self, hosts: typing.Collection[str]) -> None:
        """Takes hosts from the network without a word."""
        self.dark.update(hosts)
        for address in hosts:
            self.group.nodes[address].stop()

    def end_targets(self, duration: float) -> None:
        """Ends targets in a row, and notes when entries learn of each."""
        end = self.clock.now() + duration
        next_at = self.clock.now()
        while self.clock.now() < end:
            if self.clock.now() >= next_at:
                next_at += _END_INTERVAL_MS
                gevent.spawn(self._end_target, self._names.pop())
            self.clock.run(_LOOK_INTERVAL_MS)
            self._look()

    def late(self, fault_at: float) -> list[str]:
        """Returns the ends that reached an entry too late, as texts."""
        texts = []
        for name, committed_at in self.committed_at.items():
            due = max(committed_at + DRAIN_MS, fault_at + IN_TOUCH_AFTER_MS)
            for entry in self.links:
                at = self.unused_at.get((entry, name), self.clock.now())
                if at > due:
                    texts.append(
                        f'{name} at {entry}: {at - committed_at:.0f} ms after '
                        f'its commit, {at - fault_at:.0f} ms after the fault'
                    )
        return texts

    def close_disks(self) -> None:
        """Stops all hosts, so that they close their files."""
        for node in self.group.nodes.values():
            node.stop()

    def _await_voters(self) -> None:
        def is_complete() -> bool:  # noqa: WPS430
            leader = self.group.leader
            if leader is None or leader.replica is None:
                return False
            return len(leader.replica.members) == len(self.hosts)

        assert self.clock.run_until(is_complete, limit=_JOIN_MS)

    def _declare(self) -> None:
        """Declares something, so that entries have a configuration."""
        leader = self.group.leader
        assert leader is not None
        self.hosts[leader.address].state.store.put(
            kinds.FAILURE_DOMAIN,
            'domain-0',
            version=1,
            spec={'region': _REGIONS[0], 'state': kinds.STATE_IN},
        )

    def _start_entry(self, name: str, domain: int) -> None:
        entry_state = state.EntryState(
            name=name,
            region=_REGIONS[domain % len(_REGIONS)],
            domain=f'domain-{domain}',
            new_policy=lambda: soonest.SoonestAnswer(self.rng),
            time_source=self.clock,
        )
        link = control_link.ControlLink(
            entry_state,
            list(self.hosts)[:_FOUNDERS],
            admin_address='127.9.1.1:1',
            peer_address='127.9.1.1:2',
            domain=f'domain-{domain}',
        )
        self.links[name] = link
        self._states[name] = entry_state
        link.start()

    def _look(self) -> None:
        """Notes which entries have stopped to use ended targets."""
        for entry, entry_state in self._states.items():
            known = entry_state.balancer.all_targets
            for name in self.committed_at:
                if known[name].row.is_leaving:
                    self.unused_at.setdefault((entry, name), self.clock.now())

    def _end_target(self, name: str) -> None:
        """Ends a target as its caller does, who asks until it is answered."""
        while name not in self.committed_at:
            leader = self.group.leader
            try:
                if leader is not None:
                    targets = self.hosts[leader.address].targets
                    targets.end(name, incarnation=_INCARNATION)
                    self.committed_at[name] = self.clock.now()
                    return
            except errors.MulberryquayError:
                self.clock.sleep(_LOOK_INTERVAL_MS)
            self.clock.sleep(_LOOK_INTERVAL_MS)


@contextlib.contextmanager
def running(*, seed: int, hosts: int, domains: int) -> typing.Iterator[World]:
    """Yields a world in which all hosts vote and all entries follow two."""
    with fixtures.folder() as folder, _killing_tasks():
        world = World(folder, seed=seed, hosts=hosts, domains=domains)
        with mock.patch.object(wire, 'connect', world.connect):
            try:
                world.start_entries()
                yield world
            finally:
                world.close_disks()


@contextlib.contextmanager
def _killing_tasks() -> typing.Iterator[None]:
    """Kills the tasks that begin within, which keep their world in memory."""
    tasks: list[gevent.Greenlet] = []
    spawn = gevent.spawn

    def spawn_recorded(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        tasks.append(spawn(*args, **kwargs))
        return tasks[-1]

    with mock.patch.object(gevent, 'spawn', spawn_recorded):
        try:
            yield
        finally:
            gevent.killall(tasks)
