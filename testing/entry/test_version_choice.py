"""Tests of which version's targets a request may go to."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.coordination import clock
from mulberryquay.entry import routing, targets, version_choice
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_ROLL_OUT: typing.Final = routing.NO_ROLL_OUT._replace(
    number=1, version='v2', is_running=True, share=1.0
)


def _known(
    time_source: clock.Clock, old: int, new: int
) -> dict[str, targets.TargetState]:
    known = {}
    for version, count in (('v1', old), ('v2', new)):
        for number in range(count):
            row = fixtures.warm_row(f'{version}-{number}', '127.0.0.1:9')
            target = targets.TargetState(
                row._replace(version=version), time_source
            )
            target.limit = 1
            known[row.name] = target
    return known


def _choice(
    known: dict[str, targets.TargetState], *, share: float, is_fresh: bool
) -> version_choice.VersionChoice:
    choice = version_choice.VersionChoice(known, random.Random(1))
    choice.update(_ROLL_OUT._replace(share=share), is_fresh=is_fresh)
    return choice


def _versions(
    choice: version_choice.VersionChoice,
    known: dict[str, targets.TargetState],
    *,
    is_retry: bool = False,
) -> set[str]:
    choice.count_request()
    narrowed = choice.narrow(list(known.values()), 0, is_retry=is_retry)
    return {target.row.version for target in narrowed}


def test_retries_go_to_the_old_version() -> None:
    """Guards against a bad version that gets the retries of its failures."""
    known = _known(clock.ManualClock(), 4, 4)
    choice = _choice(known, share=1.0, is_fresh=True)
    CASE.assertEqual(_versions(choice, known), {'v2'})
    CASE.assertEqual(_versions(choice, known, is_retry=True), {'v1'})


def test_entry_without_news_sends_to_the_old_version() -> None:
    """Guards against a share that has been withdrawn meanwhile."""
    known = _known(clock.ManualClock(), 4, 4)
    choice = _choice(known, share=0.5, is_fresh=False)
    for _ in range(20):
        CASE.assertEqual(_versions(choice, known), {'v1'})
    for target in known.values():
        if target.row.version == 'v1':
            target.suspended_until = 1.0
    choice.update(_ROLL_OUT, is_fresh=False)
    CASE.assertIn('v2', _versions(choice, known))


def test_all_targets_of_the_new_version_are_used_without_old_ones() -> None:
    """Guards against a last stage that uses the few targets of the trial."""
    known = _known(clock.ManualClock(), 0, 12)
    choice = _choice(known, share=1.0, is_fresh=True)
    choice.count_request()
    narrowed = choice.narrow(list(known.values()), 0, is_retry=False)
    CASE.assertEqual(len(narrowed), 12)


def test_trial_uses_as_few_targets_as_bear_a_usual_load() -> None:
    """Guards against a trial that shows nothing of a fault under load."""
    known = _known(clock.ManualClock(), 20, 20)
    choice = _choice(known, share=0.1, is_fresh=True)
    names = set()
    for _ in range(100):
        choice.count_request()
        narrowed = choice.narrow(list(known.values()), 0, is_retry=False)
        if narrowed[0].row.version == 'v2':
            names |= {target.row.name for target in narrowed}
            choice.record_sent(narrowed[0])
    CASE.assertEqual(len(names), 2)
