"""Splits the requests of a route among services by weight."""

from __future__ import annotations

import random
import typing

from mulberryquay.entry import routing

#: Most requests by which an entry's cycle is moved at its beginning.
_MAX_START: typing.Final = 1000


@typing.final
class TrafficSplitter:
    """Smooth weighted round robin, with separate state for each route.

    Each entry begins at a random place of the cycle: where many entries get a
    few requests each, their first ones must follow the weights, too.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        """Starts without state; each route begins at its first request."""
        self._rng = rng or random.Random()
        self._current_weights: dict[str, dict[str, float]] = {}

    def choose(self, route: routing.Route) -> routing.Service:
        """Returns the service that serves the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        current_weights = self._current_weights.get(route.name)
        if current_weights is None:
            current_weights = self._start(route)
            self._current_weights[route.name] = current_weights
        return _step(route, current_weights)

    def _start(self, route: routing.Route) -> dict[str, float]:
        """Returns the state after a random number of requests."""
        current_weights: dict[str, float] = {}
        total = sum(weighted.weight for weighted in route.weighted_services)
        cycle = max(1, min(_MAX_START, int(total)))
        for _ in range(self._rng.randrange(cycle)):
            _step(route, current_weights)
        return current_weights


def _step(
    route: routing.Route, current_weights: dict[str, float]
) -> routing.Service:
    total = 0.0
    for weighted in route.weighted_services:
        name = weighted.service.name
        current_weights[name] = current_weights.get(name, 0) + weighted.weight
        total += weighted.weight
    chosen = max(
        route.weighted_services,
        key=lambda weighted: current_weights[weighted.service.name],
    )
    current_weights[chosen.service.name] -= total
    return chosen.service
