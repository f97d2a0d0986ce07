"""Tests of which targets are asked for their load."""

from __future__ import annotations

import collections
import typing
import unittest

import gevent

from mulberryquay.coordination import clock, shares
from mulberryquay.entry import dialect, load_prober, probe_budget, targets
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _new_target_state(
    time_source: clock.Clock, name: str, *, tier: int = 0
) -> targets.TargetState:
    row = fixtures.warm_row(name, '127.0.0.1:1')
    state = targets.TargetState(row, time_source)
    state.tier = tier
    state.limit = 10
    return state


def _new_prober(
    probes: _LoadProbes,
    time_source: clock.Clock,
    *,
    entry: str = 'entry-0',
    entry_count: int = 1,
    per_target_s: float = 0,
) -> load_prober.LoadProber:
    """Returns the prober of one of ``entry_count`` entries of a region.

    They are in three failure domains, the first of them in that of targets.
    """
    view = shares.ShareView(entry)
    members = tuple(f'entry-{number}' for number in range(entry_count))
    view.commit(shares.EntryList(1, members))
    view.update_regions(dict.fromkeys(members, 'north'))
    view.update_domains(
        {name: f'north-{1 + rank % 3}' for rank, name in enumerate(members)}
    )
    budget = probe_budget.ProbeBudget(
        view,
        time_source,
        region='north',
        domain='north-1',
        per_target_s=per_target_s,
        on_skipped=lambda: None,
    )
    return load_prober.LoadProber(
        typing.cast(typing.Any, probes), time_source, budget
    )


class _LoadProbes:
    """Answers load probes at once and records the probed targets."""

    def __init__(self) -> None:
        self.probed: list[str] = []
        self.slowness: dict[str, float] = {}

    def start_load_probe(self, target: targets.TargetState) -> gevent.Greenlet:
        """Records a report with the slowness that was set."""
        name = target.row.name
        self.probed.append(name)
        report = dialect.LoadReport(0, 0, self.slowness.get(name, 1))
        return gevent.spawn(target.record_report, report, age=0)


def test_farther_targets_are_probed_only_when_near_ones_are_slow() -> None:
    """Probes must not go farther than needed or repeat a fresh report."""
    time_source = clock.ManualClock(start=1000)
    near = _new_target_state(time_source, 'near')
    other = _new_target_state(time_source, 'other', tier=1)
    far = _new_target_state(time_source, 'far', tier=2)
    for target in (near, other, far):
        target.record_report(dialect.LoadReport(0, 0, 1), age=0)
    probes = _LoadProbes()
    prober = _new_prober(probes, time_source)
    prober.refresh_reports([far, other, near])
    CASE.assertEqual(probes.probed, [])
    time_source.advance(500)
    prober.refresh_reports([far, other, near])
    CASE.assertEqual(probes.probed, ['near'])
    probes.slowness['near'] = 4
    time_source.advance(500)
    prober.refresh_reports([far, other, near])
    CASE.assertEqual(probes.probed, ['near', 'near', 'other'])
    time_source.advance(500)
    prober.refresh_reports([far])
    CASE.assertEqual(probes.probed[3:], ['far'])


def test_busy_entry_of_many_does_not_choose_blindly() -> None:
    """Each request must have load reports to compare within the budget."""
    time_source = clock.ManualClock(start=1000)
    entry_count, per_target_s, calls_per_s = 41, 54, 1.8
    known = [_new_target_state(time_source, f't{rank}') for rank in range(20)]
    affordable = per_target_s * len(known) / (entry_count * calls_per_s)
    CASE.assertGreater(affordable, 2)
    prober = _new_prober(
        _LoadProbes(),
        time_source,
        entry_count=entry_count,
        per_target_s=per_target_s,
    )
    fresh_counts = []
    for _ in range(20):
        time_source.advance(clock.MS_PER_SECOND / calls_per_s)
        prober.refresh_reports(known)
        now = time_source.now()
        fresh_counts.append(
            sum(target.is_reported_idle(now) for target in known)
        )
    CASE.assertGreaterEqual(min(fresh_counts), 2, fresh_counts)


def test_entries_do_not_all_ask_the_same_far_targets() -> None:
    """Probes of other regions must not gather at the targets listed first."""
    time_source = clock.ManualClock(start=1000)
    probes = _LoadProbes()
    entry_count = 30
    for number in range(entry_count):
        far = [
            _new_target_state(time_source, f't{rank}', tier=2)
            for rank in range(entry_count)
        ]
        prober = _new_prober(probes, time_source, entry=f'entry-{number}')
        prober.refresh_reports(far)
    asked = collections.Counter(probes.probed)
    CASE.assertLess(max(asked.values()), entry_count / 2, asked)
