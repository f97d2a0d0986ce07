"""Follows two control hosts at once and sends reports to them."""

from __future__ import annotations

import collections
import random
import typing

from mulberryquay import crash_messages, protocol
from mulberryquay.entry import (
    control_hosts,
    control_stream,
    control_view,
    state,
)

#: Control hosts followed at once, so that the entry can lose one without
#: missing updates.
FOLLOWED_HOSTS: typing.Final = 2


@typing.final
class ControlLink:
    """The streams to the followed control hosts."""

    def __init__(
        self,
        entry_state: state.EntryState,
        addresses: typing.Sequence[str],
        *,
        admin_address: str,
        peer_address: str,
        domain: str,
    ) -> None:
        """Sets the ``addresses`` of control hosts to follow after `start`."""
        self._state = entry_state
        self._admin_address = admin_address
        self._peer_address = peer_address
        self._domain = domain
        self._hosts = control_hosts.ControlHosts(
            addresses,
            entry_state.clock,
            random.Random(),
            region=entry_state.region,
            domain=domain,
        )
        self._view = control_view.ControlView(entry_state, self._hosts)
        entry_state.leased_rates.hosts = self
        self._streams = [
            control_stream.ControlStream(self._view, self._make_hello)
            for _ in range(FOLLOWED_HOSTS)
        ]
        #: In the order in which they are asked for permits.
        self._asked_streams = collections.deque(self._streams)

    @property
    def revision(self) -> int:
        """The revision of the configuration in force on this entry."""
        return self._view.replica.revision

    def start(self) -> None:
        """Starts connecting; reconnects until `stop`."""
        for stream in self._streams:
            stream.start()

    def configure(self, addresses: typing.Sequence[str]) -> None:
        """Replaces the control host addresses from the settings."""
        self._hosts.configure(addresses)

    def announce_leaving(self) -> None:
        """Gives up all shares so that other entries can use them."""
        self._send_to_all(protocol.EntryLeaving(self._state.name))

    def stop(self) -> None:
        """Reports that the entry left and closes the streams.

        Control hosts then need not wait until its lease expires.
        """
        self._send_to_all(protocol.EntryLeft(self._state.name))
        for stream in self._streams:
            stream.stop()

    def report_connection_lost(
        self,
        fingerprint: bytes,
        target: str,
        *,
        ran_for: float,
    ) -> bool:
        """Reports that a target's connection was lost during a request.

        The request ran for ``ran_for`` ms and may have crashed the target.
        Returns False if no control host could be told.
        """
        return self._send_to_one(
            crash_messages.ConnectionLost(fingerprint, target, ran_for)
        )

    def report_request_cleared(self, fingerprint: bytes) -> None:
        """Reports that a target answered a request reported earlier."""
        self._send_to_one(crash_messages.RequestCleared(fingerprint))

    def ask_permits(
        self, question: protocol.PermitsAsked, *, is_repeated: bool
    ) -> bool:
        """Sends a question to one control host, repeated to another.

        Returns False if there is none.
        """
        if is_repeated:
            self._asked_streams.rotate()
        return any(
            stream.is_connected and stream.send(question)
            for stream in self._asked_streams
        )

    def _send_to_one(self, message: tuple[typing.Any, ...]) -> bool:
        """Sends to one control host, which forwards to the others."""
        return any(
            stream.is_connected and stream.send(message)
            for stream in self._streams
        )

    def _send_to_all(self, message: tuple[typing.Any, ...]) -> None:
        for stream in self._streams:
            stream.send(message)

    def _make_hello(self) -> protocol.Hello:
        rows = [
            target.row for target in self._state.balancer.all_targets.values()
        ]
        known = [
            (row.name, row.incarnation, row.allowance, row.is_warm)
            for row in rows
            if row.cold_ms < 0
        ]
        return protocol.Hello(
            protocol.PROTOCOL_VERSION,
            self._state.name,
            self._state.region,
            self._domain,
            self._admin_address,
            self._peer_address,
            known,
            self.revision,
            self._state.balancer.known_rate_limits(),
        )
