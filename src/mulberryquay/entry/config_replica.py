"""The entry's copy of the configuration, applied in order of revisions."""

from __future__ import annotations

import typing

from mulberryquay import protocol
from mulberryquay.coordination import errors, store, wire
from mulberryquay.entry import routing, state


@typing.final
class StaleControlError(errors.MulberryquayError):
    """A control host offers an older configuration than is in force."""

    code = 'stale-control'


@typing.final
class ConfigReplica:
    """Takes slices and deltas and puts them in force; never goes back."""

    def __init__(self, shared: state.EntryState) -> None:
        """Starts without configuration."""
        self._shared = shared
        self._resources: routing.Keyed = {}
        self._incoming: list[list[typing.Any]] = []
        self._revision = 0
        self._is_complete = False

    @property
    def revision(self) -> int:
        """The revision in force here."""
        return self._revision

    @property
    def is_complete(self) -> bool:
        """Whether a whole configuration has arrived since the start."""
        return self._is_complete

    def begin(self) -> None:
        """Forgets the slices of a stream that ended."""
        self._incoming = []

    def take_slice(self, part: protocol.ConfigSlice) -> None:
        """Collects a slice; the last one puts all in force.

        Raises StaleControlError for a revision before the one in force.
        """
        if part.revision < self._revision:
            raise StaleControlError(
                f'got revision {part.revision}, expected {self._revision} '
                'or later; accepted changes must not be undone',
            )
        self._incoming += part.resources
        if part.is_last:
            resources = (store.Resource(*row) for row in self._incoming)
            self._resources = {
                (resource.kind, resource.name): resource
                for resource in resources
            }
            self._incoming = []
            self._put_in_force(part.revision)

    def take_delta(self, change: store.Resource) -> None:
        """Puts one change in force; raises ProtocolError for a gap."""
        if change.revision <= self._revision:
            return
        if change.revision != self._revision + 1:
            raise wire.ProtocolError(
                f'got revision {change.revision}, expected '
                f'{self._revision + 1}',
            )
        self._resources[change.kind, change.name] = change
        self._put_in_force(change.revision)

    def _put_in_force(self, revision: int) -> None:
        shared = self._shared
        shared.table = routing.RoutingTable(self._resources)
        shared.balancer.take_out_domains(shared.table.domains_out)
        self._revision = revision
        self._is_complete = True
