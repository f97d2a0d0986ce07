"""Tests of the replicated log in virtual time."""

from __future__ import annotations

import contextlib
import functools
import itertools
import typing
import unittest

import gevent

from mulberryquay.coordination import packing
from mulberryquay.coordination.replication import messages
from testing import fixtures
from testing.coordination.replication import world as world_module

CASE: typing.Final = unittest.TestCase()
ADDRESSES: typing.Final = ('a', 'b', 'c', 'd', 'e')

#: How long a disk answers nothing, in ms.
_STALL_MS: typing.Final = 5000.0

#: The shortest drain time of a target, in ms.
_DRAIN_MS: typing.Final = 2000.0

#: In this time a replica that vouches has applied what is committed, in ms.
_APPLY_MS: typing.Final = _DRAIN_MS / 2


@contextlib.contextmanager
def _world(
    seed: int = 1,
    addresses: typing.Sequence[str] = ADDRESSES,
) -> typing.Iterator[world_module.World]:
    with fixtures.folder() as folder:
        world = world_module.World(folder, seed=seed)
        world.start_group(addresses, founders=min(3, len(addresses)))
        try:
            yield world
        finally:
            for node in world.nodes.values():
                node.stop()


def _wait_until_converged(
    world: world_module.World, limit: float = 8000
) -> None:
    CASE.assertTrue(world.clock.run_until(world.has_converged, limit=limit))


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
    """Replicas beyond the founders must be able to join as voters.

    No setting names the size of the group.
    """
    with _world() as world:
        _wait_until_converged(world)
        CASE.assertEqual(_voters(world), list(ADDRESSES))
        _propose(world, 10)
        CASE.assertEqual(len(world.acknowledged), 10)
        _wait_until_converged(world)


def test_one_replica_alone_serves() -> None:
    """A single replica must not wait for others to elect it or to commit."""
    with _world(addresses=['a']) as world:
        _wait_until_converged(world, limit=100)
        _propose(world, 3)
        CASE.assertEqual(world.acknowledged, [1, 2, 3])


def test_leader_without_majority_steps_down_and_others_continue() -> None:
    """An isolated leader must neither acknowledge nor serve stale reads."""
    with _world() as world:
        _wait_until_converged(world)
        old_leader = world.leader
        assert old_leader is not None
        rest = [
            address for address in ADDRESSES if address != old_leader.address
        ]
        world.cut([old_leader.address], rest)
        world.cut(rest, [old_leader.address])
        gevent.spawn(world.propose, old_leader)
        world.clock.run(3000)
        CASE.assertEqual(world.acknowledged, [])
        CASE.assertIsNot(world.leader, old_leader)
        _propose(world, 2)
        CASE.assertEqual(len(world.acknowledged), 2)
        gevent.spawn(world.read, old_leader)
        world.clock.run(1000)
        world.cuts.clear()
        _wait_until_converged(world)
        CASE.assertEqual(world.violations, [])


def test_replica_with_a_lost_disk_does_not_vote_until_it_rejoins() -> None:
    """An empty replica must not help two outdated ones to elect a leader."""
    with _world() as world:
        _wait_until_converged(world)
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
        _wait_until_converged(world, limit=15_000)
        CASE.assertEqual(rest[0].machine.records, world.acknowledged)
        world.clock.run(3000)
        identities = {
            node.replica.identity for node in world.live if node.replica
        }
        members = rest[1].replica.members if rest[1].replica else {}
        CASE.assertEqual(set(members), identities)


def test_learner_replaces_a_stopped_voter() -> None:
    """A stopped voter must not stay a voter once a learner has caught up."""
    with _world() as world:
        _wait_until_converged(world)
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


def test_hand_over_needs_no_election_timeout() -> None:
    """After a hand-over the group must not wait for an election timeout."""
    with _world() as world:
        _wait_until_converged(world)
        old_leader = world.leader
        assert old_leader is not None
        assert old_leader.replica is not None
        gevent.spawn(old_leader.replica.hand_over)
        world.clock.run(300)
        CASE.assertIsNotNone(world.leader)
        CASE.assertIsNot(world.leader, old_leader)


