"""Serves the resource API: JSON over HTTP, with watches as JSON lines."""

from __future__ import annotations

import json
import typing

import bottle

from mulberryquay import protocol, web
from mulberryquay.control import (
    cluster,
    configuration,
    directory,
    host_protocol,
    kinds,
)
from mulberryquay.coordination import errors, history, schema, store, units
from mulberryquay.kernel import registry

#: Interval of bookmark lines in a watch without changes.
BOOKMARK_INTERVAL_MS: typing.Final = 5000

_JSON_LINES: typing.Final = 'application/jsonl'
_RESOURCE_PATH: typing.Final = '/v1/<kind>/<name>'
_ANNOUNCEMENT_PATH: typing.Final = '/v1/announcements/<name>'


#: The requests that the API serves, listed on the reference page.
ROUTES: typing.Final = (
    ('GET /v1/KIND', 'list a kind, with the revision of the list'),
    (
        'GET /v1/KIND?watch=1&since=REVISION',
        'stream of JSON lines, one per change; 410 if the revision is too '
        'old: list again; a bookmark line while nothing changes',
    ),
    ('GET /v1/watch?since=REVISION', 'the same for all declared kinds'),
    ('GET /v1/KIND/NAME', 'get one resource'),
    (
        'PUT /v1/KIND/NAME',
        'declare a resource; the body has `version` and `spec`; repeating a '
        'version with the same content gets the first answer, with other '
        'content a 409',
    ),
    (
        'PUT /v1/configuration',
        'replace all declared resources except failure domains at once; the '
        'body has `version` and `resources` (kind, name, spec); a version '
        'that is not higher than the current one is acknowledged and '
        'changes nothing',
    ),
    (
        'GET /v1/configuration',
        'get the newest whole configuration; 503 if this host cannot confirm '
        'that it has the newest',
    ),
    (
        'DELETE /v1/KIND/NAME?version=N',
        'delete a resource; N must be higher than its current version',
    ),
    (
        'GET /v1/revisions/N',
        'whether every live entry has confirmed a revision',
    ),
    (
        'GET /v1/entries',
        'list live entries, with the revisions that they confirmed',
    ),
    ('GET /v1/status', 'summary of the state of the control host'),
    ('POST /v1/announcements', 'a target announces itself'),
    (
        'PUT /v1/announcements/NAME',
        'a target renews its lease (body: `incarnation`); 404: announce again',
    ),
    (
        'DELETE /v1/announcements/NAME?incarnation=N',
        'a target leaves: it gets no new requests',
    ),
    (
        'GET /healthz, /readyz, /metrics',
        'health, readiness and metrics, for the platform',
    ),
)


@typing.final
class ReadOnlyKindError(errors.MulberryquayError):
    """Targets cannot be declared; they announce themselves."""

    code = 'read-only-kind'
    http_status = 405


