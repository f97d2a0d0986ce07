"""How a replica that is no voter, or has lost touch, finds the leader."""

from __future__ import annotations

import typing

from mulberryquay.coordination import rpc
from mulberryquay.coordination.replication import messages, state, timing


@typing.final
class Joining:
    """One task that asks known replicas for the leader and to join."""

    def __init__(
        self,
        shared: state.ReplicaState,
        contacts: typing.Sequence[str],
    ) -> None:
        """``contacts`` are asked when the members are not known."""
        self._state = shared
        self._contacts = list(contacts)

    def configure(self, contacts: typing.Sequence[str]) -> None:
        """Takes other contacts."""
        self._contacts = list(contacts)

    def run(self) -> None:
        """Asks whenever no leader counts this replica in."""
        shared = self._state
        while True:
            silence = shared.clock.now() - shared.contacted_at
            is_led = shared.is_leader or silence < timing.ELECTION_MAX_MS
            if not (shared.is_voter and is_led):
                self._ask_to_join()
            shared.clock.sleep(timing.JOIN_MS)

    def _ask_to_join(self) -> None:
        shared = self._state
        known = [*shared.log.members.values(), *self._contacts]
        asked = {shared.address}
        for address in known:
            if address in asked:
                continue
            asked.add(address)
            leader = self._join_through(address)
            if leader and leader not in asked:
                asked.add(leader)
                self._join_through(leader)
            if leader:
                return

    def _join_through(self, address: str) -> str:
        """Asks one replica; returns where it knows the leader."""
        shared = self._state
        request = messages.JoinRequest(shared.identity, shared.address)
        try:
            answer = shared.network.call(
                address,
                request,
                timeout=timing.CALL_MS,
            )
        except rpc.CallFailedError:
            return ''
        return str(answer.leader_address)
