"""Tests of HTTP clients whose server sends bytes without end."""

from __future__ import annotations

import functools
import subprocess
import sys
import typing
import unittest

import gevent
import psutil

from mulberryquay import announcer
from mulberryquay.commands import api_client
from mulberryquay.coordination import clock, errors, units
from mulberryquay.standin import target
from testing import fixtures, processes

CASE: typing.Final = unittest.TestCase()

_MAX_GROWTH_BYTES: typing.Final = 512 * units.MIB
_MAX_DURATION_MS: typing.Final = 40_000.0
_CHECK_INTERVAL_S: typing.Final = 0.02

#: Kinds of endless answers, by the place of the bytes without end.
_KINDS: typing.Final = (
    'large-chunks',
    'no-length',
    'trailers',
    'chunk-size',
    'long-line',
    'head-fields',
)


def _run_command(port: int, name: str, verb: str) -> tuple[int, str]:
    """Gets or watches an endless answer in bounded time and memory.

    Returns its exit code and what it printed on standard error.
    """
    command = [sys.executable, '-m', 'mulberryquay', verb, name]
    started = clock.Clock().now()
    with subprocess.Popen(
        [*command, '--api', f'127.0.0.1:{port}'],
        stderr=subprocess.PIPE,
        text=True,
    ) as child:
        used = psutil.Process(child.pid)
        try:
            while child.poll() is None:
                CASE.assertLess(used.memory_info().rss, _MAX_GROWTH_BYTES, name)
                took = clock.Clock().now() - started
                CASE.assertLess(took, _MAX_DURATION_MS, name)
                gevent.sleep(_CHECK_INTERVAL_S)
        finally:
            child.kill()
        printed = child.stderr.read() if child.stderr else ''
        return child.returncode, printed


def _check_command_ends(
    verb: str, kinds: typing.Sequence[str], error_code: str
) -> None:
    """Checks that a command ends each kind of answer with a typed error."""
    with processes.flooding_target() as port:
        for name in kinds:
            with CASE.subTest(name):
                code, printed = _run_command(port, name, verb)
                CASE.assertNotEqual(code, 0, printed)
                CASE.assertIn(error_code, printed)


def test_command_ends_an_api_answer_without_end() -> None:
    """Guards against a client that keeps an answer until memory runs out."""
    _check_command_ends('get', _KINDS, 'api-unreachable')


def test_command_ends_a_line_of_a_watch_without_end() -> None:
    """Guards against a watch that keeps a line until memory runs out."""
    _check_command_ends(
        'watch', ('large-chunks', 'no-length'), 'watch-line-too-long'
    )


def test_answer_without_end_to_an_announcement_is_an_error() -> None:
    """A target must outlive a control host that answers without end."""
    with processes.flooding_target() as port:
        for name in _KINDS:
            announced = announcer.Announcer(
                fixtures.announcement('t', '127.0.0.1:1'),
                # A fragment ends the path, which selects the kind of answer.
                [f'127.0.0.1:{port}/{name}#'],
            )
            with CASE.subTest(name), CASE.assertRaises(announcer.AnnounceError):
                announced.announce()


def _answer_raw(
    answer: target.Answer, _request: target.ReceivedRequest
) -> target.Answer:
    return answer


def test_odd_answer_of_the_api_is_an_error() -> None:
    """An answer that was not JSON ended the task that renews (issue 45)."""
    for beginning in (
        b'HTTP/1.1 000 Odd',
        b'HTTP/1.1 099 Odd',
        b'HTTP/1.1 600 Odd',
        b'HTTP/2.0 200 OK',
        b'HTTP/1.1 +20 OK',
        b'HTTP/1.1 200 OK',
        b'HTTP/1.1 502 Bad Gateway',
    ):
        raw = beginning + b'\r\nContent-Length: 4\r\n\r\nodd\n'
        server = target.StandInTarget(
            functools.partial(_answer_raw, target.Answer(raw=raw))
        )
        server.start()
        announced = announcer.Announcer(
            fixtures.announcement('t', '127.0.0.1:1'), [server.address]
        )
        with CASE.subTest(beginning):
            with CASE.assertRaises(announcer.AnnounceError):
                announced.announce()
            with CASE.assertRaises(errors.MulberryquayError):
                api_client.ApiClient(server.address).call('GET', '/v1/services')
        server.stop()
