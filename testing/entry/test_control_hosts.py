"""Tests of which control hosts an entry follows."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.coordination import clock
from mulberryquay.entry import control_hosts

CASE: typing.Final = unittest.TestCase()

_TOLD: typing.Final = (
    ('a:1', 'north', 'north-1'),
    ('b:1', 'north', 'north-2'),
    ('c:1', 'south', 'south-1'),
)


def _hosts(time_source: clock.Clock) -> control_hosts.ControlHosts:
    return control_hosts.ControlHosts(
        ['c:1', 'z:1'],
        time_source,
        random.Random(1),
        region='north',
        domain='north-1',
    )


def test_near_hosts_in_different_domains_are_followed() -> None:
    """The own domain first, then the rest of the region."""
    hosts = _hosts(clock.ManualClock())
    CASE.assertIn(hosts.choose([]), {'c:1', 'z:1'})
    hosts.learn(_TOLD)
    CASE.assertEqual(hosts.choose([]), 'a:1')
    CASE.assertEqual(hosts.choose(['a:1']), 'b:1')
    CASE.assertEqual(hosts.choose(['a:1', 'b:1', 'z:1']), 'c:1')
    CASE.assertEqual(hosts.choose(['a:1', 'b:1', 'c:1', 'z:1']), '')


def test_host_that_was_of_no_use_is_tried_after_the_others() -> None:
    """For a while only."""
    time_source = clock.ManualClock()
    hosts = _hosts(time_source)
    hosts.learn(_TOLD)
    hosts.avoid('a:1')
    CASE.assertEqual(hosts.choose([]), 'b:1')
    time_source.advance(control_hosts.AVOID_MS)
    CASE.assertEqual(hosts.choose([]), 'a:1')


def test_far_host_is_left_for_a_near_one_that_is_of_use() -> None:
    """An entry that starts knows only some hosts."""
    hosts = _hosts(clock.ManualClock())
    hosts.learn(_TOLD)
    CASE.assertFalse(hosts.is_best('c:1', ['a:1']))
    CASE.assertTrue(hosts.is_best('b:1', ['a:1']))
    hosts.avoid('b:1')
    CASE.assertTrue(hosts.is_best('c:1', ['a:1']))


def test_other_seeds_replace_those_of_the_settings() -> None:
    """Hosts that control hosts told of stay known."""
    hosts = _hosts(clock.ManualClock())
    hosts.learn(_TOLD[:1])
    hosts.configure(['y:1'])
    CASE.assertEqual(hosts.addresses, ['a:1', 'y:1'])
