"""Streams configuration, targets and entry lists to connected entries."""

from __future__ import annotations

import functools
import logging
import typing

import gevent
from gevent import queue, server

from mulberryquay import crash_messages, protocol
from mulberryquay.control import (
    directory,
    entry_queues,
    feed_messages,
    host_protocol,
    kinds,
    membership,
    target_reports,
)
from mulberryquay.coordination import (
    clock,
    errors,
    history,
    shares,
    store,
    stream_load,
    wire,
)
from mulberryquay.decisions import permits

#: How long an entry may act on its state, counted from when it sent the last
#: heartbeat that was answered.
FRESHNESS_LEASE_MS: typing.Final = 3000

_EXPIRY_INTERVAL_MS: typing.Final = 250

#: For this long after its start, a host is expected to find a leader.
_START_MS: typing.Final = 3000.0

#: Interval at which this host checks whether it may still grant leases.
_CONTACT_CHECK_INTERVAL_MS: typing.Final = 100.0
_WATCH_TIMEOUT_MS: typing.Final = 10_000
#: A stream without a message for this long is closed; heartbeats are much
#: more frequent.
_STREAM_TIMEOUT_MS: typing.Final = 6000

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class NotInTouchError(errors.MulberryquayError):
    """This control host has no contact with the majority now."""

    code = 'not-in-touch'
    http_status = 503


