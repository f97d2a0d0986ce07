"""Tracks live entries and decides on the epochs of the entry list."""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock, shares

#: An entry without a heartbeat for this long is removed. This is longer than
#: the freshness lease of an entry, so that the entry stops serving first.
ENTRY_LEASE_MS: typing.Final = 4000

#: Entries that join within this time are added in one change of the list.
BATCH_DELAY_MS: typing.Final = 400.0

#: Epochs per term: those of a new leader are above all earlier ones.
_EPOCHS_PER_TERM: typing.Final = 1 << 24


class EntryRow(typing.NamedTuple):
    """What a control host reports to the leader about an entry."""

    name: str
    region: str
    domain: str
    admin_address: str
    peer_address: str
    config_revision: int
    entries_epoch: int
    is_leaving: bool


@typing.final
class EntryStatus:
    """The newest row of a live entry and when it was heard from."""

    def __init__(self, row: EntryRow, *, heartbeat_at: float) -> None:
        """Starts with the first row of the entry."""
        self.row = row
        self.heartbeat_at = heartbeat_at

    def merge(self, row: EntryRow) -> None:
        """Keeps the newer values: an entry may report to several hosts."""
        self.row = row._replace(
            config_revision=max(
                row.config_revision,
                self.row.config_revision,
            ),
            entries_epoch=max(row.entries_epoch, self.row.entries_epoch),
            is_leaving=row.is_leaving or self.row.is_leaving,
        )


class MembershipState(typing.NamedTuple):
    """The entry lists as decided by the leader."""

    committed: shares.EntryList
    pending: shares.EntryList | None
    #: Rows of name, region, domain and address of entries that accept
    #: relays.
    peers: list[list[str]]


@typing.final
class Membership:
    """Proposes a new entry list on each change and commits it when every
    live entry has confirmed it.

    Only the leader does so; the other control hosts pass its lists on.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        lease: float = ENTRY_LEASE_MS,
        batch_delay: float = BATCH_DELAY_MS,
    ) -> None:
        """Starts without entries; times are in milliseconds.

        Entries that join are proposed ``batch_delay`` after the first one.
        """
        self._clock = time_source
        self._lease = lease
        self._entries: dict[str, EntryStatus] = {}
        self._committed = shares.EntryList(0, ())
        self._pending: shares.EntryList | None = None
        self._peers: list[list[str]] = []
        self._term = 0
        self._batch_delay = batch_delay
        self._changed_at = 0.0
        self._leading_since = 0.0

    @property
    def entries(self) -> dict[str, EntryStatus]:
        """The live entries known to this host, by name."""
        return self._entries

    @property
    def committed(self) -> shares.EntryList:
        """The newest list that every live entry has confirmed."""
        return self._committed

    @property
    def pending(self) -> shares.EntryList | None:
        """The list that awaits confirmations, if any."""
        return self._pending

    @property
    def is_leading(self) -> bool:
        """Whether this control host decides on the lists."""
        return self._term > 0

    @property
    def state(self) -> MembershipState:
        """The lists as they are sent to other hosts."""
        return MembershipState(self._committed, self._pending, self._peers)

    def set_leader_term(self, term: int) -> None:
        """Starts deciding on the lists in ``term``; a term of 0 stops it."""
        if term == self._term:
            return
        self._term = term
        if term:
            # Entries connected to other hosts are not known here yet.
            self._leading_since = self._clock.now()
            self._pending = None

    def apply_state(self, lists: MembershipState) -> None:
        """Applies the leader's decision, unless this host leads."""
        if self.is_leading:
            return
        if lists.committed.epoch >= self._committed.epoch:
            self._committed = lists.committed
            self._pending = lists.pending
            self._peers = lists.peers

    def observe(self, row: EntryRow) -> None:
        """Records an entry's row that this or another host received."""
        status = self._entries.get(row.name)
        if status is None:
            self._entries[row.name] = EntryStatus(
                row,
                heartbeat_at=self._clock.now(),
            )
        else:
            status.heartbeat_at = self._clock.now()
            status.merge(row)
        self.update()

    def renew_leases(self, names: typing.Iterable[str]) -> None:
        """Extends the leases of entries connected to another host."""
        for name in names:
            status = self._entries.get(name)
            if status is not None:
                status.heartbeat_at = self._clock.now()

    def remove(self, name: str) -> None:
        """Removes an entry that has left."""
        if self._entries.pop(name, None) is not None:
            self.update()

    def expire(self) -> list[str]:
        """Removes the entries whose leases ran out and returns their names."""
        oldest = self._clock.now() - self._lease
        expired = [
            name
            for name, status in self._entries.items()
            if status.heartbeat_at < oldest
        ]
        for name in expired:
            self._entries.pop(name)
        if expired or self.is_leading:
            self.update()
        return expired

    def waiting_for(self, revision: int) -> list[str]:
        """Returns the live entries that have not confirmed ``revision``."""
        return sorted(
            name
            for name, status in self._entries.items()
            if status.row.config_revision < revision
        )

    def update(self) -> None:
        """Proposes and commits entry lists as the reports require."""
        if not self.is_leading or self._is_collecting_reports():
            return
        members = tuple(
            sorted(
                name
                for name, status in self._entries.items()
                if not status.row.is_leaving
            ),
        )
        newest = self._pending or self._committed
        is_stale = newest.epoch < self._term * _EPOCHS_PER_TERM
        if is_stale or newest.members != members:
            # Entries that join close together make one change. One that
            # leaves is removed at once: others may still relay to it.
            now = self._clock.now()
            self._changed_at = self._changed_at or now
            is_early = now - self._changed_at < self._batch_delay
            if (
                is_early
                and newest.members
                and set(newest.members) < set(members)
            ):
                return
            self._propose(newest, members)
        self._changed_at = 0.0
        self._commit_if_confirmed()

    def _is_collecting_reports(self) -> bool:
        """Whether other hosts may not have reported their entries yet."""
        if not self._committed.members:
            return False
        return self._clock.now() - self._leading_since < self._lease / 2

    def _propose(
        self,
        newest: shares.EntryList,
        members: tuple[str, ...],
    ) -> None:
        epoch = max(newest.epoch, self._term * _EPOCHS_PER_TERM) + 1
        self._pending = shares.EntryList(epoch, members)
        self._peers = [
            [
                name,
                status.row.region,
                status.row.domain,
                status.row.peer_address,
            ]
            for name, status in self._entries.items()
            if not status.row.is_leaving
        ]

    def _commit_if_confirmed(self) -> None:
        pending = self._pending
        if pending is None:
            return
        if all(
            status.row.entries_epoch >= pending.epoch
            for status in self._entries.values()
        ):
            self._committed = pending
            self._pending = None
