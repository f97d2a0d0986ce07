"""The headers that an entry exchanges with callers and targets."""

from __future__ import annotations

import typing

from mulberryquay.entry import header_names, http_heads
from mulberryquay.kernel import plugins


class LoadReport(typing.NamedTuple):
    """What a target reports of its load."""

    #: Calls that run on the target now.
    running: int
    #: Calls that wait on the target.
    waiting: int = 0
    #: Duration of work on its host relative to the usual one; 1 is as usual.
    slowness: float = 1.0


def parse_count(text: bytes) -> LoadReport | None:
    """Parses a load of one whole number; returns None for anything else."""
    running = http_heads.parse_number(text)
    return None if running is None else LoadReport(running)


class HeaderDialect(typing.NamedTuple):
    """The headers and statuses exchanged with callers and targets.

    Names are in lower case; an empty name means that there is no such header.
    """

    #: Id of a request; on an answer, of the request that it belongs to.
    request_id: bytes = header_names.REQUEST_ID
    #: Client account of a request. Where accounts are authenticated, entries
    #: set it; else callers do.
    account: bytes = header_names.ACCOUNT
    #: How long the caller waits for the answer, in ms from now.
    timeout: bytes = header_names.TIMEOUT
    #: On an answer: the load of the target.
    load: bytes = header_names.LOAD
    parse_load: typing.Callable[[bytes], LoadReport | None] = parse_count
    #: On an answer: calls per second that the target takes from all entries
    #: together, for as long as its answers say so. Also forwarded.
    rate_limit: bytes = header_names.RATE_LIMIT
    #: On an answer: the target refused before running the request.
    not_run: bytes = header_names.NOT_RUN
    #: On a request: name of the target for which it is meant.
    expected_target: bytes = b''
    #: On the answer to a probe: name of the target.
    target_name: bytes = b''
    #: On the answer to a probe: how long the target stays cold, in ms.
    cold: bytes = b''
    #: On an answer: required on each success, so that an answer without it
    #: does not count as one.
    signature: bytes = b''
    #: Whether callers set the request id and targets repeat it.
    caller_sets_request_id: bool = False
    #: Whether targets get the depth and no-retry headers.
    sends_depth: bool = True
    #: Statuses that say that the request reached the wrong target, which did
    #: not run it.
    misdirected_statuses: frozenset[int] = frozenset()
    #: Statuses that tell a caller that its request did not run. A target that
    #: returns one without the not-run header may have run it.
    not_run_statuses: frozenset[int] = frozenset()

    @property
    def header_filter(self) -> header_names.HeaderFilter:
        """The headers that are read, and those that are not forwarded."""
        dialect_headers = {
            self.request_id,
            self.timeout,
            self.load,
            self.not_run,
            self.expected_target,
            self.target_name,
            self.cold,
        } - {b''}
        return header_names.HeaderFilter(
            header_names.KNOWN_HEADERS
            | dialect_headers
            | {self.signature, self.rate_limit, self.account},
            header_names.NOT_FORWARDED | dialect_headers,
        )


#: The project's own headers.
OWN: typing.Final = HeaderDialect()
OWN_NAME: typing.Final = 'own'


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the project's own headers."""
    kernel.dialects.add(OWN_NAME, OWN)