@typing.final
class Feed:
    """Accepts the streams of entries, with a reader and a writer task each."""

    def __init__(
        self,
        resources: store.Store,
        targets: directory.Directory,
        entries: membership.Membership,
        time_source: clock.Clock,
        group: feed_messages.HostGroup,
    ) -> None:
        """Serves the given state; call `start` to accept entries."""
        self._store = resources
        self._directory = targets
        self._membership = entries
        self._clock = time_source
        self._started_at = time_source.now()
        self._group = group
        #: Applies what entries report of targets.
        self.target_reports = target_reports.TargetReports(
            targets, time_source, self._send_verdict, group.publish
        )
        self._queues = entry_queues.EntryQueues()
        targets.publish_ends = self._send_ends
        self._rows: dict[str, membership.EntryRow] = {}
        self._sent_committed = shares.EntryList(0, ())
        self._sent_pending: shares.EntryList | None = None
        self._sent_hosts: list[list[str]] = []
        self._tasks: list[gevent.Greenlet] = []
        self._load = stream_load.StreamLoad('feed', stream_load.UNLIMITED)
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def limits_met(self) -> int:
        """How often a limit of the streams of entries was met."""
        return self._load.limits_met

    @property
    def _lease_ms(self) -> int:
        return FRESHNESS_LEASE_MS if self._group.is_in_touch else 0

    def start(
        self,
        listener: typing.Any,
        limits: stream_load.Limits = stream_load.UNLIMITED,
    ) -> None:
        """Accepts entries on ``listener``, a listening gevent socket.

        ``limits`` are for the streams of all entries.
        """
        self._load = stream_load.StreamLoad('feed', limits)
        self._server = server.StreamServer(listener, self._serve)
        self._server.start()
        self.start_tasks()

    def start_tasks(self) -> None:
        """Starts to send changes to the entries."""
        self._tasks = [
            gevent.spawn(self._send_config_changes),
            gevent.spawn(self._send_target_changes),
            gevent.spawn(self._expire),
            gevent.spawn(self._watch_contact),
        ]

    def stop(self) -> None:
        """Closes all streams."""
        gevent.killall(self._tasks)
        self._server.stop(timeout=0)
        self._load.close_all()

    def serve_stream(self, stream: wire.Stream) -> None:
        """Serves an entry until its stream ends."""
        stream.set_timeout(_STREAM_TIMEOUT_MS)
        outbound: queue.Queue = entry_queues.new_queue()
        entry = ''
        writer = gevent.spawn(self._write, stream, outbound)
        try:
            entry = self._accept_hello(stream.receive(), outbound)
            self._read(entry, stream, outbound)
        except errors.MulberryquayError as error:
            _LOG.info(
                'entry stream closed',
                extra={'entry': entry, 'code': error.code},
            )
        finally:
            writer.kill()
            self._close_stream(entry, stream, outbound)

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        with self._load.serving(connection, protocol.CODEC) as served:
            if served is not None:
                self.serve_stream(served.messages)

    def _close_stream(
        self,
        entry: str,
        stream: wire.Stream,
        outbound: queue.Queue,
    ) -> None:
        if self._queues.disconnect(entry, outbound):
            self._rows.pop(entry, None)
        stream.close()
        self.bytes_received += stream.bytes_received
        self.bytes_sent += stream.bytes_sent

    def _accept_hello(self, message: typing.Any, outbound: queue.Queue) -> str:
        hello = wire.check_hello(
            message,
            protocol.Hello,
            version=protocol.PROTOCOL_VERSION,
            oldest_version=protocol.OLDEST_ENTRY_VERSION,
        )
        wire.check_texts(hello)
        is_current = hello.protocol_version == protocol.PROTOCOL_VERSION
        if self._needs_uncertain_state(hello):
            self._enqueue_state(outbound, is_current=is_current)
        elif self._must_refuse(hello):
            # Another host may be; the entry should not wait for this one.
            raise NotInTouchError('no contact with the majority')
        self._group.wait_until_current()
        self.target_reports.restore(hello)
        self._enqueue_state(outbound, is_current=is_current)
        self._queues.connect(hello.entry, outbound, is_current=is_current)
        self._rows[hello.entry] = membership.EntryRow(
            hello.entry,
            hello.region,
            hello.domain,
            hello.admin_address,
            hello.peer_address,
            config_revision=0,
            entries_epoch=0,
            is_leaving=False,
        )
        self._group.reports.record(self._rows[hello.entry])
        _LOG.info('entry joined', extra={'entry': hello.entry})
        self.send_entry_list()
        return hello.entry

    def _needs_uncertain_state(self, hello: protocol.Hello) -> bool:
        """Whether to send state that may be out of date to an entry.

        While this host may have no leader, an entry without configuration
        gets the state committed as far as this host knows, but no freshness
        lease. The entry's setting ``stale_config`` decides whether it serves
        with that state.
        """
        is_empty = not hello.config_revision and self._store.revision > 0
        return is_empty and not self._group.is_in_touch

    def _must_refuse(self, hello: protocol.Hello) -> bool:
        """Whether another host may have the contact that this one has lost.

        An entry without configuration waits here, as does any while this host
        starts: all of them may have lost power.
        """
        if not hello.config_revision or self._group.is_in_touch:
            return False
        return self._clock.now() - self._started_at > _START_MS

    def _enqueue_state(
        self, outbound: queue.Queue, *, is_current: bool
    ) -> None:
        outbound.put_nowait(
            protocol.ControlHosts(self._group.list_hosts()),
        )
        for verdict in self.target_reports.verdicts(is_current=is_current):
            outbound.put_nowait(verdict)
        self._enqueue_config(outbound)
        for message in feed_messages.target_state(
            self._directory, is_current=is_current
        ):
            outbound.put_nowait(message)
        outbound.put_nowait(
            feed_messages.entries_committed(self._membership.committed)
        )
        pending = self._membership.pending
        if pending is not None:
            outbound.put_nowait(feed_messages.entries_proposed(pending))
        outbound.put_nowait(feed_messages.peers_changed(self._membership.state))

    def _enqueue_config(self, outbound: queue.Queue) -> None:
        revision = self._store.revision
        resources = [list(row) for row in self._store.list_all()]
        for start in range(0, max(1, len(resources)), feed_messages.SLICE_SIZE):
            end = start + feed_messages.SLICE_SIZE
            outbound.put_nowait(
                protocol.ConfigSlice(
                    revision,
                    resources[start:end],
                    is_last=end >= len(resources),
                ),
            )

    def _read(
        self,
        entry: str,
        stream: wire.Stream,
        outbound: queue.Queue,
    ) -> None:
        while True:
            message = stream.receive()
            wire.check_texts(message)
            match message:
                case protocol.Heartbeat():
                    self._handle_heartbeat(entry, message)
                    outbound.put_nowait(
                        protocol.HeartbeatAnswer(
                            message.sequence, self._lease_ms
                        ),
                    )
                case (
                    crash_messages.ConnectionLost()
                    | crash_messages.RequestCleared()
                    | crash_messages.RequestBlocked()
                    | crash_messages.RequestSuspected()
                ):
                    self.target_reports.receive(message)
                case protocol.PermitsAsked(number, account, count):
                    self._group.permits.ask(
                        account,
                        count,
                        functools.partial(_send_decision, outbound, number),
                    )
                case protocol.EntryLeaving():
                    self._update_entry(entry, is_leaving=True)
                case protocol.EntryLeft():
                    self._group.reports.record_left(entry)
                    self.send_entry_list()
                    return
                case _:
                    raise wire.ProtocolError(
                        f'unexpected message {type(message).__name__} '
                        'from an entry',
                    )

    def _handle_heartbeat(
        self, entry: str, heartbeat: protocol.Heartbeat
    ) -> None:
        report = host_protocol.TargetsReported(
            heartbeat.served, heartbeat.shed, heartbeat.rate_limits
        )
        if any(report):
            self.target_reports.apply(report)
            self._group.publish(report)
        if heartbeat.versions:
            self._group.roll_outs.record(heartbeat.versions)
        self._update_entry(
            entry,
            config_revision=heartbeat.config_revision,
            entries_epoch=heartbeat.entries_epoch,
        )

    def _update_entry(self, entry: str, **fields: typing.Any) -> None:
        row = self._rows.get(entry)
        if row is None:
            return
        self._rows[entry] = row._replace(**fields)
        self._group.reports.record(self._rows[entry])
        self.send_entry_list()

    def _send_verdict(self, verdict: target_reports.Verdict) -> None:
        if isinstance(verdict, crash_messages.RequestSuspected):
            self._queues.send_to_current(verdict)
        else:
            self._queues.send_to_all(verdict)

    def _write(self, stream: wire.Stream, outbound: queue.Queue) -> None:
        while True:
            message = outbound.get()
            try:
                stream.send(message)
            except wire.StreamClosedError:
                # An entry that left may have said so just before.
                stream.stop_waiting()
                return

    def _send_ends(self, ends: dict[str, int]) -> None:
        name, incarnation = next(iter(ends.items()), ('', 0))
        _LOG.info(
            'targets ended',
            extra={
                'ends': len(ends),
                'target': name,
                'incarnation': incarnation,
                'entries': self._queues.count,
                'in_touch': self._group.is_in_touch,
            },
        )
        for message in feed_messages.targets_ended(ends):
            self._queues.send_to_current(message)

    def send_entry_list(self) -> None:
        """Sends each entry list that has changed to all connected entries."""
        pending = self._membership.pending
        if pending is not None and pending != self._sent_pending:
            self._sent_pending = pending
            self._queues.send_to_all(
                feed_messages.entries_proposed(pending),
            )
            self._queues.send_to_all(
                feed_messages.peers_changed(self._membership.state)
            )
        committed = self._membership.committed
        if committed != self._sent_committed:
            self._sent_committed = committed
            self._queues.send_to_all(
                feed_messages.entries_committed(committed),
            )

    def _send_config_changes(self) -> None:
        sent = self._store.revision
        while True:
            self._store.changes.wait(sent, timeout=_WATCH_TIMEOUT_MS)
            try:
                changes = self._store.changes.since(sent)
            except history.RevisionCompactedError:
                # A snapshot from the leader replaced the whole state.
                for outbound in self._queues.all_queues():
                    self._enqueue_config(outbound)
                sent = self._store.revision
                continue
            if changes:
                rows = [list(change) for change in changes]
                self._queues.send_to_all(protocol.ConfigDelta(rows))
                sent = changes[-1].revision
            for change in changes:
                self._reset_domain_if_out(change)

    def _reset_domain_if_out(self, change: store.Resource) -> None:
        """Resets targets to cold if their domain was taken out of service."""
        if change.kind != kinds.FAILURE_DOMAIN or change.spec is None:
            return
        if change.spec['state'] == kinds.STATE_OUT:
            self._directory.reset_domain(change.name)

    def _send_target_changes(self) -> None:
        sent = self._directory.changes.revision
        while True:
            self._directory.changes.wait(sent, timeout=_WATCH_TIMEOUT_MS)
            changes = self._directory.changes.since(sent)
            sent += len(changes)
            newest = {change.target.name: change for change in changes}
            if newest:
                self._queues.send_to_all(
                    feed_messages.targets_changed(newest.values())
                )

    def _expire(self) -> None:
        was_relearning = self._directory.is_relearning
        while True:
            self._clock.sleep(_EXPIRY_INTERVAL_MS)
            self._directory.expire()
            self._directory.publish_renewals_if_due()
            self._send_host_changes()
            for entry in self._membership.expire():
                _LOG.warning('entry lease ran out', extra={'entry': entry})
            self.send_entry_list()
            if was_relearning and not self._directory.is_relearning:
                was_relearning = False
                self._broadcast_all_targets()

    def _watch_contact(self) -> None:
        """Tells entries at once when this host loses or regains contact."""
        was_in_touch = False
        while True:
            is_in_touch = self._group.is_in_touch
            if is_in_touch != was_in_touch:
                was_in_touch = is_in_touch
                _LOG.warning(
                    'in touch' if is_in_touch else 'out of touch',
                    extra={'entries': self._queues.count},
                )
                self._queues.send_to_all(
                    protocol.HeartbeatAnswer(
                        protocol.NO_HEARTBEAT, self._lease_ms
                    )
                )
            self._clock.sleep(_CONTACT_CHECK_INTERVAL_MS)

    def _send_host_changes(self) -> None:
        hosts = self._group.list_hosts()
        if hosts != self._sent_hosts:
            self._sent_hosts = hosts
            self._queues.send_to_all(protocol.ControlHosts(hosts))

    def _broadcast_all_targets(self) -> None:
        rows = [list(row) for row in self._directory.list_targets()]
        self._queues.send_to_all(
            protocol.TargetsChanged(rows, [], is_complete=True),
        )


def _send_decision(
    outbound: queue.Queue, number: int, decision: permits.Decision
) -> None:
    """Sends the answer to an entry's question, unless the entry lags."""
    try:
        outbound.put_nowait(protocol.PermitsDecided(number, list(decision)))
    except queue.Full:
        _LOG.debug('decision on permits not sent')
