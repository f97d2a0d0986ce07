"""Finds the leader for a replica that does not vote or has lost contact."""

from __future__ import annotations

import typing

from mulberryquay.coordination import rpc
from mulberryquay.coordination.replication import messages, state, timing


@typing.final
class Joining:
    """Asks known replicas who leads, and asks the leader to be admitted."""

    def __init__(
        self,
        replica_state: state.ReplicaState,
        contacts: typing.Sequence[str],
    ) -> None:
        """``contacts`` are addresses to ask after the known members."""
        self._state = replica_state
        self._contacts = list(contacts)

    def configure(self, contacts: typing.Sequence[str]) -> None:
        """Replaces the contacts."""
        self._contacts = list(contacts)

    def run(self) -> None:
        """Asks to join while this replica does not vote or has no leader."""
        replica_state = self._state
        while True:
            since_contact = (
                replica_state.clock.now() - replica_state.contacted_at
            )
            has_leader = (
                replica_state.is_leader
                or since_contact < timing.MAX_ELECTION_TIMEOUT_MS
            )
            if not (replica_state.is_voter and has_leader):
                self._ask_to_join()
            replica_state.clock.sleep(timing.JOIN_INTERVAL_MS)

    def _ask_to_join(self) -> None:
        replica_state = self._state
        known = [*replica_state.log.members.values(), *self._contacts]
        asked = {replica_state.address}
        for address in known:
            if address in asked:
                continue
            asked.add(address)
            leader = self._send_join_request(address)
            if leader and leader not in asked:
                asked.add(leader)
                self._send_join_request(leader)
            if leader:
                return

    def _send_join_request(self, address: str) -> str:
        """Asks one replica; returns the leader's address, '' if unknown."""
        replica_state = self._state
        request = messages.JoinRequest(
            replica_state.identity, replica_state.address
        )
        try:
            answer = replica_state.network.call(
                address,
                request,
                timeout=timing.CALL_TIMEOUT_MS,
            )
        except rpc.CallFailedError:
            return ''
        return str(answer.leader_address)
