"""Keeps what all entries know of the targets of this failure domain.

Entries agree by rendezvous hashing on one keeper for each service in each
failure domain. It asks targets for their load on behalf of all of them.
"""

from __future__ import annotations

import functools
import random
import typing

import gevent

from mulberryquay.coordination import clock, token_bucket
from mulberryquay.decisions import sightings
from mulberryquay.entry import domain_messages, prober, state, targets

#: Part of the load probes to a target that its keeper may send; the entries
#: that get no answer from it share the rest.
KEEPER_PART: typing.Final = 0.6

#: A target may get this many probes at once.
_BURST: typing.Final = 4.0

#: If all targets asked at first are slow or busy, others are asked.
_ROUNDS: typing.Final = 2


@typing.final
class DomainKeeper:
    """The pictures that this entry keeps, by service."""

    def __init__(
        self,
        entry_state: state.EntryState,
        target_prober: prober.Prober,
        *,
        per_target_s: float,
        on_skipped: typing.Callable[[], None],
    ) -> None:
        """Sends at most ``per_target_s`` probes to a target; 0 for no limit.

        ``on_skipped`` is called for each probe beyond them.
        """
        self._state = entry_state
        self._prober = target_prober
        self._per_target_s = per_target_s
        self._on_skipped = on_skipped
        self._rng = random.Random(entry_state.name)
        self._pictures: dict[str, sightings.DomainPicture] = {}
        self._probes: dict[str, gevent.Greenlet] = {}
        self._budgets: dict[str, token_bucket.TokenBucket] = {}

    def has_targets(self, service: str) -> bool:
        """Whether a service has targets, in whatever domain."""
        queue = self._state.balancer.queue_for(service, is_kept=False)
        return bool(queue.targets)

    def picture(self, service: str) -> sightings.DomainPicture:
        """Returns the picture of a service's targets in this domain."""
        picture = self._pictures.get(service)
        if picture is None:
            picture = sightings.DomainPicture(self._rng)
            self._pictures[service] = picture
        return picture

    def sightings(
        self, service: str, *, asks_targets: bool
    ) -> list[sightings.Sighting]:
        """Returns what is known, after asking some targets if that is due."""
        if asks_targets:
            for _round in range(_ROUNDS):
                if not self._ask_targets(service):
                    break
        names = list(self._own_targets(service))
        self.picture(service).retain(names)
        return self.picture(service).sightings(
            names[: domain_messages.MAX_SIGHTINGS], self._state.clock.now()
        )

    def apply(
        self, note: domain_messages.CallBegun | domain_messages.CallEnded
    ) -> None:
        """Counts the begin or the end of an entry's call of a known target."""
        target = self._state.balancer.all_targets.get(note.target)
        if target is None or target.row.service != note.service:
            return
        now = self._state.clock.now()
        picture = self.picture(note.service)
        match note:
            case domain_messages.CallBegun():
                picture.begin_call(note.target, now)
            case domain_messages.CallEnded():
                picture.end_call(
                    note.target,
                    now,
                    note.duration_ms,
                    has_failed=note.has_failed,
                )
                if note.calls >= 0:
                    picture.report(
                        note.target,
                        note.calls,
                        note.slowness / domain_messages.HUNDREDTHS,
                        reported_at=now,
                    )

    def _ask_targets(self, service: str) -> bool:
        """Asks the targets that are due; returns whether any was asked."""
        now = self._state.clock.now()
        known = self._own_targets(service)
        slots = {
            name: target.row.slots
            for name, target in known.items()
            if target.suspended_until <= now
        }
        wanted = self.picture(service).targets_to_ask(slots, now)
        probes = [
            probe
            for name, probe in self._probes.items()
            if name in known and not probe.ready()
        ]
        started = [self._probe_of(service, known[name]) for name in wanted]
        probes += [probe for probe in started if probe is not None]
        if probes:
            timeout_ms = targets.LOAD_PROBE_MS[0]
            gevent.joinall(probes, timeout=timeout_ms / clock.MS_PER_SECOND)
        return bool(probes)

    def _probe_of(
        self, service: str, target: targets.TargetState
    ) -> gevent.Greenlet | None:
        """Returns the running probe of a target, or starts one if allowed."""
        name = target.row.name
        probe = self._probes.get(name)
        if probe is not None and not probe.ready():
            return probe
        if self._per_target_s and not self._budget(name).take():
            self._on_skipped()
            return None
        probe = self._prober.start_load_probe(target)
        probe.link(functools.partial(self._record_probe, service, target))
        self._probes[name] = probe
        return probe

    def _record_probe(
        self,
        service: str,
        target: targets.TargetState,
        _probe: gevent.Greenlet,
    ) -> None:
        self._probes.pop(target.row.name, None)
        self.picture(service).report(
            target.row.name,
            target.reported_load * target.row.slots + target.in_flight,
            target.slowness,
            reported_at=target.reported_at,
        )

    def _own_targets(self, service: str) -> dict[str, targets.TargetState]:
        """Returns the targets of a service in this failure domain."""
        queue = self._state.balancer.queue_for(service, is_kept=False)
        return {
            name: target
            for name, target in queue.targets.items()
            if target.tier == 0 and not target.row.is_leaving
        }

    def _budget(self, name: str) -> token_bucket.TokenBucket:
        budget = self._budgets.get(name)
        if budget is None:
            budget = token_bucket.TokenBucket(
                self._state.clock, rate=self._per_target_s, burst=_BURST
            )
            self._budgets[name] = budget
        return budget
