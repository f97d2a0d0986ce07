"""Helpers for the HTTP APIs of all daemons: JSON, errors, server."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import typing

import bottle
import gevent
from gevent import monkey, pywsgi

from mulberryquay import metrics as metrics_module
from mulberryquay import api_load, sockets, web_input
from mulberryquay.coordination import errors, json_documents, units

#: Limit on request bodies of the resource and admin APIs.
MAX_API_BODY_BYTES: typing.Final = units.MIB

#: Key of a request's `web_input.BoundedInput` in its environment.
_INPUT_KEY: typing.Final = 'mulberryquay.input'

#: Characters of a stream that may be kept until its end.
_KEPT_PART_LENGTH: typing.Final = 1024

#: Connections accepted before others are closed for them.
_MAX_ACCEPT: typing.Final = 8

#: Time after which a client may try again what did not fit.
_RETRY_AFTER_S: typing.Final = '1'

JSON_TYPE: typing.Final = 'application/json'

_CODES_BY_STATUS: typing.Final = {
    404: 'unknown-path',
    405: 'method-not-allowed',
}

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class NotPatchedError(errors.MulberryquayError):
    """gevent's monkey patches have not been applied."""

    code = 'not-patched'


def new_app() -> bottle.Bottle:
    """Returns an app that renders every error as JSON with a code.

    Raises NotPatchedError if threading is not patched: bottle keeps the
    current request in a thread local, so concurrent greenlets would see
    each other's requests.
    """
    if not monkey.is_module_patched('threading'):
        raise NotPatchedError(
            'gevent has not patched threading; call '
            'mulberryquay.launch.patch() before any other import',
        )
    app = bottle.Bottle(autojson=False)
    app.default_error_handler = _render_bottle_error
    app.install(_map_errors)
    return app


def add_monitoring_endpoints(
    app: bottle.Bottle,
    is_ready: typing.Callable[[], bool],
    counters: metrics_module.Metrics,
    refresh: typing.Callable[[], None],
) -> None:
    """Adds ``/healthz``, ``/readyz`` and ``/metrics``.

    ``refresh`` sets the gauges just before the metrics are rendered.
    """

    def healthz() -> str:
        return to_json({'status': 'ok'})

    def readyz() -> str:
        if is_ready():
            return to_json({'status': 'ready'})
        bottle.response.status = 503
        return to_json({'status': 'not-ready'})

    def render() -> bytes:
        refresh()
        content, content_type = counters.render()
        bottle.response.content_type = content_type
        return content

    app.route('/healthz', 'GET', healthz)
    app.route('/readyz', 'GET', readyz)
    app.route('/metrics', 'GET', render)


def to_json(content: typing.Any) -> str:
    """Returns ``content`` as JSON and sets the answer's content type."""
    bottle.response.content_type = JSON_TYPE
    return json.dumps(content) + '\n'


def read_body(max_bytes: int) -> bytes:
    """Returns the request's body; raises InvalidInputError if it is longer."""
    environ = bottle.request.environ
    environ[_INPUT_KEY].allow(max_bytes)
    # Not bottle's own body, which would decode chunks a second time.
    body: bytes = environ[_INPUT_KEY].read_body(
        environ['wsgi.input'], max_bytes + 1
    )
    if len(body) > max_bytes:
        raise errors.InvalidInputError(
            f'got a body of more than {max_bytes} bytes, expected at most '
            'that; split the request',
        )
    return body


def read_json_body() -> typing.Any:
    """Returns the request's JSON body; raises InvalidInputError."""
    body = read_body(MAX_API_BODY_BYTES)
    try:
        return json_documents.decode(body)
    except errors.MulberryquayError:
        raise
    except ValueError as error:
        raise errors.InvalidInputError(
            f'got a body that is not JSON: {error}',
        ) from error


def check_caller_waits() -> None:
    """Raises CallerLeftError if the caller has closed its connection.

    It may have given the request up and sent it elsewhere, and newer ones
    after it.
    """
    if bottle.request.environ[_INPUT_KEY].is_closed_by_peer:
        raise CallerLeftError(
            'the caller has closed its connection; the request was not run',
        )


def begin_stream() -> None:
    """Notes that the answer has no end; it ends if others need its place."""
    bottle.request.environ[_INPUT_KEY].begin_stream()


