"""Builds messages to entries; declares the feed's interface to its group."""

from __future__ import annotations

import itertools
import typing

from mulberryquay import protocol
from mulberryquay.control import (
    directory,
    entry_reports,
    membership,
    permit_desk,
)
from mulberryquay.control import roll_outs as roll_out_decider
from mulberryquay.coordination import shares


#: Rows per message, so that a large state does not block an entry.
SLICE_SIZE: typing.Final = 200


class HostGroup(typing.Protocol):
    """The group of control hosts, as far as the feed uses it."""

    @property
    def is_in_touch(self) -> bool:
        """Whether this host is in contact with the majority."""

    @property
    def reports(self) -> entry_reports.EntryReports:
        """The task that reports connected entries to the leader."""

    @property
    def permits(self) -> permit_desk.PermitDesk:
        """Decides on the permits of client accounts."""

    @property
    def roll_outs(self) -> roll_out_decider.RollOuts:
        """Decides on roll-outs by the answers that entries report."""

    def wait_until_current(self) -> None:
        """Waits until this host has every change acknowledged so far.

        Raises NoQuorumError.
        """

    def list_hosts(self) -> list[list[str]]:
        """Returns the address, region and domain of each live host's feed."""

    def publish(self, message: tuple[typing.Any, ...]) -> None:
        """Queues a message for all other control hosts."""


def targets_changed(
    changes: typing.Iterable[directory.TargetChange],
) -> protocol.TargetsChanged:
    """Returns the message that reports changed targets to entries."""
    changed = []
    removed = []
    for change in changes:
        if change.is_removed:
            removed.append(change.target.name)
        else:
            changed.append(list(change.target))
    return protocol.TargetsChanged(changed, removed, is_complete=False)


def target_state(
    targets: directory.Directory, *, is_current: bool
) -> typing.Iterator[tuple[typing.Any, ...]]:
    """Yields what an entry has to know of targets when it connects.

    The ends come first, so that no ended target is used in between. Entries
    of older releases cannot read them.
    """
    if is_current:
        yield from targets_ended(targets.ended_targets.snapshot())
    yield protocol.TargetsChanged(
        [list(row) for row in targets.list_targets()],
        [],
        is_complete=not targets.is_relearning,
    )


def targets_ended(
    ends: dict[str, int],
) -> typing.Iterator[protocol.TargetsEnded]:
    """Yields the messages that report ended incarnations to entries."""
    names = iter(ends)
    while part := list(itertools.islice(names, SLICE_SIZE)):
        yield protocol.TargetsEnded({name: ends[name] for name in part})


def entries_proposed(entries: shares.EntryList) -> protocol.EntriesProposed:
    """Returns the message for a list that awaits confirmations."""
    return protocol.EntriesProposed(entries.epoch, list(entries.members))


def entries_committed(entries: shares.EntryList) -> protocol.EntriesCommitted:
    """Returns the message for a confirmed list."""
    return protocol.EntriesCommitted(entries.epoch, list(entries.members))


def peers_changed(
    state: membership.MembershipState,
) -> protocol.PeersChanged:
    """Returns the message that lists the entries that accept relays."""
    return protocol.PeersChanged(state.peers)
