"""The incarnations of targets that get no new requests, on all hosts."""

from __future__ import annotations

import typing

from mulberryquay.coordination import ended_incarnations, store


@typing.final
class EndedTargets:
    """The last ended incarnation of each target, in the replicated log."""

    def __init__(self, log: store.ChangeLog) -> None:
        """Starts empty; ``log`` makes ended incarnations durable."""
        self._log = log
        self._ended = ended_incarnations.EndedIncarnations()
        #: Called on every control host with ended incarnations, by name.
        self.on_ended: typing.Callable[[dict[str, int]], None] = _ignore

    def is_ended(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation of a target has ended."""
        return self._ended.has_ended(name, incarnation)

    def end(self, name: str, incarnation: int) -> None:
        """Durably ends an incarnation and all earlier ones."""
        if not self.is_ended(name, incarnation):
            self._log.append([(name, incarnation)])
            self.apply((name, incarnation))

    def apply(self, record: typing.Any) -> None:
        """Applies a record; has no effect if the incarnation has ended."""
        name, incarnation = record
        if self._ended.add(name, incarnation):
            self.on_ended({name: incarnation})

    def snapshot(self) -> dict[str, int]:
        """Returns all ended incarnations as msgpack types."""
        return self._ended.to_dict()

    def restore(self, snapshot: dict[str, int]) -> None:
        """Replaces the ended incarnations with those of a `snapshot`."""
        self._ended = ended_incarnations.EndedIncarnations()
        for name, incarnation in snapshot.items():
            self._ended.add(name, incarnation)
        self.on_ended(self._ended.to_dict())


def _ignore(_ends: dict[str, int]) -> None:
    """Does nothing; the default of `EndedTargets.on_ended`."""
