"""Simulated replicas in virtual time, with network and disk faults."""

from __future__ import annotations

import pathlib
import random
import typing

import gevent
from gevent import event

from mulberryquay.coordination import errors, journal, rpc
from mulberryquay.coordination.replication import disk, replica
from testing import virtual_time

#: Longest one-way delay in ms: the distance of two regions and queueing.
_MAX_DELAY_MS: typing.Final = 20.0

#: Timeout of the clients' proposals and reads, in ms.
CALL_MS: typing.Final = 900.0


class RecordingMachine:
    """A state machine that stores all records in order."""

    def __init__(self) -> None:
        """Starts empty."""
        self.records: list[int] = []

    def apply(self, record: typing.Any) -> None:
        """Stores the next record."""
        self.records.append(record)

    def snapshot(self) -> typing.Any:
        """Returns all records."""
        return list(self.records)

    def restore(self, snapshot: typing.Any) -> None:
        """Replaces the records with those of a snapshot."""
        self.records = list(snapshot)


class SimulatedDisk(journal.FileSystem):
    """The disk of one run of a node; it can be slow, stall or be full."""

    def __init__(self, node: Node) -> None:
        """Belongs to one run of ``node``."""
        self._node = node
        self._run = node.run_number

    def sync(self, descriptor: int) -> None:
        """Does nothing, so that the simulation is fast."""

    def run(self, work: typing.Callable[[], None]) -> None:
        """Runs ``work`` after a delay, unless the node stops before."""
        node = self._node
        world = node.world
        world.clock.sleep(world.rng.uniform(0.2, 6))
        while node.disk_stalls_until > world.clock.now():
            world.clock.sleep(node.disk_stalls_until - world.clock.now())
        if self._run != node.run_number or not node.is_up:
            event.Event().wait()
        if node.disk_is_full:
            raise OSError('no space left on device')
        work()


class SimulatedNetwork:
    """The network interface of one run of a node."""

    def __init__(self, node: Node) -> None:
        """Belongs to one run of ``node``."""
        self._node = node
        self._run = node.run_number

    def call(
        self,
        address: str,
        message: tuple[typing.Any, ...],
        *,
        timeout: float,
    ) -> typing.Any:
        """Sends a call to another node and returns the answer."""
        node = self._node
        world = node.world
        if self._run != node.run_number:
            event.Event().wait()
        delivery = event.AsyncResult()
        task = gevent.spawn(self._transmit, address, message, delivery)
        done = event.Event()
        delivery.rawlink(lambda _result: done.set())
        if not world.clock.wait(done, timeout):
            task.kill(block=False)
            raise rpc.CallFailedError(f'{address} gave no answer')
        if self._run != node.run_number:
            event.Event().wait()
        return delivery.get()

    def _transmit(
        self,
        address: str,
        message: tuple[typing.Any, ...],
        delivery: event.AsyncResult,
    ) -> None:
        node = self._node
        world = node.world
        world.clock.sleep(world.rng.uniform(0.1, _MAX_DELAY_MS))
        peer = world.nodes.get(address)
        if (node.address, address) in world.cuts:
            return
        if peer is None or not peer.is_up or peer.replica is None:
            delivery.set_exception(rpc.CallFailedError(f'{address} is down'))
            return
        if world.rng.random() < world.duplicates:
            gevent.spawn(self._deliver, peer, message)
        answer = self._deliver(peer, message)
        world.clock.sleep(world.rng.uniform(0.1, _MAX_DELAY_MS))
        if answer is None or (address, node.address) in world.cuts:
            return
        delivery.set(answer)

    def _deliver(
        self, peer: Node, message: tuple[typing.Any, ...]
    ) -> typing.Any:
        run = peer.run_number
        if peer.replica is None:
            return None
        try:
            answer = peer.replica.handle(message)
        except errors.MulberryquayError:
            return None
        return answer if run == peer.run_number and peer.is_up else None


