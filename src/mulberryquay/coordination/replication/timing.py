"""Timeouts and intervals of the replicated log, in milliseconds."""

from __future__ import annotations

import typing

#: Longest pause between a follower's answer and the leader's next call to it.
HEARTBEAT_INTERVAL_MS: typing.Final = 450.0

#: Bounds of the election timeout, which is drawn anew for each wait. Several
#: heartbeats and a few round trips between regions fit into it.
MIN_ELECTION_TIMEOUT_MS: typing.Final = 1100.0
MAX_ELECTION_TIMEOUT_MS: typing.Final = 1700.0

#: Bounds of the first election timeout after a start, which is shorter
#: because no leader has been heard from.
MIN_FIRST_ELECTION_TIMEOUT_MS: typing.Final = 60.0
MAX_FIRST_ELECTION_TIMEOUT_MS: typing.Final = 400.0

#: A leader that gets no answers from a majority for this long steps down. It
#: is below the shortest election timeout, so that two leaders are rarely
#: active at once.
QUORUM_LOSS_MS: typing.Final = 1050.0

#: A leader without answers from a majority for this long calls only followers
#: that are silent. A heartbeat and several round trips between regions fit.
CONTACT_QUORUM_MS: typing.Final = 750.0

#: Timeout of a call between replicas, long enough for a slow disk sync.
CALL_TIMEOUT_MS: typing.Final = 600.0

#: Pause after a failed call to a follower, and longest pause between attempts
#: to confirm a read.
RETRY_DELAY_MS: typing.Final = 100.0

#: How often a leader checks its members and its quorum.
CHECK_INTERVAL_MS: typing.Final = 100.0

#: How often a replica that does not vote, or has lost contact to the leader,
#: asks to join.
JOIN_INTERVAL_MS: typing.Final = 400.0

#: A voter that does not answer for this long may be removed from the voters,
#: so that a learner can replace it.
REPLACE_AFTER_MS: typing.Final = 2500.0

#: A learner is removed this long after it last asked to join.
LEARNER_EXPIRY_MS: typing.Final = 3000.0

#: How long a stopping leader waits for its successor to be elected.
HANDOVER_TIMEOUT_MS: typing.Final = 800.0

#: Interval at which the commit index is saved and due snapshots are written,
#: and pause before a failed write is retried.
DISK_INTERVAL_MS: typing.Final = 500.0
