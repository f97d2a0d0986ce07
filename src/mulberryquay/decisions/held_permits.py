"""The permits of one account that an entry holds, and what it asks for.

The load that it answers: callers of an account come to one entry many times
a second, so that asking for each request would delay them; or they ask for
far more than the rate, so that most of them must be refused at once.
"""

from __future__ import annotations

import collections
import typing

from mulberryquay.decisions import permits

_MS_PER_SECOND: typing.Final = 1000.0

#: Permits are asked for ahead for as many requests as came in this time.
_AHEAD_MS: typing.Final = 100.0

#: A refusal holds for at most this long before permits are asked for again.
_MAX_REFUSAL_MS: typing.Final = 100.0

#: Callers over the rate are told to return within this time.
_MAX_RETURN_MS: typing.Final = 10_000.0


class _Lot(typing.NamedTuple):
    """Permits that were granted together."""

    expires_at: float
    amount: int


@typing.final
class HeldPermits:
    """What an entry holds of one account, on a clock that counts suspension.

    Permits expire, so that what a holder leaves behind cannot be spent later.
    """

    def __init__(self) -> None:
        """Holds nothing."""
        self._lots: collections.deque[_Lot] = collections.deque()
        self._refused_until = 0.0
        self._refused_unknown = False
        self._return_at = 0.0
        self._recent: collections.deque[float] = collections.deque()

    def held(self, now: float) -> int:
        """Returns the number of permits that can still be used."""
        while self._lots and self._lots[0].expires_at <= now:
            self._lots.popleft()
        return sum(lot.amount for lot in self._lots)

    def take(
        self, limit: permits.RateLimit, now: float
    ) -> permits.Permit | None:
        """Takes a permit; None if the request has to wait for one."""
        self._recent.append(now)
        while self._recent[0] <= now - _MS_PER_SECOND:
            self._recent.popleft()
        return self.retake(limit, now)

    def retake(
        self, limit: permits.RateLimit, now: float
    ) -> permits.Permit | None:
        """Takes a permit for a request that has waited."""
        if self.held(now):
            first = self._lots.popleft()
            if first.amount > 1:
                left = first._replace(amount=first.amount - 1)
                self._lots.appendleft(left)
            return permits.Granted()
        if now >= self._refused_until:
            return None
        if self._refused_unknown:
            return permits.Undecided()
        return permits.OverRate(
            self._next_return(limit, now), len(self._recent)
        )

    def count_to_ask(self, waiting: int, now: float) -> int:
        """Returns how many permits to ask for now, 0 for none."""
        ahead = int(len(self._recent) * _AHEAD_MS / _MS_PER_SECOND)
        missing = waiting + ahead - self.held(now)
        if waiting or (missing * 2 > ahead and now >= self._refused_until):
            return max(0, missing)
        return 0

    def receive(
        self, decision: permits.Decision, *, asked_at: float, now: float
    ) -> None:
        """Holds what was granted to a question of ``asked_at``."""
        if decision.granted:
            expires_at = asked_at + permits.PERMIT_LIFE_MS
            self._lots.append(_Lot(expires_at, decision.granted))
        if not decision.next_ms:
            return
        self._refused_until = now + min(decision.next_ms, _MAX_REFUSAL_MS)
        self._refused_unknown = not decision.is_known
        self._return_at = max(self._return_at, now + decision.return_ms)

    def _next_return(self, limit: permits.RateLimit, now: float) -> float:
        """Returns after how long a caller over the rate should come back."""
        soonest = self._refused_until
        returns_at = max(self._return_at, soonest)
        self._return_at = returns_at + _MS_PER_SECOND / limit.per_s
        if self._return_at - now > _MAX_RETURN_MS:
            self._return_at = soonest
        return returns_at - now
