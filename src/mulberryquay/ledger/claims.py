"""Keeps the claims of a ledger and their durable records.

A key is claimed before the first byte of its request is sent to a target. If
the entry is lost, or the claim expires before it is settled, the request may
have run: the claim becomes unknown and the request is never run again.
"""

from __future__ import annotations

import logging
import math
import typing

from mulberryquay.coordination import (
    clock,
    group_commit,
    journal,
    packing,
    units,
)
from mulberryquay.ledger import protocol

#: How long a settled or unknown claim is kept.
RETENTION_MS: typing.Final = units.DAY_MS

#: Records after which a snapshot replaces the journal.
_SNAPSHOT_AFTER: typing.Final = 20_000

#: Bytes of records after which it does as well, a part of what claims hold if
#: that is more; a start reads all of them.
_SNAPSHOT_BYTES: typing.Final = 4 * units.MIB
_SNAPSHOT_SHARE: typing.Final = 4

#: Part of the machine's memory that claims may hold, in percent.
MEMORY_PERCENT: typing.Final = 25

#: Memory of a record beside its key, its digest, its claimant and its answer.
_RECORD_BYTES: typing.Final = 1024

#: Time between two searches for claims that have expired.
_SEARCH_INTERVAL_MS: typing.Final = units.SECOND_MS

#: Added to a request's timeout before its claim becomes unknown.
_GRACE_MS: typing.Final = 5000


_LOG: typing.Final = logging.getLogger(__name__)


def _answer_bytes(answer: list[typing.Any]) -> int:
    """Returns the approximate size of a kept answer, in bytes."""
    return len(packing.pack(answer)) if answer else 0


class Record(typing.NamedTuple):
    """The state of a key; the journal holds one record per change."""

    key: str
    digest: bytes
    state: str
    #: Name and incarnation of the entry that claimed the key.
    claimant: str
    #: Number of the claim, unique for its claimant.
    claim_number: int
    #: Wall time in ms after which a running claim becomes unknown and any
    #: other one is forgotten.
    expires_at: float
    answer: list[typing.Any]

    @property
    def size(self) -> int:
        """The approximate size of the record in memory, in bytes."""
        return (
            _RECORD_BYTES
            + len(self.key)
            + len(self.digest)
            + len(self.claimant)
            + _answer_bytes(self.answer)
        )


class ClaimResult(typing.NamedTuple):
    """The answer to a claim."""

    state: protocol.ClaimState
    answer: list[typing.Any]


_FULL_RESULT: typing.Final = ClaimResult(protocol.ClaimState.FULL, [])
_GRANTED_RESULT: typing.Final = ClaimResult(protocol.ClaimState.GRANTED, [])
_RUNNING: typing.Final = protocol.ClaimState.RUNNING.value
#: The outcome of a request that did not run; its key is free again.
_FREE: typing.Final = protocol.ClaimState.GRANTED.value
_UNKNOWN: typing.Final = protocol.ClaimState.UNKNOWN.value


