"""Named sizes and durations."""

from __future__ import annotations

import typing

#: Sizes in bytes.
MIB: typing.Final = 1 << 20
GIB: typing.Final = 1 << 30
#: The largest configurable limit for a request body, in bytes.
MAX_BODY_BYTES: typing.Final = 64 * MIB
#: Limit of a whole configuration; as text it takes up to four times as much.
MAX_CONFIGURATION_BYTES: typing.Final = 16 * MIB

SECOND_MS: typing.Final = 1000
MINUTE_MS: typing.Final = 60 * SECOND_MS
HOUR_MS: typing.Final = 60 * MINUTE_MS
DAY_MS: typing.Final = 24 * HOUR_MS

#: The largest signed 64-bit number.
MAX_INT64: typing.Final = (1 << 63) - 1

#: Permissions of a file that only its owner may read and write.
PRIVATE_FILE_MODE: typing.Final = 0o600
