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
    """The refusal names the home regions and precedes the body."""
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
    """Control hosts and other regions have no record of it."""
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
    """The request crashes its target; control hosts may be elsewhere.

    Only the fingerprint of a request without home regions is reported.
    """
    broken = target.Answer(raw=b'')
    with fixtures.control() as control, fixtures.entry(control) as entry:
        control.declare('home', route={'home_regions': ['north']})
        control.declare('free')
        with (
            fixtures.announced_target(
                control, 'h', lambda _: broken, service='home'
            ),
            fixtures.announced_target(
                control, 'f', lambda _: broken, service='free'
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
    """The only entry with a share is in another region, so none serves."""
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
            known = [one.state.balancer.all_targets for one in (north, south)]
            fixtures.wait_until(lambda: _are_divided(known, names))
            for name in names:
                if known[0][name].limit:
                    control.daemon.targets.leave(
                        name,
                        incarnation=known[0][name].row.incarnation,
                    )
            fixtures.wait_until(
                lambda: not any(known[0][name].limit for name in names),
            )
            response = fixtures.ask(north, '/order/1')
            CASE.assertEqual(response.outcome, 'not-run/no-target')
            relayed = south.state.metrics.read(
                'mulberryquay_requests_total',
                'answered',
                'none',
            )
            CASE.assertEqual(relayed, 0)


def _are_divided(
    known: list[dict[str, typing.Any]],
    names: list[str],
) -> bool:
    return all(
        all(name in one for one in known)
        and sum(one[name].limit for one in known) == 1
        for name in names
    )
