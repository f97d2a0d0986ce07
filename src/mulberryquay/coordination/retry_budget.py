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


@typing.final
class RetryBudget:
    """A bucket for one service of one entry."""

    def __init__(self, *, ratio: float) -> None:
        """``ratio`` is the share of fresh calls that may be resent."""
        self._ratio = ratio
        self._tokens = RESERVE_TOKENS

    def deposit(self) -> None:
        """Counts one fresh call."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Takes a token for one resend; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
