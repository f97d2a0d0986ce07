"""Answers the claims of the entries of a region."""

from __future__ import annotations

import logging
import typing

from gevent import server

from mulberryquay.coordination import journal, stream_load, wire
from mulberryquay.ledger import claims, protocol

_LOG: typing.Final = logging.getLogger(__name__)


@typing.final
class LedgerServer:
    """Accepts entry streams; each claim waits for its sync in its own task."""

    def __init__(
        self,
        ledger_claims: claims.Claims,
        listener: typing.Any,
        limits: stream_load.Limits,
    ) -> None:
        """Serves the claims on ``listener``, a listening gevent socket."""
        self._claims = ledger_claims
        self._server = server.StreamServer(listener, self._serve)
        self._claimants: dict[str, wire.Stream] = {}
        self._load = stream_load.StreamLoad('entries', limits)

    @property
    def limits_met(self) -> int:
        """How often a limit of the streams of entries was met."""
        return self._load.limits_met

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stops serving and closes all streams."""
        self._server.stop(timeout=0)
        self._load.close_all()

    def _serve(self, connection: typing.Any, _address: typing.Any) -> None:
        with self._load.serving(connection, protocol.CODEC) as served:
            if served is not None:
                self._serve_stream(served)

    def _serve_stream(self, served: stream_load.ServedStream) -> None:
        claimant = ''
        try:
            claimant = self._accept_hello(served.messages)
            self._read(served, claimant)
        except (wire.StreamClosedError, wire.ProtocolError) as error:
            _LOG.info(
                'ledger stream closed',
                extra={'claimant': claimant, 'code': error.code},
            )
        finally:
            served.close()
            self._handle_disconnect(claimant, served.messages)

    def _accept_hello(self, stream: wire.Stream) -> str:
        hello = wire.check_hello(
            stream.receive(),
            protocol.Hello,
            version=protocol.PROTOCOL_VERSION,
        )
        wire.check_texts(hello)
        claimant = f'{hello.entry}/{hello.incarnation}'
        self._claimants[claimant] = stream
        return claimant

    def _read(self, served: stream_load.ServedStream, claimant: str) -> None:
        stream = served.messages
        while True:
            message = stream.receive()
            match message:
                case protocol.Claim():
                    served.spawn(self._claim, stream, claimant, message)
                case protocol.Settle():
                    served.spawn(self._settle, stream, claimant, message)
                case _:
                    raise wire.ProtocolError(
                        f'unexpected message {type(message).__name__} '
                        'from an entry',
                    )

    def _claim(
        self,
        stream: wire.Stream,
        claimant: str,
        message: protocol.Claim,
    ) -> None:
        try:
            result = self._claims.claim(
                message.key,
                message.digest,
                claimant=claimant,
                claim_number=message.number,
                timeout=message.timeout_ms,
            )
        except journal.JournalFailedError:
            # Without an answer the entry refuses the request without
            # running it.
            stream.close()
            return
        self._answer(
            stream,
            protocol.ClaimAnswer(
                message.number,
                result.state.value,
                result.answer,
            ),
        )

    def _settle(
        self,
        stream: wire.Stream,
        claimant: str,
        message: protocol.Settle,
    ) -> None:
        try:
            self._claims.settle(
                message.key,
                claimant=claimant,
                claim_number=message.claim_number,
                state=message.state,
                answer=message.answer,
            )
        except journal.JournalFailedError:
            stream.close()
            return
        self._answer(stream, protocol.SettleAck(message.number))

    def _answer(
        self,
        stream: wire.Stream,
        message: tuple[typing.Any, ...],
    ) -> None:
        try:
            stream.send(message)
        except wire.StreamClosedError:
            stream.close()

    def _handle_disconnect(self, claimant: str, stream: wire.Stream) -> None:
        if self._claimants.get(claimant) is not stream:
            return
        self._claimants.pop(claimant)
        try:
            self._claims.mark_claimant_lost(claimant)
        except journal.JournalFailedError as error:
            _LOG.error(
                'claims of a lost entry not marked as unknown',
                extra={'cause': str(error)},
            )
