"""Plays an account at seven times its rate against ways to keep the rate.

Run as `python -m benchmarks.account_rates`. For each number of entries, rate
and place of the callers it prints the share of the rate that they could use,
the greatest sum in a window as a part of what the rate allows there, and the
questions a second, for equal parts and for permits asked of a leader.
"""

from __future__ import annotations

import itertools
import random
import sys
import typing

from mulberryquay.coordination import clock, shares
from mulberryquay.decisions import permits
from mulberryquay.entry import account_rates
from testing.decisions import rate_play

_SECONDS: typing.Final = 20
_OVERLOAD: typing.Final = 7
_SECOND_MS: typing.Final = 1000.0


class Played(typing.NamedTuple):
    """How callers fared."""

    entries: int
    per_s: float
    place: str
    parts_usable: float
    parts_greatest: float
    permits_usable: float
    permits_greatest: float
    questions_per_s: float


def run() -> list[Played]:
    """Returns a row for each case."""
    cases = itertools.product(
        (15, 116, 300), (2.0, 20.0, 200.0), ('one', 'evenly', 'moving')
    )
    return [_play(*case) for case in cases]


def _play(entries: int, per_s: float, place: str) -> Played:
    limit = permits.RateLimit('yard', per_s, per_s)
    group = rate_play.Group(limit, entries)
    rate_play.play(
        group,
        _OVERLOAD * per_s,
        _SECONDS,
        _chooser(entries, place, lambda: group.now),
    )
    sent_by_parts = _play_parts(limit, entries, place)
    allowed = per_s * _SECONDS
    in_window = per_s * rate_play.WINDOW_MS / _SECOND_MS + per_s
    return Played(
        entries,
        per_s,
        place,
        round(len(sent_by_parts) / allowed, 3),
        round(rate_play.most_in_window(sent_by_parts) / in_window, 3),
        round(len(group.sent_at) / allowed, 3),
        round(group.most_in_window() / in_window, 3),
        round(group.questions / _SECONDS, 1),
    )


def _chooser(
    entries: int, place: str, now: typing.Callable[[], float]
) -> typing.Callable[[], int]:
    rng = random.Random(1)
    match place:
        case 'one':
            return _first
        case 'evenly':
            return lambda: rng.randrange(entries)
        case _:
            return lambda: int(now() / _SECOND_MS) % entries


def _first() -> int:
    return 0


def _play_parts(
    limit: permits.RateLimit, entries: int, place: str
) -> list[float]:
    time_source = clock.ManualClock(start=0)
    names = tuple(f'entry-{number}' for number in range(entries))
    parts = []
    for name in names:
        view = shares.ShareView(name)
        view.commit(shares.EntryList(1, names))
        parts.append(account_rates.EqualParts(view, time_source))
    choose = _chooser(entries, place, time_source.now)
    interval = _SECOND_MS / (_OVERLOAD * limit.per_s)
    sent = []
    while time_source.now() < _SECONDS * _SECOND_MS:
        time_source.advance(interval)
        if isinstance(parts[choose()].take(limit), permits.Granted):
            sent.append(time_source.now())
    return sent


if __name__ == '__main__':
    for row in run():
        sys.stdout.write(f'{row}\n')
