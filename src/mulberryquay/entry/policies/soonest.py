"""A policy that places each request where it should be answered soonest."""

from __future__ import annotations

import math
import random
import statistics
import typing

from mulberryquay.decisions import placement
from mulberryquay.entry import targets
from mulberryquay.kernel import plugins

Candidates = typing.Sequence[targets.TargetState]


class _Usual(typing.NamedTuple):
    """What is usual among the candidates."""

    latency_ms: float
    #: Calls per slot of other entries, as reported.
    load: float


@typing.final
class SoonestAnswer:
    """The target with the least expected time, from what its domain knows."""

    #: Compares candidates of all tiers.
    spans_tiers: typing.ClassVar[bool] = True

    def __init__(self, rng: random.Random) -> None:
        """Chooses among near equals with ``rng``."""
        self._placement: placement.Placement = placement.Soonest(rng)

    def choose(self, candidates: Candidates, now: float) -> targets.TargetState:
        """Returns the target with the least expected time."""
        baseline = statistics.median(
            target.baseline_latency_ms for target in candidates
        )
        reported = [
            target.reported_load
            for target in candidates
            if target.reported_at > -math.inf
        ]
        usual = _Usual(
            baseline, statistics.fmean(reported) if reported else 0.0
        )
        options = [_option_of(target, usual, now) for target in candidates]
        return candidates[self._placement.place(options)]


def _option_of(
    target: targets.TargetState, usual: _Usual, now: float
) -> placement.Option:
    """Returns what this entry knows of a target."""
    sighting = target.sighting
    slots = target.row.slots
    pace = 1.0 if sighting is None else sighting.pace
    other_calls = target.load(now, usual.load) * slots - target.in_flight
    if sighting is not None and sighting.seen_at >= target.reported_at:
        weight = math.exp((sighting.seen_at - now) / targets.REPORT_DECAY_MS)
        known = max(0.0, sighting.calls - target.in_flight)
        other_calls = max(other_calls, known * weight)
    return placement.Option(
        target.row.name,
        target.tier,
        slots,
        target.in_flight,
        other_calls,
        now - target.reported_at,
        target.slowness,
        target.baseline_latency_ms,
        pace=pace * target.latency_penalty(usual.latency_ms, now),
        failing=0.0 if sighting is None else sighting.failing,
        is_connected=target.pool.has_idle,
        delay_ms=target.probe_delay_penalty_ms,
    )


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the policy of this module."""
    kernel.policies.add('soonest-answer', SoonestAnswer)