def line_parts(line: str) -> typing.Iterator[str]:
    """Yields a line of a stream so that little of it is kept once it is sent.

    bottle keeps the first part of an answer until its end, and pywsgi each
    part until the next one.
    """
    yield line[:_KEPT_PART_LENGTH]
    yield line[_KEPT_PART_LENGTH:]
    yield ''


def query_integer(name: str, *, default: int | None = None) -> int:
    """Returns an integer query parameter; raises InvalidInputError."""
    text = bottle.request.query.get(name)
    if text is None and default is not None:
        return default
    if text is None or not text.isdecimal():
        raise errors.InvalidInputError(
            f'query parameter {name!r}: got {text!r}, expected a whole number',
        )
    return int(text)


def start_server(
    listener: typing.Any, app: bottle.Bottle, load: api_load.ApiLoad
) -> pywsgi.WSGIServer:
    """Starts a server for ``app`` on a listening gevent socket."""
    sockets.bound_unsent(listener)
    server = pywsgi.WSGIServer(
        listener, app, log=None, handler_class=_BoundedHandler
    )
    server.max_accept = _MAX_ACCEPT
    server.load = load
    server.start()
    return server


@typing.final
class CallerLeftError(errors.MulberryquayError):
    """The caller does not wait for the answer any more."""

    code = 'caller-left'
    http_status = 503


@typing.final
class _BoundedHandler(pywsgi.WSGIHandler):
    """Serves a connection whose peer may send without end."""

    def __init__(
        self, connection: typing.Any, address: typing.Any, server: typing.Any
    ) -> None:
        self._input = web_input.BoundedInput(connection, server.load)
        super().__init__(
            connection,
            address,
            server,
            io.BufferedReader(self._input, web_input.TURN_BYTES),
        )

    def get_environ(self) -> typing.Any:
        """Returns the environment of the request, for WSGI."""
        environ = super().get_environ()
        environ[_INPUT_KEY] = self._input
        self._input.end_wait()
        return environ

    def handle(self) -> None:
        """Serves the connection unless there are too many."""
        load = self.server.load
        if not load.open(self._input):
            self.socket.close()
            return
        try:
            super().handle()
        finally:
            load.close(self._input)
            load.release(self._input)

    def handle_one_response(self) -> None:
        """Runs one request once there is memory for its answer."""
        self.server.load.await_room()
        super().handle_one_response()

    def _sendall(self, data: bytes) -> None:
        with self._input.sending(len(data)):
            super()._sendall(data)

    def handle_error(
        self, kind: typing.Any, error: typing.Any, traceback: typing.Any
    ) -> None:
        """Answers 500, or nothing if a stream gave way before it began."""
        if self._input.has_ended and issubclass(kind, gevent.GreenletExit):
            self.close_connection = True
            return
        super().handle_error(kind, error, traceback)

    def handle_one_request(self) -> typing.Any:
        """Serves one request; returns what pywsgi expects."""
        self._input.begin_request()
        result = super().handle_one_request()
        self._input.end_request()
        if isinstance(result, tuple):
            _, refusal = result
            with (
                contextlib.suppress(OSError),
                self._input.sending(len(refusal)),
            ):
                self.socket.sendall(refusal)
            return None
        if result is True and self._input.has_ended:
            return None
        return result


def _map_errors(
    handler: typing.Callable[..., typing.Any],
) -> typing.Callable[..., typing.Any]:
    def wrapped(**parameters: str) -> typing.Any:
        try:
            return handler(**parameters)
        except errors.MulberryquayError as error:
            bottle.response.status = error.http_status
            if isinstance(error, api_load.ApiBusyError):
                bottle.response.set_header('Retry-After', _RETRY_AFTER_S)
            _LOG.info(
                'API request refused',
                extra={
                    'method': bottle.request.method,
                    'path': bottle.request.path,
                    'code': error.code,
                    'status': error.http_status,
                    'cause': str(error),
                },
            )
            return to_json(errors.to_body(error.code, str(error)))

    return wrapped


def _render_bottle_error(error: bottle.HTTPError) -> str:
    code = _CODES_BY_STATUS.get(error.status_code, 'internal')
    message = 'internal error' if code == 'internal' else error.body
    return to_json(errors.to_body(code, str(message)))
