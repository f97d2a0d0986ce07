"""Tests of broadcasts to peers."""

from __future__ import annotations

import typing
import unittest

import gevent
from gevent import event

from mulberryquay.coordination import broadcast, clock
from testing import fixtures

CASE: typing.Final = unittest.TestCase()


class _OnePeer:
    """A source with one peer, which never answers."""

    def list_peers(self) -> list[str]:
        """Returns the peer's address."""
        return ['127.0.0.1:1']

    def snapshot_updates(self) -> list[broadcast.Message]:
        """Returns no updates."""
        return []

    def make_call(
        self, updates: list[broadcast.Message], *, is_snapshot: bool
    ) -> broadcast.Message:
        """Returns a call without content."""
        return (len(updates), is_snapshot)

    def read_incarnation(self, _answer: typing.Any) -> str:
        """Returns a constant."""
        return 'i-1'


class _CountingNetwork:
    """Counts the calls; each one waits until the test ends."""

    def __init__(self) -> None:
        self.callers: list[gevent.Greenlet] = []

    def call(self, *_arguments: typing.Any, **_options: typing.Any) -> None:
        """Records the calling task and waits."""
        self.callers.append(gevent.getcurrent())
        event.Event().wait()


def test_stop_ends_the_tasks_of_all_peers() -> None:
    """A stopped sender must leave no task that calls its peers later."""
    network = _CountingNetwork()
    sender = broadcast.Broadcast(
        _OnePeer(), typing.cast(typing.Any, network), clock.Clock()
    )
    sender.start()
    fixtures.wait_until(lambda: network.callers)
    sender.stop()
    CASE.assertTrue(network.callers[0].dead)
