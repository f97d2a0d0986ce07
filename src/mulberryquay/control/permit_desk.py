"""Decides on the permits of client accounts for the entries of this host.

The leader alone knows what an account has used. The other hosts pass on what
their entries ask; while no leader answers, they grant the slack.
"""

from __future__ import annotations

import logging
import typing

import gevent
from gevent import event, lock

from mulberryquay import metrics
from mulberryquay.control import host_protocol, kinds
from mulberryquay.coordination import clock, errors, rpc, store
from mulberryquay.coordination.replication import replica
from mulberryquay.decisions import permits, rate_keeper, rate_slack

#: Calls to the leader at once; questions that come meanwhile go together.
_MAX_CALLS: typing.Final = 2

#: Two round trips between regions fit.
_CALL_TIMEOUT_MS: typing.Final = 90.0

#: After a call without an answer, the leader isn't asked for this long.
_RETRY_DELAY_MS: typing.Final = 200.0

#: An unknown account may be asked for again after this time.
_UNKNOWN_RETURN_MS: typing.Final = 200.0

#: Shortest time between two log lines on one account.
_LOG_INTERVAL_MS: typing.Final = 5000.0

METRICS: typing.Final = (
    metrics.MetricDeclaration(
        'mulberryquay_control_permits_total',
        'Permits of client accounts by how they were decided: granted or '
        'refused as the leader, lent or refused without a leader.',
        labels=('decided', 'result'),
    ),
)

_LOG: typing.Final = logging.getLogger(__name__)

Reply = typing.Callable[[permits.Decision], None]


class _Question(typing.NamedTuple):
    amount: int
    reply: Reply


_Questions = dict[str, list[_Question]]


