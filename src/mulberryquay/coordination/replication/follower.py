"""Answers the calls of leaders and candidates."""

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
    """The answers that any replica gives, whatever its role."""

    def __init__(self, shared: state.ReplicaState) -> None:
        """Answers for the replica that owns ``shared``."""
        self._state = shared

    def vote(
        self,
        request: messages.VoteRequest,
    ) -> messages.VoteAnswer | messages.WrongReplica:
        """Grants or refuses a vote; raises JournalFailedError."""
        shared = self._state
        if request.voter != shared.identity:
            return messages.WrongReplica(shared.identity)
        if not self._may_elect(request):
            return messages.VoteAnswer(shared.term, is_granted=False)
        if request.is_trial:
            return messages.VoteAnswer(shared.term, is_granted=True)
        if request.term > shared.term:
            shared.adopt_term(request.term)
        if shared.voted_for not in {'', request.candidate}:
            return messages.VoteAnswer(shared.term, is_granted=False)
        shared.voted_for = request.candidate
        shared.contacted_at = shared.clock.now()
        shared.save_vote()
        is_granted = (
            shared.term == request.term
            and shared.voted_for == request.candidate
        )
        return messages.VoteAnswer(shared.term, is_granted)

    def take_entries(
        self,
        request: messages.AppendRequest,
    ) -> messages.AppendAnswer | messages.WrongReplica:
        """Takes a leader's entries; raises JournalFailedError."""
        refusal = self._meet_leader(request)
        if refusal is not None:
            return refusal
        shared = self._state
        previous = request.previous_index
        if previous >= shared.log.base_index:
            if shared.log.term_at(previous) != request.previous_term:
                hint = min(previous - 1, shared.log.last_index)
                return messages.AppendAnswer(
                    shared.term,
                    is_accepted=False,
                    match_index=max(hint, shared.log.base_index),
                )
        shared.append([log.Entry(*row) for row in request.entries])
        if shared.term != request.term:
            return _refusal(shared)
        match_index = previous + len(request.entries)
        shared.commit(min(request.commit_index, match_index))
        return messages.AppendAnswer(
            shared.term,
            is_accepted=True,
            match_index=match_index,
        )

    def take_snapshot(
        self,
        request: messages.SnapshotRequest,
    ) -> messages.AppendAnswer | messages.WrongReplica:
        """Takes a leader's whole state; raises JournalFailedError."""
        refusal = self._meet_leader(request)
        if refusal is not None:
            return refusal
        shared = self._state
        if request.position > shared.commit_index:
            shared.install(
                request.position,
                request.position_term,
                request.members,
                request.state,
            )
        if shared.term != request.term:
            return _refusal(shared)
        return messages.AppendAnswer(
            shared.term,
            is_accepted=True,
            match_index=request.position,
        )

    def _may_elect(self, request: messages.VoteRequest) -> bool:
        """Whether an election is due and the candidate lacks nothing."""
        shared = self._state
        if request.term < shared.term:
            return False
        silence = shared.clock.now() - shared.contacted_at
        is_led = shared.is_leader or (
            bool(shared.leader) and silence < timing.ELECTION_MIN_MS
        )
        if is_led and not request.is_handover:
            return False
        own = (shared.log.last_term, shared.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _meet_leader(
        self,
        request: messages.AppendRequest | messages.SnapshotRequest,
    ) -> messages.AppendAnswer | messages.WrongReplica | None:
        """Follows the sender, or returns why not."""
        shared = self._state
        if request.follower != shared.identity:
            return messages.WrongReplica(shared.identity)
        if request.term < shared.term:
            return _refusal(shared)
        if request.term > shared.term:
            shared.adopt_term(request.term)
        shared.contacted_at = shared.clock.now()
        shared.follow(request.leader)
        return None


def _refusal(shared: state.ReplicaState) -> messages.AppendAnswer:
    return messages.AppendAnswer(
        shared.term,
        is_accepted=False,
        match_index=shared.log.last_index,
    )
