"""Serves the API of roll-outs: start, watch and end them."""

from __future__ import annotations

import typing

import bottle

from mulberryquay import web
from mulberryquay.control import cluster, kinds, roll_out_records
from mulberryquay.coordination import errors, schema
from mulberryquay.decisions import roll_outs

_PATH: typing.Final = f'/v1/{kinds.ROLL_OUT}/<service>'

#: The requests that the API serves, listed on the reference page.
ROUTES: typing.Final = (
    ('GET /v1/roll-outs', 'list the newest roll-out of each service'),
    ('GET /v1/roll-outs/SERVICE', 'get the newest roll-out of a service'),
    (
        'POST /v1/roll-outs/SERVICE',
        'move a service to targets of another version; the body has `version`, '
        '`duration_ms` and `again` (true starts one again that has ended); '
        'the same order again is acknowledged, another one gets a 409 while '
        'one runs',
    ),
    (
        'DELETE /v1/roll-outs/SERVICE',
        'end a roll-out: the old version gets all requests again; 409 if it '
        'has ended',
    ),
)


@typing.final
class RollOutApi:
    """The request handlers of roll-outs."""

    def __init__(self, group: cluster.Cluster) -> None:
        """Serves the roll-outs of ``group``."""
        self._cluster = group

    def install(self, app: bottle.Bottle) -> None:
        """Adds the routes to ``app``, before those with a kind in the path."""
        app.route(f'/v1/{kinds.ROLL_OUT}', 'GET', self._list)
        app.route(_PATH, 'GET', self._get)
        app.route(_PATH, 'POST', self._start)
        app.route(_PATH, 'DELETE', self._end)

    def _list(self) -> str:
        self._cluster.wait_until_current()
        store = self._cluster.state.store
        return web.to_json(
            {
                'items': [
                    {'service': resource.name, **(resource.spec or {})}
                    for resource in store.list_kind(kinds.ROLL_OUT)
                ],
            },
        )

    def _get(self, service: str) -> str:
        return _to_json(service, self._cluster.roll_outs.get(service))

    def _start(self, service: str) -> str:
        body = web.read_json_body()
        if not isinstance(body, dict):
            raise errors.InvalidInputError(f'got {body!r}, expected an object')
        accepted = self._cluster.roll_outs.order(
            service,
            check_version(body.get('version')),
            check_duration(body.get('duration_ms')),
            is_again=body.get('again') is True,
            check_caller=web.check_caller_waits,
        )
        return _to_json(service, accepted)

    def _end(self, service: str) -> str:
        ended = self._cluster.roll_outs.end(service, 'ended by an operator')
        return _to_json(service, ended)


def check_version(version: typing.Any) -> str:
    """Returns the version; raises InvalidResourceError."""
    schema.check_name(version, label='version')
    return str(version)


def check_duration(duration_ms: typing.Any) -> int:
    """Returns the duration in ms; raises InvalidInputError."""
    is_number = isinstance(duration_ms, (int, float))
    if isinstance(duration_ms, bool) or not is_number:
        raise _duration_error(duration_ms)
    if not 1 <= duration_ms <= roll_out_records.MAX_DURATION_MS:
        raise _duration_error(duration_ms)
    return int(duration_ms)


def _duration_error(given: typing.Any) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        f'got a duration of {given!r} ms, expected a number from 1 to '
        f'{roll_out_records.MAX_DURATION_MS}',
    )


def _to_json(service: str, roll_out: roll_outs.RollOut) -> str:
    return web.to_json({'service': service, **roll_out._asdict()})
