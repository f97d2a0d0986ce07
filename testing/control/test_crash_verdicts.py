"""Tests of which requests are not retried or refused, as one table.

The rows are of docs/design/crashing-requests.md.
"""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.coordination import crash_guard
from testing.control import crash_group

CASE: typing.Final = unittest.TestCase()

#: Later than this after the third crash, so many retries may crash targets.
_LATE_MS: typing.Final = 3000
_MAX_LATE_RETRIES: typing.Final = 3

_POISON: typing.Final = b'poison'
_SOUND: typing.Final = b'sound'
_ENTRIES: typing.Final = 6

_LOSING_MS: typing.Final = 4000
_DRAWS: typing.Final = 120
_LOST_DRAWS: typing.Final = 28


def _always(_run: int) -> bool:
    return True


def _never(_run: int) -> bool:
    return False


def _poison(
    times: typing.Iterable[float],
    *,
    at_once: int = 1,
    runs_for: float = 20,
    is_reported: bool = True,
) -> list[crash_group.Call]:
    """Calls that crash targets, at one entry after the other."""
    return [
        crash_group.Call(
            at,
            (number + offset) % _ENTRIES,
            _POISON,
            runs_for,
            _always,
            is_reported=is_reported,
        )
        for number, at in enumerate(times)
        for offset in range(at_once)
    ]


def _sound(
    per_s: float,
    until: float,
    is_lost: typing.Callable[[int], bool] = _never,
) -> list[crash_group.Call]:
    """Calls of one popular request, at all entries in turn."""
    step = 1000 / per_s
    return [
        crash_group.Call(
            number * step,
            number % _ENTRIES,
            _SOUND,
            140,
            is_lost,
            crashes=False,
        )
        for number in range(int(until / step))
    ]


def _check_poison(group: crash_group.Group) -> None:
    late = group.late_retries(_POISON, _LATE_MS)
    CASE.assertLessEqual(late, _MAX_LATE_RETRIES)
    CASE.assertFalse(
        [call for call in group.refused if call.fingerprint == _SOUND]
    )


def test_regional_request_crashes_few_targets() -> None:
    """Each entry counts such a request alone (review/4): six still may."""
    group = crash_group.Group(_ENTRIES)
    group.play(_poison(range(0, 36_000, 1500), is_reported=False))
    _check_poison(group)


def test_popular_request_is_served_though_answers_are_lost() -> None:
    """Lost answers to a popular request were taken for crashes (review/5)."""
    for seed in range(30):
        group = crash_group.Group(3)
        rng = random.Random(seed)  # noqa: S311
        losing = _sound(60, 20_000, _loser(group, rng))
        group.play(call._replace(entry=call.entry % 3) for call in losing)
        CASE.assertLessEqual(len(group.refused), 5 + len(losing) / 500)


def _loser(
    group: crash_group.Group, rng: random.Random
) -> typing.Callable[[int], bool]:
    """Loses 7 of 12 targets' answers with a chance of 0.4 for 4 s."""

    def is_lost(_run: int) -> bool:  # noqa: WPS430
        is_losing = group.clock.now() < _LOSING_MS
        return is_losing and rng.randrange(_DRAWS) < _LOST_DRAWS

    return is_lost


def test_request_of_one_account_is_blocked_beside_another() -> None:
    """Another account's answers cleared the count (review/9)."""
    group = crash_group.Group(_ENTRIES)
    group.play(_poison(range(0, 38_000, 2400)) + _sound(20, 40_000))
    _check_poison(group)
    CASE.assertTrue(group.refused)


def test_entries_that_start_know_what_is_blocked() -> None:
    """A rolling restart made entries forget blocked requests (review/10)."""
    group = crash_group.Group(_ENTRIES)
    times = [0, 1200, 2400, *range(10_000, 70_000, 10_000)]
    restarts = {at - 3500: _entry_of(at, times) for at in times[3:]}
    group.play(_poison(times), entry_restarts=restarts)
    _check_poison(group)


def test_hosts_that_start_learn_from_entries_what_is_blocked() -> None:
    """A kill of all hosts, and then a restart, forgot it as well."""
    group = crash_group.Group(_ENTRIES)
    times = [0, 1200, 2400, *range(10_000, 70_000, 10_000)]
    restarts = {at - 3500: _entry_of(at, times) for at in times[3:]}
    group.play(_poison(times), entry_restarts=restarts, hosts_restart_at=5000)
    _check_poison(group)


def test_volleys_are_stopped_before_their_retries_add_up() -> None:
    """Runs that overlap count as one, so a block came a volley late."""
    group = crash_group.Group(_ENTRIES)
    group.play(_poison(range(0, 60_000, 6000), at_once=4, runs_for=100))
    _check_poison(group)


def test_block_that_has_ended_needs_one_crash_to_return() -> None:
    """The count was forgotten with the block, so retries added up."""
    group = crash_group.Group(_ENTRIES)
    group.play(_poison(range(0, 600_000, 5000)))
    _check_poison(group)
    crashes = sum(run.fingerprint == _POISON for run in group.runs)
    blocks = 600_000 / crash_guard.BLOCK_MS
    CASE.assertLessEqual(crashes, 3 + blocks)


def test_answer_ends_suspicion_and_block() -> None:
    """A request that is answered must not stay refused for a minute."""
    group = crash_group.Group(_ENTRIES)
    losing = [
        crash_group.Call(at, 0, _SOUND, 20, _always, crashes=False)
        for at in (0, 1000)
    ]
    answered_late = crash_group.Call(990, 1, _SOUND, 500, _never)
    later = [
        crash_group.Call(3000 + number, number, _SOUND, 20, _never)
        for number in range(_ENTRIES)
    ]
    group.play([*losing, answered_late, *later])
    CASE.assertFalse(group.refused)


def _entry_of(at: float, times: typing.Sequence[float]) -> int:
    return times.index(at) % _ENTRIES
