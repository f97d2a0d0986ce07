"""Records of requests: the attempts on targets, and the outcome.

An entry serves them on its admin port, under the path ``/accounts/``.
"""

from __future__ import annotations

import collections
import typing

from mulberryquay.coordination import errors, units

#: Maximum number of records of plain requests, which the first attempt
#: answered.
MAX_PLAIN_RECORDS: typing.Final = 5000

#: Maximum number of records of all other requests.
MAX_NOTABLE_RECORDS: typing.Final = 10_000

#: Part of the machine's memory that records may hold, in percent.
MEMORY_PERCENT: typing.Final = 5

#: Longest path and id that a record keeps.
_MAX_KEPT: typing.Final = 1024

#: Memory of a record beside its texts, and of each attempt in it.
_RECORD_BYTES: typing.Final = 1024
_ATTEMPT_BYTES: typing.Final = 512

#: Decimal places of times in JSON.
_DIGITS: typing.Final = 3


@typing.final
class UnknownRequestError(errors.NotFoundError):
    """This entry has no record of the request, or has dropped it."""

    code = 'unknown-request'


class AttemptRecord(typing.NamedTuple):
    """One attempt of a request on one target."""

    target: str
    domain: str
    incarnation: int
    #: received, not-sent, shed or lost.
    result: str
    reason: str
    duration_ms: float
    #: Id of the request at the entry to which it was relayed, if it was.
    relayed_as: str = ''
    #: Version of the target's software; empty if not announced.
    version: str = ''


class RequestRecord(typing.NamedTuple):
    """What happened to one request, without its body."""

    request_id: str
    #: Milliseconds since the Unix epoch.
    received_at: float
    method: bytes
    #: The beginning of the path as received; `to_json` removes the query.
    path: bytes
    account: str
    route: str
    service_class: str
    outcome: str
    reason: str
    status: int
    duration_ms: float
    tries: list[AttemptRecord]

    @property
    def size(self) -> int:
        """The approximate size of the record in memory, in bytes."""
        text_bytes = len(self.request_id) + len(self.path) + len(self.account)
        attempt_bytes = _ATTEMPT_BYTES * len(self.tries)
        return _RECORD_BYTES + text_bytes + attempt_bytes


def shortened(record: RequestRecord) -> RequestRecord:
    """Returns a record with texts of the caller as long as they are kept."""
    if len(record.path) + len(record.request_id) <= _MAX_KEPT:
        return record
    return record._replace(
        path=record.path[:_MAX_KEPT], request_id=record.request_id[:_MAX_KEPT]
    )


@typing.final
class RequestHistory:
    """Keeps the newest records in bounded memory."""

    def __init__(
        self,
        *,
        max_plain: int = MAX_PLAIN_RECORDS,
        max_notable: int = MAX_NOTABLE_RECORDS,
        max_bytes: int = units.MAX_INT64,
        on_limit: typing.Callable[[], None] | None = None,
    ) -> None:
        """Starts empty; each kind of records may hold half of the bytes.

        Calls ``on_limit`` for each record that it drops for their memory.
        """
        self._limits = (max_plain, max_notable)
        self._max_bytes = max_bytes // 2
        self._on_limit = on_limit
        self._sizes = [0, 0]
        self._records: tuple[
            collections.OrderedDict[str, RequestRecord],
            collections.OrderedDict[str, RequestRecord],
        ] = (collections.OrderedDict(), collections.OrderedDict())

    @property
    def held_bytes(self) -> int:
        """The approximate size of all records in memory."""
        return sum(self._sizes)

    def add(self, record: RequestRecord) -> None:
        """Adds a record; drops the oldest of its kind if there are too many."""
        is_notable = record.reason != 'none' or len(record.tries) != 1
        records = self._records[is_notable]
        replaced = records.pop(record.request_id, None)
        if replaced is not None:
            self._sizes[is_notable] -= replaced.size
        records[record.request_id] = record
        self._sizes[is_notable] += record.size
        if len(records) > self._limits[is_notable]:
            self._drop_oldest(is_notable=is_notable)
        while self._sizes[is_notable] > self._max_bytes:
            self._drop_oldest(is_notable=is_notable)
            if self._on_limit is not None:
                self._on_limit()

    def get(self, request_id: str) -> RequestRecord:
        """Returns a record; raises UnknownRequestError."""
        for records in self._records:
            record = records.get(request_id)
            if record is not None:
                return record
        raise UnknownRequestError(
            f'no record of request {request_id!r} here; it may be too old',
        )

    def _drop_oldest(self, *, is_notable: bool) -> None:
        _, oldest = self._records[is_notable].popitem(last=False)
        self._sizes[is_notable] -= oldest.size


def to_json(record: RequestRecord) -> dict[str, typing.Any]:
    """Returns a record as the admin API shows it."""
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
