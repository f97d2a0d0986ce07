"""Permits under the rates of client accounts, asked for at control hosts."""

from __future__ import annotations

import itertools
import typing

from mulberryquay import metrics, protocol
from mulberryquay.coordination import clock, signals
from mulberryquay.decisions import held_permits, permits

#: Longest time that a request waits for a permit.
MAX_WAIT_MS: typing.Final = permits.PERMIT_LIFE_MS

#: A question without an answer for this long is asked at another host. Two
#: round trips between regions fit, and a batch that was sent just before.
_ANSWER_TIMEOUT_MS: typing.Final = 110.0

#: Accounts with metrics of their own; the others share one label value.
_MAX_LABELS: typing.Final = 100
_OTHER_LABEL: typing.Final = 'other'

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_account_permits_total',
        'Permits by client account (the first 100 asked for, then "other") and '
        'result: asked of control hosts, granted, refused, undecided.',
        labels=('account', 'result'),
    ),
    metrics.MetricDeclaration(
        'mulberryquay_account_permits_held',
        'Permits that this entry holds for requests to come.',
        is_gauge=True,
    ),
    metrics.MetricDeclaration(
        'mulberryquay_account_permits_age_ms',
        'Time since a control host last decided on permits for this entry; '
        '-1 before.',
        is_gauge=True,
    ),
)


class Hosts(typing.Protocol):
    """The followed control hosts, as far as permits need them."""

    def ask_permits(
        self, question: protocol.PermitsAsked, *, is_repeated: bool
    ) -> bool:
        """Sends a question to one host, to another if it is repeated.

        Returns False if there is none.
        """


class _Account:
    """The permits of one account and the requests that wait for them."""

    def __init__(self, time_source: clock.Clock, *, has_label: bool) -> None:
        self.has_label = has_label
        self.held = held_permits.HeldPermits()
        self.waiting = 0
        #: Number of the question without an answer, 0 for none.
        self.asked_number = 0
        self.asked_at = 0.0
        self.changed = signals.Signal(time_source)


class _Question(typing.NamedTuple):
    account: str
    asked_at: float


@typing.final
class LeasedRates:
    """Uses permits that the leader of the control hosts grants on demand."""

    def __init__(
        self, time_source: clock.Clock, counters: metrics.Metrics
    ) -> None:
        """Refuses until `hosts` is set."""
        self._clock = time_source
        self._metrics = counters
        self._accounts: dict[str, _Account] = {}
        self._questions: dict[int, _Question] = {}
        self._numbers = itertools.count(1)
        self._decided_at: float | None = None
        #: Where to ask.
        self.hosts: Hosts | None = None

    def take(self, limit: permits.RateLimit) -> permits.Permit:
        """Takes a permit for one request; may wait for a control host."""
        if not limit.per_s:
            return permits.Granted()
        account = self._accounts.get(limit.account)
        if account is None:
            has_label = len(self._accounts) < _MAX_LABELS
            account = _Account(self._clock, has_label=has_label)
            self._accounts[limit.account] = account
        permit = account.held.take(limit, self._clock.elapsed())
        if permit is None:
            permit = self._wait(account, limit)
        else:
            self._ask_if_needed(account, limit)
        self._count(limit.account, _RESULTS[type(permit)])
        return permit

    def receive(self, answer: protocol.PermitsDecided) -> None:
        """Applies the decision on an earlier question."""
        now = self._clock.elapsed()
        self._decided_at = now
        question = self._questions.pop(answer.number, None)
        if question is None:
            return
        account = self._accounts[question.account]
        account.held.receive(
            permits.Decision(*answer.decision),
            asked_at=question.asked_at,
            now=now,
        )
        if answer.number == account.asked_number:
            account.asked_number = 0
        account.changed.notify()

    def update_gauges(self) -> None:
        """Sets the gauges of what this entry holds."""
        now = self._clock.elapsed()
        held = sum(
            account.held.held(now) for account in self._accounts.values()
        )
        age = -1.0 if self._decided_at is None else now - self._decided_at
        self._metrics.set_gauge('mulberryquay_account_permits_held', held)
        self._metrics.set_gauge('mulberryquay_account_permits_age_ms', age)

    def _wait(
        self, account: _Account, limit: permits.RateLimit
    ) -> permits.Permit:
        deadline = self._clock.now() + MAX_WAIT_MS
        account.waiting += 1
        try:
            while self._ask_if_needed(account, limit):
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                account.changed.wait(min(remaining, _ANSWER_TIMEOUT_MS))
                permit = account.held.retake(limit, self._clock.elapsed())
                if permit is not None:
                    return permit
        finally:
            account.waiting -= 1
        return permits.Undecided()

    def _ask_if_needed(
        self, account: _Account, limit: permits.RateLimit
    ) -> bool:
        """Asks unless an answer is due; False if there is nobody to ask."""
        now = self._clock.elapsed()
        is_asked = account.asked_number > 0
        if is_asked and now - account.asked_at < _ANSWER_TIMEOUT_MS:
            return True
        count = account.held.count_to_ask(account.waiting, now)
        if not count:
            return True
        if self.hosts is None:
            return False
        question = protocol.PermitsAsked(
            next(self._numbers), limit.account, count
        )
        self._forget_old_questions(now)
        self._questions[question.number] = _Question(limit.account, now)
        account.asked_number = question.number
        account.asked_at = now
        self._count(limit.account, 'asked', amount=count)
        return self.hosts.ask_permits(question, is_repeated=is_asked)

    def _forget_old_questions(self, now: float) -> None:
        """Forgets questions whose answers would come too late."""
        while self._questions:
            number = next(iter(self._questions))
            age = now - self._questions[number].asked_at
            if age <= permits.PERMIT_LIFE_MS:
                return
            self._questions.pop(number)

    def _count(self, account: str, result: str, *, amount: int = 1) -> None:
        known = self._accounts[account]
        label = account if known.has_label else _OTHER_LABEL
        self._metrics.count(
            'mulberryquay_account_permits_total', label, result, amount=amount
        )


_RESULTS: typing.Final = {
    permits.Granted: 'granted',
    permits.OverRate: 'refused',
    permits.Undecided: 'undecided',
}
