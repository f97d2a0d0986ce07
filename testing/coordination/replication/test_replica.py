"""Tests of the replicated log in virtual time."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent

from testing import fixtures
from testing.coordination.replication import world as world_module

CASE: typing.Final = unittest.TestCase()
FIVE: typing.Final = ('a', 'b', 'c', 'd', 'e')


@contextlib.contextmanager
def _world(
    seed: int = 1,
    addresses: typing.Sequence[str] = FIVE,
) -> typing.Iterator[world_module.World]:
    with fixtures.folder() as folder:
        world = world_module.World(folder, seed=seed)
        world.found(addresses, founders=min(3, len(addresses)))
        try:
            yield world
        finally:
            for node in world.nodes.values():
                node.stop()


def _wait(world: world_module.World, limit: float = 8000) -> None:
    CASE.assertTrue(world.clock.run_until(world.has_settled, limit=limit))


def _propose(world: world_module.World, count: int = 1) -> None:
    leader = world.leader
    assert leader is not None
    for _ in range(count):
        gevent.spawn(world.propose, leader)
    world.clock.run(1000)


def _voters(world: world_module.World) -> list[str]:
    leader = world.leader
    assert leader is not None
    assert leader.replica is not None
    return sorted(leader.replica.members.values())


def test_founders_elect_and_others_become_voters() -> None:
    """Nobody is told how many replicas there are."""
    with _world() as world:
        _wait(world)
        CASE.assertEqual(_voters(world), list(FIVE))
        _propose(world, 10)
        CASE.assertEqual(len(world.acknowledged), 10)
        _wait(world)


def test_one_replica_alone_serves() -> None:
    """The smallest installation."""
    with _world(addresses=['a']) as world:
        _wait(world, limit=100)
        _propose(world, 3)
        CASE.assertEqual(world.acknowledged, [1, 2, 3])


def test_leader_without_majority_steps_down_and_others_go_on() -> None:
    """A cut-off leader acknowledges nothing and answers no read."""
    with _world() as world:
        _wait(world)
        old = world.leader
        assert old is not None
        rest = [address for address in FIVE if address != old.address]
        world.cut([old.address], rest)
        world.cut(rest, [old.address])
        gevent.spawn(world.propose, old)
        world.clock.run(3000)
        CASE.assertEqual(world.acknowledged, [])
        CASE.assertIsNot(world.leader, old)
        _propose(world, 2)
        CASE.assertEqual(len(world.acknowledged), 2)
        gevent.spawn(world.read, old)
        world.clock.run(1000)
        world.cuts.clear()
        _wait(world)
        CASE.assertEqual(world.violations, [])


def test_lost_disk_does_not_vote_until_it_is_a_member_again() -> None:
    """Two replicas that missed a change and an empty one elect nobody."""
    with _world() as world:
        _wait(world)
        leader = world.leader
        assert leader is not None
        others = [node for node in world.live if node is not leader]
        behind, rest = others[:2], [leader, *others[2:]]
        names = [node.address for node in behind]
        world.cut(names, [node.address for node in rest])
        world.cut([node.address for node in rest], names)
        _propose(world)
        CASE.assertEqual(len(world.acknowledged), 1)
        for node in rest:
            node.stop()
        rest[0].wipe()
        world.cuts.clear()
        rest[0].start()
        world.clock.run(6000)
        CASE.assertIsNone(world.leader)
        rest[1].start()
        rest[2].start()
        _wait(world, limit=15_000)
        CASE.assertEqual(rest[0].machine.records, world.acknowledged)
        world.clock.run(3000)
        identities = {
            node.replica.identity for node in world.live if node.replica
        }
        members = rest[1].replica.members if rest[1].replica else {}
        CASE.assertEqual(set(members), identities)


def test_replaced_replica_loses_its_place_to_the_newcomer() -> None:
    """The tolerance is back once the newcomer has caught up."""
    with _world() as world:
        _wait(world)
        _propose(world, 5)
        world.nodes.pop('d').stop()
        world.nodes['f'] = world_module.Node(world, 'f')
        world.nodes['f'].start()
        world.clock.run(5000)
        CASE.assertEqual(_voters(world), ['a', 'b', 'c', 'e', 'f'])
        CASE.assertEqual(
            world.nodes['f'].machine.records,
            world.acknowledged,
        )


def test_leader_hands_over_when_it_stops() -> None:
    """No election has to be waited for."""
    with _world() as world:
        _wait(world)
        old = world.leader
        assert old is not None
        assert old.replica is not None
        gevent.spawn(old.replica.hand_over)
        world.clock.run(300)
        CASE.assertIsNotNone(world.leader)
        CASE.assertIsNot(world.leader, old)


def test_all_replicas_restart_after_hundreds_of_changes() -> None:
    """They lead again within a second or two and hold all of them."""
    with _world() as world:
        _wait(world)
        for _ in range(12):
            _propose(world, 100)
        CASE.assertEqual(len(world.acknowledged), 1200)
        for node in list(world.nodes.values()):
            node.stop()
            node.start()
        world.clock.run(2500)
        CASE.assertIsNotNone(world.leader)
        _wait(world)
        leader = world.leader
        assert leader is not None
        CASE.assertEqual(leader.machine.records, world.acknowledged)


def test_newcomer_far_behind_gets_a_snapshot() -> None:
    """Its log does not reach back to the entries that it needs."""
    with _world() as world:
        _wait(world)
        for _ in range(12):
            _propose(world, 100)
        world.nodes['f'] = world_module.Node(world, 'f')
        world.nodes['f'].start()
        _wait(world)
        CASE.assertEqual(
            world.nodes['f'].machine.records,
            world.acknowledged,
        )


def test_full_disk_does_not_acknowledge_and_recovers() -> None:
    """What cannot be synced by a majority is not acknowledged."""
    with _world() as world:
        _wait(world)
        for node in world.live:
            node.disk_is_full = True
        _propose(world)
        CASE.assertEqual(world.acknowledged, [])
        for node in world.live:
            node.disk_is_full = False
        _wait(world)
        _propose(world)
        CASE.assertEqual(len(world.acknowledged), 1)


def test_stalled_disks_of_a_minority_hold_nobody() -> None:
    """Not even when the leader's own disk is one of them."""
    with _world() as world:
        _wait(world)
        leader = world.leader
        assert leader is not None
        other = next(node for node in world.live if node is not leader)
        for node in (leader, other):
            node.disk_stalls_until = world.clock.now() + 3500
        _propose(world, 3)
        CASE.assertEqual(len(world.acknowledged), 3)
        world.clock.run(4000)
        _wait(world)


def test_read_that_begins_before_the_election_waits_for_it() -> None:
    """A single replica answers at once after its restart."""
    with _world(addresses=['a']) as world:
        _wait(world, limit=100)
        _propose(world, 3)
        node = world.nodes['a']
        node.stop()
        node.start()
        assert node.replica is not None
        reading = gevent.spawn(node.replica.read_barrier, timeout=500)
        world.clock.run(400)
        CASE.assertTrue(reading.successful())
        CASE.assertEqual(node.machine.records, world.acknowledged)


def test_replica_alone_after_a_restart_has_what_was_committed() -> None:
    """It does not wait for a leader to know what of its log counts."""
    with _world() as world:
        _wait(world)
        _propose(world, 10)
        world.clock.run(2000)
        for node in world.live:
            node.stop()
        last = world.nodes['d']
        last.start()
        CASE.assertEqual(last.machine.records, world.acknowledged)
        world.clock.run(1000)
        CASE.assertIsNone(world.leader)
