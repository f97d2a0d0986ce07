"""The entries that are alive, and the epochs of the list they share."""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock, shares

#: An entry that has not sent a beat for this long is taken as gone. It is
#: longer than the entry's own freshness lease, so the entry stops first.
ENTRY_LEASE_MS: typing.Final = 4000


@typing.final
class EntryStatus:
    """What is known of one live entry."""

    def __init__(
        self,
        *,
        region: str,
        domain: str,
        admin: str,
        peer: str,
    ) -> None:
        """Starts with nothing confirmed."""
        self.region = region
        self.domain = domain
        self.admin_address = admin
        self.peer_address = peer
        self.config_revision = 0
        self.entries_epoch = 0
        self.beat_at = 0.0
        #: Whether the entry has begun to stop; it still has to confirm.
        self.is_leaving = False


@typing.final
class Membership:
    """Proposes a new entry list on each change and commits it once all
    live entries have confirmed it."""

    def __init__(
        self,
        time: clock.Clock,
        *,
        lease: float = ENTRY_LEASE_MS,
    ) -> None:
        """Starts without entries; ``lease`` is in milliseconds."""
        self._clock = time
        self._lease = lease
        self._entries: dict[str, EntryStatus] = {}
        # Epochs have to grow over restarts too, so they start at wall time.
        self._committed = shares.EntryList(int(time.wall()), ())
        self._pending: shares.EntryList | None = None

    @property
    def entries(self) -> dict[str, EntryStatus]:
        """The live entries by name."""
        return self._entries

    @property
    def committed(self) -> shares.EntryList:
        """The newest list that every live entry confirmed."""
        return self._committed

    @property
    def pending(self) -> shares.EntryList | None:
        """The list that still waits for confirmations, if any."""
        return self._pending

    def join(self, name: str, status: EntryStatus) -> None:
        """Adds an entry or replaces its earlier connection."""
        status.beat_at = self._clock.now()
        is_new = name not in self._entries
        self._entries[name] = status
        if is_new:
            self._propose()

    def beat(
        self,
        name: str,
        *,
        config_revision: int,
        entries_epoch: int,
    ) -> None:
        """Records what an entry has confirmed."""
        status = self._entries.get(name)
        if status is None:
            return
        status.beat_at = self._clock.now()
        status.config_revision = config_revision
        status.entries_epoch = entries_epoch
        self._commit_if_confirmed()

    def start_leaving(self, name: str) -> None:
        """Proposes a list without an entry that has begun to stop."""
        status = self._entries.get(name)
        if status is not None and not status.is_leaving:
            status.is_leaving = True
            self._propose()

    def leave(self, name: str) -> None:
        """Removes an entry that stopped."""
        if self._entries.pop(name, None) is not None:
            self._propose()

    def expire(self) -> list[str]:
        """Removes the entries whose leases ran out and returns them."""
        oldest = self._clock.now() - self._lease
        expired = [
            name
            for name, status in self._entries.items()
            if status.beat_at < oldest
        ]
        for name in expired:
            self._entries.pop(name)
        if expired:
            self._propose()
        return expired

    def waiting_for(self, revision: int) -> list[str]:
        """Returns the live entries that have not confirmed ``revision``."""
        return sorted(
            name
            for name, status in self._entries.items()
            if status.config_revision < revision
        )

    def _propose(self) -> None:
        newest = self._pending or self._committed
        self._pending = shares.EntryList(
            newest.epoch + 1,
            tuple(
                sorted(
                    name
                    for name, status in self._entries.items()
                    if not status.is_leaving
                ),
            ),
        )
        self._commit_if_confirmed()

    def _commit_if_confirmed(self) -> None:
        pending = self._pending
        if pending is None:
            return
        if all(
            status.entries_epoch >= pending.epoch
            for status in self._entries.values()
        ):
            self._committed = pending
            self._pending = None
