"""Tests of how control hosts decide on permits of client accounts."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import gevent

from mulberryquay.control import host_protocol, kinds, permit_desk
from mulberryquay.coordination import clock, errors, rpc, store
from mulberryquay.coordination.replication import replica
from mulberryquay.decisions import permits, rate_slack

CASE: typing.Final = unittest.TestCase()

_MEMBERS: typing.Final = {'a': 'host-1:1', 'b': 'host-2:1', 'c': 'host-3:1'}
_SLACK: typing.Final = rate_slack.SlackLimits(6, 0, 5000)


class _Accounts:
    """Declares accounts; each can be changed."""

    def __init__(self, **rates: float) -> None:
        self.rates = rates

    def get(self, kind: str, name: str) -> store.Resource:
        if name not in self.rates:
            raise errors.NotFoundError('not declared')
        spec = {'rate_per_s': self.rates[name], 'burst': self.rates[name]}
        return store.Resource(kinds.CLIENT_ACCOUNT, name, 1, spec, 1)


class _Host:
    """A desk with a fake replica and a fake network."""

    def __init__(
        self, *, leads: bool = False, leader: str = 'host-2:1', **rates: float
    ) -> None:
        self.clock = clock.ManualClock(start=1e6)
        self.accounts = _Accounts(**rates)
        self.replica = mock.MagicMock(
            spec=replica.Replica,
            is_leader=leads,
            is_caught_up_leader=leads,
            is_in_touch=True,
            term=3,
            leader_address=leader,
            members=_MEMBERS,
        )
        self.network = mock.MagicMock(spec=rpc.Clients)
        self.decided: list[permits.Decision] = []
        self.desk = permit_desk.PermitDesk(
            self.replica,
            self.network,
            typing.cast(store.Store, self.accounts),
            self.clock,
            address='host-1:1',
            slack=_SLACK,
        )
        if leads:
            self.desk.set_leader_term(3)

    def ask(self, account: str, *counts: int) -> list[int]:
        """Asks together; returns how many permits each question gets."""
        self.decided.clear()
        self.desk.start()
        for count in counts:
            self.desk.ask(account, count, self.decided.append)
        while len(self.decided) < len(counts):
            gevent.sleep(0)
        self.desk.stop()
        return [decision.granted for decision in self.decided]


def test_questions_go_to_the_leader_together() -> None:
    """A call for each question would load the leader for nothing."""
    host = _Host(yard=10)
    host.network.call.return_value = host_protocol.PermitsAllotted(
        is_leader=True, decisions={'yard': [5, 100, 300, True]}
    )
    CASE.assertEqual(host.ask('yard', 2, 2, 2), [2, 2, 1])
    CASE.assertEqual(host.network.call.call_count, 1)
    sent = host.network.call.call_args.args
    CASE.assertEqual(
        sent, ('host-2:1', host_protocol.PermitsRequested({'yard': 6}))
    )
    last = host.decided[-1]
    CASE.assertEqual((last.next_ms, last.return_ms), (100, 300))


def test_host_without_a_leader_lends_its_share_of_the_slack() -> None:
    """Without slack all are refused during an election; more adds up."""
    host = _Host(leader='', yard=10)
    CASE.assertEqual(host.ask('yard', 1, 1, 1), [1, 1, 0])
    CASE.assertFalse(host.decided[-1].is_known)
    host.clock.advance(5000)
    CASE.assertEqual(host.ask('yard', 1), [1])


def test_leader_that_does_not_answer_is_not_waited_for_each_time() -> None:
    """Each request would wait for the timeout of a call."""
    host = _Host(yard=10)
    host.network.call.side_effect = rpc.CallFailedError('no answer')
    CASE.assertEqual(host.ask('yard', 1), [1])
    CASE.assertEqual(host.ask('yard', 1), [1])
    CASE.assertEqual(host.ask('yard', 1), [0])
    CASE.assertEqual(host.network.call.call_count, 1)
    host.clock.advance(1000)
    host.ask('yard', 1)
    CASE.assertEqual(host.network.call.call_count, 2)


def test_leader_out_of_touch_does_not_decide() -> None:
    """A leader that woke may have a successor that grants the same."""
    host = _Host(leads=True, leader='host-1:1', yard=10)
    host.clock.advance(2000)
    request = host_protocol.PermitsRequested({'yard': 4})
    CASE.assertTrue(host.desk.handle(request).is_leader)
    host.replica.is_in_touch = False
    answer = host.desk.handle(request)
    CASE.assertEqual((answer.is_leader, answer.decisions), (False, {}))
    host.replica.is_in_touch = True
    host.replica.term = 4
    CASE.assertFalse(host.desk.handle(request).is_leader)


def test_leader_decides_while_a_change_is_being_committed() -> None:
    """During many changes of the configuration callers were refused."""
    host = _Host(leads=True, leader='host-1:1', yard=10)
    host.clock.advance(2000)
    host.replica.is_caught_up_leader = False
    CASE.assertEqual(host.ask('yard', 4), [4])


def test_new_leader_begins_without_permits() -> None:
    """The earlier leader may have granted the burst just before."""
    host = _Host(leads=True, leader='host-1:1', yard=10)
    CASE.assertEqual(host.ask('yard', 10), [0])
    host.clock.advance(500)
    CASE.assertEqual(host.ask('yard', 10), [5])
    host.clock.advance(5000)
    host.desk.set_leader_term(0)
    host.desk.set_leader_term(4)
    host.replica.term = 4
    CASE.assertEqual(host.ask('yard', 10), [0])


def test_lowered_rate_binds_with_the_next_decision() -> None:
    """What had accrued under the old rate must not be granted."""
    host = _Host(leads=True, leader='host-1:1', yard=100)
    host.clock.advance(5000)
    CASE.assertEqual(host.ask('yard', 10), [10])
    host.accounts.rates['yard'] = 3
    CASE.assertEqual(host.ask('yard', 10), [3])
    host.accounts.rates['yard'] = 0
    CASE.assertEqual(host.ask('yard', 1000), [1000])


def test_undeclared_account_gets_no_permit() -> None:
    """An entry may still have the configuration of before."""
    host = _Host(leads=True, leader='host-1:1')
    CASE.assertEqual(host.ask('yard', 1), [0])
    CASE.assertFalse(host.decided[0].is_known)
