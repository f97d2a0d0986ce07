"""Asks suspended targets whether they are back, within a budget.

Load is measured without extra messages: answers carry it. Only a target that
failed is probed, by the one entry that rendezvous ranks first for it, at a
rate for each target and within bytes a second for each entry.
"""

from __future__ import annotations

import logging
import typing

import gevent

from mulberryquay.coordination import errors, token_bucket
from mulberryquay.entry import connections, http_heads, state, targets

#: What a probe and its answer are taken to weigh, headers of TCP included.
PROBE_BYTES: typing.Final = 600

_INTERVAL_MS: typing.Final = 100.0
_TIMEOUT_S: typing.Final = 1.0
_LOG: typing.Final = logging.getLogger(__name__)
_FIRST_BAD_STATUS: typing.Final = 500


@typing.final
class Prober:
    """One task that probes; each probe runs in a task of its own."""

    def __init__(
        self,
        entry_state: state.EntryState,
        *,
        path: str,
        per_target_rate: float,
        bytes_rate: float,
    ) -> None:
        """Rates are in probes a second and target, and bytes a second."""
        self._state = entry_state
        self._path = path
        self._per_target_rate = per_target_rate
        self._bytes = token_bucket.TokenBucket(
            entry_state.clock,
            rate=bytes_rate,
            burst=max(bytes_rate, PROBE_BYTES),
        )
        self._by_target: dict[str, token_bucket.TokenBucket] = {}
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to probe."""
        if self._per_target_rate > 0:
            self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops to probe."""
        if self._task is not None:
            self._task.kill()

    def probe_due(self) -> list[gevent.Greenlet]:
        """Begins the probes that are due and within the budget."""
        known = self._state.balancer.all_targets
        for gone in set(self._by_target) - set(known):
            self._by_target.pop(gone)
        return [
            gevent.spawn(self._probe, target)
            for target in known.values()
            if target.has_failed and self._may_probe(target)
        ]

    def ask_load(self, target: targets.TargetState) -> gevent.Greenlet:
        """Begins to ask a target for its load."""
        return gevent.spawn(self._ask_load, target)

    def _ask_load(self, target: targets.TargetState) -> None:
        target.begin_question()
        try:
            self._probe(target)
        finally:
            target.end_question()

    def _run(self) -> None:
        while True:
            self._state.clock.sleep(_INTERVAL_MS)
            self.probe_due()

    def _may_probe(self, target: targets.TargetState) -> bool:
        name = target.row.name
        if not target.limit or not self._state.share_view.share(name, 1):
            return False
        bucket = self._by_target.get(name)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._state.clock,
                rate=self._per_target_rate,
                burst=1,
            )
            self._by_target[name] = bucket
        return bucket.take() and self._bytes.take(PROBE_BYTES)

    def _probe(self, target: targets.TargetState) -> None:
        is_near = target.row.region == self._state.region
        self._state.metrics.count(
            'mulberryquay_probe_bytes_total',
            'same-region' if is_near else 'cross-region',
            amount=PROBE_BYTES,
        )
        try:
            head = self._ask(target)
        except (OSError, errors.MulberryquayError) as error:
            _LOG.debug('probe failed', extra={'cause': str(error)})
            target.record_failure()
            return
        if not self._is_meant(target, head):
            target.record_address_reused()
            return
        if head.status >= _FIRST_BAD_STATUS:
            target.record_failure()
            return
        self._take_reports(target, head)
        target.record_probe()
        self._state.balancer.queue_for(target.row.service).serve_waiting()

    def _is_meant(
        self,
        target: targets.TargetState,
        head: http_heads.ResponseHead,
    ) -> bool:
        """Whether no other target has the address by now."""
        spoken = self._state.dialect
        named = head.find(spoken.target_name) if spoken.target_name else None
        return named is None or named == target.row.name.encode()

    def _take_reports(
        self,
        target: targets.TargetState,
        head: http_heads.ResponseHead,
    ) -> None:
        spoken = self._state.dialect
        cold = head.find(spoken.cold) if spoken.cold else None
        if cold is not None and cold.isdigit():
            target.note_cold(int(cold))
        load = head.find(spoken.load)
        report = None if load is None else spoken.parse_load(load)
        if report is not None:
            target.record_report(report, age=0)

    def _ask(self, target: targets.TargetState) -> http_heads.ResponseHead:
        link = target.pool.take(limit=target.link_limit)
        head = None
        try:
            head = self._exchange(link, self._path_of(target))
        finally:
            if (
                head is not None
                and head.keeps_alive
                and link.reader.is_between_messages
            ):
                target.pool.give_back(link, head)
            else:
                target.pool.discard(link)
        return head

    def _path_of(self, target: targets.TargetState) -> str:
        service = self._state.routing_table.services.get(target.row.service)
        if service is None or not service.health_path:
            return self._path
        return service.health_path

    def _exchange(
        self,
        link: connections.TargetConnection,
        path: str,
    ) -> http_heads.ResponseHead:
        link.socket.settimeout(_TIMEOUT_S)
        request = http_heads.encode_head(
            f'GET {path} HTTP/1.1'.encode(),
            [(b'host', b'mulberryquay-probe')],
        )
        http_heads.send_all(link.socket, request)
        head = link.reader.read_head()
        if head.framing is http_heads.Framing.UNTIL_CLOSE:
            return head
        while link.reader.read_part() is not None:
            """Reads the body to its end."""
        return head
