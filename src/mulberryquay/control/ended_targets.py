"""The runs of targets that take no new work any more, agreed by all hosts."""

from __future__ import annotations

import typing

from mulberryquay.coordination import store

#: Ended runs remembered, so that late messages stay refused.
_MAX_ENDED: typing.Final = 10_000


@typing.final
class EndedTargets:
    """The newest ended run of each target; kept in the replicated log."""

    def __init__(self, log: store.ChangeLog) -> None:
        """Starts empty; ``log`` makes endings durable."""
        self._log = log
        self._ended: dict[str, int] = {}
        #: Called with each ending, in order, on every control host.
        self.on_ended: typing.Callable[[str, int], None] = _ignore

    def is_ended(self, name: str, incarnation: int) -> bool:
        """Whether a run of a target has ended."""
        return incarnation <= self._ended.get(name, 0)

    def end(self, name: str, incarnation: int) -> None:
        """Ends a run durably; an earlier run ends with it."""
        if not self.is_ended(name, incarnation):
            self._log.append([(name, incarnation)])
            self.apply((name, incarnation))

    def apply(self, record: typing.Any) -> None:
        """Takes over an ending; one that was taken is ignored."""
        name, incarnation = record
        if self.is_ended(name, incarnation):
            return
        self._ended.pop(name, None)
        self._ended[name] = incarnation
        if len(self._ended) > _MAX_ENDED:
            self._ended.pop(next(iter(self._ended)))
        self.on_ended(name, incarnation)

    def snapshot(self) -> dict[str, int]:
        """Returns all endings as msgpack types."""
        return dict(self._ended)

    def restore(self, snapshot: dict[str, int]) -> None:
        """Replaces the endings by those that `snapshot` returned."""
        self._ended = dict(snapshot)
        for name, incarnation in self._ended.items():
            self.on_ended(name, incarnation)


def _ignore(_name: str, _incarnation: int) -> None:
    """Nobody wants to know yet."""
