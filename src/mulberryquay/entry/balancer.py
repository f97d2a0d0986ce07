"""Keeps the service queues in step with targets, domains and shares."""

from __future__ import annotations

import logging
import math
import typing

from mulberryquay import protocol
from mulberryquay.coordination import clock, shares
from mulberryquay.entry import dialect, relays, routing, service_queue, targets

#: Calls that all entries together may send a warm target, per slot. Above
#: 1, a target has its next call at hand; far above, calls wait at the wrong
#: target.
OVERCOMMIT: typing.Final = 2.0

_LOG: typing.Final = logging.getLogger(__name__)


class TargetLimits(typing.NamedTuple):
    """What an entry may send to a warm target."""

    #: Calls at once, however many entries there are.
    min_calls: int = 1
    #: Calls a slot, as the target reports them, at which it gets no more; 0
    #: for any.
    load_limit: float = 0


@typing.final
class Balancer:
    """The service queues of an entry, kept in step with its knowledge."""

    def __init__(
        self,
        view: shares.ShareView,
        new_policy: typing.Callable[[], service_queue.Policy],
        time_source: clock.Clock,
        *,
        region: str,
        domain: str,
        peers: relays.Relays,
        spoken: dialect.HeaderDialect = dialect.OWN,
        target_limits: TargetLimits | None = None,
    ) -> None:
        """Starts without targets; ``view`` divides the cold ones."""
        self._room = target_limits or TargetLimits()
        self._dialect = spoken
        self._view = view
        self._relays = peers
        self._new_policy = new_policy
        self._clock = time_source
        self._region = region
        self._domain = domain
        self._services: dict[str, service_queue.ServiceQueue] = {}
        self._targets: dict[str, targets.TargetState] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._declared: dict[str, routing.Service] = {}
        self._is_fresh = False

    @property
    def all_targets(self) -> dict[str, targets.TargetState]:
        """All known targets by name."""
        return self._targets

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a target now, over all services."""
        return sum(queue.waiting_count for queue in self._services.values())

    def queue_for(self, service: str) -> service_queue.ServiceQueue:
        """Returns the queue of a service, empty if it has no targets."""
        queue = self._services.get(service)
        if queue is None:
            queue = service_queue.ServiceQueue(
                self._new_policy(),
                self._clock,
                self._relays,
            )
            self._services[service] = queue
        return queue

    def apply(self, message: protocol.TargetsChanged) -> None:
        """Takes changed and removed targets."""
        rows = [protocol.TargetRow(*fields) for fields in message.changed]
        for row in rows:
            self._put(row)
        gone = set(message.removed)
        if message.is_complete:
            listed = {row.name for row in rows}
            gone = set(self._targets) - listed
        for name in gone:
            self._remove(name)
        self.refresh_limits()

    def take_out_domains(self, domains_out: frozenset[str]) -> None:
        """Stops new work to all targets of those failure domains."""
        self._domains_out = domains_out
        self.refresh_limits()

    def configure(self, services: dict[str, routing.Service]) -> None:
        """Takes the limits of the declared services."""
        self._declared = services
        self.refresh_limits()

    def serve_waiting(self) -> None:
        """Grants what has become free by the passing of time."""
        for queue in self._services.values():
            if queue.waiting_count:
                queue.serve_waiting()

    def set_fresh(self, *, is_fresh: bool) -> None:
        """Without fresh knowledge, shares of cold targets are void."""
        if is_fresh != self._is_fresh:
            self._is_fresh = is_fresh
            self.refresh_limits()

    def refresh_limits(self) -> None:
        """Divides all targets anew and serves those who wait."""
        for target in self._targets.values():
            target.limit = self._limit(target)
            target.is_shared_out = self._is_shared_out(target)
            target.link_limit = self._link_limit(target)
            target.cold_rate = self._cold_rate(target.row)
            target.load_limit = self._room.load_limit
            if not target.limit:
                target.pool.close_idle()
        for queue in self._services.values():
            if queue.waiting_count:
                queue.send_on_waiting()
                queue.serve_waiting()

    def collect_reports(self) -> tuple[dict[str, int], dict[str, int]]:
        """Returns what control hosts should know and forgets it.

        The first are good answers of cold targets by name, the second the
        incarnations of targets that shed or slowed down.
        """
        served = {}
        shed = {}
        for name, target in self._targets.items():
            if target.served:
                served[name] = target.served
                target.served = 0
            if target.shed:
                shed[name] = target.row.incarnation
                target.shed = False
        return served, shed

    def fits_pending_shares(self) -> bool:
        """Whether the calls in flight fit the shares of cold targets."""
        return all(
            target.row.is_warm or target.in_flight <= target.limit
            for target in self._targets.values()
        )

    def _put(self, row: protocol.TargetRow) -> None:
        known = self._targets.get(row.name)
        is_same_process = (
            known is not None
            and known.row.incarnation == row.incarnation
            and known.row.address == row.address
            and known.row.service == row.service
        )
        if known is not None and is_same_process:
            if row.is_leaving != known.row.is_leaving:
                _log_target('target leaves', row)
            known.row = row
            known.note_cold(row.cold_ms)
            return
        if known is not None:
            self._remove(row.name)
        _log_target('target known', row)
        target = targets.TargetState(row, self._clock, self._dialect)
        target.tier = self._tier(row)
        target.note_cold(row.cold_ms)
        self._targets[row.name] = target
        self.queue_for(row.service).targets[row.name] = target

    def _remove(self, name: str) -> None:
        target = self._targets.pop(name, None)
        if target is not None:
            _log_target('target forgotten', target.row)
            target.limit = 0
            target.pool.close_idle()
            self.queue_for(target.row.service).targets.pop(name, None)

    def _tier(self, row: protocol.TargetRow) -> int:
        if row.region != self._region:
            return 2
        return int(row.domain != self._domain)

    def _limit(self, target: targets.TargetState) -> int:
        row = target.row
        if not self._is_open(row):
            return 0
        if row.is_warm:
            whole = row.slots * OVERCOMMIT / self._view.member_count
            return max(self._room.min_calls, math.ceil(whole))
        if not self._is_fresh:
            return 0
        return self._view.share(row.name, row.allowance)

    def _is_shared_out(self, target: targets.TargetState) -> bool:
        """Whether the target is cold and only other entries may use it."""
        row = target.row
        return self._is_open(row) and not row.is_warm and not target.limit

    def _is_open(self, row: protocol.TargetRow) -> bool:
        """Whether any entry may send the target new work."""
        return not row.is_leaving and row.domain not in self._domains_out

    def _link_limit(self, target: targets.TargetState) -> int:
        whole = target.row.connections
        declared = self._declared.get(target.row.service)
        if declared is not None and declared.max_connections:
            whole = min(whole, declared.max_connections)
        return max(1, whole // self._view.member_count)

    def _cold_rate(self, row: protocol.TargetRow) -> float:
        """Returns this entry's part of what a cold target bears."""
        declared = self._declared.get(row.service)
        if declared is None or not declared.cold_per_s:
            return 1
        whole = max(1, int(declared.cold_per_s))
        return self._view.share(row.name, whole)


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
