"""Splits the requests of a route among services by weight."""

from __future__ import annotations

import typing

from mulberryquay.entry import routing


@typing.final
class TrafficSplitter:
    """Smooth weighted round robin, with separate state for each route."""

    def __init__(self) -> None:
        """Starts without state; each route begins at its first request."""
        self._current_weights: dict[str, dict[str, float]] = {}

    def choose(self, route: routing.Route) -> routing.Service:
        """Returns the service that serves the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = 0.0
        for weighted in route.weighted_services:
            name = weighted.service.name
            current_weights[name] = (
                current_weights.get(name, 0) + weighted.weight
            )
            total += weighted.weight
        chosen = max(
            route.weighted_services,
            key=lambda weighted: current_weights[weighted.service.name],
        )
        current_weights[chosen.service.name] -= total
        return chosen.service
