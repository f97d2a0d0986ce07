"""Tests that a key is granted at most once in any order of events."""

from __future__ import annotations

import contextlib
import pathlib
import typing
import unittest

import gevent
import hypothesis
from hypothesis import strategies

from mulberryquay.coordination import clock, journal
from mulberryquay.ledger import claims, protocol
from testing import fixtures

CASE: typing.Final = unittest.TestCase()
State = protocol.ClaimState

_MAX_BYTES: typing.Final = 20_000


class RestartableClaims:
    """A ledger's claims on one key, which can be restarted."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the claims in ``folder``."""
        self._folder = folder
        self.time_source = clock.ManualClock(start=1000)
        self.claims = claims.Claims(journal.Journal(folder), self.time_source)
        self._number = 0

    def restart(self) -> None:
        """Closes the claims and restores them from the journal."""
        self.claims.close()
        self.claims = claims.Claims(
            journal.Journal(self._folder), self.time_source
        )

    def claim(self, entry: str, digest: bytes = b'd') -> tuple[int, State]:
        """Returns the claim's number and the resulting state of the key."""
        self._number += 1
        result = self.claims.claim(
            'key',
            digest,
            claimant=entry,
            claim_number=self._number,
            timeout=100,
        )
        return self._number, result.state

    def settle(self, entry: str, number: int, state: State) -> None:
        """Settles a claim."""
        self.claims.settle(
            'key',
            claimant=entry,
            claim_number=number,
            state=state.value,
            answer=[200, [], b'kept'] if state is State.KEPT else [],
        )


@contextlib.contextmanager
def _restartable_claims() -> typing.Iterator[RestartableClaims]:
    with fixtures.folder() as folder:
        ledger = RestartableClaims(folder)
        try:
            yield ledger
        finally:
            ledger.claims.close()


def test_claim_survives_restarts_of_the_ledger() -> None:
    """Guards against a restart that frees a running or kept key.

    Another body under the same key is a mismatch.
    """
    with _restartable_claims() as ledger:
        number, state = ledger.claim('a')
        CASE.assertIs(state, State.GRANTED)
        ledger.restart()
        CASE.assertIs(ledger.claim('b')[1], State.RUNNING)
        CASE.assertIs(ledger.claim('b', b'other')[1], State.MISMATCH)
        ledger.settle('a', number, State.KEPT)
        ledger.restart()
        CASE.assertIs(ledger.claim('b')[1], State.KEPT)


def test_claim_of_a_lost_entry_becomes_unknown() -> None:
    """Guards against a second run of a request that may have run.

    In the second case no loss is recorded: the claim expires.
    """
    with _restartable_claims() as ledger:
        ledger.claim('a')
        ledger.claims.mark_claimant_lost('a')
        CASE.assertIs(ledger.claim('b')[1], State.UNKNOWN)
    with _restartable_claims() as ledger:
        ledger.claim('a')
        ledger.time_source.advance(60_000)
        CASE.assertIs(ledger.claim('b')[1], State.UNKNOWN)


def test_late_outcome_of_an_earlier_claim_does_not_free_the_key() -> None:
    """Guards against a repeated outcome that frees a newer claim.

    An entry sends the outcome again if its acknowledgement was lost.
    """
    with _restartable_claims() as ledger:
        first, _ = ledger.claim('a')
        ledger.settle('a', first, State.GRANTED)
        _second, state = ledger.claim('a')
        CASE.assertIs(state, State.GRANTED)
        ledger.settle('a', first, State.GRANTED)
        CASE.assertIs(ledger.claim('b')[1], State.RUNNING)


def test_concurrent_claims_have_one_winner() -> None:
    """Guards against two grants while the first claim is being synced."""
    with _restartable_claims() as ledger:
        tasks = [
            gevent.spawn(ledger.claim, f'e{number}') for number in range(20)
        ]
        gevent.joinall(tasks, raise_error=True)
        states = [task.value[1] for task in tasks]
        CASE.assertEqual(states.count(State.GRANTED), 1)
        CASE.assertEqual(states.count(State.RUNNING), 19)


