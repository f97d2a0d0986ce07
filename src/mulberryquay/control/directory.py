"""The targets that announced themselves; soft state kept by leases."""

from __future__ import annotations

import logging
import typing

from mulberryquay import protocol
from mulberryquay.control import announcements, ended_targets, host_protocol
from mulberryquay.coordination import allowance, clock, errors, history

#: A target that has not renewed for this long is removed. Entries notice a
#: target that crashed at their next call, and one that leaves says so, so the
#: lease only clears what is gone for good; docs/CAPACITY.md has the cost.
TARGET_LEASE_MS: typing.Final = 45_000

#: Changes kept for watches of targets to resume from.
_WATCH_HISTORY: typing.Final = 4096

#: A smaller change of the time for which a target stays cold is no news.
_COLD_STEP_MS: typing.Final = 700

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class UnknownTargetError(errors.NotFoundError):
    """The target has not announced itself here; it has to announce."""

    code = 'unknown-target'


@typing.final
class StaleIncarnationError(errors.ConflictError):
    """A message of an earlier run of the target arrived late."""

    code = 'stale-incarnation'


class TargetChange(typing.NamedTuple):
    """One change of the directory; ``reason`` says what happened."""

    target: protocol.TargetRow
    #: announced, restarted, allowance, leaving, left or expired.
    reason: str
    is_removed: bool


class Hint(typing.NamedTuple):
    """What an entry knew of a target before a control host restarted."""

    incarnation: int
    granted: int
    is_warm: bool


@typing.final
class _Entry:
    """What the directory holds of one target."""

    def __init__(
        self,
        row: protocol.TargetRow,
        growth: allowance.Allowance,
    ) -> None:
        self.row = row
        self.growth = growth
        self.renewed_at = 0.0
        #: Until when the target said it is cold.
        self.cold_until = 0.0


