"""A durable store of versioned resources with resumable watches.

The operator chooses each version. A put with the current version and equal
content is a resend and gets the first answer. A put with the current version
and other content lost a race and is refused. Deleted resources leave a
tombstone, so that a late resend of an older put cannot restore them.

A whole configuration replaces all resources of its kinds at once, under one
version. Of two configurations with the same version, the first one that was
accepted stays in force.

What resources hold together has a limit, above which single ones may only
shrink. A whole configuration replaces all others, so only its own size counts.
"""

from __future__ import annotations

import typing
import zlib

from gevent import lock

from mulberryquay.coordination import (
    errors,
    history,
    journal,
    memory_size,
    packing,
    schema,
    units,
)

#: Number of changes kept, from which watches can resume, and their bytes.
WATCH_HISTORY: typing.Final = 4096
_WATCH_HISTORY_BYTES: typing.Final = 4 * units.MIB

#: Number of records after which a snapshot replaces them.
SNAPSHOT_AFTER: typing.Final = 512

Key = tuple[str, str]


class ChangeLog(typing.Protocol):
    """Durable storage of changes, such as `journal.Journal`."""

    @property
    def records_since_snapshot(self) -> int:
        """The number of records that a restart would replay."""

    def recover(self) -> journal.Recovered:
        """Returns the newest snapshot and the records after it."""

    def append(self, records: typing.Sequence[journal.Record]) -> None:
        """Returns once the records are durable."""

    def compact(self, snapshot: journal.Record) -> None:
        """Replaces all records with a snapshot."""

    def close(self) -> None:
        """Releases the resources of the log."""


@typing.final
class VersionConflictError(errors.ConflictError):
    """The version has other content or is outdated."""

    code = 'version-conflict'


@typing.final
class StoreFullError(errors.MulberryquayError):
    """The declared resources hold as much as they may; delete some."""

    code = 'store-full'
    http_status = 507


@typing.final
class ConfigurationTooLargeError(errors.MulberryquayError):
    """A whole configuration is larger than all resources may be."""

    code = 'configuration-too-large'
    http_status = 413


class Resource(typing.NamedTuple):
    """One change of a resource; ``spec`` is None if it was deleted."""

    kind: str
    name: str
    version: int
    spec: schema.Spec | None
    #: Number of the change among all changes, from 1.
    revision: int


class Configuration(typing.NamedTuple):
    """A whole configuration as an operator sent it."""

    #: Any whole number; the operator chooses it.
    version: int
    #: The text as it was sent, for display.
    document: bytes


class Change(typing.NamedTuple):
    """One record of the log; all of it takes effect at once."""

    #: Rows of `Resource` with consecutive revisions.
    resources: list[typing.Sequence[typing.Any]]
    #: A row of `Configuration` with the document compressed, or empty.
    configuration: typing.Sequence[typing.Any] = ()


#: Stands for no configuration in snapshots, also those of older releases. One
#: that was put under version 0 has a document.
_NOT_PUT: typing.Final = Configuration(0, zlib.compress(b''))


