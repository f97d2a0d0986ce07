"""Tests of the platform's calls against a running control host."""

from __future__ import annotations

import itertools
import json
import typing
import unittest

from gevent import socket

from testing import fixtures
from testing.platform_adapter import control_hosts, samples

CASE: typing.Final = unittest.TestCase()

#: Start of a run after that of `samples.heartbeat`, in ms since the epoch.
_LATER_BORN: typing.Final = samples.BORN + 9000


def test_configuration_is_read_back_as_it_was_put() -> None:
    """Guards against dropping unknown fields when a document is stored.

    Before the first configuration is put, a read is refused.
    """
    with control_hosts.running() as platform:
        CASE.assertEqual(platform.call('GET', '/configuration/get')[0], 503)
        document = samples.configuration(7)
        document['unknown'] = 'kept'
        CASE.assertEqual(platform.put(document), 200)
        CASE.assertEqual(platform.read_configuration(), document)


def test_version_that_is_not_higher_is_acknowledged_and_changes_nothing() -> (
    None
):
    """Guards against applying a resent, changed or older version."""
    with control_hosts.running() as platform:
        first = samples.configuration(7)
        platform.put(first)
        revision = platform.daemon.store.revision
        for version in (7, 6):
            other = samples.configuration(version)
            other['listeners'] = []
            CASE.assertEqual(platform.put(other), 200)
        CASE.assertEqual(platform.read_configuration(), first)
        CASE.assertEqual(platform.daemon.store.revision, revision)


def test_first_configuration_may_be_r0() -> None:
    """It was acknowledged and dropped: no read returned it (review/8)."""
    with control_hosts.running() as platform:
        document = samples.configuration(0)
        CASE.assertEqual(platform.put(document), 200)
        CASE.assertEqual(platform.read_configuration(), document)
        CASE.assertEqual(platform.put(samples.configuration(0)), 200)
        CASE.assertGreater(platform.daemon.store.revision, 0)


def test_configuration_with_a_version_of_any_size_is_put_and_read_back() -> (
    None
):
    """Guards against a valid version above 64 bits that stops control hosts.

    Versions compare as their numbers do, whatever their size. Issue 34.
    """
    with control_hosts.running() as platform:
        versions = (7, 1 << 64, 20261205084714000001, 10**300)
        for version in versions:
            document = samples.configuration(version)
            CASE.assertEqual(platform.put(document), 200)
            CASE.assertEqual(platform.read_configuration(), document)
        CASE.assertEqual(platform.put(samples.configuration(1 << 64)), 200)
        CASE.assertEqual(
            platform.read_configuration()['version'], f'r{versions[-1]}'
        )
        path = '/evacuation/south-1/start'
        CASE.assertEqual(platform.call('POST', path)[0], 200)


def test_refused_configuration_changes_nothing() -> None:
    """Guards against applying only the valid parts of a configuration."""
    with control_hosts.running() as platform:
        first = samples.configuration(7)
        platform.put(first)
        broken = samples.configuration(8)
        broken['clusters'] = []
        CASE.assertEqual(platform.put(broken), 400)
        CASE.assertEqual(
            platform.call('POST', '/configuration/put', b'{"version"')[0],
            400,
        )
        CASE.assertEqual(platform.read_configuration(), first)


def test_configuration_replaces_all_routes_at_once() -> None:
    """Guards against routes of the old version that stay in force."""
    with control_hosts.running() as platform:
        platform.put(samples.configuration(7))
        second = samples.configuration(9)
        second['listeners'][0]['rules'].pop()
        platform.put(second)
        routes = platform.daemon.store.list_kind('routes')
        CASE.assertEqual([route.name for route in routes], ['r-order'])


