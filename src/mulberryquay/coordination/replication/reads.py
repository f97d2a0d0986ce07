"""Reads that show all that was acknowledged before they began."""

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
    """Finds an index that no later read may miss, and waits for it."""

    def __init__(self, shared: state.ReplicaState) -> None:
        """Reads at the replica that owns ``shared``."""
        self._state = shared
        #: The newest term in which this replica led, if it ever did.
        self.leading: leadership.Leadership | None = None

    def wait_for_newest(self, *, timeout: float) -> None:
        """Returns once all that was acknowledged before is applied here.

        Raises NoQuorumError.
        """
        shared = self._state
        deadline = shared.clock.now() + timeout
        while shared.clock.now() < deadline:
            remaining = deadline - shared.clock.now()
            index = self._find_index(remaining)
            if index >= 0 and self._is_applied(index, deadline):
                return
            shared.progress.wait(min(remaining, timing.RETRY_MS))
        raise state.NoQuorumError(
            'no majority of the control hosts vouches for the newest state',
        )

    def prove_index(self, *, timeout: float) -> int:
        """Returns the commit index if this replica still leads, else -1."""
        leading = self.leading
        if leading is None or not leading.is_current or not leading.is_ready:
            return -1
        index = self._state.commit_index
        return index if leading.prove(timeout=timeout) else -1

    def _find_index(self, timeout: float) -> int:
        shared = self._state
        if shared.is_leader:
            return self.prove_index(timeout=timeout)
        if not shared.leader_address:
            return -1
        try:
            answer = shared.network.call(
                shared.leader_address,
                messages.ReadRequest(),
                timeout=min(timeout, timing.CALL_MS),
            )
        except rpc.CallFailedError:
            return -1
        return int(answer.position)

    def _is_applied(self, index: int, deadline: float) -> bool:
        shared = self._state
        return shared.progress.wait_until(
            lambda: shared.applied_index >= index,
            timeout=deadline - shared.clock.now(),
        )
