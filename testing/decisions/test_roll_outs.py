"""Tests of the stages of a roll-out and of the requests that it costs."""

from __future__ import annotations

import functools
import random
import typing
import unittest

from mulberryquay.decisions import (
    roll_outs,
    version_evidence,
    version_shares,
)

CASE: typing.Final = unittest.TestCase()

_BOUNDS: typing.Final = roll_outs.Bounds()
_TICK_MS: typing.Final = 100.0


def _situation(**fields: typing.Any) -> roll_outs.Situation:
    return roll_outs.Situation(
        **{
            'duration': 12_000.0,
            'elapsed': 0.0,
            'stage': roll_outs.Stage.TRIAL,
            'share': roll_outs.first_share(_BOUNDS),
            'stage_elapsed': 0.0,
            'requests_per_s': 50.0,
            'new_answers': 100,
            'finding': version_evidence.NO_FINDING,
            'new_slots': 40,
            'old_slots': 40,
            'is_confirmed': True,
            **fields,
        }
    )


def _finding(strength: float) -> version_evidence.Finding:
    return version_evidence.Finding(
        version_evidence.Measure.FAILURES, '', strength
    )


def _play(
    find: typing.Callable[[float], version_evidence.Finding],
    **fields: typing.Any,
) -> tuple[roll_outs.End, float, float]:
    """Returns the end, when it came, and the requests of the new version."""
    now = _situation(**fields)
    sent = 0.0
    while now.elapsed < now.duration * 2:
        now = now._replace(finding=find(now.elapsed))
        match roll_outs.next_step(now, _BOUNDS):
            case roll_outs.End() as end:
                return end, now.elapsed, sent
            case roll_outs.Advance(stage, share):
                is_same = stage is now.stage
                now = now._replace(stage=stage, share=share)
                if not is_same:
                    now = now._replace(stage_elapsed=0)
        sent += now.share * now.requests_per_s * _TICK_MS / 1000
        now = now._replace(
            elapsed=now.elapsed + _TICK_MS,
            stage_elapsed=now.stage_elapsed + _TICK_MS,
        )
    raise AssertionError('the roll-out did not end')


def _turned_bad(bad_from: float, elapsed: float) -> version_evidence.Finding:
    """Returns what is found 1.2 s after a version turned bad."""
    return _finding(float(elapsed >= bad_from + 1200))


def test_good_version_is_completed_before_the_limit() -> None:
    """Guards against a good version that is not in force in time."""
    for duration in (3000.0, 6000.0, 12_000.0, 60_000.0, 3_600_000.0):
        end, elapsed, _ = _play(
            lambda _elapsed: version_evidence.NO_FINDING, duration=duration
        )
        CASE.assertEqual(end.state, roll_outs.State.COMPLETED)
        CASE.assertLess(elapsed, duration)


def test_trial_keeps_the_bound_at_each_moment() -> None:
    """Guards against a share that is within the bound only at the end."""
    for requests_per_s in (5.0, 16.0, 50.0, 500.0):
        now = _situation(requests_per_s=requests_per_s)
        sent = 0.0
        while now.stage is roll_outs.Stage.TRIAL:
            step = roll_outs.next_step(now, _BOUNDS)
            if isinstance(step, roll_outs.Advance):
                now = now._replace(stage=step.stage, share=step.share)
                continue
            sent += now.share * requests_per_s * _TICK_MS / 1000
            now = now._replace(elapsed=now.elapsed + _TICK_MS)
            reached = requests_per_s * now.elapsed / 1000
            CASE.assertLessEqual(sent, reached * 0.1 + 50)
        CASE.assertGreater(now.elapsed, now.duration / 2)


def test_version_that_turns_bad_in_the_last_stages_keeps_the_bound() -> None:
    """Guards against a last stage that exposes more than the bound."""
    for requests_per_s in (16.0, 50.0):
        for bad_from in (8300.0, 9100.0):
            end, _, sent = _play(
                functools.partial(_turned_bad, bad_from),
                requests_per_s=requests_per_s,
            )
            CASE.assertEqual(end.state, roll_outs.State.ROLLED_BACK)
            CASE.assertLessEqual(sent, 0.1 * requests_per_s * 12 + 50)