def test_draining_target_takes_no_new_work_and_stays_so() -> None:
    """Guards against late heartbeats that make a draining run available again.

    Only a later run of the target gets requests again.
    """
    with control_hosts.running() as platform:
        CASE.assertEqual(platform.send_heartbeat('i-1'), 200)
        targets = platform.daemon.targets
        CASE.assertFalse(targets.get('i-1').is_leaving)
        platform.send_heartbeat('i-1', state='draining', sequence=5)
        CASE.assertTrue(targets.get('i-1').is_leaving)
        platform.send_heartbeat('i-1', sequence=3)
        platform.send_heartbeat('i-1', sequence=6)
        CASE.assertTrue(targets.get('i-1').is_leaving)
        platform.send_heartbeat('i-1', born=1_700_000_009_000, sequence=1)
        CASE.assertFalse(targets.get('i-1').is_leaving)
        platform.send_heartbeat('i-1', sequence=9)
        CASE.assertEqual(targets.get('i-1').incarnation, 1_700_000_009_000)


def test_draining_run_is_not_acknowledged_before_its_end_is_committed() -> None:
    """Its heartbeat was taken for a late one if a later run was known.

    Other hosts may not know the later run, whose clock may also be ahead.
    Issue 62.
    """
    with control_hosts.running() as platform:
        platform.send_heartbeat('i-1', born=_LATER_BORN)
        ended = platform.daemon.cluster.state.ended_targets
        elsewhere = platform.send_heartbeat(
            'i-1', state='draining', address='10.0.0.99:8080'
        )
        CASE.assertEqual(elsewhere, 200)
        CASE.assertTrue(ended.is_ended('i-1', samples.BORN))
        CASE.assertFalse(platform.daemon.targets.get('i-1').is_leaving)
        in_place = platform.send_heartbeat('i-1', state='draining')
        CASE.assertEqual(in_place, 409)


def test_deregistered_target_is_not_revived() -> None:
    """Guards against late heartbeats that bring a deregistered target back.

    One target deregisters without draining first; the first heartbeat of the
    other comes after its deregistration.
    """
    with control_hosts.running() as platform:
        platform.send_heartbeat('i-1')
        CASE.assertEqual(
            platform.call('POST', '/instances/i-1/deregister')[0],
            200,
        )
        CASE.assertTrue(platform.daemon.targets.get('i-1').is_leaving)
        CASE.assertEqual(
            platform.call('POST', '/instances/i-2/deregister')[0],
            200,
        )
        CASE.assertEqual(platform.send_heartbeat('i-2'), 200)
        names = [row.name for row in platform.daemon.targets.list_targets()]
        CASE.assertEqual(names, ['i-1'])


def test_deregistration_under_a_name_that_no_target_has_is_refused() -> None:
    """Guards against kept names of any size, which the last 10,000 were."""
    with control_hosts.running() as platform:
        ended = platform.daemon.cluster.state.ended_targets
        for name, status in (('x' * 63, 200), ('x' * 8000, 400), ('%20', 400)):
            path = f'/instances/{name}/deregister'
            CASE.assertEqual(platform.call('POST', path)[0], status, name)
        # No heartbeat passes either, so nobody needs such a deregistration.
        CASE.assertEqual(platform.send_heartbeat('x' * 64), 400)
        CASE.assertEqual(list(ended.snapshot()), ['x' * 63])


def test_malformed_heartbeat_registers_no_target() -> None:
    """Guards against targets from heartbeats with missing or invalid fields."""
    invalid_changes: tuple[dict[str, typing.Any], ...] = (
        {'service': None},
        {'service': 7},
        {'address': 'nowhere'},
        {'address': None},
        {'slots': '2'},
        {'slots': 0},
        {'state': 'asleep'},
        {'sequence': 1.5},
        {'cold_remaining_s': 'long'},
        {'born': 'today'},
        {'zone': []},
    )
    with control_hosts.running() as platform:
        platform.send_heartbeat('i-1')
        for changes in invalid_changes:
            with CASE.subTest(changes=changes):
                CASE.assertEqual(platform.send_heartbeat('i-9', **changes), 400)
        path = '/instances/i-9/heartbeat'
        for body in (b'', b'\xff\xfe', b'[]', b'{', b'"x"'):
            CASE.assertEqual(platform.call('POST', path, body)[0], 400)
        names = [row.name for row in platform.daemon.targets.list_targets()]
        CASE.assertEqual(names, ['i-1'])


