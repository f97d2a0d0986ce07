"""Tests of the sequential tests on drawn streams of answers."""

from __future__ import annotations

import math
import random
import typing
import unittest

from mulberryquay.decisions import version_evidence

CASE: typing.Final = unittest.TestCase()

_STEP_MS: typing.Final = 200.0
_RUNS: typing.Final = 60
_USUAL_MS: typing.Final = 250.0
_SPREAD: typing.Final = 0.35


class _Fault(typing.NamedTuple):
    """What is wrong with the answers of a version, and of which."""

    share: float
    is_slowness: bool = False
    #: Empty for all.
    route: str = ''
    domain: str = ''
    starts_at: float = 0.0
    hits_both: bool = False

    def hits(self, route: str, domain: str, now: float) -> bool:
        """Whether it is at work on a route, in a domain, now."""
        if now < self.starts_at or self.route not in {'', route}:
            return False
        return self.domain in {'', domain}


class _Day(typing.NamedTuple):
    """The load, and what both versions suffer from."""

    new_per_s: float = 5.0
    old_per_s: float = 45.0
    duration: float = 12_000.0
    routes: tuple[str, ...] = ('orders',)
    usual_slow_share: float = 0.06
    usual_failure_share: float = 0.004


def _draw(
    rng: random.Random,
    day: _Day,
    fault: _Fault | None,
    *,
    is_new: bool,
    now: float,
) -> version_evidence.Observation:
    domain = f'domain-{rng.randrange(6)}'
    route = rng.choice(day.routes)
    latency = rng.lognormvariate(math.log(_USUAL_MS), _SPREAD)
    if rng.random() < day.usual_slow_share:
        latency *= 4
    is_failure = rng.random() < day.usual_failure_share
    is_hit = (
        fault is not None
        and (is_new or fault.hits_both)
        and fault.hits(route, domain, now)
    )
    if fault is not None and is_hit and rng.random() < fault.share:
        if fault.is_slowness:
            latency *= 4
        is_failure = is_failure or not fault.is_slowness
    return version_evidence.Observation(
        is_new,
        domain,
        route,
        is_failure,
        version_evidence.latency_step(latency),
        1,
    )


def _play(
    seed: int, day: _Day, fault: _Fault | None
) -> version_evidence.VersionEvidence:
    """Plays a stream until it ends or the evidence is enough to stop."""
    rng = random.Random(seed)
    evidence = version_evidence.VersionEvidence()
    now = 0.0
    while now < day.duration and evidence.finding.strength < 1:
        observations = []
        for is_new, per_s in ((False, day.old_per_s), (True, day.new_per_s)):
            expected = per_s * _STEP_MS / 1000
            count = int(expected + rng.random())
            observations += [
                _draw(rng, day, fault, is_new=is_new, now=now)
                for _ in range(count)
            ]
        now += _STEP_MS
        evidence.add(observations, now)
    return evidence


def _stopped(day: _Day, fault: _Fault | None) -> list[int]:
    """Returns the new version's answers until each stop."""
    played = [_play(seed, day, fault) for seed in range(_RUNS)]
    return sorted(
        evidence.new_answers
        for evidence in played
        if evidence.finding.strength >= 1
    )


def test_good_version_is_not_stopped() -> None:
    """Guards against false stops by chance, also with many answers."""
    for day in (
        _Day(),
        _Day(new_per_s=40),
        _Day(new_per_s=2.5, old_per_s=12),
        _Day(routes=('orders', 'reservations', 'prices')),
    ):
        CASE.assertLessEqual(len(_stopped(day, None)), 1, day)


def test_bad_day_of_both_versions_is_no_evidence() -> None:
    """Guards against stopping a good version for what hits both."""
    for day in (_Day(usual_slow_share=0.25), _Day(usual_failure_share=0.15)):
        CASE.assertLessEqual(len(_stopped(day, None)), 2, day)
    slowed = _Fault(0.5, is_slowness=True, starts_at=4000, hits_both=True)
    CASE.assertLessEqual(len(_stopped(_Day(), slowed)), 3)


def test_fault_in_one_domain_is_no_evidence() -> None:
    """Guards against stopping a good version for one bad host or domain."""
    for fault in (
        _Fault(0.5, domain='domain-1'),
        _Fault(0.9, is_slowness=True, domain='domain-2'),
    ):
        CASE.assertLessEqual(len(_stopped(_Day(), fault)), 2, fault)


def test_bad_version_is_stopped_within_fifty_bad_answers() -> None:
    """Guards against evidence that comes later than the callers' bound."""
    for fault in (
        _Fault(0.5),
        _Fault(0.3),
        _Fault(0.5, is_slowness=True),
        _Fault(1.0, is_slowness=True),
    ):
        stopped = _stopped(_Day(), fault)
        CASE.assertGreaterEqual(len(stopped), _RUNS - 3, fault)
        CASE.assertLess(stopped[len(stopped) // 2] * fault.share, 25, fault)


def test_version_that_turns_bad_is_stopped() -> None:
    """Guards against early good answers that outweigh later bad ones."""
    stopped = _stopped(_Day(), _Fault(0.5, starts_at=6000))
    CASE.assertGreaterEqual(len(stopped), _RUNS - 3)


def test_version_that_is_bad_on_one_route_is_stopped() -> None:
    """Guards against other routes that hide a bad one."""
    day = _Day(routes=('orders', 'reservations', 'prices'))
    stopped = _stopped(day, _Fault(0.6, route='prices'))
    CASE.assertGreaterEqual(len(stopped), _RUNS - 4)


def test_cold_answers_say_nothing_of_latency() -> None:
    """Guards against stopping a good version because its targets are cold."""
    evidence = version_evidence.VersionEvidence()
    for number in range(100):
        evidence.add(
            [
                version_evidence.Observation(
                    False, f'domain-{number % 3}', 'orders', False, 20, 5
                ),
                version_evidence.Observation(
                    True,
                    f'domain-{number % 3}',
                    'orders',
                    False,
                    version_evidence.NO_STEP,
                    1,
                ),
            ],
            now=number * _STEP_MS,
        )
    CASE.assertEqual(evidence.finding.strength, 0)
    CASE.assertEqual(evidence.new_answers, 100)


def test_few_milliseconds_more_are_no_evidence() -> None:
    """Guards against stopping a version for the time of new connections."""
    evidence = version_evidence.VersionEvidence()
    for number in range(100):
        evidence.add(
            [
                version_evidence.Observation(
                    is_new,
                    f'domain-{number % 3}',
                    'orders',
                    False,
                    version_evidence.latency_step(8 if is_new else 1),
                    1,
                )
                for is_new in (False, True)
            ],
            now=number * _STEP_MS,
        )
    CASE.assertEqual(evidence.finding.strength, 0)
