"""Decides on permits where what an account has used isn't known.

The load that it answers: the hosts that decide have no leader for a moment,
while accounts go on asking for their usual part of their rates.
"""

from __future__ import annotations

import collections
import typing

from mulberryquay.coordination import shares
from mulberryquay.decisions import permits

_MS_PER_SECOND: typing.Final = 1000.0

#: Undecided requests are told to return after this time.
_RETURN_MS: typing.Final = 200.0


class SlackLimits(typing.NamedTuple):
    """Requests of an account that may pass beyond its rate in each window.

    All hosts that decide share them.
    """

    requests: float = 0
    #: Further requests, as a part of what the rate allows in a window.
    part: float = 0
    window_ms: float = 5000


class Deciders(typing.NamedTuple):
    """The hosts that decide, and the one among them that asks."""

    own: str
    members: shares.Members


@typing.final
class RateSlack:
    """This host's share of the slack of each account."""

    def __init__(self, limits: SlackLimits) -> None:
        """Starts with nothing granted."""
        self._limits = limits
        self._granted_at: dict[str, collections.deque[float]] = {}

    def ask(
        self,
        limit: permits.RateLimit,
        count: int,
        now: float,
        deciders: Deciders,
    ) -> permits.Decision:
        """Grants up to ``count`` permits of this host's share."""
        if not limit.per_s:
            return permits.Decision(count)
        recent = self._granted_at.setdefault(limit.account, collections.deque())
        while recent and recent[0] <= now - self._limits.window_ms:
            recent.popleft()
        share = shares.share_of(
            int(self._total(limit)),
            target=limit.account,
            entry=deciders.own,
            members=deciders.members,
        )
        granted = max(0, min(count, share - len(recent)))
        recent.extend(now for _ in range(granted))
        if granted == count:
            return permits.Decision(granted)
        return permits.Decision(granted, _RETURN_MS, _RETURN_MS, is_known=False)

    def _total(self, limit: permits.RateLimit) -> float:
        limits = self._limits
        in_window = limit.per_s * limits.window_ms / _MS_PER_SECOND
        return limits.requests + limits.part * (in_window + limit.burst)
