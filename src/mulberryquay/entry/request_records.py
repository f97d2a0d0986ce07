"""The account of each request: what was tried, where, with what outcome."""

from __future__ import annotations

import collections
import typing

from mulberryquay.coordination import errors

#: Plain requests (answered at the first try) that are remembered.
MAX_PLAIN_RECORDS: typing.Final = 5000

#: All other requests that are remembered.
MAX_NOTABLE_RECORDS: typing.Final = 10_000

#: Decimal places of times that are shown.
_DIGITS: typing.Final = 3


@typing.final
class UnknownRequestError(errors.NotFoundError):
    """The account is not kept here, or no longer."""

    code = 'unknown-request'


class AttemptRecord(typing.NamedTuple):
    """One try of a request on one target."""

    target: str
    domain: str
    incarnation: int
    #: received, not-sent, shed or lost.
    result: str
    reason: str
    duration_ms: float
    #: The request's id at the entry to which it was relayed, if it was.
    relayed_as: str = ''


class RequestRecord(typing.NamedTuple):
    """What happened to one request; bodies and queries are not kept."""

    request_id: str
    #: Milliseconds since the Unix epoch.
    received_at: float
    method: bytes
    #: As it came; the query is left out of what is shown.
    path: bytes
    account: str
    route: str
    service_class: str
    outcome: str
    reason: str
    status: int
    duration_ms: float
    tries: list[AttemptRecord]


@typing.final
class RequestHistory:
    """Keeps the newest accounts in bounded memory."""

    def __init__(
        self,
        *,
        max_plain: int = MAX_PLAIN_RECORDS,
        max_notable: int = MAX_NOTABLE_RECORDS,
    ) -> None:
        """Starts empty."""
        self._limits = (max_plain, max_notable)
        self._records: tuple[
            collections.OrderedDict[str, RequestRecord],
            collections.OrderedDict[str, RequestRecord],
        ] = (collections.OrderedDict(), collections.OrderedDict())

    def add(self, record: RequestRecord) -> None:
        """Keeps an account and forgets the oldest of its sort."""
        is_notable = record.reason != 'none' or len(record.tries) != 1
        records = self._records[is_notable]
        records[record.request_id] = record
        if len(records) > self._limits[is_notable]:
            records.popitem(last=False)

    def get(self, request_id: str) -> RequestRecord:
        """Returns an account; raises UnknownRequestError."""
        for records in self._records:
            record = records.get(request_id)
            if record is not None:
                return record
        raise UnknownRequestError(
            f'request {request_id!r} is not kept here; it may be too old',
        )


def to_json(record: RequestRecord) -> dict[str, typing.Any]:
    """Returns an account as the admin API shows it."""
    return {
        **record._asdict(),
        'received_at': round(record.received_at, _DIGITS),
        'method': record.method.decode('latin-1'),
        'path': record.path.partition(b'?')[0].decode('latin-1'),
        'duration_ms': round(record.duration_ms, _DIGITS),
        'tries': [
            {
                **attempt._asdict(),
                'duration_ms': round(attempt.duration_ms, _DIGITS),
            }
            for attempt in record.tries
        ],
    }