@typing.final
class Directory:
    """Targets by name; every change is appended to `changes`."""

    def __init__(
        self,
        time_source: clock.Clock,
        *,
        ended: ended_targets.EndedTargets,
        lease: float = TARGET_LEASE_MS,
    ) -> None:
        """Starts empty; ``lease`` is in milliseconds."""
        self._clock = time_source
        self._lease = lease
        self._started_at = time_source.now()
        self._targets: dict[str, _Entry] = {}
        self._endings = ended
        ended.on_ended = self._note_ended
        #: Called with news for the other control hosts.
        self.publish: typing.Callable[[tuple[typing.Any, ...]], None] = _ignore
        #: Runs that renewed their leases here and nobody was told of.
        self._renewed: dict[str, int] = {}
        self._hints: dict[str, Hint] = {}
        self._changes: history.History[TargetChange] = history.History(
            size=_WATCH_HISTORY,
        )

    @property
    def changes(self) -> history.History[TargetChange]:
        """The newest changes, for watches and for entries."""
        return self._changes

    @property
    def lease(self) -> float:
        """Milliseconds for which an announcement or renewal holds."""
        return self._lease

    @property
    def is_relearning(self) -> bool:
        """Whether targets that live may still be missing after a start."""
        return self._clock.now() - self._started_at < self._lease

    def list_targets(self) -> list[protocol.TargetRow]:
        """Returns all targets, sorted by name."""
        return [
            self._row_of(self._targets[name]) for name in sorted(self._targets)
        ]

    def get(self, name: str) -> protocol.TargetRow:
        """Returns a target; raises UnknownTargetError."""
        return self._row_of(self._find(name))

    def announce(self, announcement: typing.Any) -> protocol.TargetRow:
        """Takes an announcement, also a repeated one.

        A higher incarnation than before means a restart, so the target is
        cold. Raises InvalidResourceError and StaleIncarnationError.
        """
        row = announcements.parse(announcement)
        known = self._targets.get(row.name)
        if known is not None and row.incarnation < known.row.incarnation:
            raise _stale(row.name, row.incarnation, known.row.incarnation)
        if self._endings.is_ended(row.name, row.incarnation):
            if known is None or known.row.incarnation != row.incarnation:
                raise _stale(row.name, row.incarnation, row.incarnation + 1)
        if self._take(row):
            self.publish(host_protocol.TargetLearned(list(row)))
        else:
            self._renewed[row.name] = row.incarnation
        return self.get(row.name)

    def learn(self, row: protocol.TargetRow) -> None:
        """Takes what a target said to another control host."""
        known = self._targets.get(row.name)
        if known is None:
            if self._endings.is_ended(row.name, row.incarnation):
                return
        elif row.incarnation < known.row.incarnation:
            return
        self._take(row)
        known = self._targets[row.name]
        if (
            row.cold_ms == announcements.UNTOLD
            and row.allowance > known.growth.current
        ):
            known.growth.restore(row.allowance, is_warm=row.is_warm)
            self._update_allowance(known)

    def snapshot_updates(self) -> list[host_protocol.TargetLearned]:
        """Returns all targets as news for another control host."""
        return [
            host_protocol.TargetLearned(list(row))
            for row in self.list_targets()
        ]

    def take_renewals(self, incarnations: dict[str, int]) -> None:
        """Extends leases that were renewed at another control host."""
        for name, incarnation in incarnations.items():
            known = self._targets.get(name)
            if known is not None and known.row.incarnation == incarnation:
                known.renewed_at = self._clock.now()

    def publish_renewals(self) -> None:
        """Tells the other control hosts which leases were renewed here."""
        if self._renewed:
            self.publish(host_protocol.TargetsRenewed(self._renewed))
            self._renewed = {}

    def renew(self, name: str, *, incarnation: int) -> protocol.TargetRow:
        """Extends a lease.

        Raises UnknownTargetError, after which the target announces itself
        again, and StaleIncarnationError.
        """
        self.check_run(name, incarnation)
        self._targets[name].renewed_at = self._clock.now()
        self._renewed[name] = incarnation
        return self.get(name)

    def leave(self, name: str, *, incarnation: int) -> protocol.TargetRow:
        """Marks a target as leaving: it gets no new work.

        It stays listed until its lease runs out, so that entries finish
        what it runs. Raises UnknownTargetError and StaleIncarnationError.
        """
        self.check_run(name, incarnation)
        self.end(name, incarnation=incarnation)
        return self.get(name)

    def check_run(self, name: str, incarnation: int) -> None:
        """Raises UnknownTargetError and StaleIncarnationError."""
        known = self._find(name)
        if incarnation != known.row.incarnation:
            raise _stale(name, incarnation, known.row.incarnation)

    def end(self, name: str, *, incarnation: int) -> int:
        """Gives a run no new work on any host; returns the run.

        An ``incarnation`` of 0 stands for the run that is known here, or
        for any that began before now.
        """
        if not incarnation:
            known = self._targets.get(name)
            incarnation = int(self._clock.wall())
            if known is not None:
                incarnation = known.row.incarnation
        self._endings.end(name, incarnation)
        return incarnation

    def expire(self) -> None:
        """Removes the targets whose leases ran out."""
        oldest = self._clock.now() - self._lease
        expired = [
            known
            for known in self._targets.values()
            if known.renewed_at < oldest
        ]
        for known in expired:
            row = known.row
            self._targets.pop(row.name)
            reason = 'left' if row.is_leaving else 'expired'
            self._note_change(TargetChange(row, reason, is_removed=True))

    def record_served(self, name: str, answers: int) -> None:
        """Grows a target's allowance by good answers."""
        known = self._targets.get(name)
        if known is None or known.row.cold_ms != announcements.UNTOLD:
            return
        if known.growth.record_served(answers):
            self._update_allowance(known)

    def record_shed(self, name: str, *, incarnation: int) -> None:
        """Shrinks the allowance of a target that shed or slowed down."""
        known = self._targets.get(name)
        if known is None or known.row.incarnation != incarnation:
            return
        if (
            known.row.cold_ms == announcements.UNTOLD
            and known.growth.record_shed()
        ):
            self._update_allowance(known)

    def reset_domain(self, domain: str) -> None:
        """Makes the targets of a domain cold, for when it comes back."""
        for known in self._targets.values():
            is_told = known.row.cold_ms != announcements.UNTOLD
            if is_told or known.row.domain != domain:
                continue
            if known.growth.reset_cold():
                self._update_allowance(known)

    def hint(self, name: str, known: Hint) -> None:
        """Takes what an entry knows, while targets are relearned.

        A target that announced itself before the entry came back gets its
        allowance back, too.
        """
        if not self.is_relearning:
            return
        self._hints[name] = known
        target = self._targets.get(name)
        if target is None or target.row.incarnation != known.incarnation:
            return
        is_more = known.granted > target.growth.current
        if is_more or (known.is_warm and not target.growth.is_warm):
            target.growth.restore(known.granted, is_warm=known.is_warm)
            self._update_allowance(target)

    def _find(self, name: str) -> _Entry:
        try:
            return self._targets[name]
        except KeyError:
            raise UnknownTargetError(
                f'target {name!r} is not known here; announce it again',
            ) from None

    def _take(self, row: protocol.TargetRow) -> bool:
        """Takes over what a target said; False if it said nothing new."""
        known = self._targets.get(row.name)
        if known is None:
            self._add(row, 'announced')
            return True
        if row.incarnation > known.row.incarnation:
            self._add(row, 'restarted')
            return True
        if row.sequence < known.row.sequence:
            return False
        known.renewed_at = self._clock.now()
        cold_until = known.renewed_at + max(0, row.cold_ms)
        is_changed = abs(cold_until - known.cold_until) > _COLD_STEP_MS
        if max(cold_until, known.cold_until) <= known.renewed_at:
            is_changed = False
        known.cold_until = cold_until
        is_changed = is_changed or (row.address, row.slots) != (
            known.row.address,
            known.row.slots,
        )
        known.row = known.row._replace(
            sequence=row.sequence,
            cold_ms=row.cold_ms,
            address=row.address,
            slots=row.slots,
        )
        if is_changed:
            self._update(known, 'changed')
        return is_changed

    def _add(self, row: protocol.TargetRow, reason: str) -> None:
        is_cold = row.cold_ms == announcements.UNTOLD
        growth = allowance.Allowance(slots=row.slots, cold=is_cold)
        hint = self._hints.pop(row.name, None)
        if hint and is_cold and hint.incarnation == row.incarnation:
            growth.restore(hint.granted, is_warm=hint.is_warm)
        known = _Entry(
            row._replace(
                allowance=growth.current,
                is_warm=growth.is_warm,
                is_leaving=self._endings.is_ended(row.name, row.incarnation),
            ),
            growth,
        )
        known.renewed_at = self._clock.now()
        known.cold_until = known.renewed_at + max(0, row.cold_ms)
        self._targets[row.name] = known
        self._note_change(TargetChange(known.row, reason, is_removed=False))

    def _row_of(self, known: _Entry) -> protocol.TargetRow:
        """Returns a row with the time for which the target stays cold."""
        if known.row.cold_ms <= 0:
            return known.row
        remaining = max(0, known.cold_until - self._clock.now())
        return known.row._replace(cold_ms=int(remaining))

    def _note_change(self, change: TargetChange) -> None:
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

    def _note_ended(self, name: str, incarnation: int) -> None:
        known = self._targets.get(name)
        if known is None or known.row.is_leaving:
            return
        if known.row.incarnation <= incarnation:
            known.renewed_at = self._clock.now()
            self._update(known, 'leaving', is_leaving=True)

    def _update_allowance(self, known: _Entry) -> None:
        self._update(
            known,
            'allowance',
            allowance=known.growth.current,
            is_warm=known.growth.is_warm,
        )

    def _update(
        self,
        known: _Entry,
        reason: str,
        **fields: typing.Any,
    ) -> None:
        known.row = known.row._replace(**fields)
        self._note_change(TargetChange(known.row, reason, is_removed=False))


def _stale(name: str, got: int, expected: int) -> StaleIncarnationError:
    return StaleIncarnationError(
        f'target {name!r}: got incarnation {got}, expected {expected} or '
        'more; use a higher incarnation after each restart',
    )


def _ignore(_news: tuple[typing.Any, ...]) -> None:
    """There is no other control host."""
