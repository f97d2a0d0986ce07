"""Tests of whole configurations in the product's own form."""

from __future__ import annotations

import copy
import math
import typing
import unittest

from mulberryquay.accounts import keys
from mulberryquay.control import configuration
from mulberryquay.coordination import errors
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_DIGEST: typing.Final = keys.digest_of(b'sk-4f-geheim')
_TWO_LINES: typing.Final = 'a\r\nX-Evil: 1'

Json = typing.Any
_Change = typing.Callable[[Json], typing.Any]

_RESOURCES: typing.Final = (
    {'kind': 'services', 'name': 'stock', 'spec': {}},
    {
        'kind': 'routes',
        'name': 'r',
        'spec': {'path_prefix': '/', 'service': 'stock', 'timeout_ms': 2000},
    },
    {
        'kind': 'client-accounts',
        'name': 'acme',
        'spec': {'authenticated': True, 'key_digests': [_DIGEST]},
    },
    {'kind': 'client-accounts', 'name': 'beta', 'spec': {}},
)


def _changed(change: _Change | None = None) -> list[Json]:
    resources = copy.deepcopy(list(_RESOURCES))
    if change is not None:
        change(resources)
    return resources


def _refusal(resources: Json) -> str:
    """Returns the message of the refusal, '' if it is accepted."""
    try:
        configuration.check(resources, fixtures.KERNEL.resource_kinds)
    except errors.InvalidInputError as error:
        CASE.assertEqual(error.http_status, 400)
        return str(error)
    return ''


def _set_route(**fields: Json) -> _Change:
    return lambda resources: resources[1]['spec'].update(fields)


def _set_account(**fields: Json) -> _Change:
    return lambda resources: resources[3]['spec'].update(fields)


_GOLDEN: typing.Final[tuple[tuple[_Change, str], ...]] = (
    (_set_route(service='none'), "route 'r': service 'none' is not declared"),
    (
        _set_route(service=None, split={'none': 1}),
        "route 'r': service 'none' is not declared",
    ),
    (
        _set_route(timeout_ms=600_001),
        "route 'r': got timeout_ms 600001, expected at most 600000",
    ),
    (
        _set_route(timeout_ms=1 << 70),
        f"routes 'r'.timeout_ms: got {1 << 70}, expected a whole number from "
        '0 to 3600000',
    ),
    (
        _set_route(objective_ms=62_000),
        "route 'r': got objective_ms 62000, expected less than a minute above "
        'timeout_ms 2000',
    ),
    (
        _set_route(path_prefix='order/'),
        "routes 'r'.path_prefix: got 'order/', expected a string that starts "
        "with '/'",
    ),
    (
        _set_route(host=''),
        "routes 'r'.host: got '', expected a non-empty string",
    ),
    (
        _set_account(key_digests=[_DIGEST]),
        "client accounts 'acme' and 'beta': key_digests: expected no key in "
        'both',
    ),
    (
        _set_account(key_digests=['sk-4f-geheim']),
        "client-accounts 'beta'.key_digests[0]: expected 32 hexadecimal digits "
        'in lower case',
    ),
    (
        _set_account(rate_per_s=math.nan),
        "client-accounts 'beta'.rate_per_s: got nan, expected a number from 0 "
        'to 1000000',
    ),
    (
        _set_account(burst=-1),
        "client-accounts 'beta'.burst: got -1, expected a number from 0 to "
        '1000000',
    ),
    (
        lambda resources: resources[3].update(name='acme'),
        "resources: client-accounts 'acme' is declared twice",
    ),
    (
        lambda resources: resources[3].update(name=_TWO_LINES),
        f'client-accounts: got name {_TWO_LINES!r}, expected no control '
        'characters, and no spaces at the ends',
    ),
    (
        lambda resources: resources.append(['sk-4f-geheim']),
        'got resource a list of 1, expected kind, name and spec',
    ),
)


def test_each_broken_rule_names_the_field_and_the_value() -> None:
    """Guards against refusals that name no field, or show a key."""
    CASE.assertEqual(_refusal(_changed()), '')
    for change, expected in _GOLDEN:
        with CASE.subTest(expected=expected):
            CASE.assertEqual(_refusal(_changed(change)), expected)


def test_broken_configuration_changes_nothing() -> None:
    """Guards against parts of a refused configuration, and its version."""
    with fixtures.control() as control, fixtures.entry(control):
        whole = '/v1/configuration'
        control.client.call(
            'PUT', whole, {'version': 7, 'resources': _changed()}
        )
        control.wait_in_force()
        revision = control.daemon.store.revision
        for change, _ in _GOLDEN:
            body = {'version': 100, 'resources': _changed(change)}
            with CASE.assertRaises(errors.MulberryquayError):
                control.client.call('PUT', whole, body)
        CASE.assertEqual(control.daemon.store.revision, revision)
        held = control.client.call('GET', whole)
        CASE.assertEqual(held, {'version': 7, 'resources': _changed()})
        answer = control.client.call(
            'PUT', whole, {'version': 8, 'resources': _changed()}
        )
        CASE.assertEqual(answer['held_version'], 8)
