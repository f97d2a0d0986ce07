"""Crowds at the ports between processes: feed, control hosts and ledger.

As in `test_entry_crowds`; all of them belong to issue 53.
"""

from __future__ import annotations

import contextlib
import functools
import os
import pathlib
import typing
import unittest
import zlib
from unittest import mock

import msgpack

from mulberryquay import crash_messages
from mulberryquay import protocol as feed_protocol
from mulberryquay.control import host_protocol
from mulberryquay.ledger import protocol
from testing import crowds, fixtures, processes

CASE: typing.Final = unittest.TestCase()

#: The memory of the process's machine, as its settings say.
_MACHINE_MB: typing.Final = 96
_DESCRIPTORS: typing.Final = 256
_CLIENTS: typing.Final = 400

#: Length of a key, far above that of any request.
_LONG_KEY_BYTES: typing.Final = 300_000

#: Clients that claim keys of their own.
_CLAIMING_CLIENTS: typing.Final = 20

_ENVIRONMENT: typing.Final = {'MULBERRYQUAY_MEMORY_MB': str(_MACHINE_MB)}

#: The first bytes of a binary of 60 MB, and more of it.
_LONG_BYTES: typing.Final = 60_000_000
_LONG_BINARY: typing.Final = b'\xc6' + _LONG_BYTES.to_bytes(4, 'big')
_PIECE: typing.Final = b'x' * 16_384

#: A call of a method that there is not; the answer says so.
_CALL: typing.Final = msgpack.packb([0, 1, [99]])

#: Arrays inside each other that announce 900,000 elements each.
_EMPTY_ARRAYS: typing.Final = (b'\x94\xdd' + (900_000).to_bytes(4, 'big')) * 100


class _Daemon(typing.NamedTuple):
    """A process, the port to check, and a port that answers requests."""

    process: typing.Any
    port: int
    api_port: int
    path: str


@contextlib.contextmanager
def _control(port_index: int) -> typing.Iterator[_Daemon]:
    """Yields a control host; the ports are API, feed and hosts."""
    api_port, feed_port, host_port = processes.free_ports(3)
    ports = (api_port, feed_port, host_port)
    with (
        fixtures.folder() as folder,
        mock.patch.dict(os.environ, _ENVIRONMENT),
        processes.control(folder, api_port, feed_port, host_port) as (
            process,
            _,
        ),
    ):
        yield _Daemon(process, ports[port_index], ports[0], '/readyz')


@contextlib.contextmanager
def _ledger(folder: pathlib.Path | None = None) -> typing.Iterator[_Daemon]:
    """Yields a ledger and the port for entries."""
    port, admin_port = processes.free_ports(2)
    with (
        fixtures.folder() as new_folder,
        mock.patch.dict(os.environ, _ENVIRONMENT),
        processes.ledger(folder or new_folder, port, admin_port) as (
            process,
            _,
        ),
    ):
        yield _Daemon(process, port, admin_port, '/metrics')


_Fixture = typing.Callable[[], contextlib.AbstractContextManager[_Daemon]]

_DAEMONS: typing.Final[dict[str, _Fixture]] = {
    'feed': functools.partial(_control, 1),
    'hosts': functools.partial(_control, 2),
    'ledger': _ledger,
}


def _check(name: str, *clients: crowds.Client) -> None:
    """Checks a port that meets a crowd of equal parts of ``clients``."""
    with _DAEMONS[name]() as daemon:
        _check_daemon(daemon, clients)


def _check_descriptors(name: str, message: bytes = b'') -> None:
    """Checks a process that meets more connections than it may open.

    Each sends ``message``, if any, and waits; that of a new connection has to
    be answered as well.
    """
    with (
        crowds.descriptor_limit(_DESCRIPTORS) as lift_limit,
        _DAEMONS[name]() as daemon,
    ):
        lift_limit()
        client = crowds.Client(message, awaits_answer=bool(message))
        _check_daemon(daemon, [client], message)
        open_count = crowds.open_descriptors(daemon.process.pid)
        CASE.assertLess(open_count, _DESCRIPTORS)