@typing.final
class Store:
    """Resources of all kinds; one counter numbers all changes."""

    def __init__(
        self,
        log: ChangeLog,
        *,
        history_size: int = WATCH_HISTORY,
        snapshot_after: int = SNAPSHOT_AFTER,
        max_bytes: int = units.MAX_INT64,
    ) -> None:
        """Restores the state from ``log``; raises JournalCorruptError.

        Resources grow one by one up to ``max_bytes`` in memory, or in one
        configuration up to ``max_bytes`` as it is sent.
        """
        self._log = log
        self._snapshot_after = snapshot_after
        self._write_lock = lock.BoundedSemaphore(1)
        self._resources: dict[Key, Resource] = {}
        #: The bytes in memory of each one.
        self._sizes: dict[Key, int] = {}
        self._max_bytes = max_bytes
        #: What all of them hold.
        self.held_bytes = 0
        #: How often the limit was met.
        self.limits_met = 0
        #: The document is compressed; None until one is put.
        self._configuration: Configuration | None = None
        self._changes: history.History[Resource] = history.History(
            size=history_size, max_bytes=_WATCH_HISTORY_BYTES
        )
        recovered = log.recover()
        if recovered.snapshot is not None:
            self.restore(recovered.snapshot)
        for record in recovered.records:
            self.apply(record)

    @property
    def revision(self) -> int:
        """The revision of the newest accepted change."""
        return self._changes.revision

    @property
    def changes(self) -> history.History[Resource]:
        """The history of the newest changes, for watches."""
        return self._changes

    @property
    def configuration(self) -> Configuration | None:
        """The newest whole configuration; None if none was put."""
        held = self._configuration
        if held is None:
            return None
        return held._replace(document=zlib.decompress(held.document))

    def get(self, kind: str, name: str) -> Resource:
        """Returns a live resource; raises NotFoundError."""
        resource = self._resources.get((kind, name))
        if resource is None or resource.spec is None:
            raise errors.NotFoundError(f'there is no {kind} {name!r}')
        return resource

    def find(self, kind: str, name: str) -> Resource | None:
        """Returns the newest change of a resource, also a delete."""
        return self._resources.get((kind, name))

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
        is_limited: bool = True,
    ) -> Resource:
        """Persists a change and returns it with its revision.

        A ``spec`` of None deletes. Unless ``is_limited``, it has no part in
        the limit of all: it must not fail for what others declared, and its
        names are bounded otherwise. Raises VersionConflictError,
        StoreFullError, JournalFailedError, and NotFoundError for the delete
        of a resource that never existed.
        """
        with self._write_lock:
            current = self._resources.get((kind, name))
            if current is None and spec is None:
                raise errors.NotFoundError(f'there is no {kind} {name!r}')
            if current is not None and version <= current.version:
                return _check_resend(current, version, spec)
            change = Resource(kind, name, version, spec, self.revision + 1)
            if spec is not None and is_limited:
                self._check_room(change)
            self._commit(Change([tuple(change)]))
            return change

    def put_configuration(
        self,
        configuration: Configuration,
        resources: typing.Iterable[tuple[str, str, schema.Spec]],
        *,
        kinds: typing.Collection[str],
    ) -> int:
        """Replaces all resources of ``kinds``; returns the version in force.

        If the version in force is as high or higher, it is returned and
        nothing changes. Raises ConfigurationTooLargeError and
        JournalFailedError.
        """
        with self._write_lock:
            held = self._configuration
            if held is not None and configuration.version <= held.version:
                return held.version
            changed = self._diff(
                configuration.version,
                {(kind, name): spec for kind, name, spec in resources},
                kinds,
            )
            packed = configuration._replace(
                document=zlib.compress(configuration.document),
            )
            change = Change([tuple(row) for row in changed], tuple(packed))
            self._check_size(change)
            self._commit(change)
            return configuration.version

    def close(self) -> None:
        """Closes the journal."""
        self._log.close()

    def apply(self, record: journal.Record) -> None:
        """Applies an accepted `Change`; parts already applied are ignored."""
        change = Change(*record)
        for row in change.resources:
            resource = Resource(*row)
            if resource.revision > self.revision:
                self._keep(resource)
                self._changes.append(resource)
        if change.configuration:
            configuration = Configuration(*change.configuration)
            held = self._configuration
            if held is None or configuration.version > held.version:
                self._configuration = configuration

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Returns the whole state as msgpack types."""
        return (
            self.revision,
            [tuple(resource) for resource in self._resources.values()],
            tuple(self._configuration or _NOT_PUT),
        )

    def restore(self, snapshot: typing.Sequence[typing.Any]) -> None:
        """Replaces the state with one that `snapshot` returned."""
        revision, rows, configuration = snapshot
        self._changes.restart(revision)
        self._configuration = _read_packed(configuration)
        self._resources = {}
        self._sizes = {}
        self.held_bytes = 0
        for row in rows:
            self._keep(Resource(*row))

    def _keep(self, resource: Resource) -> None:
        key = (resource.kind, resource.name)
        size = memory_size.measure(resource)
        self.held_bytes += size - self._sizes.get(key, 0)
        self._sizes[key] = size
        self._resources[key] = resource

    def _check_room(self, change: Resource) -> None:
        """Raises StoreFullError if a change grows the state too far."""
        held = self._sizes.get((change.kind, change.name), 0)
        growth = memory_size.measure(change) - held
        if growth <= 0 or self.held_bytes + growth <= self._max_bytes:
            return
        self.limits_met += 1
        raise StoreFullError(
            f'{change.kind} {change.name!r}: resources hold {self.held_bytes} '
            f'bytes and would hold {growth} more, of {self._max_bytes}; '
            'delete some of them',
        )

    def _check_size(self, change: Change) -> None:
        """Raises ConfigurationTooLargeError if no other host could take it."""
        size = len(packing.pack(change))
        if size > self._max_bytes:
            self.limits_met += 1
            raise ConfigurationTooLargeError(
                f'got a configuration that takes {size} bytes, expected at '
                f'most {self._max_bytes}; it was not put in force',
            )

    def _commit(self, change: Change) -> None:
        self._log.append([tuple(change)])
        self.apply(change)
        if self._log.records_since_snapshot >= self._snapshot_after:
            self._log.compact(self.snapshot())

    def _diff(
        self,
        version: int,
        wanted: dict[Key, schema.Spec],
        kinds: typing.Collection[str],
    ) -> list[Resource]:
        """Returns the changes to reach ``wanted``, with the next revisions."""
        changed: list[tuple[Key, schema.Spec | None]] = []
        for key, current in self._resources.items():
            is_dropped = key[0] in kinds and key not in wanted
            if is_dropped and current.spec is not None:
                changed.append((key, None))
        for key, spec in wanted.items():
            known = self._resources.get(key)
            if known is None or known.spec != spec:
                changed.append((key, spec))
        return [
            Resource(*key, version, spec, self.revision + offset)
            for offset, (key, spec) in enumerate(changed, start=1)
        ]


def _read_packed(
    packed: typing.Sequence[typing.Any],
) -> Configuration | None:
    configuration = Configuration(*packed)
    is_put = configuration.version or zlib.decompress(configuration.document)
    return configuration if is_put else None


def _check_resend(
    current: Resource,
    version: int,
    spec: schema.Spec | None,
) -> Resource:
    if version == current.version and spec == current.spec:
        return current
    problem = 'is older than the current version'
    if version == current.version:
        problem = 'has other content than the current version'
    raise VersionConflictError(
        f'{current.kind} {current.name!r}: got version {version}, which '
        f'{problem} {current.version}; read it and send a higher version',
    )
