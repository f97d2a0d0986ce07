"""Tests of call limits, queues, cold targets and relays between entries."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock

import gevent

from mulberryquay import protocol
from mulberryquay.coordination import allowance, clock
from mulberryquay.entry import (
    balancer,
    daemon,
    dialect,
    routing,
    state,
    targets,
)
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _delayed_handler(milliseconds: int) -> target.Handler:
    def handle(request: target.ReceivedRequest) -> target.Answer:
        gevent.sleep(milliseconds / 1000)
        return target.Answer(body=request.head.path)

    return handle


def _send_until_stopped(
    entries: list[daemon.EntryDaemon],
    number: int,
    stopped: list[bool],
    outcomes: list[str],
) -> None:
    turn = number
    while not stopped:
        turn += 1
        if entries:
            entry = entries[turn % len(entries)]
            with contextlib.suppress(OSError):
                outcomes.append(fixtures.ask(entry, '/stock/x').outcome)
        gevent.sleep(0.001)


def test_cold_target_never_exceeds_its_allowance() -> None:
    """Entries with different entry lists must not use the same share.

    Entries join and leave while all of them have callers.
    """
    with fixtures.control() as control, contextlib.ExitStack() as stack:
        control.declare(service_class={'idempotent': True})
        # Keeps the allowance at 1, as for a target that has just started.
        stack.enter_context(
            mock.patch.object(allowance.Allowance, 'record_served'),
        ).return_value = False
        stock = stack.enter_context(
            fixtures.announced_target(
                control, 'stock-a', _delayed_handler(3), warm=False
            ),
        )
        entries = [
            stack.enter_context(fixtures.entry(control, f'e{number}'))
            for number in range(4)
        ]
        stopped: list[bool] = []
        outcomes: list[str] = []
        callers = [
            gevent.spawn(
                _send_until_stopped, entries, number, stopped, outcomes
            )
            for number in range(8)
        ]
        for number in range(6):
            with fixtures.entry(control, f'visitor-{number}') as visitor:
                entries.append(visitor)
                gevent.sleep(0.1)
                entries.remove(visitor)
        stopped.append(True)
        gevent.joinall(callers, raise_error=True)
        CASE.assertEqual(stock.max_in_flight, 1)
        CASE.assertGreater(outcomes.count('answered/none'), 50)


def test_cold_target_warms_up_by_good_answers() -> None:
    """The allowance of a cold target must grow with its good answers."""
    with (
        fixtures.control() as control,
        fixtures.entry(control) as entry,
        fixtures.announced_target(control, 'stock-a', slots=4, warm=False),
    ):
        control.declare()
        control.wait_in_force()
        fixtures.wait_for_targets(entry, 'stock-a')
        target_state = entry.state.balancer.all_targets['stock-a']
        CASE.assertEqual(target_state.limit, 1)

        def is_warm() -> bool:
            fixtures.ask(entry, '/stock/x')
            return target_state.row.is_warm

        fixtures.wait_until(is_warm)
        CASE.assertGreaterEqual(target_state.limit, 4)


def test_entry_without_a_share_relays_once() -> None:
    """An entry must not refuse a request that another entry can send.

    The only target is cold, and one of the two entries has its only share.
    """
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'e1') as first,
        fixtures.entry(control, 'e2') as second,
        fixtures.announced_target(control, 'stock-a', warm=False),
    ):
        control.declare()
        control.wait_in_force()
        entries = (first, second)
        states_by_entry = [one.state.balancer.all_targets for one in entries]
        fixtures.wait_until(
            lambda: (
                all('stock-a' in one for one in states_by_entry)
                and sum(one['stock-a'].limit for one in states_by_entry) == 1
            ),
        )
        answers = [fixtures.ask(one, '/stock/x') for one in entries]
        CASE.assertEqual(
            [answer.outcome for answer in answers],
            ['answered/none'] * 2,
        )
        records = [
            fixtures.fetch_request_record(one, answer)
            for one, answer in zip(entries, answers, strict=True)
        ]
        relayed = [one for one in records if one['tries'][0]['relayed_as']]
        CASE.assertEqual(len(relayed), 1)
        CASE.assertIn(relayed[0]['tries'][0]['target'], ('e1', 'e2'))


def test_overload_sheds_deferrable_work_first() -> None:
    """Overload must not shed other requests before deferrable ones.

    More requests than the queue holds arrive at once, and the deferrable class
    has the higher value.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('stock', max_queue=80)
        control.put('service-classes', 'order', value=90)
        control.put('service-classes', 'sheet', deferrable=True, value=99)
        for name in ('order', 'sheet'):
            control.put(
                'routes',
                name,
                path_prefix=f'/{name}',
                service='stock',
                service_class=name,
            )
        with fixtures.announced_target(
            control, 'a', _delayed_handler(5), slots=2
        ):
            fixtures.wait_for_targets(entry, 'a')
            control.wait_in_force()
            paths = ['/sheet/x', '/sheet/y', '/order/x'] * 60
            tasks = [gevent.spawn(fixtures.ask, entry, path) for path in paths]
            gevent.joinall(tasks, raise_error=True)
    by_class: dict[str, list[str]] = {'/order': [], '/sheet': []}
    for path, task in zip(paths, tasks, strict=True):
        by_class[path[:6]].append(task.value.outcome)
        if task.value.status == 503:
            CASE.assertIn('retry-after', task.value.headers)
    CASE.assertEqual(set(by_class['/order']), {'answered/none'})
    CASE.assertIn('not-run/overloaded', by_class['/sheet'])


