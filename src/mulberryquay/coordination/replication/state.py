"""State that the tasks of one replica share."""

from __future__ import annotations

import logging
import typing

from gevent import event

from mulberryquay.coordination import clock, errors, signals, units
from mulberryquay.coordination.replication import disk, log

#: Number of log entries, and their bytes in memory, at which the next snapshot
#: is due.
SNAPSHOT_ENTRIES: typing.Final = 512
_SNAPSHOT_BYTES: typing.Final = 4 * units.MIB

#: Log entries covered by a snapshot that stay in memory for followers that
#: lag a little, and their bytes.
_KEPT_ENTRIES: typing.Final = 64
_KEPT_BYTES: typing.Final = units.MIB

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class NoQuorumError(errors.MulberryquayError):
    """This replica does not lead, or no majority answered in time."""

    code = 'no-quorum'
    http_status = 503


@typing.final
class DivergedError(errors.MulberryquayError):
    """A leader sent a log entry that conflicts with a committed one."""

    code = 'replica-diverged'


def address_of(identity: str) -> str:
    """Returns the address that is part of a replica's identity."""
    return identity.rpartition('/')[0]


class StateMachine(typing.Protocol):
    """The replicated state that records change; methods must not yield."""

    def apply(self, record: typing.Any) -> None:
        """Applies the next committed record."""

    def snapshot(self) -> typing.Any:
        """Returns the whole state as msgpack types."""

    def restore(self, snapshot: typing.Any) -> None:
        """Replaces the state with one that `snapshot` returned."""


class Network(typing.Protocol):
    """Carries calls to other replicas."""

    def call(
        self,
        address: str,
        message: tuple[typing.Any, ...],
        *,
        timeout: float,
    ) -> typing.Any:
        """Returns the answer; raises CallFailedError."""


class PendingSync(typing.NamedTuple):
    """Log entries that are being synced to disk."""

    #: The last one, None if there is nothing to wait for.
    last: log.Entry | None = None
    #: The term in which they were appended.
    term: int = 0
    synced: event.AsyncResult | None = None


