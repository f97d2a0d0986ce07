"""Tests of requests that carry the key of a client account."""

from __future__ import annotations

import contextlib
import typing
import unittest

from mulberryquay.accounts import key_requirement, keys
from mulberryquay.commands import api_client
from mulberryquay.control import configuration, host_protocol
from mulberryquay.entry import authentication, http_heads, outcomes
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_KEY: typing.Final = b'n4ryrbbkf83fgfwrz56a'
_WITH_KEY: typing.Final = {
    'Authorization': f'Bearer {_KEY.decode()}',
    'Mulberryquay-Account': 'forged',
}


def _declare(control: fixtures.Control, **spec: typing.Any) -> None:
    control.put(
        'client-accounts',
        'yard',
        **{
            'authenticated': True,
            'key_digests': [keys.digest_of(_KEY)],
            **spec,
        },
    )
    control.declare('stock')
    control.declare('prices', route={'public': True})
    control.wait_in_force()


@contextlib.contextmanager
def _targets(
    control: fixtures.Control, received: list[target.ReceivedRequest]
) -> typing.Iterator[None]:
    def handle(request: target.ReceivedRequest) -> target.Answer:
        received.append(request)
        return target.Answer()

    with (
        fixtures.announced_target(control, 'stock-a', handler=handle),
        fixtures.announced_target(
            control, 'prices-a', service='prices', handler=handle
        ),
    ):
        yield


def test_targets_get_the_account_and_never_the_key() -> None:
    """A key that is passed on lets its receiver act as the account."""
    received: list[target.ReceivedRequest] = []
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with _targets(control, received):
            fixtures.wait_for_targets(entry, 'stock-a', 'prices-a')
            for path in ('/stock/x', '/prices/x'):
                answer = fixtures.ask(entry, path, headers=_WITH_KEY)
                assert answer.status == 200, answer
    accounts = [
        request.head.find(b'mulberryquay-account') for request in received
    ]
    assert accounts == [b'yard', None], accounts
    for request in received:
        assert request.head.find(b'authorization') is None


def test_request_without_a_known_key_is_refused_and_does_not_run() -> None:
    """Without its own key, a caller could use the room of another."""
    received: list[target.ReceivedRequest] = []
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        with _targets(control, received):
            fixtures.wait_for_targets(entry, 'stock-a', 'prices-a')
            for headers in (
                {},
                {'Authorization': 'Bearer unknown'},
                {'Authorization': _KEY.decode()},
                {'Mulberryquay-Account': 'yard'},
            ):
                refused = fixtures.ask(entry, '/stock/x', headers=headers)
                assert refused.status == 401, refused
                assert refused.outcome == 'not-run/unknown-key', refused
    assert not received


def test_requests_over_the_rate_are_told_when_to_return() -> None:
    """One account must not use the room of all others."""
    received: list[target.ReceivedRequest] = []
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control, rate_per_s=0.01, burst=2)
        with _targets(control, received):
            fixtures.wait_for_targets(entry, 'stock-a', 'prices-a')
            answers = [
                fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
                for _ in range(3)
            ]
    assert [answer.status for answer in answers] == [200, 200, 429], answers
    assert answers[-1].outcome == 'not-run/over-rate', answers
    assert 0 < float(answers[-1].headers['retry-after']) <= 100
    assert len(received) == 2


def test_account_with_a_name_in_any_script_is_served() -> None:
    """Its name could not be encoded, so that each request failed."""
    received: list[target.ReceivedRequest] = []

    def handle(request: target.ReceivedRequest) -> target.Answer:
        received.append(request)
        return target.Answer()

    name = '\u0141ukasz'
    with fixtures.control() as control, fixtures.entry(control) as entry:
        resources = configuration.check(
            [
                {'kind': 'services', 'name': 'stock', 'spec': {}},
                {
                    'kind': 'routes',
                    'name': 'stock',
                    'spec': {'path_prefix': '/stock', 'service': 'stock'},
                },
                {
                    'kind': 'client-accounts',
                    'name': name,
                    'spec': {
                        'authenticated': True,
                        'key_digests': [keys.digest_of(_KEY)],
                    },
                },
            ],
            fixtures.KERNEL.resource_kinds,
        )
        control.daemon.cluster.orders.execute(
            host_protocol.PutConfiguration(
                1, b'{}', [list(resource) for resource in resources]
            )
        )
        control.wait_in_force()
        with fixtures.announced_target(control, 'stock-a', handler=handle):
            fixtures.wait_for_targets(entry, 'stock-a')
            answer = fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
    assert answer.status == 200, answer
    assert received[0].head.find(b'mulberryquay-account') == name.encode()


