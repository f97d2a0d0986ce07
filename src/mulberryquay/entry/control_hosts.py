"""Chooses which control hosts an entry follows."""

from __future__ import annotations

import random
import typing

from mulberryquay.coordination import clock

#: For this long, a control host that failed ranks behind all others.
AVOID_MS: typing.Final = 3000.0

#: So many hosts of a failure domain that are avoided let its others rank
#: behind those of other domains.
_SPREAD_AFTER: typing.Final = 2


class ControlHost(typing.NamedTuple):
    """A control host's feed address and location."""

    address: str
    #: Empty, like the domain, while only the address is known.
    region: str = ''
    domain: str = ''


@typing.final
class ControlHosts:
    """Control hosts from the settings and from lists that they announced."""

    def __init__(
        self,
        addresses: typing.Sequence[str],
        time_source: clock.Clock,
        rng: random.Random,
        *,
        region: str,
        domain: str,
    ) -> None:
        """Starts with ``addresses``.

        ``region`` and ``domain`` are those of this entry.
        """
        self._clock = time_source
        self._rng = rng
        self._region = region
        self._domain = domain
        self._configured = tuple(addresses)
        self._announced: dict[str, ControlHost] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def addresses(self) -> list[str]:
        """All known addresses without duplicates."""
        return list(dict.fromkeys((*self._announced, *self._configured)))

    @property
    def have_all_failed(self) -> bool:
        """Whether each known host failed within `AVOID_MS`."""
        return all(map(self._is_avoided, self.addresses))

    def configure(self, addresses: typing.Sequence[str]) -> None:
        """Replaces the addresses from the settings."""
        self._configured = tuple(addresses)

    def update_announced(
        self, rows: typing.Iterable[typing.Sequence[str]]
    ) -> None:
        """Replaces the hosts that a control host announced."""
        hosts = [ControlHost(*row) for row in rows]
        self._announced = {host.address: host for host in hosts}

    def avoid(self, address: str) -> None:
        """Ranks a host behind all others for `AVOID_MS`."""
        self._avoided_until[address] = self._clock.now() + AVOID_MS

    def choose(self, followed: typing.Collection[str]) -> str:
        """Returns the address of the best host that is not ``followed``.

        Returns an empty string if there is none. Hosts in another failure
        domain than the followed ones rank first, then nearer ones. Those in
        domains where several others are avoided rank behind them, and avoided
        ones last, beginning with the one that failed first.
        """
        candidates = [
            address for address in self.addresses if address not in followed
        ]
        if not candidates:
            return ''
        return min(
            candidates,
            key=lambda address: self._sort_key(address, followed),
        )

    def is_best(self, address: str, followed: typing.Collection[str]) -> bool:
        """Whether no other announced host ranks better, except avoided ones."""
        own_proximity = self._proximity(address, followed)
        return all(
            self._proximity(other, followed) >= own_proximity
            for other in self._announced
            if other not in followed and not self._is_avoided(other)
        )

    def _proximity(
        self,
        address: str,
        followed: typing.Collection[str],
    ) -> tuple[bool, int]:
        """Returns a rank: lower is better.

        It holds whether the host shares a domain with a followed one, and
        its distance: 0 for the entry's domain, 1 for its region, 2 for others.
        """
        host = self._announced.get(address, ControlHost(address))
        domains = {
            self._announced[other].domain
            for other in followed
            if other in self._announced
        }
        distance = 2
        if host.region == self._region:
            distance = int(host.domain != self._domain)
        return bool(host.domain) and host.domain in domains, distance

    def _is_avoided(self, address: str) -> bool:
        return self._avoided_until.get(address, 0) > self._clock.now()

    def _avoided_neighbors(self, address: str) -> int:
        """Returns how many announced hosts of its domain are avoided."""
        host = self._announced.get(address)
        if host is None:
            return 0
        return sum(
            other.domain == host.domain and self._is_avoided(other.address)
            for other in self._announced.values()
        )

    def _sort_key(
        self,
        address: str,
        followed: typing.Collection[str],
    ) -> tuple[float, int, tuple[bool, int], float]:
        failed_at = 0.0
        if self._is_avoided(address):
            failed_at = self._avoided_until[address]
        return (
            failed_at,
            self._avoided_neighbors(address) // _SPREAD_AFTER,
            self._proximity(address, followed),
            self._rng.random(),
        )
