"""Starts an election when no leader is heard from."""

from __future__ import annotations

import logging
import random
import typing

import gevent

from mulberryquay.coordination import journal, rpc, signals
from mulberryquay.coordination.replication import messages, state, timing

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Election:
    """Campaigns after each election timeout without contact to a leader."""

    def __init__(
        self,
        replica_state: state.ReplicaState,
        rng: random.Random,
        on_elected: typing.Callable[[], None],
    ) -> None:
        """Calls ``on_elected`` each time this replica wins an election."""
        self._state = replica_state
        self._rng = rng
        self._on_elected = on_elected

    def run(self) -> None:
        """Campaigns whenever the election timeout expires; never returns."""
        replica_state = self._state
        election_timeout = self._rng.uniform(
            timing.MIN_FIRST_ELECTION_TIMEOUT_MS,
            timing.MAX_FIRST_ELECTION_TIMEOUT_MS,
        )
        if self._is_only_member():
            election_timeout = 0
        started = replica_state.clock.now()
        while True:
            waiting_since = max(started, replica_state.contacted_at)
            remaining = (
                waiting_since + election_timeout - replica_state.clock.now()
            )
            if remaining > 0:
                replica_state.clock.sleep(remaining)
                continue
            if replica_state.is_voter and not replica_state.is_leader:
                self.campaign(is_handover=False)
            started = replica_state.clock.now()
            election_timeout = self._rng.uniform(
                timing.MIN_ELECTION_TIMEOUT_MS,
                timing.MAX_ELECTION_TIMEOUT_MS,
            )

    def campaign(self, *, is_handover: bool) -> None:
        """Runs an election and leads if it is won.

        A pre-vote comes first, except in a handover.
        """
        replica_state = self._state
        try:
            if self._run_election(is_handover=is_handover):
                self._on_elected()
        except journal.JournalFailedError as error:
            _LOG.warning(
                'campaign ended: vote not synced to disk',
                extra={'term': replica_state.term, 'cause': str(error)},
            )

    def _is_only_member(self) -> bool:
        return set(self._state.log.members) == {self._state.identity}

    def _run_election(self, *, is_handover: bool) -> bool:
        replica_state = self._state
        if not is_handover:
            if not self._request_votes(
                replica_state.term + 1, is_pre_vote=True, is_handover=False
            ):
                return False
        term = replica_state.term + 1
        replica_state.adopt_term(term)
        replica_state.voted_for = replica_state.identity
        _LOG.info('campaigning', extra={'term': term})
        replica_state.save_vote()
        if (
            replica_state.term != term
            or replica_state.voted_for != replica_state.identity
        ):
            return False
        is_won = self._request_votes(
            term, is_pre_vote=False, is_handover=is_handover
        )
        return (
            is_won and replica_state.term == term and not replica_state.leader
        )

    def _request_votes(
        self, term: int, *, is_pre_vote: bool, is_handover: bool
    ) -> bool:
        """Requests votes from all voters; True if a majority grants them."""
        replica_state = self._state
        members = dict(replica_state.log.members)
        votes = _VoteCount(len(members), signals.Signal(replica_state.clock))
        tasks = [
            gevent.spawn(
                self._request_vote,
                votes,
                address,
                messages.VoteRequest(
                    voter,
                    replica_state.identity,
                    term,
                    replica_state.log.last_index,
                    replica_state.log.last_term,
                    is_pre_vote,
                    is_handover,
                ),
            )
            for voter, address in members.items()
            if voter != replica_state.identity
        ]
        votes.count(is_granted=True)
        votes.vote_counted.wait_until(
            lambda: votes.is_decided,
            timeout=timing.CALL_TIMEOUT_MS,
        )
        gevent.killall(tasks, block=False)
        return votes.is_won

    def _request_vote(
        self,
        votes: _VoteCount,
        address: str,
        request: messages.VoteRequest,
    ) -> None:
        replica_state = self._state
        try:
            answer = replica_state.network.call(
                address,
                request,
                timeout=timing.CALL_TIMEOUT_MS,
            )
        except rpc.CallFailedError:
            votes.count(is_granted=False)
            return
        is_vote = isinstance(answer, messages.VoteAnswer)
        if is_vote and answer.term > replica_state.term:
            # Also after a pre-vote: otherwise a replica whose log is needed
            # but whose term is behind would ask for old terms forever.
            replica_state.adopt_term(answer.term)
        votes.count(is_granted=is_vote and answer.is_granted)


@typing.final
class _VoteCount:
    """Counts the votes of one election or pre-vote."""

    def __init__(self, voters: int, vote_counted: signals.Signal) -> None:
        self.vote_counted = vote_counted
        self._voters = voters
        self._granted = 0
        self._refused = 0

    @property
    def is_won(self) -> bool:
        """Whether a majority of the voters granted its vote."""
        return self._granted * 2 > self._voters

    @property
    def is_decided(self) -> bool:
        """Whether the outstanding votes can no longer change the result."""
        return self.is_won or self._refused * 2 >= self._voters

    def count(self, *, is_granted: bool) -> None:
        """Counts one vote and wakes the waiting candidate."""
        if is_granted:
            self._granted += 1
        else:
            self._refused += 1
        self.vote_counted.notify()
