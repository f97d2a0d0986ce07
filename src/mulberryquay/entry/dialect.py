"""The headers by which an entry speaks with callers and targets."""

from __future__ import annotations

import typing

from mulberryquay.entry import header_names
from mulberryquay.kernel import plugins


class LoadReport(typing.NamedTuple):
    """What a target says of its load."""

    #: Calls that it runs now.
    running: int
    #: Calls that wait there.
    waiting: int = 0
    #: How long work takes on its host now; 1 is as usual.
    slowness: float = 1.0


def parse_count(text: bytes) -> LoadReport | None:
    """Reads a load that is one whole number, None for anything else."""
    return LoadReport(int(text)) if text.isdigit() else None


class HeaderDialect(typing.NamedTuple):
    """Header names in lower case; an empty one stands for no such header."""

    #: Names a request; on answers it says which request they belong to.
    request_id: bytes = header_names.REQUEST_ID
    #: How long the answer is of use, in ms from now.
    timeout: bytes = header_names.TIMEOUT
    #: A target's load, on its answers.
    load: bytes = header_names.LOAD
    parse_load: typing.Callable[[bytes], LoadReport | None] = parse_count
    #: On an answer: the target refused before running the request.
    not_run: bytes = header_names.NOT_RUN
    #: Names the target that is meant, on requests.
    expected_target: bytes = b''
    #: Names the target that answers a probe.
    target_name: bytes = b''
    #: Ms for which a target stays cold, on answers to probes.
    cold: bytes = b''
    #: Must be on every success, so that no other answer is taken for one.
    signature: bytes = b''
    #: Whether callers name their requests, and targets repeat the names.
    caller_sets_request_id: bool = False
    #: Whether targets are told how deep a call is nested, and of retries.
    sends_depth: bool = True
    #: Statuses that say the target refused before running the request.
    misdirected_statuses: frozenset[int] = frozenset()
    #: Statuses that promise a caller that its request did not run; a target
    #: that gives one without saying so may have run it.
    not_run_statuses: frozenset[int] = frozenset()

    @property
    def header_filter(self) -> header_names.HeaderFilter:
        """The headers that are read, and those that are not passed on."""
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
            header_names.KNOWN_HEADERS | dialect_headers | {self.signature},
            header_names.NOT_FORWARDED | dialect_headers,
        )


#: The project's own headers.
OWN: typing.Final = HeaderDialect()
OWN_NAME: typing.Final = 'own'


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers the project's own headers."""
    kernel.dialects.add(OWN_NAME, OWN)
