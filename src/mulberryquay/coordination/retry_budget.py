"""Limits retries to a fraction of the new calls.

A token bucket as in the retry budgets of Finagle's user guide: each new call
deposits a fraction of a token, and each retry withdraws a whole one.
"""

from __future__ import annotations

import typing

#: Default tokens in a new bucket: retries possible before any new call.
RESERVE_TOKENS: typing.Final = 3.0

#: Default limit of a bucket, so that quiet hours do not save up a burst of
#: retries.
MAX_TOKENS: typing.Final = 50.0


def _default_capacity() -> float:
    return MAX_TOKENS


@typing.final
class RetryBudget:
    """The retry budget of one service in one entry process."""

    def __init__(
        self,
        *,
        ratio: float,
        reserve: float = RESERVE_TOKENS,
        capacity: typing.Callable[[], float] = _default_capacity,
    ) -> None:
        """``ratio`` is the fraction of new calls that may be retried.

        ``reserve`` is the number of retries that are possible before any new
        call. ``capacity`` returns the current limit of the bucket.
        """
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = reserve

    def deposit(self) -> None:
        """Counts one new call."""
        self._tokens = min(self._capacity(), self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Takes a token for one retry; False if there is none."""
        self._tokens = min(self._capacity(), self._tokens)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
