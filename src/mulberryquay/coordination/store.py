"""A durable store of versioned resources with resumable watches.

The operator chooses each version. A put with the current version and equal
content is a resend and gets the first answer; with other content it lost a
race. Deleted resources leave a tombstone, so that a late resend of an older
put cannot bring them back.
"""

from __future__ import annotations

import typing

from gevent import lock

from mulberryquay.coordination import errors, history, journal, schema

#: Changes kept for watches to resume from.
WATCH_HISTORY: typing.Final = 4096

#: Records after which a snapshot replaces the journal.
SNAPSHOT_AFTER: typing.Final = 512

Key = tuple[str, str]


@typing.final
class VersionConflictError(errors.ConflictError):
    """The version is taken by other content or is out of date."""

    code = 'version-conflict'


class Resource(typing.NamedTuple):
    """One change of a resource; ``spec`` is None once it is deleted."""

    kind: str
    name: str
    version: int
    spec: schema.Spec | None
    #: Position of the change in the order of all changes, from 1.
    revision: int


@typing.final
class Store:
    """Resources of all kinds, ordered by one revision counter."""

    def __init__(
        self,
        log: journal.Journal,
        *,
        history_size: int = WATCH_HISTORY,
        snapshot_after: int = SNAPSHOT_AFTER,
    ) -> None:
        """Restores the state from ``log``; raises JournalCorruptError."""
        self._log = log
        self._snapshot_after = snapshot_after
        self._write_lock = lock.BoundedSemaphore(1)
        self._resources: dict[Key, Resource] = {}
        self._changes: history.History[Resource] = history.History(
            size=history_size,
        )
        self._restore(log.recover())

    @property
    def revision(self) -> int:
        """The revision of the newest accepted change."""
        return self._changes.revision

    @property
    def changes(self) -> history.History[Resource]:
        """The newest changes, for watches."""
        return self._changes

    def get(self, kind: str, name: str) -> Resource:
        """Returns a live resource; raises NotFoundError."""
        resource = self._resources.get((kind, name))
        if resource is None or resource.spec is None:
            raise errors.NotFoundError(f'there is no {kind} {name!r}')
        return resource

    def list_kind(self, kind: str) -> list[Resource]:
        """Returns the live resources of a kind, sorted by name."""
        return [
            resource for resource in self.list_all() if resource.kind == kind
        ]

    def list_all(self) -> list[Resource]:
        """Returns all live resources, sorted by kind and name."""
        return [
            self._resources[key]
            for key in sorted(self._resources)
            if self._resources[key].spec is not None
        ]

    def put(
        self,
        kind: str,
        name: str,
        *,
        version: int,
        spec: schema.Spec | None,
    ) -> Resource:
        """Accepts a change durably and returns it with its revision.

        A ``spec`` of None deletes. Raises VersionConflictError,
        NotFoundError for a delete of nothing, and JournalFailedError.
        """
        with self._write_lock:
            current = self._resources.get((kind, name))
            if current is None and spec is None:
                raise errors.NotFoundError(f'there is no {kind} {name!r}')
            if current is not None and version <= current.version:
                return _check_resend(current, version, spec)
            change = Resource(kind, name, version, spec, self.revision + 1)
            self._log.append([tuple(change)])
            self._apply(change)
            if self._log.records_since_snapshot >= self._snapshot_after:
                self._log.compact(self._snapshot())
            return change

    def close(self) -> None:
        """Closes the journal."""
        self._log.close()

    def _restore(self, recovered: journal.Recovered) -> None:
        if recovered.snapshot is not None:
            self._changes.restart(recovered.snapshot[0])
            for fields in recovered.snapshot[1]:
                resource = Resource(*fields)
                self._resources[resource.kind, resource.name] = resource
        for record in recovered.records:
            self._apply(Resource(*record))

    def _apply(self, change: Resource) -> None:
        self._resources[change.kind, change.name] = change
        self._changes.append(change)

    def _snapshot(self) -> tuple[int, list[tuple[typing.Any, ...]]]:
        return (
            self.revision,
            [tuple(resource) for resource in self._resources.values()],
        )


def _check_resend(
    current: Resource,
    version: int,
    spec: schema.Spec | None,
) -> Resource:
    if version == current.version and spec == current.spec:
        return current
    problem = 'is older than the current version'
    if version == current.version:
        problem = 'is taken by other content'
    raise VersionConflictError(
        f'{current.kind} {current.name!r}: got version {version}, which '
        f'{problem} {current.version}; read it and send a higher version',
    )
