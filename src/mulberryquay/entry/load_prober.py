"""Asks near targets for their load just before one is chosen.

Targets whose hosts slow down for some hundred milliseconds say so, but an
entry that sends a target a call or two a second hears of it too late. After
Wydrowski et al., "Load is not what you should balance: introducing Prequal",
NSDI 2024, in its synchronous mode.
"""

from __future__ import annotations

import typing

import gevent

from mulberryquay.coordination import clock
from mulberryquay.entry import prober, targets

#: A report that is younger than this is not asked for again.
FRESH_MS: typing.Final = 60.0

#: How long an answer is waited for: in the own region, and from others.
NEAR_WAIT_MS: typing.Final = 8.0
FAR_WAIT_MS: typing.Final = 40.0

#: Targets of other regions that are asked.
_FAR_SAMPLE: typing.Final = 4

_FAR_TIER: typing.Final = 2


@typing.final
class LoadProber:
    """Probes the targets among which a request is about to choose."""

    def __init__(
        self,
        probing: prober.Prober,
        time_source: clock.Clock,
    ) -> None:
        """Probes through ``probing``, which counts them."""
        self._prober = probing
        self._clock = time_source
        self._asked: dict[str, gevent.Greenlet] = {}

    def refresh_reports(
        self, candidates: typing.Sequence[targets.TargetState]
    ) -> None:
        """Returns when the nearest useful reports are fresh, or soon after.

        Targets of farther tiers are asked only if no nearer one is idle and
        on a host that works as usual.
        """
        nearest = min((target.tier for target in candidates), default=0)
        for tier in range(nearest, _FAR_TIER + 1):
            known = [target for target in candidates if target.tier == tier]
            if tier == _FAR_TIER:
                if nearest < _FAR_TIER:
                    return
                known = known[:_FAR_SAMPLE]
            self._ask(known, tier)
            now = self._clock.now()
            if any(target.is_calm(now) for target in known):
                return

    def _ask(
        self,
        known: typing.Sequence[targets.TargetState],
        tier: int,
    ) -> None:
        oldest = self._clock.now() - FRESH_MS
        probes = [
            self._probe(target)
            for target in known
            if target.reported_at < oldest
        ]
        if probes:
            wait = FAR_WAIT_MS if tier == _FAR_TIER else NEAR_WAIT_MS
            gevent.joinall(probes, timeout=wait / clock.MS_PER_SECOND)

    def _probe(self, target: targets.TargetState) -> gevent.Greenlet:
        """Returns the probe that is on its way, or begins one."""
        name = target.row.name
        asked = self._asked.get(name)
        if asked is None or asked.ready():
            asked = self._prober.ask_load(target)
            self._asked[name] = asked
        return asked
