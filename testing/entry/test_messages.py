"""Tests of reading messages whose bytes come in any pieces, or without end."""

from __future__ import annotations

import itertools
import re
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.entry import http_heads, messages
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_OK: typing.Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: typing.Final = _OK + b'transfer-encoding: chunked\r\n\r\n'
_HTTP_PROTOCOLS: typing.Final = (b'HTTP/1.0', b'HTTP/1.1')
_BLOCK_BYTES: typing.Final = 65536
_MAX_READS: typing.Final = 1000


class ScriptedSocket:
    """Returns the given pieces one by one, then the end of the stream."""

    def __init__(self, pieces: typing.Iterable[bytes]) -> None:
        """Empty pieces are left out."""
        self._pieces = (piece for piece in pieces if piece)
        self.reads = 0

    def recv(self, _size: int) -> bytes:
        """Returns the next piece."""
        self.reads += 1
        if self.reads > _MAX_READS:
            raise ConnectionResetError('the reader did not stop')
        return next(self._pieces, b'')


def _endless(beginning: bytes, repeated: bytes) -> ScriptedSocket:
    block = repeated * (_BLOCK_BYTES // len(repeated) + 1)
    return ScriptedSocket(
        itertools.chain([beginning], itertools.repeat(block)),
    )


def test_answer_without_end_is_malformed_after_bounded_bytes() -> None:
    """Heads, chunk sizes and trailers without end must not be read on."""
    for name, beginning, repeated in (
        ('interim heads', b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        ('head line', _OK + b'x: ', b'x'),
        ('head fields', _OK, b'a: b\r\n'),
        ('empty lines', b'', b'\r\n'),
        ('chunk size', _CHUNKED, b'0'),
        ('chunk extension', _CHUNKED + b'5;', b'x'),
        ('trailers', _CHUNKED + b'0\r\n', b'a: b\r\n'),
        ('trailer line', _CHUNKED + b'0\r\na: ', b'x'),
    ):
        with CASE.subTest(name):
            connection = _endless(beginning, repeated)
            with CASE.assertRaises(http_heads.MessageError):
                fixtures.receive(messages.ResponseReader(connection))
            CASE.assertLess(connection.reads, 8)


def test_header_block_gives_back_what_was_encoded() -> None:
    """Headers are kept as the lines that are sent on (issue 45)."""
    pairs = [(b'a', b''), (b'host', b'x:1'), (b'b', b'c: d'), (b'a', b'2')]
    block = http_heads.HeaderBlock(http_heads.encode_headers(pairs))
    CASE.assertEqual(list(block), pairs)
    CASE.assertEqual(list(block.without({b'a'})), pairs[1:3])
    CASE.assertEqual(list(block.with_added(pairs)), pairs * 2)
    CASE.assertEqual(
        http_heads.encode_head(b'x', [(b'k', b'v')], block),
        http_heads.encode_head(b'x', [*pairs, (b'k', b'v')]),
    )


def test_known_headers_of_a_head_are_bounded() -> None:
    """Thousands of lines that the entry reads were kept each (issue 45)."""
    beginning = b'GET / HTTP/1.1\r\n'
    lines = b'te: a\r\nconnection: x-a\r\nConnection:X-B \r\nx-b: 1\r\n'
    reader = messages.RequestReader(
        ScriptedSocket([beginning + lines * 300 + b'x-c: 2\r\n\r\n'])
    )
    head = typing.cast(http_heads.RequestHead, reader.read_head())
    CASE.assertEqual(len(head.known_headers), 2)
    CASE.assertEqual(head.find(b'te'), b'a')
    CASE.assertEqual(list(head.forwarded_headers), [(b'x-c', b'2')])


def test_head_over_its_limit_ends_before_it_is_whole() -> None:
    """What was read of it was kept until its end (issue 45)."""
    for repeated in (b'a:b\r\n', b'te:\r\n', b'x'):
        with CASE.subTest(repeated):
            connection = _endless(b'GET / HTTP/1.1\r\n', repeated)
            reader = messages.RequestReader(connection)
            reader.max_head_bytes = 1000
            with CASE.assertRaises(http_heads.HeadTooLargeError):
                reader.read_head()
            CASE.assertEqual(connection.reads, 2)


def test_request_without_end_is_malformed_after_bounded_bytes() -> None:
    """A caller must not be read on either."""
    chunked = (
        b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
    )
    for name, beginning, repeated in (
        ('line', b'GET /', b'x'),
        ('fields', b'GET / HTTP/1.1\r\n', b'a: b\r\n'),
        ('chunk size', chunked, b'0'),
        ('chunk extension', chunked + b'5;', b'x'),
        ('trailers', chunked + b'0\r\n', b'a: b\r\n'),
    ):
        with CASE.subTest(name):
            connection = _endless(beginning, repeated)
            reader = messages.RequestReader(connection)
            with CASE.assertRaises(http_heads.MessageError):
                reader.read_head()
                while reader.read_part() is not None:
                    """Reads to the end of the request."""
            CASE.assertLess(connection.reads, 8)


def test_few_interim_answers_are_skipped() -> None:
    """A target may send 100 and 103 before its answer."""
    interim = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
    for _ in range(2):
        connection = ScriptedSocket(
            [interim * 8, _OK + b'content-length: 2\r\n\r\nok']
        )
        response = fixtures.receive(messages.ResponseReader(connection))
        CASE.assertEqual((response.status, response.body), (200, b'ok'))


def test_trailers_are_dropped() -> None:
    """Fields after the body must not become headers of the next answer."""
    connection = ScriptedSocket(
        [
            _CHUNKED + b'2\r\nok\r\n0\r\nx-late: 1\r\n\r\n',
            _OK + b'content-length: 2\r\n\r\nok',
        ],
    )
    reader = messages.ResponseReader(connection)
    fixtures.receive(reader)
    CASE.assertNotIn('x-late', fixtures.receive(reader).headers)


_FRAGMENTS: typing.Final = strategies.sampled_from(
    (
        _OK,
        _CHUNKED,
        b'content-length: 5\r\n',
        b'content-length: 99999999999999999999\r\n',
        b'transfer-encoding: chunked\r\n',
        b'\r\n',
        b'hello',
        b'5\r\nhello\r\n',
        b'5;x=y\r\nhello\r\n',
        b'0\r\n\r\n',
        b'0\r\nx: y\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\n\r\n',
        b'HTTP/1.1 304 Not Modified\r\n\r\n',
        b'fffffffffffffffff\r\n',
    ),
)


@fixtures.hypothesis_settings(300)
@hypothesis.given(
    strategies.lists(_FRAGMENTS | strategies.binary(max_size=12), max_size=12),
    strategies.lists(strategies.integers(0, 1000), max_size=8),
)
def test_any_bytes_in_any_pieces_are_read_alike_or_refused(
    fragments: list[bytes], cuts: list[int]
) -> None:
    """No bytes may hang the reader, and pieces must not change the result."""
    stream = b''.join(fragments)
    results: list[tuple[int, bytes] | None] = []
    for pieces in ([stream], list(fixtures.split_at(stream, cuts))):
        reader = messages.ResponseReader(ScriptedSocket(pieces))
        try:
            response = fixtures.receive(reader)
        except (http_heads.MessageError, http_heads.CutShortError):
            results.append(None)
        else:
            results.append((response.status, response.body))
    CASE.assertEqual(results[0], results[1])


@fixtures.hypothesis_settings(200)
@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=300), max_size=6),
    strategies.booleans(),
    strategies.integers(0, 10_000),
    strategies.lists(strategies.integers(0, 2000), max_size=8),
)
def test_answer_that_ends_early_is_never_complete(
    parts: list[bytes], is_chunked: bool, end: int, cuts: list[int]
) -> None:
    """An answer cut off at any byte before its end must not be read whole."""
    body = b''.join(parts)
    if is_chunked:
        chunks = b''.join(http_heads.encode_chunk(part) for part in parts)
        answer = _CHUNKED + chunks + http_heads.LAST_CHUNK
    else:
        answer = _OK + b'content-length: %d\r\n\r\n' % len(body) + body
    cut_short = answer[: end % len(answer)]
    reader = messages.ResponseReader(
        ScriptedSocket(fixtures.split_at(cut_short, cuts))
    )
    with CASE.assertRaises(http_heads.CutShortError):
        fixtures.receive(reader)
    whole = messages.ResponseReader(
        ScriptedSocket(fixtures.split_at(answer, cuts))
    )
    CASE.assertEqual(fixtures.receive(whole).body, body)


