"""One replica of the log: its tasks and its public interface."""

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

#: Random bits in the identity of a replica that is not a founder.
_IDENTITY_BITS: typing.Final = 64

_LOG: typing.Final = logging.getLogger(__name__)


class ReplicaOptions(typing.NamedTuple):
    """Addresses of a replica and its group, and how the group starts."""

    #: Address at which the other replicas call this one.
    address: str
    #: Addresses to ask for the leader.
    contacts: tuple[str, ...]
    #: Whether the replicas at ``contacts`` form a new group now.
    is_founding: bool


@typing.final
class Replica:
    """A member of the replicated log; can be embedded in a gevent process."""

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
        """Restores the state from ``storage``; raises JournalCorruptError."""
        stored = storage.recover()
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
        """The unique name of this replica; it changes when the disk is lost."""
        return self._state.identity

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads; it may not know of a newer leader."""
        return self._state.is_leader

    @property
    def leader_address(self) -> str:
        """The leader's address; empty if it is not known."""
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
        """The index of the newest log entry, committed or not."""
        return self._state.log.last_index

    @property
    def durable_commit_index(self) -> int:
        """The commit index on disk, which a restart begins with."""
        return self._state.durable_commit_index

    @property
    def is_in_touch(self) -> bool:
        """Whether this replica recently had all that its leader committed.

        For a leader, whether a majority of the voters answered recently.
        """
        replica_state = self._state
        oldest = replica_state.clock.now() - timing.MIN_ELECTION_TIMEOUT_MS
        if replica_state.is_leader and self._leading is not None:
            return self._leading.has_quorum_since(oldest)
        return bool(replica_state.leader) and replica_state.current_at >= oldest

    @property
    def unapplied(self) -> int:
        """How many records the leader has committed that aren't applied."""
        return max(0, self._state.announced_commit - self._state.applied_index)

    @property
    def is_caught_up_leader(self) -> bool:
        """Whether this replica leads and has applied its whole log."""
        replica_state = self._state
        leading = self._leading
        return (
            leading is not None
            and leading.is_current
            and leading.is_ready
            and replica_state.applied_index == replica_state.log.last_index
        )

    def start(self) -> None:
        """Starts the tasks that campaign, join and write to disk."""
        self._tasks = [gevent.spawn(self._start_tasks)]

    def configure(self, contacts: typing.Sequence[str]) -> None:
        """Replaces the addresses to ask for the leader."""
        self._joining.configure(contacts)

    def stop(self) -> None:
        """Ends all tasks without notifying the other replicas."""
        self._state.follow('')
        gevent.killall(self._tasks)
        self._state.disk.close()

    def handle(self, request: typing.Any) -> typing.Any:
        """Returns the answer to another replica's call.

        Raises JournalFailedError, UnknownCallError, and NoQuorumError while
        the identity is not synced to disk.
        """
        if self._has_unsaved_identity:
            raise state.NoQuorumError(
                'the identity of this replica is not synced to disk; '
                'call again later',
            )
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
                index = self._reads.confirm_commit_index(
                    timeout=timing.CALL_TIMEOUT_MS
                )
                return messages.ReadAnswer(index)
        raise UnknownCallError(
            f'got {type(request).__name__}, expected a call between replicas'
        )

    def propose(self, record: typing.Any, *, timeout: float) -> None:
        """Returns once ``record`` is committed and applied here.

        Raises UnencodableError, and NoQuorumError, after which the record may
        still be committed.
        """
        leading = self._leading
        if leading is None or not leading.is_current:
            raise state.NoQuorumError('this replica is not the leader')
        entry = leading.propose(record)
        replica_state = self._state
        replica_state.changed.wait_until(
            lambda: (
                replica_state.applied_index >= entry.log_index
                or replica_state.term != entry.term
            ),
            timeout=timeout,
        )
        is_committed = (
            replica_state.applied_index >= entry.log_index
            and replica_state.log.term_at(entry.log_index) == entry.term
        )
        if not is_committed:
            raise state.NoQuorumError(
                'no majority of the replicas synced the change in time; '
                'it may still take effect, so send it again unchanged',
            )

    def wait_until_caught_up_leader(self, *, timeout: float) -> None:
        """Waits until this replica leads and has applied its whole log.

        Raises NoQuorumError.
        """
        if not self._state.changed.wait_until(
            lambda: self.is_caught_up_leader,
            timeout=timeout,
        ):
            raise state.NoQuorumError(
                'this replica is not the leader or has not applied all earlier '
                'changes; send the change again',
            )

    def read_barrier(self, *, timeout: float) -> None:
        """Returns once every earlier acknowledged change is applied here.

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
        """Hands leadership to the follower with the newest log, if any.

        Returns once this replica no longer leads, HANDOVER_TIMEOUT_MS have
        passed or the follower cannot be called.
        """
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
                timeout=timing.CALL_TIMEOUT_MS,
            )
        except rpc.CallFailedError as error:
            _LOG.info('handover failed', extra={'cause': str(error)})
            return
        replica_state.changed.wait_until(
            lambda: not replica_state.is_leader,
            timeout=timing.HANDOVER_TIMEOUT_MS,
        )

    def _start_tasks(self) -> None:
        """Starts the other tasks once the identity is synced to disk."""
        while self._has_unsaved_identity:
            try:
                self._state.compact()
            except journal.JournalFailedError as error:
                _LOG.warning(
                    'disk write failed, retrying', extra={'cause': str(error)}
                )
                self._state.clock.sleep(timing.DISK_INTERVAL_MS)
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
        """Persists the commit index, and writes snapshots when due.

        After a failed write, only a snapshot makes the journal usable again.
        """
        replica_state = self._state
        while True:
            replica_state.clock.sleep(timing.DISK_INTERVAL_MS)
            try:
                if replica_state.disk.has_failed:
                    replica_state.compact()
                replica_state.save_commit_if_new()
                replica_state.compact_if_due()
            except journal.JournalFailedError as error:
                _LOG.warning(
                    'disk write failed, retrying', extra={'cause': str(error)}
                )


@typing.final
class UnknownCallError(errors.InvalidInputError):
    """The request is not a call between replicas."""

    code = 'unknown-call'


def _initial_state(
    options: ReplicaOptions,
    stored: disk.StoredState,
    rng: random.Random,
) -> disk.StoredState:
    """Returns the state of a replica with an empty disk.

    A founder's identity is derived from its address, so that all founders
    start with the same voters. Any other replica gets a new random identity,
    because the votes and log entries of its earlier disk are lost.
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
