"""Tests of how long a request waits for a target."""

from __future__ import annotations

import random
import typing
import unittest

import gevent

from mulberryquay import protocol
from mulberryquay.coordination import shares
from mulberryquay.entry import (
    balancer,
    outcomes,
    relays,
    routing,
    service_queue,
)
from mulberryquay.entry.policies import expected_time
from testing import fixtures, virtual_time

CASE: typing.Final = unittest.TestCase()

_SERVICE: typing.Final = routing.Service('stock', 5000, 1000, 100)
_OWN_LIST: typing.Final = shares.EntryList(1, ('entry-1',))


class _Scene:
    """An entry with one cold target, in virtual time."""

    def __init__(self) -> None:
        """Starts outside of the entry list, so that no share is its own."""
        self.clock = virtual_time.VirtualClock()
        self.shares = shares.ShareView('entry-1')
        rng = random.Random(1)
        peers = relays.Relays('entry-1', self.shares, self.clock, rng)
        self.balancer = balancer.Balancer(
            self.shares,
            lambda: expected_time.ExpectedTime(rng),
            self.clock,
            region='north',
            domain='north-1',
            peers=peers,
        )
        row = fixtures.warm_row('t', '127.0.0.1:1')
        row = row._replace(is_warm=False, allowance=1)
        self.balancer.set_fresh(is_fresh=True)
        self.balancer.apply(
            protocol.TargetsChanged([list(row)], [], is_complete=True)
        )

    def acquire(
        self, *, deadline: float, may_relay: bool = True
    ) -> gevent.Greenlet:
        """Starts a task that waits for a target."""
        criteria = service_queue.TargetCriteria(
            _SERVICE,
            routing.ServiceClass(),
            None,
            deadline,
            may_relay=may_relay,
        )
        queue = self.balancer.queue_for('stock')
        return gevent.spawn(queue.acquire, criteria, frozenset())

    def leave_list(self) -> None:
        """Commits an entry list without this entry."""
        self.shares.commit(shares.EntryList(2, ('entry-2',)))
        self.balancer.refresh_limits()

    def join_list(self) -> None:
        """Commits an entry list with this entry."""
        self.shares.commit(_OWN_LIST)
        self.balancer.refresh_limits()


def test_request_waits_for_a_share_while_the_entry_list_changes() -> None:
    """Issue 20: a starting entry must not refuse what it can soon serve."""
    scene = _Scene()
    waiting = scene.acquire(deadline=5000)
    scene.clock.run(1500)
    CASE.assertFalse(waiting.ready())
    scene.join_list()
    scene.clock.run(100)
    CASE.assertEqual(waiting.get().row.name, 't')


def _refusal_of(waiting: gevent.Greenlet) -> outcomes.RefusedError:
    """Returns the error with which a task that waits has ended."""
    CASE.assertTrue(waiting.ready())
    with CASE.assertRaises(outcomes.RefusedError) as caught:
        waiting.get()
    return caught.exception


def test_request_waits_for_a_share_at_most_until_its_deadline() -> None:
    """A request that nobody awaits must not hold a place."""
    scene = _Scene()
    waiting = scene.acquire(deadline=300)
    scene.clock.run(320)
    CASE.assertEqual(_refusal_of(waiting).outcome, outcomes.Outcome.NOT_RUN)


def test_entry_that_left_the_list_refuses_relayed_requests_at_once() -> None:
    """Issue 20: a request must not wait at an entry that gets no share."""
    scene = _Scene()
    scene.leave_list()
    waiting = scene.acquire(deadline=5000, may_relay=False)
    scene.clock.run(20)
    CASE.assertEqual(_refusal_of(waiting).reason, outcomes.Reason.NO_TARGET)


def test_relayed_request_waits_until_the_pending_list_is_settled() -> None:
    """The entry that relays may have the new list a moment earlier."""
    scene = _Scene()
    scene.leave_list()
    scene.shares.propose(shares.EntryList(3, ('entry-1',)))
    waiting = scene.acquire(deadline=5000, may_relay=False)
    scene.clock.run(1500)
    CASE.assertFalse(waiting.ready())
    scene.shares.commit(shares.EntryList(3, ('entry-1',)))
    scene.balancer.refresh_limits()
    scene.clock.run(100)
    CASE.assertEqual(waiting.get().row.name, 't')
