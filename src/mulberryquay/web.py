"""Helpers for the HTTP APIs of all daemons: JSON, errors, server."""

from __future__ import annotations

import json
import logging
import typing

import bottle
from gevent import monkey, pywsgi

from mulberryquay import metrics as metrics_module
from mulberryquay.coordination import errors, units

#: Limit on request bodies of the resource and admin APIs.
MAX_API_BODY_BYTES: typing.Final = units.MIB

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


def read_json_body() -> typing.Any:
    """Returns the request's JSON body; raises InvalidInputError."""
    length = bottle.request.content_length
    if length > MAX_API_BODY_BYTES:
        raise errors.InvalidInputError(
            f'got a body of {length} bytes, '
            f'expected at most {MAX_API_BODY_BYTES}',
        )
    body = bottle.request.body.read(MAX_API_BODY_BYTES)
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.InvalidInputError(
            f'got a body that is not JSON: {error}',
        ) from error


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


def start_server(listener: typing.Any, app: bottle.Bottle) -> pywsgi.WSGIServer:
    """Starts a server for ``app`` on a listening gevent socket."""
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
