"""The entry's copy of the configuration, applied in order of revisions."""

from __future__ import annotations

import logging
import typing

from mulberryquay.coordination import errors, store, wire
from mulberryquay.entry import routing, state


_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class StaleControlError(errors.MulberryquayError):
    """A control host offers an older configuration than is in force."""

    code = 'stale-control'


@typing.final
class ConfigReplica:
    """Takes slices and deltas and puts them in force; never goes back."""

    def __init__(self, entry_state: state.EntryState) -> None:
        """Starts without configuration."""
        self._state = entry_state
        self._resources: routing.Keyed = {}
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

    def take_whole(
        self,
        revision: int,
        resources: typing.Iterable[store.Resource],
    ) -> None:
        """Puts a whole configuration in force.

        Raises StaleControlError for a revision before the one in force.
        """
        if revision < self._revision:
            raise StaleControlError(
                f'got revision {revision}, expected {self._revision} '
                'or later; accepted changes must not be undone',
            )
        self._resources = {
            (resource.kind, resource.name): resource for resource in resources
        }
        self._put_in_force(revision)

    def take_delta(self, changes: typing.Sequence[store.Resource]) -> None:
        """Puts changes in force at once; raises ProtocolError for a gap."""
        news = [
            change for change in changes if change.revision > self._revision
        ]
        if not news:
            return
        if news[0].revision != self._revision + 1:
            raise wire.ProtocolError(
                f'got revision {news[0].revision}, expected '
                f'{self._revision + 1}',
            )
        for change in news:
            self._resources[change.kind, change.name] = change
        self._put_in_force(news[-1].revision)

    def _put_in_force(self, revision: int) -> None:
        entry_state = self._state
        entry_state.routing_table = routing.RoutingTable(
            self._resources,
            revision=revision,
        )
        entry_state.balancer.configure(entry_state.routing_table.services)
        entry_state.balancer.take_out_domains(
            entry_state.routing_table.domains_out
        )
        self._revision = revision
        self._is_complete = True
        _LOG.info(
            'configuration in force',
            extra={
                'revision': revision,
                'services': len(entry_state.routing_table.services),
                'domains_out': sorted(entry_state.routing_table.domains_out),
            },
        )
