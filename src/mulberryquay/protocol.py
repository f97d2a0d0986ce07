"""Defines the messages between entries and control hosts."""

from __future__ import annotations

import typing

from mulberryquay import crash_messages
from mulberryquay.coordination import wire

#: Increased with each incompatible change to a message.
PROTOCOL_VERSION: typing.Final = 8

#: The oldest version of an entry that control hosts accept, so that they can
#: be replaced before the entries. It reads neither `TargetsEnded` nor
#: `crash_messages.RequestSuspected`.
OLDEST_ENTRY_VERSION: typing.Final = 7


class Hello(typing.NamedTuple):
    """The first message of an entry; the host answers with its state."""

    protocol_version: int
    entry: str
    region: str
    domain: str
    #: Where the entry answers queries about requests, as ``IP:PORT``.
    admin_address: str
    #: Where the entry accepts requests relayed by other entries, as
    #: ``IP:PORT``.
    peer_address: str
    #: Targets known to the entry, from which a restarted control host
    #: restores allowances: name, incarnation, allowance, whether it is warm.
    known_targets: list[tuple[str, int, int, bool]]
    #: Revision of the configuration in force, or 0 without one.
    config_revision: int
    #: Rows of `RateLimitReport`, by name, of targets that name a rate limit,
    #: from which a restarted control host restores it.
    known_rate_limits: typing.Mapping[str, typing.Sequence[typing.Any]]


class ConfigSlice(typing.NamedTuple):
    """One part of the whole configuration at one revision."""

    revision: int
    #: Rows of `coordination.store.Resource`.
    resources: list[list[typing.Any]]
    is_last: bool


class ConfigDelta(typing.NamedTuple):
    """Accepted changes, which the entry applies as soon as it has them."""

    #: Rows of `coordination.store.Resource` in order of their revisions.
    resources: list[list[typing.Any]]


class TargetRow(typing.NamedTuple):
    """A target as control hosts describe it to entries."""

    name: str
    service: str
    #: Where the target accepts calls, as ``IP:PORT``.
    address: str
    region: str
    domain: str
    #: Concurrent calls that the target can run when warm.
    slots: int
    #: Connections that the target accepts from all entries together.
    connections: int
    #: Increases with each restart of the target.
    incarnation: int
    #: Concurrent calls that all entries together may now send.
    allowance: int
    #: Whether slow start is over: the target answered well with all its slots
    #: allowed, or it reports ``cold_ms``.
    is_warm: bool
    is_leaving: bool
    #: Status codes with which the target refuses a call without running it.
    shed_statuses: list[int]
    #: Increases with each announcement of the same incarnation.
    sequence: int = 0
    #: Milliseconds for which the target stays cold; -1 if not reported.
    cold_ms: int = -1
    #: Calls per second that the target takes from all entries together, as
    #: its answers say; None without a limit.
    rate_per_s: float | None = None
    #: Version of the target's software; empty if not announced.
    version: str = ''
    #: Version of the service's roll-out resource that brings this target
    #: requests; an entry that has an older one sends none. 0 without one.
    roll_out: int = 0


class TargetsChanged(typing.NamedTuple):
    """Targets that changed and names of targets that were removed."""

    #: Rows of `TargetRow`.
    changed: list[list[typing.Any]]
    removed: list[str]
    #: True if ``changed`` lists all targets: any other was removed.
    is_complete: bool


class TargetsEnded(typing.NamedTuple):
    """Incarnations of targets that get no new requests, listed or not."""

    #: The last ended incarnation of each target, by name.
    incarnations: dict[str, int]


class EntriesProposed(typing.NamedTuple):
    """An entry list that every live entry has yet to confirm."""

    epoch: int
    members: list[str]


class EntriesCommitted(typing.NamedTuple):
    """An entry list that every live entry has confirmed."""

    epoch: int
    members: list[str]


class PeersChanged(typing.NamedTuple):
    """The live entries that accept relayed requests."""

    #: Rows of name, region, failure domain and ``IP:PORT``.
    peers: list[list[str]]


class ControlHosts(typing.NamedTuple):
    """The control hosts to which an entry may connect."""

    #: Rows of address, region and failure domain.
    hosts: list[list[str]]


class RateLimitReport(typing.NamedTuple):
    """The rate limit that an entry observed on an incarnation of a target."""

    incarnation: int
    #: Calls per second; None if the target names no limit any more.
    per_s: float | None


class VersionAnswers(typing.NamedTuple):
    """Equal answers of targets while their service has a roll-out."""

    service: str
    version: str
    domain: str
    route: str
    is_failure: bool
    #: Latency in steps of `version_evidence.latency_step`; -1 if it says
    #: nothing, such as that of a cold target.
    latency_step: int
    answers: int


class Heartbeat(typing.NamedTuple):
    """An entry's periodic report; answered by `HeartbeatAnswer`."""

    sequence: int
    config_revision: int
    entries_epoch: int
    #: Counts of good answers, by name, of targets that are not warm.
    served: dict[str, int]
    #: Incarnations, by name, of targets that shed calls or slowed down.
    shed: dict[str, int]
    #: Rows of `RateLimitReport`, by name, of targets whose rate limit differs
    #: from what the control host announces.
    rate_limits: typing.Mapping[str, typing.Sequence[typing.Any]]
    #: Rows of `VersionAnswers` since the last heartbeat.
    versions: typing.Sequence[typing.Sequence[typing.Any]] = ()


#: The sequence of an answer that a host sends because it has lost or regained
#: contact with the majority.
NO_HEARTBEAT: typing.Final = 0


class HeartbeatAnswer(typing.NamedTuple):
    """Renews the freshness lease, counted from the sending of the heartbeat."""

    sequence: int
    #: 0 if the control host has lost contact with the majority.
    lease_ms: int


class PermitsAsked(typing.NamedTuple):
    """An entry needs permits of a client account; see `PermitsDecided`."""

    number: int
    account: str
    amount: int


class PermitsDecided(typing.NamedTuple):
    """Answers the `PermitsAsked` with the same number."""

    number: int
    #: Row of `decisions.permits.Decision`.
    decision: list[typing.Any]


class EntryLeaving(typing.NamedTuple):
    """The entry is stopping: it gives up its share of the targets."""

    entry: str


class EntryLeft(typing.NamedTuple):
    """The last message of an entry, sent with no request in flight."""

    entry: str


CODEC: typing.Final = wire.MessageCodec(
    (
        Hello,
        ConfigSlice,
        ConfigDelta,
        TargetsChanged,
        EntriesProposed,
        EntriesCommitted,
        PeersChanged,
        ControlHosts,
        Heartbeat,
        HeartbeatAnswer,
        crash_messages.ConnectionLost,
        crash_messages.RequestCleared,
        crash_messages.RequestBlocked,
        EntryLeaving,
        EntryLeft,
        PermitsAsked,
        PermitsDecided,
        TargetsEnded,
        crash_messages.RequestSuspected,
    ),
)
