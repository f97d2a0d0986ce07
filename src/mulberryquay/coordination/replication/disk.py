"""A replica's persistent state: identity, term, vote, log and snapshot."""

from __future__ import annotations

import typing

from gevent import event

from mulberryquay.coordination import errors, group_commit, journal
from mulberryquay.coordination.replication import log as log_module

_VOTE: typing.Final = 'vote'
_ENTRIES: typing.Final = 'entries'
_COMMITTED: typing.Final = 'committed'
_BARRIER: typing.Final = 'barrier'


class StoredState(typing.NamedTuple):
    """The state read from disk at start; no identity if the disk is empty."""

    identity: str
    term: int
    voted_for: str
    log: log_module.Log
    #: The state machine's snapshot at the log's base; None if there is none.
    state: typing.Any
    #: A committed index; later log entries may be committed as well.
    commit_index: int = 0


class Snapshot(typing.NamedTuple):
    """The fields of a snapshot record, in their order on disk."""

    identity: str
    term: int
    voted_for: str
    #: Index of the last log entry that ``state`` covers.
    state_index: int
    state_term: int
    members: log_module.Members
    state: typing.Any
    #: Rows of the log entries after ``state_index``.
    entries: list[list[typing.Any]]


@typing.final
class NotRecoveredError(errors.MulberryquayError):
    """A write was requested before the disk was recovered."""

    code = 'disk-not-recovered'


@typing.final
class Disk:
    """Queues records in call order, without yielding to other greenlets.

    Each write returns a result that is set once the record is synced. Its
    ``get`` raises JournalFailedError if the write failed.
    """

    def __init__(self, file: journal.Journal) -> None:
        """Takes ownership of ``file``; `recover` must be called first."""
        self._file = file
        self._writer: group_commit.GroupCommit | None = None

    @property
    def has_failed(self) -> bool:
        """Whether a write failed and no snapshot has been written since."""
        return self._file.has_failed

    def recover(self) -> StoredState:
        """Returns the persisted state; raises JournalCorruptError."""
        recovered = self._file.recover()
        snapshot = Snapshot('', 0, '', 0, 0, {}, None, [])
        if recovered.snapshot is not None:
            snapshot = Snapshot(*recovered.snapshot)
        self._writer = group_commit.GroupCommit(self._file, _ignore)
        return _replay(snapshot, recovered.records)

    def save_vote(self, term: int, voted_for: str) -> event.AsyncResult:
        """Persists the term and the vote."""
        return self._queue([_VOTE, term, voted_for])

    def save_entries(
        self,
        entries: typing.Iterable[log_module.Entry],
    ) -> event.AsyncResult:
        """Persists log entries.

        One that conflicts replaces the stored log from its index on.
        """
        return self._queue([_ENTRIES, [list(entry) for entry in entries]])

    def save_commit(self, index: int) -> event.AsyncResult:
        """Persists the commit index, which a restart applies."""
        return self._queue([_COMMITTED, index])

    def barrier(self) -> event.AsyncResult:
        """Returns a result that is set once all earlier writes are synced."""
        return self._queue([_BARRIER])

    def compact(self, make_snapshot: typing.Callable[[], Snapshot]) -> None:
        """Replaces all records with a snapshot; raises JournalFailedError."""
        if self._writer is not None:
            self._writer.compact(lambda: list(make_snapshot()))

    def close(self) -> None:
        """Stops the writer and releases the data folder."""
        if self._writer is not None:
            self._writer.close()

    def _queue(self, record: journal.Record) -> event.AsyncResult:
        if self._writer is None:
            raise NotRecoveredError('call recover() before the first write')
        return self._writer.begin(record)


def _ignore(_record: journal.Record) -> None:
    """Does nothing: records take effect in memory before they are written."""


def _replay(snapshot: Snapshot, records: list[journal.Record]) -> StoredState:
    entries = log_module.Log(
        base_index=snapshot.state_index,
        base_term=snapshot.state_term,
        base_members=snapshot.members,
        entries=[log_module.Entry(*row) for row in snapshot.entries],
    )
    term = snapshot.term
    voted_for = snapshot.voted_for
    commit_index = entries.base_index
    for kind, *fields in records:
        if kind == _VOTE:
            term, voted_for = fields
        elif kind == _ENTRIES:
            for row in fields[0]:
                _replay_entry(entries, log_module.Entry(*row))
        elif kind == _COMMITTED:
            commit_index = max(commit_index, fields[0])
    if entries.last_term > term:
        # A synced log entry proves that the replica had entered its term.
        term = entries.last_term
        voted_for = ''
    return StoredState(
        snapshot.identity,
        term,
        voted_for,
        entries,
        snapshot.state,
        commit_index,
    )


def _replay_entry(entries: log_module.Log, entry: log_module.Entry) -> None:
    if entry.log_index <= entries.base_index:
        return
    if entry.log_index <= entries.last_index:
        if entries.term_at(entry.log_index) == entry.term:
            return
        entries.truncate(entry.log_index)
    entries.append(entry)
