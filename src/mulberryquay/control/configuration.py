"""Validates a whole configuration before it is accepted."""

from __future__ import annotations

import re
import typing

from mulberryquay.control import kinds
from mulberryquay.coordination import errors, schema, units
from mulberryquay.kernel import registry

#: Longest timeout of a route.
MAX_TIMEOUT_MS: typing.Final = 10 * units.MINUTE_MS

#: An objective must be below the route's timeout plus this.
_OBJECTIVE_SLACK_MS: typing.Final = units.MINUTE_MS

_MAX_RESOURCES: typing.Final = 100_000

#: Kind, name and validated spec of a resource.
Checked = tuple[str, str, schema.Spec]
Resources = list[Checked]

#: What a header can carry unchanged: targets get the names of accounts so.
_ACCOUNT_NAME: typing.Final = re.compile(
    r'[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)


@typing.final
class InvalidConfigurationError(errors.InvalidInputError):
    """A configuration breaks a rule; none of its changes takes effect."""

    code = 'invalid-configuration'


def check(
    resources: typing.Any,
    fields_by_kind: registry.Registry[schema.Fields],
) -> Resources:
    """Returns the resources with all defaults filled in.

    Raises InvalidConfigurationError and InvalidResourceError.
    """
    if not isinstance(resources, list) or len(resources) > _MAX_RESOURCES:
        raise InvalidConfigurationError(
            f'resources: expected a list of at most {_MAX_RESOURCES} resources',
        )
    checked: Resources = []
    for resource in resources:
        kind, name, spec = _read_resource(resource)
        fields = fields_by_kind.get(kind)
        label = f'{kind} {schema.show(name)}'
        checked.append(
            (kind, name, schema.check_spec(spec, fields, label=label))
        )
    _check_unique(checked)
    check_keys(checked)
    services = {name for kind, name, _ in checked if kind == kinds.SERVICE}
    for kind, name, spec in checked:
        if kind == kinds.ROUTE:
            _check_route(name, spec, services)
    return checked


def _read_resource(resource: typing.Any) -> tuple[str, str, typing.Any]:
    if not isinstance(resource, dict):
        raise InvalidConfigurationError(
            f'got resource {schema.show(resource)}, expected kind, name and '
            'spec',
        )
    kind: typing.Any = resource.get('kind')
    name: typing.Any = resource.get('name')
    is_named = isinstance(name, str) and name and schema.is_unicode(name)
    is_configured = isinstance(kind, str) and kind in kinds.CONFIGURED
    if not is_configured or not is_named:
        raise InvalidConfigurationError(
            f'got {schema.show(kind)} {schema.show(name)}, expected a name and '
            'one of the kinds '
            f'{", ".join(sorted(kinds.CONFIGURED))}',
        )
    if kind == kinds.CLIENT_ACCOUNT and not _ACCOUNT_NAME.fullmatch(name):
        raise InvalidConfigurationError(
            f'{kind}: got name {schema.show(name)}, expected no control '
            'characters, and no spaces at the ends',
        )
    return kind, name, resource.get('spec')


def _check_unique(resources: Resources) -> None:
    declared: set[tuple[str, str]] = set()
    for kind, name, _ in resources:
        if (kind, name) in declared:
            raise InvalidConfigurationError(
                f'resources: {kind} {schema.show(name)} is declared twice',
            )
        declared.add((kind, name))


def check_keys(resources: typing.Iterable[Checked]) -> None:
    """Raises InvalidConfigurationError if two accounts have one key."""
    holders: dict[str, str] = {}
    for kind, name, spec in resources:
        if kind != kinds.CLIENT_ACCOUNT:
            continue
        for digest in spec.get('key_digests', ()):
            holder = holders.setdefault(digest, name)
            if holder != name:
                raise InvalidConfigurationError(
                    f'client accounts {holder!r} and {name!r}: '
                    'key_digests: expected no key in both',
                )


def _check_route(
    name: str,
    spec: schema.Spec,
    services: typing.Collection[str],
) -> None:
    if bool(spec['service']) == bool(spec['split']):
        raise InvalidConfigurationError(
            f'route {name!r}: expected either a service or a split',
        )
    used = spec['split'] or [spec['service']]
    unknown = [service for service in used if service not in services]
    if unknown:
        raise InvalidConfigurationError(
            f'route {name!r}: service {schema.show(unknown[0])} is not '
            'declared',
        )
    if spec['split'] and not any(spec['split'].values()):
        raise InvalidConfigurationError(
            f'route {name!r}: all weights of the split are 0',
        )
    _check_timeouts(name, spec)


def _check_timeouts(name: str, spec: schema.Spec) -> None:
    timeout = spec['timeout_ms']
    if timeout > MAX_TIMEOUT_MS:
        raise InvalidConfigurationError(
            f'route {name!r}: got timeout_ms {timeout}, expected at most '
            f'{MAX_TIMEOUT_MS}',
        )
    objective = spec['objective_ms']
    if timeout and objective >= timeout + _OBJECTIVE_SLACK_MS:
        raise InvalidConfigurationError(
            f'route {name!r}: got objective_ms {objective}, expected less '
            f'than a minute above timeout_ms {timeout}',
        )
