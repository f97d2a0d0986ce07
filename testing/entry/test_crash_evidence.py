"""Tests of telling crashes from connections that targets reset."""

from __future__ import annotations

import typing
import unittest

import gevent
from gevent import socket

from mulberryquay.coordination import clock
from mulberryquay.entry import crash_evidence

CASE: typing.Final = unittest.TestCase()


def _decide(
    evidence: crash_evidence.CrashEvidence,
    fingerprint: bytes,
    address: tuple[str, int],
) -> bool:
    """Returns whether a loss counts as a crash."""
    crashes: list[float] = []
    evidence.examine(fingerprint, address, crashes.append)
    gevent.sleep(0.1)
    return bool(crashes)


def _listener() -> socket.socket:
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    return listener


def test_losses_of_one_request_are_crashes() -> None:
    """A target that restarts at once must not hide a request that crashes."""
    evidence = crash_evidence.CrashEvidence(clock.Clock())
    with _listener() as listener:
        for _ in range(3):
            CASE.assertTrue(_decide(evidence, b'a', listener.getsockname()))


def test_common_loss_is_a_crash_only_if_the_target_is_gone() -> None:
    """A crash must count, too, while an overloaded target resets others."""
    evidence = crash_evidence.CrashEvidence(clock.Clock())
    with _listener() as listener:
        address = listener.getsockname()
        for harmless in (b'a', b'b'):
            evidence.examine(harmless, address, lambda _: None)
        CASE.assertFalse(_decide(evidence, b'c', address))
    gevent.sleep(0.2)
    CASE.assertTrue(_decide(evidence, b'c', address))


def test_losses_are_forgotten() -> None:
    """Losses of the past must not hide a request that crashes targets now."""
    manual_clock = clock.ManualClock()
    evidence = crash_evidence.CrashEvidence(manual_clock)
    with _listener() as listener:
        address = listener.getsockname()
        for harmless in (b'a', b'b', b'c'):
            evidence.examine(harmless, address, lambda _: None)
        manual_clock.advance(60_000)
        CASE.assertTrue(_decide(evidence, b'd', address))