@typing.final
class Claims:
    """All claims of one ledger."""

    def __init__(
        self,
        log: journal.Journal,
        time_source: clock.Clock,
        max_bytes: int = units.MAX_INT64,
    ) -> None:
        """Restores the claims from ``log``; raises JournalCorruptError.

        Above ``max_bytes`` of records, new keys get no claim.
        """
        self._clock = time_source
        self._max_bytes = max_bytes
        #: What the records hold, in bytes.
        self.held_bytes = 0
        self._next_search = -math.inf
        self._records: dict[str, Record] = {}
        self._pending: set[str] = set()
        self._log = log
        recovered = log.recover()
        for fields in (*(recovered.snapshot or ()), *recovered.records):
            self._store_record(Record(*fields))
        self._commits = group_commit.GroupCommit(log, self._apply)
        self._is_compacting = False

    @property
    def count(self) -> int:
        """The number of keys with a record."""
        return len(self._records)

    def claim(
        self,
        key: str,
        digest: bytes,
        *,
        claimant: str,
        claim_number: int,
        timeout: float,
    ) -> ClaimResult:
        """Durably grants a new key, or returns the state of an existing one.

        A new key is not granted while records hold too much.

        Raises JournalFailedError, in which case the request must not run.
        """
        existing = self._find_unexpired(key)
        if existing is not None:
            return _result_for(existing, digest)
        if key in self._pending:
            return ClaimResult(protocol.ClaimState.RUNNING, [])
        expires_at = self._clock.wall() + timeout + _GRACE_MS
        record = Record(
            key,
            digest,
            _RUNNING,
            claimant,
            claim_number,
            expires_at,
            [],
        )
        if not self._has_room(record.size):
            return _FULL_RESULT
        self._pending.add(key)
        try:
            self._commit(record)
        finally:
            self._pending.discard(key)
        return _GRANTED_RESULT

    def settle(
        self,
        key: str,
        *,
        claimant: str,
        claim_number: int,
        state: str,
        answer: list[typing.Any],
    ) -> None:
        """Records the outcome of a claim, also after a ledger restart.

        Has no effect if another claim holds the key, because then the
        message is late. Raises JournalFailedError.
        """
        existing = self._records.get(key)
        if existing is None:
            return
        if (existing.claimant, existing.claim_number) != (
            claimant,
            claim_number,
        ):
            return
        if not self._has_room(_answer_bytes(answer)):
            # The key stays claimed, so the request is not run again.
            state, answer = _UNKNOWN, []
            _LOG.warning('answer not kept', extra={'claimant': claimant})
        self._commit(
            existing._replace(
                state=state,
                expires_at=self._clock.wall() + RETENTION_MS,
                answer=answer,
            ),
        )

    def mark_claimant_lost(self, claimant: str) -> None:
        """Marks the running claims of a lost entry as unknown."""
        lost = [
            record
            for record in self._records.values()
            if record.claimant == claimant and record.state == _RUNNING
        ]
        for record in lost:
            self._commit(self._as_unknown(record))

    def close(self) -> None:
        """Closes the journal."""
        self._commits.close()

    def _has_room(self, size: int) -> bool:
        """Whether records may hold ``size`` bytes more."""
        now = self._clock.now()
        if self._fits(size) or now < self._next_search:
            return self._fits(size)
        self._next_search = now + _SEARCH_INTERVAL_MS
        self._drop_expired()
        return self._fits(size)

    def _fits(self, size: int) -> bool:
        return self.held_bytes + size <= self._max_bytes

    def _drop_expired(self) -> None:
        """Forgets the records that a snapshot would leave out."""
        now = self._clock.wall()
        expired = [
            record.key
            for record in self._records.values()
            if record.expires_at <= now and record.state != _RUNNING
        ]
        for key in expired:
            self._forget(key)

    def _forget(self, key: str) -> None:
        record = self._records.pop(key, None)
        if record is not None:
            self.held_bytes -= record.size

    def _find_unexpired(self, key: str) -> Record | None:
        existing = self._records.get(key)
        if existing is None or existing.expires_at > self._clock.wall():
            return existing
        if existing.state == _RUNNING:
            self._commit(self._as_unknown(existing))
            return self._records[key]
        return None

    def _as_unknown(self, record: Record) -> Record:
        expires_at = self._clock.wall() + RETENTION_MS
        return record._replace(state=_UNKNOWN, expires_at=expires_at)

    def _commit(self, record: Record) -> None:
        self._commits.commit(tuple(record))
        if self._is_snapshot_due and not self._is_compacting:
            self._is_compacting = True
            try:
                self._commits.compact(self._snapshot)
            finally:
                self._is_compacting = False

    @property
    def _is_snapshot_due(self) -> bool:
        if self._log.records_since_snapshot >= _SNAPSHOT_AFTER:
            return True
        least = max(_SNAPSHOT_BYTES, self.held_bytes // _SNAPSHOT_SHARE)
        return self._log.bytes_since_snapshot >= least

    def _apply(self, fields: journal.Record) -> None:
        self._store_record(Record(*fields))

    def _store_record(self, record: Record) -> None:
        self._forget(record.key)
        if record.state != _FREE:
            self._records[record.key] = record
            self.held_bytes += record.size

    def _snapshot(self) -> list[tuple[typing.Any, ...]]:
        self._drop_expired()
        return [tuple(record) for record in self._records.values()]


def _result_for(existing: Record, digest: bytes) -> ClaimResult:
    if existing.digest != digest:
        return ClaimResult(protocol.ClaimState.MISMATCH, [])
    return ClaimResult(protocol.ClaimState(existing.state), existing.answer)
