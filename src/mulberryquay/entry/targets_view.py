"""Merges what several control hosts say of the targets."""

from __future__ import annotations

import typing

from mulberryquay import protocol

_Rows = dict[str, protocol.TargetRow]


@typing.final
class TargetsView:
    """The newest row of each target over all control hosts that are followed.

    A run that one of them says is leaving stays so, and a target is gone
    once none of them lists it.
    """

    def __init__(
        self,
        apply: typing.Callable[[protocol.TargetsChanged], None],
    ) -> None:
        """Calls ``apply`` with what changes over all."""
        self._apply = apply
        self._views: dict[str, _Rows] = {}
        self._merged: _Rows = {}

    def take(self, source: str, message: protocol.TargetsChanged) -> None:
        """Takes what the control host ``source`` says."""
        view = self._views.setdefault(source, {})
        changed = [
            row
            for fields in message.changed
            if self._is_news(row := protocol.TargetRow(*fields))
        ]
        listed = {fields[0] for fields in message.changed}
        gone = set(message.removed)
        if message.is_complete:
            gone |= (set(view) | set(self._merged)) - listed
        for fields in message.changed:
            view[fields[0]] = protocol.TargetRow(*fields)
        for name in gone:
            view.pop(name, None)
        removed = [
            name
            for name in gone
            if name in self._merged and not self._is_listed(name)
        ]
        for name in removed:
            self._merged.pop(name)
        for row in changed:
            self._merged[row.name] = row
        if changed or removed:
            self._apply(
                protocol.TargetsChanged(
                    [list(row) for row in changed],
                    removed,
                    is_complete=False,
                ),
            )

    def drop(self, source: str) -> None:
        """Forgets a control host that is not followed any more.

        What only it listed is kept until another one lists all targets.
        """
        self._views.pop(source, None)

    def _is_news(self, row: protocol.TargetRow) -> bool:
        known = self._merged.get(row.name)
        return known is None or _order(row) >= _order(known)

    def _is_listed(self, name: str) -> bool:
        return any(name in view for view in self._views.values())


def _order(row: protocol.TargetRow) -> tuple[int, bool, int]:
    return row.incarnation, row.is_leaving, row.sequence
