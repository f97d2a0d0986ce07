"""The incarnations of targets that get no new requests, on all hosts."""

from __future__ import annotations

import typing

from mulberryquay.coordination import store

#: Targets whose last ended incarnation is remembered, so that late messages
#: of it are still refused.
_MAX_ENDED: typing.Final = 10_000


@typing.final
class EndedTargets:
    """The last ended incarnation of each target, in the replicated log."""

    def __init__(self, log: store.ChangeLog) -> None:
        """Starts empty; ``log`` makes ended incarnations durable."""
        self._log = log
        self._ended: dict[str, int] = {}
        #: Called on every control host with each ended incarnation, in order.
        self.on_ended: typing.Callable[[str, int], None] = _ignore

    def is_ended(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation of a target has ended."""
        return incarnation <= self._ended.get(name, 0)

    def end(self, name: str, incarnation: int) -> None:
        """Durably ends an incarnation and all earlier ones."""
        if not self.is_ended(name, incarnation):
            self._log.append([(name, incarnation)])
            self.apply((name, incarnation))

    def apply(self, record: typing.Any) -> None:
        """Applies a record; has no effect if the incarnation has ended."""
        name, incarnation = record
        if self.is_ended(name, incarnation):
            return
        self._ended.pop(name, None)
        self._ended[name] = incarnation
        if len(self._ended) > _MAX_ENDED:
            self._ended.pop(next(iter(self._ended)))
        self.on_ended(name, incarnation)

    def snapshot(self) -> dict[str, int]:
        """Returns all ended incarnations as msgpack types."""
        return dict(self._ended)

    def restore(self, snapshot: dict[str, int]) -> None:
        """Replaces the ended incarnations with those of a `snapshot`."""
        self._ended = dict(snapshot)
        for name, incarnation in self._ended.items():
            self.on_ended(name, incarnation)


def _ignore(_name: str, _incarnation: int) -> None:
    """Does nothing; the default of `EndedTargets.on_ended`."""
