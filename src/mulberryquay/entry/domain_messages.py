"""The datagrams in which entries tell each other about targets.

They go to the port for relayed requests, which is a TCP port otherwise. One
that is lost costs little: the next report of the target corrects the count.
"""

from __future__ import annotations

import typing

import msgpack

from mulberryquay.coordination import packing, units, wire
from mulberryquay.decisions import sightings

#: Most targets in one datagram, which must not be split on its way.
MAX_SIGHTINGS: typing.Final = 48

#: Figures are told as whole numbers of such parts.
HUNDREDTHS: typing.Final = 100
_TENTHS: typing.Final = 10
_NO_REPORT_AGE_MS: typing.Final = -1
_MAX_FIGURE: typing.Final = 1_000_000


class SightingsAsked(typing.NamedTuple):
    """Asks the keeper of a domain's targets of a service what it knows."""

    number: int
    service: str


class SightingsTold(typing.NamedTuple):
    """The answer to the question with the same number."""

    number: int
    #: For each target its name, tenths of calls, hundredths of the slowness,
    #: age of the report in ms, hundredths of the pace and of the failures.
    rows: list[list[typing.Any]]


class CallBegun(typing.NamedTuple):
    """An entry sends a call to a target."""

    service: str
    target: str


class CallEnded(typing.NamedTuple):
    """A call ended, with the target's load report if its answer had one."""

    service: str
    target: str
    has_failed: bool
    duration_ms: int
    #: Calls at the target without this one; -1 without a report.
    calls: int
    #: Hundredths of the slowness.
    slowness: int


#: Longest datagram once it is decompressed.
_MAX_UNPACKED_BYTES: typing.Final = units.MIB

_CODEC: typing.Final = wire.MessageCodec(
    (SightingsAsked, SightingsTold, CallBegun, CallEnded)
)

Message = SightingsAsked | SightingsTold | CallBegun | CallEnded


def encode(message: Message) -> bytes:
    """Returns the datagram of a message."""
    return _CODEC.encode(message)


def decode(datagram: bytes) -> Message:
    """Returns the message of a datagram; raises ProtocolError."""
    try:
        fields = packing.unpack(datagram)
    except (ValueError, msgpack.UnpackException) as error:
        raise wire.ProtocolError(f'got a damaged datagram: {error}') from error
    message = _CODEC.decode(fields, _check_unpacked)
    wire.check_texts(message)
    if not _is_well_formed(message):
        raise wire.ProtocolError('got a datagram with fields of other types')
    return typing.cast(Message, message)


def _check_unpacked(size: int) -> None:
    """Raises ProtocolError for what no compressed datagram needs."""
    if size > _MAX_UNPACKED_BYTES:
        raise wire.ProtocolError(
            f'got a datagram of more than {_MAX_UNPACKED_BYTES} bytes',
        )


def row_of(sighting: sightings.Sighting) -> list[typing.Any]:
    """Returns the row of `SightingsTold` for a sighting."""
    age = min(sighting.report_age_ms, float(_MAX_FIGURE))
    return [
        sighting.target,
        _whole(sighting.calls, _TENTHS),
        _whole(sighting.slowness, HUNDREDTHS),
        _NO_REPORT_AGE_MS if age >= _MAX_FIGURE else int(age),
        _whole(sighting.pace, HUNDREDTHS),
        _whole(sighting.failing, HUNDREDTHS),
    ]


def sighting_of(row: typing.Sequence[typing.Any]) -> sightings.Sighting:
    """Returns the sighting of a row."""
    target, calls, slowness, age, pace, failing = row
    return sightings.Sighting(
        target,
        calls / _TENTHS,
        slowness / HUNDREDTHS,
        float('inf') if age < 0 else age,
        pace / HUNDREDTHS,
        failing / HUNDREDTHS,
    )


def _whole(figure: float, scale: int) -> int:
    return int(min(figure * scale, _MAX_FIGURE))


def _is_well_formed(message: typing.Any) -> bool:
    match message:
        case SightingsAsked(int(), str()) | CallBegun(str(), str()):
            return True
        case SightingsTold(int(), list(rows)):
            return all(map(_is_row, rows))
        case CallEnded(str(), str(), bool(), int(), int(), int()):
            return True
        case _:
            return False


def _is_row(row: typing.Any) -> bool:
    match row:
        case [str(), int(), int(), int(), int(), int()]:
            return bool(row[4] > 0)
        case _:
            return False
