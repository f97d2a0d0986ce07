"""Tests of the budget of load probes."""

from __future__ import annotations

import contextlib
import random
import typing
import unittest

import gevent
import hypothesis
from hypothesis import strategies

from mulberryquay.coordination import clock, shares
from mulberryquay.entry import daemon, probe_budget, targets
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_PER_TARGET_S: typing.Final = 10
_DURATION_S: typing.Final = 3
_CALL_INTERVAL_S: typing.Final = 0.1


def _ignore_skipped() -> None:
    """Ignores that a probe was not sent."""


class _Place(typing.NamedTuple):
    region: str
    domain: str


def _budgets(
    places: dict[str, _Place], per_target_s: float, time_source: clock.Clock
) -> list[probe_budget.ProbeBudget]:
    """Returns the budget of each entry, by the place of each."""
    budgets = []
    for entry, (region, domain) in places.items():
        view = shares.ShareView(entry)
        view.commit(shares.EntryList(1, tuple(places)))
        view.update_regions({name: at.region for name, at in places.items()})
        view.update_domains({name: at.domain for name, at in places.items()})
        budgets.append(
            probe_budget.ProbeBudget(
                view,
                time_source,
                region=region,
                domain=domain,
                per_target_s=per_target_s,
                on_skipped=_ignore_skipped,
            )
        )
    return budgets


@fixtures.hypothesis_settings(50)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            (
                _Place('north', 'north-1'),
                _Place('north', 'north-2'),
                _Place('south', 'south-1'),
            )
        ),
        min_size=1,
        max_size=40,
    ),
    strategies.floats(1, 200),
)
def test_eager_entries_keep_the_budget_of_a_target(
    entry_places: list[_Place], per_target_s: float
) -> None:
    """The sum over entries must not grow with their number."""
    manual_clock = clock.ManualClock()
    places = {
        f'entry-{number}': place for number, place in enumerate(entry_places)
    }
    budgets = [
        (
            budget,
            targets.TargetState(
                fixtures.warm_row('t', '127.0.0.1:1'), manual_clock
            ),
        )
        for budget in _budgets(places, per_target_s, manual_clock)
    ]
    granted = 0
    for _ in range(1000):
        granted += sum(budget.take(known) for budget, known in budgets)
        manual_clock.advance(10)
    bursts = max(per_target_s, len(budgets)) + len(budgets)
    CASE.assertLessEqual(granted, per_target_s * 10 + bursts)


def test_budget_follows_the_entry_list() -> None:
    """An entry must not keep the part that it had when it was alone."""
    manual_clock = clock.ManualClock()
    view = shares.ShareView('entry-0')
    view.commit(shares.EntryList(1, ('entry-0',)))
    view.update_regions({'entry-0': 'north', 'entry-1': 'north'})
    view.update_domains({'entry-0': 'north-1', 'entry-1': 'north-1'})
    budget = probe_budget.ProbeBudget(
        view,
        manual_clock,
        region='north',
        domain='north-1',
        per_target_s=8,
        on_skipped=_ignore_skipped,
    )
    known = targets.TargetState(
        fixtures.warm_row('t', '127.0.0.1:1'), manual_clock
    )
    CASE.assertEqual(_granted_in_a_second(budget, known, manual_clock), 6 + 5)
    view.commit(shares.EntryList(2, ('entry-0', 'entry-1')))
    CASE.assertEqual(_granted_in_a_second(budget, known, manual_clock), 3)


def _granted_in_a_second(
    budget: probe_budget.ProbeBudget,
    known: targets.TargetState,
    manual_clock: clock.ManualClock,
) -> int:
    return _granted_in(budget, known, manual_clock, steps=100)


def _granted_in(
    budget: probe_budget.ProbeBudget,
    known: targets.TargetState,
    manual_clock: clock.ManualClock,
    *,
    steps: int = 1000,
) -> int:
    """Returns the probes granted in ``steps`` of 10 ms."""
    granted = 0
    for _ in range(steps):
        granted += budget.take(known)
        manual_clock.advance(10)
    return granted


def _call_repeatedly(entry: daemon.EntryDaemon, is_over: list[bool]) -> None:
    while not is_over:
        fixtures.ask(entry, '/stock/x')
        gevent.sleep(_CALL_INTERVAL_S)


def test_load_probes_of_all_entries_keep_the_budget() -> None:
    """Busy entries must not ask a target for its load without bound."""
    with fixtures.control() as control, contextlib.ExitStack() as stack:
        control.declare()
        probed = stack.enter_context(
            fixtures.announced_target(control, 'probed')
        )
        entries = [
            stack.enter_context(
                fixtures.entry(
                    control,
                    f'e{number}',
                    ask_load=True,
                    load_probes_per_target_s=_PER_TARGET_S,
                )
            )
            for number in range(4)
        ]
        for entry in entries:
            fixtures.wait_for_targets(entry, 'probed')
        fixtures.wait_until(
            lambda: all(
                sum(entry.state.share_view.group_sizes('north', '')[:2])
                == len(entries)
                for entry in entries
            )
        )
        is_over: list[bool] = []
        callers = [
            gevent.spawn(_call_repeatedly, entry, is_over) for entry in entries
        ]
        gevent.sleep(_DURATION_S)
        is_over.append(True)
        gevent.joinall(callers, raise_error=True)
        skipped = sum(
            entry.state.metrics.read('mulberryquay_load_probes_skipped_total')
            for entry in entries
        )
    probes = probed.runs['GET /healthz']
    CASE.assertLessEqual(probes, _PER_TARGET_S * (_DURATION_S + 1))
    CASE.assertGreater(probes, 0)
    CASE.assertGreater(skipped, 0)


def test_half_of_the_last_probes_are_kept_for_later_requests() -> None:
    """One request must not take what the next ones need."""
    rng = random.Random(1)
    remaining = {f'last-{number}': 1.5 for number in range(5)}
    selected = probe_budget.select({**remaining, 'rich': 2, 'empty': 0.9}, rng)
    CASE.assertEqual(len(selected), 4)
    CASE.assertIn('rich', selected)
    CASE.assertNotIn('empty', selected)
    CASE.assertEqual(probe_budget.select({'last': 1}, rng), ['last'])


def test_entries_of_a_domain_have_most_probes_of_its_targets() -> None:
    """The entries that ask a target first must not starve beside others."""
    manual_clock = clock.ManualClock()
    places = {
        f'entry-{number}': _Place('north', f'north-{1 + number % 3}')
        for number in range(42)
    }
    budgets = _budgets(places, 54, manual_clock)
    row = fixtures.warm_row('t', '127.0.0.1:1')
    near_budgets = [
        budget
        for budget, place in zip(budgets, places.values(), strict=True)
        if place.domain == row.domain
    ]
    granted = sum(
        _granted_in(
            budget, targets.TargetState(row, manual_clock), manual_clock
        )
        for budget in near_budgets
    )
    CASE.assertGreater(granted, 54 * 10 / 2)
