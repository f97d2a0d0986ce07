"""Tests of targets that name in their answers the rate that they take."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
import hypothesis
from hypothesis import strategies

from mulberryquay import protocol
from mulberryquay.control import announcements, directory, replicated_state
from mulberryquay.coordination import clock, shares
from mulberryquay.entry import daemon, header_names, rate_limit
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

#: What the users' rule allows a target that named a rate: in any window, this
#: many times the rate and some requests more, once the time to react is over.
_WINDOW_MS: typing.Final = 4000.0
_ALLOWED_FACTOR: typing.Final = 1.5
_ALLOWED_EXTRA: typing.Final = 5
_REACTION_MS: typing.Final = 3000.0

_PER_S: typing.Final = 3
_CALL_INTERVAL_MS: typing.Final = 50.0


class _RateLimitedTarget:
    """Handles requests, names a rate limit, and records the arrivals."""

    def __init__(self, per_s: float) -> None:
        self.per_s: float | None = per_s
        self.arrivals: list[float] = []

    def handle(self, _request: target.ReceivedRequest) -> target.Answer:
        """Answers at once."""
        self.arrivals.append(clock.Clock().now())
        if self.per_s is None:
            return target.Answer(body=b'limited')
        limit = (header_names.RATE_LIMIT, b'%.2f' % self.per_s)
        return target.Answer(body=b'limited', headers=[limit])

    def most_in_window(self) -> int:
        """Returns the most arrivals in a window after the reaction time."""
        counted = [
            arrival
            for arrival in self.arrivals
            if arrival >= self.arrivals[0] + _REACTION_MS
        ]
        return max(
            (
                sum(
                    began <= arrival < began + _WINDOW_MS for arrival in counted
                )
                for began in counted
            ),
            default=0,
        )


def _call_repeatedly(
    entry: daemon.EntryDaemon, stopped: list[bool], outcomes: list[str]
) -> None:
    while not stopped:
        outcomes.append(fixtures.ask(entry, '/stock/x').outcome)
        gevent.sleep(_CALL_INTERVAL_MS / clock.MS_PER_SECOND)


def test_all_entries_together_keep_the_rate_that_a_target_named() -> None:
    """Issue 28: the sum over entries must keep the rate, not each of them."""
    limited = _RateLimitedTarget(_PER_S)
    with fixtures.control() as control, contextlib.ExitStack() as stack:
        control.declare(service_class={'idempotent': True})
        stack.enter_context(
            fixtures.announced_target(control, 'limited', limited.handle)
        )
        stack.enter_context(fixtures.announced_target(control, 'free'))
        entries = [
            stack.enter_context(fixtures.entry(control, f'e{number}'))
            for number in range(4)
        ]
        for entry in entries:
            fixtures.wait_for_targets(entry, 'limited', 'free')
        stopped: list[bool] = []
        outcomes: list[str] = []
        callers = [
            gevent.spawn(_call_repeatedly, entry, stopped, outcomes)
            for entry in entries
        ]
        gevent.sleep((_REACTION_MS + _WINDOW_MS) / clock.MS_PER_SECOND)
        stopped.append(True)
        gevent.joinall(callers, raise_error=True)
    allowed = _PER_S * _WINDOW_MS / clock.MS_PER_SECOND
    CASE.assertLessEqual(
        limited.most_in_window(), allowed * _ALLOWED_FACTOR + _ALLOWED_EXTRA
    )
    CASE.assertEqual(set(outcomes), {'answered/none'})


def _call_if_due(
    limit: rate_limit.RateLimit, manual_clock: clock.ManualClock
) -> list[float]:
    """Sends a call if the limit allows one; returns when, if so."""
    now = manual_clock.now()
    if not limit.is_due(now):
        return []
    limit.begin_call(now)
    return [now]


@fixtures.hypothesis_settings(50)
@hypothesis.given(strategies.integers(1, 40), strategies.floats(0.05, 60))
def test_eager_entries_keep_the_rate_in_every_window(
    entry_count: int, per_s: float
) -> None:
    """Bursts of many entries must not add up beyond the rate."""
    manual_clock = clock.ManualClock()
    members = tuple(f'entry-{number}' for number in range(entry_count))
    limits = []
    for entry in members:
        limit = rate_limit.RateLimit('t', manual_clock, lambda: None)
        limit.observe(per_s, rate_limit.Source.ANSWER)
        limit.grant_share(
            shares.rate_share_of(
                per_s, target='t', entry=entry, members=members
            )
        )
        limits.append(limit)
    arrivals: list[float] = []
    manual_clock.advance(_WINDOW_MS)
    for _ in range(int(_WINDOW_MS / 10)):
        for limit in limits:
            arrivals.extend(_call_if_due(limit, manual_clock))
        manual_clock.advance(10)
    allowed = per_s * _WINDOW_MS / clock.MS_PER_SECOND
    CASE.assertLessEqual(
        len(arrivals), allowed * _ALLOWED_FACTOR + _ALLOWED_EXTRA
    )
    CASE.assertGreaterEqual(len(arrivals), int(allowed * 0.9) - entry_count)


def _limit(manual_clock: clock.ManualClock) -> rate_limit.RateLimit:
    return rate_limit.RateLimit('t', manual_clock, lambda: None)


def test_answer_from_before_the_limit_is_no_news() -> None:
    """An entry must not undo a limit that it has not observed yet."""
    manual_clock = clock.ManualClock()
    limit = _limit(manual_clock)
    limit.observe(None, rate_limit.Source.ANSWER)
    limit.accept(4)
    CASE.assertFalse(limit.has_report)
    CASE.assertEqual(limit.per_s, 4)


def test_new_limit_is_reported_until_it_is_announced() -> None:
    """A report that got lost must be sent again."""
    manual_clock = clock.ManualClock()
    limit = _limit(manual_clock)
    limit.observe(4, rate_limit.Source.ANSWER)
    limit.accept(None)
    CASE.assertEqual(limit.per_s, 4)
    CASE.assertTrue(limit.has_report)
    limit.accept(4)
    CASE.assertFalse(limit.has_report)


def test_old_observation_yields_to_control_hosts() -> None:
    """An entry without calls to a target must learn that a limit ended."""
    manual_clock = clock.ManualClock()
    limit = _limit(manual_clock)
    limit.observe(4, rate_limit.Source.ANSWER)
    manual_clock.advance(rate_limit.OBSERVATION_MS + 1)
    CASE.assertFalse(limit.has_report)
    limit.accept(None)
    CASE.assertIsNone(limit.per_s)


def test_probe_without_limit_ends_only_a_limit_that_probes_name() -> None:
    """Targets may name the limit on answers to requests only."""
    limit = _limit(clock.ManualClock())
    limit.observe(4, rate_limit.Source.ANSWER)
    limit.observe(None, rate_limit.Source.PROBE)
    CASE.assertEqual(limit.per_s, 4)
    limit.observe(3, rate_limit.Source.PROBE)
    limit.observe(None, rate_limit.Source.PROBE)
    CASE.assertIsNone(limit.per_s)


def test_report_of_an_earlier_incarnation_is_ignored() -> None:
    """A restarted target must not inherit the limit of the one before."""
    ended = replicated_state.ReplicatedState().ended_targets
    targets = directory.Directory(clock.ManualClock(), ended=ended)
    targets.announce(fixtures.announcement('t', '127.0.0.1:1', incarnation=2))
    targets.record_rate_limit('t', protocol.RateLimitReport(1, 4))
    CASE.assertIsNone(targets.get('t').rate_per_s)
    targets.record_rate_limit('t', protocol.RateLimitReport(2, 4))
    targets.announce(
        fixtures.announcement('t', '127.0.0.1:1', incarnation=2, sequence=7)
    )
    CASE.assertEqual(targets.get('t').rate_per_s, 4)
    targets.announce(fixtures.announcement('t', '127.0.0.1:1', incarnation=3))
    CASE.assertIsNone(targets.get('t').rate_per_s)


def _check_restored(
    restore: typing.Callable[[directory.Directory], None],
) -> None:
    """Checks that ``restore`` works before and after an announcement."""
    announced = fixtures.announcement('t', '127.0.0.1:1', incarnation=2)
    for is_target_first in (True, False):
        ended = replicated_state.ReplicatedState().ended_targets
        targets = directory.Directory(clock.ManualClock(), ended=ended)
        if is_target_first:
            targets.announce(announced)
        restore(targets)
        targets.announce(announced)
        CASE.assertEqual(targets.get('t').rate_per_s, 4)


def test_restarted_control_host_restores_rate_limits() -> None:
    """A limit that entries or other control hosts know must stay in force."""
    announced = fixtures.announcement('t', '127.0.0.1:1', incarnation=2)
    row = announcements.parse(announced)._replace(rate_per_s=4)
    known = protocol.RateLimitReport(2, 4)
    _check_restored(lambda targets: targets.restore_rate_limit('t', known))
    _check_restored(lambda targets: targets.merge_announced(row))


def test_limit_known_from_before_a_restart_does_not_undo_a_newer_one() -> None:
    """Another entry may have observed a change since the restart."""
    ended = replicated_state.ReplicatedState().ended_targets
    targets = directory.Directory(clock.ManualClock(), ended=ended)
    targets.announce(fixtures.announcement('t', '127.0.0.1:1', incarnation=2))
    targets.record_rate_limit('t', protocol.RateLimitReport(2, 3))
    targets.restore_rate_limit('t', protocol.RateLimitReport(2, 4))
    CASE.assertEqual(targets.get('t').rate_per_s, 3)


def _limit_at(entry: daemon.EntryDaemon) -> float | None:
    limited = entry.state.balancer.all_targets['limited']
    return limited.rate_limit.per_s


@contextlib.contextmanager
def _two_entries(
    limited: _RateLimitedTarget, **service_class: bool
) -> typing.Iterator[tuple[daemon.EntryDaemon, daemon.EntryDaemon]]:
    """Yields two entries that know the one target of a service."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'e0') as first,
        fixtures.entry(control, 'e1') as second,
        fixtures.announced_target(control, 'limited', limited.handle),
    ):
        control.declare(service_class=service_class or None)
        for entry in (first, second):
            fixtures.wait_for_targets(entry, 'limited')
        control.wait_in_force()
        yield first, second


