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

import math
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


def rate_share_of(
    per_s: float,
    *,
    target: str,
    entry: str,
    members: Members,
) -> float:
    """Returns the part of a rate that an entry process may use.

    Only as many members have a part as the rate is calls per second, at least
    one, so that none of them waits much longer than a second for its next call
    and few calls meet. The parts of all members sum to ``per_s``.
    """
    if entry not in members or per_s <= 0:
        return 0
    holders = min(len(members), math.ceil(per_s))
    is_holder = rank_of(target, entry, members) < holders
    return per_s / holders if is_holder else 0


class EntryList(typing.NamedTuple):
    """The entry processes that share targets; each change has a new epoch."""

    epoch: int
    members: Members


class GroupSizes(typing.NamedTuple):
    """Numbers of entry processes by their distance to a target."""

    domain: int
    #: In other failure domains of the target's region.
    region: int
    #: In other regions.
    elsewhere: int


@typing.final
class ShareView:
    """One entry process's shares, also while the entry list changes."""

    def __init__(self, entry: str) -> None:
        """Starts with an empty list, so that every share is 0."""
        self._entry = entry
        self._committed = EntryList(0, ())
        self._pending: EntryList | None = None
        self._regions: dict[str, str] = {}
        self._cache: dict[tuple[str, int], int] = {}
        self._domains: dict[str, str] = {}
        self._group_sizes: dict[tuple[str, str], GroupSizes] = {}
        self._keepers: dict[tuple[str, str], str] = {}

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
            self._clear_caches()

    def commit(self, entries: EntryList) -> None:
        """Sets the committed list; one of an older epoch is ignored."""
        if entries.epoch < self._committed.epoch:
            return
        self._committed = entries
        if self._pending and self._pending.epoch <= entries.epoch:
            self._pending = None
        self._clear_caches()

    def share(self, target: str, allowance: int) -> int:
        """Returns the smaller share of ``allowance`` under the two lists."""
        key = (target, allowance)
        cached = self._cache.get(key)
        if cached is None:
            cached = self._compute(target, allowance)
            self._cache[key] = cached
        return cached

    def update_regions(self, regions: dict[str, str]) -> None:
        """Sets the region of each entry process by name."""
        self._regions = regions
        self._clear_caches()

    def update_domains(self, domains: dict[str, str]) -> None:
        """Sets the failure domain of each entry process by name."""
        self._domains = domains
        self._clear_caches()

    def group_sizes(self, region: str, domain: str) -> GroupSizes:
        """Returns how many entry processes are how near to a target.

        Each number is that of the list that has more entry processes there.
        """
        sizes = self._group_sizes.get((region, domain))
        if sizes is None:
            by_list = [
                self._sizes_in(entries.members, region, domain)
                for entries in self._lists()
            ]
            sizes = GroupSizes(
                *(max(counts) for counts in zip(*by_list, strict=True))
            )
            self._group_sizes[region, domain] = sizes
        return sizes

    def keeper_of(self, domain: str, service: str) -> str:
        """Returns the entry process that all ask about a domain's targets.

        It is one of that failure domain; empty if there is none.
        """
        key = (domain, service)
        if key not in self._keepers:
            members = [
                member
                for member in self._committed.members
                if self._domains.get(member) == domain
            ]
            self._keepers[key] = max(
                members,
                key=lambda member: _weight(service, member),
                default='',
            )
        return self._keepers[key]

    def rate_share(self, target: str, per_s: float, *, region: str) -> float:
        """Returns the smaller part of a rate under the two lists.

        The entry processes in the target's ``region`` share the rate, all of
        them if there is none.
        """
        return min(
            rate_share_of(
                per_s,
                target=target,
                entry=self._entry,
                members=self._near(entries.members, region),
            )
            for entries in self._lists()
        )

    def rate_holders(
        self, target: str, per_s: float, *, region: str
    ) -> list[str]:
        """Returns the entry processes with a part of a rate."""
        members = self._near(self._committed.members, region)
        return [
            member
            for member in members
            if rate_share_of(
                per_s, target=target, entry=member, members=members
            )
        ]

    def _near(self, members: Members, region: str) -> Members:
        return self._members_in(members, region) or members

    def _members_in(self, members: Members, region: str) -> Members:
        return tuple(
            member for member in members if self._regions.get(member) == region
        )

    def _sizes_in(
        self, members: Members, region: str, domain: str
    ) -> GroupSizes:
        in_region = self._members_in(members, region)
        in_domain = [
            member
            for member in in_region
            if self._domains.get(member) == domain
        ]
        return GroupSizes(
            len(in_domain),
            len(in_region) - len(in_domain),
            len(members) - len(in_region),
        )

    def _clear_caches(self) -> None:
        self._cache.clear()
        self._group_sizes.clear()
        self._keepers.clear()

    def _lists(self) -> list[EntryList]:
        return [self._committed, *filter(None, [self._pending])]

    def _compute(self, target: str, allowance: int) -> int:
        return min(
            share_of(
                allowance,
                target=target,
                entry=self._entry,
                members=entries.members,
            )
            for entries in self._lists()
        )


def _weight(target: str, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{target}\0{entry}'.encode())
