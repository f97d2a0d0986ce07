"""Decides on the stages of roll-outs, at the leading control host."""

from __future__ import annotations

import collections
import logging
import typing

import gevent

from mulberryquay import protocol
from mulberryquay.control import (
    directory,
    host_protocol,
    kinds,
    membership,
    orders,
    roll_out_records,
)
from mulberryquay.coordination import clock, errors, rpc, store
from mulberryquay.coordination.replication import replica
from mulberryquay.decisions import roll_outs, version_evidence

#: How often a running roll-out is looked at.
_CHECK_INTERVAL_MS: typing.Final = 100.0

#: Longest time for a report to reach the leader. Reports that did not are
#: dropped: they are too old to compare with newer ones.
_REPORT_TIMEOUT_MS: typing.Final = 500.0

#: A host that started this recently may have to restore older orders.
_JUST_STARTED_MS: typing.Final = 15_000.0

#: Rows of answers that wait for the leader; more than that are dropped.
_MAX_WAITING_ROWS: typing.Final = 5000

_LOG: typing.Final = logging.getLogger(__name__)


class Host(typing.NamedTuple):
    """The parts of a control host that decisions on roll-outs use."""

    store: store.Store
    targets: directory.Directory
    entries: membership.Membership
    own_replica: replica.Replica
    orders: orders.Orders
    network: rpc.Clients


@typing.final
class _Progress:
    """What this host knows of a running roll-out."""

    def __init__(self, started_at: float, now: float) -> None:
        #: When the order was accepted, on this host's monotonic clock.
        self.started_at = started_at
        self.evidence = version_evidence.VersionEvidence()
        #: When the first answers were reported.
        self.counted_since = now
        #: Version of the resource and when this host saw it first.
        self.number = 0
        self.stage_at = now


