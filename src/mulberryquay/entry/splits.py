"""Divides the requests of a route among services by weight."""

from __future__ import annotations

import typing

from mulberryquay.entry import routing


@typing.final
class Splits:
    """Smooth weighted round robin, one state for each route."""

    def __init__(self) -> None:
        """Starts with every route at the beginning."""
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: routing.Route) -> routing.Service:
        """Returns the service that serves the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credit = self._credit.setdefault(route.name, {})
        total = 0.0
        for part in route.parts:
            name = part.service.name
            credit[name] = credit.get(name, 0) + part.weight
            total += part.weight
        chosen = max(route.parts, key=lambda part: credit[part.service.name])
        credit[chosen.service.name] -= total
        return chosen.service