@fixtures.hypothesis_settings(150)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ('claim', 'keep', 'free', 'resend', 'lose', 'restart', 'wait'),
            ),
            strategies.sampled_from(('a', 'b')),
        ),
        max_size=14,
    ),
)
def test_no_order_of_events_runs_a_request_twice(
    events: list[tuple[str, str]],
) -> None:
    """Guards against a grant while an earlier one may have run."""
    with _restartable_claims() as ledger:
        granted: list[tuple[str, int]] = []
        may_have_run: set[tuple[str, int]] = set()
        outcomes: list[tuple[str, int, State]] = []
        for event, entry in events:
            match event:
                case 'claim':
                    number, state = ledger.claim(entry)
                    if state is State.GRANTED:
                        CASE.assertFalse(may_have_run)
                        granted.append((entry, number))
                        may_have_run.add((entry, number))
                case 'keep' | 'free' if granted:
                    holder, number = granted.pop()
                    outcome = State.KEPT if event == 'keep' else State.GRANTED
                    outcomes.append((holder, number, outcome))
                    ledger.settle(holder, number, outcome)
                    if event == 'free':
                        may_have_run.discard((holder, number))
                case 'resend':
                    for holder, number, outcome in outcomes:
                        ledger.settle(holder, number, outcome)
                case 'lose':
                    ledger.claims.mark_claimant_lost(entry)
                case 'restart':
                    ledger.restart()
                case 'wait':
                    ledger.time_source.advance(10_000)


def _claim_each(ledger: claims.Claims, count: int) -> list[State]:
    """Claims keys that differ; returns the states."""
    return [
        ledger.claim(
            f'key-{number}',
            b'd',
            claimant='e',
            claim_number=number,
            timeout=100,
        ).state
        for number in range(count)
    ]


def test_name_of_the_claimant_counts() -> None:
    """After a restart each claim has a copy of it."""
    with fixtures.folder() as folder:
        ledger = claims.Claims(journal.Journal(folder), clock.ManualClock())
        for number, claimant in enumerate(('e', 'e' * 1000)):
            before = ledger.held_bytes
            ledger.claim(
                f'key-{number}',
                b'd',
                claimant=claimant,
                claim_number=1,
                timeout=100,
            )
            grown = ledger.held_bytes - before
            CASE.assertGreater(grown, 1000 + len(claimant))
        ledger.close()


def test_full_ledger_refuses_new_keys_and_keeps_the_old_ones() -> None:
    """A client that never repeats a key ended the ledger (issue 53)."""
    with fixtures.folder() as folder:
        time_source = clock.ManualClock(start=1000)
        ledger = claims.Claims(journal.Journal(folder), time_source, _MAX_BYTES)
        states = _claim_each(ledger, 100)
        granted = states.count(State.GRANTED)
        CASE.assertGreater(granted, 0)
        CASE.assertEqual(states[granted:], [State.FULL] * (100 - granted))
        CASE.assertLessEqual(ledger.held_bytes, _MAX_BYTES)
        again = _claim_each(ledger, granted)
        CASE.assertEqual(set(again), {State.RUNNING})
        for number in range(granted):
            ledger.settle(
                f'key-{number}',
                claimant='e',
                claim_number=number,
                state=State.KEPT.value,
                answer=[200, [], b'x' * 2000],
            )
        CASE.assertLessEqual(ledger.held_bytes, _MAX_BYTES)
        settled = _claim_each(ledger, granted)
        CASE.assertLessEqual(set(settled), {State.KEPT, State.UNKNOWN})
        time_source.advance(claims.RETENTION_MS)
        CASE.assertIn(State.GRANTED, _claim_each(ledger, 100))
        ledger.close()
