"""The control hosts that an entry may follow, nearest first."""

from __future__ import annotations

import random
import typing

from mulberryquay.coordination import clock

#: A host that was of no use is tried after the others for this long.
AVOID_MS: typing.Final = 3000.0


class ControlHost(typing.NamedTuple):
    """Where a control host serves its feed."""

    address: str
    #: Empty while only its address is known.
    region: str = ''
    domain: str = ''


@typing.final
class ControlHosts:
    """Hosts from the settings and those that control hosts told of."""

    def __init__(
        self,
        addresses: typing.Sequence[str],
        time_source: clock.Clock,
        rng: random.Random,
        *,
        region: str,
        domain: str,
    ) -> None:
        """Begins with ``addresses``; ``region`` and ``domain`` are own."""
        self._clock = time_source
        self._rng = rng
        self._region = region
        self._domain = domain
        self._configured = tuple(addresses)
        self._told: dict[str, ControlHost] = {}
        self._avoided: dict[str, float] = {}

    @property
    def addresses(self) -> list[str]:
        """All known addresses; none is known twice."""
        return list(dict.fromkeys((*self._told, *self._configured)))

    def configure(self, addresses: typing.Sequence[str]) -> None:
        """Takes other addresses from the settings."""
        self._configured = tuple(addresses)

    def learn(self, rows: typing.Iterable[typing.Sequence[str]]) -> None:
        """Takes the list that a control host gave."""
        hosts = [ControlHost(*row) for row in rows]
        self._told = {host.address: host for host in hosts}

    def avoid(self, address: str) -> None:
        """Tries a host after the others for a while."""
        self._avoided[address] = self._clock.now() + AVOID_MS

    def choose(self, taken: typing.Collection[str]) -> str:
        """Returns the best host whose address is not ``taken``.

        Empty if there is none. Hosts in another failure domain than those
        that are taken go first, then near ones.
        """
        candidates = [
            address for address in self.addresses if address not in taken
        ]
        if not candidates:
            return ''
        return min(
            candidates,
            key=lambda address: self._rank(address, taken),
        )

    def is_best(self, address: str, taken: typing.Collection[str]) -> bool:
        """Whether no other host is nearer, or apart from ``taken``."""
        own = self._place(address, taken)
        return all(
            self._place(other, taken) >= own
            for other in self._told
            if other not in taken
            and self._avoided.get(other, 0) <= self._clock.now()
        )

    def _place(
        self,
        address: str,
        taken: typing.Collection[str],
    ) -> tuple[bool, int]:
        """Returns whether it shares a domain, and the distance."""
        host = self._told.get(address, ControlHost(address))
        domains = {
            self._told[other].domain for other in taken if other in self._told
        }
        distance = 2
        if host.region == self._region:
            distance = int(host.domain != self._domain)
        return bool(host.domain) and host.domain in domains, distance

    def _rank(
        self,
        address: str,
        taken: typing.Collection[str],
    ) -> tuple[bool, tuple[bool, int], float]:
        return (
            self._avoided.get(address, 0) > self._clock.now(),
            self._place(address, taken),
            self._rng.random(),
        )
