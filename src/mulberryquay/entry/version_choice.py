"""Divides the requests to a service between two versions of its targets."""

from __future__ import annotations

import random
import typing

from mulberryquay.decisions import roll_outs, version_shares
from mulberryquay.entry import routing, targets

#: Interval at which the targets of the new version that get its share are
#: chosen anew.
_TRIAL_TARGETS_INTERVAL_MS: typing.Final = 200.0

_Targets = typing.Sequence[targets.TargetState]


@typing.final
class VersionChoice:
    """The versions of one service while a roll-out of it runs."""

    def __init__(
        self,
        known: dict[str, targets.TargetState],
        rng: random.Random,
    ) -> None:
        """``known`` are the targets of the service; it may change."""
        self._known = known
        self._roll_out = routing.NO_ROLL_OUT
        self._is_fresh = False
        self._share = version_shares.VersionShare(0, rng.random())
        self._trial_names: frozenset[str] = frozenset()
        self._old_names: frozenset[str] = frozenset()
        self._next_update_at = 0.0

    def update(self, roll_out: routing.RollOut, *, is_fresh: bool) -> None:
        """Sets the stage, and whether it is known to be the newest one."""
        self._roll_out = roll_out
        self._is_fresh = is_fresh
        self._share.share = roll_out.share if is_fresh else 0
        self._next_update_at = 0.0

    def count_request(self) -> None:
        """Counts a request to the service."""
        self._share.count_request()

    def narrow(
        self, candidates: _Targets, now: float, *, is_retry: bool
    ) -> list[targets.TargetState]:
        """Returns the candidates of the version that may get a request.

        Retries go to the old version. The new one also gets what the old one
        has no targets for.
        """
        if now >= self._next_update_at:
            self._update_targets(now)
        if not self._old_names:
            return list(candidates)
        if self._share.owes_new and self._is_fresh and not is_retry:
            new = [
                target
                for target in candidates
                if target.row.name in self._trial_names
            ]
            if new:
                return new
        return [
            target
            for target in candidates
            if target.row.version != self._roll_out.version
        ]

    def may_get(self, target: targets.TargetState) -> bool:
        """Whether a target may get the next request, if it has capacity."""
        if target.row.version != self._roll_out.version:
            return True
        return self._share.owes_new or not self._old_names

    def record_sent(self, target: targets.TargetState) -> None:
        """Records which target a request goes to."""
        if target.row.version == self._roll_out.version:
            self._share.record_sent()

    def _update_targets(self, now: float) -> None:
        self._next_update_at = now + _TRIAL_TARGETS_INTERVAL_MS
        version = self._roll_out.version
        usable = [target for target in self._known.values() if target.limit]
        if not self._is_fresh:
            # Nobody tells this entry when the old version stops for good.
            usable = [
                target for target in usable if target.suspended_until <= now
            ]
        old_names = {
            target.row.name
            for target in usable
            if target.row.version != version
        }
        new = [target for target in usable if target.row.version == version]
        warm = [target for target in new if target.cold_until <= now]
        names_by_domain: dict[str, list[str]] = {}
        for target in warm or new:
            names = names_by_domain.setdefault(target.row.domain, [])
            names.append(target.row.name)
        self._old_names = frozenset(old_names)
        self._trial_names = roll_outs.trial_targets(
            names_by_domain, self._share.share, len(old_names)
        )


def for_roll_out(
    roll_out: routing.RollOut,
    current: VersionChoice | None,
    known: dict[str, targets.TargetState],
    rng: random.Random,
) -> VersionChoice | None:
    """Returns the choice between versions, None while no roll-out runs."""
    if not roll_out.is_running:
        return None
    return current or VersionChoice(known, rng)