def _put_configuration(
    control: fixtures.Control, version: int, accounts: list[typing.Any]
) -> None:
    control.client.call(
        'PUT',
        '/v1/configuration',
        {
            'version': version,
            'resources': [
                {'kind': 'services', 'name': 'stock', 'spec': {}},
                {
                    'kind': 'routes',
                    'name': 'stock',
                    'spec': {'path_prefix': '/stock', 'service': 'stock'},
                },
                {
                    'kind': 'limits',
                    'name': 'callers',
                    'spec': {'authentication': 'required'},
                },
                *accounts,
            ],
        },
    )
    control.wait_in_force()


def test_routes_stay_closed_once_the_last_account_is_gone() -> None:
    """An empty list of accounts let everybody call (review/6, issue 58)."""
    received: list[target.ReceivedRequest] = []
    account = {
        'kind': 'client-accounts',
        'name': 'yard',
        'spec': {'authenticated': True, 'key_digests': [keys.digest_of(_KEY)]},
    }
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _put_configuration(control, 1, [account])
        with _targets(control, received):
            fixtures.wait_for_targets(entry, 'stock-a')
            served = fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
            _put_configuration(control, 2, [])
            refused = [
                fixtures.ask(entry, '/stock/x', headers=headers)
                for headers in (_WITH_KEY, {'Authorization': 'Bearer other'})
            ]
    assert served.status == 200, served
    assert [answer.outcome for answer in refused] == [
        'not-run/revoked-key',
        'not-run/unknown-key',
    ]
    assert len(received) == 1, received


def test_order_that_would_open_all_routes_is_refused_unless_declared() -> None:
    """Deleting the last account by itself let everybody call (issue 58)."""
    account = '/v1/client-accounts/yard'
    unauthenticated = {'version': 2, 'spec': {'authenticated': False}}
    for method, path, body in (
        ('DELETE', f'{account}?version=2', None),
        ('PUT', account, unauthenticated),
    ):
        with fixtures.control() as control:
            _declare(control)
            with CASE.assertRaises(api_client.ApiRefusedError) as caught:
                control.client.call(method, path, body)
            CASE.assertEqual(caught.exception.api_code, 'opens-routes')
            control.put('limits', 'callers', authentication='none')
            control.client.call(method, path, body)


def test_relayed_request_without_an_account_needs_a_public_route() -> None:
    """An entry that knew no accounts yet passed requests on without a key."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control)
        table = entry.state.routing_table
        head = http_heads.RequestHead(
            b'GET',
            b'/',
            http_heads.HeaderBlock(),
            [],
            http_heads.Framing.NONE,
            0,
            keeps_alive=True,
            is_http_one_zero=False,
        )
        with CASE.assertRaises(outcomes.RefusedError) as caught:
            authentication.identify(
                entry.state,
                head,
                table.find_route(b'/stock/x'),
                is_relayed=True,
            )
        CASE.assertEqual(caught.exception.reason.value, 'unknown-key')
        anonymous = authentication.identify(
            entry.state, head, table.find_route(b'/prices/x'), is_relayed=True
        )
        CASE.assertIs(anonymous, authentication.ANONYMOUS)


def test_unknown_requirement_of_a_later_release_requires_keys() -> None:
    """An entry that can't tell who may call must not serve everybody."""
    later = key_requirement.read('client-certificate')
    earlier = key_requirement.read(None)
    CASE.assertIs(later, key_requirement.Authentication.REQUIRED)
    CASE.assertIs(earlier, key_requirement.Authentication.BY_ACCOUNT)
