"""The entries of a replica that are not part of its snapshot yet."""

from __future__ import annotations

import typing

from mulberryquay.coordination import errors

#: An entry that changes nothing; each leader begins its term with one.
NO_OP: typing.Final = 'start'

#: An entry whose content is the voters' addresses by identity.
MEMBERS: typing.Final = 'members'

#: An entry for the state machine.
RECORD: typing.Final = 'record'

Members = dict[str, str]


@typing.final
class CompactedError(errors.MulberryquayError):
    """The entry is part of a snapshot by now."""

    code = 'entry-compacted'


class Entry(typing.NamedTuple):
    """One entry; ``kind`` is START, MEMBERS or RECORD."""

    position: int
    term: int
    kind: str
    content: typing.Any


@typing.final
class Log:
    """Entries after a base, which a snapshot covers."""

    def __init__(
        self,
        *,
        base_index: int,
        base_term: int,
        base_members: Members,
        entries: typing.Iterable[Entry] = (),
    ) -> None:
        """Starts behind the base; ``entries`` follow each other."""
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = base_members
        self._entries = list(entries)
        self._members = self._find_members()

    @property
    def base_index(self) -> int:
        """The last index that the snapshot covers."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """The newest voters, also if their entry is not committed."""
        return self._members

    def __len__(self) -> int:
        """Returns the number of entries behind the base."""
        return len(self._entries)

    def term_at(self, index: int) -> int:
        """Returns the term of an index, -1 if there is no such entry.

        Raises CompactedError for an index before the base.
        """
        if index == self._base_index:
            return self._base_term
        if index > self.last_index:
            return -1
        return self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """Returns an entry; raises CompactedError."""
        if index <= self._base_index:
            raise CompactedError(
                f'got index {index}, expected more than {self._base_index}',
            )
        return self._entries[index - self._base_index - 1]

    def since(self, index: int, *, limit: int) -> list[Entry]:
        """Returns at most ``limit`` entries from ``index`` on."""
        if index <= self._base_index:
            raise CompactedError(
                f'got index {index}, expected more than {self._base_index}',
            )
        start = index - self._base_index - 1
        return self._entries[start : start + limit]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        self._entries.append(entry)
        if entry.kind == MEMBERS:
            self._members = entry.content

    def truncate(self, index: int) -> None:
        """Drops the entries from ``index`` on."""
        self._entries = self._entries[: index - self._base_index - 1]
        self._members = self._find_members()

    def members_at(self, index: int) -> Members:
        """Returns the voters as of an index that is not compacted."""
        for entry in reversed(self._entries):
            if entry.position <= index and entry.kind == MEMBERS:
                return typing.cast(Members, entry.content)
        return self._base_members

    def discard_until(self, index: int) -> None:
        """Moves the base up to ``index``, which a snapshot covers now."""
        members = self.members_at(index)
        term = self.term_at(index)
        self._entries = self._entries[index - self._base_index :]
        self._base_members = members
        self._base_term = term
        self._base_index = index

    def reset(self, index: int, term: int, members: Members) -> None:
        """Starts over behind a snapshot of another replica."""
        self._base_index = index
        self._base_term = term
        self._base_members = members
        self._entries = []
        self._members = members

    def _find_members(self) -> Members:
        return self.members_at(self.last_index)
