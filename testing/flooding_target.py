"""A target whose answers never end, run as a process of its own.

The last segment of a request's path names one of `ENDLESS_ANSWERS`; for any
other path the answer is short and complete. It uses plain threads, so that it
sends while the process under test is busy.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
import typing

_COMPLETE: typing.Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
_CHUNKED: typing.Final = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
)
_BLOCK_BYTES: typing.Final = 262144


class EndlessAnswer(typing.NamedTuple):
    """The beginning of an answer and what follows again and again."""

    beginning: bytes
    repeated: bytes


ENDLESS_ANSWERS: typing.Final = {
    'interim-heads': EndlessAnswer(b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'long-line': EndlessAnswer(b'HTTP/1.1 200 OK\r\nx: ', b'x'),
    'head-fields': EndlessAnswer(b'HTTP/1.1 200 OK\r\n', b'a: b\r\n'),
    'garbage': EndlessAnswer(b'', b'\x00\xff'),
    'empty-lines': EndlessAnswer(b'', b'\r\n'),
    'chunk-size': EndlessAnswer(_CHUNKED, b'0'),
    'chunk-extension': EndlessAnswer(_CHUNKED + b'5;', b'x'),
    'extensions': EndlessAnswer(_CHUNKED, b'1;' + b'x' * 500 + b'\r\ny\r\n'),
    'small-chunks': EndlessAnswer(_CHUNKED, b'1\r\nx\r\n'),
    'trailers': EndlessAnswer(_CHUNKED + b'0\r\n', b'a: b\r\n'),
    'large-chunks': EndlessAnswer(
        _CHUNKED, b'10000\r\n' + bytes(0x10000) + b'\r\n'
    ),
    'no-length': EndlessAnswer(
        b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', bytes(65536)
    ),
    'long-body': EndlessAnswer(
        b'HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n',
        bytes(65536),
    ),
}

#: Answers whose framing arrives slowly: a few bytes at a time, and no part of
#: the body.
SLOW_ANSWERS: typing.Final = {
    'slow-chunk-size': EndlessAnswer(_CHUNKED, b'0'),
    'slow-extension': EndlessAnswer(_CHUNKED + b'5;', b'x'),
    'slow-trailers': EndlessAnswer(_CHUNKED + b'0\r\n', b'a: b\r\n'),
}
_SLOW_INTERVAL_S: typing.Final = 0.1


def main() -> None:
    """Prints the port, then serves until the process is killed."""
    listener = socket.create_server(('127.0.0.1', 0), backlog=64)
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=_serve, args=(connection,), daemon=True).start()


def _serve(connection: socket.socket) -> None:
    with connection:
        received = b''
        while True:
            while b'\r\n\r\n' not in received:
                part = connection.recv(_BLOCK_BYTES)
                if not part:
                    return
                received += part
            request, _, received = received.partition(b'\r\n\r\n')
            path = request.split(b' ', 2)[1].decode().partition('?')[0]
            _answer(connection, path.rpartition('/')[2])


def _answer(connection: socket.socket, name: str) -> None:
    slow_answer = SLOW_ANSWERS.get(name)
    if slow_answer is not None:
        _send_slowly(connection, slow_answer)
        return
    answer = ENDLESS_ANSWERS.get(name)
    if answer is None:
        connection.sendall(_COMPLETE)
        return
    connection.sendall(answer.beginning)
    block = answer.repeated * (_BLOCK_BYTES // len(answer.repeated) + 1)
    try:
        while True:
            connection.sendall(block)
    except OSError:
        return


def _send_slowly(connection: socket.socket, answer: EndlessAnswer) -> None:
    connection.sendall(answer.beginning)
    try:
        while True:
            connection.sendall(answer.repeated)
            time.sleep(_SLOW_INTERVAL_S)
    except OSError:
        return


if __name__ == '__main__':
    main()
