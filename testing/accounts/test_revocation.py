"""Tests of keys that are taken away while their requests are under way."""

from __future__ import annotations

import contextlib
import typing
import unittest

import gevent
from gevent import event

from mulberryquay.accounts import keys
from mulberryquay.commands import api_client
from mulberryquay.entry import authentication, http_heads, outcomes
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_KEY: typing.Final = b'n4ryrbbkf83fgfwrz56a'
_OTHER_KEY: typing.Final = b'w63is47qdqiqrh4jcda9'
_WITH_KEY: typing.Final = {'Authorization': f'Bearer {_KEY.decode()}'}


def _declare(
    control: fixtures.Control, version: int, *held: bytes, name: str = 'yard'
) -> None:
    control.put(
        'client-accounts',
        name,
        version,
        authenticated=True,
        key_digests=[keys.digest_of(key) for key in held],
    )


def test_key_taken_away_is_refused_and_named_as_revoked() -> None:
    """A revoked key that goes on working lets its finder act."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control, 1, _KEY)
        control.declare('stock')
        with fixtures.announced_target(control, 'stock-a'):
            fixtures.wait_for_targets(entry, 'stock-a')
            control.wait_in_force()
            served = fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
            assert served.status == 200, served
            _declare(control, 2, _OTHER_KEY)
            control.wait_in_force()
            revision = control.daemon.store.revision
            refused = fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
    assert refused.status == 401, refused
    assert refused.outcome == 'not-run/revoked-key', refused
    assert f'revision {revision}'.encode() in refused.body, refused


@contextlib.contextmanager
def _busy_target(
    control: fixtures.Control, received: list[bytes], done: event.Event
) -> typing.Iterator[None]:
    """Yields while a target with one slot answers once ``done`` is set."""

    def handle(request: target.ReceivedRequest) -> target.Answer:
        received.append(request.head.path)
        done.wait(fixtures.TIMEOUT_S)
        return target.Answer()

    with fixtures.announced_target(control, 'stock-a', handler=handle, slots=1):
        yield


def test_request_that_waits_while_its_key_is_taken_does_not_run() -> None:
    """A request in a queue must not run with a key of the past."""
    received: list[bytes] = []
    done = event.Event()
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control, 1, _KEY)
        control.declare('stock')
        with _busy_target(control, received, done):
            fixtures.wait_for_targets(entry, 'stock-a')
            control.wait_in_force()
            asked = [
                gevent.spawn(
                    fixtures.ask, entry, f'/stock/{number}', headers=_WITH_KEY
                )
                for number in range(8)
            ]
            balancer = entry.state.balancer
            fixtures.wait_until(lambda: received and balancer.waiting_by_rank)
            _declare(control, 2)
            control.wait_in_force()
            done.set()
            answers = [task.get() for task in asked]
    statuses = sorted(answer.status for answer in answers)
    assert statuses[0] == 200, statuses
    assert statuses[-1] == 401, statuses
    assert statuses.count(200) == len(received), (statuses, received)


def test_two_accounts_with_one_key_are_refused_by_name() -> None:
    """Whose request it is must never be a matter of order."""
    with fixtures.control() as control:
        _declare(control, 1, _KEY)
        with CASE.assertRaises(api_client.ApiRefusedError) as caught:
            _declare(control, 1, _OTHER_KEY, _KEY, name='counter')
        text = str(caught.exception)
        for expected in ("'yard'", "'counter'", 'key_digests'):
            assert expected in text, text
        assert _KEY.decode() not in text
        assert keys.digest_of(_KEY) not in text
        _declare(control, 2)
        _declare(control, 1, _OTHER_KEY, _KEY, name='counter')


def test_cut_off_entry_can_refuse_keys_that_may_be_revoked() -> None:
    """Where keys must end in time, nobody else can end them there."""
    with (
        fixtures.control() as control,
        fixtures.entry(
            control, arguments=['--stale_config=serve-keyless']
        ) as entry,
    ):
        _declare(control, 1, _KEY)
        control.declare('stock')
        control.declare('prices', route={'public': True})
        with (
            fixtures.announced_target(control, 'stock-a'),
            fixtures.announced_target(control, 'prices-a', service='prices'),
        ):
            fixtures.wait_for_targets(entry, 'stock-a', 'prices-a')
            control.wait_in_force()
            control.daemon.disconnect_entries()
            fixtures.wait_until(lambda: not entry.state.is_fresh)
            refused = fixtures.ask(entry, '/stock/x', headers=_WITH_KEY)
            served = fixtures.ask(entry, '/prices/x')
    assert refused.outcome == 'not-run/stale-configuration', refused
    assert served.status == 200, served


def test_relayed_request_of_a_vanished_account_is_refused() -> None:
    """The entry that relayed it may have an older configuration."""
    with fixtures.control() as control, fixtures.entry(control) as entry:
        _declare(control, 1, _KEY)
        control.declare('stock')
        control.wait_in_force()
        entry_state = entry.state
        route = entry_state.routing_table.find_route(b'/stock/x')
        name_header = entry_state.dialect.account
        relayed = {
            name: http_heads.RequestHead(
                b'GET',
                b'/stock/x',
                http_heads.HeaderBlock(),
                [(name_header, name.encode())],
                http_heads.Framing.NONE,
                0,
                keeps_alive=True,
                is_http_one_zero=False,
            )
            for name in ('yard', 'gone')
        }
        identity = authentication.identify(
            entry_state, relayed['yard'], route, is_relayed=True
        )
        assert identity.account is not None
        with CASE.assertRaises(outcomes.RefusedError) as caught:
            authentication.identify(
                entry_state, relayed['gone'], route, is_relayed=True
            )
        CASE.assertEqual(caught.exception.status, 401)
        _declare(control, 1, _OTHER_KEY, name='counter')
        control.client.call('DELETE', '/v1/client-accounts/yard?version=2')
        control.wait_in_force()
        with CASE.assertRaises(outcomes.RefusedError) as caught:
            authentication.check_still_allowed(entry_state, identity)
        CASE.assertEqual(caught.exception.status, 401)
