"""Defines the messages between entries and a ledger."""

from __future__ import annotations

import enum
import typing

from mulberryquay.coordination import wire

PROTOCOL_VERSION: typing.Final = 1


class ClaimState(enum.Enum):
    """The state of a key in the ledger."""

    #: The key is new: the entry may run the request once.
    GRANTED = 'granted'
    #: An earlier request with the key may still be running.
    RUNNING = 'running'
    #: An earlier request with the key was answered; the answer is kept.
    KEPT = 'kept'
    #: An earlier request may have run, but its answer is unknown.
    UNKNOWN = 'unknown'
    #: The key was used with a different request before.
    MISMATCH = 'mismatch'
    #: The key is new, and the ledger holds as many as it may.
    FULL = 'full'


class Hello(typing.NamedTuple):
    """The first message; each start of the entry has a new incarnation."""

    protocol_version: int
    entry: str
    incarnation: str


class Claim(typing.NamedTuple):
    """Asks for permission to run a request."""

    number: int
    #: Client account and idempotency key, joined.
    key: str
    #: Digest of method, path and body.
    digest: bytes
    #: Timeout of the request, in ms.
    timeout_ms: int


class ClaimAnswer(typing.NamedTuple):
    """Answers `Claim`, with the kept answer if there is one."""

    number: int
    state: str
    #: Status, headers and body of the kept answer, or empty.
    answer: list[typing.Any]


class Settle(typing.NamedTuple):
    """Reports the outcome of a granted claim; answered by `SettleAck`."""

    number: int
    #: Number of the claim that it settles.
    claim_number: int
    key: str
    digest: bytes
    #: kept, unknown, or granted if the request did not run and the key is
    #: free again.
    state: str
    answer: list[typing.Any]


class SettleAck(typing.NamedTuple):
    """Confirms that the outcome of a claim is durable."""

    number: int


CODEC: typing.Final = wire.MessageCodec(
    (Hello, Claim, ClaimAnswer, Settle, SettleAck),
)
