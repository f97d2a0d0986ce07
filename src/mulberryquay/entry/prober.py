"""Probes failed targets within a budget, and any target's load on demand.

Answers carry load reports, so load usually needs no extra messages. On its
own, the prober only probes targets that failed, and targets whose rate limit
no answer confirmed for some time. Each failed target is probed by the one
entry that rendezvous hashing ranks first. These probes are limited by a rate
for each target and by bytes per second for each entry.
"""

from __future__ import annotations

import logging
import typing

import gevent

from mulberryquay.coordination import errors, paced_task, token_bucket
from mulberryquay.entry import (
    connections,
    http_heads,
    outcomes,
    rate_limit,
    state,
    targets,
)

#: Assumed size of a probe with its answer, including TCP headers.
PROBE_BYTES: typing.Final = 600

_CHECK_INTERVAL_MS: typing.Final = 100.0
_PROBE_TIMEOUT_S: typing.Final = 1.0

#: Limit of the body of the answer to a probe.
_MAX_PROBE_BODY_BYTES: typing.Final = 65536
_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Prober:
    """Starts due probes in one task and runs each in its own greenlet."""

    def __init__(
        self,
        entry_state: state.EntryState,
        *,
        path: str,
        per_target_rate: float,
        bytes_rate: float,
    ) -> None:
        """Sets the rates, in probes per second per target and bytes per second.

        ``path`` is the default for services without a health path.
        """
        self._state = entry_state
        self._path = path
        self._per_target_rate = per_target_rate
        self._byte_budget = token_bucket.TokenBucket(
            entry_state.clock,
            rate=bytes_rate,
            burst=max(bytes_rate, PROBE_BYTES),
        )
        self._target_budgets: dict[str, token_bucket.TokenBucket] = {}
        self._task = paced_task.PacedTask(
            self._probe_due,
            entry_state.clock,
            interval=_CHECK_INTERVAL_MS,
            needed=entry_state.balancer.needs_probes,
        )

    def start(self) -> None:
        """Starts probing, unless the rate is 0."""
        if self._per_target_rate > 0:
            self._task.start()

    def stop(self) -> None:
        """Stops probing."""
        self._task.stop()

    def start_due_probes(self) -> list[gevent.Greenlet]:
        """Starts the probes that are due and within the budget."""
        known = self._state.balancer.all_targets
        for gone in set(self._target_budgets) - set(known):
            self._target_budgets.pop(gone)
        now = self._state.clock.now()
        return [
            gevent.spawn(self._probe, target)
            for target in known.values()
            if self._is_due(target, now) and self._is_within_budget(target)
        ]

    def start_load_probe(self, target: targets.TargetState) -> gevent.Greenlet:
        """Starts a probe of a target's load; no budget limits it."""
        return gevent.spawn(self._probe_load, target)

    def _probe_load(self, target: targets.TargetState) -> None:
        target.begin_load_probe()
        try:
            self._probe(target)
        finally:
            target.end_load_probe()

    def _probe_due(self) -> bool:
        """Starts due probes; returns whether any may become due."""
        self.start_due_probes()
        known = self._state.balancer.all_targets
        return any(
            target.has_failed or target.rate_limit.per_s is not None
            for target in known.values()
        )

    def _is_due(self, target: targets.TargetState, now: float) -> bool:
        if not target.limit:
            return False
        if target.has_failed:
            return bool(self._state.share_view.share(target.row.name, 1))
        return target.rate_limit.needs_confirmation(now)

    def _is_within_budget(self, target: targets.TargetState) -> bool:
        name = target.row.name
        bucket = self._target_budgets.get(name)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._state.clock,
                rate=self._per_target_rate,
                burst=1,
            )
            self._target_budgets[name] = bucket
        return bucket.take() and self._byte_budget.take(PROBE_BYTES)

    def _probe(self, target: targets.TargetState) -> None:
        is_same_region = target.row.region == self._state.region
        self._state.metrics.count(
            'mulberryquay_probe_bytes_total',
            'same-region' if is_same_region else 'cross-region',
            amount=PROBE_BYTES,
        )
        try:
            head = self._fetch_head(target)
        except (OSError, errors.MulberryquayError) as error:
            _LOG.debug('probe failed', extra={'cause': str(error)})
            target.record_failure(outcomes.Reason.PROBE_FAILED)
            return
        if not self._is_expected_target(target, head):
            target.record_address_reused()
            return
        if head.status >= http_heads.FIRST_SERVER_ERROR_STATUS:
            target.record_failure(outcomes.Reason.PROBE_FAILED)
            return
        self._record_reports(target, head)
        target.record_probe()
        self._state.balancer.queue_for(target.row.service).serve_waiting()

    def _is_expected_target(
        self,
        target: targets.TargetState,
        head: http_heads.ResponseHead,
    ) -> bool:
        """Whether the answer does not name another target."""
        header_dialect = self._state.dialect
        named = (
            head.find(header_dialect.target_name)
            if header_dialect.target_name
            else None
        )
        return named is None or named == target.row.name.encode()

    def _record_reports(
        self,
        target: targets.TargetState,
        head: http_heads.ResponseHead,
    ) -> None:
        header_dialect = self._state.dialect
        cold = head.find(header_dialect.cold) if header_dialect.cold else None
        cold_ms = None if cold is None else http_heads.parse_number(cold)
        if cold_ms is not None:
            target.record_cold_period(cold_ms)
        target.rate_limit.observe_header(
            head.find(header_dialect.rate_limit), rate_limit.Source.PROBE
        )
        load = head.find(header_dialect.load)
        report = None if load is None else header_dialect.parse_load(load)
        if report is not None:
            target.record_report(report, age=0)

    def _fetch_head(
        self, target: targets.TargetState
    ) -> http_heads.ResponseHead:
        connection = target.pool.take(
            limit=target.connection_limit, is_for_probe=True
        )
        head = None
        try:
            with gevent.Timeout(_PROBE_TIMEOUT_S, TimeoutError):
                head = self._send_probe(connection, self._probe_path(target))
        finally:
            if (
                head is not None
                and head.status < http_heads.FIRST_SERVER_ERROR_STATUS
                and head.keeps_alive
                and connection.reader.is_between_messages
            ):
                target.pool.give_back(connection, head)
            else:
                target.pool.discard(connection)
        return head

    def _probe_path(self, target: targets.TargetState) -> str:
        service = self._state.routing_table.services.get(target.row.service)
        if service is None or not service.health_path:
            return self._path
        return service.health_path

    def _send_probe(
        self,
        connection: connections.TargetConnection,
        path: str,
    ) -> http_heads.ResponseHead:
        request = http_heads.encode_head(
            f'GET {path} HTTP/1.1'.encode(),
            [(b'host', b'mulberryquay-probe')],
        )
        http_heads.send_all(connection.socket, request)
        head = connection.reader.read_head()
        if head.find(self._state.dialect.request_id) in connection.sent_ids:
            raise http_heads.MessageError(
                'got the late answer to a request, expected that to a probe'
            )
        if head.framing is http_heads.Framing.UNTIL_CLOSE:
            return head
        body_size = 0
        for part in iter(connection.reader.read_part, None):
            body_size += len(part)
            if body_size > _MAX_PROBE_BODY_BYTES:
                raise http_heads.MessageError(
                    'got a probe answer with a body of more than '
                    f'{_MAX_PROBE_BODY_BYTES} bytes',
                )
        return head
