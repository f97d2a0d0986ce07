"""Tests of odd status lines in answers to probes and to relayed requests."""

from __future__ import annotations

import functools
import typing
import unittest

from mulberryquay.coordination import clock, watchdog
from mulberryquay.entry import attempt, http_heads, outcomes, targets
from mulberryquay.standin import target
from testing import fixtures

CASE: typing.Final = unittest.TestCase()

_LINES: typing.Final = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/2.0 200 OK',
    b'RTSP/1.0 200 OK',
    b'HTTP/1.1 2x0 OK',
)
_PROBES: typing.Final = 3
_TIMEOUT_MS: typing.Final = 5000.0


def _answer(line: bytes, _request: target.ReceivedRequest) -> target.Answer:
    return target.Answer(
        raw=line + b'\r\nMulberryquay-Outcome: answered\r\n'
        b'Content-Length: 2\r\n\r\nok'
    )


def test_probe_without_a_valid_status_has_failed() -> None:
    """A target in trouble counted as recovered by such an answer (issue 45)."""
    for line in _LINES:
        with (
            CASE.subTest(line),
            fixtures.control() as control,
            fixtures.entry(control, probes_per_target_s=20) as entry,
            fixtures.announced_target(
                control, 'odd', functools.partial(_answer, line)
            ) as odd,
        ):
            control.declare()
            fixtures.wait_for_targets(entry, 'odd')
            state = entry.state.balancer.all_targets['odd']
            state.record_failure(outcomes.Reason.CONNECTION_LOST)
            seen = sum(odd.runs.values())
            fixtures.wait_until(
                functools.partial(_has_been_probed, odd, seen + _PROBES)
            )
            CASE.assertTrue(state.has_failed)


def _has_been_probed(probed: target.StandInTarget, times: int) -> bool:
    return sum(probed.runs.values()) >= times


def test_relay_without_a_valid_status_is_lost() -> None:
    """Another entry's answer is one only with a status, too (issue 45)."""
    time_source = clock.Clock()
    deadlines = watchdog.Watchdog(time_source)
    deadlines.start()
    for line in _LINES:
        stand_in = target.StandInTarget(functools.partial(_answer, line))
        stand_in.start()
        peer = targets.TargetState(
            fixtures.warm_row('entry-2', stand_in.address), time_source
        )
        peer.is_peer = True
        outgoing = attempt.OutgoingRequest(
            b'GET',
            b'/stock/x',
            http_heads.HeaderBlock(b'host: test\r\n'),
            http_heads.Framing.NONE,
            b'',
            None,
            time_source.now() + _TIMEOUT_MS,
        )
        with CASE.subTest(line):
            result = attempt.Attempt(
                peer, outgoing, time_source, deadlines
            ).run([])
            CASE.assertEqual(
                result, outcomes.Lost(outcomes.Reason.MALFORMED_ANSWER)
            )
        stand_in.stop()
    deadlines.stop()
