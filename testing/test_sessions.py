"""Compares whole command sessions with their golden files."""

from __future__ import annotations

import json
import pathlib
import typing

from mulberryquay.accounts import keys
from testing import fixtures, sessions

_RESOURCES: typing.Final[tuple[tuple[str, str, typing.Any], ...]] = (
    ('failure-domains', 'north-1', {'region': 'north'}),
    ('failure-domains', 'north-2', {'region': 'north'}),
    ('service-classes', 'lookup', {'idempotent': True}),
    ('services', 'stock', {}),
    (
        'routes',
        'stock',
        {
            'path_prefix': '/stock',
            'service': 'stock',
            'service_class': 'lookup',
        },
    ),
)


def _write_resources(folder: pathlib.Path) -> None:
    resources = [
        {'kind': kind, 'name': name, 'version': 1, 'spec': spec}
        for kind, name, spec in _RESOURCES
    ]
    (folder / 'stock.json').write_text(json.dumps(resources))


def test_session_of_a_first_day() -> None:
    """Guards against unintended changes of what commands print.

    The session applies resources, sends requests, drains and restores a
    domain, lets a target leave and watches the changes.
    """
    with (
        fixtures.folder() as folder,
        fixtures.control() as control,
        fixtures.entry(control) as entry,
    ):
        _write_resources(folder)
        session = sessions.Session(control.api)
        session.add_comment('nothing is declared yet')
        session.ask(entry, '/stock/canvas')
        session.add_comment('the operator declares a service')
        path = str(folder / 'stock.json')
        session.run('apply', '-f', path)
        session.add_comment('the same file again changes nothing')
        session.run('apply', '-f', path)
        session.add_comment('no target has announced itself')
        session.ask(entry, '/stock/canvas')
        _follow_targets(session, control, entry)
        session.add_comment('every accepted change, from the beginning')
        session.run('watch', '--since=0', '--count=7')
        session.add_comment('mistakes')
        session.run('drain', 'north-9')
        session.run('get', 'nonsense')
        session.run('account', 'entry-9-00000000000-1')
        session.compare('first-day')


def _follow_targets(
    session: sessions.Session,
    control: fixtures.Control,
    entry: typing.Any,
) -> None:
    with (
        fixtures.announced_target(control, 'stock-a', domain='north-1'),
        fixtures.announced_target(
            control, 'stock-b', domain='north-2'
        ) as leaving,
    ):
        fixtures.wait_for_targets(entry, 'stock-a', 'stock-b')
        session.add_comment('two targets announced themselves')
        answered = session.ask(entry, '/stock/canvas?size=4')
        session.run('account', answered.headers['mulberryquay-request-id'])
        session.add_comment('the domain of the first is taken out')
        session.run('drain', 'north-1')
        session.ask(entry, '/stock/canvas')
        session.add_comment('the target of the other domain leaves')
        target = control.daemon.targets.get('stock-b')
        control.daemon.targets.leave(
            'stock-b',
            incarnation=target.incarnation,
        )
        target_states = entry.state.balancer.all_targets
        fixtures.wait_until(lambda: not target_states['stock-b'].limit)
        session.ask(entry, '/stock/canvas')
        session.add_comment('the domain comes back')
        session.run('restore', 'north-1')
        session.ask(entry, '/stock/canvas')
        assert leaving.in_flight == 0


def _write_account(
    folder: pathlib.Path, name: str, version: int, *held: str
) -> str:
    """Returns the path of a file that declares an account with keys."""
    path = folder / f'{name}.json'
    spec = {
        'authenticated': True,
        'key_digests': [keys.digest_of(key.encode()) for key in held],
    }
    resource = {
        'kind': 'client-accounts',
        'name': name,
        'version': version,
        'spec': spec,
    }
    path.write_text(json.dumps([resource]))
    return str(path)


def test_session_of_keys() -> None:
    """Guards against commands and errors that show a key.

    The session makes a digest, declares accounts, asks with and without a
    key, tries to give one key to two accounts and takes it away.
    """
    first, second = 'n4ryrbbkf83fgfwrz56a', 'w63is47qdqiqrh4jcda9'
    with_key = {'Authorization': f'Bearer {first}'}
    with (
        fixtures.folder() as folder,
        fixtures.control() as control,
        fixtures.entry(control) as entry,
    ):
        session = sessions.Session(control.api)
        session.add_comment('the digest of a key that is typed')
        session.run('key-digest', typed=f'{first}\n')
        session.add_comment('nothing is typed')
        session.run('key-digest', typed='')
        control.declare('stock')
        with fixtures.announced_target(control, 'stock-a'):
            fixtures.wait_for_targets(entry, 'stock-a')
            session.add_comment('an account with one key')
            path = _write_account(folder, 'yard', 1, first)
            session.run('apply', '-f', path)
            session.run('get', 'client-accounts', 'yard')
            session.add_comment('without a key, then with it')
            session.ask(entry, '/stock/canvas')
            session.ask(entry, '/stock/canvas', headers=with_key)
            session.add_comment('the same key for another account')
            path = _write_account(folder, 'counter', 1, second, first)
            session.run('apply', '-f', path)
            session.add_comment('another key in its place')
            path = _write_account(folder, 'yard', 2, second)
            session.run('apply', '-f', path)
            session.ask(entry, '/stock/canvas', headers=with_key)
        session.compare('keys')
    golden = (sessions.GOLDEN_FOLDER / 'keys.txt').read_text()
    assert first not in golden
    assert second not in golden
