"""The messages between entries and a ledger."""

from __future__ import annotations

import enum
import typing

from mulberryquay.coordination import wire

PROTOCOL_VERSION: typing.Final = 1


class ClaimState(enum.Enum):
    """What a ledger says of a key."""

    #: The key is new: the entry may run the request, once.
    GRANTED = 'granted'
    #: An earlier request with the key may still be running.
    RUNNING = 'running'
    #: The earlier request was answered; the answer is kept.
    KEPT = 'kept'
    #: The earlier request may have run and its answer is not known.
    UNKNOWN = 'unknown'
    #: The key came with another request before.
    MISMATCH = 'mismatch'


class Hello(typing.NamedTuple):
    """First message; ``boot`` differs after each start of the entry."""

    protocol_version: int
    entry: str
    incarnation: str


class Claim(typing.NamedTuple):
    """Asks for the right to run a request."""

    number: int
    #: Client account and key, joined.
    key: str
    #: Digest of method, path and body.
    digest: bytes
    #: How long the request may run, in ms.
    timeout_ms: int


class ClaimAnswer(typing.NamedTuple):
    """Answers `Claim`; ``answer`` is there if the state is kept."""

    number: int
    state: str
    #: Status, headers and body of the kept answer, or nothing.
    answer: list[typing.Any]


class Settle(typing.NamedTuple):
    """Says how a granted request ended; answered by `Settled`."""

    number: int
    #: Number of the claim that it ends.
    claim_number: int
    key: str
    digest: bytes
    #: kept, unknown, or granted if it did not run and the key is free.
    state: str
    answer: list[typing.Any]


class SettleAck(typing.NamedTuple):
    """The end of a request is synced."""

    number: int


CODEC: typing.Final = wire.MessageCodec(
    (Hello, Claim, ClaimAnswer, Settle, SettleAck),
)
