"""Follows one control host at a time: reads its feed and sends beats."""

from __future__ import annotations

import logging
import typing

import gevent

from mulberryquay import protocol, settings
from mulberryquay.coordination import errors, shares, store, wire
from mulberryquay.entry import control_view

HEARTBEAT_INTERVAL_MS: typing.Final = 500.0

#: Without an answer to a beat for this long, or without a vouching one, the
#: entry takes another control host. Two beats and the way back fit.
SILENCE_MS: typing.Final = 1200.0

_TICK_MS: typing.Final = 50.0
_RECONNECT_MS: typing.Final = 50.0

#: Several round trips between regions fit; a host that has no power does not
#: answer, and one of the others may.
_CONNECT_MS: typing.Final = 200.0
_MAX_UNANSWERED: typing.Final = 16
_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ControlStream:
    """One task that reads, one that beats; either may reconnect."""

    def __init__(
        self,
        view: control_view.ControlView,
        introduce: typing.Callable[[], protocol.Hello],
    ) -> None:
        """Tells ``shared`` what it reads; ``introduce`` makes the hello."""
        self._view = view
        self._clock = view.time_source
        self._introduce = introduce
        self._stream: wire.Stream | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._slices: list[list[typing.Any]] = []
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self._vouched_at = 0.0
        self._heartbeat_at = 0.0
        self._confirmed = (0, 0)
        self._is_moving = False
        #: Address of the host that is followed, empty while there is none.
        self.address = ''

    @property
    def is_connected(self) -> bool:
        """Whether a control host is followed now."""
        return self._stream is not None

    def start(self) -> None:
        """Begins to connect; stays connected until `stop`."""
        self._tasks = [
            gevent.spawn(self._stay_connected),
            gevent.spawn(self._send_heartbeats),
        ]

    def stop(self) -> None:
        """Ends both tasks and the stream."""
        gevent.killall(self._tasks)
        self._disconnect()

    def send(self, message: tuple[typing.Any, ...]) -> None:
        """Tells the control host something; lost without a stream."""
        stream = self._stream
        if stream is None:
            return
        try:
            stream.send(message)
        except wire.StreamClosedError as error:
            _LOG.debug('not sent', extra={'cause': str(error)})
            self._disconnect()

    def _stay_connected(self) -> None:
        while True:
            self.address = self._view.choose_host()
            if self.address:
                try:
                    self._follow(self.address)
                except (errors.MulberryquayError, OSError) as error:
                    _LOG.info(
                        'control stream ended',
                        extra={'host': self.address, 'cause': str(error)},
                    )
                finally:
                    self._disconnect()
                self._view.leave_host(
                    self.address,
                    is_useless=not self._is_moving,
                )
                self._is_moving = False
                self.address = ''
            self._clock.sleep(_RECONNECT_MS)

    def _follow(self, address: str) -> None:
        stream = wire.connect(
            settings.parse_address(address),
            protocol.CODEC,
            timeout=_CONNECT_MS,
        )
        stream.set_timeout(SILENCE_MS * 2)
        self._vouched_at = self._clock.now()
        self._slices = []
        stream.send(self._introduce())
        self._stream = stream
        _LOG.info('following control host', extra={'host': address})
        while True:
            self._take(stream.receive())

    def _take(self, message: typing.Any) -> None:
        view = self._view
        match message:
            case protocol.HeartbeatAnswer():
                self._take_answer(message)
            case protocol.ConfigSlice():
                self._take_slice(message)
            case protocol.ConfigDelta(resources):
                view.replica.take_delta(
                    [store.Resource(*row) for row in resources],
                )
            case protocol.TargetsChanged():
                view.targets.take(self.address, message)
            case protocol.EntriesProposed(epoch, members):
                view.propose(shares.EntryList(epoch, tuple(members)))
            case protocol.EntriesCommitted(epoch, members):
                view.commit(shares.EntryList(epoch, tuple(members)))
            case protocol.PeersChanged(peers):
                view.update_peers(peers)
            case protocol.ControlHosts(hosts):
                view.hosts.learn(hosts)
            case protocol.RequestBlocked(fingerprint, duration):
                view.block(fingerprint, duration)
            case _:
                raise wire.ProtocolError(
                    f'got {type(message).__name__} from a control host',
                )

    def _take_slice(self, part: protocol.ConfigSlice) -> None:
        self._slices += part.resources
        if not part.is_last:
            return
        resources = [store.Resource(*row) for row in self._slices]
        self._slices = []
        self._view.replica.take_whole(part.revision, resources)
        self._view.update_freshness()

    def _take_answer(self, answer: protocol.HeartbeatAnswer) -> None:
        sent_at = self._sent_at.pop(answer.sequence, None)
        if sent_at is None or not answer.lease_ms:
            return
        self._vouched_at = self._clock.now()
        self._view.renew_lease(sent_at + answer.lease_ms)

    def _send_heartbeats(self) -> None:
        while True:
            self._view.update_freshness()
            now = self._clock.now()
            if self._stream is not None:
                if now - self._vouched_at > SILENCE_MS:
                    _LOG.warning(
                        'control host does not vouch',
                        extra={'host': self.address},
                    )
                    self._disconnect()
                elif self._view.should_move(self.address):
                    self._is_moving = True
                    self._disconnect()
                elif self._is_heartbeat_due(now):
                    self._send_heartbeat(now)
            self._clock.sleep(_TICK_MS)

    def _is_heartbeat_due(self, now: float) -> bool:
        if now - self._heartbeat_at >= HEARTBEAT_INTERVAL_MS:
            return True
        return self._view.confirmable() != self._confirmed

    def _send_heartbeat(self, now: float) -> None:
        self._sequence += 1
        self._sent_at[self._sequence] = now
        if len(self._sent_at) > _MAX_UNANSWERED:
            self._sent_at.pop(min(self._sent_at))
        self._heartbeat_at = now
        self._confirmed = self._view.confirmable()
        served, shed = self._view.collect_reports(self.address)
        revision, epoch = self._confirmed
        self.send(
            protocol.Heartbeat(self._sequence, revision, epoch, served, shed)
        )

    def _disconnect(self) -> None:
        stream = self._stream
        if stream is None:
            return
        self._stream = None
        stream.close()
        self._confirmed = (0, 0)
        self._view.end_stream(
            self.address,
            received=stream.bytes_received,
            sent=stream.bytes_sent,
        )
