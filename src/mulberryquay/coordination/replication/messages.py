"""The calls between replicas and their answers."""

from __future__ import annotations

import typing

from mulberryquay.coordination import wire


class VoteRequest(typing.NamedTuple):
    """A candidate asks a voter for its vote."""

    voter: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    #: Only asks whether the vote would be granted; nothing is recorded.
    is_pre_vote: bool
    #: The leader asked for this election, so it need not be missed first.
    is_handover: bool


class VoteAnswer(typing.NamedTuple):
    """Answers `VoteRequest`."""

    term: int
    is_granted: bool


class AppendRequest(typing.NamedTuple):
    """The leader's next entries; without entries, a heartbeat."""

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
    #: The last index that is synced and equal to the leader's; if it was
    #: not accepted, where the leader should try next.
    match_index: int


class SnapshotRequest(typing.NamedTuple):
    """The leader's state, for a follower that is far behind."""

    follower: str
    leader: str
    term: int
    position: int
    position_term: int
    #: Addresses of the voters by identity.
    members: dict[str, str]
    #: What the state machine's ``snapshot`` returned.
    state: typing.Any


class WrongReplica(typing.NamedTuple):
    """The address belongs to another replica: the one asked for is gone."""

    identity: str


class JoinRequest(typing.NamedTuple):
    """A replica asks the leader to make it a voter."""

    identity: str
    address: str


class JoinAnswer(typing.NamedTuple):
    """Where the leader is, as far as is known; empty if it is not."""

    leader_address: str


class HandoverRequest(typing.NamedTuple):
    """The leader asks a follower to take over at once."""

    follower: str
    term: int


class HandoverAnswer(typing.NamedTuple):
    """The follower has begun its election."""


class ReadRequest(typing.NamedTuple):
    """Asks the leader for an index that no later read may miss."""


class ReadAnswer(typing.NamedTuple):
    """Answers `ReadRequest`; -1 if the leader cannot be sure."""

    position: int


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