def test_all_replicas_restart_after_hundreds_of_changes() -> None:
    """After a restart of all replicas, no acknowledged change must be missing.

    They elect a leader within 2.5 s.
    """
    with _world() as world:
        _wait_until_converged(world)
        for _ in range(12):
            _propose(world, 100)
        CASE.assertEqual(len(world.acknowledged), 1200)
        for node in list(world.nodes.values()):
            node.stop()
            node.start()
        world.clock.run(2500)
        CASE.assertIsNotNone(world.leader)
        _wait_until_converged(world)
        leader = world.leader
        assert leader is not None
        CASE.assertEqual(leader.machine.records, world.acknowledged)


def test_learner_far_behind_gets_a_snapshot() -> None:
    """A new replica must not lack records that the log no longer holds.

    The leader has compacted the log, so it must send a snapshot.
    """
    with _world() as world:
        _wait_until_converged(world)
        for _ in range(12):
            _propose(world, 100)
        world.nodes['f'] = world_module.Node(world, 'f')
        world.nodes['f'].start()
        _wait_until_converged(world)
        CASE.assertEqual(
            world.nodes['f'].machine.records,
            world.acknowledged,
        )


def test_record_without_encoding_is_refused_and_stops_no_replica() -> None:
    """Guards against a record in the log that no replica can write or send.

    The leader's disk writer and its replication tasks ended on it, and so did
    those of each next leader. Issue 34.
    """
    with _world() as world:
        _wait_until_converged(world)
        leader = world.leader
        assert leader is not None
        assert leader.replica is not None
        with CASE.assertRaises(packing.UnencodableError):
            leader.replica.propose('\ud800', timeout=world_module.CALL_MS)
        _propose(world, 2)
        CASE.assertEqual(len(world.acknowledged), 2)
        CASE.assertIs(world.leader, leader)
        _wait_until_converged(world)


def test_full_disks_acknowledge_nothing_and_the_group_recovers() -> None:
    """Records that no majority can sync must not be acknowledged."""
    with _world() as world:
        _wait_until_converged(world)
        for node in world.live:
            node.disk_is_full = True
        _propose(world)
        CASE.assertEqual(world.acknowledged, [])
        for node in world.live:
            node.disk_is_full = False
        _wait_until_converged(world)
        _propose(world)
        CASE.assertEqual(len(world.acknowledged), 1)


def test_stalled_disks_of_a_minority_delay_no_commit() -> None:
    """Commits must not wait for the stalled disks of a minority.

    The disks of the leader and of one other replica stall."""
    with _world() as world:
        _wait_until_converged(world)
        leader = world.leader
        assert leader is not None
        other = next(node for node in world.live if node is not leader)
        for node in (leader, other):
            node.disk_stalls_until = world.clock.now() + 3500
        _propose(world, 3)
        CASE.assertEqual(len(world.acknowledged), 3)
        world.clock.run(4000)
        _wait_until_converged(world)


def test_read_that_begins_before_the_election_waits_for_it() -> None:
    """A read just after a restart must not fail before a leader is elected."""
    with _world(addresses=['a']) as world:
        _wait_until_converged(world, limit=100)
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
    """A restarted replica must not need a leader to apply committed records."""
    with _world() as world:
        _wait_until_converged(world)
        _propose(world, 10)
        world.clock.run(2000)
        for node in world.live:
            node.stop()
        last = world.nodes['d']
        last.start()
        CASE.assertEqual(last.machine.records, world.acknowledged)
        world.clock.run(1000)
        CASE.assertIsNone(world.leader)


def _lead_from_behind(world: world_module.World, terms_ahead: int) -> None:
    """Leaves two of three live; the shorter log has the later term."""
    _wait_until_converged(world)
    leader = world.leader
    assert leader is not None
    behind, stopped = (node for node in world.live if node is not leader)
    stopped.stop()
    world.cut([leader.address], [behind.address])
    world.cut([behind.address], [leader.address])
    gevent.spawn(world.propose, leader)
    world.clock.run(2000)
    assert behind.replica is not None
    for _ in range(terms_ahead):
        behind.replica.handle(
            messages.HandoverRequest(
                behind.replica.identity, behind.replica.term
            )
        )
        world.clock.run(1000)
    world.cuts.clear()


