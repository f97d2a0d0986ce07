"""Tests of reading the platform's settings file."""

from __future__ import annotations

import typing
import unittest

from mulberryquay import settings
from mulberryquay.control import daemon as control_daemon
from mulberryquay.entry import daemon as entry_daemon
from mulberryquay_platform import node
from testing import fixtures
from testing.platform_adapter import samples

CASE: typing.Final = unittest.TestCase()


def _read(text: str) -> node.Node:
    with fixtures.folder() as folder:
        path = folder / 'settings.toml'
        path.write_text(text)
        return node.read(path)


def test_both_roles_get_settings_that_their_daemons_accept() -> None:
    """Guards against settings that a role refuses.

    The settings file has fields that are not known; they are ignored.
    """
    node_description = _read(samples.SETTINGS + 'new_bound = "text"\n')
    entry = settings.with_defaults(
        entry_daemon.SETTINGS,
        node.settings_for_role('entry', node_description),
    )
    CASE.assertEqual(entry['control'], '10.1.0.1:7621,10.2.0.1:7621')
    CASE.assertEqual(entry['stale_config'], 'serve')
    CASE.assertEqual(entry['drain_ms'] + entry['stop_timeout_ms'], 5500)
    CASE.assertEqual(entry['load_probes_per_target_s'], 54)
    control = settings.with_defaults(
        control_daemon.SETTINGS,
        {
            **node.settings_for_role('control', node_description),
            'data_folder': 'folder',
        },
    )
    CASE.assertEqual(control['hosts'], '10.1.0.1:7620,10.2.0.1:7620')
    CASE.assertTrue(control['found'])


def test_entry_gets_the_limits_of_its_process() -> None:
    """Callers must not take more than the platform allows (issue 45)."""
    limits = '[self.limits]\nmemory_mb = 300\nfile_descriptor_limit = 4100\n'
    described = _read(
        samples.SETTINGS.replace('[network]', f'{limits}[network]', 1)
    )
    values = node.settings_for_role('entry', described)
    CASE.assertEqual(values['memory_mb'], 300)
    CASE.assertEqual(values['max_connections'], 2925)
    unnamed = node.settings_for_role('entry', _read(samples.SETTINGS))
    CASE.assertEqual(unnamed['memory_mb'], 0)
    CASE.assertEqual(unnamed['max_connections'], 0)


def test_requests_are_ordered_fairly_only_where_accounts_compete() -> None:
    """Other installations must be served as before."""
    described = _read(samples.SETTINGS)
    for contracts, order in ((set(), 'class'), ({'tenants'}, 'fair')):
        competing = described._replace(contracts=frozenset(contracts))
        values = node.settings_for_role('entry', competing)
        CASE.assertEqual(values['queue_order'], order)


def test_unreadable_settings_are_a_typed_error() -> None:
    """Guards against untyped errors from truncated or incomplete files."""
    for text in (samples.SETTINGS[:40], '[self]\nnode = "a"\n', ''):
        with CASE.assertRaises(settings.InvalidSettingError):
            _read(text)


def test_rates_of_tenants_are_kept_as_the_terms_ask() -> None:
    """Without the platform's bounds, hosts would lend too much or nothing."""
    plain = _read(samples.SETTINGS)
    for role, names in (
        ('entry', {'account_rates': 'parts', 'stale_config': 'serve'}),
        ('control', {}),
    ):
        given = node.settings_for_role(role, plain)
        CASE.assertEqual({**given, **names}, given)
    CASE.assertNotIn('account_slack', node.settings_for_role('control', plain))
    terms = plain._replace(
        contracts=frozenset(('tenants', 'quota')),
        bounds={
            **plain.bounds,
            'quota_slack': 20,
            'quota_overage': 0.1,
            'quota_window_s': 5,
            'revoke_when_partitioned': True,
        },
    )
    entry = settings.with_defaults(
        entry_daemon.SETTINGS, node.settings_for_role('entry', terms)
    )
    CASE.assertEqual(entry['account_rates'], 'leases')
    CASE.assertEqual(entry['stale_config'], 'serve-keyless')
    control = settings.with_defaults(
        control_daemon.SETTINGS,
        {
            **node.settings_for_role('control', terms),
            'data_folder': 'folder',
        },
    )
    CASE.assertEqual(control['account_slack'], 18)
    CASE.assertEqual(control['account_slack_percent'], 4)
    CASE.assertEqual(control['account_window_ms'], 5000)


def test_entries_share_load_only_where_the_settings_call_for_it() -> None:
    """A deployment of few entries must be served as before (issue 44)."""
    large = samples.SETTINGS.replace(
        '[terms.bounds]', '[terms]\ncontracts = ["pool"]\n[terms.bounds]'
    )
    chosen = [
        node.settings_for_role('entry', _read(text))
        for text in (samples.SETTINGS, large)
    ]
    CASE.assertEqual(
        [(values['policy'], values['share_load']) for values in chosen],
        [('expected-time', False), ('soonest-answer', True)],
    )
