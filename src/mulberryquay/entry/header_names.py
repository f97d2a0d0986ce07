"""The HTTP headers that this system reads, sets, or keeps back."""

from __future__ import annotations

import typing


class HeaderFilter(typing.NamedTuple):
    """Which headers a reader keeps."""

    #: Headers that this system reads.
    known_headers: frozenset[bytes]
    #: Headers that are never passed on as they came.
    not_forwarded: frozenset[bytes]


#: Names the client account of a request; set by the caller.
ACCOUNT: typing.Final = b'mulberryquay-account'

#: Names an at-most-once request among its resends; set by the caller.
IDEMPOTENCY_KEY: typing.Final = b'idempotency-key'

#: How deep a request is nested in a tree of calls; set by entries.
DEPTH: typing.Final = b'mulberryquay-depth'

#: The regions that may serve a request; set on a refusal.
HOME_REGIONS: typing.Final = b'mulberryquay-home-regions'

#: Calls in flight at a target; set by targets on each answer.
LOAD: typing.Final = b'mulberryquay-load'

#: Marks a resend and all calls below it: they must not be resent again. On
#: an answer: the level nearest to the failure has spent its retries.
NO_RETRY: typing.Final = b'mulberryquay-no-retry'

#: Says that a target refused before running a request; set by targets.
NOT_RUN: typing.Final = b'mulberryquay-not-run'

#: What became of a request: answered, not-run or unknown.
OUTCOME: typing.Final = b'mulberryquay-outcome'

#: Why; the values are those of `outcomes.Reason`.
REASON: typing.Final = b'mulberryquay-reason'

#: Names a request in the accounts.
REQUEST_ID: typing.Final = b'mulberryquay-request-id'

#: How long the answer is of use, in milliseconds from now.
TIMEOUT: typing.Final = b'mulberryquay-timeout-ms'

HOST: typing.Final = b'host'
CONTENT_ENCODING: typing.Final = b'content-encoding'

#: Headers of one connection only (RFC 9110, section 7.6.1), and those that
#: are written anew for each connection.
HOP_BY_HOP: typing.Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)

#: Headers that are never passed on as they came.
NOT_FORWARDED: typing.Final = HOP_BY_HOP | frozenset(
    (
        DEPTH,
        HOME_REGIONS,
        LOAD,
        NO_RETRY,
        NOT_RUN,
        OUTCOME,
        REASON,
        REQUEST_ID,
        TIMEOUT,
    ),
)

#: Headers that this system reads.
KNOWN_HEADERS: typing.Final = NOT_FORWARDED | frozenset(
    (ACCOUNT, IDEMPOTENCY_KEY, HOST, CONTENT_ENCODING),
)

DEFAULT_FILTER: typing.Final = HeaderFilter(KNOWN_HEADERS, NOT_FORWARDED)