def test_replica_several_terms_behind_is_elected() -> None:
    """A candidate must learn the later term of a voter that refuses it.

    Of two live replicas of three, the one with the shorter log may be several
    terms ahead. Only the other one can win, in a term after those.
    """
    for seed, terms_ahead in itertools.product(range(1, 4), (1, 2, 3, 5)):
        with (
            CASE.subTest(seed=seed, terms_ahead=terms_ahead),
            _world(seed, ADDRESSES[:3]) as world,
        ):
            _lead_from_behind(world, terms_ahead)
            is_led = functools.partial(_has_leader, world)
            CASE.assertTrue(world.clock.run_until(is_led, limit=60_000))
            CASE.assertEqual(world.violations, [])


def _has_leader(world: world_module.World) -> bool:
    return world.leader is not None


def test_repeated_snapshot_is_acknowledged_once_it_is_synced() -> None:
    """A follower must not acknowledge a snapshot that a crash would lose."""
    with _world(addresses=ADDRESSES[:3]) as world:
        _wait_until_converged(world)
        leader = world.leader
        assert leader is not None
        assert leader.replica is not None
        follower = next(node for node in world.live if node is not leader)
        assert follower.replica is not None
        request = messages.SnapshotRequest(
            follower.replica.identity,
            leader.replica.identity,
            leader.replica.term,
            leader.replica.last_index + 100,
            leader.replica.term,
            leader.replica.members,
            [1, 2, 3],
        )
        world.cut([leader.address], [follower.address])
        follower.disk_stalls_until = world.clock.now() + 500
        handle = follower.replica.handle
        answers = [gevent.spawn(handle, request) for _ in range(2)]
        world.clock.run(400)
        CASE.assertEqual([task.ready() for task in answers], [False, False])
        world.clock.run(400)
        CASE.assertTrue(all(task.get().is_accepted for task in answers))


def test_replica_with_a_stalled_disk_vouches_only_for_what_it_applied() -> None:
    """Hosts granted leases while committed records waited for their disks."""
    with _world() as world:
        _wait_until_converged(world)
        leader = world.leader
        stalled = next(node for node in world.live if node is not leader)
        stalled.disk_stalls_until = world.clock.now() + _STALL_MS
        _propose(world, 3)
        CASE.assertEqual(len(world.acknowledged), 3)
        _check_vouching(world, stalled)


def test_replica_behind_the_leader_vouches_only_for_what_it_applied() -> None:
    """A call from the leader was contact, even with the log still behind."""
    with _world() as world:
        _wait_until_converged(world)
        leader = world.leader
        assert leader is not None
        behind = next(node for node in world.live if node is not leader)
        behind.stop()
        _propose(world, 300)
        behind.start()
        behind.disk_stalls_until = world.clock.now() + _STALL_MS
        _check_vouching(world, behind)


def test_followers_of_a_leader_without_majority_stop_vouching() -> None:
    """Its calls were contact until it stepped down, and for a while after."""
    for seed in range(10):
        with _world(seed) as world:
            _wait_until_converged(world)
            leader = world.leader
            assert leader is not None
            follower, *rest = [node for node in world.live if node != leader]
            minority = [leader.address, follower.address]
            majority = [node.address for node in rest]
            world.cut(minority, majority)
            world.cut(majority, minority)
            world.clock.run(_DRAIN_MS)
            assert follower.replica is not None
            CASE.assertFalse(follower.replica.is_in_touch, f'seed {seed}')


def _check_vouching(world: world_module.World, node: world_module.Node) -> None:
    """Checks that no replica in touch lacks what was committed before."""
    expected = set(world.acknowledged)
    world.clock.run(_APPLY_MS)
    for _ in range(60):
        replica = node.replica
        assert replica is not None
        if replica.is_in_touch:
            missing = expected - set(node.machine.records)
            CASE.assertFalse(missing, f'at {world.clock.now():.0f} ms')
        world.clock.run(100)
    CASE.assertEqual(expected, set(node.machine.records))
