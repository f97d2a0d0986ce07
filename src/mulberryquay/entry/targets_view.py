"""Merges the target lists of several control hosts."""

from __future__ import annotations

import typing

from mulberryquay import protocol

_Rows = dict[str, protocol.TargetRow]


@typing.final
class TargetsView:
    """The newest row of each target over all followed control hosts.

    A target that a control host reported as leaving stays so until the target
    restarts. A target is removed once no control host lists it.
    """

    def __init__(
        self,
        apply: typing.Callable[[protocol.TargetsChanged], None],
    ) -> None:
        """Passes changes of the merged list to ``apply``."""
        self._apply = apply
        self._rows_by_source: dict[str, _Rows] = {}
        self._merged: _Rows = {}

    def update(self, source: str, message: protocol.TargetsChanged) -> None:
        """Merges a message from the control host ``source``."""
        source_rows = self._rows_by_source.setdefault(source, {})
        changed = [
            row
            for fields in message.changed
            if self._is_current(row := protocol.TargetRow(*fields))
        ]
        listed = {fields[0] for fields in message.changed}
        unlisted = set(message.removed)
        if message.is_complete:
            unlisted |= (set(source_rows) | set(self._merged)) - listed
        for fields in message.changed:
            source_rows[fields[0]] = protocol.TargetRow(*fields)
        for name in unlisted:
            source_rows.pop(name, None)
        removed = [
            name
            for name in unlisted
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

    def remove_source(self, source: str) -> None:
        """Removes a control host that is no longer followed.

        Targets that only it listed stay until another one lists all targets.
        """
        self._rows_by_source.pop(source, None)

    def _is_current(self, row: protocol.TargetRow) -> bool:
        known = self._merged.get(row.name)
        return known is None or _version_of(row) >= _version_of(known)

    def _is_listed(self, name: str) -> bool:
        return any(
            name in source_rows for source_rows in self._rows_by_source.values()
        )


def _version_of(row: protocol.TargetRow) -> tuple[int, bool, int]:
    return row.incarnation, row.is_leaving, row.sequence
