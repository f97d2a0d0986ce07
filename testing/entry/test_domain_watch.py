"""Tests of entries that share what they know of targets."""

from __future__ import annotations

import contextlib
import math
import socket
import typing
import unittest

import hypothesis
from hypothesis import strategies

from mulberryquay.coordination import wire
from mulberryquay.decisions import sightings
from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.entry import domain_messages
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_SHARING: typing.Final = (
    '--ask_load',
    '--share_load',
    '--policy=soonest-answer',
)


@contextlib.contextmanager
def _two_entries() -> typing.Iterator[list[entry_daemon.EntryDaemon]]:
    """Yields two entries of a domain with a target; the keeper is first."""
    with (
        fixtures.control() as control,
        fixtures.entry(control, 'entry-1', arguments=_SHARING) as one,
        fixtures.entry(control, 'entry-2', arguments=_SHARING) as other,
        fixtures.announced_target(control, 'a'),
    ):
        control.declare()
        control.wait_in_force()
        both = [one, other]
        for entry in both:
            fixtures.wait_for_targets(entry, 'a')
            view = entry.state.share_view
            fixtures.wait_until(lambda: len(view.committed.members) == 2)
            fixtures.wait_until(lambda: view.keeper_of('north-1', 'stock'))
        keeper = one.state.share_view.keeper_of('north-1', 'stock')
        yield sorted(both, key=lambda entry: entry.state.name != keeper)


def _count(entry: entry_daemon.EntryDaemon, result: str) -> float:
    return entry.state.metrics.read('mulberryquay_load_pictures_total', result)


def test_entry_learns_from_the_keeper() -> None:
    """An entry must know of a target without having asked it."""
    with _two_entries() as (keeper, other):
        CASE.assertEqual(fixtures.ask(keeper, '/stock/x').status, 200)
        CASE.assertEqual(fixtures.ask(other, '/stock/x').status, 200)
        seen = other.state.balancer.all_targets['a'].sighting
        CASE.assertIsNotNone(seen)
        CASE.assertEqual(_count(other, 'told'), 1)


def test_entry_without_a_keeper_serves_on() -> None:
    """A keeper that froze must cost callers little, and no answer."""
    with _two_entries() as (keeper, other):
        watch = typing.cast(typing.Any, keeper.state.load_prober)
        watch._task.kill()
        for _ in range(4):
            CASE.assertEqual(fixtures.ask(other, '/stock/x').status, 200)
        CASE.assertEqual(_count(other, 'unanswered'), 4)
        CASE.assertEqual(_count(other, 'told'), 0)


def test_foreign_datagrams_change_nothing() -> None:
    """Bytes from elsewhere on the port must not end the receiver."""
    with _two_entries() as (keeper, other):
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with contextlib.closing(sender):
            address = typing.cast(
                typing.Any, keeper.state.load_prober
            )._socket.getsockname()
            for datagram in (b'', b'\xc1', b'\x93\x00\x01', b'\x92\x03\x01'):
                sender.sendto(datagram, address)
        CASE.assertEqual(fixtures.ask(other, '/stock/x').status, 200)
        CASE.assertEqual(_count(other, 'told'), 1)


def test_sighting_survives_its_row() -> None:
    """What a keeper tells must be what it knows, also without a report."""
    for age in (12, math.inf):
        known = sightings.Sighting('a', 2.5, 4.0, age, 0.75, 0.25)
        told = domain_messages.SightingsTold(7, [domain_messages.row_of(known)])
        message = domain_messages.decode(domain_messages.encode(told))
        CASE.assertEqual(message, told)
        row = told.rows[0]
        CASE.assertEqual(domain_messages.sighting_of(row), known)


def test_any_datagram_is_decoded_or_refused() -> None:
    """A datagram must not raise anything but the error of the protocol."""

    @fixtures.hypothesis_settings()
    @hypothesis.given(strategies.binary(max_size=64))
    def check(datagram: bytes) -> None:
        with contextlib.suppress(wire.ProtocolError):
            domain_messages.decode(datagram)

    check()
