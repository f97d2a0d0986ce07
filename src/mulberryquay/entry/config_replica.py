"""The entry's copy of the configuration, applied in revision order."""

from __future__ import annotations

import logging
import typing

from mulberryquay.control import kinds
from mulberryquay.coordination import errors, store, wire
from mulberryquay.entry import account_specs, routing, state


_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class StaleControlError(errors.MulberryquayError):
    """A control host sent an older configuration than the one in force."""

    code = 'stale-control'


@typing.final
class ConfigReplica:
    """Applies snapshots and deltas; the revision never goes back."""

    def __init__(self, entry_state: state.EntryState) -> None:
        """Starts without configuration."""
        self._state = entry_state
        self._resources: routing.ResourcesByKey = {}
        self._accounts: account_specs.PackedAccounts = {}
        self._revision = 0
        self._is_complete = False

    @property
    def revision(self) -> int:
        """The revision in force on this entry."""
        return self._revision

    @property
    def is_complete(self) -> bool:
        """Whether any configuration was applied since the start."""
        return self._is_complete

    def apply_snapshot(
        self,
        revision: int,
        resources: typing.Iterable[store.Resource],
    ) -> None:
        """Applies a whole configuration.

        Raises StaleControlError if its revision is before the one in force.
        """
        if revision < self._revision:
            raise StaleControlError(
                f'got configuration revision {revision}, expected '
                f'{self._revision} or later; accepted changes must not be '
                'undone',
            )
        self._resources = {}
        self._accounts = {}
        self._keep(list(resources))
        self._activate(revision)

    def apply_delta(self, changes: typing.Sequence[store.Resource]) -> None:
        """Applies changes together; raises ProtocolError for a gap."""
        new_changes = [
            change for change in changes if change.revision > self._revision
        ]
        if not new_changes:
            return
        if new_changes[0].revision != self._revision + 1:
            raise wire.ProtocolError(
                f'got configuration revision {new_changes[0].revision}, '
                f'expected {self._revision + 1}',
            )
        self._keep(new_changes)
        self._activate(new_changes[-1].revision)

    def _keep(self, changes: typing.Sequence[store.Resource]) -> None:
        accounts = {
            change.name: change
            for change in changes
            if change.kind == kinds.CLIENT_ACCOUNT
        }
        self._resources.update(
            {
                (change.kind, change.name): change
                for change in changes
                if change.kind != kinds.CLIENT_ACCOUNT
            }
        )
        if not accounts:
            return
        unchanged = {
            name: packed
            for name, packed in self._accounts.items()
            if name not in accounts
        }
        self._accounts = {
            **unchanged,
            **account_specs.pack_all(accounts.values()),
        }

    def _activate(self, revision: int) -> None:
        entry_state = self._state
        entry_state.routing_table = routing.RoutingTable(
            self._resources,
            revision=revision,
            earlier=entry_state.routing_table,
            accounts=self._accounts,
        )
        entry_state.balancer.configure(
            entry_state.routing_table.services,
            entry_state.routing_table.roll_outs,
        )
        entry_state.balancer.apply_domains_out(
            entry_state.routing_table.domains_out
        )
        entry_state.version_reports.configure(
            entry_state.routing_table.roll_outs
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
