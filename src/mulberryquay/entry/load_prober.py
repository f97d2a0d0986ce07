"""Probes targets for their load just before one is chosen.

Targets report when their host slows down for some hundred milliseconds, but
an entry that sends a target one or two calls per second gets such a report
too late. This follows the synchronous mode of Wydrowski et al., "Load is not
what you should balance: introducing Prequal", NSDI 2024.
"""

from __future__ import annotations

import typing

import gevent

from mulberryquay.coordination import clock
from mulberryquay.entry import probe_budget, prober, targets

#: Largest number of targets in other regions probed for one request.
_FAR_SAMPLE: typing.Final = 4

_FAR_TIER: typing.Final = 2


@typing.final
class LoadProber:
    """Refreshes the load reports of targets before one is chosen."""

    def __init__(
        self,
        target_prober: prober.Prober,
        time_source: clock.Clock,
        budget: probe_budget.ProbeBudget,
    ) -> None:
        """Sends probes through ``target_prober``, which counts their bytes."""
        self._prober = target_prober
        self._budget = budget
        self._clock = time_source
        self._running_probes: dict[str, gevent.Greenlet] = {}

    def refresh_reports(
        self, candidates: typing.Sequence[targets.TargetState]
    ) -> None:
        """Probes candidates with old reports and waits briefly for answers.

        Goes from the nearest tier outward and stops once a target reports a
        free slot on a host of usual speed. Other regions are probed only if
        all candidates are there.
        """
        nearest = min((target.tier for target in candidates), default=0)
        for tier in range(nearest, _FAR_TIER + 1):
            in_tier = [target for target in candidates if target.tier == tier]
            if tier == _FAR_TIER and nearest < _FAR_TIER:
                return
            self._probe_stale(in_tier, tier)
            now = self._clock.now()
            if any(target.is_reported_idle(now) for target in in_tier):
                return

    def begin_call(self, target: targets.TargetState) -> None:
        """Ignores a call: this entry's own calls are known."""

    def end_call(
        self, target: targets.TargetState, duration: float, *, has_failed: bool
    ) -> None:
        """Ignores its end."""

    def _probe_stale(
        self,
        in_tier: typing.Sequence[targets.TargetState],
        tier: int,
    ) -> None:
        stale_before = self._clock.now() - targets.FRESH_REPORT_MAX_AGE_MS
        stale = [
            target for target in in_tier if target.reported_at < stale_before
        ]
        at_most = len(stale)
        if tier == _FAR_TIER:
            fresh_count = len(in_tier) - len(stale)
            at_most = max(0, _FAR_SAMPLE - fresh_count)
        probes = self._probes_of(stale, at_most)
        if probes:
            timeout_ms = targets.LOAD_PROBE_MS[tier]
            gevent.joinall(probes, timeout=timeout_ms / clock.MS_PER_SECOND)

    def _probes_of(
        self, stale: typing.Sequence[targets.TargetState], at_most: int
    ) -> list[gevent.Greenlet]:
        """Returns running probes, and starts those that the budget allows.

        Starts none beyond ``at_most`` running ones.
        """
        probes: list[gevent.Greenlet] = []
        wanted = []
        for target in stale:
            probe = self._running_probe(target)
            if probe is None:
                wanted.append(target)
            else:
                probes.append(probe)
        missing = max(0, at_most - len(probes))
        for target in self._budget.take_some(wanted, at_most=missing):
            probes.append(self._start_probe(target))
        return probes

    def _running_probe(
        self, target: targets.TargetState
    ) -> gevent.Greenlet | None:
        probe = self._running_probes.get(target.row.name)
        return None if probe is None or probe.ready() else probe

    def _start_probe(self, target: targets.TargetState) -> gevent.Greenlet:
        probe = self._prober.start_load_probe(target)
        self._running_probes[target.row.name] = probe
        return probe
