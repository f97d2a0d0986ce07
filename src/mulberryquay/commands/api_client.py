"""The client of the resource API that the subcommands use."""

from __future__ import annotations

import json
import typing

import urllib3

from mulberryquay import http_pool
from mulberryquay.coordination import errors

_REQUEST_TIMEOUT_S: typing.Final = 5.0
_FIRST_ERROR_STATUS: typing.Final = 400
_WATCH_TIMEOUT: typing.Final = urllib3.Timeout(
    connect=_REQUEST_TIMEOUT_S, read=None
)

Json = typing.Any


@typing.final
class ApiUnreachableError(errors.MulberryquayError):
    """No control host could be reached."""

    code = 'api-unreachable'


@typing.final
class WatchLineTooLongError(errors.MulberryquayError):
    """A line of a watch did not end."""

    code = 'watch-line-too-long'


class ApiRefusedError(errors.MulberryquayError):
    """The control host answered with an error of code ``api_code``."""

    code = 'api-refused'

    def __init__(self, status: int, api_code: str, message: str) -> None:
        """Takes the status and the error of the answer."""
        super().__init__(f'{api_code}: {message}')
        self.status = status
        self.api_code = api_code


@typing.final
class ApiClient:
    """Sends requests to the first control host that can be reached."""

    def __init__(self, addresses: str) -> None:
        """``addresses`` is a comma-separated list of ``IP:PORT``."""
        self._addresses = addresses.split(',')
        self._pool = http_pool.new_manager()
        # A watch has no end, so only its lines are limited.
        self._watch_pool = urllib3.PoolManager(retries=False)

    def call(self, method: str, path: str, body: Json = None) -> Json:
        """Returns the JSON answer.

        Raises ApiUnreachableError and ApiRefusedError.
        """
        response = self._open(
            method, path, body, _REQUEST_TIMEOUT_S, preload=True
        )
        return _decode(response.status, response.data)

    def stream(self, path: str) -> typing.Iterator[Json]:
        """Yields the JSON lines of a watch.

        Raises ApiUnreachableError, ApiRefusedError and WatchLineTooLongError.
        """
        response = self._open('GET', path, None, _WATCH_TIMEOUT, preload=False)
        unfinished_parts: list[bytes] = []
        for chunk in response.stream():
            *ends, begin = chunk.split(b'\n')
            for end in ends:
                line = b''.join([*unfinished_parts, end])
                yield _decode(response.status, line)
                unfinished_parts = []
            unfinished_parts.append(begin)
            if sum(map(len, unfinished_parts)) > http_pool.MAX_ANSWER_BYTES:
                raise WatchLineTooLongError(
                    f'got a line of over {http_pool.MAX_ANSWER_BYTES} bytes',
                )

    def _open(
        self,
        method: str,
        path: str,
        body: Json,
        timeout: typing.Any,
        *,
        preload: bool,
    ) -> urllib3.BaseHTTPResponse:
        last_error: Exception | None = None
        pool = self._pool if preload else self._watch_pool
        for address in self._addresses:
            try:
                response = pool.request(
                    method,
                    f'http://{address}{path}',
                    body=None if body is None else json.dumps(body),
                    timeout=timeout,
                    preload_content=preload,
                )
            except urllib3.exceptions.HTTPError as error:
                last_error = error
                continue
            _check(response)
            return response
        raise ApiUnreachableError(
            f'no control host answers at {", ".join(self._addresses)}: '
            f'{last_error}; check --api',
        )


def _decode(status: int, answer: bytes) -> Json:
    try:
        return json.loads(answer)
    except ValueError as error:
        raise ApiRefusedError(
            status, 'unexpected-answer', f'got no JSON: {error}'
        ) from error


def _check(response: urllib3.BaseHTTPResponse) -> None:
    if response.status < _FIRST_ERROR_STATUS:
        return
    try:
        error = json.loads(response.data)['error']
    except (ValueError, KeyError, TypeError):
        error = {'code': 'unexpected-answer', 'message': str(response.status)}
    raise ApiRefusedError(response.status, error['code'], error['message'])
