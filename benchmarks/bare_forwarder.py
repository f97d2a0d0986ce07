"""A forwarder that decides nothing: the floor for what an entry adds.

It parses both messages with the same library and promises nothing.
"""

from __future__ import annotations

import sys
import typing

import httptools
from gevent import server, socket

from mulberryquay.commands import command

_READ_BYTES: typing.Final = 65536


@typing.final
class _Whole:
    """Knows when a message is whole."""

    def __init__(self, parser_type: typing.Any) -> None:
        self.is_whole = False
        self._parser = parser_type(self)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.is_whole = True

    def read(self, connection: typing.Any) -> bytes:
        """Returns one whole message, or nothing at the end."""
        self.is_whole = False
        received = b''
        while not self.is_whole:
            chunk = connection.recv(_READ_BYTES)
            if not chunk:
                return b''
            received += chunk
            self._parser.feed_data(chunk)
        return received


@typing.final
class _Forwarder:
    """Passes each message on, in any order of idle connections."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[tuple[typing.Any, _Whole]] = []

    def serve(self, connection: typing.Any, _address: typing.Any) -> None:
        """Serves one caller."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        requests = _Whole(httptools.HttpRequestParser)
        while True:
            request = requests.read(connection)
            if not request:
                return
            link, answers = self._take()
            link.sendall(request)
            connection.sendall(answers.read(link))
            self._idle.append((link, answers))

    def _take(self) -> tuple[typing.Any, _Whole]:
        if self._idle:
            return self._idle.pop()
        link = socket.create_connection(('127.0.0.1', self._port))
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return link, _Whole(httptools.HttpResponseParser)


def main(target_port: int) -> None:
    """Forwards to a port until the process is ended."""
    forwarder = _Forwarder(target_port)
    listening = server.StreamServer(('127.0.0.1', 0), forwarder.serve)
    listening.start()
    command.print_line(str(listening.server_port))
    listening.serve_forever()


if __name__ == '__main__':
    main(int(sys.argv[1]))