def test_entries_learn_a_limit_and_its_end_from_each_other() -> None:
    """An entry that a target did not tell must keep the limit, too."""
    limited = _RateLimitedTarget(_PER_S)
    with _two_entries(limited) as (told, untold):
        fixtures.ask(told, '/stock/x')
        fixtures.wait_until(lambda: _limit_at(untold) == _PER_S)
        limited.per_s = None
        fixtures.ask(told, '/stock/x')
        fixtures.wait_until(lambda: _limit_at(untold) is None)


def test_entry_without_a_share_relays_to_one_that_has_it() -> None:
    """Callers of any entry must be served while a target has room."""
    limited = _RateLimitedTarget(1)
    with _two_entries(limited) as (first, second):
        fixtures.ask(first, '/stock/x')
        fixtures.wait_until(lambda: _limit_at(second) == 1)
        for entry in (first, second):
            CASE.assertEqual(
                fixtures.ask(entry, '/stock/x').outcome, 'answered/none'
            )


def test_limit_outlives_a_restart_of_the_control_host() -> None:
    """A control host that forgot a limit must not end it at entries."""
    limited = _RateLimitedTarget(_PER_S)
    with contextlib.ExitStack() as stack:
        data_folder = stack.enter_context(fixtures.folder())
        with fixtures.control(data_folder) as first:
            first.declare()
            feed_port = first.daemon.feed_port
            entry = stack.enter_context(fixtures.entry(first))
            stand_in = stack.enter_context(
                fixtures.announced_target(first, 'limited', limited.handle)
            )
            fixtures.wait_for_targets(entry, 'limited')
            first.wait_in_force()
            fixtures.ask(entry, '/stock/x')
            announced = first.daemon.targets
            fixtures.wait_until(
                lambda: announced.get('limited').rate_per_s == _PER_S
            )
            incarnation = announced.get('limited').incarnation
        gevent.sleep(rate_limit.OBSERVATION_MS / clock.MS_PER_SECOND)
        with fixtures.control(data_folder, feed_port=feed_port) as restarted:
            announcement = fixtures.announcement(
                'limited',
                stand_in.address,
                incarnation=incarnation,
                sequence=7,
            )
            restarted.daemon.targets.announce(announcement)
            known = entry.state.balancer.all_targets['limited']
            fixtures.wait_until(lambda: known.row.sequence == 7)
            CASE.assertEqual(_limit_at(entry), _PER_S)