class Node:
    """One machine, which may stop, be isolated, or lose its disk."""

    def __init__(self, world: World, address: str) -> None:
        """Creates a stopped node."""
        self.world = world
        self.address = address
        self.run_number = 0
        self.is_up = False
        self.disk_stalls_until = 0.0
        self.disk_is_full = False
        self.machine: typing.Any = world.new_machine(address)
        self.replica: replica.Replica | None = None
        self._wipes = 0

    @property
    def folder(self) -> pathlib.Path:
        """The data folder; each lost disk changes it."""
        return self.world.folder / f'{self.address}-{self._wipes}'

    def start(self, *, is_founding: bool = False) -> None:
        """Starts the node with its current disk."""
        self.run_number += 1
        self.is_up = True
        self.machine = self.world.new_machine(self.address)
        file = journal.Journal(self.folder, file_system=SimulatedDisk(self))
        self.replica = replica.Replica(
            replica.ReplicaOptions(
                self.address, self.world.contacts, is_founding
            ),
            self.machine,
            disk.Disk(file),
            SimulatedNetwork(self),
            time_source=self.world.clock,
            rng=random.Random(self.world.rng.random()),
        )
        gevent.spawn(self.replica.start)

    def stop(self) -> None:
        """Stops the node without warning."""
        self.is_up = False
        self.run_number += 1
        if self.replica is not None:
            self.replica.stop()
            self.replica = None

    def wipe(self) -> None:
        """Stops the node and discards its disk."""
        self.stop()
        self._wipes += 1


class World:
    """A group of simulated nodes, and what its clients observed."""

    def __init__(self, folder: pathlib.Path, *, seed: int) -> None:
        """``seed`` determines all random choices."""
        self.folder = folder
        self.rng = random.Random(seed)
        self.clock = virtual_time.VirtualClock()
        #: Makes the state machine of the node at an address.
        self.new_machine: typing.Callable[[str], typing.Any] = _new_machine
        self.nodes: dict[str, Node] = {}
        self.contacts: tuple[str, ...] = ()
        self.cuts: set[tuple[str, str]] = set()
        self.duplicates = 0.0
        self.acknowledged: list[int] = []
        self.violations: list[str] = []
        self._next_record = 0

    @property
    def live(self) -> list[Node]:
        """The running nodes."""
        return [node for node in self.nodes.values() if node.is_up]

    @property
    def leader(self) -> Node | None:
        """The node that leads in the newest term, if any."""
        leaders = [
            node
            for node in self.live
            if node.replica is not None and node.replica.is_leader
        ]
        leaders.sort(key=_term_of)
        return leaders[-1] if leaders else None

    def start_group(
        self, addresses: typing.Sequence[str], founders: int
    ) -> None:
        """Starts the nodes; the first ``founders`` are the first voters."""
        self.contacts = tuple(addresses[:founders])
        for address in addresses:
            self.nodes[address] = Node(self, address)
            self.nodes[address].start(is_founding=True)

    def cut(
        self, sources: typing.Iterable[str], destinations: typing.Iterable[str]
    ) -> None:
        """Drops all messages from ``sources`` to ``destinations``."""
        destinations = list(destinations)
        for source in sources:
            self.cuts.update(
                (source, destination) for destination in destinations
            )

    def propose(self, node: Node) -> None:
        """Proposes one record at a node; remembers it once acknowledged."""
        self._next_record += 1
        record = self._next_record
        run = node.run_number
        if node.replica is None:
            return
        try:
            node.replica.propose(record, timeout=CALL_MS)
        except errors.MulberryquayError:
            return
        if run == node.run_number:
            self.acknowledged.append(record)

    def read(self, node: Node) -> None:
        """Reads at a node; a missing acknowledged record is a violation."""
        run = node.run_number
        expected = set(self.acknowledged)
        if node.replica is None:
            return
        try:
            node.replica.read_barrier(timeout=CALL_MS)
        except errors.MulberryquayError:
            return
        missing = expected - set(node.machine.records)
        if run == node.run_number and missing:
            self.violations.append(
                f'{self.clock.now():.0f}: a read at {node.address} misses '
                f'{sorted(missing)[:3]}',
            )

    def check_order(self) -> None:
        """Records a violation if orders differ or a record is doubled."""
        longest: list[int] = max(
            (node.machine.records for node in self.live),
            key=len,
            default=[],
        )
        for node in self.live:
            records = node.machine.records
            if records != longest[: len(records)]:
                self.violations.append(
                    f'{self.clock.now():.0f}: {node.address} has another order',
                )
        if len(set(longest)) != len(longest):
            self.violations.append('a record was applied twice')

    def has_converged(self) -> bool:
        """Whether all live nodes vote and have the records of one leader."""
        leader = self.leader
        if leader is None or leader.replica is None:
            return False
        return leader.replica.is_caught_up_leader and all(
            node.replica is not None
            and node.replica.identity in node.replica.members
            and node.machine.records == leader.machine.records
            for node in self.live
        )


def _new_machine(_address: str) -> RecordingMachine:
    return RecordingMachine()


def _term_of(node: Node) -> int:
    return 0 if node.replica is None else node.replica.term
