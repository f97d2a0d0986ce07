"""Tests of the account of what peers hold in memory (issue 45)."""

from __future__ import annotations

import typing
import unittest

from mulberryquay.coordination import clock, memory_account

CASE: typing.Final = unittest.TestCase()


class _Holder:
    """A holder that only notes that it was asked to give way."""

    def __init__(self, *, waits_for_peer: bool = True) -> None:
        self.waits_for_peer = waits_for_peer
        self.gave_way = False

    def give_way(self) -> None:
        """Notes the call."""
        self.gave_way = True


def _account(
    time_source: clock.Clock,
) -> tuple[memory_account.MemoryAccount, list[None]]:
    given_way: list[None] = []
    account = memory_account.MemoryAccount(
        100, time_source, lambda: given_way.append(None)
    )
    return account, given_way


def test_slow_holders_that_hold_most_give_way() -> None:
    """A fast one, a served one and those that hold little must stay."""
    time_source = clock.ManualClock()
    account, given_way = _account(time_source)
    sizes = {'small': 10, 'large': 30, 'larger': 35, 'served': 40, 'fast': 50}
    holders = {name: _Holder(waits_for_peer=name != 'served') for name in sizes}
    parts = {name: account.open(holder) for name, holder in holders.items()}
    for name, size in sizes.items():
        parts[name].add(size)
    CASE.assertFalse(account.make_room(0))
    time_source.advance(memory_account.SLOW_MS)
    parts['fast'].progressed_at = time_source.now()
    CASE.assertTrue(account.make_room(0))
    left = {name for name, holder in holders.items() if holder.gave_way}
    CASE.assertEqual(left, {'large', 'larger'})
    CASE.assertEqual(len(given_way), 2)


def test_account_is_empty_once_all_holders_are_closed() -> None:
    """What isn't given back would lower the limit for ever."""
    account, _ = _account(clock.ManualClock())
    parts = [account.open(_Holder()) for _ in range(3)]
    for size, part in enumerate(parts, start=60):
        part.add(size)
        part.add(-10)
    CASE.assertFalse(account.make_room(0))
    for part in parts:
        account.close(part)
    CASE.assertEqual(account.held_bytes, 0)
    CASE.assertTrue(account.make_room(100))


def test_slowest_holder_gives_its_place() -> None:
    """Without it, slow callers kept all places of an entry (issue 53)."""
    time_source = clock.ManualClock()
    account, given_way = _account(time_source)
    holders = [_Holder() for _ in range(3)]
    parts = [account.open(holder) for holder in holders]
    CASE.assertFalse(account.end_slowest(parts))
    time_source.advance(memory_account.SLOW_MS)
    parts[0].progressed_at = time_source.now()
    CASE.assertTrue(account.end_slowest(parts))
    CASE.assertTrue(account.end_slowest(parts))
    CASE.assertFalse(account.end_slowest(parts))
    CASE.assertEqual(
        [holder.gave_way for holder in holders], [False, True, True]
    )
    CASE.assertEqual(len(given_way), 2)


def test_reserve_is_for_what_every_peer_needs() -> None:
    """A peer must be served while others hold the limit (issue 53)."""
    account, _ = _account(clock.ManualClock())
    account.open(_Holder()).add(100)
    CASE.assertFalse(account.make_room(1))
    CASE.assertTrue(account.make_room(25, in_reserve=True))
    CASE.assertFalse(account.make_room(26, in_reserve=True))