def test_end_of_a_limit_releases_requests_in_steps() -> None:
    """Requests that wait at all entries must not reach the target at once."""
    manual_clock = clock.ManualClock()
    members = tuple(f'entry-{number}' for number in range(15))
    limits = {
        member: rate_limit.RateLimit('t', manual_clock, lambda: None)
        for member in members
    }
    arrivals: list[float] = []
    for elapsed in range(0, int(_WINDOW_MS), 10):
        for member, limit in limits.items():
            if elapsed == 0:
                limit.observe(_PER_S, rate_limit.Source.ANSWER)
            if elapsed == int(_WINDOW_MS - clock.MS_PER_SECOND):
                limit.observe(None, rate_limit.Source.ANSWER)
            limit.release()
            limit.grant_share(
                shares.rate_share_of(
                    limit.bound_per_s or 0,
                    target='t',
                    entry=member,
                    members=members,
                )
            )
            arrivals.extend(_call_if_due(limit, manual_clock))
        manual_clock.advance(10)
    allowed = _PER_S * _WINDOW_MS / clock.MS_PER_SECOND
    CASE.assertLessEqual(
        len(arrivals), allowed * _ALLOWED_FACTOR + _ALLOWED_EXTRA
    )
    manual_clock.advance(clock.MS_PER_SECOND)
    for limit in limits.values():
        limit.release()
        CASE.assertIsNone(limit.bound_per_s)


