"""Tests of which control hosts an entry follows."""

from __future__ import annotations

import random
import typing
import unittest

from mulberryquay.coordination import clock
from mulberryquay.entry import control_hosts

CASE: typing.Final = unittest.TestCase()

_ANNOUNCED: typing.Final = (
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
    """An entry must not follow two near hosts that fail together.

    The first is in the entry's own domain, the second in another domain of
    its region.
    """
    hosts = _hosts(clock.ManualClock())
    CASE.assertIn(hosts.choose([]), {'c:1', 'z:1'})
    hosts.update_announced(_ANNOUNCED)
    CASE.assertEqual(hosts.choose([]), 'a:1')
    CASE.assertEqual(hosts.choose(['a:1']), 'b:1')
    CASE.assertEqual(hosts.choose(['a:1', 'b:1', 'z:1']), 'c:1')
    CASE.assertEqual(hosts.choose(['a:1', 'b:1', 'c:1', 'z:1']), '')


def test_failed_host_ranks_behind_the_others() -> None:
    """A failed host must be avoided, but only for a limited time."""
    time_source = clock.ManualClock()
    hosts = _hosts(time_source)
    hosts.update_announced(_ANNOUNCED)
    hosts.avoid('a:1')
    CASE.assertEqual(hosts.choose([]), 'b:1')
    time_source.advance(control_hosts.AVOID_MS)
    CASE.assertEqual(hosts.choose([]), 'a:1')


def test_search_does_not_stay_in_a_domain_whose_hosts_fail() -> None:
    """Near hosts may all be cut off together (issue 62).

    Once all have failed, the one that failed first is tried again.
    """
    time_source = clock.ManualClock()
    hosts = _hosts(time_source)
    near = [(f'near-{number}:1', 'north', 'north-1') for number in range(4)]
    hosts.configure([])
    hosts.update_announced([*near, ('far:1', 'south', 'south-1')])
    tried = []
    for _ in range(5):
        tried.append(hosts.choose([]))
        hosts.avoid(tried[-1])
        time_source.advance(1)
    CASE.assertEqual(tried[2], 'far:1')
    CASE.assertEqual(len(set(tried)), 5)
    CASE.assertTrue(hosts.have_all_failed)
    CASE.assertEqual(hosts.choose([]), tried[0])


def test_far_host_is_left_for_an_available_near_one() -> None:
    """An entry must not stay with a far host when a near one is available.

    An entry that starts may know only far hosts.
    """
    hosts = _hosts(clock.ManualClock())
    hosts.update_announced(_ANNOUNCED)
    CASE.assertFalse(hosts.is_best('c:1', ['a:1']))
    CASE.assertTrue(hosts.is_best('b:1', ['a:1']))
    hosts.avoid('b:1')
    CASE.assertTrue(hosts.is_best('c:1', ['a:1']))


def test_new_settings_replace_only_configured_addresses() -> None:
    """New settings must not remove the hosts that control hosts announced."""
    hosts = _hosts(clock.ManualClock())
    hosts.update_announced(_ANNOUNCED[:1])
    hosts.configure(['y:1'])
    CASE.assertEqual(hosts.addresses, ['a:1', 'y:1'])
