"""Tests of the versioned store: races, resends, restarts and watches."""

from __future__ import annotations

import pathlib
import typing
import unittest

import gevent
import hypothesis
from hypothesis import strategies

from mulberryquay.coordination import errors, history, journal, store
from testing import fixtures

CASE: typing.Final = unittest.TestCase()
KIND: typing.Final = 'services'


def _open(folder: pathlib.Path, **options: int) -> store.Store:
    return store.Store(journal.Journal(folder), **options)


def test_resend_gets_the_first_answer() -> None:
    """A resend must not count as a second change."""
    with fixtures.folder() as folder:
        resources = _open(folder)
        first = resources.put(KIND, 'stock', version=1, spec={'a': 1})
        again = resources.put(KIND, 'stock', version=1, spec={'a': 1})
        CASE.assertEqual(first, again)
        CASE.assertEqual(resources.revision, 1)


def test_resources_above_the_limit_may_only_shrink() -> None:
    """Guards against what clients declare without end, name by name.

    Orders that must not fail for it have no part in the limit. A restart
    counts the same.
    """
    with fixtures.folder() as folder:
        resources = _open(folder, max_bytes=4000)
        resources.put(KIND, 'a', version=1, spec={'path': 'x' * 2500})
        held = resources.held_bytes
        for name in ('a', 'b'):
            with CASE.assertRaises(store.StoreFullError):
                resources.put(KIND, name, version=2, spec={'path': 'x' * 4000})
        CASE.assertEqual(
            (resources.held_bytes, resources.limits_met), (held, 2)
        )
        resources.put(
            'domains', 'd', version=1, spec={'s': 'y' * 4000}, is_limited=False
        )
        resources.put(KIND, 'a', version=2, spec={'path': 'x' * 2400})
        resources.put(KIND, 'a', version=3, spec=None)
        resources.put('domains', 'd', version=2, spec=None)
        resources.put(KIND, 'b', version=2, spec={'path': 'x' * 2500})
        held = resources.held_bytes
        resources.close()
        reopened = _open(folder, max_bytes=4000)
        CASE.assertEqual(reopened.held_bytes, held)
        reopened.close()


def test_configuration_that_no_other_host_could_take_is_refused() -> None:
    """Guards against a record that no host can get, before all later ones."""
    rows = [(KIND, 's', {'path': 'x' * 4000})]
    with fixtures.folder() as folder:
        resources = _open(folder, max_bytes=4000)
        with CASE.assertRaises(store.ConfigurationTooLargeError):
            resources.put_configuration(
                store.Configuration(1, b''), rows, kinds={KIND}
            )
        CASE.assertEqual(resources.revision, 0)
        smaller = [(KIND, 's', {'path': 'x' * 3000})]
        for version in (1, 2):
            resources.put_configuration(
                store.Configuration(version, b''), smaller, kinds={KIND}
            )
        assert resources.configuration is not None
        CASE.assertEqual(resources.configuration.version, 2)


def test_watch_history_is_bounded_by_its_bytes() -> None:
    """Guards against one resource that is changed again and again."""
    changes: history.History = history.History(size=10, max_bytes=10_000)
    for number in range(1, 30):
        changes.append(f'{number:4000}')
    CASE.assertEqual([int(kept) for kept in changes.since(27)], [28, 29])
    with CASE.assertRaises(history.RevisionCompactedError):
        changes.since(26)
    changes.append('x' * 20_000)
    CASE.assertEqual(len(changes.since(29)), 1)


def test_equal_version_with_other_content_is_a_conflict() -> None:
    """Of concurrent puts with one version, only one must be accepted."""
    with fixtures.folder() as folder:
        resources = _open(folder)
        outcomes: list[str] = []

        def race(content: int) -> None:
            try:
                resources.put(KIND, 'stock', version=1, spec={'a': content})
            except store.VersionConflictError as error:
                outcomes.append(error.code)
            else:
                outcomes.append('accepted')

        gevent.joinall([gevent.spawn(race, content) for content in range(8)])
        CASE.assertEqual(outcomes.count('accepted'), 1)
        CASE.assertEqual(outcomes.count('version-conflict'), 7)


