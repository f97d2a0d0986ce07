"""Runs requests that carry an Idempotency-Key at most once.

The key is claimed before the first byte is sent to a target, and the ledger
keeps the answer before the caller gets it. A resend through any entry of the
region therefore gets the outcome of the first request.
"""

from __future__ import annotations

import typing

from mulberryquay.entry import claim_client, outcomes
from mulberryquay.ledger import protocol

#: The longest key, in bytes.
MAX_KEY_BYTES: typing.Final = 255


class KeptAnswer(typing.NamedTuple):
    """A target's answer as the ledger keeps it."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@typing.final
class KeyedRequest:
    """One request with an idempotency key, and its claim."""

    def __init__(
        self,
        client: claim_client.ClaimClient,
        key: bytes,
        account: str,
        digest: bytes,
    ) -> None:
        """Identifies the request by client account and key."""
        self._client = client
        self._key = f'{account} {key.decode("latin-1")}'
        self._digest = digest
        self._granted: claim_client.GrantedClaim | None = None

    def claim(self, *, timeout: float) -> KeptAnswer | None:
        """Returns the kept answer of an earlier run, None to run it now.

        Raises RefusedError if the request must not run.
        """
        try:
            granted, answer = self._client.claim(
                self._key,
                self._digest,
                timeout=timeout,
            )
        except claim_client.LedgerUnavailableError as error:
            raise outcomes.not_run(
                outcomes.Reason.LEDGER_UNAVAILABLE,
                str(error),
            ) from error
        match protocol.ClaimState(answer.state):
            case protocol.ClaimState.GRANTED:
                self._granted = granted
                return None
            case protocol.ClaimState.KEPT:
                return _kept_answer(answer.answer)
            case protocol.ClaimState.RUNNING:
                raise outcomes.not_run(
                    outcomes.Reason.KEY_IN_USE,
                    'an earlier request with this key may still be running; '
                    'this one was not run',
                )
            case protocol.ClaimState.MISMATCH:
                raise outcomes.not_run(
                    outcomes.Reason.KEY_MISMATCH,
                    'this key was used for a different request before; use a '
                    'new key for each new request',
                )
            case protocol.ClaimState.FULL:
                raise outcomes.not_run(
                    outcomes.Reason.LEDGER_FULL,
                    'the ledger of this region keeps as many keys as it may; '
                    'the request was not run',
                )
            case protocol.ClaimState.UNKNOWN:
                raise outcomes.unknown(
                    outcomes.Reason.EARLIER_RUN,
                    'an earlier request with this key may have run; it is '
                    'not run again',
                )

    def settle_answer(self, received: outcomes.Received) -> None:
        """Settles the claim with the answer, which the ledger keeps.

        The outcome is unknown without a complete answer from the target; an
        answer too large to be buffered counts as incomplete.
        """
        is_whole = received.body is not None
        if not is_whole or received.outcome is not outcomes.Outcome.ANSWERED:
            self._settle(protocol.ClaimState.UNKNOWN, [])
            return
        head = received.head
        self._settle(
            protocol.ClaimState.KEPT,
            [head.status, list(head.forwarded_headers), received.body],
        )

    def settle_refusal(self, refusal: outcomes.RefusedError) -> None:
        """Frees the key if the request certainly did not run."""
        state = protocol.ClaimState.UNKNOWN
        if refusal.outcome is outcomes.Outcome.NOT_RUN:
            state = protocol.ClaimState.GRANTED
        self._settle(state, [])

    def _settle(
        self,
        state: protocol.ClaimState,
        answer: list[typing.Any],
    ) -> None:
        if self._granted is not None:
            self._client.settle(self._granted, state, answer)


def _kept_answer(answer: list[typing.Any]) -> KeptAnswer:
    status, headers, body = answer
    return KeptAnswer(
        status,
        [(name, value) for name, value in headers],
        body,
    )
