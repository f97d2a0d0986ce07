"""Relays requests to entries that have a share of a target.

The allowance of a cold target and the rate that a target names can be smaller
than the number of entries. If all targets of a service are like that, some
entries have no share of any target. Such an entry relays a request to an entry
with a share. A relayed request is not relayed again.
"""

from __future__ import annotations

import random
import typing

from mulberryquay import protocol
from mulberryquay.coordination import clock, shares
from mulberryquay.entry import targets

#: Concurrent requests that an entry may relay to another one.
MAX_RELAYED: typing.Final = 64

Peers = typing.Sequence[typing.Sequence[str]]


@typing.final
class Relays:
    """The other live entries and their shares of targets."""

    def __init__(
        self,
        entry: str,
        share_view: shares.ShareView,
        time_source: clock.Clock,
        rng: random.Random,
        target_context: targets.TargetContext | None = None,
    ) -> None:
        """Starts without peers; ``entry`` is this entry's own name."""
        self._target_context = target_context or targets.TargetContext()
        self._entry = entry
        self._share_view = share_view
        self._clock = time_source
        self._rng = rng
        self._peers: dict[str, targets.TargetState] = {}

    @property
    def is_list_changing(self) -> bool:
        """Whether this entry is not sure yet of its shares."""
        view = self._share_view
        is_member = self._entry in view.committed.members
        return view.pending is not None or not is_member

    @property
    def is_listed(self) -> bool:
        """Whether the newest entry list has this entry, which gives shares."""
        newest = self._share_view.pending or self._share_view.committed
        return self._entry in newest.members

    def update_peers(self, peers: Peers) -> None:
        """Sets the live entries, as rows of `protocol.PeersChanged`."""
        rows = {
            name: _peer_row(name, region, address)
            for name, region, _domain, address in peers
            if name != self._entry
        }
        for gone in set(self._peers) - set(rows):
            self._peers.pop(gone).pool.close_idle()
        for name, row in rows.items():
            known = self._peers.get(name)
            if known is None or known.row != row:
                self._peers[name] = self._new_peer(row)

    def address_of(self, name: str) -> str:
        """Returns the address of another live entry, empty if unknown."""
        peer = self._peers.get(name)
        return '' if peer is None else peer.row.address

    def find(
        self,
        shared_targets: typing.Sequence[targets.TargetState],
        regions: frozenset[str] | None,
        excluded: frozenset[str],
    ) -> targets.TargetState | None:
        """Returns a random entry in ``regions`` with a share, if any."""
        share_holders = {
            share_holder
            for target in shared_targets
            for share_holder in self._share_holders(target)
        }
        candidates = [
            peer
            for name, peer in sorted(self._peers.items())
            if name in share_holders
            and name not in excluded
            and peer.has_capacity
            and (regions is None or peer.row.region in regions)
        ]
        return self._rng.choice(candidates) if candidates else None

    def _share_holders(self, target: targets.TargetState) -> list[str]:
        row = target.row
        per_s = target.rate_limit.bound_per_s
        if per_s is not None:
            return self._share_view.rate_holders(
                row.name, per_s, region=row.region
            )
        members = self._share_view.committed.members
        return [
            member
            for member in members
            if shares.share_of(
                row.allowance,
                target=row.name,
                entry=member,
                members=members,
            )
        ]

    def _new_peer(self, row: protocol.TargetRow) -> targets.TargetState:
        peer = targets.TargetState(row, self._clock, self._target_context)
        peer.is_peer = True
        peer.limit = MAX_RELAYED
        peer.connection_limit = MAX_RELAYED
        return peer


def _peer_row(name: str, region: str, address: str) -> protocol.TargetRow:
    return protocol.TargetRow(
        name=name,
        service='',
        address=address,
        region=region,
        domain='',
        slots=MAX_RELAYED,
        connections=MAX_RELAYED,
        incarnation=0,
        allowance=MAX_RELAYED,
        is_warm=True,
        is_leaving=False,
        shed_statuses=[],
    )
