"""The part of a replica's log that is in memory: the newest log entries."""

from __future__ import annotations

import bisect
import itertools
import math
import typing

from mulberryquay.coordination import errors, memory_size

#: A log entry that changes nothing; a leader begins its term with one.
NO_OP: typing.Final = 'start'

#: A log entry whose content is the voters' addresses by identity.
MEMBERS: typing.Final = 'members'

#: A log entry whose content is a record for the state machine.
RECORD: typing.Final = 'record'

Members = dict[str, str]


@typing.final
class CompactedError(errors.MulberryquayError):
    """The log entry was replaced by a snapshot."""

    code = 'entry-compacted'


class Entry(typing.NamedTuple):
    """One log entry; ``kind`` is NO_OP, MEMBERS or RECORD."""

    #: Counted from 1. Not named ``index``, which is a method of tuples.
    log_index: int
    term: int
    kind: str
    content: typing.Any


@typing.final
class Log:
    """Log entries after a base index that a snapshot covers."""

    def __init__(
        self,
        *,
        base_index: int,
        base_term: int,
        base_members: Members,
        entries: typing.Iterable[Entry] = (),
    ) -> None:
        """``entries`` follow the base without gaps."""
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = base_members
        self._entries = list(entries)
        #: The bytes of each log entry in memory.
        self._sizes = [memory_size.measure(entry) for entry in self._entries]
        self._members = self._find_members()

    @property
    def base_index(self) -> int:
        """The index before the oldest log entry; a snapshot covers it."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """The index of the newest log entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest log entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def held_bytes(self) -> int:
        """What the log entries take in memory."""
        return sum(self._sizes)

    @property
    def members(self) -> Members:
        """The voters of the newest MEMBERS entry, committed or not."""
        return self._members

    def __len__(self) -> int:
        """Returns the number of log entries after the base."""
        return len(self._entries)

    def term_at(self, index: int) -> int:
        """Returns the term at an index, -1 after the newest log entry.

        Raises CompactedError for an index before the base.
        """
        if index == self._base_index:
            return self._base_term
        if index > self.last_index:
            return -1
        return self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """Returns the log entry at an index; raises CompactedError."""
        if index <= self._base_index:
            raise CompactedError(
                f'got index {index}, expected more than {self._base_index}',
            )
        return self._entries[index - self._base_index - 1]

    def since(
        self, index: int, *, limit: int, max_bytes: float = math.inf
    ) -> list[Entry]:
        """Returns up to ``limit`` log entries from ``index`` on.

        They take up to ``max_bytes`` in memory, unless the first one is
        larger.
        """
        if index <= self._base_index:
            raise CompactedError(
                f'got index {index}, expected more than {self._base_index}',
            )
        start = index - self._base_index - 1
        sizes = itertools.accumulate(self._sizes[start : start + limit])
        fitting = bisect.bisect_right(list(sizes), max_bytes)
        return self._entries[start : start + max(1, fitting)]

    def count_until(self, index: int, *, limit: int, max_bytes: float) -> int:
        """Returns how many log entries up to ``index`` fit both bounds."""
        end = index - self._base_index
        sizes = self._sizes[max(0, end - limit) : end]
        sums = itertools.accumulate(reversed(sizes))
        return bisect.bisect_right(list(sums), max_bytes)

    def append(self, entry: Entry) -> None:
        """Appends the next log entry."""
        self._entries.append(entry)
        self._sizes.append(memory_size.measure(entry))
        if entry.kind == MEMBERS:
            self._members = entry.content

    def truncate(self, index: int) -> None:
        """Removes the log entries from ``index`` on."""
        length = index - self._base_index - 1
        self._entries = self._entries[:length]
        self._sizes = self._sizes[:length]
        self._members = self._find_members()

    def members_at(self, index: int) -> Members:
        """Returns the voters as of an index at or after the base."""
        for entry in reversed(self._entries):
            if entry.log_index <= index and entry.kind == MEMBERS:
                return typing.cast(Members, entry.content)
        return self._base_members

    def discard_until(self, index: int) -> None:
        """Removes log entries up to ``index``, which a snapshot covers."""
        members = self.members_at(index)
        term = self.term_at(index)
        self._entries = self._entries[index - self._base_index :]
        self._sizes = self._sizes[index - self._base_index :]
        self._base_members = members
        self._base_term = term
        self._base_index = index

    def reset(self, index: int, term: int, members: Members) -> None:
        """Empties the log and moves its base to that of a received snapshot."""
        self._base_index = index
        self._base_term = term
        self._base_members = members
        self._entries = []
        self._sizes = []
        self._members = members

    def _find_members(self) -> Members:
        return self.members_at(self.last_index)