@typing.final
class ResourceApi:
    """The request handlers of the resource API."""

    def __init__(
        self,
        group: cluster.Cluster,
        kinds_by_name: registry.Registry[schema.Fields],
    ) -> None:
        """Serves the group's state; kinds come from the kernel."""
        self._cluster = group
        self._store = group.state.store
        self._directory = group.targets
        self._membership = group.entries
        self._kinds = kinds_by_name

    def install(self, app: bottle.Bottle) -> None:
        """Adds the routes to ``app``."""
        app.route('/v1/status', 'GET', self._status)
        app.route('/v1/configuration', 'GET', self._get_configuration)
        app.route('/v1/configuration', 'PUT', self._put_configuration)
        app.route('/v1/entries', 'GET', self._list_entries)
        app.route('/v1/revisions/<number:int>', 'GET', self._get_revision)
        app.route('/v1/watch', 'GET', self._watch_all)
        app.route('/v1/announcements', 'POST', self._announce)
        app.route(_ANNOUNCEMENT_PATH, 'PUT', self._renew)
        app.route(_ANNOUNCEMENT_PATH, 'DELETE', self._leave)
        app.route('/v1/<kind>', 'GET', self._list)
        app.route(_RESOURCE_PATH, 'GET', self._get)
        app.route(_RESOURCE_PATH, 'PUT', self._put)
        app.route(_RESOURCE_PATH, 'DELETE', self._delete)

    def _list(self, kind: str) -> typing.Any:
        if bottle.request.query.get('watch'):
            return self._watch(kind)
        if kind == kinds.TARGET:
            return web.to_json(
                {
                    'revision': self._directory.changes.revision,
                    'items': [
                        target_to_json(row)
                        for row in self._directory.list_targets()
                    ],
                },
            )
        self._kinds.get(kind)
        self._cluster.wait_until_current()
        return web.to_json(
            {
                'revision': self._store.revision,
                'items': [
                    resource_to_json(resource)
                    for resource in self._store.list_kind(kind)
                ],
            },
        )

    def _get(self, kind: str, name: str) -> str:
        if kind == kinds.TARGET:
            return web.to_json(target_to_json(self._directory.get(name)))
        self._kinds.get(kind)
        self._cluster.wait_until_current()
        return web.to_json(resource_to_json(self._store.get(kind, name)))

    def _put(self, kind: str, name: str) -> str:
        _check_declared(kind)
        fields = self._kinds.get(kind)
        schema.check_name(name, label=f'name of {kind}')
        body = web.read_json_body()
        if not isinstance(body, dict) or set(body) != {'version', 'spec'}:
            raise errors.InvalidInputError(
                f'got {schema.show(body)}, expected an object with "version" '
                'and "spec"',
            )
        order = host_protocol.PutResource(
            kind,
            name,
            _check_counter(body['version']),
            schema.check_spec(body['spec'], fields, label=kind),
        )
        resource = store.Resource(*self._cluster.orders.execute(order))
        return web.to_json(resource_to_json(resource))

    def _get_configuration(self) -> str:
        self._cluster.wait_until_current()
        current = self._store.configuration
        if current is None:
            raise errors.NotFoundError(
                'no whole configuration has been put yet'
            )
        return web.to_json(
            {
                'version': current.version,
                'resources': json.loads(current.document),
            },
        )

    def _put_configuration(self) -> str:
        body = web.read_json_body()
        if not isinstance(body, dict) or set(body) != {'version', 'resources'}:
            raise errors.InvalidInputError(
                'expected an object with "version" and "resources"',
            )
        version = _check_counter(body['version'])
        checked = configuration.check(body['resources'], self._kinds)
        order = host_protocol.PutConfiguration(
            version,
            json.dumps(body['resources']).encode(),
            [list(resource) for resource in checked],
        )
        current = self._cluster.orders.execute(order)[0]
        return web.to_json(
            {
                'version': version,
                'held_version': current,
                'revision': self._store.revision,
            },
        )

    def _delete(self, kind: str, name: str) -> str:
        _check_declared(kind)
        self._kinds.get(kind)
        version = _check_counter(web.query_integer('version'))
        order = host_protocol.PutResource(kind, name, version, None)
        resource = store.Resource(*self._cluster.orders.execute(order))
        return web.to_json(resource_to_json(resource))

    def _watch_all(self) -> typing.Iterator[str]:
        return self._watch_store(None)

    def _watch(self, kind: str) -> typing.Iterator[str]:
        if kind == kinds.TARGET:
            since = web.query_integer(
                'since',
                default=self._directory.changes.revision,
            )
            return _stream_changes(self._directory.changes, since, _target_line)
        self._kinds.get(kind)
        return self._watch_store(kind)

    def _watch_store(self, kind: str | None) -> typing.Iterator[str]:
        since = web.query_integer('since', default=self._store.revision)

        def to_line(_revision: int, change: store.Resource) -> str:
            if kind not in {None, change.kind}:
                return ''
            return _to_json_line(resource_to_json(change))

        return _stream_changes(self._store.changes, since, to_line)

    def _announce(self) -> str:
        row = self._directory.announce(web.read_json_body())
        return self._announcement_answer(row)

    def _renew(self, name: str) -> str:
        body = web.read_json_body()
        incarnation = body.get('incarnation') if isinstance(body, dict) else 0
        row = self._directory.renew(
            name,
            incarnation=_check_counter(incarnation),
        )
        return self._announcement_answer(row)

    def _leave(self, name: str) -> str:
        incarnation = web.query_integer('incarnation')
        self._directory.check_incarnation(name, incarnation)
        self._cluster.orders.execute(
            host_protocol.EndTarget(name, incarnation),
        )
        return self._announcement_answer(self._directory.get(name))

    def _announcement_answer(self, row: protocol.TargetRow) -> str:
        return web.to_json(
            {**target_to_json(row), 'lease_ms': self._directory.lease},
        )

    def _list_entries(self) -> str:
        return web.to_json(
            {
                'items': [
                    {
                        'name': name,
                        'region': status.row.region,
                        'domain': status.row.domain,
                        'admin_address': status.row.admin_address,
                        'config_revision': status.row.config_revision,
                    }
                    for name, status in sorted(
                        self._membership.entries.items(),
                    )
                ],
            },
        )

    def _get_revision(self, number: int) -> str:
        if number > self._store.revision:
            raise errors.NotFoundError(
                f'got revision {number}, expected at most '
                f'{self._store.revision}',
            )
        waiting = self._membership.waiting_for(number)
        return web.to_json(
            {
                'revision': number,
                'in_force': not waiting,
                'waiting_for': waiting,
            },
        )

    def _status(self) -> str:
        pending = self._membership.pending
        return web.to_json(
            {
                'revision': self._store.revision,
                'targets': len(self._directory.list_targets()),
                'entries': sorted(self._membership.entries),
                'entries_epoch': self._membership.committed.epoch,
                'entries_pending': pending is not None,
                'leader': self._cluster.replica.leader_address,
                'term': self._cluster.replica.term,
                'voters': sorted(self._cluster.replica.members.values()),
                'waiting_for': self._membership.waiting_for(
                    self._store.revision,
                ),
            },
        )