def _send_and_leave(platform: control_hosts.PlatformClient, path: str) -> None:
    """Sends a call whose caller has left before the control host reads it."""
    port = platform.daemon.api_port
    with socket.create_connection(('127.0.0.1', port)) as connection:
        connection.sendall(fixtures.request_bytes(path, method='POST'))
    # Each later call is answered after the first one was read.
    for _ in range(20):
        platform.call('GET', '/healthz')


def test_call_whose_caller_has_left_changes_nothing() -> None:
    """Guards against calls that a frozen control host reads when it wakes.

    Their callers have sent them to other hosts, and newer ones after them.
    Issue 34.
    """
    with control_hosts.running() as platform:
        platform.send_heartbeat('i-1')
        platform.call('POST', '/evacuation/south-1/start')
        for path in (
            '/evacuation/south-1/end',
            '/evacuation/north-1/start',
            '/instances/i-1/deregister',
        ):
            _send_and_leave(platform, path)
        store = platform.daemon.store
        domains = store.list_kind('failure-domains')
        CASE.assertEqual(
            [(domain.name, domain.spec) for domain in domains],
            [('south-1', {'region': 'south', 'state': 'out'})],
        )
        CASE.assertFalse(platform.daemon.targets.get('i-1').is_leaving)


#: Heartbeats of another writer; each names no target that can be used.
_ODD_CHANGES: typing.Final[tuple[dict[str, typing.Any], ...]] = (
    {'address': '[fe80::1%\ud800]:8080'},
    {'address': f'[fe80::1%{"x" * 70}]:8080'},
    {'address': '[fe80::1%a..b]:8080'},
    {'address': '10.0.0.9:65536'},
    {'address': '10.0.0.9:0'},
    {'address': '10.0.0.9:-1'},
    {'address': f'10.0.0.9:{"9" * 5000}'},
    {'address': '10.0.0.9:\u0663\u0663'},
    {'address': '\ud800:8080'},
    {'service': '\ud800'},
    {'zone': '\ud800'},
    {'slots': 10**30},
    {'sequence': 10**30},
    {'born': 10**30},
    {'cold_remaining_s': 10**400},
    {'service': [[[]]]},
)
_NESTED_BODIES: typing.Final = (
    b'[' * 100_000,
    b'{"a":' * 100_000,
    b'[' * 900 + b']' * 900,
    b'{"service":' + b'[' * 900 + b']' * 900 + b'}',
    b'{"slots":' + b'9' * 5000 + b'}',
)


def test_odd_heartbeat_names_no_target_and_the_others_hold() -> None:
    """Guards against an odd entry that ends what reads the list of targets.

    The stream to an entry ended on an address that has no encoding. Issue 34.
    """
    with control_hosts.running() as platform:
        control = fixtures.Control(platform.daemon)
        with fixtures.entry(control) as entry:
            path = '/instances/i-odd/heartbeat'
            for changes in _ODD_CHANGES:
                CASE.assertEqual(
                    platform.send_heartbeat('i-odd', **changes), 400, changes
                )
            for body in _NESTED_BODIES:
                CASE.assertEqual(
                    platform.call('POST', path, body)[0], 400, body[:20]
                )
            platform.send_heartbeat('i-1')
            fixtures.wait_for_targets(entry, 'i-1')
            CASE.assertEqual(list(entry.state.balancer.all_targets), ['i-1'])
            names = [row.name for row in platform.daemon.targets.list_targets()]
            CASE.assertEqual(names, ['i-1'])


