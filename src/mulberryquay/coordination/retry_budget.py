"""Limits resends to a share of fresh calls.

A token bucket filled by fresh calls, as in Finagle's retry budgets
described in its user guide: each fresh call deposits a part of a token and
each resend takes a whole one.
"""

from __future__ import annotations

import typing

#: Resends that are possible before any fresh call, per bucket.
RESERVE_TOKENS: typing.Final = 3.0

#: Tokens kept at the most, so that calm hours save up no storm.
MAX_TOKENS: typing.Final = 50.0


def _default_capacity() -> float:
    return MAX_TOKENS


@typing.final
class RetryBudget:
    """A bucket for one service of one entry."""

    def __init__(
        self,
        *,
        ratio: float,
        reserve: float = RESERVE_TOKENS,
        capacity: typing.Callable[[], float] = _default_capacity,
    ) -> None:
        """``ratio`` is the share of fresh calls that may be resent.

        ``reserve`` resends are possible before any fresh call; ``capacity``
        returns how many tokens may be kept now.
        """
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = reserve

    def deposit(self) -> None:
        """Counts one fresh call."""
        self._tokens = min(self._capacity(), self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Takes a token for one resend; False when there is none."""
        self._tokens = min(self._capacity(), self._tokens)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
