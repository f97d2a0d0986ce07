"""What the control hosts told this entry, merged over those it follows."""

from __future__ import annotations

import logging
import typing

from mulberryquay.coordination import clock, shares
from mulberryquay.entry import (
    config_replica,
    control_hosts,
    state,
    targets_view,
)

#: An entry leaves a host for a nearer one this often at the most.
MOVE_MS: typing.Final = 1000.0

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ControlView:
    """Configuration, targets, entry lists and for how long they hold."""

    def __init__(
        self,
        entry_state: state.EntryState,
        hosts: control_hosts.ControlHosts,
    ) -> None:
        """Puts what it learns in force in ``shared``."""
        self._state = entry_state
        self.hosts = hosts
        self.replica = config_replica.ConfigReplica(entry_state)
        self.targets = targets_view.TargetsView(entry_state.balancer.apply)
        self._lease_until = 0.0
        self._moved_at = entry_state.clock.now()
        #: Hosts that are followed, in the order they were chosen.
        self._followed: list[str] = []

    @property
    def time_source(self) -> clock.Clock:
        """The entry's clock."""
        return self._state.clock

    def choose_host(self) -> str:
        """Returns the host to follow next, empty if there is none."""
        address = self.hosts.choose(self._followed)
        if address:
            self._followed.append(address)
        return address

    def leave_host(self, address: str, *, is_useless: bool) -> None:
        """Takes the end of a host that was chosen."""
        self._followed.remove(address)
        if is_useless:
            self.hosts.avoid(address)

    def should_move(self, address: str) -> bool:
        """Whether a host had better be left for a nearer one.

        Only while another one is followed, and one at a time.
        """
        others = [other for other in self._followed if other != address]
        if not others or not self._state.is_fresh:
            return False
        now = self._state.clock.now()
        if now - self._moved_at < MOVE_MS or self.hosts.is_best(
            address,
            others,
        ):
            return False
        self._moved_at = now
        return True

    def end_stream(self, address: str, *, received: int, sent: int) -> None:
        """Counts the bytes of a stream that ended."""
        self.targets.drop(address)
        count = self._state.metrics.count
        count('mulberryquay_control_bytes_total', 'in', amount=received)
        count('mulberryquay_control_bytes_total', 'out', amount=sent)

    def propose(self, entries: shares.EntryList) -> None:
        """Takes an entry list that waits for confirmations."""
        self._state.share_view.propose(entries)
        self._state.balancer.refresh_limits()

    def commit(self, entries: shares.EntryList) -> None:
        """Takes an entry list that all entries confirmed."""
        if entries.epoch > self._state.share_view.committed.epoch:
            _LOG.info(
                'entry list in force',
                extra={
                    'epoch': entries.epoch,
                    'members': len(entries.members),
                },
            )
        self._state.share_view.commit(entries)
        self._state.balancer.refresh_limits()

    def update_peers(self, peers: typing.Any) -> None:
        """Takes the entries that accept relayed requests."""
        self._state.relays.update_peers(peers)

    def block(self, fingerprint: bytes, duration: float) -> None:
        """Refuses a request that breaks targets for a while."""
        _LOG.warning(
            'request blocked',
            extra={'fingerprint': fingerprint.hex(), 'for_ms': duration},
        )
        self._state.guard.block(fingerprint, duration=duration)

    def confirmable(self) -> tuple[int, int]:
        """Returns the revision and the epoch that may be confirmed now."""
        view = self._state.share_view
        epoch = view.committed.epoch
        pending = view.pending
        if pending and self._state.balancer.fits_pending_shares():
            epoch = pending.epoch
        return self.replica.revision, epoch

    def collect_reports(
        self,
        address: str,
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Returns what one control host should know of targets.

        Only the host that was chosen first is told; it tells the others.
        """
        if self._followed and self._followed[0] != address:
            return {}, {}
        return self._state.balancer.collect_reports()

    def renew_lease(self, until: float) -> None:
        """Takes a control host's word that all this is the newest."""
        self._lease_until = max(self._lease_until, until)
        self.update_freshness()

    def update_freshness(self) -> None:
        """Looks whether some control host's word still holds."""
        entry_state = self._state
        is_fresh = entry_state.clock.now() < self._lease_until
        is_fresh = is_fresh and self.replica.is_complete
        if is_fresh == entry_state.is_fresh:
            return
        entry_state.is_fresh = is_fresh
        entry_state.balancer.set_fresh(is_fresh=is_fresh)
        _LOG.warning(
            'configuration is fresh' if is_fresh else 'lease ran out',
            extra={'revision': self.replica.revision},
        )
