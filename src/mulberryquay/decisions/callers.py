"""The caller of a request, as the decisions see it."""

from __future__ import annotations

import typing


class Caller(typing.NamedTuple):
    """Who sent a request."""

    #: Name of the client account; empty if the request has none.
    account: str = ''
    #: Rank of the account, 0 for the highest. It goes before that of the
    #: route.
    rank: int = 0


#: The caller of a request without a client account.
ANONYMOUS: typing.Final = Caller()
