"""Accepts the connections of callers and of other entries."""

from __future__ import annotations

import typing

from mulberryquay import sockets
from mulberryquay.coordination import units, watchdog
from mulberryquay.entry import caller, caller_limits, caller_memory, state

#: Connections accepted before others that must be closed for them are.
_MAX_ACCEPTED: typing.Final = 16


@typing.final
class CallerServer:
    """Serves each connection for which there is a place and room."""

    def __init__(
        self,
        entry_state: state.EntryState,
        listener: typing.Any,
        peer_listener: typing.Any,
    ) -> None:
        """Serves callers on ``listener``, entries on ``peer_listener``."""
        self._state = entry_state
        self._servers = [
            sockets.DrainingServer(listener, self._serve_caller),
            sockets.DrainingServer(peer_listener, self._serve_peer),
        ]
        self._watchdog = watchdog.Watchdog(
            entry_state.clock, interval=units.SECOND_MS
        )
        #: The open connections of callers and other entries.
        self.connections: set[caller.CallerConnection] = set()

    @property
    def is_busy(self) -> bool:
        """Whether a connection of a caller or an entry is open."""
        return any(server.is_busy for server in self._servers)

    def start(self) -> None:
        """Starts to accept."""
        self._watchdog.start()
        for server in self._servers:
            server.max_accept = _MAX_ACCEPTED
            server.start()

    def close_ports(self) -> None:
        """Serves the connections that wait, and accepts no others."""
        for server in self._servers:
            server.close_port()

    def close_idle(self) -> None:
        """Ends the connections on which no request has begun."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Ends the timeouts of connections."""
        self._watchdog.stop()

    def _serve_caller(
        self, connection: typing.Any, address: typing.Any
    ) -> None:
        self._serve(connection, address[0], self._state.connections.callers)

    def _serve_peer(self, connection: typing.Any, address: typing.Any) -> None:
        self._serve(connection, address[0], self._state.connections.peers)

    def _serve(
        self,
        connection: typing.Any,
        address: str,
        places: caller_limits.Connections,
    ) -> None:
        if not self._admits(address, places):
            connection.close()
            return
        served = caller.CallerConnection(
            self._state,
            connection,
            is_peer=places is self._state.connections.peers,
        )
        places.add(served, address)
        self.connections.add(served)
        self._watchdog.watch(served)
        try:
            served.run()
        finally:
            self.connections.discard(served)
            self._watchdog.release(served)
            places.remove(served)

    def _admits(self, address: str, places: caller_limits.Connections) -> bool:
        """Whether there is a place and room for another connection."""
        if not places.admit(address):
            return False
        if not self._state.connections.all_open.make_room():
            return False
        if self._state.memory.make_room(caller_memory.CONNECTION_BYTES):
            return True
        self._state.limit_notes.note(caller_limits.Limit.MEMORY)
        return places.make_place()