_STATUS_DIGITS: typing.Final = strategies.integers(0, 999).map(
    lambda status: b'%03d' % status
)
_ODD_DIGITS: typing.Final = strategies.sampled_from(
    (
        b'',
        b'0',
        b'20',
        b'2000',
        b'+20',
        b'-20',
        b'2x0',
        b' 200',
        b'\xb2\xb0\xb0',
    )
)
_PROTOCOLS: typing.Final = strategies.sampled_from(
    (*(_HTTP_PROTOCOLS * 3), b'HTTP/0.9', b'HTTP/2.0', b'HTTP/2', b'HTTP')
    + (b'RTSP/1.0', b'ICE/1.0', b'', b'http/1.1', b' HTTP/1.1')
)


@fixtures.hypothesis_settings(500)
@hypothesis.given(
    _PROTOCOLS,
    _STATUS_DIGITS | _ODD_DIGITS,
    strategies.sampled_from((b'', b' ', b' OK', b'OK', b'\tOK', b'  O K')),
    strategies.integers(0, 3),
    strategies.lists(strategies.integers(0, 120), max_size=6),
)
def test_head_is_an_answer_only_with_a_valid_status_line(
    protocol: bytes,
    status: bytes,
    ending: bytes,
    interim_answers: int,
    cuts: list[int],
) -> None:
    """A status of 000 reached a caller as an answer (issue 45)."""
    line = b'%b %b%b' % (protocol, status, ending)
    body = b'' if status in {b'204', b'304'} else b'ok'
    stream = (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' * interim_answers
        + line
        + b'\r\ncontent-length: %d\r\n\r\n' % len(body)
        + body
    )
    is_answer = bool(re.fullmatch(rb'HTTP/1\.[01] [2-5][0-9]{2}( .*)?', line))
    reader = messages.ResponseReader(
        ScriptedSocket(fixtures.split_at(stream, cuts))
    )
    try:
        response = fixtures.receive(reader)
    except (http_heads.MessageError, http_heads.CutShortError):
        CASE.assertFalse(is_answer, line)
    else:
        CASE.assertTrue(is_answer, line)
        CASE.assertEqual((response.status, response.body), (int(status), body))
