"""The messages between control hosts."""

from __future__ import annotations

import typing

from mulberryquay import protocol
from mulberryquay.coordination import wire
from mulberryquay.coordination.replication import messages


class HostInfo(typing.NamedTuple):
    """A control host as the others and the entries see it."""

    #: Where other control hosts call it, as ``IP:PORT``.
    address: str
    #: Where entries follow it.
    feed_address: str
    region: str
    domain: str


class PutResource(typing.NamedTuple):
    """Declares a resource; a ``spec`` of None deletes it."""

    kind: str
    name: str
    version: int
    spec: dict[str, typing.Any] | None


class PutConfiguration(typing.NamedTuple):
    """Replaces the whole configuration."""

    version: int
    document: bytes
    #: Rows of kind, name and checked spec.
    resources: list[list[typing.Any]]


class SetDomainState(typing.NamedTuple):
    """Takes a failure domain out or back, whatever its version."""

    domain: str
    region: str
    state: str


class EndTarget(typing.NamedTuple):
    """Gives a run of a target no new work from now on."""

    name: str
    #: 0 stands for whichever run the leader knows.
    incarnation: int


class OrderResult(typing.NamedTuple):
    """Answers an order; the fields depend on it."""

    fields: list[typing.Any]


class HostUpdate(typing.NamedTuple):
    """What a control host tells all others."""

    #: Row of `HostInfo` in a whole bulletin, empty in others.
    sender: list[typing.Any]
    #: The sender's address.
    address: str
    #: Whether ``news`` is all that the sender knows.
    is_full: bool
    #: Messages as `wire.Vocabulary.fields_of` gives them.
    updates: list[list[typing.Any]]


class HostUpdateAck(typing.NamedTuple):
    """Answers `Bulletin`; ``boot`` differs after each start."""

    incarnation: str


class TargetAnnounced(typing.NamedTuple):
    """A target announced itself, or said something new."""

    #: Row of `protocol.TargetRow`.
    row: list[typing.Any]


class TargetLeasesRenewed(typing.NamedTuple):
    """Targets that renewed their leases, by name with their incarnation."""

    incarnations: dict[str, int]


class TargetsReported(typing.NamedTuple):
    """What entries observed of targets; see `protocol.Beat`."""

    served: dict[str, int]
    shed: dict[str, int]


class EntryLists(typing.NamedTuple):
    """The leader's entry lists and the entries that take relays."""

    committed_epoch: int
    committed: list[str]
    #: 0 if no list waits for confirmations.
    pending_epoch: int
    pending: list[str]
    #: Rows of name, region and address.
    peers: list[list[str]]


class EntriesReported(typing.NamedTuple):
    """The entries that follow a control host, for the leader."""

    #: Rows of `membership.EntryRow` that are new or changed.
    changed: list[list[typing.Any]]
    #: Names of all entries whose beats go on.
    alive: list[str]
    #: Names of entries that said goodbye.
    left: list[str]


class EntriesReportAck(typing.NamedTuple):
    """Answers `EntriesReported`; False if the host does not lead."""

    is_leader: bool


ORDERS: typing.Final = (
    PutResource,
    PutConfiguration,
    SetDomainState,
    EndTarget,
)

#: What a `Bulletin` carries.
UPDATES: typing.Final = wire.MessageCodec(
    (
        TargetAnnounced,
        TargetLeasesRenewed,
        TargetsReported,
        EntryLists,
        protocol.ConnectionLost,
        protocol.RequestCleared,
    ),
)

CODEC: typing.Final = messages.CODEC.extended(
    (
        *ORDERS,
        OrderResult,
        HostUpdate,
        HostUpdateAck,
        EntriesReported,
        EntriesReportAck,
    ),
)
