"""Handles the calls of leaders and candidates."""

from __future__ import annotations

import typing

from mulberryquay.coordination.replication import (
    log,
    messages,
    state,
    timing,
)


@typing.final
class Follower:
    """Handles votes, log entries and snapshots, whatever the replica's role."""

    def __init__(self, replica_state: state.ReplicaState) -> None:
        """Handles calls on ``replica_state``."""
        self._state = replica_state

    def handle_vote(
        self,
        request: messages.VoteRequest,
    ) -> messages.VoteAnswer | messages.WrongReplica:
        """Grants or refuses a vote; raises JournalFailedError."""
        replica_state = self._state
        if request.voter != replica_state.identity:
            return messages.WrongReplica(replica_state.identity)
        if not self._may_grant_vote(request):
            return messages.VoteAnswer(replica_state.term, is_granted=False)
        if request.is_pre_vote:
            return messages.VoteAnswer(replica_state.term, is_granted=True)
        if request.term > replica_state.term:
            replica_state.adopt_term(request.term)
        if replica_state.voted_for not in {'', request.candidate}:
            return messages.VoteAnswer(replica_state.term, is_granted=False)
        replica_state.voted_for = request.candidate
        replica_state.contacted_at = replica_state.clock.now()
        replica_state.save_vote()
        is_granted = (
            replica_state.term == request.term
            and replica_state.voted_for == request.candidate
        )
        return messages.VoteAnswer(replica_state.term, is_granted)

    def handle_append(
        self,
        request: messages.AppendRequest,
    ) -> messages.AppendAnswer | messages.WrongReplica:
        """Appends a leader's log entries; raises JournalFailedError."""
        refusal = self._accept_leader(request)
        if refusal is not None:
            return refusal
        replica_state = self._state
        replica_state.announced_commit = max(
            replica_state.announced_commit, request.commit_index
        )
        previous = request.previous_index
        if previous >= replica_state.log.base_index:
            if replica_state.log.term_at(previous) != request.previous_term:
                hint = min(previous - 1, replica_state.log.last_index)
                return messages.AppendAnswer(
                    replica_state.term,
                    is_accepted=False,
                    match_index=max(hint, replica_state.log.base_index),
                )
        pending = replica_state.append(
            [log.Entry(*row) for row in request.entries]
        )
        match_index = previous + len(request.entries)
        # Others have synced what is committed, so it is applied before the
        # entries are synced to this disk.
        replica_state.commit(min(request.commit_index, match_index))
        if replica_state.applied_index >= request.commit_index:
            replica_state.current_at = replica_state.clock.now()
        replica_state.finish_sync(pending)
        if replica_state.term != request.term:
            return _refusal(replica_state)
        return messages.AppendAnswer(
            replica_state.term,
            is_accepted=True,
            match_index=match_index,
        )

    def handle_snapshot(
        self,
        request: messages.SnapshotRequest,
    ) -> messages.AppendAnswer | messages.WrongReplica:
        """Installs a leader's snapshot; raises JournalFailedError."""
        refusal = self._accept_leader(request)
        if refusal is not None:
            return refusal
        replica_state = self._state
        if request.state_index > replica_state.commit_index:
            replica_state.install_snapshot(
                request.state_index,
                request.state_term,
                request.members,
                request.state,
            )
        else:
            # The request may be a repeat of one whose snapshot is not synced.
            replica_state.wait_until_synced(request.state_index)
        if replica_state.term != request.term:
            return _refusal(replica_state)
        return messages.AppendAnswer(
            replica_state.term,
            is_accepted=True,
            match_index=request.state_index,
        )

    def _may_grant_vote(self, request: messages.VoteRequest) -> bool:
        """Whether the candidate's term and log are not behind this replica's.

        No leader may be active, except in a handover.
        """
        replica_state = self._state
        if request.term < replica_state.term:
            return False
        since_contact = replica_state.clock.now() - replica_state.contacted_at
        has_leader = replica_state.is_leader or (
            bool(replica_state.leader)
            and since_contact < timing.MIN_ELECTION_TIMEOUT_MS
        )
        if has_leader and not request.is_handover:
            return False
        own_position = (
            replica_state.log.last_term,
            replica_state.log.last_index,
        )
        return (request.last_term, request.last_index) >= own_position

    def _accept_leader(
        self,
        request: messages.AppendRequest | messages.SnapshotRequest,
    ) -> messages.AppendAnswer | messages.WrongReplica | None:
        """Follows the sender and returns None, or returns the refusal."""
        replica_state = self._state
        if request.follower != replica_state.identity:
            return messages.WrongReplica(replica_state.identity)
        if request.term < replica_state.term:
            return _refusal(replica_state)
        if request.term > replica_state.term:
            replica_state.adopt_term(request.term)
        replica_state.contacted_at = replica_state.clock.now()
        replica_state.follow(request.leader)
        return None


def _refusal(replica_state: state.ReplicaState) -> messages.AppendAnswer:
    return messages.AppendAnswer(
        replica_state.term,
        is_accepted=False,
        match_index=replica_state.log.last_index,
    )
