"""Validates the announcements of targets."""

from __future__ import annotations

import ipaddress
import re
import typing

from mulberryquay import protocol
from mulberryquay.coordination import allowance, schema, units, wire

_MAX_SLOTS: typing.Final = 10_000
_MAX_CONNECTIONS: typing.Final = 1_000_000
_MAX_PORT: typing.Final = 65535
_PORT_PATTERN: typing.Final = re.compile('[1-9][0-9]{0,4}')
_MAX_STATUS: typing.Final = 599

#: Longest version of a target's software, in characters. Control hosts and
#: entries keep one for each target and each change of it.
MAX_VERSION_LENGTH: typing.Final = wire.MAX_TEXT_LENGTH

#: The ``cold_ms`` of a target that does not report whether it is cold.
COLD_MS_UNKNOWN: typing.Final = -1

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
    'version': schema.Text(),
    'cold_ms': schema.Integer(-1, units.HOUR_MS, default=COLD_MS_UNKNOWN),
}


def parse(announcement: typing.Any) -> protocol.TargetRow:
    """Returns the announced target as a row.

    Raises InvalidResourceError.
    """
    spec = schema.check_spec(
        announcement,
        ANNOUNCEMENT_FIELDS,
        label='announcement',
    )
    for field in ('name', 'service', 'region', 'domain'):
        schema.check_name(spec[field], label=f'announcement.{field}')
    _check_address(spec['address'])
    _check_version(spec['version'])
    shed_status = spec.pop('shed_status')
    return protocol.TargetRow(
        **spec,
        allowance=allowance.FIRST_ALLOWANCE,
        is_warm=False,
        is_leaving=False,
        shed_statuses=[shed_status] if shed_status else [],
    )


def _check_version(version: str) -> None:
    if len(version) > MAX_VERSION_LENGTH:
        raise schema.InvalidResourceError(
            f'announcement.version: got {len(version)} characters, expected '
            f'at most {MAX_VERSION_LENGTH}',
        )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    if not _is_ip_address(host.strip('[]')) or not _is_port(port):
        raise schema.InvalidResourceError(
            f'announcement.address: got {address!r}, expected an IP address '
            'and a port such as 10.0.0.7:8080',
        )


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # The zone of an IPv6 address may be any text and has no meaning elsewhere.
    return '%' not in host


def _is_port(text: str) -> bool:
    return bool(_PORT_PATTERN.fullmatch(text)) and int(text) <= _MAX_PORT