def test_limit_that_is_named_again_ends_its_release() -> None:
    """A target that needs its limit again must not wait for the release."""
    limit = _limit(clock.ManualClock())
    for per_s in (4, None, 2):
        limit.observe(per_s, rate_limit.Source.ANSWER)
    CASE.assertEqual(limit.bound_per_s, 2)
    CASE.assertFalse(limit.is_being_released)


def _wait_until_answered(entry: daemon.EntryDaemon) -> None:
    fixtures.wait_until(
        lambda: fixtures.ask(entry, '/stock/x').outcome == 'answered/none'
    )


def _wait_until_unlimited(entry: daemon.EntryDaemon) -> None:
    fixtures.wait_until(lambda: _limit_at(entry) is None)


def test_end_of_a_limit_of_zero_is_noticed() -> None:
    """A target that took no calls must get some once it takes them again."""
    limited = _RateLimitedTarget(0)
    with _two_entries(limited, idempotent=True) as (first, second):
        fixtures.ask(first, '/stock/x')
        fixtures.wait_until(lambda: _limit_at(second) == 0)
        limited.per_s = None
        for entry in (first, second):
            _wait_until_answered(entry)
            _wait_until_unlimited(entry)


def test_refusal_without_a_limit_does_not_end_it() -> None:
    """A target may leave the limit out where it refuses a request."""
    refusing = _RateLimitedTarget(_PER_S)

    def handle(request: target.ReceivedRequest) -> target.Answer:
        answer = refusing.handle(request)
        if len(refusing.arrivals) == 1:
            return answer
        return target.Answer(status=503, headers=[(header_names.NOT_RUN, b'1')])

    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'limited', handle),
    ):
        control.declare()
        fixtures.wait_for_targets(entry, 'limited')
        fixtures.ask(entry, '/stock/x')
        fixtures.ask(entry, '/stock/x')
        CASE.assertEqual(_limit_at(entry), _PER_S)
