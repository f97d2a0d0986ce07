"""The replicated state machine: resources and ended targets."""

from __future__ import annotations

import typing

from mulberryquay.control import ended_targets
from mulberryquay.coordination import journal, store, units
from mulberryquay.coordination.replication import replica

#: A change that no majority has synced within this time is reported as
#: uncertain.
PROPOSE_TIMEOUT_MS: typing.Final = 750.0


@typing.final
class SharedLog:
    """The part of the replicated log that holds the records of one state."""

    def __init__(self, tag: str) -> None:
        """Marks records with ``tag``; call `bind` before the first append."""
        self._tag = tag
        self._replica: replica.Replica | None = None

    @property
    def records_since_snapshot(self) -> int:
        """Always 0: the replica decides when to take snapshots."""
        return 0

    def bind(self, host_replica: replica.Replica) -> None:
        """Sets the replica that proposes the records."""
        self._replica = host_replica

    def recover(self) -> journal.Recovered:
        """Returns nothing: the replica restores the state."""
        return journal.Recovered(None, [], 0)

    def append(self, records: typing.Sequence[journal.Record]) -> None:
        """Returns once all records are committed; raises NoQuorumError."""
        for record in records:
            if self._replica is not None:
                self._replica.propose(
                    [self._tag, record], timeout=PROPOSE_TIMEOUT_MS
                )

    def compact(self, snapshot: journal.Record) -> None:
        """Does nothing: the replica writes the snapshots."""

    def close(self) -> None:
        """Does nothing: the replica closes the file."""


class _StateMachine(typing.Protocol):
    """A state whose records are in the replicated log."""

    def apply(self, record: typing.Any) -> None:
        """Applies the next record."""

    def snapshot(self) -> typing.Any:
        """Returns the state as msgpack types."""

    def restore(self, snapshot: typing.Any) -> None:
        """Replaces the state with that of a `snapshot`."""


@typing.final
class ReplicatedState:
    """The state that all control hosts agree on."""

    def __init__(self, max_store_bytes: int = units.MAX_INT64) -> None:
        """Starts empty; declared resources hold so much at most."""
        self._logs = {tag: SharedLog(tag) for tag in ('store', 'endings')}
        self.store = store.Store(self._logs['store'], max_bytes=max_store_bytes)
        self.ended_targets = ended_targets.EndedTargets(self._logs['endings'])
        self._states: dict[str, _StateMachine] = {
            'store': self.store,
            'endings': self.ended_targets,
        }

    def bind(self, host_replica: replica.Replica) -> None:
        """Sets the replica to which this state belongs."""
        for log in self._logs.values():
            log.bind(host_replica)

    def apply(self, record: typing.Any) -> None:
        """Applies the next committed record."""
        tag, content = record
        self._states[tag].apply(content)

    def snapshot(self) -> typing.Any:
        """Returns the whole state."""
        return {tag: state.snapshot() for tag, state in self._states.items()}

    def restore(self, snapshot: typing.Any) -> None:
        """Replaces the whole state with that of a `snapshot`."""
        for tag, state in self._states.items():
            state.restore(snapshot[tag])
