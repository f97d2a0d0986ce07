"""The HTTP headers that this system reads, sets, or does not forward."""

from __future__ import annotations

import typing


class HeaderFilter(typing.NamedTuple):
    """Which headers of a message are read, and which are not forwarded."""

    #: Headers that this system reads, in lower case.
    known_headers: frozenset[bytes]
    #: Headers that are never forwarded as received.
    not_forwarded: frozenset[bytes]


#: Client account of a request; set by the caller.
ACCOUNT: typing.Final = b'mulberryquay-account'

#: Identifies an at-most-once request and its resends; set by the caller.
IDEMPOTENCY_KEY: typing.Final = b'idempotency-key'

#: Nesting depth of a request in a tree of calls; set by entries.
DEPTH: typing.Final = b'mulberryquay-depth'

#: Regions that may serve a request; set on a refusal.
HOME_REGIONS: typing.Final = b'mulberryquay-home-regions'

#: Calls in flight at a target; set by targets on each answer.
LOAD: typing.Final = b'mulberryquay-load'

#: On a request: it is a retry or a call made for one and must not be retried
#: again. On an answer: the entry nearest to the failure has already made the
#: retries that are allowed, so the caller must not add more.
NO_RETRY: typing.Final = b'mulberryquay-no-retry'

#: A target refused a request before running it; set by targets.
NOT_RUN: typing.Final = b'mulberryquay-not-run'

#: Outcome of a request: answered, not-run or unknown.
OUTCOME: typing.Final = b'mulberryquay-outcome'

#: Reason of the outcome, a value of `outcomes.Reason`.
REASON: typing.Final = b'mulberryquay-reason'

#: Calls per second that a target takes from all entries together; set by a
#: target in need on its answers, also when they are forwarded.
RATE_LIMIT: typing.Final = b'mulberryquay-rate-limit'

#: Id of a request in the request records and the log.
REQUEST_ID: typing.Final = b'mulberryquay-request-id'

#: How long the caller waits for the answer, in milliseconds from now.
TIMEOUT: typing.Final = b'mulberryquay-timeout-ms'

AUTHORIZATION: typing.Final = b'authorization'
HOST: typing.Final = b'host'
CONTENT_ENCODING: typing.Final = b'content-encoding'

#: Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set
#: anew on each connection.
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

#: Headers that are never forwarded as received.
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
    (
        ACCOUNT,
        AUTHORIZATION,
        IDEMPOTENCY_KEY,
        HOST,
        CONTENT_ENCODING,
        RATE_LIMIT,
    ),
)

DEFAULT_FILTER: typing.Final = HeaderFilter(KNOWN_HEADERS, NOT_FORWARDED)
