"""Permits to forward a request under the rate of its client account."""

from __future__ import annotations

import dataclasses
import typing

#: How long an entry may use a permit, counted from when it asked for it.
PERMIT_LIFE_MS: typing.Final = 300.0


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
    #: Requests of the account at this entry in the last second, if counted.
    recent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Nobody who knows what the account has used could be asked."""


#: The answer to a request for a permit.
Permit = Granted | OverRate | Undecided


class Decision(typing.NamedTuple):
    """How many of the permits that were asked for an account gets."""

    granted: int
    #: If fewer than were asked for: when the next is there, in ms from now.
    next_ms: float = 0
    #: If fewer than were asked for: when a caller should return, in ms.
    return_ms: float = 0
    #: Whether what the account has used was known.
    is_known: bool = True


class AccountRates(typing.Protocol):
    """Grants permits so that all entries together keep each rate."""

    def take(self, limit: RateLimit) -> Permit:
        """Takes a permit for one request; may wait for a moment."""