@typing.final
class ReplicaState:
    """Term, vote, log and role; read and written without locks.

    Greenlets switch only where they yield, so a value that was read before a
    yield, such as a disk write or a call, must be checked again after it.
    """

    def __init__(
        self,
        stored: disk.StoredState,
        storage: disk.Disk,
        machine: StateMachine,
        network: Network,
        time_source: clock.Clock,
        *,
        address: str,
    ) -> None:
        """Continues from ``stored``, which must have an identity."""
        self.identity = stored.identity
        #: Address at which the other replicas call this one.
        self.address = address
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = stored.log
        self.disk = storage
        self.network = network
        self.clock = time_source
        #: Notified when the leader, the commit index or a follower's progress
        #: changes.
        self.changed = signals.Signal(time_source)
        self.is_leader = False
        #: Identity of this term's leader; empty if it is not known.
        self.leader = ''
        self.leader_address = ''
        #: When a leader last called or a vote was last granted, which both
        #: restart the election timeout.
        self.contacted_at = float('-inf')
        #: When a leader last called and all that it had committed was applied.
        self.current_at = float('-inf')
        self.commit_index = stored.log.base_index
        #: The highest commit index that a leader has told.
        self.announced_commit = 0
        self._state_machine = machine
        self._applied_index = stored.log.base_index
        self._synced_index = stored.log.last_index
        #: Index and term of the last log entry in the newest snapshot record.
        self._snapshot_end = (stored.log.last_index, stored.log.last_term)
        self._is_compacting = False
        self._durable_commit_index = stored.commit_index
        if stored.state is not None:
            machine.restore(stored.state)
        self.commit(stored.commit_index)

    @property
    def applied_index(self) -> int:
        """The last index that the state machine applied."""
        return self._applied_index

    @property
    def synced_index(self) -> int:
        """The last index that is synced to this replica's disk."""
        return self._synced_index

    @property
    def durable_commit_index(self) -> int:
        """The newest commit index that is synced to disk."""
        return self._durable_commit_index

    @property
    def is_voter(self) -> bool:
        """Whether this replica is among the voters."""
        return self.identity in self.log.members

    def adopt_term(self, term: int) -> None:
        """Enters a later term as a follower that has not voted."""
        self.term = term
        self.voted_for = ''
        self.follow('')

    def follow(self, leader: str) -> None:
        """Becomes a follower; ``leader`` is empty if it is not known."""
        is_change = self.is_leader or leader != self.leader
        self.is_leader = False
        self.leader = leader
        self.leader_address = address_of(leader)
        if is_change:
            _LOG.info(
                'following',
                extra={'leader': leader, 'term': self.term},
            )
            self.changed.notify()

    def save_vote(self) -> None:
        """Syncs the term and the vote; raises JournalFailedError."""
        self.disk.save_vote(self.term, self.voted_for).get()

    def save_commit_if_new(self) -> None:
        """Persists the commit index if it has grown.

        Without it, a restarted replica could not tell which of its log
        entries are committed until a leader calls. Raises
        JournalFailedError.
        """
        index = min(self.commit_index, self._synced_index)
        if index > self._durable_commit_index:
            self.disk.save_commit(index).get()
            self._durable_commit_index = index

    def append(self, entries: list[log.Entry]) -> PendingSync:
        """Appends a leader's log entries and starts to sync them.

        Entries that exist are skipped. An existing entry that conflicts is
        removed first, with all entries after it. Raises DivergedError.
        """
        added = self._drop_known(entries)
        for entry in added:
            self.log.append(entry)
        if added:
            synced = self.disk.save_entries(added)
            return PendingSync(added[-1], self.term, synced)
        if entries and entries[-1].log_index > self._synced_index:
            return PendingSync(entries[-1], self.term, self.disk.barrier())
        return PendingSync()

    def finish_sync(self, pending: PendingSync) -> None:
        """Returns once appended entries are synced.

        Raises JournalFailedError.
        """
        if pending.last is None or pending.synced is None:
            return
        pending.synced.get()
        if pending.term == self.term:
            self.mark_synced(pending.last)

    def wait_until_synced(self, index: int) -> None:
        """Returns once a snapshot up to ``index``, being written, is synced.

        Raises JournalFailedError.
        """
        if index > self._synced_index:
            self.disk.barrier().get()

    def mark_synced(self, entry: log.Entry) -> None:
        """Records that a log entry and those before it are synced to disk."""
        if self.log.term_at(entry.log_index) == entry.term:
            self._synced_index = max(self._synced_index, entry.log_index)

    def commit(self, index: int) -> None:
        """Raises the commit index and applies the log entries up to it."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self._applied_index < self.commit_index:
            entry = self.log.entry_at(self._applied_index + 1)
            if entry.kind == log.RECORD:
                self._state_machine.apply(entry.content)
            self._applied_index = entry.log_index
        self.changed.notify()

    def install_snapshot(
        self,
        index: int,
        term: int,
        members: log.Members,
        content: typing.Any,
    ) -> None:
        """Replaces log and state with a leader's snapshot and syncs it."""
        self._state_machine.restore(content)
        self.log.reset(index, term, members)
        self.commit_index = index
        self._applied_index = index
        self._synced_index = min(self._synced_index, index)
        self.current_at = self.clock.now()
        self.changed.notify()
        self.compact()

    def make_snapshot(self) -> disk.Snapshot:
        """Returns a snapshot to be written, and records what it covers."""
        self._snapshot_end = (self.log.last_index, self.log.last_term)
        return self.make_state_copy()

    def make_state_copy(self) -> disk.Snapshot:
        """Returns the applied state and the log entries after it."""
        index = self._applied_index
        return disk.Snapshot(
            self.identity,
            self.term,
            self.voted_for,
            index,
            self.log.term_at(index),
            self.log.members_at(index),
            self._state_machine.snapshot(),
            [
                list(entry)
                for entry in self.log.since(index + 1, limit=len(self.log))
            ],
        )

    def compact(self) -> None:
        """Writes a snapshot; raises JournalFailedError."""
        self.disk.compact(self.make_snapshot)
        index, term = self._snapshot_end
        if index >= self.log.base_index and self.log.term_at(index) == term:
            self._synced_index = max(self._synced_index, index)

    def compact_if_due(self) -> None:
        """Writes a snapshot once the log is long, or holds much."""
        is_long = len(self.log) >= SNAPSHOT_ENTRIES
        is_due = is_long or self.log.held_bytes >= _SNAPSHOT_BYTES
        if not is_due or self._is_compacting:
            return
        self._is_compacting = True
        try:
            self.compact()
        finally:
            self._is_compacting = False
        covered = min(self._applied_index, self._synced_index)
        kept = self.log.count_until(
            covered, limit=_KEPT_ENTRIES, max_bytes=_KEPT_BYTES
        )
        if covered - kept > self.log.base_index:
            self.log.discard_until(covered - kept)

    def _drop_known(self, entries: list[log.Entry]) -> list[log.Entry]:
        for offset, entry in enumerate(entries):
            if entry.log_index <= self.log.base_index:
                continue
            if entry.log_index > self.log.last_index:
                return entries[offset:]
            if self.log.term_at(entry.log_index) == entry.term:
                continue
            if entry.log_index <= self.commit_index:
                raise DivergedError(
                    f'index {entry.log_index}: got term {entry.term}, expected '
                    f'term {self.log.term_at(entry.log_index)} of the '
                    'committed log entry',
                )
            self.log.truncate(entry.log_index)
            self._synced_index = min(self._synced_index, entry.log_index - 1)
            return entries[offset:]
        return []
