"""Computes the limits of each target and holds the service queues."""

from __future__ import annotations

import collections
import logging
import math
import random
import typing

from gevent import event

from mulberryquay import protocol
from mulberryquay.coordination import clock, shares
from mulberryquay.entry import (
    competition,
    outcomes,
    relays,
    routing,
    service_queue,
    targets,
    version_choice,
)

#: Calls per slot that all entries together may send to a warm target. Above
#: 1, a target has its next call queued when one ends; far above 1, calls
#: queue at one target while another is free.
OVERCOMMIT: typing.Final = 2.0

_LOG: typing.Final = logging.getLogger(__name__)


class TargetLimits(typing.NamedTuple):
    """Settings that limit the calls from one entry to one target."""

    #: Lower bound of the limit on concurrent calls to a warm target, which
    #: otherwise shrinks with the number of entries.
    min_calls: int = 1
    #: Estimated calls per slot at which a target gets no new calls; 0 for no
    #: limit.
    load_limit: float = 0


#: Returns what the requests of a service compete by; None for their class.
NewRivalry = typing.Callable[[], competition.Competition | None]


def _no_rivalry() -> None:
    """Returns None: requests are ordered by class."""


@typing.final
class Balancer:
    """The targets and service queues of an entry.

    Limits are recomputed whenever targets, configuration or shares change.
    """

    def __init__(
        self,
        share_view: shares.ShareView,
        new_policy: typing.Callable[[], service_queue.Policy],
        time_source: clock.Clock,
        *,
        region: str,
        domain: str,
        peers: relays.Relays,
        target_context: targets.TargetContext | None = None,
        target_limits: TargetLimits | None = None,
    ) -> None:
        """Starts without targets; ``share_view`` has this entry's shares."""
        #: Makes what the requests of a new queue compete by.
        self.new_rivalry: NewRivalry = _no_rivalry
        self._target_limits = target_limits or TargetLimits()
        self._target_context = target_context or targets.TargetContext()
        self._share_view = share_view
        self._relays = peers
        self._new_policy = new_policy
        self._clock = time_source
        self._region = region
        self._domain = domain
        self._queues: dict[str, service_queue.ServiceQueue] = {}
        #: Set when a request begins to wait for a target.
        self.has_waiting = event.Event()
        #: Set when a target is suspended or its rate limit changes.
        self.needs_probes = event.Event()
        #: Set when a rate limit changes.
        self.has_rate_limits = event.Event()
        self._targets: dict[str, targets.TargetState] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._declared_services: dict[str, routing.Service] = {}
        self._roll_outs: dict[str, routing.RollOut] = {}
        self._rng = random.Random()
        self._is_fresh = False

    @property
    def all_targets(self) -> dict[str, targets.TargetState]:
        """All known targets by name."""
        return self._targets

    @property
    def waiting_by_rank(self) -> collections.Counter[int]:
        """Requests waiting for a target, by the rank of their account."""
        return collections.Counter(
            rank
            for queue in self._queues.values()
            for rank in queue.waiting_ranks
        )

    def queue_for(
        self, service: str, *, is_kept: bool = True
    ) -> service_queue.ServiceQueue:
        """Returns the queue of a service, empty if it has no targets.

        Unless ``is_kept``, one that is new is not remembered: the name may be
        anybody's.
        """
        queue = self._queues.get(service)
        if queue is None:
            queue = service_queue.ServiceQueue(
                self._new_policy(),
                self._clock,
                self._relays,
                self.has_waiting.set,
                self.new_rivalry(),
            )
            if is_kept:
                self._queues[service] = queue
        return queue

    def apply(self, message: protocol.TargetsChanged) -> None:
        """Adds, updates and removes targets."""
        rows = [protocol.TargetRow(*fields) for fields in message.changed]
        for row in rows:
            self._add_or_update(row)
        removed_names = set(message.removed)
        if message.is_complete:
            listed = {row.name for row in rows}
            removed_names = set(self._targets) - listed
        for name in removed_names:
            self._remove(name)
        changed_names = {row.name for row in rows} & set(self._targets)
        self.refresh_limits([self._targets[name] for name in changed_names])

    def apply_domains_out(self, domains_out: frozenset[str]) -> None:
        """Sets the failure domains whose targets get no new calls."""
        self._domains_out = domains_out
        self.refresh_limits()

    def configure(
        self,
        services: dict[str, routing.Service],
        roll_outs: dict[str, routing.RollOut] | None = None,
    ) -> None:
        """Sets the declared services and the newest roll-out of each."""
        self._declared_services = services
        self._roll_outs = roll_outs or {}
        self.refresh_limits()

    def serve_waiting(self) -> None:
        """Serves waiting requests that a target can serve by now.

        The target's load report may have decayed, or the interval between two
        calls to a cold target may have passed.
        """
        for queue in self._queues.values():
            if queue.waiting_count:
                queue.serve_waiting()

    def refuse_waiting(self, refusal: outcomes.RefusedError) -> None:
        """Refuses all requests that wait for a target."""
        for queue in self._queues.values():
            queue.refuse_waiting(refusal)

    def set_fresh(self, *, is_fresh: bool) -> None:
        """Sets whether the configuration is fresh.

        While it is not, this entry has no share of any cold target.
        """
        if is_fresh != self._is_fresh:
            self._is_fresh = is_fresh
            self.refresh_limits()

    def refresh_limits(
        self, changed: typing.Sequence[targets.TargetState] | None = None
    ) -> None:
        """Recomputes the limits of targets and serves waiting requests.

        Without ``changed`` it does so for all targets.
        """
        if changed is None:
            changed = list(self._targets.values())
        for target in changed:
            self._refresh_target(target)
        for service, roll_out in self._roll_outs.items():
            queue = self.queue_for(service)
            queue.versions = version_choice.for_roll_out(
                roll_out, queue.versions, queue.targets, self._rng
            )
            if queue.versions is not None:
                queue.versions.update(roll_out, is_fresh=self._is_fresh)
        for queue in self._queues.values():
            queue.adapt_to_limits()

    def apply_rate_limit(self, target: targets.TargetState) -> None:
        """Recomputes the limits of a target after its rate limit changed."""
        self._refresh_target(target)
        self.queue_for(target.row.service).adapt_to_limits()

    def release_rate_limits(self) -> bool:
        """Raises the bounds of rate limits that have ended.

        Returns whether any of these still bounds calls.
        """
        ended = [
            target
            for target in self._targets.values()
            if target.rate_limit.is_being_released
        ]
        for target in ended:
            target.rate_limit.release()
        return bool(ended)

    def pop_target_reports(self) -> tuple[dict[str, int], dict[str, int]]:
        """Returns the target reports for control hosts and resets them.

        The first dict counts good answers of cold targets by name; the second
        has the incarnations of targets that shed calls or slowed down.
        """
        served = {}
        shed = {}
        for name, target in self._targets.items():
            if target.warmup_answers:
                served[name] = target.warmup_answers
                target.warmup_answers = 0
            if target.was_overloaded:
                shed[name] = target.row.incarnation
                target.was_overloaded = False
        return served, shed

    def restore_target_reports(
        self, served: dict[str, int], shed: dict[str, int]
    ) -> None:
        """Takes back reports that no control host received."""
        for name, count in served.items():
            target = self._targets.get(name)
            if target is not None:
                target.warmup_answers += count
        for name, incarnation in shed.items():
            target = self._targets.get(name)
            if target is not None and target.row.incarnation == incarnation:
                target.was_overloaded = True

    def rate_limit_reports(self) -> dict[str, protocol.RateLimitReport]:
        """Returns the rate limits that control hosts have to learn, by name."""
        return {
            name: _rate_limit_report(target)
            for name, target in self._targets.items()
            if target.rate_limit.has_report
        }

    def known_rate_limits(self) -> dict[str, protocol.RateLimitReport]:
        """Returns the rate limits in force, by name of their target."""
        return {
            name: _rate_limit_report(target)
            for name, target in self._targets.items()
            if target.rate_limit.per_s is not None
        }

    def fits_pending_shares(self) -> bool:
        """Whether calls in flight to cold targets fit this entry's shares."""
        return all(
            target.row.is_warm or target.in_flight <= target.limit
            for target in self._targets.values()
        )

    def _add_or_update(self, row: protocol.TargetRow) -> None:
        known = self._targets.get(row.name)
        is_same_process = (
            known is not None
            and known.row.incarnation == row.incarnation
            and known.row.address == row.address
            and known.row.service == row.service
        )
        if known is not None and is_same_process:
            if row.is_leaving != known.row.is_leaving:
                _log_target('target is leaving', row)
            known.row = row
            known.record_cold_period(row.cold_ms)
            known.rate_limit.accept(row.rate_per_s)
            return
        if known is not None:
            self._remove(row.name)
        _log_target('target added', row)
        target = targets.TargetState(row, self._clock, self._target_context)
        target.tier = self._tier(row)
        target.record_cold_period(row.cold_ms)
        self._targets[row.name] = target
        self.queue_for(row.service).targets[row.name] = target
        target.rate_limit.accept(row.rate_per_s)

    def _remove(self, name: str) -> None:
        target = self._targets.pop(name, None)
        if target is not None:
            _log_target('target removed', target.row)
            target.limit = 0
            target.pool.close_idle()
            self.queue_for(target.row.service).targets.pop(name, None)

    def _tier(self, row: protocol.TargetRow) -> int:
        if row.region != self._region:
            return 2
        return int(row.domain != self._domain)

    def _refresh_target(self, target: targets.TargetState) -> None:
        target.rate_limit.grant_share(self._rate_share(target))
        target.limit = self._call_limit(target)
        target.is_relay_only = self._is_relay_only(target)
        target.connection_limit = self._connection_limit(target)
        target.cold_rate = self._cold_rate(target.row)
        target.load_limit = self._target_limits.load_limit
        if not target.limit and target.rate_limit.has_share:
            target.pool.close_idle()

    def _rate_share(self, target: targets.TargetState) -> float:
        per_s = target.rate_limit.bound_per_s
        if per_s is None:
            return 0
        return self._share_view.rate_share(
            target.row.name, per_s, region=target.row.region
        )

    def _call_limit(self, target: targets.TargetState) -> int:
        row = target.row
        if not self._accepts_new_calls(row) or not target.rate_limit.has_share:
            return 0
        if row.is_warm:
            total = row.slots * OVERCOMMIT / self._share_view.member_count
            return max(self._target_limits.min_calls, math.ceil(total))
        if not self._is_fresh:
            return 0
        return self._share_view.share(row.name, row.allowance)

    def _is_relay_only(self, target: targets.TargetState) -> bool:
        """Whether only other entries have shares of the target."""
        has_shares = not target.row.is_warm or not target.rate_limit.has_share
        return (
            self._accepts_new_calls(target.row)
            and has_shares
            and not target.limit
        )

    def _accepts_new_calls(self, row: protocol.TargetRow) -> bool:
        """Whether entries may send the target new calls."""
        if row.is_leaving or row.domain in self._domains_out:
            return False
        roll_out = self._roll_outs.get(row.service, routing.NO_ROLL_OUT)
        # A target of a roll-out that this entry does not know yet gets
        # nothing, nor do the versions against which one was decided.
        return row.roll_out <= roll_out.number and not roll_out.bars(
            row.version
        )

    def _connection_limit(self, target: targets.TargetState) -> int:
        total = target.row.connections
        declared_service = self._declared_services.get(target.row.service)
        if declared_service is not None and declared_service.max_connections:
            total = min(total, declared_service.max_connections)
        return max(1, total // self._share_view.member_count)

    def _cold_rate(self, row: protocol.TargetRow) -> float:
        """Returns the calls per second that this entry may send while cold."""
        declared_service = self._declared_services.get(row.service)
        if declared_service is None or not declared_service.cold_per_s:
            return 1
        total = max(1, int(declared_service.cold_per_s))
        return self._share_view.share(row.name, total)


def _rate_limit_report(
    target: targets.TargetState,
) -> protocol.RateLimitReport:
    return protocol.RateLimitReport(
        target.row.incarnation, target.rate_limit.per_s
    )


def _log_target(event: str, row: protocol.TargetRow) -> None:
    _LOG.info(
        event,
        extra={
            'target': row.name,
            'incarnation': row.incarnation,
            'service': row.service,
            'domain': row.domain,
            'address': row.address,
            'cold_ms': row.cold_ms,
        },
    )
