"""Claims: every order of claim, end, loss and restart runs at most once."""

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


class Book:
    """Claims that can be restarted, with the calls of two entries."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the claims in ``folder``."""
        self._folder = folder
        self.time_source = clock.ManualClock(start=1000)
        self.claims = claims.Claims(journal.Journal(folder), self.time_source)
        self._number = 0

    def restart(self) -> None:
        """Closes and opens the claims again."""
        self.claims.close()
        self.claims = claims.Claims(
            journal.Journal(self._folder), self.time_source
        )

    def claim(self, entry: str, digest: bytes = b'd') -> tuple[int, State]:
        """Returns the claim's number and what the ledger said."""
        self._number += 1
        verdict = self.claims.claim(
            'key',
            digest,
            claimant=entry,
            claim_number=self._number,
            timeout=100,
        )
        return self._number, verdict.state

    def settle(self, entry: str, number: int, state: State) -> None:
        """Ends a claim."""
        self.claims.settle(
            'key',
            claimant=entry,
            claim_number=number,
            state=state.value,
            answer=[200, [], b'kept'] if state is State.KEPT else [],
        )


@contextlib.contextmanager
def _book() -> typing.Iterator[Book]:
    with fixtures.folder() as folder:
        book = Book(folder)
        try:
            yield book
        finally:
            book.claims.close()


def test_claim_lives_through_restarts_of_the_ledger() -> None:
    """Running, then kept; another body under the key is refused."""
    with _book() as book:
        number, state = book.claim('a')
        CASE.assertIs(state, State.GRANTED)
        book.restart()
        CASE.assertIs(book.claim('b')[1], State.RUNNING)
        CASE.assertIs(book.claim('b', b'other')[1], State.MISMATCH)
        book.settle('a', number, State.KEPT)
        book.restart()
        CASE.assertIs(book.claim('b')[1], State.KEPT)


def test_claim_of_a_lost_entry_is_unknown_for_good() -> None:
    """Also when nobody said that the entry is gone."""
    with _book() as book:
        book.claim('a')
        book.claims.lose_claimant('a')
        CASE.assertIs(book.claim('b')[1], State.UNKNOWN)
    with _book() as book:
        book.claim('a')
        book.time_source.advance(60_000)
        CASE.assertIs(book.claim('b')[1], State.UNKNOWN)


def test_late_end_of_an_earlier_claim_frees_nothing() -> None:
    """It was sent again after its confirmation was lost."""
    with _book() as book:
        first, _ = book.claim('a')
        book.settle('a', first, State.GRANTED)
        _second, state = book.claim('a')
        CASE.assertIs(state, State.GRANTED)
        book.settle('a', first, State.GRANTED)
        CASE.assertIs(book.claim('b')[1], State.RUNNING)


def test_claims_that_meet_have_one_winner() -> None:
    """Many tasks claim one key before the first sync is done."""
    with _book() as book:
        tasks = [gevent.spawn(book.claim, f'e{number}') for number in range(20)]
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
    """A run is granted only if no earlier grant may have run."""
    with _book() as book:
        granted: list[tuple[str, int]] = []
        may_have_run: set[tuple[str, int]] = set()
        ends: list[tuple[str, int, State]] = []
        for event, entry in events:
            match event:
                case 'claim':
                    number, state = book.claim(entry)
                    if state is State.GRANTED:
                        CASE.assertFalse(may_have_run)
                        granted.append((entry, number))
                        may_have_run.add((entry, number))
                case 'keep' | 'free' if granted:
                    holder, number = granted.pop()
                    end = State.KEPT if event == 'keep' else State.GRANTED
                    ends.append((holder, number, end))
                    book.settle(holder, number, end)
                    if event == 'free':
                        may_have_run.discard((holder, number))
                case 'resend':
                    for holder, number, end in ends:
                        book.settle(holder, number, end)
                case 'lose':
                    book.claims.lose_claimant(entry)
                case 'restart':
                    book.restart()
                case 'wait':
                    book.time_source.advance(10_000)
