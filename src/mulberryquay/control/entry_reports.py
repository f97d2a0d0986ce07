"""Reports to the leader which entries are connected and what they confirmed."""

from __future__ import annotations

import logging
import typing

import gevent

from mulberryquay.control import host_protocol, membership
from mulberryquay.coordination import clock, rpc, signals
from mulberryquay.coordination.replication import replica

#: Without changes, live entries are reported to the leader this often.
REPORT_INTERVAL_MS: typing.Final = 1800.0

#: An entry without a heartbeat for this long is not reported as alive.
_HEARTBEAT_TIMEOUT_MS: typing.Final = 2000.0
_CALL_TIMEOUT_MS: typing.Final = 900.0

#: Pause after a failed report, and between checks for another leader.
_RETRY_DELAY_MS: typing.Final = 200.0

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class _ConnectedEntry:
    """One entry that is connected to this host."""

    def __init__(self) -> None:
        self.row: membership.EntryRow | None = None
        self.heartbeat_at = 0.0


@typing.final
class EntryReports:
    """The entries connected to this host and the task that reports them."""

    def __init__(
        self,
        entries: membership.Membership,
        host_replica: replica.Replica,
        network: rpc.Clients,
        time_source: clock.Clock,
    ) -> None:
        """Reports to the leader of the hosts, unless this host leads."""
        self._membership = entries
        self._replica = host_replica
        self._network = network
        self._clock = time_source
        self._connected: dict[str, _ConnectedEntry] = {}
        #: When entries left that are still to be reported.
        self._left: dict[str, float] = {}
        self._changed: set[str] = set()
        self._reported_to = ''
        self._report_due = signals.Signal(time_source)
        self._task: gevent.Greenlet | None = None

    @property
    def known_count(self) -> int:
        """How many entries this host remembers."""
        return len(self._connected) + len(self._left)

    def start(self) -> None:
        """Starts the task that reports."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.kill()

    def record(self, row: membership.EntryRow) -> None:
        """Records the current row of a connected entry."""
        connected = self._connected.setdefault(row.name, _ConnectedEntry())
        connected.heartbeat_at = self._clock.now()
        self._left.pop(row.name, None)
        if connected.row != row:
            connected.row = row
            self._changed.add(row.name)
            self._report_due.notify()
        self._membership.observe(row)

    def record_left(self, name: str) -> None:
        """Records that an entry has left."""
        self._connected.pop(name, None)
        self._changed.discard(name)
        self._left[name] = self._clock.now()
        self._report_due.notify()
        self._membership.remove(name)

    def handle_report(
        self,
        report: host_protocol.EntriesReported,
    ) -> host_protocol.EntriesReportAck:
        """Applies another host's report to the membership."""
        for row in report.changed:
            self._membership.observe(membership.EntryRow(*row))
        self._membership.renew_leases(report.alive)
        for name in report.left:
            self._membership.remove(name)
        return host_protocol.EntriesReportAck(self._replica.is_leader)

    def _run(self) -> None:
        while True:
            self._forget_silent()
            address = self._replica.leader_address
            is_leader_remote = bool(address) and not self._replica.is_leader
            if is_leader_remote and not self._report(address):
                self._reported_to = ''
                self._clock.sleep(_RETRY_DELAY_MS)
                continue
            if not is_leader_remote:
                self._reported_to = ''
            if not (self._changed and is_leader_remote):
                self._report_due.wait(
                    REPORT_INTERVAL_MS if is_leader_remote else _RETRY_DELAY_MS
                )

    def _forget_silent(self) -> None:
        """Forgets entries whose leases have run out wherever they are known.

        One that left may be back at another host, so later reports must not
        name it.
        """
        oldest = self._clock.now() - membership.ENTRY_LEASE_MS
        self._left = {
            name: left_at
            for name, left_at in self._left.items()
            if left_at >= oldest
        }
        silent = [
            name
            for name, connected in self._connected.items()
            if connected.heartbeat_at < oldest
        ]
        for name in silent:
            self._connected.pop(name)
            self._changed.discard(name)

    def _report(self, address: str) -> bool:
        """Sends a report; False if the host did not answer or is no leader."""
        oldest = self._clock.now() - _HEARTBEAT_TIMEOUT_MS
        alive = {
            name: connected.row
            for name, connected in self._connected.items()
            if connected.heartbeat_at >= oldest and connected.row is not None
        }
        changed = self._changed if self._reported_to == address else set(alive)
        self._changed = set()
        left = self._left
        self._left = {}
        report = host_protocol.EntriesReported(
            [list(alive[name]) for name in changed if name in alive],
            list(alive),
            list(left),
        )
        try:
            answer = self._network.call(
                address, report, timeout=_CALL_TIMEOUT_MS
            )
        except rpc.CallFailedError as error:
            _LOG.debug('report to leader failed', extra={'cause': str(error)})
            for name, left_at in left.items():
                if name not in self._connected:
                    self._left.setdefault(name, left_at)
            return False
        self._reported_to = address
        return bool(answer.is_leader)
