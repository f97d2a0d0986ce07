"""The target that is expected to answer a request soonest."""

from __future__ import annotations

import typing


class Option(typing.NamedTuple):
    """A target that may serve the request, as far as this entry knows."""

    name: str
    #: 0 for the entry's own failure domain, 1 for its region, 2 for others.
    tier: int
    slots: int
    #: Calls of this entry that the target runs or queues now.
    own_calls: int
    #: Calls of other entries there when the newest report was made.
    other_calls: float
    #: Age of the newest report in ms; infinite without one.
    report_age_ms: float
    #: Duration of work on its host relative to the usual one, as reported.
    slowness: float
    #: Usual time of a call there in ms; 0 if not known.
    usual_ms: float


class Placement(typing.Protocol):
    """Chooses among targets that all have capacity."""

    def place(self, options: typing.Sequence[Option]) -> int:
        """Returns the index of the chosen one of at least one option."""
