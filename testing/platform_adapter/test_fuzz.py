"""Any bytes and any JSON from outside: refused as typed errors, or taken."""

from __future__ import annotations

import json
import math
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.control import configuration as declared
from mulberryquay.coordination import errors
from mulberryquay_platform import calls, configuration, headers
from testing import fixtures
from testing.platform_adapter import samples

CASE: typing.Final = unittest.TestCase()

_LEAVES: typing.Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(
        [math.inf, -math.inf, math.nan, 1e308, 10**30, -1, 0, '', 'r', 'r-1'],
    )
)
_VALUES: typing.Final = strategies.recursive(
    _LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)


def _places(document: typing.Any) -> list[tuple[typing.Any, typing.Any]]:
    """Returns container and key of each value of a document."""
    keys: list[typing.Any] = []
    if isinstance(document, dict):
        keys = list(document)
    elif isinstance(document, list):
        keys = list(range(len(document)))
    found = [(document, key) for key in keys]
    for key in keys:
        found.extend(_places(document[key]))
    return found


def _changed(
    draw: strategies.DataObject,
    document: typing.Any,
) -> bytes:
    """Returns a document with one value replaced or left out."""
    copied = json.loads(json.dumps(document))
    container, key = draw.draw(strategies.sampled_from(_places(copied)))
    if draw.draw(strategies.booleans()):
        container[key] = draw.draw(_VALUES)
    else:
        del container[key]
    return json.dumps(copied).encode()


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.data())
def test_heartbeat_with_one_foreign_value(draw: strategies.DataObject) -> None:
    """It names a target as a whole, or none at all."""
    _check_heartbeat(_changed(draw, _HEARTBEAT))


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.binary(max_size=200))
def test_heartbeat_of_any_bytes(body: bytes) -> None:
    """No other error than the typed one."""
    _check_heartbeat(body)


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.data())
def test_configuration_with_one_foreign_value(
    draw: strategies.DataObject,
) -> None:
    """It is refused with a typed 4xx error, or decoded in full."""
    body = _changed(draw, samples.configuration(7))
    try:
        decoded = configuration.decode(body)
        checked = declared.check(
            decoded.resources,
            fixtures.KERNEL.resource_kinds,
        )
    except errors.MulberryquayError as error:
        CASE.assertIn(error.http_status // 100, {4})
    else:
        CASE.assertIsInstance(decoded.version, int)
        CASE.assertEqual(len(checked), len(decoded.resources))


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.binary(max_size=40))
def test_load_header_of_any_bytes(text: bytes) -> None:
    """A report has figures that a policy can use, or there is none."""
    report = headers.parse_load(text)
    if report is not None:
        CASE.assertGreaterEqual(min(report.running, report.waiting), 0)
        CASE.assertGreaterEqual(report.slowness, 0)


def _check_heartbeat(body: bytes) -> None:
    try:
        said = calls.decode_check_in(body)
    except calls.InvalidCheckInError:
        return
    CASE.assertIsInstance(said.slots, int)
    CASE.assertIsInstance(said.cold_ms, int)
    CASE.assertTrue(said.service and said.address and said.zone)


_HEARTBEAT: typing.Final = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'addis-a',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'cold_remaining_s': 0.5,
    'sequence': 4,
    'born': 1_700_000_000_000,
}


def test_times_beyond_all_numbers_are_refused() -> None:
    """Found by the search: they raised an error without a type."""
    body = json.dumps({**_HEARTBEAT, 'cold_remaining_s': 1e308}).encode()
    with CASE.assertRaises(calls.InvalidCheckInError):
        calls.decode_check_in(body)
    document = samples.configuration(7)
    document['clusters'][0]['cold_period_s'] = math.inf
    with CASE.assertRaises(declared.InvalidConfigurationError):
        configuration.decode(json.dumps(document).encode())
