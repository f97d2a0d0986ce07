"""Tests of the resource API: bad input, races, watches, announcements."""

from __future__ import annotations

import itertools
import json
import typing
import unittest

import gevent

from mulberryquay.commands import api_client
from mulberryquay.control import directory, replicated_state
from mulberryquay.coordination import clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_ANNOUNCEMENT: typing.Final = {
    'name': 't',
    'service': 's',
    'address': '127.0.0.1:80',
    'region': 'r',
    'domain': 'd',
    'slots': 2,
    'connections': 10,
    'incarnation': 5,
}

#: Method, path, body and the expected error code.
BAD_REQUESTS: typing.Final[tuple[tuple[str, str, typing.Any, str], ...]] = (
    ('PUT', '/v1/services/a', None, 'invalid-input'),
    ('PUT', '/v1/services/a', [], 'invalid-input'),
    ('PUT', '/v1/services/a', {'version': 1}, 'invalid-input'),
    ('PUT', '/v1/services/a', {'version': 0, 'spec': {}}, 'invalid-input'),
    ('PUT', '/v1/services/a', {'version': True, 'spec': {}}, 'invalid-input'),
    ('PUT', '/v1/services/a', {'version': 1.5, 'spec': {}}, 'invalid-input'),
    ('PUT', '/v1/services/a', {'version': 1, 'spec': []}, 'invalid-resource'),
    (
        'PUT',
        '/v1/services/a',
        {'version': 1, 'spec': {'x': 1}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/services/a',
        {'version': 1, 'spec': {'timeout_ms': 0}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/services/a',
        {'version': 1, 'spec': {'timeout_ms': 'x'}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/services/UPPER',
        {'version': 1, 'spec': {}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/failure-domains/a',
        {'version': 1, 'spec': {}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/failure-domains/a',
        {'version': 1, 'spec': {'region': 'r', 'state': 'half'}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/routes/a',
        {'version': 1, 'spec': {'path_prefix': 'x', 'service': 's'}},
        'invalid-resource',
    ),
    (
        'PUT',
        '/v1/client-accounts/a',
        {'version': 1, 'spec': {'home_regions': ['r', 'r']}},
        'invalid-resource',
    ),
    ('PUT', '/v1/targets/a', {'version': 1, 'spec': {}}, 'read-only-kind'),
    ('PUT', '/v1/nonsense/a', {'version': 1, 'spec': {}}, 'unknown-part'),
    ('GET', '/v1/nonsense', None, 'unknown-part'),
    ('GET', '/v1/services/none', None, 'not-found'),
    ('GET', '/v1/targets/none', None, 'unknown-target'),
    ('GET', '/v1/services?watch=1&since=x', None, 'invalid-input'),
    ('GET', '/v1/services?watch=1&since=999', None, 'revision-compacted'),
    ('GET', '/v1/revisions/999', None, 'not-found'),
    ('GET', '/nothing', None, 'unknown-path'),
    ('DELETE', '/v1/services/none?version=1', None, 'not-found'),
    ('DELETE', '/v1/services/none', None, 'invalid-input'),
    ('PATCH', '/v1/services/none', None, 'method-not-allowed'),
    ('POST', '/v1/announcements', {}, 'invalid-resource'),
    (
        'POST',
        '/v1/announcements',
        {**_ANNOUNCEMENT, 'address': 'host:80'},
        'invalid-resource',
    ),
    (
        'POST',
        '/v1/announcements',
        {**_ANNOUNCEMENT, 'slots': 0},
        'invalid-resource',
    ),
    ('PUT', '/v1/announcements/none', {'incarnation': 1}, 'unknown-target'),
    ('PUT', '/v1/announcements/none', {}, 'invalid-input'),
    ('DELETE', '/v1/announcements/none?incarnation=1', None, 'unknown-target'),
)


def _code_of(client: api_client.ApiClient, *request: typing.Any) -> str:
    try:
        client.call(*request)
    except api_client.ApiRefusedError as error:
        CASE.assertTrue(400 <= error.status < 500, request)
        return error.api_code
    return 'accepted'


def test_bad_input_gets_a_typed_error() -> None:
    """Guards against input that causes an untyped error or is accepted."""
    with fixtures.control() as control:
        for method, path, body, code in BAD_REQUESTS:
            got = _code_of(control.client, method, path, body)
            CASE.assertEqual(got, code, f'{method} {path} {body}')
        CASE.assertEqual(control.daemon.store.revision, 0)


def test_answers_are_not_mixed_up_between_concurrent_requests() -> None:
    """Guards against concurrent requests that share bottle's thread local.

    See `web.new_app`.
    """
    with fixtures.control() as control:
        for number in range(20):
            control.put('services', f's{number}', timeout_ms=1000 + number)

        def read(number: int) -> None:
            client = api_client.ApiClient(control.api)
            for _repeat in range(10):
                spec = client.call('GET', f'/v1/services/s{number}')['spec']
                CASE.assertEqual(spec['timeout_ms'], 1000 + number)
                announcement = {**_ANNOUNCEMENT, 'name': f't{number}'}
                row = client.call('POST', '/v1/announcements', announcement)
                CASE.assertEqual(row['name'], f't{number}')

        tasks = [gevent.spawn(read, number) for number in range(20)]
        gevent.joinall(tasks, raise_error=True)


def test_concurrent_puts_of_one_version_have_one_winner() -> None:
    """Guards against lost updates when operators use the same version."""
    with fixtures.control() as control:

        def put(number: int) -> str:
            body = {'version': 1, 'spec': {'timeout_ms': number + 1}}
            client = api_client.ApiClient(control.api)
            return _code_of(client, 'PUT', '/v1/services/s', body)

        tasks = [gevent.spawn(put, number) for number in range(6)]
        gevent.joinall(tasks, raise_error=True)
        codes = sorted(task.value for task in tasks)
        CASE.assertEqual(codes, ['accepted'] + ['version-conflict'] * 5)


def test_watch_shows_each_change_once_in_order() -> None:
    """Guards against losing changes made between a list and its watch."""
    with fixtures.control() as control:
        control.put('services', 'a')
        listed = control.client.call('GET', '/v1/services')['revision']
        control.put('services', 'b')
        control.put('failure-domains', 'd', region='r')
        control.put('services', 'c')
        watcher = api_client.ApiClient(control.api)
        path = f'/v1/services?watch=1&since={listed}'
        names = [
            change['name']
            for change in itertools.islice(watcher.stream(path), 2)
        ]
        CASE.assertEqual(names, ['b', 'c'])


def test_announcement_ends_and_a_late_one_is_refused() -> None:
    """Guards against late announcements that bring an ended target back.

    A new incarnation starts cold, an earlier or ended one is refused, and a
    leaving target is removed when its lease ends.
    """
    with fixtures.control(target_lease_ms=1000) as control:
        call = control.client.call
        announce = ('POST', '/v1/announcements')
        call(*announce, _ANNOUNCEMENT)
        stale = {**_ANNOUNCEMENT, 'incarnation': 4}
        CASE.assertEqual(
            _code_of(control.client, *announce, stale),
            'stale-incarnation',
        )
        control.daemon.targets.record_served('t', 4)
        CASE.assertEqual(call('GET', '/v1/targets/t')['allowance'], 2)
        restarted = {**_ANNOUNCEMENT, 'incarnation': 6}
        CASE.assertEqual(call(*announce, restarted)['allowance'], 1)
        left = call('DELETE', '/v1/announcements/t?incarnation=6')
        CASE.assertTrue(left['is_leaving'])
        fixtures.wait_until(lambda: not call('GET', '/v1/targets')['items'])
        CASE.assertEqual(
            _code_of(control.client, *announce, restarted),
            'stale-incarnation',
        )
        changes = control.client.stream('/v1/targets?watch=1&since=0')
        reasons = [change['reason'] for change in itertools.islice(changes, 5)]
        CASE.assertEqual(
            reasons,
            ['announced', 'allowance', 'restarted', 'leaving', 'left'],
        )


def test_restarted_control_host_restores_allowances() -> None:
    """Guards against warm targets being cold after a control host restart.

    Either the target or the entry may reconnect first.
    """
    for is_target_first in (True, False):
        time_source = clock.ManualClock()
        ended = replicated_state.ReplicatedState().ended_targets
        targets = directory.Directory(time_source, ended=ended)
        hint = directory.AllowanceHint(incarnation=5, granted=2, is_warm=True)
        if is_target_first:
            targets.announce(_ANNOUNCEMENT)
        targets.add_hint('t', hint)
        if not is_target_first:
            targets.announce(_ANNOUNCEMENT)
        row = targets.get('t')
        CASE.assertEqual((row.allowance, row.is_warm), (2, True))
        restarted = targets.announce({**_ANNOUNCEMENT, 'incarnation': 6})
        CASE.assertEqual((restarted.allowance, restarted.is_warm), (1, False))
        time_source.advance(directory.TARGET_LEASE_MS)
        targets.add_hint('t', hint._replace(incarnation=6))
        CASE.assertEqual(targets.get('t').allowance, 1)


def test_announcement_with_a_long_version_is_refused() -> None:
    """Every change of the target would keep it."""
    with fixtures.control() as control:
        for length, status in ((1024, 200), (1025, 400)):
            body = fixtures.announcement(
                'stock-a', '127.0.0.1:9', version='x' * length
            )
            answer = fixtures.send(
                control.daemon.api_port,
                fixtures.request_bytes(
                    '/v1/announcements',
                    method='POST',
                    body=json.dumps(body).encode(),
                ),
            )
            CASE.assertEqual(answer.status, status, answer.body)