@typing.final
class PermitDesk:
    """Answers entries, and other hosts if this one leads."""

    def __init__(
        self,
        host_replica: replica.Replica,
        network: rpc.Clients,
        resources: store.Store,
        time_source: clock.Clock,
        *,
        address: str,
        slack: rate_slack.SlackLimits,
    ) -> None:
        """``address`` is that of this host among the members."""
        self._replica = host_replica
        self._network = network
        self._store = resources
        self._clock = time_source
        self._address = address
        self._slack = rate_slack.RateSlack(slack)
        self._keeper = rate_keeper.RateKeeper(0)
        self._term = 0
        self._asked: _Questions = {}
        self._has_questions = event.Event()
        self._calls = lock.Semaphore(_MAX_CALLS)
        self._unanswered_until = 0.0
        self._logged_at: dict[str, float] = {}
        self._task: gevent.Greenlet | None = None
        self.metrics: metrics.Metrics = metrics.Metrics(METRICS)

    def start(self) -> None:
        """Starts to pass questions on."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops passing questions on."""
        if self._task is not None:
            self._task.kill()

    def set_leader_term(self, term: int) -> None:
        """Starts to decide in ``term``; a term of 0 stops it.

        An earlier leader may have granted all it had just before, so this one
        begins without permits.
        """
        if term and term != self._term:
            self._keeper = rate_keeper.RateKeeper(self._clock.elapsed())
        self._term = term

    def ask(self, account: str, count: int, reply: Reply) -> None:
        """Passes the decision for a question of an entry to ``reply``."""
        question = _Question(count, reply)
        if self._leads():
            _share_out(self._decide(account, count), [question])
            return
        self._asked.setdefault(account, []).append(question)
        self._has_questions.set()

    def available(self, account: str) -> float:
        """Returns the permits that this host could grant as the leader."""
        limit = self._limit_of(account)
        if limit is None or not self._leads():
            return 0
        return self._keeper.available(limit, self._clock.elapsed())

    def handle(
        self, request: host_protocol.PermitsRequested
    ) -> host_protocol.PermitsAllotted:
        """Answers another host."""
        if not self._leads():
            return host_protocol.PermitsAllotted(is_leader=False, decisions={})
        return host_protocol.PermitsAllotted(
            is_leader=True,
            decisions={
                account: list(self._decide(account, count))
                for account, count in request.counts.items()
            },
        )

    def _leads(self) -> bool:
        """Whether no other host can have been elected since the last answers.

        A leader that woke after a suspension must not decide before that. It
        decides while changes are being committed: they aren't in force yet.
        """
        host_replica = self._replica
        return (
            self._term > 0
            and host_replica.term == self._term
            and host_replica.is_leader
            and host_replica.is_in_touch
        )

    def _run(self) -> None:
        while True:
            self._has_questions.wait()
            self._calls.acquire()
            questions = self._asked
            self._asked = {}
            self._has_questions.clear()
            gevent.spawn(self._answer, questions)

    def _answer(self, questions: _Questions) -> None:
        counts = {
            account: sum(question.amount for question in asked)
            for account, asked in questions.items()
        }
        try:
            decisions = self._ask_leader(counts)
        finally:
            self._calls.release()
        if decisions is None:
            decisions = {
                account: self._lend(account, count)
                for account, count in counts.items()
            }
        for account, asked in questions.items():
            _share_out(decisions.get(account, _UNKNOWN), asked)

    def _ask_leader(
        self, counts: dict[str, int]
    ) -> dict[str, permits.Decision] | None:
        """Returns the leader's decisions, None without a leader."""
        leader = self._replica.leader_address
        if not leader or leader == self._address:
            return None
        if self._clock.now() < self._unanswered_until:
            return None
        try:
            answer = self._network.call(
                leader,
                host_protocol.PermitsRequested(counts),
                timeout=_CALL_TIMEOUT_MS,
            )
        except rpc.CallFailedError as error:
            self._unanswered_until = self._clock.now() + _RETRY_DELAY_MS
            _LOG.info(
                'no leader decides on permits', extra={'cause': str(error)}
            )
            return None
        if not answer.is_leader:
            return None
        return {
            account: permits.Decision(*row)
            for account, row in answer.decisions.items()
        }

    def _decide(self, account: str, count: int) -> permits.Decision:
        limit = self._limit_of(account)
        if limit is None:
            return _UNKNOWN
        decision = self._keeper.ask(limit, count, self._clock.elapsed())
        self._count('leader', 'granted', decision.granted)
        if decision.granted < count:
            self._count('leader', 'refused', count - decision.granted)
            self._log_over_rate(limit, count, decision)
        return decision

    def _lend(self, account: str, count: int) -> permits.Decision:
        limit = self._limit_of(account)
        if limit is None:
            return _UNKNOWN
        members = tuple(sorted(self._replica.members.values()))
        decision = self._slack.ask(
            limit,
            count,
            self._clock.elapsed(),
            rate_slack.Deciders(self._address, members),
        )
        self._count('slack', 'lent', decision.granted)
        self._count('slack', 'refused', count - decision.granted)
        return decision

    def _limit_of(self, account: str) -> permits.RateLimit | None:
        try:
            spec = self._store.get(kinds.CLIENT_ACCOUNT, account).spec or {}
        except errors.NotFoundError:
            return None
        return permits.RateLimit(
            account, spec.get('rate_per_s', 0), spec.get('burst', 0)
        )

    def _count(self, decided: str, result: str, amount: int) -> None:
        self.metrics.count(
            'mulberryquay_control_permits_total',
            decided,
            result,
            amount=amount,
        )

    def _log_over_rate(
        self, limit: permits.RateLimit, asked: int, decision: permits.Decision
    ) -> None:
        now = self._clock.now()
        logged_at = self._logged_at.get(limit.account)
        if logged_at is not None and now - logged_at < _LOG_INTERVAL_MS:
            return
        self._logged_at[limit.account] = now
        _LOG.info(
            'account over its rate',
            extra={
                'account': limit.account,
                'rate_per_s': limit.per_s,
                'burst': limit.burst,
                'asked': asked,
                'granted': decision.granted,
            },
        )


_UNKNOWN: typing.Final = permits.Decision(
    0, _UNKNOWN_RETURN_MS, _UNKNOWN_RETURN_MS, is_known=False
)


def _share_out(
    decision: permits.Decision, questions: typing.Sequence[_Question]
) -> None:
    """Divides a decision among questions in their order."""
    left = decision.granted
    for question in questions:
        granted = min(left, question.amount)
        left -= granted
        if granted == question.amount:
            question.reply(permits.Decision(granted))
        else:
            question.reply(decision._replace(granted=granted))
