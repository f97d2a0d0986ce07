"""Messages on requests that crash targets."""

from __future__ import annotations

import math
import typing

from mulberryquay.coordination import crash_guard


class ConnectionLost(typing.NamedTuple):
    """The connection to a target was lost while it ran a request."""

    fingerprint: bytes
    target: str
    #: How long the request had run when the connection was lost.
    ran_for_ms: float


class RequestCleared(typing.NamedTuple):
    """A target answered a request that `ConnectionLost` had reported."""

    fingerprint: bytes


class RequestSuspected(typing.NamedTuple):
    """Two targets failed on a request; don't retry it for ``duration_ms``.

    Its next answer is reported with `RequestCleared`.
    """

    fingerprint: bytes
    duration_ms: int


class RequestBlocked(typing.NamedTuple):
    """Several targets failed on a request; refuse it for ``duration_ms``.

    With a duration of 0 it is cleared.
    """

    fingerprint: bytes
    duration_ms: int


def of_standing(
    standing: crash_guard.Standing,
) -> RequestBlocked | RequestSuspected:
    """Returns the message that tells others of a verdict."""
    # A block of 0 ms would clear the request.
    duration = math.ceil(standing.duration)
    if standing.verdict is crash_guard.Verdict.BLOCKED:
        return RequestBlocked(standing.fingerprint, duration)
    return RequestSuspected(standing.fingerprint, duration)
