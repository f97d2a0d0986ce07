"""Permits to forward a request under the rate of its client account."""

from __future__ import annotations

import dataclasses
import typing


class RateLimit(typing.NamedTuple):
    """The rate that all entries together grant to a client account."""

    account: str
    #: Requests a second; 0 for no limit.
    per_s: float
    #: Requests beyond the rate that may come at once.
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request is within the rate and was counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverRate:
    """The request exceeds the rate and was not counted."""

    #: When the account may send its next request, in ms from now.
    retry_after_ms: float


#: The answer to a request for a permit.
Permit = Granted | OverRate


class AccountRates(typing.Protocol):
    """Grants permits so that all entries together keep each rate."""

    def take(self, limit: RateLimit) -> Permit:
        """Takes a permit for one request, now."""