@typing.final
class RollOuts:
    """Collects answers by version and moves roll-outs while it leads."""

    def __init__(
        self,
        host: Host,
        time_source: clock.Clock,
        bounds: roll_outs.Bounds,
    ) -> None:
        """Applies ``bounds`` to bad versions."""
        self._host = host
        self._clock = time_source
        self._bounds = bounds
        self._progress: dict[str, _Progress] = {}
        self._waiting: collections.Counter[tuple[typing.Any, ...]] = (
            collections.Counter()
        )
        self._checked_revision = -1
        self._started_at = time_source.now()
        self._running: dict[str, roll_outs.RollOut] = {}
        self._task: gevent.Greenlet | None = None

    @property
    def running(self) -> dict[str, roll_outs.RollOut]:
        """The roll-outs that run, by service."""
        return self._running

    def start(self) -> None:
        """Starts the task that decides."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.kill()

    def find_number(self, row: protocol.TargetRow) -> int:
        """Returns the roll-out that an announced target belongs to, or 0."""
        found = roll_out_records.find(self._host.store, row.service)
        if found is None or found.version != row.version:
            return 0
        return roll_out_records.version_of(self._host.store, row.service)

    def order(
        self,
        service: str,
        version: str,
        duration_ms: int,
        *,
        is_again: bool,
        check_caller: typing.Callable[[], None],
    ) -> roll_outs.RollOut:
        """Starts a roll-out unless its caller has left before.

        The same order again is acknowledged. Raises NotFoundError,
        RollOutRunningError and NoQuorumError.
        """
        received_at = self._clock.now()
        self._host.own_replica.read_barrier(timeout=orders.ORDER_TIMEOUT_MS)
        rows = self._rows_of(service)
        if not rows and self._host.store.find(kinds.SERVICE, service) is None:
            raise errors.NotFoundError(
                f'got service {service!r}, expected one that is declared or '
                'has targets',
            )
        number = roll_out_records.version_of(self._host.store, service)
        # A host that was frozen may read an order long after its caller sent
        # it elsewhere; see `orders.Orders.set_domain_state`.
        check_caller()
        accepted = self._host.orders.execute(
            host_protocol.StartRollOut(
                service=service,
                version=version,
                duration_ms=duration_ms,
                share=roll_outs.first_share(self._bounds),
                old_versions=sorted({row.version for row in rows}),
                started_at=int(self._clock.wall()),
                replaced=number,
                is_again=is_again,
            ),
            received_at=received_at,
        )
        return roll_outs.RollOut(**store.Resource(*accepted).spec or {})

    def end(self, service: str, reason: str) -> roll_outs.RollOut:
        """Rolls a running roll-out back by an operator's order."""
        accepted = self._host.orders.execute(
            host_protocol.MoveRollOut(
                service=service,
                replaced=0,
                state=roll_outs.State.ROLLED_BACK.value,
                stage=roll_outs.Stage.ENDED.value,
                share=0,
                old_versions=[],
                elapsed_ms=0,
                reason=reason,
            )
        )
        return roll_outs.RollOut(**store.Resource(*accepted).spec or {})

    def get(self, service: str) -> roll_outs.RollOut:
        """Returns a roll-out as every host has it.

        Raises NotFoundError and NoQuorumError.
        """
        self._host.own_replica.read_barrier(timeout=orders.ORDER_TIMEOUT_MS)
        found = roll_out_records.find(self._host.store, service)
        if found is None:
            raise errors.NotFoundError(
                f'there is no roll-out of service {service!r}',
            )
        return found

    def record(
        self, rows: typing.Iterable[typing.Sequence[typing.Any]]
    ) -> None:
        """Takes rows of `protocol.VersionAnswers` from an entry or a host."""
        for row in rows:
            answers = protocol.VersionAnswers(*row)
            if len(self._waiting) < _MAX_WAITING_ROWS:
                self._waiting[answers[:-1]] += answers.answers

    def check(self) -> None:
        """Forwards what was reported, or decides on it if this host leads."""
        self._update_running()
        if not self._running:
            self._waiting.clear()
            return
        if not self._host.own_replica.is_caught_up_leader:
            self._forward()
            return
        self._count_waiting()
        for service, roll_out in list(self._running.items()):
            try:
                self._decide(service, roll_out)
            except errors.MulberryquayError as error:
                _LOG.warning(
                    'roll-out not moved',
                    extra={'service': service, 'cause': error.code},
                )

    def _run(self) -> None:
        while True:
            self.check()
            self._clock.sleep(_CHECK_INTERVAL_MS)

    def _update_running(self) -> None:
        revision = self._host.store.revision
        if revision == self._checked_revision:
            return
        self._checked_revision = revision
        self._running = {}
        for resource in self._host.store.list_kind(kinds.ROLL_OUT):
            roll_out = roll_outs.RollOut(**resource.spec or {})
            if roll_out.is_running:
                self._running[resource.name] = roll_out
                self._track(resource, roll_out)
        for ended in set(self._progress) - set(self._running):
            self._progress.pop(ended)

    def _track(
        self,
        resource: store.Resource,
        roll_out: roll_outs.RollOut,
    ) -> None:
        """Notes when a stage began.

        Only a host that has just started goes by the time of day, which may
        jump: it may have been down since the order.
        """
        now = self._clock.now()
        progress = self._progress.get(resource.name)
        if progress is None:
            elapsed = float(roll_out.elapsed_ms)
            if now - self._started_at < _JUST_STARTED_MS:
                by_wall_clock = self._clock.wall() - roll_out.started_at
                elapsed = max(elapsed, by_wall_clock)
            progress = _Progress(now - elapsed, now)
            self._progress[resource.name] = progress
        if progress.number != resource.version:
            progress.number = resource.version
            progress.stage_at = now

    def _forward(self) -> None:
        address = self._host.own_replica.leader_address
        if not address or not self._waiting:
            return
        rows = [[*key, count] for key, count in self._waiting.items()]
        self._waiting.clear()
        try:
            self._host.network.call(
                address,
                host_protocol.VersionsReported(rows),
                timeout=_REPORT_TIMEOUT_MS,
            )
        except rpc.CallFailedError as error:
            _LOG.info(
                'answers by version not reported', extra={'cause': str(error)}
            )

    def _count_waiting(self) -> None:
        now = self._clock.now()
        observed: dict[str, list[version_evidence.Observation]] = {}
        for key, count in self._waiting.items():
            answers = _answers_of(key, count)
            roll_out = self._running.get(answers.service)
            if roll_out is None:
                continue
            observed.setdefault(answers.service, []).append(
                version_evidence.Observation(
                    answers.version == roll_out.version,
                    answers.domain,
                    answers.route,
                    answers.is_failure,
                    answers.latency_step,
                    answers.answers,
                )
            )
        self._waiting.clear()
        for service, observations in observed.items():
            progress = self._progress[service]
            if not progress.evidence.all_answers:
                progress.counted_since = now
            progress.evidence.add(observations, now)

    def _decide(self, service: str, roll_out: roll_outs.RollOut) -> None:
        situation = self.describe(service, roll_out)
        step = roll_outs.next_step(situation, self._bounds)
        match step:
            case roll_outs.Stay():
                return
            case roll_outs.Advance(stage, share):
                state = roll_outs.State.RUNNING
                reason = ''
            case roll_outs.End(state, reason):
                stage = roll_outs.Stage.ENDED
                share = 0
        progress = self._progress[service]
        _LOG.info(
            'roll-out moved',
            extra={
                'service': service,
                'version': roll_out.version,
                'state': state.value,
                'stage': stage.value,
                'share': share,
                'reason': reason,
                'elapsed_ms': round(situation.elapsed),
                'new_answers': situation.new_answers,
                'bad_answers': progress.evidence.bad_answers,
                'strength': round(situation.finding.strength, 2),
                'measure': situation.finding.measure.value,
                'new_slots': situation.new_slots,
                'old_slots': situation.old_slots,
            },
        )
        self._host.orders.execute(
            host_protocol.MoveRollOut(
                service=service,
                replaced=progress.number,
                state=state.value,
                stage=stage.value,
                share=share,
                old_versions=sorted(
                    {row.version for row in self._rows_of(service)}
                ),
                elapsed_ms=round(situation.elapsed),
                reason=reason,
            )
        )

    def describe(
        self, service: str, roll_out: roll_outs.RollOut
    ) -> roll_outs.Situation:
        """Returns what this host knows of a running roll-out."""
        now = self._clock.now()
        progress = self._progress[service]
        evidence = progress.evidence
        counted_for = now - progress.counted_since
        rate = 0.0
        if counted_for > clock.MS_PER_SECOND:
            rate = evidence.all_answers * clock.MS_PER_SECOND / counted_for
        slots = {True: 0, False: 0}
        for row in self._rows_of(service):
            if row.cold_ms <= 0 and not row.is_leaving:
                slots[row.version == roll_out.version] += row.slots
        waiting_for = self._host.entries.waiting_for(self._host.store.revision)
        return roll_outs.Situation(
            duration=roll_out.duration_ms,
            elapsed=now - progress.started_at,
            stage=roll_outs.Stage(roll_out.stage),
            share=roll_out.share,
            stage_elapsed=now - progress.stage_at,
            requests_per_s=rate,
            new_answers=evidence.compared_answers,
            finding=evidence.finding,
            new_slots=slots[True],
            old_slots=slots[False],
            is_confirmed=not waiting_for,
        )

    def _rows_of(self, service: str) -> list[protocol.TargetRow]:
        return [
            row
            for row in self._host.targets.list_targets()
            if row.service == service
        ]


def _answers_of(
    key: tuple[typing.Any, ...], answers: int
) -> protocol.VersionAnswers:
    return protocol.VersionAnswers._make((*key, answers))
