"""Plays callers against the decisions on permits, with a clock of its own."""

from __future__ import annotations

import collections
import typing

from mulberryquay.decisions import (
    held_permits,
    permits,
    rate_keeper,
    rate_slack,
)

WINDOW_MS: typing.Final = 5000.0
SLACK: typing.Final = rate_slack.SlackLimits(18, 0.04, WINDOW_MS)
HOSTS: typing.Final = ('host-1', 'host-2', 'host-3')

_STEP_MS: typing.Final = 5.0
_SECOND_MS: typing.Final = 1000.0

#: Long after any start, so that no bucket is still empty for that.
_START_MS: typing.Final = 1e6


class Entry:
    """What an entry holds, its questions on the way, and how it fares."""

    def __init__(self) -> None:
        self.held = held_permits.HeldPermits()
        self.waiting = 0
        #: Decisions with the times when they were asked for and arrive.
        self.answers: list[tuple[float, float, permits.Decision]] = []
        self.frozen_until = 0.0
        self.cut_until = 0.0


class Group:
    """Entries and a leader, played in steps by a fake clock."""

    def __init__(
        self, limit: permits.RateLimit, entries: int, *, delay_ms: float = 25
    ) -> None:
        self.now = _START_MS
        self.limit = limit
        self.entries = [Entry() for _ in range(entries)]
        self.leader: rate_keeper.RateKeeper | None = rate_keeper.RateKeeper(
            self.now
        )
        self.leader_until = float('inf')
        self.slack = {host: rate_slack.RateSlack(SLACK) for host in HOSTS}
        self.delay_ms = delay_ms
        self.sent_at: list[float] = []
        self.questions = 0
        self.refused = 0

    def request(self, number: int) -> None:
        """Plays a request at an entry; it waits if it has no permit."""
        entry = self.entries[number]
        if entry.frozen_until > self.now:
            return
        match entry.held.take(self.limit, self.now):
            case permits.Granted():
                self.sent_at.append(self.now)
            case None:
                entry.waiting += 1
            case _:
                self.refused += 1
        self._ask(number, entry)

    def step(self) -> None:
        """Lets time pass; answers arrive."""
        self.now += _STEP_MS
        for number, entry in enumerate(self.entries):
            if entry.frozen_until > self.now:
                continue
            due = [answer for answer in entry.answers if answer[1] <= self.now]
            for answer in due:
                entry.answers.remove(answer)
                self._receive(entry, answer)
            if due:
                self._ask(number, entry)

    def elect(self) -> None:
        """Another leader follows, which knows nothing of the earlier one."""
        self.leader = rate_keeper.RateKeeper(self.now)

    def most_in_window(self) -> int:
        """Returns the most requests sent in any window."""
        return most_in_window(self.sent_at)

    def _receive(
        self, entry: Entry, answer: tuple[float, float, permits.Decision]
    ) -> None:
        entry.held.receive(answer[2], asked_at=answer[0], now=self.now)
        for _ in range(entry.waiting):
            match entry.held.retake(self.limit, self.now):
                case permits.Granted():
                    self.sent_at.append(self.now)
                case None:
                    return
                case _:
                    self.refused += 1
            entry.waiting -= 1

    def _ask(self, number: int, entry: Entry) -> None:
        if entry.answers:
            return
        count = entry.held.count_to_ask(entry.waiting, self.now)
        if not count:
            return
        self.questions += 1
        is_lost = entry.cut_until > self.now
        decision = permits.Decision(0, 200, 200, is_known=False)
        if not is_lost:
            decision = self._decide(number, count)
        entry.answers.append((self.now, self.now + self.delay_ms, decision))

    def _decide(self, number: int, count: int) -> permits.Decision:
        if self.leader is not None:
            return self.leader.ask(self.limit, count, self.now)
        host = HOSTS[number % len(HOSTS)]
        return self.slack[host].ask(
            self.limit, count, self.now, rate_slack.Deciders(host, HOSTS)
        )


def play(
    group: Group, per_s: float, seconds: float, choose: typing.Any
) -> None:
    """Plays callers who come at a steady rate."""
    started = group.now
    due = started
    while group.now < started + seconds * _SECOND_MS:
        while due <= group.now:
            group.request(choose())
            due += _SECOND_MS / per_s
        group.step()


def most_in_window(moments: typing.Iterable[float]) -> int:
    """Returns the most of these moments that lie in one window."""
    window: collections.deque[float] = collections.deque()
    most = 0
    for moment in moments:
        window.append(moment)
        while window[0] <= moment - WINDOW_MS:
            window.popleft()
        most = max(most, len(window))
    return most
