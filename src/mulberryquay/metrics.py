"""Counters that are cheap to move and are exported by aioprometheus."""

from __future__ import annotations

import collections
import typing

#: Labels of one series in the order of `Declared.labels`.
Labels = tuple[str, ...]


class MetricDeclaration(typing.NamedTuple):
    """One metric with its help text and the names of its labels."""

    name: str
    help: str
    labels: tuple[str, ...] = ()
    is_gauge: bool = False


@typing.final
class Metrics:
    """The counters and gauges of one process.

    A move costs one dictionary update; aioprometheus objects are filled
    only when the metrics are read.
    """

    def __init__(self, declared: typing.Sequence[MetricDeclaration]) -> None:
        """Exports exactly the ``declared`` metrics."""
        self._declared = {metric.name: metric for metric in declared}
        self._series: dict[str, dict[Labels, float]] = {
            metric.name: collections.defaultdict(float) for metric in declared
        }

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Adds to a counter; raises KeyError if it was not declared."""
        self._series[name][labels] += amount

    def set_gauge(self, name: str, reading: float, *labels: str) -> None:
        """Sets a gauge; raises KeyError if it was not declared."""
        self._series[name][labels] = reading

    def read(self, name: str, *labels: str) -> float:
        """Returns a series, 0 if it never moved."""
        return self._series[name].get(labels, 0)

    def render(self) -> tuple[bytes, str]:
        """Returns the exposition text and its content type."""
        # Imported on use: it takes memory that only a reader needs.
        import aioprometheus  # noqa: PLC0415, WPS433

        registry = aioprometheus.Registry()
        for metric in self._declared.values():
            kind = aioprometheus.Gauge
            if not metric.is_gauge:
                kind = aioprometheus.Counter
            collector = kind(metric.name, metric.help, registry=registry)
            for labels, reading in self._series[metric.name].items():
                named = dict(zip(metric.labels, labels, strict=True))
                collector.set(named, reading)
        content, headers = aioprometheus.render(registry, [])
        return content, headers['Content-Type']
