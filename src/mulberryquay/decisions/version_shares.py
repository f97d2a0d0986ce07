"""An entry's part of the requests that a new version gets."""

from __future__ import annotations

import typing

#: Requests for the new version that may be owed; without a bound, an entry
#: whose targets of that version were busy would send many at once.
_MAX_OWED: typing.Final = 2.0


@typing.final
class VersionShare:
    """Draws every n-th request for the new version, from a random start.

    All entries together send the share of their requests with a deviation of
    less than one request each, and the random start keeps its mean at 0.
    """

    def __init__(self, share: float, start: float) -> None:
        """``start`` is drawn evenly from 0 to 1."""
        self.share = share
        self._owed = start

    @property
    def owes_new(self) -> bool:
        """Whether the next request may go to the new version."""
        return self._owed >= 1

    def count_request(self) -> None:
        """Counts a request to the service."""
        self._owed = min(self._owed + self.share, max(_MAX_OWED, self.share))

    def record_sent(self) -> None:
        """Records a request that goes to the new version."""
        self._owed -= 1