def test_configuration_that_cannot_be_read_is_refused_at_any_version() -> None:
    """Guards against 500 for a document that no sending again makes valid.

    One whose version is not higher was acknowledged though invalid. Issue 34.
    """
    with control_hosts.running() as platform:
        first = samples.configuration(7)
        platform.put(first)
        for body in _NESTED_BODIES:
            answer = platform.call('POST', '/configuration/put', body)
            CASE.assertEqual(answer[0], 400, body[:20])
        for version, text in itertools.product(
            (6, 7, 8), ('\ud800', 'a\udfffb')
        ):
            for where in ('host', 'name', 'service'):
                document = samples.configuration(version)
                listener = document['listeners'][0]
                rule = listener['rules'][0]
                if where == 'service':
                    document['clusters'][0]['name'] = text
                else:
                    (listener if where == 'host' else rule)[where] = text
                CASE.assertEqual(platform.put(document), 400, (version, where))
        CASE.assertEqual(platform.read_configuration(), first)


def test_zone_is_taken_out_and_back_whatever_was_sent_before() -> None:
    """Guards against refusing a repeated evacuation order."""
    with control_hosts.running() as platform:
        for turn in ('start', 'start', 'end', 'end', 'start'):
            path = f'/evacuation/south-1/{turn}'
            CASE.assertEqual(platform.call('POST', path)[0], 200)
        state = platform.daemon.store.get('failure-domains', 'south-1').spec
        CASE.assertEqual(state, {'region': 'south', 'state': 'out'})
        CASE.assertEqual(
            platform.call('POST', '/evacuation/nowhere/start')[0],
            404,
        )


def test_rollout_is_started_and_read_back() -> None:
    """Guards against an order that is refused, or not shown as running.

    The same order again is acknowledged.
    """
    with control_hosts.running() as platform:
        platform.put(samples.configuration(7))
        order = samples.encoded(
            {'service': 'order', 'target_version': 'v2', 'duration_s': 12}
        )
        CASE.assertEqual(platform.call('GET', '/rollouts/order/get')[0], 404)
        for _ in range(2):
            CASE.assertEqual(
                platform.call('POST', '/rollouts/start', order)[0], 200
            )
        status, body = platform.call('GET', '/rollouts/order/get')
        CASE.assertEqual(status, 200)
        CASE.assertEqual(
            json.loads(body), {'state': 'running', 'target_version': 'v2'}
        )


def test_rollout_that_cannot_be_is_refused() -> None:
    """Guards against orders that break the host or never end."""
    with control_hosts.running() as platform:
        platform.put(samples.configuration(7))
        proper = {'service': 'order', 'target_version': 'v2', 'duration_s': 12}
        for changes, status in (
            ({'service': 'unknown'}, 404),
            ({'service': 7}, 400),
            ({'target_version': ''}, 400),
            ({'target_version': None}, 400),
            ({'duration_s': 0}, 400),
            ({'duration_s': -1}, 400),
            ({'duration_s': 'x'}, 400),
            ({'duration_s': 10**400}, 400),
            ({'duration_s': None}, 400),
        ):
            body = samples.encoded({**proper, **changes})
            CASE.assertEqual(
                platform.call('POST', '/rollouts/start', body)[0],
                status,
                changes,
            )
        for body in (b'', b'[]', b'{"service":"order"}'):
            CASE.assertEqual(
                platform.call('POST', '/rollouts/start', body)[0], 400
            )
        platform.call('POST', '/rollouts/start', samples.encoded(proper))
        other = samples.encoded({**proper, 'target_version': 'v3'})
        CASE.assertEqual(
            platform.call('POST', '/rollouts/start', other)[0], 409
        )


def test_heartbeat_version_is_kept_if_it_can_be() -> None:
    """Guards against targets that are dropped for an odd version."""
    with control_hosts.running() as platform:
        for number, (given, kept) in enumerate(
            (
                ('v2', 'v2'),
                ('', ''),
                (None, ''),
                (7, ''),
                ('\ud800', ''),
            )
        ):
            name = f'target-{number}'
            CASE.assertEqual(
                platform.send_heartbeat(name, version=given), 200, given
            )
            CASE.assertEqual(platform.daemon.targets.get(name).version, kept)
