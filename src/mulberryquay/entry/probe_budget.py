"""Limits the load probes that all entries together send to a target.

An entry asks targets for their load whenever it serves a request, so the sum
over entries grows with their number and with the traffic. Entries at the same
distance to a target have equal parts of the rate. Those in its failure domain,
which ask it first, have most of it between them, those in others of its region
some, and all others the rest.
"""

from __future__ import annotations

import math
import random
import typing

from mulberryquay import protocol
from mulberryquay.coordination import clock, shares, token_bucket
from mulberryquay.entry import targets

#: Part of the rate that the entries in a target's region use together.
_NEAR_PART: typing.Final = 0.75

#: Part of the rate that those in its failure domain use, if there are others.
_DOMAIN_PART: typing.Final = 0.55

#: An entry may use what it saved in this time at once, at least one probe.
_BURST_S: typing.Final = 1.0


def select(
    remaining: typing.Mapping[str, float], rng: random.Random
) -> list[str]:
    """Returns the targets to probe for a request, in random order.

    ``remaining`` has the probes of each target that its budget allows now.
    Half of the targets with only one left are kept for the requests that
    follow: some new reports for each request serve callers better than all of
    them for one request and none for the next.
    """
    last = [name for name, left in remaining.items() if 1 <= left < 2]
    kept = frozenset(rng.sample(last, len(last) // 2))
    selected = [
        name
        for name, left in remaining.items()
        if left >= 1 and name not in kept
    ]
    return rng.sample(selected, len(selected))


@typing.final
class ProbeBudget:
    """This entry's part of the load probes of each target."""

    def __init__(
        self,
        share_view: shares.ShareView,
        time_source: clock.Clock,
        *,
        region: str,
        domain: str,
        per_target_s: float,
        on_skipped: typing.Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        """Sets the ``region`` of this entry and the rate in probes a second.

        ``per_target_s`` holds for all entries together; 0 for no limit.
        ``on_skipped`` is called for each probe that is not granted. ``rng``
        selects the targets that are probed if not all can be.
        """
        self._rng = rng or random.Random()
        self._on_skipped = on_skipped
        self._share_view = share_view
        self._clock = time_source
        self._region = region
        self._domain = domain
        self._per_target_s = per_target_s

    def take(self, target: targets.TargetState) -> bool:
        """Takes a probe of a target from the budget; False if none is left."""
        is_granted = not self._per_target_s or self._bucket(target).take()
        if not is_granted:
            self._on_skipped()
        return is_granted

    def take_some(
        self, wanted: typing.Sequence[targets.TargetState], *, at_most: int
    ) -> list[targets.TargetState]:
        """Takes probes of some targets from the budget and returns these."""
        known = {target.row.name: target for target in wanted}
        remaining = {
            name: self._remaining(target) for name, target in known.items()
        }
        selected = select(remaining, self._rng)[:at_most]
        for _ in range(min(at_most, len(wanted)) - len(selected)):
            self._on_skipped()
        granted = [known[name] for name in selected]
        return [target for target in granted if self.take(target)]

    def _remaining(self, target: targets.TargetState) -> float:
        """Returns the number of probes of a target that may be sent now."""
        if not self._per_target_s:
            return math.inf
        return self._bucket(target).tokens

    def _bucket(self, target: targets.TargetState) -> token_bucket.TokenBucket:
        per_s = self._part(target.row)
        burst = max(1.0, per_s * _BURST_S)
        bucket = target.load_probe_budget
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._clock, rate=per_s, burst=burst
            )
            target.load_probe_budget = bucket
        bucket.set_limits(rate=per_s, burst=burst)
        return bucket

    def _part(self, row: protocol.TargetRow) -> float:
        sizes = self._share_view.group_sizes(row.region, row.domain)
        if row.region != self._region:
            return (
                self._per_target_s * (1 - _NEAR_PART) / max(1, sizes.elsewhere)
            )
        if row.domain == self._domain:
            part = _DOMAIN_PART if sizes.region else _NEAR_PART
            return self._per_target_s * part / max(1, sizes.domain)
        part = _NEAR_PART - _DOMAIN_PART if sizes.domain else _NEAR_PART
        return self._per_target_s * part / max(1, sizes.region)