def test_nearest_domain_is_preferred_until_it_is_full() -> None:
    """Another domain must serve only once the near target has no capacity."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        with (
            fixtures.announced_target(
                control, 'near', _delayed_handler(30), slots=1
            ) as near,
            fixtures.announced_target(
                control,
                'far',
                _delayed_handler(30),
                slots=4,
                domain='north-2',
            ) as far,
        ):
            fixtures.wait_for_targets(entry, 'near', 'far')
            fixtures.ask(entry, '/stock/x')
            CASE.assertFalse(far.runs)
            tasks = [
                gevent.spawn(fixtures.ask, entry, '/stock/x')
                for _number in range(6)
            ]
            gevent.joinall(tasks, raise_error=True)
            CASE.assertTrue(far.runs)
            CASE.assertLessEqual(near.max_in_flight, 2)


def test_domain_taken_out_gets_no_new_calls_and_finishes_running_ones() -> None:
    """Taking a domain out must not end its calls or send it new ones."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare()
        control.put('failure-domains', 'north-1', region='north')
        with (
            fixtures.announced_target(
                control, 'out', _delayed_handler(100)
            ) as out,
            fixtures.announced_target(control, 'in', domain='north-2'),
        ):
            fixtures.wait_for_targets(entry, 'out', 'in')
            running = gevent.spawn(fixtures.ask, entry, '/stock/x')
            fixtures.wait_until(lambda: out.in_flight)
            control.put(
                'failure-domains',
                'north-1',
                2,
                region='north',
                state='out',
            )
            control.wait_in_force()
            before = sum(out.runs.values())
            for _number in range(5):
                answer = fixtures.ask(entry, '/stock/x')
                CASE.assertEqual(fixtures.parse_json(answer)['target'], 'in')
            CASE.assertEqual(sum(out.runs.values()), before)
            CASE.assertEqual(running.get().outcome, 'answered/none')
            # The targets are cold when the domain comes back.
            row = control.daemon.targets.get('out')
            CASE.assertEqual((row.allowance, row.is_warm), (1, False))


def test_target_that_slowed_down_is_marked_as_overloaded() -> None:
    """A target whose answers become far slower must count as overloaded."""
    time_source = clock.ManualClock()
    row = _warm_row()
    target_state = targets.TargetState(row, time_source)
    for _answer in range(50):
        target_state.record_answer(5, reported=dialect.LoadReport(1))
    CASE.assertFalse(target_state.was_overloaded)
    for _answer in range(6):
        target_state.record_answer(200, reported=dialect.LoadReport(1))
    CASE.assertTrue(target_state.was_overloaded)


def _warm_row() -> typing.Any:
    """Returns the row of a warm target."""
    with fixtures.control() as control:
        with fixtures.announced_target(control, 'stock-a'):
            return control.daemon.targets.get('stock-a')


def test_entry_that_does_not_know_a_roll_out_sends_its_targets_nothing() -> (
    None
):
    """Guards against a new version that gets requests before its order.

    Targets reach an entry on another way than configuration does.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        balancer = entry.state.balancer
        row = fixtures.warm_row('stock-a', '127.0.0.1:9')
        rows = [
            list(row),
            list(row._replace(name='stock-b', version='v2', roll_out=1)),
        ]
        balancer.apply(protocol.TargetsChanged(rows, [], is_complete=True))
        CASE.assertTrue(balancer.all_targets['stock-a'].limit)
        CASE.assertFalse(balancer.all_targets['stock-b'].limit)
        known = routing.NO_ROLL_OUT._replace(
            number=1, version='v2', is_running=True, share=0.1
        )
        balancer.configure({}, {'stock': known})
        CASE.assertTrue(balancer.all_targets['stock-b'].limit)


def test_change_of_one_target_recomputes_no_other_limits() -> None:
    """With 3,000 targets the time to learn of all grew with their square."""
    with mock.patch.object(
        balancer.Balancer, '_refresh_target', autospec=True
    ) as refreshed:
        target_balancer = state.EntryState(
            name='entry-1',
            region='north',
            domain='north-1',
            new_policy=mock.Mock(),
        ).balancer
        rows = [
            list(fixtures.warm_row(f'stock-{number}', '127.0.0.1:1'))
            for number in range(20)
        ]
        target_balancer.apply(
            protocol.TargetsChanged(rows, [], is_complete=False)
        )
        refreshed.reset_mock()
        target_balancer.apply(
            protocol.TargetsChanged(rows[:1], [], is_complete=False)
        )
    CASE.assertEqual(refreshed.call_count, 1)
