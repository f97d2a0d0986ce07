"""Compares whole command sessions with their golden files."""

from __future__ import annotations

import json
import pathlib
import typing

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
