"""Limits the requests in flight of each client account at this entry."""

from __future__ import annotations

import math
import typing

from mulberryquay.coordination import shares
from mulberryquay.entry import outcomes, routing


@typing.final
class AccountSlot:
    """The place of one request among those of its account in flight."""

    def __init__(self, slots: AccountSlots, account: str) -> None:
        """Is counted in ``slots`` until `release`."""
        self._slots = slots
        #: Name of the account.
        self.account = account

    def release(self) -> None:
        """Counts the end of the request; must be called once."""
        self._slots.release(self.account)


@typing.final
class AccountSlots:
    """The requests in flight by account."""

    def __init__(self, share_view: shares.ShareView) -> None:
        """Divides the limits among the entries in ``share_view``."""
        self._share_view = share_view
        self._in_flight: dict[str, int] = {}

    def acquire(self, account: routing.ClientAccount) -> AccountSlot:
        """Counts a request; raises RefusedError at the account's limit."""
        running = self._in_flight.get(account.name, 0)
        if running >= self._limit(account):
            raise outcomes.not_run(
                outcomes.Reason.ACCOUNT_LIMIT,
                f'client account {account.name!r} has {running} requests in '
                'flight and has reached its limit at this entry',
            )
        self._in_flight[account.name] = running + 1
        return AccountSlot(self, account.name)

    def release(self, account: str) -> None:
        """Counts the end of a request."""
        self._in_flight[account] -= 1

    def _limit(self, account: routing.ClientAccount) -> int:
        """Returns this entry's part of an account's limit, rounded up.

        The platform's load balancer spreads the requests of an account over
        the entries, so each entry gets an equal part.
        """
        return math.ceil(account.max_in_flight / self._share_view.member_count)
