"""What a feed tells entries, and what it needs of the other hosts."""

from __future__ import annotations

import typing

from mulberryquay import protocol
from mulberryquay.control import directory, entry_reports
from mulberryquay.coordination import shares


class HostGroup(typing.Protocol):
    """The other control hosts, as the feed needs them."""

    @property
    def is_in_touch(self) -> bool:
        """Whether this host hears of every change that a majority has."""

    @property
    def reports(self) -> entry_reports.EntryReports:
        """Tells the leader of the entries that follow this host."""

    def wait_until_current(self) -> None:
        """Returns once this host has all that was acknowledged before.

        Raises NoQuorumError.
        """

    def list_hosts(self) -> list[list[str]]:
        """Returns address, region and domain of each host's feed."""

    def publish(self, message: tuple[typing.Any, ...]) -> None:
        """Tells all other control hosts."""


def targets_changed(
    changes: typing.Iterable[directory.TargetChange],
) -> protocol.TargetsChanged:
    """Returns what entries are told of changed targets."""
    changed = []
    removed = []
    for change in changes:
        if change.is_removed:
            removed.append(change.target.name)
        else:
            changed.append(list(change.target))
    return protocol.TargetsChanged(changed, removed, is_complete=False)


def entries_proposed(entries: shares.EntryList) -> protocol.EntriesProposed:
    """Returns the message of a list that waits for confirmations."""
    return protocol.EntriesProposed(entries.epoch, list(entries.members))


def entries_committed(entries: shares.EntryList) -> protocol.EntriesCommitted:
    """Returns the message of a confirmed list."""
    return protocol.EntriesCommitted(entries.epoch, list(entries.members))
