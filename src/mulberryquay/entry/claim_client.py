"""The connection of an entry to the ledger of its region."""

from __future__ import annotations

import itertools
import logging
import secrets
import typing

import gevent
from gevent import event

from mulberryquay.coordination import clock, errors, wire
from mulberryquay.ledger import protocol

#: A ledger that does not answer for this long counts as unavailable.
ANSWER_TIMEOUT_MS: typing.Final = 2000.0

_RECONNECT_DELAY_MS: typing.Final = 200.0
_INCARNATION_BYTES: typing.Final = 8
_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class LedgerUnavailableError(errors.MulberryquayError):
    """No ledger answers, so no key can be claimed."""

    code = 'ledger-unavailable'
    http_status = 503


def _not_connected() -> LedgerUnavailableError:
    return LedgerUnavailableError('not connected to the ledger of this region')


class GrantedClaim(typing.NamedTuple):
    """A claim that this entry holds until it is settled."""

    claim_number: int
    key: str
    digest: bytes


@typing.final
class ClaimClient:
    """Claims and settles keys; any number of tasks may use it at once."""

    def __init__(
        self,
        entry: str,
        address: tuple[str, int] | None,
        time_source: clock.Clock,
    ) -> None:
        """Uses the ledger at ``address``; without one, all claims fail."""
        self._entry = entry
        self._address = address
        self._clock = time_source
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._numbers = itertools.count(1)
        self._pending: dict[int, event.AsyncResult] = {}
        #: Settlements that the ledger has not confirmed, by message number;
        #: they are sent again on each new stream.
        self._unsettled: dict[int, protocol.Settle] = {}
        self._stream: wire.Stream | None = None
        self._task: gevent.Greenlet | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a stream to the ledger is open."""
        return self._stream is not None

    @property
    def unsettled_count(self) -> int:
        """Settlements that the ledger has not confirmed."""
        return len(self._unsettled)

    def start(self) -> None:
        """Connects, and reconnects until `stop`."""
        if self._address is not None:
            self._task = gevent.spawn(self._run, self._address)

    def stop(self) -> None:
        """Closes the stream."""
        if self._task is not None:
            self._task.kill()
        self._disconnect()

    def claim(
        self,
        key: str,
        digest: bytes,
        *,
        timeout: float,
    ) -> tuple[GrantedClaim, protocol.ClaimAnswer]:
        """Requests the right to run a request.

        Raises LedgerUnavailableError. A ledger that was asked may have granted
        the claim nevertheless, so a settlement that frees the key is queued.
        """
        if self._stream is None:
            raise _not_connected()
        number = next(self._numbers)
        claim = protocol.Claim(number, key, digest, int(timeout))
        granted = GrantedClaim(number, key, digest)
        try:
            answer = self._request(number, claim)
        except LedgerUnavailableError:
            self._queue_settlement(granted, protocol.ClaimState.GRANTED, [])
            raise
        return granted, typing.cast(protocol.ClaimAnswer, answer)

    def settle(
        self,
        granted: GrantedClaim,
        state: protocol.ClaimState,
        answer: list[typing.Any],
    ) -> None:
        """Reports to the ledger how a granted request ended.

        Returns once the ledger has synced it. If the ledger is unavailable,
        returns after the timeout at the latest, and the message is sent again
        on each new stream until the ledger confirms it.
        """
        message = self._queue_settlement(granted, state, answer)
        try:
            self._request(message.number, message)
        except LedgerUnavailableError:
            _LOG.debug(
                'ledger has not confirmed a settlement yet',
                extra={'key': granted.key},
            )

    def _queue_settlement(
        self,
        granted: GrantedClaim,
        state: protocol.ClaimState,
        answer: list[typing.Any],
    ) -> protocol.Settle:
        message = protocol.Settle(
            next(self._numbers),
            granted.claim_number,
            granted.key,
            granted.digest,
            state.value,
            answer,
        )
        self._unsettled[message.number] = message
        return message

    def _request(
        self, number: int, message: tuple[typing.Any, ...]
    ) -> typing.Any:
        stream = self._stream
        if stream is None:
            raise _not_connected()
        pending: event.AsyncResult = event.AsyncResult()
        self._pending[number] = pending
        try:
            stream.send(message)
            return pending.get(
                timeout=ANSWER_TIMEOUT_MS / clock.MS_PER_SECOND,
            )
        except (wire.StreamClosedError, gevent.Timeout) as error:
            self._disconnect()
            raise LedgerUnavailableError(
                'the ledger of this region did not answer',
            ) from error
        finally:
            self._pending.pop(number, None)

    def _run(self, address: tuple[str, int]) -> None:
        while True:
            try:
                self._run_stream(address)
            except errors.MulberryquayError as error:
                _LOG.info('ledger stream ended', extra={'code': error.code})
            self._disconnect()
            self._clock.sleep(_RECONNECT_DELAY_MS)

    def _run_stream(self, address: tuple[str, int]) -> None:
        stream = wire.connect(address, protocol.CODEC)
        stream.set_timeout(None)
        stream.send(
            protocol.Hello(
                protocol.PROTOCOL_VERSION,
                self._entry,
                self._incarnation,
            ),
        )
        for message in self._unsettled.values():
            stream.send(message)
        self._stream = stream
        while True:
            self._handle_message(stream.receive())

    def _handle_message(self, message: typing.Any) -> None:
        if isinstance(message, protocol.SettleAck):
            self._unsettled.pop(message.number, None)
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.set(message)

    def _disconnect(self) -> None:
        stream = self._stream
        if stream is None:
            return
        self._stream = None
        stream.close()
        for pending in list(self._pending.values()):
            pending.set_exception(
                LedgerUnavailableError('the ledger connection was lost'),
            )
