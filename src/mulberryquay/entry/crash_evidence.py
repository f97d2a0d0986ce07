"""Decides whether a lost connection may be a crash that its request caused.

An overloaded target resets connections, too. While other requests lose theirs
as well, a loss counts as a crash only if the target does not listen any more.
"""

from __future__ import annotations

import collections
import typing

import gevent
from gevent import socket

from mulberryquay.coordination import clock

#: Losses of this many other requests within the time make losses common.
_COMMON_LOSSES: typing.Final = 2
_COMMON_WINDOW_MS: typing.Final = 10_000.0

#: Losses that are remembered.
_MAX_LOSSES: typing.Final = 64

#: A target that takes longer to accept a connection does not listen.
_CONNECT_TIMEOUT_S: typing.Final = 0.2

#: Targets whose check began this recently are not checked again.
_CHECK_INTERVAL_MS: typing.Final = 200.0


class _Loss(typing.NamedTuple):
    """A connection that was lost while a request ran."""

    fingerprint: bytes
    lost_at: float


class _Check(typing.NamedTuple):
    """A check of whether a target listens."""

    began_at: float
    task: gevent.Greenlet


@typing.final
class CrashEvidence:
    """The recent losses of this entry and the checks of their targets."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Starts without losses."""
        self._clock = time_source
        self._losses: collections.deque[_Loss] = collections.deque(
            maxlen=_MAX_LOSSES
        )
        self._checks: dict[tuple[str, int], _Check] = {}

    def examine(
        self,
        fingerprint: bytes,
        address: tuple[str, int],
        on_crash: typing.Callable[[float], None],
    ) -> None:
        """Records a loss; calls ``on_crash`` if it may be a crash.

        The argument is the time in ms that the decision took. Losses that
        are not common are decided at once, others in a task.
        """
        is_common = self._is_common(fingerprint)
        self._losses.append(_Loss(fingerprint, self._clock.now()))
        if is_common:
            gevent.spawn(self._examine_target, address, on_crash)
        else:
            on_crash(0)

    def _is_common(self, fingerprint: bytes) -> bool:
        oldest = self._clock.now() - _COMMON_WINDOW_MS
        others = {
            loss.fingerprint
            for loss in self._losses
            if loss.lost_at >= oldest and loss.fingerprint != fingerprint
        }
        return len(others) >= _COMMON_LOSSES

    def _examine_target(
        self,
        address: tuple[str, int],
        on_crash: typing.Callable[[float], None],
    ) -> None:
        began_at = self._clock.now()
        if not self._check(address).get():
            on_crash(self._clock.now() - began_at)

    def _check(self, address: tuple[str, int]) -> gevent.Greenlet:
        """Returns the running or a recent check, or begins one."""
        now = self._clock.now()
        known = self._checks.get(address)
        if known is None or now - known.began_at > _CHECK_INTERVAL_MS:
            self._checks = {
                checked: check
                for checked, check in self._checks.items()
                if now - check.began_at <= _CHECK_INTERVAL_MS
            }
            known = _Check(now, gevent.spawn(_is_listening, address))
            self._checks[address] = known
        return known.task


def _is_listening(address: tuple[str, int]) -> bool:
    try:
        connection = socket.create_connection(
            address, timeout=_CONNECT_TIMEOUT_S
        )
    except OSError:
        return False
    connection.close()
    return True
