"""Messages on requests that crash targets."""

from __future__ import annotations

import typing


class ConnectionLost(typing.NamedTuple):
    """The connection to a target was lost while it ran a request."""

    fingerprint: bytes
    target: str
    #: How long the request had run when the connection was lost.
    ran_for_ms: float


class RequestCleared(typing.NamedTuple):
    """A target answered a request that `ConnectionLost` had reported."""

    fingerprint: bytes


class RequestBlocked(typing.NamedTuple):
    """Several targets failed on a request; refuse it for ``duration_ms``."""

    fingerprint: bytes
    duration_ms: int
