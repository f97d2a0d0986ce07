"""Decides which replicas vote: joins, replacements and lost disks."""

from __future__ import annotations

import typing

from mulberryquay.coordination.replication import (
    leadership,
    progress,
    state,
    timing,
)

#: A group of fewer voters cannot lose one and keep a majority.
_MIN_VOTERS: typing.Final = 3


@typing.final
class MembershipPolicy:
    """Changes the voters one at a time while this replica leads."""

    def __init__(
        self,
        replica_state: state.ReplicaState,
        leading: leadership.Leadership,
    ) -> None:
        """Decides while ``leading`` is current."""
        self._state = replica_state
        self._leading = leading

    def run(self) -> None:
        """Checks the members at intervals until the term ends."""
        while self._leading.is_current:
            self._state.clock.sleep(timing.CHECK_INTERVAL_MS)
            if self._leading.is_current and self._leading.is_ready:
                self._remove_expired_learners()
                self._change_one_voter()

    def _remove_expired_learners(self) -> None:
        """Ends replication to replicas that neither vote nor ask to join."""
        oldest = self._state.clock.now() - timing.LEARNER_EXPIRY_MS
        for identity, peer in list(self._leading.peers.items()):
            is_voter = identity in self._state.log.members
            if not is_voter and peer.join_requested_at < oldest:
                self._leading.remove_peer(identity)

    def _change_one_voter(self) -> None:
        replica_state = self._state
        if replica_state.commit_index < replica_state.log.last_index:
            # Voters change one at a time, and only once the whole log is
            # committed.
            return
        members = replica_state.log.members
        learners = self._caught_up_learners()
        removed = self._voter_to_remove()
        if removed:
            remaining = dict(members)
            remaining.pop(removed)
            self._leading.change_members(remaining)
        elif learners:
            peer = learners[0]
            added = {**members, peer.identity: peer.address}
            self._leading.change_members(added)

    def _caught_up_learners(self) -> list[progress.Progress]:
        """Returns the learners that hold all committed log entries."""
        replica_state = self._state
        return [
            peer
            for identity, peer in self._leading.peers.items()
            if identity not in replica_state.log.members
            and peer.join_requested_at
            and peer.match_index >= replica_state.commit_index
        ]

    def _voter_to_remove(self) -> str:
        """Returns the identity of a voter to remove, or '' if there is none.

        A voter is removed if it lost its disk or has not answered for
        REPLACE_AFTER_MS, and only while the number of voters is even and
        above _MIN_VOTERS: one voter fewer tolerates as many failures. A
        learner that becomes a voter makes an odd number even.
        """
        members = self._state.log.members
        if len(members) % 2 or len(members) <= _MIN_VOTERS:
            return ''
        oldest_contact = self._state.clock.now() - timing.REPLACE_AFTER_MS
        for identity in members:
            peer = self._leading.peers.get(identity)
            if peer is None:
                continue
            if peer.is_replaced or peer.last_answer_at < oldest_contact:
                return identity
        return ''
