"""Linearizable reads: they see every change acknowledged before them."""

from __future__ import annotations

import typing

from mulberryquay.coordination import rpc
from mulberryquay.coordination.replication import (
    leadership,
    messages,
    state,
    timing,
)


@typing.final
class Reads:
    """Waits until the leader's confirmed commit index is applied here."""

    def __init__(self, replica_state: state.ReplicaState) -> None:
        """Reads from the replica that owns ``replica_state``."""
        self._state = replica_state
        #: The newest leadership of this replica; None if it never led.
        self.leading: leadership.Leadership | None = None

    def wait_until_current(self, *, timeout: float) -> None:
        """Returns once every earlier acknowledged change is applied here.

        Raises NoQuorumError.
        """
        replica_state = self._state
        deadline = replica_state.clock.now() + timeout
        while replica_state.clock.now() < deadline:
            remaining = deadline - replica_state.clock.now()
            index = self._request_read_index(remaining)
            if index >= 0 and self._is_applied(index, deadline):
                return
            replica_state.changed.wait(min(remaining, timing.RETRY_DELAY_MS))
        raise state.NoQuorumError(
            'no majority of the replicas confirmed the newest state in time',
        )

    def confirm_commit_index(self, *, timeout: float) -> int:
        """Returns the commit index, -1 if no majority confirms leadership."""
        leading = self.leading
        if leading is None or not leading.is_current or not leading.is_ready:
            return -1
        index = self._state.commit_index
        return index if leading.confirm_leadership(timeout=timeout) else -1

    def _request_read_index(self, timeout: float) -> int:
        replica_state = self._state
        if replica_state.is_leader:
            return self.confirm_commit_index(timeout=timeout)
        if not replica_state.leader_address:
            return -1
        try:
            answer = replica_state.network.call(
                replica_state.leader_address,
                messages.ReadRequest(),
                timeout=min(timeout, timing.CALL_TIMEOUT_MS),
            )
        except rpc.CallFailedError:
            return -1
        return int(answer.commit_index)

    def _is_applied(self, index: int, deadline: float) -> bool:
        replica_state = self._state
        return replica_state.changed.wait_until(
            lambda: replica_state.applied_index >= index,
            timeout=deadline - replica_state.clock.now(),
        )
