"""Tests that requests and their records stay in their home regions."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

from mulberryquay.commands import api_client
from mulberryquay.coordination import allowance
from mulberryquay.entry import control_link, daemon
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _record_lookup_code(entry: daemon.EntryDaemon, request_id: str) -> str:
    client = api_client.ApiClient(f'127.0.0.1:{entry.admin_port}')
    try:
        client.call('GET', f'/accounts/{request_id}')
    except api_client.ApiRefusedError as error:
        return error.api_code
    return 'kept'


def test_request_outside_its_home_regions_is_refused_before_its_body() -> None:
    """A body must not reach an entry outside the home regions.

    The refusal comes before the body and names the home regions.
    """
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('order', route={'home_regions': ['south']})
        control.wait_in_force()
        head = (
            b'POST /order/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        response = fixtures.send(entry.port, head)
        CASE.assertEqual(response.status, 421)
        CASE.assertEqual(response.outcome, 'not-run/outside-home-regions')
        CASE.assertEqual(
            response.headers['mulberryquay-home-regions'],
            'south',
        )


def test_record_is_kept_only_by_the_entry_that_served() -> None:
    """An entry in another region must have no record of the request."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'n1') as north,
        fixtures.entry(control, 's1', region='south') as south,
    ):
        control.declare('order', route={'home_regions': ['north']})
        with fixtures.announced_target(control, 'o', service='order'):
            fixtures.wait_for_targets(north, 'o')
            control.wait_in_force()
            response = fixtures.ask(north, '/order/1')
        request_id = response.headers['mulberryquay-request-id']
        CASE.assertEqual(response.outcome, 'answered/none')
        CASE.assertEqual(_record_lookup_code(north, request_id), 'kept')
        CASE.assertEqual(
            _record_lookup_code(south, request_id), 'unknown-request'
        )


def test_fingerprint_of_request_with_home_regions_is_not_reported() -> None:
    """Control hosts outside the home regions must not learn a fingerprint.

    An entry reports the fingerprint of a request that crashes its target
    only if the request has no home regions.
    """
    no_answer = target.Answer(raw=b'')
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('home', route={'home_regions': ['north']})
        control.declare('free')
        with (
            fixtures.announced_target(
                control, 'h', lambda _: no_answer, service='home'
            ),
            fixtures.announced_target(
                control, 'f', lambda _: no_answer, service='free'
            ),
            mock.patch.object(
                control_link.ControlLink,
                'report_connection_lost',
            ) as report,
        ):
            fixtures.wait_for_targets(entry, 'h', 'f')
            control.wait_in_force()
            fixtures.ask(entry, '/home/1')
            CASE.assertEqual(report.call_count, 0)
            fixtures.ask(entry, '/free/1')
            CASE.assertEqual(report.call_count, 1)


def test_relay_stays_in_the_home_regions() -> None:
    """A request must not be relayed to an entry outside its home regions.

    Only that entry has shares of targets, so the request is refused.
    """
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'n1') as north,
        fixtures.entry(control, 's1', region='south') as south,
        mock.patch.object(allowance.Allowance, 'record_served') as served,
    ):
        served.return_value = False
        control.declare('order', route={'home_regions': ['north']})
        names = [f'o{number}' for number in range(8)]
        with fixtures.enter_all(
            fixtures.announced_target(
                control, name, service='order', warm=False
            )
            for name in names
        ):
            states_by_entry = [
                one.state.balancer.all_targets for one in (north, south)
            ]
            fixtures.wait_until(
                lambda: _are_shares_settled(states_by_entry, names)
            )
            for name in names:
                if states_by_entry[0][name].limit:
                    control.daemon.targets.leave(
                        name,
                        incarnation=states_by_entry[0][name].row.incarnation,
                    )
            fixtures.wait_until(
                lambda: (
                    not any(states_by_entry[0][name].limit for name in names)
                ),
            )
            response = fixtures.ask(north, '/order/1')
            CASE.assertEqual(response.outcome, 'not-run/no-target')
            relayed = south.state.metrics.read(
                'mulberryquay_requests_total',
                'answered',
                'none',
            )
            CASE.assertEqual(relayed, 0)


def _are_shares_settled(
    states_by_entry: list[dict[str, typing.Any]],
    names: list[str],
) -> bool:
    return all(
        all(name in one for one in states_by_entry)
        and sum(one[name].limit for one in states_by_entry) == 1
        for name in names
    )
