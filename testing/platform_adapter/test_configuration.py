"""Tests of translating the platform's configurations."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.control import configuration, kinds
from mulberryquay.coordination import errors
from mulberryquay_platform import configuration as platform_configuration
from testing import fixtures
from testing.platform_adapter import samples

CASE: typing.Final = unittest.TestCase()

_Change = typing.Callable[[typing.Any], typing.Any]


def _check(body: bytes) -> configuration.Resources:
    return configuration.check(
        platform_configuration.decode(body).resources,
        fixtures.KERNEL.resource_kinds,
    )


def _rule(document: typing.Any) -> typing.Any:
    return document['listeners'][0]['rules'][0]


#: Changes that each make the sample configuration invalid.
_INVALIDATING_CHANGES: typing.Final[tuple[_Change, ...]] = (
    lambda document: _rule(document)['action'].update(service='none'),
    lambda document: _rule(document)['action'].update(timeout_s=0),
    lambda document: _rule(document)['action'].update(timeout_s=601),
    lambda document: _rule(document).update(target_latency_s=62),
    lambda document: _rule(document)['match'].update(path_prefix='order/'),
    lambda document: document['listeners'][0].update(host=''),
    lambda document: document.pop('clusters'),
    lambda document: document.update(version='7'),
    lambda document: document.update(version=7),
    lambda document: document.update(listeners=None),
    lambda document: _rule(document)['action'].update(timeout_s='2'),
    lambda document: _rule(document)['action'].update(
        allowed_regions='north',
    ),
)


def test_sample_is_translated_into_resources() -> None:
    """Guards against wrong units of time and wrong idempotence of routes."""
    by_key = {
        (kind, name): spec
        for kind, name, spec in _check(
            samples.encoded(samples.configuration()),
        )
    }
    order = by_key[kinds.ROUTE, 'r-order']
    CASE.assertEqual(order['timeout_ms'], 2000)
    CASE.assertEqual(order['objective_ms'], 500)
    CASE.assertEqual(order['home_regions'], ['north'])
    CASE.assertFalse(
        by_key[kinds.SERVICE_CLASS, order['service_class']]['idempotent'],
    )
    stock = by_key[kinds.ROUTE, 'r-stock']
    CASE.assertEqual(stock['split'], {'stock': 90, 'order': 10})
    CASE.assertTrue(
        by_key[kinds.SERVICE_CLASS, stock['service_class']]['idempotent'],
    )
    CASE.assertEqual(by_key[kinds.SERVICE, 'stock']['cold_per_s'], 2.8)


def test_each_invalid_field_refuses_the_whole_configuration() -> None:
    """Guards against invalid fields that are accepted or crash the decoder."""
    for number, change in enumerate(_INVALIDATING_CHANGES):
        document = samples.configuration()
        change(document)
        with CASE.subTest(number=number):
            with CASE.assertRaises(errors.InvalidInputError):
                _check(samples.encoded(document))


def test_document_that_is_cut_short_is_refused_at_every_length() -> None:
    """Guards against accepting a document that was truncated on its way."""
    whole = samples.encoded(samples.configuration())
    for length in range(0, len(whole), 7):
        with CASE.assertRaises(errors.InvalidInputError):
            _check(whole[:length])


def test_unknown_fields_are_ignored() -> None:
    """Guards against refusing fields that a later platform version adds."""
    document = samples.configuration()
    document['new'] = {'a': 1}
    _rule(document)['action']['new'] = 'b'
    CASE.assertTrue(_check(samples.encoded(document)))


def test_downloads_may_run_more_than_once() -> None:
    """A lost download must be tried again, and one left by its caller ended."""
    for kind, is_idempotent in (
        ('safe', True),
        ('download', True),
        ('unsafe', False),
        ('another', False),
    ):
        document = samples.configuration()
        _rule(document).update(kind=kind)
        classes = {
            name: spec
            for kind_name, name, spec in _check(samples.encoded(document))
            if kind_name == kinds.SERVICE_CLASS
        }
        CASE.assertEqual(
            classes[f'{kind}-1']['idempotent'], is_idempotent, kind
        )


def test_empty_list_of_tenants_requires_keys() -> None:
    """It was taken for no list, which lets everybody call (review/6)."""
    limits = (kinds.LIMITS, kinds.CALLER_LIMITS)
    for has_limits in (True, False):
        document = samples.configuration()
        if not has_limits:
            document.pop('limits', None)
        without = _specs(document).get(limits, {})
        CASE.assertNotEqual(without.get('authentication'), 'required')
        document['tenants'] = []
        CASE.assertEqual(_specs(document)[limits]['authentication'], 'required')


def _specs(document: typing.Any) -> dict[tuple[str, str], typing.Any]:
    return {
        (kind, name): spec
        for kind, name, spec in _check(samples.encoded(document))
    }
