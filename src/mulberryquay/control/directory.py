"""Tracks announced targets as soft state that expires with its leases."""

from __future__ import annotations

import logging
import typing

from mulberryquay import protocol
from mulberryquay.control import (
    announcements,
    ended_targets,
    host_protocol,
    target_limit,
)
from mulberryquay.coordination import (
    allowance,
    clock,
    errors,
    history,
    schema,
    units,
)

#: A target that has not renewed for this long is removed. Entries notice a
#: crashed target at their next call, and a target that stops reports that it
#: leaves, so the lease only removes targets that do not come back.
#: docs/CAPACITY.md has the cost.
TARGET_LEASE_MS: typing.Final = 45_000

#: How often during a lease the other control hosts are told of renewals.
_RENEWAL_REPORTS_PER_LEASE: typing.Final = 6

#: Changes kept, from which a watch of targets can resume.
_WATCH_HISTORY: typing.Final = 4096

#: A smaller change of the remaining cold time is not sent to entries and the
#: other control hosts.
_MIN_COLD_CHANGE_MS: typing.Final = 700

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class UnknownTargetError(errors.NotFoundError):
    """The target has not announced itself here and has to do so."""

    code = 'unknown-target'


@typing.final
class StaleIncarnationError(errors.ConflictError):
    """A message from an earlier incarnation of the target arrived late."""

    code = 'stale-incarnation'


@typing.final
class TooManyTargetsError(errors.MulberryquayError):
    """As many targets as may be have announced themselves; try again."""

    code = 'too-many-targets'
    http_status = 503


class TargetChange(typing.NamedTuple):
    """One change of the directory, with its reason."""

    target: protocol.TargetRow
    #: announced, restarted, changed, allowance, rate limit, leaving, left or
    #: expired.
    reason: str
    is_removed: bool


class AllowanceHint(typing.NamedTuple):
    """A target's allowance as an entry knew it before a host restarted."""

    incarnation: int
    granted: int
    is_warm: bool


@typing.final
class _TargetState:
    """The directory's state of one target."""

    def __init__(
        self,
        row: protocol.TargetRow,
        slow_start: allowance.Allowance,
    ) -> None:
        self.row = row
        self.slow_start = slow_start
        self.renewed_at = 0.0
        #: Time until which the target reported itself as cold.
        self.cold_until = 0.0

    def row_at(self, now: float) -> protocol.TargetRow:
        """Returns the row with the remaining cold time."""
        if self.row.cold_ms <= 0:
            return self.row
        remaining = max(0, self.cold_until - now)
        return self.row._replace(cold_ms=int(remaining))


