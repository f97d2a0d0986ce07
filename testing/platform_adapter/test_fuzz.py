"""Fuzz tests: any input is accepted or refused with a typed error."""

from __future__ import annotations

import json
import math
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.control import configuration
from mulberryquay.coordination import errors, packing
from mulberryquay_platform import calls, headers
from mulberryquay_platform import configuration as platform_configuration
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
        [
            *(math.inf, -math.inf, math.nan, 1e308, 10**30, -1, 0, ''),
            *('r', 'r-1', 'r20261205084714000001', '\ud800'),
        ],
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


def _locations(document: typing.Any) -> list[tuple[typing.Any, typing.Any]]:
    """Returns the container and the key of each value in a document."""
    keys: list[typing.Any] = []
    if isinstance(document, dict):
        keys = list(document)
    elif isinstance(document, list):
        keys = list(range(len(document)))
    found = [(document, key) for key in keys]
    for key in keys:
        found.extend(_locations(document[key]))
    return found


def _mutate(
    draw: strategies.DataObject,
    document: typing.Any,
) -> bytes:
    """Returns the encoded document with one value replaced or removed."""
    copied = json.loads(json.dumps(document))
    container, key = draw.draw(strategies.sampled_from(_locations(copied)))
    if draw.draw(strategies.booleans()):
        container[key] = draw.draw(_VALUES)
    else:
        del container[key]
    return json.dumps(copied).encode()


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.data())
def test_heartbeat_with_one_arbitrary_value(
    draw: strategies.DataObject,
) -> None:
    """Guards against partly decoded heartbeats and untyped errors."""
    _check_heartbeat(_mutate(draw, _HEARTBEAT))


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.binary(max_size=200))
def test_heartbeat_of_any_bytes(body: bytes) -> None:
    """Guards against untyped errors on bytes that are not JSON."""
    _check_heartbeat(body)


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.data())
def test_configuration_with_one_arbitrary_value(
    draw: strategies.DataObject,
) -> None:
    """Guards against partly decoded configurations and untyped errors."""
    body = _mutate(draw, samples.configuration(7))
    try:
        decoded = platform_configuration.decode(body)
        checked = configuration.check(
            decoded.resources,
            fixtures.KERNEL.resource_kinds,
        )
    except errors.MulberryquayError as error:
        CASE.assertIn(error.http_status // 100, {4})
    else:
        CASE.assertIsInstance(decoded.version, int)
        CASE.assertEqual(len(checked), len(decoded.resources))
        stored = [decoded.version, checked]
        CASE.assertEqual(
            packing.unpack(packing.pack(stored)),
            json.loads(json.dumps(stored)),
        )


@fixtures.hypothesis_settings(60)
@hypothesis.given(strategies.binary(max_size=40))
def test_load_header_of_any_bytes(text: bytes) -> None:
    """Guards against load reports with negative numbers."""
    report = headers.parse_load(text)
    if report is not None:
        CASE.assertGreaterEqual(min(report.running, report.waiting), 0)
        CASE.assertGreaterEqual(report.slowness, 0)


def _check_heartbeat(body: bytes) -> None:
    try:
        heartbeat = calls.decode_heartbeat(body)
    except calls.InvalidHeartbeatError:
        return
    CASE.assertIsInstance(heartbeat.slots, int)
    CASE.assertIsInstance(heartbeat.cold_ms, int)
    CASE.assertTrue(heartbeat.service and heartbeat.address and heartbeat.zone)


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


def test_times_that_overflow_are_refused() -> None:
    """Guards against an OverflowError, which the fuzz tests have found.

    It was raised when seconds were converted to integer milliseconds.
    """
    body = json.dumps({**_HEARTBEAT, 'cold_remaining_s': 1e308}).encode()
    with CASE.assertRaises(calls.InvalidHeartbeatError):
        calls.decode_heartbeat(body)
    document = samples.configuration(7)
    document['clusters'][0]['cold_period_s'] = math.inf
    with CASE.assertRaises(configuration.InvalidConfigurationError):
        platform_configuration.decode(json.dumps(document).encode())
