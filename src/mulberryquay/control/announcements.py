"""What targets say of themselves, and how it is checked."""

from __future__ import annotations

import ipaddress
import typing

from mulberryquay import protocol
from mulberryquay.coordination import allowance, schema, units

_MAX_SLOTS: typing.Final = 10_000
_MAX_CONNECTIONS: typing.Final = 1_000_000
_MAX_PORT: typing.Final = 65535
_MAX_STATUS: typing.Final = 599

#: The ``cold_ms`` of a target that does not know whether it is cold.
UNTOLD: typing.Final = -1

ANNOUNCEMENT_FIELDS: typing.Final[schema.Fields] = {
    'name': schema.Text(required=True),
    'service': schema.Text(required=True),
    'address': schema.Text(required=True),
    'region': schema.Text(required=True),
    'domain': schema.Text(required=True),
    'slots': schema.Integer(1, _MAX_SLOTS, required=True),
    'connections': schema.Integer(1, _MAX_CONNECTIONS, required=True),
    'incarnation': schema.Integer(1, units.MAX_INT64, required=True),
    'shed_status': schema.Integer(0, _MAX_STATUS, default=0),
    'sequence': schema.Integer(0, units.MAX_INT64, default=0),
    'cold_ms': schema.Integer(-1, units.HOUR_MS, default=UNTOLD),
}


def parse(announcement: typing.Any) -> protocol.TargetRow:
    """Returns what a target says of itself; raises InvalidResourceError."""
    spec = schema.check_spec(
        announcement,
        ANNOUNCEMENT_FIELDS,
        label='announcement',
    )
    for field in ('name', 'service', 'region', 'domain'):
        schema.check_name(spec[field], label=f'announcement.{field}')
    _check_address(spec['address'])
    shed_status = spec.pop('shed_status')
    return protocol.TargetRow(
        **spec,
        allowance=allowance.FIRST_ALLOWANCE,
        is_warm=False,
        is_leaving=False,
        shed_statuses=[shed_status] if shed_status else [],
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        port = ''
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise schema.InvalidResourceError(
            f'announcement.address: got {address!r}, expected an IP number '
            'and a port such as 10.0.0.7:8080',
        )