def _check_daemon(
    daemon: _Daemon,
    clients: typing.Sequence[crowds.Client],
    message: bytes = b'',
) -> None:
    def is_answered() -> bool:
        if message and not crowds.is_message_answered(daemon.port, message):
            return False
        return crowds.is_answered(daemon.api_port, daemon.path)

    fixtures.wait_until(is_answered)
    crowd = list(clients) * (_CLIENTS // len(clients))
    crowds.check(daemon.process, daemon.port, crowd, is_answered, _MACHINE_MB)


@functools.cache
def _compressed_message() -> bytes:
    """Returns a message of 60 MB, compressed as `wire` does it."""
    content = msgpack.packb([0, b'x' * _LONG_BYTES])
    return typing.cast(
        bytes, msgpack.packb(msgpack.ExtType(1, zlib.compress(content)))
    )


def _hello(entry: str) -> bytes:
    hello = protocol.Hello(protocol.PROTOCOL_VERSION, entry, '1')
    return protocol.CODEC.encode(hello)


def _feed_hello(entry: str) -> bytes:
    """Returns the first message of an entry to a control host."""
    hello = feed_protocol.Hello(
        feed_protocol.PROTOCOL_VERSION,
        entry,
        'north',
        'north-1',
        '127.0.0.1:1',
        '127.0.0.1:1',
        [],
        config_revision=0,
        known_rate_limits={},
    )
    return feed_protocol.CODEC.encode(hello)


def _claims(name: str, count: int) -> bytes:
    """Returns claims of keys of 1,000 bytes that differ."""
    return b''.join(
        protocol.CODEC.encode(
            protocol.Claim(
                number, f'{name}-{number}'.ljust(1000), b'd' * 16, 600_000
            )
        )
        for number in range(count)
    )


def test_unfinished_messages_at_the_feed() -> None:
    """Each was kept, up to 64 MiB, for as long as it had not ended."""
    _check('feed', crowds.Client(_LONG_BINARY, _PIECE, 64))


def test_unfinished_messages_between_control_hosts() -> None:
    """As above; a control host that ends may take its group with it."""
    _check('hosts', crowds.Client(_LONG_BINARY, _PIECE, 64))


def test_unfinished_messages_at_the_ledger() -> None:
    """As above; a ledger that ends makes outcomes unknown."""
    _check('ledger', crowds.Client(_LONG_BINARY, _PIECE, 64))


def test_announced_arrays_at_the_feed() -> None:
    """Memory for all elements was reserved before any arrived."""
    _check('feed', crowds.Client(_EMPTY_ARRAYS))


def test_announced_arrays_between_control_hosts() -> None:
    """As above."""
    _check('hosts', crowds.Client(_EMPTY_ARRAYS))


def test_announced_arrays_at_the_ledger() -> None:
    """As above."""
    _check('ledger', crowds.Client(_EMPTY_ARRAYS))


def test_compressed_messages_at_the_feed() -> None:
    """60 MB arrive as 60 kB."""
    _check('feed', crowds.Client(_compressed_message()))


def test_compressed_messages_between_control_hosts() -> None:
    """As above."""
    _check('hosts', crowds.Client(_compressed_message()))


def test_compressed_messages_at_the_ledger() -> None:
    """As above."""
    _check('ledger', crowds.Client(_compressed_message()))


def test_more_entry_streams_than_descriptors() -> None:
    """Without a descriptor left a control host can't write its journal."""
    _check_descriptors('feed')


def test_more_host_streams_than_descriptors() -> None:
    """As above; these had no deadline either."""
    _check_descriptors('hosts')


def test_more_ledger_streams_than_descriptors() -> None:
    """As above."""
    _check_descriptors('ledger')


def test_more_idle_host_streams_than_descriptors() -> None:
    """One whole message kept a place for good."""
    _check_descriptors('hosts', _CALL)


def test_more_idle_ledger_streams_than_descriptors() -> None:
    """As above; an entry that starts needs a stream."""
    _check_descriptors('ledger', _hello('entry') + _claims('key', 1))


def test_calls_whose_answers_nobody_reads() -> None:
    """Each call kept a task until its answer was sent."""
    _check('hosts', crowds.Client(_CALL * 4000, receive_bytes=2048))


def test_long_names_of_entries_at_the_feed() -> None:
    """Each was kept, and sent to all entries and control hosts."""
    _check(
        'feed',
        *(
            crowds.Client(_feed_hello(f'{index}'.ljust(900_000, 'x')))
            for index in range(_CLIENTS)
        ),
    )


def test_long_names_of_entries_at_the_ledger() -> None:
    """Each claim keeps the name of its entry, also after a restart."""
    _check(
        'ledger',
        *(
            crowds.Client(
                _hello(f'{index}'.ljust(900_000, 'x')) + _claims('key', 1),
                awaits_answer=True,
            )
            for index in range(_CLIENTS)
        ),
    )


def test_crash_reports_with_long_fingerprints_at_the_feed() -> None:
    """Each fingerprint was kept for a minute."""
    _check(
        'feed',
        *(
            crowds.Client(
                _feed_hello(f'entry-{index}')
                + feed_protocol.CODEC.encode(
                    crash_messages.ConnectionLost(
                        b'%d' % index + b'x' * 900_000, 'target', 0
                    )
                ),
                awaits_answer=True,
            )
            for index in range(_CLIENTS)
        ),
    )


def test_idle_streams_after_large_messages() -> None:
    """Each kept a buffer of the size of its largest message."""
    call = msgpack.packb([0, 1, [99, b'x' * 2_500_000]])
    _check('hosts', crowds.Client(call, awaits_answer=True))


def _host_update(address: str) -> bytes:
    """Returns the call of a control host that names itself."""
    update = host_protocol.HostUpdate(
        [address, '127.0.0.1:1', 'north', 'north-1'], address, True, []
    )
    call = [0, 1, host_protocol.CODEC.fields_of(update)]
    return typing.cast(bytes, msgpack.packb(call))


def test_long_addresses_of_control_hosts() -> None:
    """Each was kept until the end of the process."""
    _check(
        'hosts',
        *(
            crowds.Client(
                _host_update(f'{index}'.ljust(900_000, 'x')),
                awaits_answer=True,
            )
            for index in range(_CLIENTS)
        ),
    )


def test_claims_whose_answers_nobody_reads() -> None:
    """As above; the same keys again and again."""
    claims = _claims('key', 7) * 700
    _check(
        'ledger',
        crowds.Client(_hello('entry') + claims, receive_bytes=2048),
    )


def test_claims_of_long_keys_that_compress_well() -> None:
    """Claims that waited for the disk counted without their messages."""
    _check(
        'ledger',
        *(
            crowds.Client(_hello(f'entry-{index}') + _long_claim(index))
            for index in range(_CLIENTS)
        ),
    )


def _long_claim(number: int) -> bytes:
    """Returns a claim of 2 MB that has a few kB on the wire."""
    key = f'{number}'.ljust(2_000_000)
    return protocol.CODEC.encode(protocol.Claim(number, key, b'd', 600_000))


def test_claims_of_keys_that_are_never_repeated() -> None:
    """Each key is kept for a day, whatever there was."""
    clients = [
        crowds.Client(_hello(f'entry-{index}') + _claims(f'k{index}', 4000))
        for index in range(_CLAIMING_CLIENTS)
    ]
    with _ledger() as daemon:

        def is_answered() -> bool:
            return crowds.is_answered(daemon.api_port, daemon.path)

        crowds.check(
            daemon.process, daemon.port, clients, is_answered, _MACHINE_MB
        )


def _claim_and_give_back(number: int) -> list[crowds.Client]:
    """Returns clients that claim a long key and then set it free again."""
    key = f'{number}'.ljust(_LONG_KEY_BYTES)
    hello = _hello('entry')
    claim = protocol.Claim(number, key, b'd', 600_000)
    settle = protocol.Settle(
        number, number, key, b'd', protocol.ClaimState.GRANTED.value, []
    )
    return [
        crowds.Client(
            hello + protocol.CODEC.encode(message), awaits_answer=True
        )
        for message in (claim, settle)
    ]


def test_ledger_restarts_after_claims_that_were_given_back() -> None:
    """All that was ever written was read at once, at each later start."""
    _check_restart(
        client
        for number in range(_CLIENTS // 2)
        for client in _claim_and_give_back(number)
    )


def test_ledger_restarts_with_all_claims_that_it_may_keep() -> None:
    """Its snapshot was in memory several times at once."""
    _check_restart(
        _claim_and_give_back(number)[0] for number in range(_CLIENTS // 2)
    )


def _check_restart(clients: typing.Iterable[crowds.Client]) -> None:
    """Checks a ledger that is killed behind a crowd and started again."""
    with fixtures.folder() as folder:
        with (
            _ledger(folder) as daemon,
            crowds.gathered(daemon.port, list(clients)),
        ):
            daemon.process.kill()
        with _ledger(folder) as daemon:
            fixtures.wait_until(
                lambda: crowds.is_answered(daemon.api_port, daemon.path)
            )
            peak_mb = crowds.peak_memory_mb(daemon.process.pid)
            CASE.assertLess(peak_mb, _MACHINE_MB)
