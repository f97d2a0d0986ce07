"""Defines the resource kinds that operators declare."""

from __future__ import annotations

import typing

from mulberryquay.accounts import key_requirement, keys
from mulberryquay.coordination import schema, units
from mulberryquay.kernel import plugins

SERVICE: typing.Final = 'services'
FAILURE_DOMAIN: typing.Final = 'failure-domains'
ROUTE: typing.Final = 'routes'
CLIENT_ACCOUNT: typing.Final = 'client-accounts'
SERVICE_CLASS: typing.Final = 'service-classes'
LIMITS: typing.Final = 'limits'

#: Kind of the roll-outs, which orders start and change.
ROLL_OUT: typing.Final = 'roll-outs'

#: Name of the limits that apply to all callers.
CALLER_LIMITS: typing.Final = 'callers'

#: The kinds that a whole configuration replaces. Failure domains are taken
#: out of service and returned to it by separate orders.
CONFIGURED: typing.Final = frozenset(
    (SERVICE, ROUTE, SERVICE_CLASS, CLIENT_ACCOUNT, LIMITS),
)

#: Kind under which announced targets are listed; it cannot be declared.
TARGET: typing.Final = 'targets'

STATE_IN: typing.Final = 'in'
STATE_OUT: typing.Final = 'out'

_MAX_TIMEOUT_MS: typing.Final = units.HOUR_MS
_MAX_COUNT: typing.Final = 1_000_000
_DEFAULT_MAX_QUEUE: typing.Final = 256
_DEFAULT_CLASS_VALUE: typing.Final = 50
_MAX_RATE: typing.Final = 1_000_000
_MAX_ATTEMPTS: typing.Final = 100
_MAX_RANK: typing.Final = 1000
_DEFAULT_HEAD_BYTES: typing.Final = 32768
DEFAULT_HEAD_TIMEOUT_MS: typing.Final = 30_000
DEFAULT_IDLE_TIMEOUT_MS: typing.Final = 75_000

SERVICE_FIELDS: typing.Final[schema.Fields] = {
    'timeout_ms': schema.Integer(1, _MAX_TIMEOUT_MS, default=units.MINUTE_MS),
    'max_body_bytes': schema.Integer(
        0,
        units.MAX_BODY_BYTES,
        default=units.MAX_BODY_BYTES,
    ),
    'max_queue': schema.Integer(0, _MAX_COUNT, default=_DEFAULT_MAX_QUEUE),
    'health_path': schema.Text(prefix='/'),
    'max_connections': schema.Integer(0, _MAX_COUNT),
    'cold_period_ms': schema.Integer(0, _MAX_TIMEOUT_MS),
    'cold_per_s': schema.Number(0, _MAX_RATE),
}

FAILURE_DOMAIN_FIELDS: typing.Final[schema.Fields] = {
    'region': schema.Text(required=True),
    'state': schema.Text(default=STATE_IN, choices=(STATE_IN, STATE_OUT)),
}

ROUTE_FIELDS: typing.Final[schema.Fields] = {
    'host': schema.Text(),
    'path_prefix': schema.Text(required=True, prefix='/'),
    'service': schema.Text(),
    'split': schema.Weights(),
    'service_class': schema.Text(default='default'),
    'home_regions': schema.Names(),
    'timeout_ms': schema.Integer(0, _MAX_TIMEOUT_MS),
    'objective_ms': schema.Integer(0, _MAX_TIMEOUT_MS),
    'max_attempts': schema.Integer(0, _MAX_ATTEMPTS),
    'public': schema.Flag(),
}

CLIENT_ACCOUNT_FIELDS: typing.Final[schema.Fields] = {
    'home_regions': schema.Names(),
    'max_in_flight': schema.Integer(0, _MAX_COUNT, default=_MAX_COUNT),
    'authenticated': schema.Flag(),
    'key_digests': schema.Digests(keys.DIGEST_LENGTH),
    'rank': schema.Integer(0, _MAX_RANK),
    'rate_per_s': schema.Number(0, _MAX_RATE),
    'burst': schema.Number(0, _MAX_RATE),
}

SERVICE_CLASS_FIELDS: typing.Final[schema.Fields] = {
    'idempotent': schema.Flag(default=False),
    'deferrable': schema.Flag(default=False),
    'value': schema.Integer(0, 100, default=_DEFAULT_CLASS_VALUE),
    'max_attempts': schema.Integer(1, 5, default=3),
}


LIMITS_FIELDS: typing.Final[schema.Fields] = {
    'max_head_bytes': schema.Integer(
        1,
        units.MIB,
        default=_DEFAULT_HEAD_BYTES,
    ),
    'max_body_bytes': schema.Integer(
        0,
        units.MAX_BODY_BYTES,
        default=units.MAX_BODY_BYTES,
    ),
    'head_timeout_ms': schema.Integer(
        1,
        _MAX_TIMEOUT_MS,
        default=DEFAULT_HEAD_TIMEOUT_MS,
    ),
    'idle_timeout_ms': schema.Integer(
        1,
        _MAX_TIMEOUT_MS,
        default=DEFAULT_IDLE_TIMEOUT_MS,
    ),
    'authentication': schema.Text(
        default=key_requirement.Authentication.BY_ACCOUNT.value,
        choices=tuple(
            choice.value for choice in key_requirement.Authentication
        ),
    ),
}


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the built-in kinds with their fields."""
    kernel.resource_kinds.add(SERVICE, SERVICE_FIELDS)
    kernel.resource_kinds.add(FAILURE_DOMAIN, FAILURE_DOMAIN_FIELDS)
    kernel.resource_kinds.add(ROUTE, ROUTE_FIELDS)
    kernel.resource_kinds.add(CLIENT_ACCOUNT, CLIENT_ACCOUNT_FIELDS)
    kernel.resource_kinds.add(SERVICE_CLASS, SERVICE_CLASS_FIELDS)
    kernel.resource_kinds.add(LIMITS, LIMITS_FIELDS)
