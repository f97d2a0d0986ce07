"""Defines the messages between control hosts."""

from __future__ import annotations

import typing

from mulberryquay import crash_messages
from mulberryquay.coordination import wire
from mulberryquay.coordination.replication import messages


class HostInfo(typing.NamedTuple):
    """A control host as it describes itself to hosts and entries."""

    #: Where it accepts calls from other control hosts, as ``IP:PORT``.
    address: str
    #: Where it accepts the streams of entries.
    feed_address: str
    region: str
    domain: str


class PutResource(typing.NamedTuple):
    """Declares a resource, or deletes it if ``spec`` is None."""

    kind: str
    name: str
    version: int
    spec: dict[str, typing.Any] | None


class PutConfiguration(typing.NamedTuple):
    """Replaces the whole configuration."""

    version: int
    document: bytes
    #: Rows of kind, name and validated spec.
    resources: list[list[typing.Any]]


class SetDomainState(typing.NamedTuple):
    """Takes a failure domain out of service or returns it to service."""

    domain: str
    region: str
    state: str
    #: The version that the order replaces; 0 if the domain has none.
    replaced_version: int


class EndTarget(typing.NamedTuple):
    """Stops new requests to one incarnation of a target."""

    name: str
    #: None, from older hosts 0, for the incarnation that the leader knows.
    incarnation: int | None


class StartRollOut(typing.NamedTuple):
    """Moves a service to targets of another version."""

    service: str
    version: str
    duration_ms: int
    #: Share of the requests that the new version gets first.
    share: float
    #: Versions of the targets that the service has now.
    old_versions: list[str]
    #: When the order was received, in ms since the Unix epoch.
    started_at: int
    #: Version of the resource that the order replaces; 0 if there is none.
    replaced: int
    #: Whether a roll-out to the same version that has ended starts again.
    is_again: bool


class MoveRollOut(typing.NamedTuple):
    """Changes the stage of a roll-out that runs, or ends it."""

    service: str
    #: Version of the resource that the order replaces; 0 for any.
    replaced: int
    state: str
    stage: str
    share: float
    old_versions: list[str]
    elapsed_ms: int
    reason: str


class VersionsReported(typing.NamedTuple):
    """Reports answers by version to the leader."""

    #: Rows of `protocol.VersionAnswers`.
    rows: list[list[typing.Any]]


class VersionsReportAck(typing.NamedTuple):
    """Answers `VersionsReported` with whether the receiver leads."""

    is_leader: bool


class OrderResult(typing.NamedTuple):
    """Answers an order; the fields depend on the kind of order."""

    fields: list[typing.Any]


class HostUpdate(typing.NamedTuple):
    """State that a control host sends to each of the others."""

    #: Row of `HostInfo` in a full update, empty in an incremental one.
    sender: list[typing.Any]
    #: The sender's address.
    address: str
    #: Whether ``updates`` holds the sender's full state.
    is_snapshot: bool
    #: Messages as encoded by `wire.MessageCodec.fields_of`.
    updates: list[list[typing.Any]]


class HostUpdateAck(typing.NamedTuple):
    """Answers `HostUpdate`; ``incarnation`` is new after each start."""

    incarnation: str


class TargetAnnounced(typing.NamedTuple):
    """A target announced itself or changed what it announces."""

    #: Row of `protocol.TargetRow`.
    row: list[typing.Any]


class TargetLeasesRenewed(typing.NamedTuple):
    """The incarnations, by name, of targets that renewed their leases."""

    incarnations: dict[str, int]


class TargetsReported(typing.NamedTuple):
    """What entries observed on targets; see `protocol.Heartbeat`."""

    served: dict[str, int]
    shed: dict[str, int]
    rate_limits: typing.Mapping[str, typing.Sequence[typing.Any]]


class EntryLists(typing.NamedTuple):
    """The leader's entry lists and the entries that accept relays."""

    committed_epoch: int
    committed: list[str]
    #: 0 if no list is waiting for confirmations.
    pending_epoch: int
    pending: list[str]
    #: Rows of name, region, failure domain and address.
    peers: list[list[str]]


class EntriesReported(typing.NamedTuple):
    """Reports to the leader which entries are connected to a control host."""

    #: Rows of `membership.EntryRow` that are new or have changed.
    changed: list[list[typing.Any]]
    #: Names of all entries that sent a heartbeat recently.
    alive: list[str]
    #: Names of entries that have left.
    left: list[str]


class EntriesReportAck(typing.NamedTuple):
    """Answers `EntriesReported` with whether the receiver leads."""

    is_leader: bool


class PermitsRequested(typing.NamedTuple):
    """Asks the leader for permits of client accounts."""

    #: How many, by name of the account.
    counts: dict[str, int]


class PermitsAllotted(typing.NamedTuple):
    """Answers `PermitsRequested`."""

    #: Whether the receiver leads; otherwise it has granted nothing.
    is_leader: bool
    #: Rows of `decisions.permits.Decision` by name of the account.
    decisions: dict[str, list[typing.Any]]


ORDERS: typing.Final = (
    PutResource,
    PutConfiguration,
    SetDomainState,
    EndTarget,
    StartRollOut,
    MoveRollOut,
)

#: The messages that a `HostUpdate` carries.
UPDATES: typing.Final = wire.MessageCodec(
    (
        TargetAnnounced,
        TargetLeasesRenewed,
        TargetsReported,
        EntryLists,
        crash_messages.ConnectionLost,
        crash_messages.RequestCleared,
        crash_messages.RequestBlocked,
        crash_messages.RequestSuspected,
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
        PermitsRequested,
        PermitsAllotted,
        VersionsReported,
        VersionsReportAck,
    ),
)
