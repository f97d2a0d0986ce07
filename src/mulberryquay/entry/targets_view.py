"""Merges the target lists of several control hosts."""

from __future__ import annotations

import typing

from mulberryquay import protocol
from mulberryquay.coordination import ended_incarnations

_Rows = dict[str, protocol.TargetRow]


@typing.final
class TargetsView:
    """The newest row of each target over all followed control hosts.

    A target that a control host reported as leaving or ended stays so until
    the target restarts, whichever hosts list it. A target is removed once no
    control host lists it.
    """

    def __init__(
        self,
        apply: typing.Callable[[protocol.TargetsChanged], None],
    ) -> None:
        """Passes changes of the merged list to ``apply``."""
        self._apply = apply
        self._rows_by_source: dict[str, _Rows] = {}
        self._merged: _Rows = {}
        self._ended = ended_incarnations.EndedIncarnations()

    def receive(
        self,
        source: str,
        message: protocol.TargetsChanged | protocol.TargetsEnded,
    ) -> None:
        """Merges a message from the control host ``source``."""
        match message:
            case protocol.TargetsChanged():
                self.update(source, message)
            case protocol.TargetsEnded(incarnations):
                self.end(incarnations)

    def end(self, incarnations: typing.Mapping[str, int]) -> None:
        """Marks targets as leaving whose incarnations have ended, by name.

        It holds for rows that come later, too.
        """
        changed: list[protocol.TargetRow] = []
        for name, incarnation in incarnations.items():
            self._ended.add(name, incarnation)
            row = self._merged.get(name)
            if row is None or row.is_leaving:
                continue
            if row.incarnation <= incarnation:
                changed.append(row._replace(is_leaving=True))
        self._merge(changed, removed=[])

    def update(self, source: str, message: protocol.TargetsChanged) -> None:
        """Merges a message from the control host ``source``."""
        source_rows = self._rows_by_source.setdefault(source, {})
        rows = [self._read_row(fields) for fields in message.changed]
        changed = [row for row in rows if self._is_current(row)]
        listed = {row.name: row for row in rows}
        unlisted = set(message.removed)
        if message.is_complete:
            unlisted |= (set(source_rows) | set(self._merged)) - set(listed)
        source_rows.update(listed)
        for name in unlisted:
            source_rows.pop(name, None)
        removed = [
            name
            for name in unlisted
            if name in self._merged and not self._is_listed(name)
        ]
        self._merge(changed, removed)

    def remove_source(self, source: str) -> None:
        """Removes a control host that is no longer followed.

        Targets that only it listed stay until another one lists all targets.
        """
        self._rows_by_source.pop(source, None)

    def _merge(
        self,
        changed: typing.Sequence[protocol.TargetRow],
        removed: list[str],
    ) -> None:
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

    def _read_row(
        self, fields: typing.Sequence[typing.Any]
    ) -> protocol.TargetRow:
        row = protocol.TargetRow(*fields)
        if self._ended.has_ended(row.name, row.incarnation):
            return row._replace(is_leaving=True)
        return row

    def _is_current(self, row: protocol.TargetRow) -> bool:
        known = self._merged.get(row.name)
        return known is None or _version_of(row) >= _version_of(known)

    def _is_listed(self, name: str) -> bool:
        return any(
            name in source_rows for source_rows in self._rows_by_source.values()
        )


def _version_of(row: protocol.TargetRow) -> tuple[int, bool, int]:
    return row.incarnation, row.is_leaving, row.sequence