@typing.final
class Directory:
    """The announced targets; every change is appended to `changes`."""

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        ended: ended_targets.EndedTargets,
        lease: float = TARGET_LEASE_MS,
        max_targets: int = units.MAX_INT64,
    ) -> None:
        """Starts empty; ``lease`` is in milliseconds.

        With ``max_targets``, only those that are known may announce
        themselves, here and at other control hosts.
        """
        self._clock = time_source
        self._lease = lease
        #: Refuses targets that are new.
        self.limit = target_limit.TargetLimit(max_targets, time_source)
        self._started_at = time_source.now()
        self._targets: dict[str, _TargetState] = {}
        #: The last ended incarnation of each target, listed or not.
        self.ended_targets = ended
        ended.on_ended = self._apply_ends
        #: Called with each update for the other control hosts.
        self.publish: typing.Callable[[tuple[typing.Any, ...]], None] = _discard
        #: Called with the ended incarnations, by name, that entries must learn.
        self.publish_ends: typing.Callable[[dict[str, int]], None] = _discard
        #: Returns the number of the roll-out that a target belongs to, or 0.
        self.find_roll_out: typing.Callable[[protocol.TargetRow], int] = (
            _find_no_roll_out
        )
        #: Incarnations that renewed here, not yet sent to other hosts.
        self._renewed: dict[str, int] = {}
        self._renewals_published_at = time_source.now()
        self._hints: dict[str, AllowanceHint] = {}
        #: Rate limits, by name, of targets that are not known here yet.
        self._known_rate_limits: dict[str, protocol.RateLimitReport] = {}
        self._changes: history.History[TargetChange] = history.History(
            size=_WATCH_HISTORY,
        )

    @property
    def changes(self) -> history.History[TargetChange]:
        """The most recent changes, for watches and for entries."""
        return self._changes

    @property
    def lease(self) -> float:
        """Milliseconds for which an announcement or renewal is valid."""
        return self._lease

    @property
    def is_relearning(self) -> bool:
        """Whether live targets may still be missing after a start."""
        return self._clock.now() - self._started_at < self._lease

    def list_targets(self) -> list[protocol.TargetRow]:
        """Returns all targets, sorted by name."""
        now = self._clock.now()
        return [
            self._targets[name].row_at(now) for name in sorted(self._targets)
        ]

    def get(self, name: str) -> protocol.TargetRow:
        """Returns a target; raises UnknownTargetError."""
        return self._find(name).row_at(self._clock.now())

    def announce(self, announcement: typing.Any) -> protocol.TargetRow:
        """Applies a new or repeated announcement.

        A higher incarnation than before means that the target restarted and
        is cold. Raises InvalidResourceError, StaleIncarnationError and
        TooManyTargetsError.
        """
        row = announcements.parse(announcement)
        row = row._replace(roll_out=self.find_roll_out(row))
        state = self._targets.get(row.name)
        if state is not None and row.incarnation < state.row.incarnation:
            raise _stale_error(row.name, row.incarnation, state.row.incarnation)
        if self.ended_targets.is_ended(row.name, row.incarnation):
            if state is None or state.row.incarnation != row.incarnation:
                raise _stale_error(
                    row.name, row.incarnation, row.incarnation + 1
                )
        if state is None and not self.limit.has_place(len(self._targets)):
            raise TooManyTargetsError(
                f'{self.limit.max_targets} targets are known; a new one is '
                'refused until one of them leaves',
            )
        if self._apply_announcement(row):
            self.publish(host_protocol.TargetAnnounced(list(row)))
        else:
            self._renewed[row.name] = row.incarnation
        return self.get(row.name)

    def merge_announced(self, row: protocol.TargetRow) -> None:
        """Applies an announcement that another control host received."""
        state = self._targets.get(row.name)
        if state is None:
            if self.ended_targets.is_ended(row.name, row.incarnation):
                return
            if not self.limit.has_place(len(self._targets)):
                return
        elif row.incarnation < state.row.incarnation:
            return
        self._apply_announcement(row)
        state = self._targets[row.name]
        if (
            row.cold_ms == announcements.COLD_MS_UNKNOWN
            and row.allowance > state.slow_start.current
        ):
            state.slow_start.restore(row.allowance, is_warm=row.is_warm)
            self._update(state, 'allowance', **_allowance_of(state))
        if row.rate_per_s is not None:
            self.restore_rate_limit(
                row.name,
                protocol.RateLimitReport(row.incarnation, row.rate_per_s),
            )

    def apply_renewals(self, incarnations: dict[str, int]) -> None:
        """Extends the leases that were renewed at another control host."""
        for name, incarnation in incarnations.items():
            state = self._targets.get(name)
            if state is not None and state.row.incarnation == incarnation:
                state.renewed_at = self._clock.now()

    def publish_renewals_if_due(self) -> None:
        """Sends the leases renewed here to the other control hosts."""
        now = self._clock.now()
        interval = self._lease / _RENEWAL_REPORTS_PER_LEASE
        if now < self._renewals_published_at + interval:
            return
        self._renewals_published_at = now
        if self._renewed:
            self.publish(host_protocol.TargetLeasesRenewed(self._renewed))
            self._renewed = {}

    def renew(self, name: str, *, incarnation: int) -> protocol.TargetRow:
        """Extends a lease.

        Raises UnknownTargetError, upon which the target has to announce
        itself again, and StaleIncarnationError.
        """
        self.check_incarnation(name, incarnation)
        self._targets[name].renewed_at = self._clock.now()
        self._renewed[name] = incarnation
        return self.get(name)

    def leave(self, name: str, *, incarnation: int) -> protocol.TargetRow:
        """Marks a target as leaving, so that it gets no new requests.

        It stays listed until its lease runs out, so that requests in flight
        can finish. Raises UnknownTargetError and StaleIncarnationError.
        """
        self.check_incarnation(name, incarnation)
        self.end(name, incarnation=incarnation)
        return self.get(name)

    def check_incarnation(self, name: str, incarnation: int) -> None:
        """Checks that an incarnation is the current one of a target.

        Raises UnknownTargetError and StaleIncarnationError.
        """
        state = self._find(name)
        if incarnation != state.row.incarnation:
            raise _stale_error(name, incarnation, state.row.incarnation)

    def end(self, name: str, *, incarnation: int | None) -> int:
        """Stops new requests to an incarnation on all hosts and returns it.

        An ``incarnation`` of None stands for `newest_incarnation`. Raises
        InvalidResourceError for a name that no target can have.
        """
        schema.check_name(name, label='name of the target')
        if incarnation is None:
            incarnation = self.newest_incarnation(name)
        self.ended_targets.end(name, incarnation)
        return incarnation

    def newest_incarnation(self, name: str) -> int:
        """Returns the highest incarnation that a target may have now.

        A later one than is known here may have announced itself at another
        host only, so any that began before now counts, by the time of day.
        """
        state = self._targets.get(name)
        known = 0 if state is None else state.row.incarnation
        return max(known, int(self._clock.wall()))

    def expire(self) -> None:
        """Removes the targets whose leases ran out."""
        oldest = self._clock.now() - self._lease
        expired = [
            state
            for state in self._targets.values()
            if state.renewed_at < oldest
        ]
        for state in expired:
            row = state.row
            self._targets.pop(row.name)
            reason = 'left' if row.is_leaving else 'expired'
            self._record_change(TargetChange(row, reason, is_removed=True))

    def record_served(self, name: str, answers: int) -> None:
        """Counts good answers, which may raise the target's allowance."""
        state = self._targets.get(name)
        if state is None or state.row.cold_ms != announcements.COLD_MS_UNKNOWN:
            return
        if state.slow_start.record_served(answers):
            self._update(state, 'allowance', **_allowance_of(state))

    def record_shed(self, name: str, *, incarnation: int) -> None:
        """Lowers the allowance of a target that shed calls or slowed down."""
        state = self._targets.get(name)
        if state is None or state.row.incarnation != incarnation:
            return
        if (
            state.row.cold_ms == announcements.COLD_MS_UNKNOWN
            and state.slow_start.record_shed()
        ):
            self._update(state, 'allowance', **_allowance_of(state))

    def record_rate_limit(
        self, name: str, report: protocol.RateLimitReport
    ) -> None:
        """Records the rate limit that the answers of a target name."""
        state = self._targets.get(name)
        if state is None or state.row.incarnation != report.incarnation:
            return
        if state.row.rate_per_s != report.per_s:
            self._update(state, 'rate limit', rate_per_s=report.per_s)

    def restore_rate_limit(
        self, name: str, report: protocol.RateLimitReport
    ) -> None:
        """Restores the rate limit of a target from before a start.

        Has an effect only while targets are relearned, and only if no limit
        of the target is known. The target may announce itself before or after
        the one that knows its limit.
        """
        if not self.is_relearning:
            return
        state = self._targets.get(name)
        if state is None:
            self._known_rate_limits[name] = report
        elif state.row.rate_per_s is None:
            self.record_rate_limit(name, report)

    def reset_domain(self, domain: str) -> None:
        """Resets a domain's targets to cold, for its return to service.

        Targets that report how long they stay cold are not changed.
        """
        for state in self._targets.values():
            reports_cold_time = (
                state.row.cold_ms != announcements.COLD_MS_UNKNOWN
            )
            if reports_cold_time or state.row.domain != domain:
                continue
            if state.slow_start.reset_cold():
                self._update(state, 'allowance', **_allowance_of(state))

    def add_hint(self, name: str, hint: AllowanceHint) -> None:
        """Restores the allowance of a target as an entry knows it.

        Has an effect only while targets are relearned after a start. The
        target may announce itself before or after the entry reconnects.
        """
        if not self.is_relearning:
            return
        self._hints[name] = hint
        target = self._targets.get(name)
        if target is None or target.row.incarnation != hint.incarnation:
            return
        is_higher = hint.granted > target.slow_start.current
        if is_higher or (hint.is_warm and not target.slow_start.is_warm):
            target.slow_start.restore(hint.granted, is_warm=hint.is_warm)
            self._update(target, 'allowance', **_allowance_of(target))

    def _find(self, name: str) -> _TargetState:
        try:
            return self._targets[name]
        except KeyError:
            raise UnknownTargetError(
                f'target {name!r} is not known here; announce it again',
            ) from None

    def _apply_announcement(self, row: protocol.TargetRow) -> bool:
        """Updates the target's state; False if nothing new was announced."""
        state = self._targets.get(row.name)
        if state is None:
            self._add(row, 'announced')
            return True
        if row.incarnation > state.row.incarnation:
            self._add(row, 'restarted')
            return True
        if row.sequence < state.row.sequence:
            return False
        state.renewed_at = self._clock.now()
        cold_until = state.renewed_at + max(0, row.cold_ms)
        is_changed = abs(cold_until - state.cold_until) > _MIN_COLD_CHANGE_MS
        if max(cold_until, state.cold_until) <= state.renewed_at:
            is_changed = False
        state.cold_until = cold_until
        is_changed = is_changed or (row.address, row.slots, row.version) != (
            state.row.address,
            state.row.slots,
            state.row.version,
        )
        state.row = state.row._replace(
            sequence=row.sequence,
            cold_ms=row.cold_ms,
            address=row.address,
            slots=row.slots,
            version=row.version,
        )
        if is_changed:
            self._update(state, 'changed')
        return is_changed

    def _add(self, row: protocol.TargetRow, reason: str) -> None:
        uses_slow_start = row.cold_ms == announcements.COLD_MS_UNKNOWN
        slow_start = allowance.Allowance(slots=row.slots, cold=uses_slow_start)
        hint = self._hints.pop(row.name, None)
        if hint and uses_slow_start and hint.incarnation == row.incarnation:
            slow_start.restore(hint.granted, is_warm=hint.is_warm)
        known_rate = self._known_rate_limits.pop(row.name, None)
        if known_rate and known_rate.incarnation == row.incarnation:
            row = row._replace(rate_per_s=known_rate.per_s)
        state = _TargetState(
            row._replace(
                allowance=slow_start.current,
                is_warm=slow_start.is_warm,
                is_leaving=self.ended_targets.is_ended(
                    row.name, row.incarnation
                ),
            ),
            slow_start,
        )
        state.renewed_at = self._clock.now()
        state.cold_until = state.renewed_at + max(0, row.cold_ms)
        self._targets[row.name] = state
        self._record_change(TargetChange(state.row, reason, is_removed=False))

    def _record_change(self, change: TargetChange) -> None:
        row = change.target
        _LOG.info(
            f'target {change.reason}',
            extra={
                'target': row.name,
                'incarnation': row.incarnation,
                'service': row.service,
                'domain': row.domain,
                'sequence': row.sequence,
                'cold_ms': row.cold_ms,
            },
        )
        self._changes.append(change)

    def _apply_ends(self, ends: dict[str, int]) -> None:
        """Marks listed targets as leaving and tells entries of all ends.

        An entry may know a target that this host does not list, such as one
        that announced itself just before this host was killed.
        """
        for name, incarnation in ends.items():
            state = self._targets.get(name)
            if state is None or state.row.is_leaving:
                continue
            if state.row.incarnation <= incarnation:
                state.renewed_at = self._clock.now()
                self._update(state, 'leaving', is_leaving=True)
        self.publish_ends(ends)

    def _update(
        self,
        state: _TargetState,
        reason: str,
        **fields: typing.Any,
    ) -> None:
        state.row = state.row._replace(**fields)
        self._record_change(TargetChange(state.row, reason, is_removed=False))


def _allowance_of(state: _TargetState) -> dict[str, typing.Any]:
    """Returns the fields of a target's row that slow start decides."""
    return {
        'allowance': state.slow_start.current,
        'is_warm': state.slow_start.is_warm,
    }


def _stale_error(name: str, got: int, expected: int) -> StaleIncarnationError:
    return StaleIncarnationError(
        f'target {name!r}: got incarnation {got}, expected {expected} or '
        'more; use a higher incarnation after each restart',
    )


def _find_no_roll_out(_row: protocol.TargetRow) -> int:
    """Returns 0; the default of `Directory.find_roll_out`."""
    return 0


def _discard(_update: typing.Any) -> None:
    """Drops an update until `Directory` is told whom to send it to."""