def test_old_put_cannot_undo_a_delete() -> None:
    """A late resend must not restore a deleted resource."""
    with fixtures.folder() as folder:
        resources = _open(folder)
        resources.put(KIND, 'stock', version=1, spec={'a': 1})
        deleted = resources.put(KIND, 'stock', version=2, spec=None)
        CASE.assertEqual(
            resources.put(KIND, 'stock', version=2, spec=None),
            deleted,
        )
        with CASE.assertRaises(store.VersionConflictError):
            resources.put(KIND, 'stock', version=1, spec={'a': 1})
        with CASE.assertRaises(errors.NotFoundError):
            resources.get(KIND, 'stock')


def test_state_survives_restarts_after_hundreds_of_changes() -> None:
    """Snapshots must limit the replay and lose no accepted change."""
    with fixtures.folder() as folder:
        for round_number in range(4):
            resources = _open(folder, snapshot_after=64)
            for change in range(100):
                number = round_number * 100 + change
                resources.put(
                    KIND,
                    f'service-{number % 7}',
                    version=number + 1,
                    spec={'number': number},
                )
            resources.close()
        log = journal.Journal(folder)
        CASE.assertLess(len(log.recover().records), 64)
        log.close()
        resources = _open(folder)
        CASE.assertEqual(resources.revision, 400)
        newest = {
            item.spec['number']
            for item in resources.list_kind(KIND)
            if item.spec
        }
        CASE.assertEqual(newest, set(range(393, 400)))
        resources.close()


def test_watch_resumes_or_fails() -> None:
    """A watch must fail instead of skipping changes.

    Neither a compacted nor a future revision can be resumed from.
    """
    with fixtures.folder() as folder:
        resources = _open(folder, history_size=3)
        for version in range(1, 6):
            resources.put(KIND, 'stock', version=version, spec={'v': version})
        changes = resources.changes.since(2)
        CASE.assertEqual([change.revision for change in changes], [3, 4, 5])
        for wrong in (1, 6):
            with CASE.assertRaises(history.RevisionCompactedError):
                resources.changes.since(wrong)


@fixtures.hypothesis_settings(40)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('a', 'b')),
            strategies.integers(1, 4),
            strategies.sampled_from((None, 1, 2)),
        ),
        max_size=12,
    ),
)
def test_restart_never_changes_the_state(
    puts: list[tuple[str, int, int | None]],
) -> None:
    """A restart must restore the same resources after any puts."""
    with fixtures.folder() as folder:
        resources = _open(folder, snapshot_after=3)
        versions: dict[str, int] = {}
        for name, version, content in puts:
            spec = None if content is None else {'content': content}
            try:
                accepted = resources.put(KIND, name, version=version, spec=spec)
            except errors.MulberryquayError:
                continue
            CASE.assertGreaterEqual(accepted.version, versions.get(name, 0))
            versions[name] = accepted.version
        before = (resources.revision, resources.list_all())
        resources.close()
        resources = _open(folder)
        CASE.assertEqual((resources.revision, resources.list_all()), before)
        resources.close()


def test_first_configuration_may_have_any_version() -> None:
    """Version 0 was taken for none held, and dropped (review/8, issue 58).

    What was put is kept by a restart and by a snapshot.
    """
    document = b'{"version": "r0"}'
    rows = [(KIND, 's', {'path': '/'})]
    with fixtures.folder() as folder:
        resources = _open(folder)
        CASE.assertIsNone(resources.configuration)
        resources.put_configuration(
            store.Configuration(0, document), rows, kinds={KIND}
        )
        resources.close()
        reopened = _open(folder)
        restored = _open(folder / 'other')
        restored.restore(reopened.snapshot())
        for each in (reopened, restored):
            CASE.assertEqual(
                each.configuration, store.Configuration(0, document)
            )
            CASE.assertEqual(each.get(KIND, 's').spec, {'path': '/'})
            each.put_configuration(
                store.Configuration(0, b'other'), [], kinds={KIND}
            )
            CASE.assertEqual(len(each.list_all()), 1)
            each.close()


def test_snapshot_without_a_configuration_is_none() -> None:
    """Snapshots of older releases have version 0 if none was put."""
    with fixtures.folder() as folder:
        empty = _open(folder)
        empty.put(KIND, 's', version=1, spec={})
        restored = _open(folder / 'other')
        restored.restore(empty.snapshot())
        CASE.assertIsNone(restored.configuration)
        for each in (empty, restored):
            each.close()
