"""Tests of a queue whose requests compete for the room of targets."""

from __future__ import annotations

import random
import typing
import unittest

import gevent

from mulberryquay import protocol
from mulberryquay.coordination import clock, shares
from mulberryquay.decisions import callers
from mulberryquay.entry import (
    balancer,
    competition,
    dialect,
    http_heads,
    outcomes,
    relays,
    routing,
    service_queue,
    targets,
)
from mulberryquay.entry.policies import expected_time
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_SERVICE: typing.Final = routing.Service('stock', 5000, 1000, 100)
_USUAL_MS: typing.Final = 300.0
_NONE_EXCLUDED: typing.Final[frozenset[str]] = frozenset()
_ANSWER: typing.Final = outcomes.Received(
    http_heads.ResponseHead(
        200,
        http_heads.HeaderBlock(),
        [],
        http_heads.Framing.LENGTH,
        0,
        keeps_alive=True,
    ),
    typing.cast(typing.Any, None),
    b'',
)


class _Scene:
    """An entry with one target of four slots."""

    def __init__(self) -> None:
        """Starts with answers that took the usual time."""
        self.clock = clock.ManualClock(start=10_000)
        view = shares.ShareView('entry-1')
        view.commit(shares.EntryList(1, ('entry-1',)))
        rng = random.Random(43)
        entry = balancer.Balancer(
            view,
            lambda: expected_time.ExpectedTime(rng),
            self.clock,
            region='north',
            domain='north-1',
            peers=relays.Relays('entry-1', view, self.clock, rng),
        )
        entry.new_rivalry = lambda: competition.Competition(
            view, self.clock, rng
        )
        row = fixtures.warm_row('t', '127.0.0.1:1')
        entry.apply(protocol.TargetsChanged([list(row)], [], is_complete=True))
        self.queue = entry.queue_for('stock')
        self.report(running=0)
        for _ in range(20):
            self.queue.record_result(
                self.criteria(),
                self.target,
                _ANSWER,
                load=0.25,
                duration=_USUAL_MS,
            )

    @property
    def target(self) -> targets.TargetState:
        """The target."""
        return self.queue.targets['t']

    def report(self, *, running: int) -> None:
        """Records a report of the target, with the calls of all entries."""
        self.target.record_report(dialect.LoadReport(running), age=0)

    def criteria(
        self, *, left_ms: float = 2000, account: str = 'a'
    ) -> service_queue.TargetCriteria:
        """Returns a request that arrives now."""
        now = self.clock.now()
        return service_queue.TargetCriteria(
            _SERVICE,
            routing.ServiceClass(),
            None,
            now + left_ms,
            caller=callers.Caller(account),
            need=competition.Need('stock', now, 800),
        )

    def acquire(self, **request: typing.Any) -> targets.TargetState:
        """Returns a target, or raises the refusal."""
        return self.queue.acquire(self.criteria(**request), _NONE_EXCLUDED)

    def start_acquiring(self, account: str) -> gevent.Greenlet:
        """Starts a task that waits for a target."""
        return gevent.spawn(self.acquire, account=account)


def test_request_that_will_not_be_in_time_is_refused_as_not_run() -> None:
    """A request must not wait for a target until nothing can be done."""
    scene = _Scene()
    scene.report(running=4)
    with CASE.assertRaises(outcomes.RefusedError) as caught:
        scene.acquire(left_ms=320)
    refusal = caught.exception
    CASE.assertEqual(refusal.reason, outcomes.Reason.WONT_BE_IN_TIME)
    CASE.assertEqual(refusal.outcome, outcomes.Outcome.NOT_RUN)
    CASE.assertEqual(refusal.status, 503)
    CASE.assertGreater(refusal.retry_after_s, 0)
    CASE.assertLessEqual(refusal.retry_after_s * clock.MS_PER_SECOND, 320)


def test_free_target_is_used_although_time_is_short() -> None:
    """What a free target can still serve in time must not be refused."""
    scene = _Scene()
    CASE.assertIs(scene.acquire(left_ms=320), scene.target)


def test_request_for_which_time_cannot_suffice_is_not_sent() -> None:
    """Calls that can't be answered must not fill a target."""
    scene = _Scene()
    with CASE.assertRaises(outcomes.RefusedError) as caught:
        scene.acquire(left_ms=50)
    CASE.assertEqual(caught.exception.reason, outcomes.Reason.WONT_BE_IN_TIME)


def test_target_is_not_filled_beyond_what_others_left_free() -> None:
    """A target that hangs when full must not be filled by many entries."""
    scene = _Scene()
    scene.report(running=2)
    scene.acquire()
    waiting = scene.start_acquiring('a')
    gevent.sleep(0)
    CASE.assertFalse(waiting.ready())
    scene.report(running=1)
    scene.queue.serve_waiting()
    CASE.assertIs(waiting.get(), scene.target)


def test_freed_target_goes_to_accounts_in_turn() -> None:
    """An account that sent many requests must not go first each time."""
    scene = _Scene()
    scene.report(running=4)
    burst = [scene.start_acquiring('burst') for _ in range(3)]
    gevent.sleep(0)
    calm = scene.start_acquiring('calm')
    gevent.sleep(0)
    # The target bears two calls more, of which one account gets each.
    scene.report(running=1)
    scene.queue.serve_waiting()
    gevent.sleep(0)
    CASE.assertTrue(calm.ready())
    CASE.assertEqual([task.ready() for task in burst], [True, False, False])
    gevent.killall([calm, *burst])


def test_request_that_is_killed_frees_its_place() -> None:
    """A caller that is gone must not be served."""
    scene = _Scene()
    scene.report(running=4)
    waiting = scene.start_acquiring('a')
    gevent.sleep(0)
    CASE.assertEqual(scene.queue.waiting_count, 1)
    waiting.kill()
    CASE.assertEqual(scene.queue.waiting_count, 0)
    CASE.assertEqual(scene.target.in_flight, 0)
