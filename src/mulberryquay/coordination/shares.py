"""Divides a target's allowance among entry processes without messages.

Entry processes are the processes that send calls to targets. Each one ranks
the members of the entry list for a target by rendezvous hashing (Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998). All entry processes with the same list
therefore compute the same division, which sums to the allowance.

While the list changes, entry processes hold different lists. `ShareView`
still keeps the sum within the allowance: it uses the smaller of the shares
under the committed and the pending list. An entry process confirms the
pending list only once its calls in flight fit that smaller share.
"""

from __future__ import annotations

import typing

import xxhash

Members = tuple[str, ...]


def rank_of(target: str, entry: str, members: Members) -> int:
    """Returns the rank of an entry process for the target, 0 for the first."""
    own = _weight(target, entry)
    return sum(1 for member in members if _weight(target, member) > own)


def share_of(
    allowance: int,
    *,
    target: str,
    entry: str,
    members: Members,
) -> int:
    """Returns the share of ``allowance`` that an entry process may use.

    The shares of all members sum to ``allowance``; the share of an entry
    process that is not a member is 0.
    """
    if entry not in members or allowance <= 0:
        return 0
    even, remainder = divmod(allowance, len(members))
    if not remainder:
        return even
    return even + (rank_of(target, entry, members) < remainder)


class EntryList(typing.NamedTuple):
    """The entry processes that share targets; each change has a new epoch."""

    epoch: int
    members: Members


@typing.final
class ShareView:
    """One entry process's shares, also while the entry list changes."""

    def __init__(self, entry: str) -> None:
        """Starts with an empty list, so that every share is 0."""
        self._entry = entry
        self._committed = EntryList(0, ())
        self._pending: EntryList | None = None
        self._cache: dict[tuple[str, int], int] = {}

    @property
    def committed(self) -> EntryList:
        """The list that every live entry process has confirmed."""
        return self._committed

    @property
    def pending(self) -> EntryList | None:
        """The next list, which not all entry processes confirmed, if any."""
        return self._pending

    @property
    def member_count(self) -> int:
        """The size of the larger list, at least 1."""
        pending = len(self._pending.members) if self._pending else 0
        return max(1, pending, len(self._committed.members))

    def propose(self, entries: EntryList) -> None:
        """Sets the pending list; it is ignored unless its epoch is newer."""
        newest = self._pending or self._committed
        if entries.epoch > newest.epoch:
            self._pending = entries
            self._cache.clear()

    def commit(self, entries: EntryList) -> None:
        """Sets the committed list; one of an older epoch is ignored."""
        if entries.epoch < self._committed.epoch:
            return
        self._committed = entries
        if self._pending and self._pending.epoch <= entries.epoch:
            self._pending = None
        self._cache.clear()

    def share(self, target: str, allowance: int) -> int:
        """Returns the smaller share of ``allowance`` under the two lists."""
        key = (target, allowance)
        cached = self._cache.get(key)
        if cached is None:
            cached = self._compute(target, allowance)
            self._cache[key] = cached
        return cached

    def _compute(self, target: str, allowance: int) -> int:
        lists = [self._committed]
        if self._pending:
            lists.append(self._pending)
        return min(
            share_of(
                allowance,
                target=target,
                entry=self._entry,
                members=entries.members,
            )
            for entries in lists
        )


def _weight(target: str, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{target}\0{entry}'.encode())
