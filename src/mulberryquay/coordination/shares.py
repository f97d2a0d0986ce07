"""Divides a target's allowance among entries without messages.

Each entry ranks the members of the entry list for a target by rendezvous
hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998), so all entries that
hold the same list compute the same division, and it sums to the allowance.

While the list changes, entries hold different lists. `ShareView` keeps the
sum within the allowance then: it uses the smaller of the shares under the
committed and the pending list, and confirms the pending list only once the
work in flight fits that smaller share.
"""

from __future__ import annotations

import typing

import xxhash

Members = tuple[str, ...]


def rank_of(target: str, entry: str, members: Members) -> int:
    """Returns the entry's place for the target, 0 for the highest."""
    own = _weight(target, entry)
    return sum(1 for member in members if _weight(target, member) > own)


def share_of(
    allowance: int,
    *,
    target: str,
    entry: str,
    members: Members,
) -> int:
    """Returns how much of ``allowance`` the entry may use.

    The shares of all members sum to ``allowance``; an entry that is not a
    member gets nothing.
    """
    if entry not in members or allowance <= 0:
        return 0
    even, remainder = divmod(allowance, len(members))
    if not remainder:
        return even
    return even + (rank_of(target, entry, members) < remainder)


class EntryList(typing.NamedTuple):
    """The entries that may share targets, numbered by a growing epoch."""

    epoch: int
    members: Members


@typing.final
class ShareView:
    """One entry's view of the entry list while it may be changing."""

    def __init__(self, entry: str) -> None:
        """Starts without any list, so that every share is 0."""
        self._entry = entry
        self._committed = EntryList(0, ())
        self._pending: EntryList | None = None
        self._cache: dict[tuple[str, int], int] = {}

    @property
    def committed(self) -> EntryList:
        """The list that every live entry has confirmed."""
        return self._committed

    @property
    def pending(self) -> EntryList | None:
        """The list that waits for confirmations, if any."""
        return self._pending

    @property
    def member_count(self) -> int:
        """The larger of the two lists' sizes, at least 1."""
        pending = len(self._pending.members) if self._pending else 0
        return max(1, pending, len(self._committed.members))

    def propose(self, entries: EntryList) -> None:
        """Takes a pending list; older epochs are ignored."""
        newest = self._pending or self._committed
        if entries.epoch > newest.epoch:
            self._pending = entries
            self._cache.clear()

    def commit(self, entries: EntryList) -> None:
        """Takes a list that all live entries confirmed."""
        if entries.epoch < self._committed.epoch:
            return
        self._committed = entries
        if self._pending and self._pending.epoch <= entries.epoch:
            self._pending = None
        self._cache.clear()

    def share(self, target: str, allowance: int) -> int:
        """Returns the part of ``allowance`` that this entry may use now."""
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
