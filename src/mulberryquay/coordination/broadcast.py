"""Sends updates to all peers in order, and a full snapshot after a gap."""

from __future__ import annotations

import logging
import typing

import gevent

from mulberryquay.coordination import clock, rpc, signals

#: A peer gets a call at least this often, so that it can tell a lost sender
#: from an idle one.
KEEPALIVE_INTERVAL_MS: typing.Final = 3000.0

#: Timeout of a call; a peer that does not answer gets a snapshot next.
_CALL_TIMEOUT_MS: typing.Final = 900.0

#: Pause after a failed call to a peer.
_RETRY_DELAY_MS: typing.Final = 250.0

#: Interval at which the list of peers is read.
_PEER_LIST_INTERVAL_MS: typing.Final = 200.0

#: Updates queued for a peer before they are replaced by a snapshot.
_MAX_QUEUED: typing.Final = 5000

_LOG: typing.Final = logging.getLogger(__name__)

Message = tuple[typing.Any, ...]


class Source(typing.Protocol):
    """The state whose updates are broadcast."""

    def list_peers(self) -> typing.Collection[str]:
        """Returns the addresses of the other members."""

    def snapshot_updates(self) -> list[Message]:
        """Returns updates that together contain the whole state."""

    def make_call(
        self, updates: list[Message], *, is_snapshot: bool
    ) -> Message:
        """Returns the call that carries ``updates``."""

    def read_incarnation(self, answer: typing.Any) -> str:
        """Returns the peer's incarnation, which each start changes."""


@typing.final
class _Peer:
    """The updates that one peer still has to get."""

    def __init__(self, time_source: clock.Clock) -> None:
        self.queued: list[Message] = []
        #: Incarnation of the peer that has the whole state; empty if it
        #: needs a snapshot.
        self.incarnation = ''
        self.changed = signals.Signal(time_source)
        self.task: gevent.Greenlet | None = None

    def add(self, message: Message) -> None:
        """Queues an update; a full queue is replaced by a snapshot."""
        self.queued.append(message)
        if len(self.queued) > _MAX_QUEUED:
            self.queued.clear()
            self.incarnation = ''
        self.changed.notify()


@typing.final
class Broadcast:
    """Sends the updates of a source, with one task for each peer."""

    def __init__(
        self,
        source: Source,
        network: rpc.Clients,
        time_source: clock.Clock,
    ) -> None:
        """Broadcasts the updates of ``source`` once started."""
        self._source = source
        self._network = network
        self._clock = time_source
        self._peers: dict[str, _Peer] = {}
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts to send updates to the peers."""
        self._tasks = [gevent.spawn(self._track_peers)]

    def stop(self) -> None:
        """Ends all tasks; a call in flight may still reach its peer."""
        peers = list(self._peers.values())
        self._peers.clear()
        gevent.killall([*self._tasks, *(peer.task for peer in peers)])

    def publish(self, message: Message) -> None:
        """Queues an update for all peers."""
        for peer in self._peers.values():
            peer.add(message)

    def _track_peers(self) -> None:
        while True:
            wanted = set(self._source.list_peers())
            for removed in set(self._peers) - wanted:
                self._peers.pop(removed).changed.notify()
            for address in wanted - set(self._peers):
                peer = _Peer(self._clock)
                self._peers[address] = peer
                peer.task = gevent.spawn(self._send_updates, address, peer)
            self._clock.sleep(_PEER_LIST_INTERVAL_MS)

    def _send_updates(self, address: str, peer: _Peer) -> None:
        while self._peers.get(address) is peer:
            is_snapshot = not peer.incarnation
            updates = peer.queued
            peer.queued = []
            if is_snapshot:
                updates = self._source.snapshot_updates()
            call = self._source.make_call(updates, is_snapshot=is_snapshot)
            try:
                answer = self._network.call(
                    address, call, timeout=_CALL_TIMEOUT_MS
                )
            except rpc.CallFailedError as error:
                _LOG.debug(
                    'update not delivered to peer', extra={'cause': str(error)}
                )
                peer.incarnation = ''
                self._clock.sleep(_RETRY_DELAY_MS)
                continue
            self._record_incarnation(
                peer, self._source.read_incarnation(answer), is_snapshot
            )
            if not peer.queued and peer.incarnation:
                peer.changed.wait(KEEPALIVE_INTERVAL_MS)

    def _record_incarnation(
        self, peer: _Peer, incarnation: str, is_snapshot: bool
    ) -> None:
        if is_snapshot:
            peer.incarnation = incarnation
        elif incarnation != peer.incarnation:
            peer.incarnation = ''
