"""How long replicas wait for each other, in milliseconds."""

from __future__ import annotations

import typing

#: The leader is heard at least this often.
HEARTBEAT_MS: typing.Final = 450.0

#: A follower that hears no leader for this long, drawn anew each time, asks
#: for votes. Several heartbeats, and a few round trips between regions, fit.
ELECTION_MIN_MS: typing.Final = 1100.0
ELECTION_MAX_MS: typing.Final = 1700.0

#: After a start nobody was heard yet, so the first wait is shorter.
FIRST_ELECTION_MIN_MS: typing.Final = 60.0
FIRST_ELECTION_MAX_MS: typing.Final = 400.0

#: A leader that no majority answered for this long steps down. Shorter than
#: the shortest election wait, so two leaders are rarely active at once.
QUORUM_LOSS_MS: typing.Final = 1050.0

#: A call between replicas without an answer for this long has failed. It
#: leaves room for a slow sync of a disk.
CALL_MS: typing.Final = 600.0

#: Pause after a failed call to a follower.
RETRY_MS: typing.Final = 100.0

#: How often a leader looks at members and quorum.
TICK_MS: typing.Final = 100.0

#: A replica that is no voter asks to join this often.
JOIN_MS: typing.Final = 400.0

#: A voter that cannot be reached for this long may lose its place to a
#: replica that waits for one.
REPLACE_AFTER_MS: typing.Final = 2500.0

#: A replica that stopped asking to join is forgotten after this long.
LEARNER_EXPIRY_MS: typing.Final = 3000.0

#: How long a leader that stops waits for its successor.
HANDOVER_MS: typing.Final = 800.0

#: Pause between attempts to make a failed disk usable again.
DISK_RETRY_MS: typing.Final = 500.0
