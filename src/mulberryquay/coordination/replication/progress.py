"""Replication progress of each follower, and the next request to it."""

from __future__ import annotations

import typing

from mulberryquay.coordination import units
from mulberryquay.coordination.replication import messages, state

#: Most log entries in one call, and most of their bytes in memory; a larger
#: one is alone.
_MAX_ENTRIES: typing.Final = 64
_MAX_BYTES: typing.Final = units.MIB


@typing.final
class Progress:
    """The leader's record of one follower."""

    def __init__(self, identity: str, address: str, next_index: int) -> None:
        """Starts with no log entry known to match."""
        self.identity = identity
        self.address = address
        self.next_index = next_index
        self.match_index = 0
        #: When the newest answered call was sent.
        self.answered_call_at = float('-inf')
        #: When the newest answer arrived or replication to it began, on the
        #: leader's clock.
        self.last_answer_at = 0.0
        #: Whether another replica answers at its address.
        self.is_replaced = False
        #: When it last asked to join; 0 if it never did.
        self.join_requested_at = 0.0
        #: The commit index in the newest request to it.
        self.sent_commit_index = -1


def next_request(
    replica_state: state.ReplicaState,
    term: int,
    peer: Progress,
) -> messages.AppendRequest | messages.SnapshotRequest:
    """Returns the log entries that a follower lacks, or a snapshot."""
    previous = peer.next_index - 1
    peer.sent_commit_index = replica_state.commit_index
    if previous < replica_state.log.base_index:
        return _snapshot_request(replica_state, term, peer)
    entries = replica_state.log.since(
        peer.next_index, limit=_MAX_ENTRIES, max_bytes=_MAX_BYTES
    )
    return messages.AppendRequest(
        peer.identity,
        replica_state.identity,
        term,
        previous,
        replica_state.log.term_at(previous),
        [list(entry) for entry in entries],
        replica_state.commit_index,
    )


def _snapshot_request(
    replica_state: state.ReplicaState,
    term: int,
    peer: Progress,
) -> messages.SnapshotRequest:
    snapshot = replica_state.make_state_copy()
    return messages.SnapshotRequest(
        peer.identity,
        replica_state.identity,
        term,
        snapshot.state_index,
        snapshot.state_term,
        snapshot.members,
        snapshot.state,
    )
