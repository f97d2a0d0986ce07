"""What all control hosts agree on: resources and ended targets."""

from __future__ import annotations

import typing

from mulberryquay.control import ended_targets
from mulberryquay.coordination import journal, store
from mulberryquay.coordination.replication import replica

#: A change that no majority has synced in this time is reported as not sure.
PROPOSE_MS: typing.Final = 750.0


@typing.final
class SharedLog:
    """The part of the replicated log that one state keeps its records in."""

    def __init__(self, tag: str) -> None:
        """Marks its records with ``tag``; `bind` comes before the first."""
        self._tag = tag
        self._replica: replica.Replica | None = None

    @property
    def records_since_snapshot(self) -> int:
        """The replica decides on its snapshots itself."""
        return 0

    def bind(self, shared: replica.Replica) -> None:
        """Takes the replica that proposes the records."""
        self._replica = shared

    def recover(self) -> journal.Recovered:
        """The replica restores the state, so there is nothing here."""
        return journal.Recovered(None, [], 0)

    def append(self, records: typing.Sequence[journal.Record]) -> None:
        """Returns once all records are committed; raises NoQuorumError."""
        for record in records:
            if self._replica is not None:
                self._replica.propose([self._tag, record], timeout=PROPOSE_MS)

    def compact(self, snapshot: journal.Record) -> None:
        """Nothing to do; the replica writes the snapshots."""

    def close(self) -> None:
        """Nothing to do; the replica closes the file."""


class _StateMachine(typing.Protocol):
    """A state that is kept in the shared log."""

    def apply(self, record: typing.Any) -> None:
        """Takes the next record."""

    def snapshot(self) -> typing.Any:
        """Returns the state."""

    def restore(self, snapshot: typing.Any) -> None:
        """Replaces the state."""


@typing.final
class ReplicatedState:
    """The state machine of the control hosts."""

    def __init__(self) -> None:
        """Starts empty."""
        self._logs = {tag: SharedLog(tag) for tag in ('store', 'endings')}
        self.store = store.Store(self._logs['store'])
        self.ended_targets = ended_targets.EndedTargets(self._logs['endings'])
        self._states: dict[str, _StateMachine] = {
            'store': self.store,
            'endings': self.ended_targets,
        }

    def bind(self, shared: replica.Replica) -> None:
        """Takes the replica that this state belongs to."""
        for part in self._logs.values():
            part.bind(shared)

    def apply(self, record: typing.Any) -> None:
        """Takes the next committed record."""
        tag, content = record
        self._states[tag].apply(content)

    def snapshot(self) -> typing.Any:
        """Returns the whole state."""
        return {tag: part.snapshot() for tag, part in self._states.items()}

    def restore(self, snapshot: typing.Any) -> None:
        """Replaces the whole state."""
        for tag, part in self._states.items():
            part.restore(snapshot[tag])
