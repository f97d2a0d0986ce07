"""Compares transcripts of commands and requests with golden files."""

from __future__ import annotations

import contextlib
import difflib
import io
import os
import pathlib
import re
import typing
from unittest import mock

from mulberryquay import main
from testing import fixtures

GOLDEN_FOLDER: typing.Final = pathlib.Path(__file__).parent / 'golden'
RENEW_VARIABLE: typing.Final = 'MULBERRYQUAY_RENEW_GOLDEN'

#: Headers left out of transcripts; the body itself is shown.
_DROPPED_HEADERS: typing.Final = frozenset(('content-length',))
_SUBSTITUTIONS: typing.Final = (
    (re.compile(r'/\S+/(\w+\.json)'), r'\1'),
    (re.compile(r'127\.0\.0\.1:\d+'), 'IP:PORT'),
    (re.compile('[a-z0-9-]+-[0-9a-f]{11}-([0-9a-f]+)'), r'REQUEST-\1'),
    (re.compile('"entries_epoch": [0-9]+'), '"entries_epoch": EPOCH'),
    (re.compile('"incarnation": [0-9]+'), '"incarnation": INCARNATION'),
    (re.compile('"(duration_ms|received_at)": [0-9.]+'), r'"\1": TIME'),
)


class GoldenMismatchError(AssertionError):
    """A transcript differs from its golden file."""


class Session:
    """Runs commands and requests and records a transcript."""

    def __init__(self, api: str) -> None:
        """Commands use the resource API at ``api``."""
        self._api = api
        self._lines: list[str] = []

    def add_comment(self, text: str) -> None:
        """Adds a comment line to the transcript."""
        self._lines += ['', f'# {text}']

    def run(self, *arguments: str, typed: str | None = None) -> None:
        """Runs a subcommand and records its output and exit code.

        One that reads what is ``typed`` uses no resource API.
        """
        flags = [f'--api={self._api}'] if typed is None else []
        typed_input = io.StringIO(typed)
        output = io.StringIO()
        error_output = io.StringIO()
        with contextlib.redirect_stdout(output):
            with (
                contextlib.redirect_stderr(error_output),
                mock.patch('sys.stdin', typed_input),
            ):
                code = main.run([*arguments, *flags])
        self._lines.append(f'$ mulberryquay {" ".join(arguments)}')
        self._lines += output.getvalue().splitlines()
        self._lines += error_output.getvalue().splitlines()
        if code:
            self._lines.append(f'(exit code {code})')

    def ask(
        self,
        daemon: typing.Any,
        path: str,
        **options: typing.Any,
    ) -> fixtures.Response:
        """Sends a request to an entry and records the answer."""
        response = fixtures.ask(daemon, path, **options)
        method = options.get('method', 'GET')
        self._lines.append(f'> {method} {path}')
        self._lines.append(f'< {response.status}')
        self._lines += [
            f'< {name}: {header}'
            for name, header in sorted(response.headers.items())
            if name not in _DROPPED_HEADERS
        ]
        self._lines += response.body.decode().splitlines()
        return response

    def compare(self, name: str) -> None:
        """Compares the transcript with the golden file.

        If the environment variable `RENEW_VARIABLE` is set, rewrites the
        golden file instead.
        """
        path = GOLDEN_FOLDER / f'{name}.txt'
        transcript = _normalise('\n'.join(self._lines).strip() + '\n')
        if os.environ.get(RENEW_VARIABLE):
            path.write_text(transcript)
            return
        golden = path.read_text() if path.exists() else ''
        if transcript != golden:
            difference = difflib.unified_diff(
                golden.splitlines(),
                transcript.splitlines(),
                f'golden/{name}.txt',
                'this run',
                lineterm='',
            )
            raise GoldenMismatchError('\n'.join(difference))


def _normalise(transcript: str) -> str:
    for pattern, replacement in _SUBSTITUTIONS:
        transcript = pattern.sub(replacement, transcript)
    return transcript
