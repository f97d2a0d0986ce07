"""Merges what the followed control hosts send to this entry."""

from __future__ import annotations

import logging
import math
import typing

from mulberryquay import crash_messages, protocol
from mulberryquay.coordination import clock, shares, signals
from mulberryquay.entry import (
    config_replica,
    control_hosts,
    state,
    targets_view,
)

#: Shortest time between two switches to a better control host.
MIN_SWITCH_INTERVAL_MS: typing.Final = 1000.0

#: A followed host vouches for this long after each lease that it granted. Two
#: heartbeats and a round trip fit.
VOUCHED_MS: typing.Final = 1200.0

#: Interval at which calls in flight are compared with pending shares.
PENDING_CHECK_INTERVAL_MS: typing.Final = 50.0

HEARTBEAT_INTERVAL_MS: typing.Final = 500.0

#: The same while a roll-out runs, to the host that gets the reports.
ROLL_OUT_HEARTBEAT_INTERVAL_MS: typing.Final = 250.0

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ControlView:
    """The configuration, targets, entry lists and lease of this entry."""

    def __init__(
        self,
        entry_state: state.EntryState,
        hosts: control_hosts.ControlHosts,
    ) -> None:
        """Applies updates from control hosts to ``entry_state``."""
        self._state = entry_state
        self.hosts = hosts
        self.replica = config_replica.ConfigReplica(entry_state)
        self.targets = targets_view.TargetsView(entry_state.balancer.apply)
        self._lease_until = 0.0
        #: Notified when a control host sent something.
        self.changed = signals.Signal(entry_state.clock)
        self._switched_at = entry_state.clock.now()
        #: Addresses of the followed hosts in the order they were chosen.
        self._followed: list[str] = []
        #: When each of them granted its last lease.
        self._vouched_at: dict[str, float] = {}

    @property
    def next_check_in_ms(self) -> float:
        """How long the state holds if no control host sends anything."""
        if self._state.share_view.pending:
            return PENDING_CHECK_INTERVAL_MS
        if not self._state.is_fresh:
            return math.inf
        return self._lease_until - self._state.clock.now()

    @property
    def time_source(self) -> clock.Clock:
        """The entry's clock."""
        return self._state.clock

    @property
    def can_wait_for_host(self) -> bool:
        """Whether the search for a host to follow is not urgent.

        It is while no host vouches, unless all of them have failed.
        """
        return bool(self._vouching_hosts()) or self.hosts.have_all_failed

    def choose_host(self) -> str:
        """Returns the address to follow next, or an empty string if none."""
        address = self.hosts.choose(self._followed)
        if address:
            self._followed.append(address)
        return address

    def stop_following(self, address: str, *, is_failure: bool) -> None:
        """Ends following a host; after a failure it is avoided for a while."""
        self._followed.remove(address)
        self._vouched_at.pop(address, None)
        if is_failure:
            self.hosts.avoid(address)

    def should_switch(self, address: str) -> bool:
        """Whether to leave a host for a better one now.

        This needs another followed host that vouches. True counts as a
        switch, so that the next one waits for the interval.
        """
        others = [other for other in self._vouching_hosts() if other != address]
        if not others or not self._state.is_fresh:
            return False
        now = self._state.clock.now()
        if (
            now - self._switched_at < MIN_SWITCH_INTERVAL_MS
            or self.hosts.is_best(
                address,
                others,
            )
        ):
            return False
        self._switched_at = now
        return True

    def record_stream_end(
        self, address: str, *, received: int, sent: int
    ) -> None:
        """Removes the host's target list and counts the stream's bytes."""
        self.targets.remove_source(address)
        count = self._state.metrics.count
        count('mulberryquay_control_bytes_total', 'in', amount=received)
        count('mulberryquay_control_bytes_total', 'out', amount=sent)

    def update_targets(
        self,
        source: str,
        message: protocol.TargetsChanged | protocol.TargetsEnded,
    ) -> None:
        """Applies what a control host told of targets."""
        if isinstance(message, protocol.TargetsEnded):
            _LOG.info(
                'ends of targets received',
                extra={
                    'host': source,
                    'ends': len(message.incarnations),
                    'target': next(iter(message.incarnations), ''),
                    'control_age_ms': self._state.control_age.milliseconds,
                },
            )
        self.targets.receive(source, message)

    def propose_entries(self, entries: shares.EntryList) -> None:
        """Applies an entry list that waits for confirmations."""
        self._state.share_view.propose(entries)
        self._state.balancer.refresh_limits()

    def commit_entries(self, entries: shares.EntryList) -> None:
        """Applies an entry list that all entries confirmed."""
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
        """Sets the entries that accept relayed requests."""
        self._state.relays.update_peers(peers)
        self._state.share_view.update_regions(
            {name: region for name, region, *_ in peers}
        )
        self._state.share_view.update_domains(
            {name: domain for name, _region, domain, _address in peers}
        )
        self._state.balancer.refresh_limits()

    def receive_permits(self, answer: protocol.PermitsDecided) -> None:
        """Applies a decision on permits of a client account."""
        self._state.leased_rates.receive(answer)

    def apply_verdict(
        self,
        verdict: crash_messages.RequestBlocked
        | crash_messages.RequestSuspected,
    ) -> None:
        """Applies what control hosts decided of a request."""
        fingerprint, duration = verdict
        guard = self._state.crashes.guard
        match verdict:
            case crash_messages.RequestSuspected():
                guard.suspect(fingerprint, duration=duration)
            case crash_messages.RequestBlocked(duration_ms=0):
                guard.clear(fingerprint)
            case crash_messages.RequestBlocked():
                guard.block(fingerprint, duration=duration)
        # Control hosts log suspicions, once for all entries.
        level = logging.WARNING
        if isinstance(verdict, crash_messages.RequestSuspected):
            level = logging.DEBUG
        _LOG.log(
            level,
            f'request {guard.verdict_of(fingerprint).value}',
            extra={'fingerprint': fingerprint.hex(), 'for_ms': duration},
        )

    def known_verdicts(
        self,
    ) -> list[crash_messages.RequestBlocked | crash_messages.RequestSuspected]:
        """Returns what a control host that has started does not know."""
        return [
            crash_messages.of_standing(standing)
            for standing in self._state.crashes.guard.standings
        ]

    def confirmable_versions(self) -> tuple[int, int]:
        """Returns the revision and the entry list epoch to confirm now.

        The pending list is confirmed only once the calls in flight fit it.
        """
        view = self._state.share_view
        epoch = view.committed.epoch
        pending = view.pending
        if pending and self._state.balancer.fits_pending_shares():
            epoch = pending.epoch
        return self.replica.revision, epoch

    def pop_target_reports(
        self,
        address: str,
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Returns the target reports for a control host and resets them.

        They go only to the host that was chosen first, which forwards them.
        """
        if not self._is_first(address):
            return {}, {}
        return self._state.balancer.pop_target_reports()

    def heartbeat_interval(self, address: str) -> float:
        """Returns the ms between two heartbeats to a control host."""
        if self._state.version_reports.is_active and self._is_first(address):
            return ROLL_OUT_HEARTBEAT_INTERVAL_MS
        return HEARTBEAT_INTERVAL_MS

    def pop_version_reports(self, address: str) -> list[list[typing.Any]]:
        """Returns answers by version for a control host and resets them."""
        if not self._is_first(address):
            return []
        return self._state.version_reports.pop()

    def rate_limit_reports(self) -> dict[str, protocol.RateLimitReport]:
        """Returns the rate limits that control hosts have to learn, by name."""
        return self._state.balancer.rate_limit_reports()

    def restore_target_reports(
        self, served: dict[str, int], shed: dict[str, int]
    ) -> None:
        """Takes back reports that could not be sent."""
        self._state.balancer.restore_target_reports(served, shed)

    def renew_lease(
        self, address: str, sent_at: float, duration: float
    ) -> None:
        """Extends the freshness lease that a control host granted.

        It counts from ``sent_at``, when the heartbeat was sent.
        """
        self._vouched_at[address] = self._state.clock.now()
        self._state.control_age.record(sent_at)
        self._lease_until = max(self._lease_until, sent_at + duration)
        self.update_freshness()

    def update_freshness(self) -> None:
        """Updates whether the freshness lease holds and logs a change."""
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

    def _vouching_hosts(self) -> list[str]:
        """Returns the followed hosts that granted a lease recently."""
        oldest = self._state.clock.now() - VOUCHED_MS
        return [
            address
            for address in self._followed
            if self._vouched_at.get(address, -math.inf) >= oldest
        ]

    def _is_first(self, address: str) -> bool:
        """Whether a host gets reports, which it forwards to the others."""
        return not self._followed or self._followed[0] == address
