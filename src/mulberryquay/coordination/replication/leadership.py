"""One term of a leader: a task per follower, commits, proof of quorum."""

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
    """Leads for one term; all tasks end when the term does."""

    def __init__(self, shared: state.ReplicaState) -> None:
        """Takes the lead in the replica's current term."""
        self._state = shared
        self._term = shared.term
        self._started_at = shared.clock.now()
        self._peers: dict[str, progress.Progress] = {}
        self._news = signals.Signal(shared.clock)
        self._start_index = shared.log.last_index + 1
        #: Followers that were called after this time prove a read.
        self._proof_wanted_at = float('-inf')

    @property
    def is_current(self) -> bool:
        """Whether this term still goes on."""
        return self._state.is_leader and self._state.term == self._term

    @property
    def is_ready(self) -> bool:
        """Whether all entries of earlier terms are applied here."""
        return self._state.applied_index >= self._start_index

    @property
    def peers(self) -> dict[str, progress.Progress]:
        """The followers by identity, those that wait to join included."""
        return self._peers

    def start(self) -> None:
        """Tells all followers and begins to replicate."""
        shared = self._state
        shared.is_leader = True
        shared.leader = shared.identity
        shared.progress.notify()
        _LOG.warning('leading', extra={'term': self._term})
        if shared.log.last_index:
            self._add_entry(log.START, None)
        else:
            # Replicas that join later learn the founders from the log.
            self._add_entry(log.MEMBERS, shared.log.members)
        self._start_peers()
        gevent.spawn(self._watch_quorum)

    def propose(self, record: typing.Any) -> log.Entry:
        """Adds a record; it is committed once a majority synced it."""
        return self._add_entry(log.RECORD, record)

    def change_members(self, members: log.Members) -> None:
        """Adds an entry with other voters, one more or one fewer."""
        _LOG.warning(
            'changing voters',
            extra={'voters': sorted(members), 'term': self._term},
        )
        self._add_entry(log.MEMBERS, members)
        self._start_peers()

    def add_newcomer(self, identity: str, address: str) -> None:
        """Replicates to a replica that asks to join."""
        now = self._state.clock.now()
        peer = self._peers.get(identity)
        if peer is None:
            peer = self._start_peer(identity, address)
        peer.joining_at = now

    def forget(self, identity: str) -> None:
        """Ends replication to a replica that is neither voter nor joins."""
        self._peers.pop(identity, None)
        self._news.notify()

    def has_quorum_since(self, moment: float) -> bool:
        """Whether a majority answered a call sent after ``moment``."""
        members = self._state.log.members
        heard = sum(
            1
            for identity in members
            if identity == self._state.identity
            or _heard_at(self._peers.get(identity)) >= moment
        )
        return heard * 2 > len(members)

    def prove(self, *, timeout: float) -> bool:
        """Whether this is still the leader, proved by calls from now on."""
        shared = self._state
        start = shared.clock.now()
        self._proof_wanted_at = start
        self._news.notify()
        shared.progress.wait_until(
            lambda: not self.is_current or self.has_quorum_since(start),
            timeout=timeout,
        )
        return self.is_current and self.has_quorum_since(start)

    def _add_entry(self, kind: str, content: typing.Any) -> log.Entry:
        shared = self._state
        entry = log.Entry(
            shared.log.last_index + 1,
            self._term,
            kind,
            content,
        )
        shared.log.append(entry)
        synced = shared.disk.save_entries([entry])
        gevent.spawn(self._wait_synced, entry, synced)
        self._news.notify()
        return entry

    def _wait_synced(self, entry: log.Entry, synced: event.AsyncResult) -> None:
        shared = self._state
        try:
            synced.get()
        except journal.JournalFailedError as error:
            # The others can still commit it without this disk.
            _LOG.warning('entry not synced', extra={'cause': str(error)})
            return
        shared.mark_synced(entry)
        self._advance()

    def _start_peers(self) -> None:
        for identity, address in self._state.log.members.items():
            if identity == self._state.identity or identity in self._peers:
                continue
            self._start_peer(identity, address)

    def _start_peer(self, identity: str, address: str) -> progress.Progress:
        peer = progress.Progress(
            identity, address, self._state.log.last_index + 1
        )
        peer.silent_since = self._state.clock.now()
        self._peers[identity] = peer
        gevent.spawn(self._serve_peer, peer)
        return peer

    def _serve_peer(self, peer: progress.Progress) -> None:
        """Replicates to one follower until the term ends."""
        shared = self._state
        while self.is_current and self._peers.get(peer.identity) is peer:
            sent_at = shared.clock.now()
            request = progress.next_request(shared, self._term, peer)
            try:
                answer = shared.network.call(
                    peer.address,
                    request,
                    timeout=timing.CALL_MS,
                )
            except rpc.CallFailedError:
                shared.clock.sleep(timing.RETRY_MS)
                continue
            self._take_answer(peer, request, answer, sent_at)
            if not self._has_news(peer, sent_at):
                self._news.wait(timing.HEARTBEAT_MS)

    def _has_news(self, peer: progress.Progress, sent_at: float) -> bool:
        shared = self._state
        return (
            peer.next_index <= shared.log.last_index
            or peer.told_commit < shared.commit_index
            or sent_at < self._proof_wanted_at
        )

    def _take_answer(
        self,
        peer: progress.Progress,
        request: messages.AppendRequest | messages.SnapshotRequest,
        answer: typing.Any,
        sent_at: float,
    ) -> None:
        shared = self._state
        if isinstance(answer, messages.WrongReplica):
            peer.is_gone = True
            shared.clock.sleep(timing.RETRY_MS)
            return
        if answer.term > shared.term:
            shared.adopt_term(answer.term)
        if not self.is_current:
            return
        peer.is_gone = False
        peer.heard_at = max(peer.heard_at, sent_at)
        peer.silent_since = shared.clock.now()
        if answer.is_accepted:
            peer.match_index = max(peer.match_index, answer.match_index)
            peer.next_index = peer.match_index + 1
            self._advance()
        else:
            peer.next_index = max(1, answer.match_index + 1)
        shared.progress.notify()

    def _advance(self) -> None:
        """Commits what a majority of the voters has synced."""
        shared = self._state
        if not self.is_current:
            return
        matches = sorted(
            shared.synced_index
            if identity == shared.identity
            else _match_of(self._peers.get(identity))
            for identity in shared.log.members
        )
        agreed = matches[(len(matches) - 1) // 2] if matches else 0
        if agreed <= shared.commit_index:
            return
        if shared.log.term_at(agreed) == self._term:
            shared.commit(agreed)
            self._news.notify()
            if not shared.is_voter:
                shared.follow('')

    def _watch_quorum(self) -> None:
        """Steps down when no majority answers any more."""
        shared = self._state
        while self.is_current:
            shared.clock.sleep(timing.TICK_MS)
            oldest = shared.clock.now() - timing.QUORUM_LOSS_MS
            is_young = self._started_at > oldest
            if is_young or not self.is_current:
                continue
            if not self.has_quorum_since(oldest):
                _LOG.warning('quorum lost', extra={'term': self._term})
                shared.follow('')


def _heard_at(peer: progress.Progress | None) -> float:
    return float('-inf') if peer is None else peer.heard_at


def _match_of(peer: progress.Progress | None) -> int:
    return 0 if peer is None else peer.match_index
