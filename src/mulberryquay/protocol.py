"""The messages between entries and control hosts."""

from __future__ import annotations

import typing

from mulberryquay.coordination import wire

#: Changes with each incompatible change of a message.
PROTOCOL_VERSION: typing.Final = 3


class Hello(typing.NamedTuple):
    """First message of an entry; the control host answers with its state."""

    protocol_version: int
    entry: str
    region: str
    domain: str
    #: Where the entry answers account queries, as ``host:port``.
    admin_address: str
    #: Where the entry takes requests from other entries, as ``host:port``.
    peer_address: str
    #: What the entry knows of targets, for a control host that restarted.
    #: Name, incarnation, allowance and whether it is warm.
    known_targets: list[tuple[str, int, int, bool]]
    #: Revision of the configuration in force, 0 if it has none.
    config_revision: int


class ConfigSlice(typing.NamedTuple):
    """A part of the whole configuration at one revision."""

    revision: int
    #: Rows of `coordination.store.Resource`.
    resources: list[list[typing.Any]]
    is_last: bool


class ConfigDelta(typing.NamedTuple):
    """Accepted changes that take effect at once."""

    #: Rows of `coordination.store.Resource` in order of their revisions.
    resources: list[list[typing.Any]]


class TargetRow(typing.NamedTuple):
    """A target as entries see it."""

    name: str
    service: str
    #: ``host:port`` with an IP number.
    address: str
    region: str
    domain: str
    #: Calls that the target can run at once when warm.
    slots: int
    #: Connections that the target can hold over all entries.
    connections: int
    #: Grows with each restart of the target.
    incarnation: int
    #: Calls that the target may run at once now, over all entries.
    allowance: int
    #: Whether the target has shown that it bears all its slots.
    is_warm: bool
    is_leaving: bool
    #: Status codes that say the target refused before running the call.
    shed_statuses: list[int]
    #: Grows with each announcement of one run.
    sequence: int = 0
    #: Milliseconds for which the target stays cold; -1 if it does not say.
    cold_ms: int = -1


class TargetsChanged(typing.NamedTuple):
    """Targets that changed and names of targets that are gone."""

    #: Rows of `TargetRow`.
    changed: list[list[typing.Any]]
    removed: list[str]
    #: True if ``changed`` lists all targets, so that others are gone.
    is_complete: bool


class EntriesProposed(typing.NamedTuple):
    """An entry list that waits for the confirmation of every live entry."""

    epoch: int
    members: list[str]


class EntriesCommitted(typing.NamedTuple):
    """An entry list that every live entry confirmed."""

    epoch: int
    members: list[str]


class PeersChanged(typing.NamedTuple):
    """The live entries to which requests can be relayed."""

    #: Rows of name, region and ``host:port``.
    peers: list[list[str]]


class ControlHosts(typing.NamedTuple):
    """The control hosts that an entry may follow."""

    #: Rows of address, region and failure domain.
    hosts: list[list[str]]


class Heartbeat(typing.NamedTuple):
    """An entry's regular report; answered by `HeartbeatAnswer`."""

    sequence: int
    config_revision: int
    entries_epoch: int
    #: Good answers of targets that are not warm, by name.
    served: dict[str, int]
    #: Incarnations of targets that shed or slowed down, by name.
    shed: dict[str, int]


class HeartbeatAnswer(typing.NamedTuple):
    """Renews the freshness lease from the time the beat was sent."""

    sequence: int
    #: 0 from a control host that has lost touch with the majority.
    lease_ms: int


class ConnectionLost(typing.NamedTuple):
    """A target's connection was lost while it ran a request."""

    fingerprint: bytes
    target: str
    #: How long the request ran before the connection was lost.
    ran_for_ms: float


class RequestCleared(typing.NamedTuple):
    """A request that had been reported by `ConnectionLost` was answered."""

    fingerprint: bytes


class RequestBlocked(typing.NamedTuple):
    """A request broke several targets; refuse it for a while."""

    fingerprint: bytes
    duration_ms: int


class EntryLeaving(typing.NamedTuple):
    """The entry began to stop: it takes no share of targets any more."""

    entry: str


class EntryLeft(typing.NamedTuple):
    """Last message of an entry that stopped with nothing in flight."""

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
        ConnectionLost,
        RequestCleared,
        RequestBlocked,
        EntryLeaving,
        EntryLeft,
    ),
)
