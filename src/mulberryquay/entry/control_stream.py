"""Follows one control host at a time: reads its feed, sends heartbeats."""

from __future__ import annotations

import logging
import math
import typing

import gevent

from mulberryquay import crash_messages, protocol, settings
from mulberryquay.coordination import errors, shares, store, wire
from mulberryquay.entry import control_view

#: A host without contact to the majority is left after this long. The election
#: of a leader by hosts that reach each other fits.
OUT_OF_TOUCH_TIMEOUT_MS: typing.Final = 700.0

#: Shortest time between two checks of what is due.
_MIN_CHECK_INTERVAL_MS: typing.Final = 10.0
_RECONNECT_DELAY_MS: typing.Final = 50.0

#: Interval at which a host to follow is looked for while another one is
#: followed, or once all of them have failed.
_SPARE_HOST_INTERVAL_MS: typing.Final = 250.0

#: Several round trips between regions fit. It is short because a host without
#: power does not answer and another host may be available.
_CONNECT_TIMEOUT_MS: typing.Final = 200.0
_MAX_UNANSWERED: typing.Final = 16
_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class ControlStream:
    """Two greenlets: one reads the feed, one sends heartbeats.

    Either may close the stream; the reader then follows another host.
    """

    def __init__(
        self,
        view: control_view.ControlView,
        make_hello: typing.Callable[[], protocol.Hello],
    ) -> None:
        """Passes messages to ``view``; ``make_hello`` returns the first one."""
        self._view = view
        self._clock = view.time_source
        self._make_hello = make_hello
        self._stream: wire.Stream | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._snapshot_rows: list[list[typing.Any]] = []
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self._lease_renewed_at = 0.0
        #: When the host said that it has no contact; infinite while it has.
        self._out_of_touch_at = math.inf
        self._heartbeat_at = 0.0
        self._sent_confirmation = (0, 0)
        self._is_switching = False
        #: Address of the followed host, empty while there is none.
        self.address = ''

    @property
    def is_connected(self) -> bool:
        """Whether the stream to a control host is open."""
        return self._stream is not None

    @property
    def _heartbeat_interval(self) -> float:
        return self._view.heartbeat_interval(self.address)

    @property
    def _leave_at(self) -> float:
        """When to leave the followed host unless it grants a lease."""
        return min(
            self._lease_renewed_at + control_view.VOUCHED_MS,
            self._out_of_touch_at + OUT_OF_TOUCH_TIMEOUT_MS,
        )

    def start(self) -> None:
        """Starts connecting; reconnects until `stop`."""
        self._tasks = [
            gevent.spawn(self._follow_hosts),
            gevent.spawn(self._send_heartbeats),
        ]

    def stop(self) -> None:
        """Ends both greenlets and closes the stream."""
        gevent.killall(self._tasks)
        self._disconnect()

    def send(self, message: tuple[typing.Any, ...]) -> bool:
        """Sends a message; returns False if there is no working stream."""
        stream = self._stream
        if stream is None:
            return False
        try:
            stream.send(message)
        except wire.StreamClosedError as error:
            _LOG.debug(
                'message to control host not sent',
                extra={'cause': str(error)},
            )
            self._disconnect()
            return False
        return True

    def _follow_hosts(self) -> None:
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
                self._view.stop_following(
                    self.address,
                    is_failure=not self._is_switching,
                )
                self._is_switching = False
                self.address = ''
            self._clock.sleep(
                _SPARE_HOST_INTERVAL_MS
                if self._view.can_wait_for_host
                else _RECONNECT_DELAY_MS
            )

    def _follow(self, address: str) -> None:
        stream = wire.connect(
            settings.parse_address(address),
            protocol.CODEC,
            timeout=_CONNECT_TIMEOUT_MS,
        )
        stream.set_timeout(control_view.VOUCHED_MS * 2)
        self._lease_renewed_at = self._clock.now()
        self._out_of_touch_at = math.inf
        self._snapshot_rows = []
        stream.send(self._make_hello())
        for verdict in self._view.known_verdicts():
            stream.send(verdict)
        self._stream = stream
        _LOG.info('following control host', extra={'host': address})
        self._view.changed.notify()
        while True:
            self._handle(stream.receive())
            self._view.changed.notify()

    def _handle(self, message: typing.Any) -> None:
        view = self._view
        match message:
            case protocol.HeartbeatAnswer() | protocol.PermitsDecided():
                self._handle_answer(message)
            case protocol.ConfigSlice():
                self._handle_slice(message)
            case protocol.ConfigDelta(resources):
                view.replica.apply_delta(
                    [store.Resource(*row) for row in resources],
                )
            case protocol.TargetsChanged() | protocol.TargetsEnded():
                view.update_targets(self.address, message)
            case protocol.EntriesProposed(epoch, members):
                view.propose_entries(shares.EntryList(epoch, tuple(members)))
            case protocol.EntriesCommitted(epoch, members):
                view.commit_entries(shares.EntryList(epoch, tuple(members)))
            case protocol.PeersChanged(peers):
                view.update_peers(peers)
            case protocol.ControlHosts(hosts):
                view.hosts.update_announced(hosts)
            case (
                crash_messages.RequestBlocked()
                | crash_messages.RequestSuspected()
            ):
                view.apply_verdict(message)
            case _:
                raise wire.ProtocolError(
                    f'unexpected message {type(message).__name__} from a '
                    'control host',
                )

    def _handle_slice(self, config_slice: protocol.ConfigSlice) -> None:
        self._snapshot_rows += config_slice.resources
        if not config_slice.is_last:
            return
        resources = [store.Resource(*row) for row in self._snapshot_rows]
        self._snapshot_rows = []
        self._view.replica.apply_snapshot(config_slice.revision, resources)
        self._view.update_freshness()

    def _handle_answer(
        self, answer: protocol.HeartbeatAnswer | protocol.PermitsDecided
    ) -> None:
        if isinstance(answer, protocol.PermitsDecided):
            self._view.receive_permits(answer)
        else:
            self._handle_heartbeat_answer(answer)

    def _handle_heartbeat_answer(
        self, answer: protocol.HeartbeatAnswer
    ) -> None:
        now = self._clock.now()
        sent_at = self._sent_at.pop(answer.sequence, None)
        if not answer.lease_ms:
            self._out_of_touch_at = min(self._out_of_touch_at, now)
            return
        self._out_of_touch_at = math.inf
        if sent_at is not None:
            self._lease_renewed_at = now
            self._view.renew_lease(self.address, sent_at, answer.lease_ms)

    def _send_heartbeats(self) -> None:
        while True:
            self._view.update_freshness()
            now = self._clock.now()
            if self._stream is not None:
                if now >= self._leave_at:
                    _LOG.warning(
                        'control host does not vouch',
                        extra={'host': self.address},
                    )
                    self._disconnect()
                elif self._view.should_switch(self.address):
                    self._is_switching = True
                    self._disconnect()
                elif self._is_heartbeat_due(now):
                    self._send_heartbeat(now)
            self._view.changed.wait(self._next_check_in_ms(now))

    def _next_check_in_ms(self, now: float) -> float:
        """How long nothing is due unless a control host sends something."""
        next_check = self._view.next_check_in_ms
        if self._stream is not None:
            next_check = min(
                next_check,
                self._heartbeat_at + self._heartbeat_interval - now,
                self._leave_at - now,
            )
        return min(
            self._heartbeat_interval, max(_MIN_CHECK_INTERVAL_MS, next_check)
        )

    def _is_heartbeat_due(self, now: float) -> bool:
        if now - self._heartbeat_at >= self._heartbeat_interval:
            return True
        return self._view.confirmable_versions() != self._sent_confirmation

    def _send_heartbeat(self, now: float) -> None:
        self._sequence += 1
        self._sent_at[self._sequence] = now
        if len(self._sent_at) > _MAX_UNANSWERED:
            self._sent_at.pop(min(self._sent_at))
        self._heartbeat_at = now
        self._sent_confirmation = self._view.confirmable_versions()
        served, shed = self._view.pop_target_reports(self.address)
        revision, epoch = self._sent_confirmation
        is_sent = self.send(
            protocol.Heartbeat(
                self._sequence,
                revision,
                epoch,
                served,
                shed,
                self._view.rate_limit_reports(),
                self._view.pop_version_reports(self.address),
            )
        )
        if not is_sent:
            self._view.restore_target_reports(served, shed)

    def _disconnect(self) -> None:
        stream = self._stream
        if stream is None:
            return
        self._stream = None
        stream.close()
        self._sent_confirmation = (0, 0)
        self._view.record_stream_end(
            self.address,
            received=stream.bytes_received,
            sent=stream.bytes_sent,
        )
