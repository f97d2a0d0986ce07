"""Tests of routes by host and path, and of traffic splits."""

from __future__ import annotations

import collections
import random
import typing
import unittest

from mulberryquay.control import kinds
from mulberryquay.coordination import schema, store
from mulberryquay.entry import outcomes, routing, splits
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


def _table(
    *routes: tuple[str, dict[str, typing.Any]],
) -> routing.RoutingTable:
    resources: routing.ResourcesByKey = {}
    specs: list[tuple[str, str, dict[str, typing.Any]]] = [
        (kinds.SERVICE, 'a', {'timeout_ms': 700}),
        (kinds.SERVICE, 'b', {}),
        *((kinds.ROUTE, name, spec) for name, spec in routes),
    ]
    for kind, name, spec in specs:
        fields = fixtures.KERNEL.resource_kinds.get(kind)
        checked = schema.check_spec(spec, fields, label=kind)
        resources[kind, name] = store.Resource(kind, name, 1, checked, 1)
    return routing.RoutingTable(resources)


def test_route_for_the_host_precedes_one_for_any_host() -> None:
    """A longer prefix for any host must not win over a route for the host.

    The port and the case of the Host header are ignored.
    """
    table = _table(
        ('any', {'path_prefix': '/x/', 'service': 'a'}),
        ('own', {'host': 'Shop.example', 'path_prefix': '/', 'service': 'b'}),
    )
    CASE.assertEqual(table.find_route(b'/x/1').name, 'any')
    CASE.assertEqual(
        table.find_route(b'/x/1', b'shop.example:80').name,
        'own',
    )
    CASE.assertEqual(table.find_route(b'/x/1', b'other.example').name, 'any')
    with CASE.assertRaises(outcomes.RefusedError):
        table.find_route(b'/y', b'other.example')


def test_longest_prefix_of_whole_segments_wins() -> None:
    """A prefix must not match the query or a part of a segment."""
    table = _table(
        ('short', {'path_prefix': '/x/', 'service': 'a'}),
        ('long', {'path_prefix': '/x/y/', 'service': 'a'}),
    )
    CASE.assertEqual(table.find_route(b'/x/y/1?a=/z').name, 'long')
    CASE.assertEqual(table.find_route(b'/x/yy/1').name, 'short')


def test_limits_of_a_route_precede_those_of_its_service() -> None:
    """The limits of a service must not override those of its route."""
    table = _table(
        ('plain', {'path_prefix': '/a/', 'service': 'a'}),
        (
            'own',
            {
                'path_prefix': '/b/',
                'service': 'a',
                'timeout_ms': 90,
                'max_attempts': 7,
            },
        ),
    )
    CASE.assertEqual(table.find_route(b'/a/').timeout_ms, 700)
    CASE.assertEqual(table.find_route(b'/b/').timeout_ms, 90)
    CASE.assertEqual(table.find_route(b'/b/').max_attempts, 7)


def test_traffic_split_follows_its_weights() -> None:
    """Every ten requests must follow the weights; a weight of 0 gets none."""
    table = _table(
        ('split', {'path_prefix': '/', 'split': {'a': 90, 'b': 10}}),
        ('none', {'path_prefix': '/n/', 'split': {'a': 1, 'b': 0}}),
    )
    splitter = splits.TrafficSplitter()
    route = table.find_route(b'/x')
    for _ in range(5):
        counts = collections.Counter(
            splitter.choose(route).name for _ in range(10)
        )
        CASE.assertEqual(counts, {'a': 9, 'b': 1})
    route = table.find_route(b'/n/x')
    CASE.assertEqual({splitter.choose(route).name for _ in range(9)}, {'a'})


def test_split_over_many_entries_follows_its_weights() -> None:
    """Entries with a few requests each must not all begin with one part.

    193 entries got three requests each: the part with a tenth of the weight
    got none of them (issue 44).
    """
    table = _table(('split', {'path_prefix': '/', 'split': {'a': 90, 'b': 10}}))
    route = table.find_route(b'/x')
    counts: collections.Counter[str] = collections.Counter()
    for entry in range(193):
        splitter = splits.TrafficSplitter(random.Random(entry))
        counts.update(splitter.choose(route).name for _ in range(3))
    CASE.assertAlmostEqual(counts['b'] / counts.total(), 0.1, delta=0.03)