def test_share_does_not_grow_without_evidence() -> None:
    """Guards against a version that is completed without being tried."""
    end, elapsed, sent = _play(
        lambda _elapsed: version_evidence.NO_FINDING, new_answers=0
    )
    CASE.assertEqual(end.state, roll_outs.State.ROLLED_BACK)
    CASE.assertIn('only 0 answers', end.reason)
    CASE.assertLessEqual(elapsed, 12_000)
    CASE.assertLessEqual(sent, 0.1 * 50 * 12 + 50)


def test_version_without_room_is_not_completed() -> None:
    """Guards against ending the old targets while the new ones are cold."""
    end, _, _ = _play(
        lambda _elapsed: version_evidence.NO_FINDING, new_slots=10
    )
    CASE.assertEqual(end.state, roll_outs.State.ROLLED_BACK)
    CASE.assertIn('10 warm slots', end.reason)


def test_doubt_stops_growth_until_it_passes() -> None:
    """Guards against growing in doubt, and against doubt that never ends."""
    end, _, _ = _play(lambda _elapsed: _finding(0.5))
    CASE.assertEqual(end.state, roll_outs.State.ROLLED_BACK)
    end, elapsed, _ = _play(
        lambda elapsed: _finding(0.5 if elapsed < 8800 else 0)
    )
    CASE.assertEqual(end.state, roll_outs.State.COMPLETED)
    CASE.assertLess(elapsed, 12_000)


def test_completion_waits_for_entries_but_not_for_ever() -> None:
    """Guards against old targets that end while an entry still uses them."""
    now = _situation(
        stage=roll_outs.Stage.ALL,
        share=1.0,
        stage_elapsed=2000,
        elapsed=11_100,
        is_confirmed=False,
    )
    CASE.assertEqual(roll_outs.next_step(now, _BOUNDS), roll_outs.Stay())
    step = roll_outs.next_step(now._replace(elapsed=11_600), _BOUNDS)
    CASE.assertIsInstance(step, roll_outs.End)


def test_entries_together_send_the_share() -> None:
    """Guards against a sum over all entries that drifts from the share.

    Entries see few requests each; some start anew in the middle.
    """
    for seed in range(20):
        rng = random.Random(seed)
        parts = [
            version_shares.VersionShare(0.07, rng.random()) for _ in range(88)
        ]
        sent = 0
        requests = 2000
        for number in range(requests):
            index = rng.randrange(len(parts))
            if number == requests // 2:
                parts = parts[60:] + [
                    version_shares.VersionShare(0.07, rng.random())
                    for _ in range(60)
                ]
            parts[index].count_request()
            if parts[index].owes_new:
                parts[index].record_sent()
                sent += 1
        CASE.assertLessEqual(abs(sent - 0.07 * requests), 20)


def test_entry_that_was_busy_owes_few_requests() -> None:
    """Guards against a burst of requests to the new version."""
    share = version_shares.VersionShare(0.5, 0.9)
    for _ in range(1000):
        share.count_request()
    sent = 0
    while share.owes_new:
        share.record_sent()
        sent += 1
    CASE.assertEqual(sent, 2)


def test_trial_targets_bear_a_usual_load() -> None:
    """Guards against load that is spread too thin to show a fault."""
    names = {
        f'domain-{domain}': [f'{domain}-{number}' for number in range(10)]
        for domain in range(6)
    }
    few = roll_outs.trial_targets(names, 0.07, 60)
    CASE.assertEqual(len(few), 6)
    CASE.assertEqual({name[0] for name in few}, set('012345'))
    CASE.assertEqual(len(roll_outs.trial_targets(names, 0.5, 60)), 30)
    CASE.assertEqual(len(roll_outs.trial_targets(names, 1.0, 90)), 60)
    CASE.assertEqual(roll_outs.trial_targets({}, 0.5, 60), frozenset())