def resource_to_json(resource: store.Resource) -> dict[str, typing.Any]:
    """Returns a declared resource as the API shows it."""
    return {**resource._asdict(), 'deleted': resource.spec is None}


def target_to_json(row: protocol.TargetRow) -> dict[str, typing.Any]:
    """Returns an announced target as the API shows it."""
    return row._asdict()


def _target_line(revision: int, change: directory.TargetChange) -> str:
    return _to_json_line(
        {
            'revision': revision,
            'reason': change.reason,
            'removed': change.is_removed,
            'target': target_to_json(change.target),
        },
    )


def _to_json_line(content: dict[str, typing.Any]) -> str:
    return json.dumps(content) + '\n'


def _stream_changes(
    changes: history.History[typing.Any],
    since: int,
    to_line: typing.Callable[[int, typing.Any], str],
) -> typing.Iterator[str]:
    """Yields one line per change, and bookmark lines while nothing changes.

    Reads the first changes before it returns the generator, so that a
    revision that is too old is refused with a status code.
    """
    first = changes.since(since)
    bottle.response.content_type = _JSON_LINES
    web.begin_stream()

    def lines() -> typing.Iterator[str]:
        sent = since
        unsent = first
        while True:
            for change in unsent:
                sent += 1
                yield from web.line_parts(to_line(sent, change))
            if not changes.wait(sent, timeout=BOOKMARK_INTERVAL_MS):
                yield _to_json_line({'bookmark': sent})
            try:
                unsent = changes.since(sent)
            except history.RevisionCompactedError as error:
                yield _to_json_line(errors.to_body(error.code, str(error)))
                return

    return lines()


def _check_declared(kind: str) -> None:
    if kind == kinds.ROLL_OUT:
        raise ReadOnlyKindError('roll-outs are started at POST /v1/roll-outs')
    if kind == kinds.TARGET:
        raise ReadOnlyKindError(
            'targets cannot be declared; they announce themselves at '
            '/v1/announcements',
        )


def _check_counter(counter: typing.Any) -> int:
    is_number = isinstance(counter, int) and not isinstance(counter, bool)
    if not is_number or not 1 <= counter <= units.MAX_INT64:
        raise errors.InvalidInputError(
            f'got version or incarnation {counter!r}, expected a whole '
            f'number from 1 to {units.MAX_INT64}',
        )
    return int(counter)
