"""What a leader knows of its followers, and what it sends them next."""

from __future__ import annotations

import typing

from mulberryquay.coordination.replication import messages, state

#: Entries in one call.
_MAX_ENTRIES: typing.Final = 64


@typing.final
class Progress:
    """What the leader knows of one follower."""

    def __init__(self, identity: str, address: str, next_index: int) -> None:
        """Starts with nothing known to match."""
        self.identity = identity
        self.address = address
        self.next_index = next_index
        self.match_index = 0
        #: When the newest call was sent that was answered.
        self.answered_call_at = float('-inf')
        #: Since when no call was answered, in the leader's time.
        self.silent_since = 0.0
        #: Whether another replica answered at its address.
        self.is_replaced = False
        #: When it asked to join last; 0 for a voter.
        self.join_requested_at = 0.0
        #: The commit index that it was told.
        self.sent_commit_index = -1


def next_request(
    replica_state: state.ReplicaState,
    term: int,
    peer: Progress,
) -> messages.AppendRequest | messages.SnapshotRequest:
    """Returns the entries that a follower lacks, or the whole state."""
    previous = peer.next_index - 1
    peer.sent_commit_index = replica_state.commit_index
    if previous < replica_state.log.base_index:
        return _snapshot_request(replica_state, term, peer)
    entries = replica_state.log.since(peer.next_index, limit=_MAX_ENTRIES)
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
        snapshot.position,
        snapshot.position_term,
        snapshot.members,
        snapshot.state,
    )
