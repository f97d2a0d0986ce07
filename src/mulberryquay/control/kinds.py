"""The resource kinds that operators declare."""

from __future__ import annotations

import typing

from mulberryquay.coordination import schema, units
from mulberryquay.kernel import plugins

SERVICE: typing.Final = 'services'
FAILURE_DOMAIN: typing.Final = 'failure-domains'
ROUTE: typing.Final = 'routes'
CLIENT_ACCOUNT: typing.Final = 'client-accounts'
SERVICE_CLASS: typing.Final = 'service-classes'

#: Kind under which announced targets are listed; not declared.
TARGET: typing.Final = 'targets'

STATE_IN: typing.Final = 'in'
STATE_OUT: typing.Final = 'out'

_MAX_TIMEOUT_MS: typing.Final = units.HOUR_MS
_MAX_COUNT: typing.Final = 1_000_000
_DEFAULT_QUEUE: typing.Final = 256
_MIDDLE_VALUE: typing.Final = 50

SERVICE_FIELDS: typing.Final[schema.Fields] = {
    'timeout_ms': schema.Integer(1, _MAX_TIMEOUT_MS, default=units.MINUTE_MS),
    'max_body_bytes': schema.Integer(
        0,
        units.MAX_BODY_BYTES,
        default=units.MAX_BODY_BYTES,
    ),
    'max_queue': schema.Integer(0, _MAX_COUNT, default=_DEFAULT_QUEUE),
}

FAILURE_DOMAIN_FIELDS: typing.Final[schema.Fields] = {
    'region': schema.Text(required=True),
    'state': schema.Text(default=STATE_IN, choices=(STATE_IN, STATE_OUT)),
}

ROUTE_FIELDS: typing.Final[schema.Fields] = {
    'path_prefix': schema.Text(required=True, prefix='/'),
    'service': schema.Text(required=True),
    'service_class': schema.Text(default='default'),
    'home_regions': schema.Names(),
}

CLIENT_ACCOUNT_FIELDS: typing.Final[schema.Fields] = {
    'home_regions': schema.Names(),
    'max_in_flight': schema.Integer(0, _MAX_COUNT, default=_MAX_COUNT),
}

SERVICE_CLASS_FIELDS: typing.Final[schema.Fields] = {
    'idempotent': schema.Flag(default=False),
    'deferrable': schema.Flag(default=False),
    'value': schema.Integer(0, 100, default=_MIDDLE_VALUE),
    'max_attempts': schema.Integer(1, 5, default=3),
}


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the built-in kinds with their fields."""
    kernel.resource_kinds.add(SERVICE, SERVICE_FIELDS)
    kernel.resource_kinds.add(FAILURE_DOMAIN, FAILURE_DOMAIN_FIELDS)
    kernel.resource_kinds.add(ROUTE, ROUTE_FIELDS)
    kernel.resource_kinds.add(CLIENT_ACCOUNT, CLIENT_ACCOUNT_FIELDS)
    kernel.resource_kinds.add(SERVICE_CLASS, SERVICE_CLASS_FIELDS)
