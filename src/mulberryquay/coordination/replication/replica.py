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
        options: ReplicaOptions,
        machine: state.StateMachine,
        storage: disk.Disk,
        network: state.Network,
        *,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Restores what ``storage`` holds; raises JournalCorruptError."""
        stored = storage.recover()
        self._options = options
        self._has_unsaved_identity = not stored.identity
        if self._has_unsaved_identity:
            stored = _initial_state(options, stored, rng)
        self._state = state.ReplicaState(
            stored,
            storage,
            machine,
            network,
            time_source,
            address=options.address,
        )
        self._follower = follower.Follower(self._state)
        self._election = election.Election(
            self._state, rng, self._start_leading
        )
        self._reads = reads.Reads(self._state)
        self._leading: leadership.Leadership | None = None
        self._joining = joining.Joining(self._state, options.contacts)
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
        replica_state = self._state
        oldest = replica_state.clock.now() - timing.ELECTION_MIN_MS
        if replica_state.is_leader and self._leading is not None:
            return self._leading.has_quorum_since(oldest)
        return (
            bool(replica_state.leader) and replica_state.contacted_at >= oldest
        )

    @property
    def is_caught_up_leader(self) -> bool:
        """Whether this replica leads and has applied all entries."""
        replica_state = self._state
        leading = self._leading
        return (
            leading is not None
            and leading.is_current
            and leading.is_ready
            and replica_state.applied_index == replica_state.log.last_index
        )

    def start(self) -> None:
        """Begins to follow, vote and join."""
        self._tasks = [gevent.spawn(self._start_tasks)]

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
        if self._has_unsaved_identity:
            raise state.NoQuorumError('this replica is not on its disk yet')
        match request:
            case messages.AppendRequest():
                return self._follower.handle_append(request)
            case messages.VoteRequest():
                return self._follower.handle_vote(request)
            case messages.SnapshotRequest():
                return self._follower.handle_snapshot(request)
            case messages.JoinRequest(identity, address):
                return self._handle_join(identity, address)
            case messages.HandoverRequest():
                return self._handle_handover(request)
            case messages.ReadRequest():
                index = self._reads.confirm_commit_index(timeout=timing.CALL_MS)
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
        replica_state = self._state
        replica_state.changed.wait_until(
            lambda: (
                replica_state.applied_index >= entry.position
                or replica_state.term != entry.term
            ),
            timeout=timeout,
        )
        is_committed = (
            replica_state.applied_index >= entry.position
            and replica_state.log.term_at(entry.position) == entry.term
        )
        if not is_committed:
            raise state.NoQuorumError(
                'no majority of the control hosts has synced the change in '
                'time; it may take effect later, so send it again unchanged',
            )

    def wait_until_caught_up_leader(self, *, timeout: float) -> None:
        """Waits until this replica leads and all entries are applied.

        Raises NoQuorumError.
        """
        if not self._state.changed.wait_until(
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
        self._reads.wait_until_current(timeout=timeout)

    def wait_for_leader(self, *, timeout: float) -> bool:
        """Waits until a leader is known; False after ``timeout`` ms."""
        return self._state.changed.wait_until(
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
            if identity in self.members and not peer.is_replaced
        ]
        voters.sort(key=lambda peer: (peer.match_index, peer.answered_call_at))
        if not voters:
            return
        replica_state = self._state
        request = messages.HandoverRequest(
            voters[-1].identity, replica_state.term
        )
        try:
            replica_state.network.call(
                voters[-1].address,
                request,
                timeout=timing.CALL_MS,
            )
        except rpc.CallFailedError as error:
            _LOG.info('handover failed', extra={'cause': str(error)})
            return
        replica_state.changed.wait_until(
            lambda: not replica_state.is_leader,
            timeout=timing.HANDOVER_MS,
        )

    def _start_tasks(self) -> None:
        """Runs the tasks, once the identity is on the disk."""
        while self._has_unsaved_identity:
            try:
                self._state.compact()
            except journal.JournalFailedError as error:
                _LOG.warning('disk failed', extra={'cause': str(error)})
                self._state.clock.sleep(timing.DISK_RETRY_MS)
            else:
                self._has_unsaved_identity = False
        self._tasks += [
            gevent.spawn(self._election.run),
            gevent.spawn(self._joining.run),
            gevent.spawn(self._maintain_disk),
        ]

    def _start_leading(self) -> None:
        self._leading = leadership.Leadership(self._state)
        self._reads.leading = self._leading
        self._leading.start()
        policy = membership.MembershipPolicy(self._state, self._leading)
        gevent.spawn(policy.run)

    def _handle_join(self, identity: str, address: str) -> messages.JoinAnswer:
        leading = self._leading
        if leading is not None and leading.is_current:
            if identity not in self.members:
                leading.add_learner(identity, address)
        return messages.JoinAnswer(self.leader_address)

    def _handle_handover(
        self,
        request: messages.HandoverRequest,
    ) -> messages.HandoverAnswer:
        replica_state = self._state
        is_addressee = (
            request.follower == replica_state.identity
            and replica_state.is_voter
        )
        if is_addressee and request.term == replica_state.term:
            gevent.spawn(self._election.campaign, is_handover=True)
        return messages.HandoverAnswer()

    def _maintain_disk(self) -> None:
        """Keeps the commit index; writes snapshots when due.

        After a failed write only a snapshot makes the disk usable again.
        """
        replica_state = self._state
        while True:
            replica_state.clock.sleep(timing.DISK_RETRY_MS)
            try:
                if replica_state.disk.has_failed:
                    replica_state.compact()
                replica_state.save_commit_if_new()
                replica_state.compact_if_due()
            except journal.JournalFailedError as error:
                _LOG.warning('disk failed', extra={'cause': str(error)})


@typing.final
class UnknownCallError(errors.InvalidInputError):
    """The call is none that replicas make."""

    code = 'unknown-call'


def _initial_state(
    options: ReplicaOptions,
    stored: disk.StoredState,
    rng: random.Random,
) -> disk.StoredState:
    """Returns the state of a replica with an empty disk.

    A founder's identity follows from its address, so that all founders
    name the same voters. Any other replica gets an identity that was never
    used: whatever its disk held before is lost.
    """
    if options.is_founding and options.address in options.contacts:
        founders = {
            _founder_identity(address): address for address in options.contacts
        }
        entries = log.Log(base_index=0, base_term=0, base_members=founders)
        identity = _founder_identity(options.address)
        return stored._replace(identity=identity, log=entries)
    unique = rng.getrandbits(_IDENTITY_BITS)
    return stored._replace(identity=f'{options.address}/{unique:016x}')


def _founder_identity(address: str) -> str:
    return f'{address}/founder'
