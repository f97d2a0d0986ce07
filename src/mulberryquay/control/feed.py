"""Serves each connected entry the configuration, targets and entry list."""

from __future__ import annotations

import logging
import typing

import gevent
from gevent import queue, server

from mulberryquay import protocol
from mulberryquay.control import directory, kinds, membership
from mulberryquay.coordination import (
    clock,
    crash_guard,
    shares,
    store,
    wire,
)

#: How long an entry may act on what it knows after a beat was answered.
FRESHNESS_LEASE_MS: typing.Final = 3000

#: Resources in one slice, so that a large state does not hold an entry.
SLICE_SIZE: typing.Final = 200

#: Messages queued for an entry before it has to connect again.
_MAX_QUEUED: typing.Final = 10_000

_EXPIRY_INTERVAL_MS: typing.Final = 250
_WATCH_TIMEOUT_MS: typing.Final = 10_000
#: A stream without a message for this long is dead; beats come far oftener.
_SILENCE_MS: typing.Final = 6000

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class Feed:
    """Accepts the streams of entries; one reader and writer task each."""

    def __init__(
        self,
        resources: store.Store,
        targets: directory.Directory,
        entries: membership.Membership,
        time: clock.Clock,
    ) -> None:
        """Serves the given state; call `start` to accept entries."""
        self._store = resources
        self._directory = targets
        self._membership = entries
        self._guard = crash_guard.CrashGuard(time)
        self._queues: dict[str, queue.Queue] = {}
        self._sent_committed = shares.EntryList(0, ())
        self._sent_pending: shares.EntryList | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._streams: set[wire.Stream] = set()
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def guard(self) -> crash_guard.CrashGuard:
        """The breakages that all entries reported."""
        return self._guard

    def start(self, listener: typing.Any) -> None:
        """Accepts entries on ``listener``, a listening gevent socket."""
        self._server = server.StreamServer(listener, self._serve)
        self._server.start()
        self._tasks = [
            gevent.spawn(self._send_config_changes),
            gevent.spawn(self._send_target_changes),
            gevent.spawn(self._expire),
        ]

    def stop(self) -> None:
        """Closes all streams."""
        gevent.killall(self._tasks)
        self._server.stop(timeout=0)
        for stream in list(self._streams):
            stream.close()

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        stream = wire.Stream(connection, protocol.WORDS)
        stream.set_timeout(_SILENCE_MS)
        self._streams.add(stream)
        outbound: queue.Queue = queue.Queue(maxsize=_MAX_QUEUED)
        entry = ''
        writer = gevent.spawn(self._write, stream, outbound)
        try:
            entry = self._welcome(stream.receive(), outbound)
            self._read(entry, stream, outbound)
        except (wire.StreamClosedError, wire.ProtocolError) as error:
            _LOG.info(
                'entry stream closed',
                extra={'entry': entry, 'code': error.code},
            )
        finally:
            writer.kill()
            self._end(entry, stream, outbound)

    def _end(
        self,
        entry: str,
        stream: wire.Stream,
        outbound: queue.Queue,
    ) -> None:
        if self._queues.get(entry) is outbound:
            self._queues.pop(entry)
        stream.close()
        self._streams.discard(stream)
        self.bytes_received += stream.bytes_received
        self.bytes_sent += stream.bytes_sent

    def _welcome(self, message: typing.Any, outbound: queue.Queue) -> str:
        hello = wire.check_hello(
            message,
            protocol.Hello,
            version=protocol.PROTOCOL_VERSION,
        )
        for name, incarnation, granted, is_warm in hello.known_targets:
            hint = directory.Hint(incarnation, granted, is_warm)
            self._directory.hint(name, hint)
        self._enqueue_state(outbound)
        self._queues[hello.entry] = outbound
        status = membership.EntryStatus(
            region=hello.region,
            domain=hello.domain,
            admin=hello.admin_address,
            peer=hello.peer_address,
        )
        self._membership.join(hello.entry, status)
        _LOG.info('entry joined', extra={'entry': hello.entry})
        self._send_entry_list()
        return hello.entry

    def _enqueue_state(self, outbound: queue.Queue) -> None:
        revision = self._store.revision
        resources = [list(row) for row in self._store.list_all()]
        for start in range(0, max(1, len(resources)), SLICE_SIZE):
            end = start + SLICE_SIZE
            outbound.put_nowait(
                protocol.ConfigSlice(
                    revision,
                    resources[start:end],
                    is_last=end >= len(resources),
                ),
            )
        outbound.put_nowait(
            protocol.TargetsChanged(
                [list(row) for row in self._directory.list_targets()],
                [],
                is_complete=not self._directory.is_relearning,
            ),
        )
        committed = self._membership.committed
        outbound.put_nowait(
            _committed_message(committed),
        )
        pending = self._membership.pending
        if pending is not None:
            outbound.put_nowait(
                _proposed_message(pending),
            )
        outbound.put_nowait(self._peers_message())

    def _read(
        self,
        entry: str,
        stream: wire.Stream,
        outbound: queue.Queue,
    ) -> None:
        while True:
            message = stream.receive()
            match message:
                case protocol.Beat():
                    self._take_beat(entry, message)
                    outbound.put_nowait(
                        protocol.BeatAnswer(
                            message.sequence,
                            FRESHNESS_LEASE_MS,
                        ),
                    )
                case protocol.TargetBroken():
                    self._take_breakage(message)
                case protocol.RequestCleared(fingerprint):
                    self._guard.clear(fingerprint)
                case protocol.Leaving():
                    self._membership.start_leaving(entry)
                    self._send_entry_list()
                case protocol.Goodbye():
                    self._membership.leave(entry)
                    self._send_entry_list()
                    return
                case _:
                    raise wire.ProtocolError(
                        f'got {type(message).__name__} from an entry',
                    )

    def _take_beat(self, entry: str, beat: protocol.Beat) -> None:
        for served_name, answers in beat.served.items():
            self._directory.record_served(served_name, answers)
        for shed_name, incarnation in beat.shed.items():
            self._directory.record_shed(shed_name, incarnation=incarnation)
        self._membership.beat(
            entry,
            config_revision=beat.config_revision,
            entries_epoch=beat.entries_epoch,
        )
        self._send_entry_list()

    def _take_breakage(self, broken: protocol.TargetBroken) -> None:
        is_blocked = self._guard.record(
            broken.fingerprint,
            broken.target,
            ran_for=broken.ran_for_ms,
        )
        if is_blocked:
            self._broadcast(
                protocol.RequestBlocked(
                    broken.fingerprint,
                    crash_guard.BLOCK_MS,
                ),
            )

    def _write(self, stream: wire.Stream, outbound: queue.Queue) -> None:
        while True:
            message = outbound.get()
            try:
                stream.send(message)
            except wire.StreamClosedError:
                stream.close()
                return

    def _broadcast(self, message: tuple[typing.Any, ...]) -> None:
        for entry, outbound in list(self._queues.items()):
            try:
                outbound.put_nowait(message)
            except queue.Full:
                # The entry does not read; without answers to its beats it
                # connects again and gets the whole state.
                self._queues.pop(entry, None)

    def _send_entry_list(self) -> None:
        pending = self._membership.pending
        if pending is not None and pending != self._sent_pending:
            self._sent_pending = pending
            self._broadcast(
                _proposed_message(pending),
            )
            self._broadcast(self._peers_message())
        committed = self._membership.committed
        if committed != self._sent_committed:
            self._sent_committed = committed
            self._broadcast(
                _committed_message(committed),
            )

    def _peers_message(self) -> protocol.PeersChanged:
        return protocol.PeersChanged(
            [
                [name, status.region, status.peer_address]
                for name, status in self._membership.entries.items()
                if not status.is_leaving
            ],
        )

    def _send_config_changes(self) -> None:
        sent = self._store.revision
        while True:
            self._store.changes.wait(sent, timeout=_WATCH_TIMEOUT_MS)
            for change in self._store.changes.since(sent):
                self._broadcast(protocol.ConfigDelta(list(change)))
                self._chill_domain(change)
                sent = change.revision

    def _chill_domain(self, change: store.Resource) -> None:
        """Makes the targets of a domain that was taken out cold."""
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
                self._broadcast(_target_message(newest.values()))

    def _expire(self) -> None:
        was_relearning = self._directory.is_relearning
        while True:
            gevent.sleep(_EXPIRY_INTERVAL_MS / clock.MS_PER_SECOND)
            self._directory.expire()
            for entry in self._membership.expire():
                _LOG.warning('entry lease ran out', extra={'entry': entry})
            self._send_entry_list()
            if was_relearning and not self._directory.is_relearning:
                was_relearning = False
                self._broadcast_all_targets()

    def _broadcast_all_targets(self) -> None:
        rows = [list(row) for row in self._directory.list_targets()]
        self._broadcast(
            protocol.TargetsChanged(rows, [], is_complete=True),
        )


def _target_message(
    changes: typing.Iterable[directory.TargetChange],
) -> protocol.TargetsChanged:
    changed = []
    removed = []
    for change in changes:
        if change.is_removed:
            removed.append(change.target.name)
        else:
            changed.append(list(change.target))
    return protocol.TargetsChanged(changed, removed, is_complete=False)


def _proposed_message(entries: shares.EntryList) -> protocol.EntriesProposed:
    return protocol.EntriesProposed(entries.epoch, list(entries.members))


def _committed_message(entries: shares.EntryList) -> protocol.EntriesCommitted:
    return protocol.EntriesCommitted(entries.epoch, list(entries.members))
