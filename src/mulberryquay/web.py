"""What the HTTP surfaces of all daemons share: JSON, errors, a server."""

from __future__ import annotations

import json
import logging
import typing

import bottle
from gevent import monkey, pywsgi

from mulberryquay import metrics as metrics_module
from mulberryquay.coordination import errors, units

#: The largest body that the resource and admin APIs read.
MAX_BODY_BYTES: typing.Final = units.MIB

JSON_TYPE: typing.Final = 'application/json'

_CODES_BY_STATUS: typing.Final = {
    404: 'unknown-path',
    405: 'method-not-allowed',
}

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class NotPatchedError(errors.MulberryquayError):
    """gevent has not patched the standard library."""

    code = 'not-patched'


def new_app() -> bottle.Bottle:
    """Returns an app whose every error is JSON with a code.

    Raises NotPatchedError: bottle keeps the request in a thread local, so
    greenlets would mix their requests up.
    """
    if not monkey.is_module_patched('threading'):
        raise NotPatchedError(
            'call mulberryquay.launch.patch() before any other import',
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

    ``refresh`` sets the gauges just before they are rendered.
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
    """Renders a JSON answer and sets its content type."""
    bottle.response.content_type = JSON_TYPE
    return json.dumps(content) + '\n'


def read_json_body() -> typing.Any:
    """Returns the request's JSON body; raises InvalidInputError."""
    length = bottle.request.content_length
    if length > MAX_BODY_BYTES:
        raise errors.InvalidInputError(
            f'got a body of {length} bytes, expected at most {MAX_BODY_BYTES}',
        )
    body = bottle.request.body.read(MAX_BODY_BYTES)
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.InvalidInputError(
            f'got a body that is not JSON: {error}',
        ) from error


def query_integer(name: str, *, default: int | None = None) -> int:
    """Returns a whole number of the query; raises InvalidInputError."""
    text = bottle.request.query.get(name)
    if text is None and default is not None:
        return default
    if text is None or not text.isdecimal():
        raise errors.InvalidInputError(
            f'query {name!r}: got {text!r}, expected a whole number',
        )
    return int(text)


def start_server(listener: typing.Any, app: bottle.Bottle) -> pywsgi.WSGIServer:
    """Starts serving ``app`` on a listening gevent socket."""
    server = pywsgi.WSGIServer(listener, app, log=None)
    server.start()
    return server


def _map_errors(
    handler: typing.Callable[..., typing.Any],
) -> typing.Callable[..., typing.Any]:
    def wrapped(**parameters: str) -> typing.Any:
        try:
            return handler(**parameters)
        except errors.MulberryquayError as error:
            bottle.response.status = error.http_status
            _LOG.info(
                'call refused',
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
