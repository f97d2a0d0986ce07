"""A minimal forwarder: the baseline for the cost that an entry adds.

It parses both messages with the library that entries use. It makes no routing
decision and guarantees nothing about the outcome.
"""

from __future__ import annotations

import sys
import typing

import httptools
from gevent import server, socket

from mulberryquay.commands import command

_READ_BYTES: typing.Final = 65536


@typing.final
class _MessageReader:
    """Reads one complete HTTP message at a time."""

    def __init__(self, parser_type: typing.Any) -> None:
        self.is_complete = False
        self._parser = parser_type(self)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.is_complete = True

    def read(self, connection: typing.Any) -> bytes:
        """Returns a complete message, or b'' if the connection closed."""
        self.is_complete = False
        received = b''
        while not self.is_complete:
            chunk = connection.recv(_READ_BYTES)
            if not chunk:
                return b''
            received += chunk
            self._parser.feed_data(chunk)
        return received


@typing.final
class _Forwarder:
    """Forwards each request on any idle connection to the target."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle_upstreams: list[tuple[typing.Any, _MessageReader]] = []

    def serve(self, connection: typing.Any, _address: typing.Any) -> None:
        """Serves one caller."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request_reader = _MessageReader(httptools.HttpRequestParser)
        while True:
            request = request_reader.read(connection)
            if not request:
                return
            upstream, response_reader = self._acquire_upstream()
            upstream.sendall(request)
            connection.sendall(response_reader.read(upstream))
            self._idle_upstreams.append((upstream, response_reader))

    def _acquire_upstream(self) -> tuple[typing.Any, _MessageReader]:
        if self._idle_upstreams:
            return self._idle_upstreams.pop()
        upstream = socket.create_connection(('127.0.0.1', self._port))
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return upstream, _MessageReader(httptools.HttpResponseParser)


def main(target_port: int) -> None:
    """Forwards to a port until the process is ended."""
    forwarder = _Forwarder(target_port)
    listener = server.StreamServer(('127.0.0.1', 0), forwarder.serve)
    listener.start()
    command.print_line(str(listener.server_port))
    listener.serve_forever()


if __name__ == '__main__':
    main(int(sys.argv[1]))
