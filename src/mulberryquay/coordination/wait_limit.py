"""Limits how long reads and writes of a streamed body wait."""

from __future__ import annotations

import typing

from mulberryquay.coordination import clock

#: Longest wait of one read or write of a body.
STALL_TIMEOUT_S: typing.Final = 30.0


class WaitLimit(typing.NamedTuple):
    """The deadline of a body that is passed on part by part."""

    time_source: clock.Clock
    #: On the clock of ``time_source``, in ms.
    deadline: float

    @property
    def remaining(self) -> float:
        """The time left in ms; negative once the deadline has passed."""
        return self.deadline - self.time_source.now()

    def apply(self, connection: typing.Any) -> None:
        """Sets the timeout of the next wait of a socket.

        Raises TimeoutError once the deadline has passed.
        """
        remaining = self.remaining
        if remaining <= 0:
            raise TimeoutError('the deadline passed before the end of the body')
        connection.settimeout(
            min(remaining / clock.MS_PER_SECOND, STALL_TIMEOUT_S),
        )
