"""One term of a leader: replication, commits and quorum checks."""

from __future__ import annotations

import logging
import typing

import gevent
from gevent import event

from mulberryquay.coordination import journal, rpc, signals
from mulberryquay.coordination.replication import (
    log,
    messages,
    progress,
    state,
    timing,
)

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Leadership:
    """Leads for one term, with one replication task per follower.

    All tasks end when the term ends.
    """

    def __init__(self, replica_state: state.ReplicaState) -> None:
        """Prepares to lead in the replica's current term."""
        self._state = replica_state
        self._term = replica_state.term
        self._started_at = replica_state.clock.now()
        self._peers: dict[str, progress.Progress] = {}
        self._work_signal = signals.Signal(replica_state.clock)
        self._start_index = replica_state.log.last_index + 1
        #: When a read last asked to confirm the leadership; each follower is
        #: called again after this time.
        self._confirmation_requested_at = float('-inf')

    @property
    def is_current(self) -> bool:
        """Whether this replica still leads in this term."""
        return self._state.is_leader and self._state.term == self._term

    @property
    def is_ready(self) -> bool:
        """Whether all log entries of earlier terms are applied here."""
        return self._state.applied_index >= self._start_index

    @property
    def peers(self) -> dict[str, progress.Progress]:
        """The followers and learners by identity."""
        return self._peers

    def start(self) -> None:
        """Becomes the leader: appends a log entry and starts replication."""
        replica_state = self._state
        replica_state.is_leader = True
        replica_state.leader = replica_state.identity
        replica_state.changed.notify()
        _LOG.warning('leading', extra={'term': self._term})
        if replica_state.log.last_index:
            self._add_entry(log.NO_OP, None)
        else:
            # Replicas that join later read the founding voters from the log.
            self._add_entry(log.MEMBERS, replica_state.log.members)
        self._start_peers()
        gevent.spawn(self._watch_quorum)

    def propose(self, record: typing.Any) -> log.Entry:
        """Appends a record, which is committed once a majority synced it.

        Raises UnencodableError, and appends nothing then.
        """
        return self._add_entry(log.RECORD, record)

    def change_members(self, members: log.Members) -> None:
        """Appends a log entry with the new voters, one more or one fewer."""
        _LOG.warning(
            'changing voters',
            extra={'voters': sorted(members), 'term': self._term},
        )
        self._add_entry(log.MEMBERS, members)
        self._start_peers()

    def add_learner(self, identity: str, address: str) -> None:
        """Starts or continues replication to a replica that asks to join."""
        now = self._state.clock.now()
        peer = self._peers.get(identity)
        if peer is None:
            peer = self._start_peer(identity, address)
        peer.join_requested_at = now

    def remove_peer(self, identity: str) -> None:
        """Ends replication to a replica that no longer votes or joins."""
        self._peers.pop(identity, None)
        self._work_signal.notify()

    def has_quorum_since(self, moment: float) -> bool:
        """Whether a majority answered a call sent at ``moment`` or later."""
        members = self._state.log.members
        answered = sum(
            1
            for identity in members
            if identity == self._state.identity
            or _answered_call_at(self._peers.get(identity)) >= moment
        )
        return answered * 2 > len(members)

    def confirm_leadership(self, *, timeout: float) -> bool:
        """Whether a majority answers calls that are sent from now on."""
        replica_state = self._state
        start = replica_state.clock.now()
        self._confirmation_requested_at = start
        self._work_signal.notify()
        replica_state.changed.wait_until(
            lambda: not self.is_current or self.has_quorum_since(start),
            timeout=timeout,
        )
        return self.is_current and self.has_quorum_since(start)

    def _add_entry(self, kind: str, content: typing.Any) -> log.Entry:
        replica_state = self._state
        entry = log.Entry(
            replica_state.log.last_index + 1,
            self._term,
            kind,
            content,
        )
        # First, because it refuses a log entry that cannot be encoded.
        synced = replica_state.disk.save_entries([entry])
        replica_state.log.append(entry)
        gevent.spawn(self._wait_synced, entry, synced)
        self._work_signal.notify()
        return entry

    def _wait_synced(self, entry: log.Entry, synced: event.AsyncResult) -> None:
        replica_state = self._state
        try:
            synced.get()
        except journal.JournalFailedError as error:
            # A majority of other voters can still commit the log entry.
            _LOG.warning(
                'log entry not synced to disk', extra={'cause': str(error)}
            )
            return
        replica_state.mark_synced(entry)
        self._advance_commit_index()

    def _start_peers(self) -> None:
        for identity, address in self._state.log.members.items():
            if identity == self._state.identity or identity in self._peers:
                continue
            self._start_peer(identity, address)

    def _start_peer(self, identity: str, address: str) -> progress.Progress:
        peer = progress.Progress(
            identity, address, self._state.log.last_index + 1
        )
        peer.last_answer_at = self._state.clock.now()
        self._peers[identity] = peer
        gevent.spawn(self._replicate_to, peer)
        return peer

    def _replicate_to(self, peer: progress.Progress) -> None:
        """Replicates to one follower until the term ends or it is removed."""
        replica_state = self._state
        while self.is_current and self._peers.get(peer.identity) is peer:
            sent_at = replica_state.clock.now()
            if self._must_not_call(peer, sent_at):
                replica_state.clock.sleep(timing.CHECK_INTERVAL_MS)
                continue
            request = progress.next_request(replica_state, self._term, peer)
            try:
                answer = replica_state.network.call(
                    peer.address,
                    request,
                    timeout=timing.CALL_TIMEOUT_MS,
                )
            except rpc.CallFailedError:
                replica_state.clock.sleep(timing.RETRY_DELAY_MS)
                continue
            self._handle_answer(peer, request, answer, sent_at)
            if not self._has_pending_work(peer, sent_at):
                self._work_signal.wait(timing.HEARTBEAT_INTERVAL_MS)

    def _must_not_call(self, peer: progress.Progress, now: float) -> bool:
        """Whether a call would be contact with a leader without a majority.

        A follower that is silent itself has to be called: its answer may be
        the one that a majority needs.
        """
        oldest = now - timing.CONTACT_QUORUM_MS
        is_silent = peer.answered_call_at < oldest
        return not is_silent and not self.has_quorum_since(oldest)

    def _has_pending_work(
        self, peer: progress.Progress, sent_at: float
    ) -> bool:
        replica_state = self._state
        return (
            peer.next_index <= replica_state.log.last_index
            or peer.sent_commit_index < replica_state.commit_index
            or sent_at < self._confirmation_requested_at
        )

    def _handle_answer(
        self,
        peer: progress.Progress,
        request: messages.AppendRequest | messages.SnapshotRequest,
        answer: typing.Any,
        sent_at: float,
    ) -> None:
        replica_state = self._state
        if isinstance(answer, messages.WrongReplica):
            peer.is_replaced = True
            replica_state.clock.sleep(timing.RETRY_DELAY_MS)
            return
        if answer.term > replica_state.term:
            replica_state.adopt_term(answer.term)
        if not self.is_current:
            return
        peer.is_replaced = False
        peer.answered_call_at = max(peer.answered_call_at, sent_at)
        peer.last_answer_at = replica_state.clock.now()
        if answer.is_accepted:
            peer.match_index = max(peer.match_index, answer.match_index)
            peer.next_index = peer.match_index + 1
            self._advance_commit_index()
        else:
            peer.next_index = max(1, answer.match_index + 1)
        replica_state.changed.notify()

    def _advance_commit_index(self) -> None:
        """Commits the log entries that a majority of the voters has synced."""
        replica_state = self._state
        if not self.is_current:
            return
        matches = sorted(
            replica_state.synced_index
            if identity == replica_state.identity
            else _match_of(self._peers.get(identity))
            for identity in replica_state.log.members
        )
        majority_index = matches[(len(matches) - 1) // 2] if matches else 0
        if majority_index <= replica_state.commit_index:
            return
        if replica_state.log.term_at(majority_index) == self._term:
            replica_state.commit(majority_index)
            self._work_signal.notify()
            if not replica_state.is_voter:
                replica_state.follow('')

    def _watch_quorum(self) -> None:
        """Steps down when no majority has answered for QUORUM_LOSS_MS."""
        replica_state = self._state
        while self.is_current:
            replica_state.clock.sleep(timing.CHECK_INTERVAL_MS)
            oldest = replica_state.clock.now() - timing.QUORUM_LOSS_MS
            is_newly_elected = self._started_at > oldest
            if is_newly_elected or not self.is_current:
                continue
            if not self.has_quorum_since(oldest):
                _LOG.warning('quorum lost', extra={'term': self._term})
                replica_state.follow('')


def _answered_call_at(peer: progress.Progress | None) -> float:
    return float('-inf') if peer is None else peer.answered_call_at


def _match_of(peer: progress.Progress | None) -> int:
    return 0 if peer is None else peer.match_index
