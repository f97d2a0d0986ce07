"""Messages between replicas; the order of types and fields is on the wire."""

from __future__ import annotations

import typing

from mulberryquay.coordination import wire


class VoteRequest(typing.NamedTuple):
    """A candidate requests a vote."""

    voter: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    #: Whether this is a pre-vote: the voter answers and records nothing.
    is_pre_vote: bool
    #: Whether the leader asked for this election; a voter may then grant its
    #: vote although a leader is active.
    is_handover: bool


class VoteAnswer(typing.NamedTuple):
    """Answers `VoteRequest`."""

    term: int
    is_granted: bool


class AppendRequest(typing.NamedTuple):
    """The leader's next log entries; a heartbeat if there are none."""

    follower: str
    leader: str
    term: int
    previous_index: int
    previous_term: int
    #: Rows of `log.Entry`.
    entries: list[list[typing.Any]]
    commit_index: int


class AppendAnswer(typing.NamedTuple):
    """Answers `AppendRequest` and `SnapshotRequest`."""

    term: int
    is_accepted: bool
    #: If accepted, the last index that is synced and equal to the leader's;
    #: otherwise the index after which the leader sends next.
    match_index: int


class SnapshotRequest(typing.NamedTuple):
    """A snapshot for a follower whose next log entries are compacted."""

    follower: str
    leader: str
    term: int
    #: Index of the last log entry that ``state`` covers.
    state_index: int
    state_term: int
    #: Addresses of the voters by identity.
    members: dict[str, str]
    #: What the state machine's ``snapshot`` returned.
    state: typing.Any


class WrongReplica(typing.NamedTuple):
    """Another replica runs at the address of the one that was called."""

    identity: str


class JoinRequest(typing.NamedTuple):
    """A replica asks to become a voter."""

    identity: str
    address: str


class JoinAnswer(typing.NamedTuple):
    """Answers `JoinRequest`; empty if the leader is not known."""

    leader_address: str


class HandoverRequest(typing.NamedTuple):
    """The leader asks a follower to campaign at once."""

    follower: str
    term: int


class HandoverAnswer(typing.NamedTuple):
    """Answers `HandoverRequest`, whether or not the follower campaigns."""


class ReadRequest(typing.NamedTuple):
    """Asks the leader for its commit index, for a linearizable read."""


class ReadAnswer(typing.NamedTuple):
    """Answers `ReadRequest`."""

    #: -1 if this replica does not lead or could not confirm the index.
    commit_index: int


CODEC: typing.Final = wire.MessageCodec(
    (
        VoteRequest,
        VoteAnswer,
        AppendRequest,
        AppendAnswer,
        SnapshotRequest,
        WrongReplica,
        JoinRequest,
        JoinAnswer,
        HandoverRequest,
        HandoverAnswer,
        ReadRequest,
        ReadAnswer,
    ),
)
