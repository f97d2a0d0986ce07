"""One replica of the log: its tasks and what its owner calls."""

from __future__ import annotations

import logging
import random
import typing

import gevent

from mulberryquay.coordination import clock, errors, journal, rpc
from mulberryquay.coordination.replication import (
    disk,
    election,
    follower,
    joining,
    leadership,
    log,
    membership,
    messages,
    reads,
    state,
    timing,
)

#: Random bits in the identity of a replica that is no founder.
_IDENTITY_BITS: typing.Final = 64

_LOG: typing.Final = logging.getLogger(__name__)


class ReplicaOptions(typing.NamedTuple):
    """Where a replica stands among the others."""

    #: Its own address, as the others call it.
    address: str
    #: Addresses at which others may be found.
    contacts: tuple[str, ...]
    #: Whether the group is formed now, by the replicas at ``contacts``.
    is_founding: bool


@typing.final
class Replica:
    """Proposes, reads and follows; embeds in any gevent process."""

    def __init__(
        self,
        place: ReplicaOptions,
        machine: state.StateMachine,
        storage: disk.Disk,
        network: state.Network,
        *,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Restores what ``storage`` holds; raises JournalCorruptError."""
        stored = storage.recover()
        self._place = place
        self._is_new = not stored.identity
        if self._is_new:
            stored = _first_state(place, stored, rng)
        self._state = state.ReplicaState(
            stored,
            storage,
            machine,
            network,
            time_source,
            address=place.address,
        )
        self._follower = follower.Follower(self._state)
        self._election = election.Election(self._state, rng, self._lead)
        self._reads = reads.Reads(self._state)
        self._leading: leadership.Leadership | None = None
        self._joining = joining.Joining(self._state, place.contacts)
        self._tasks: list[gevent.Greenlet] = []

    @property
    def identity(self) -> str:
        """Names this replica; a replica that lost its disk has a new one."""
        return self._state.identity

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self._state.is_leader

    @property
    def leader_address(self) -> str:
        """Where the leader is, empty if it is not known."""
        if self._state.is_leader:
            return self._state.address
        return self._state.leader_address

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self._state.term

    @property
    def members(self) -> log.Members:
        """The voters' addresses by identity."""
        return self._state.log.members

    @property
    def last_index(self) -> int:
        """The index of the newest entry, committed or not."""
        return self._state.log.last_index

    @property
    def durable_commit_index(self) -> int:
        """Up to where a restart would know that entries are committed."""
        return self._state.durable_commit_index

    @property
    def is_in_touch(self) -> bool:
        """Whether a leader with a majority was heard just now."""
        shared = self._state
        oldest = shared.clock.now() - timing.ELECTION_MIN_MS
        if shared.is_leader and self._leading is not None:
            return self._leading.has_quorum_since(oldest)
        return bool(shared.leader) and shared.contacted_at >= oldest

    @property
    def is_caught_up_leader(self) -> bool:
        """Whether this replica leads and has applied all entries."""
        shared = self._state
        leading = self._leading
        return (
            leading is not None
            and leading.is_current
            and leading.is_ready
            and shared.applied_index == shared.log.last_index
        )

    def start(self) -> None:
        """Begins to follow, vote and join."""
        self._tasks = [gevent.spawn(self._begin)]

    def configure(self, contacts: typing.Sequence[str]) -> None:
        """Takes other addresses at which replicas may be found."""
        self._joining.configure(contacts)

    def stop(self) -> None:
        """Ends all tasks without a word to the others."""
        self._state.follow('')
        gevent.killall(self._tasks)
        self._state.disk.close()

    def handle(self, request: typing.Any) -> typing.Any:
        """Answers a call of another replica.

        Raises JournalFailedError, and NoQuorumError before the identity is
        on the disk.
        """
        if self._is_new:
            raise state.NoQuorumError('this replica is not on its disk yet')
        match request:
            case messages.AppendRequest():
                return self._follower.take_entries(request)
            case messages.VoteRequest():
                return self._follower.vote(request)
            case messages.SnapshotRequest():
                return self._follower.take_snapshot(request)
            case messages.JoinRequest(identity, address):
                return self._take_join(identity, address)
            case messages.HandoverRequest():
                return self._take_handover(request)
            case messages.ReadRequest():
                index = self._reads.prove_index(timeout=timing.CALL_MS)
                return messages.ReadAnswer(index)
        raise UnknownCallError(f'got {type(request).__name__} from a replica')

    def propose(self, record: typing.Any, *, timeout: float) -> None:
        """Returns once ``record`` is committed and applied here.

        Raises NoQuorumError: the record may still be committed later.
        """
        leading = self._leading
        if leading is None or not leading.is_current:
            raise state.NoQuorumError('this control host does not lead')
        entry = leading.propose(record)
        shared = self._state
        shared.progress.wait_until(
            lambda: (
                shared.applied_index >= entry.position
                or shared.term != entry.term
            ),
            timeout=timeout,
        )
        is_kept = (
            shared.applied_index >= entry.position
            and shared.log.term_at(entry.position) == entry.term
        )
        if not is_kept:
            raise state.NoQuorumError(
                'no majority of the control hosts has synced the change in '
                'time; it may take effect later, so send it again unchanged',
            )

    def wait_until_caught_up_leader(self, *, timeout: float) -> None:
        """Waits until this replica leads and all entries are applied.

        Raises NoQuorumError.
        """
        if not self._state.progress.wait_until(
            lambda: self.is_caught_up_leader,
            timeout=timeout,
        ):
            raise state.NoQuorumError(
                'this control host does not lead, or earlier changes are not '
                'decided yet; send the change again',
            )

    def read_barrier(self, *, timeout: float) -> None:
        """Returns once all that was acknowledged before is applied here.

        Raises NoQuorumError.
        """
        self._reads.wait_for_newest(timeout=timeout)

    def wait_for_leader(self, *, timeout: float) -> bool:
        """Waits until a leader is known; False after ``timeout`` ms."""
        return self._state.progress.wait_until(
            lambda: bool(self.leader_address),
            timeout=timeout,
        )

    def hand_over(self) -> None:
        """Lets the follower that is furthest take the lead."""
        leading = self._leading
        if leading is None or not leading.is_current:
            return
        voters = [
            peer
            for identity, peer in leading.peers.items()
            if identity in self.members and not peer.is_gone
        ]
        voters.sort(key=lambda peer: (peer.match_index, peer.heard_at))
        if not voters:
            return
        shared = self._state
        request = messages.HandoverRequest(voters[-1].identity, shared.term)
        try:
            shared.network.call(
                voters[-1].address,
                request,
                timeout=timing.CALL_MS,
            )
        except rpc.CallFailedError as error:
            _LOG.info('handover failed', extra={'cause': str(error)})
            return
        shared.progress.wait_until(
            lambda: not shared.is_leader,
            timeout=timing.HANDOVER_MS,
        )

    def _begin(self) -> None:
        """Runs the tasks, once the identity is on the disk."""
        while self._is_new:
            try:
                self._state.compact()
            except journal.JournalFailedError as error:
                _LOG.warning('disk failed', extra={'cause': str(error)})
                self._state.clock.sleep(timing.DISK_RETRY_MS)
            else:
                self._is_new = False
        self._tasks += [
            gevent.spawn(self._election.run),
            gevent.spawn(self._joining.run),
            gevent.spawn(self._keep_disk),
        ]

    def _lead(self) -> None:
        self._leading = leadership.Leadership(self._state)
        self._reads.leading = self._leading
        self._leading.start()
        policy = membership.MembershipPolicy(self._state, self._leading)
        gevent.spawn(policy.run)

    def _take_join(self, identity: str, address: str) -> messages.JoinAnswer:
        leading = self._leading
        if leading is not None and leading.is_current:
            if identity not in self.members:
                leading.add_newcomer(identity, address)
        return messages.JoinAnswer(self.leader_address)

    def _take_handover(
        self,
        request: messages.HandoverRequest,
    ) -> messages.HandoverAnswer:
        shared = self._state
        is_meant = request.follower == shared.identity and shared.is_voter
        if is_meant and request.term == shared.term:
            gevent.spawn(self._election.campaign, is_handover=True)
        return messages.HandoverAnswer()

    def _keep_disk(self) -> None:
        """Keeps the commit index; writes snapshots when due.

        After a failed write only a snapshot makes the disk usable again.
        """
        shared = self._state
        while True:
            shared.clock.sleep(timing.DISK_RETRY_MS)
            try:
                if shared.disk.has_failed:
                    shared.compact()
                shared.save_commit_if_new()
                shared.compact_if_due()
            except journal.JournalFailedError as error:
                _LOG.warning('disk failed', extra={'cause': str(error)})


@typing.final
class UnknownCallError(errors.InvalidInputError):
    """The call is none that replicas make."""

    code = 'unknown-call'


def _first_state(
    place: ReplicaOptions,
    stored: disk.Stored,
    rng: random.Random,
) -> disk.Stored:
    """Returns the state of a replica with an empty disk.

    A founder's identity follows from its address, so that all founders
    name the same voters. Any other replica gets an identity that was never
    used: whatever its disk held before is lost.
    """
    if place.is_founding and place.address in place.contacts:
        founders = {_founder(address): address for address in place.contacts}
        entries = log.Log(base_index=0, base_term=0, base_members=founders)
        identity = _founder(place.address)
        return stored._replace(identity=identity, log=entries)
    unique = rng.getrandbits(_IDENTITY_BITS)
    return stored._replace(identity=f'{place.address}/{unique:016x}')


def _founder(address: str) -> str:
    return f'{address}/founder'
