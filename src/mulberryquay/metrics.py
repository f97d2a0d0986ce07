"""Counters and gauges that are cheap to update, for Prometheus."""

from __future__ import annotations

import collections
import typing

#: Label values of one series, in the order of `MetricDeclaration.labels`.
Labels = tuple[str, ...]


class MetricDeclaration(typing.NamedTuple):
    """Declares a metric: its name, help text and label names."""

    name: str
    help: str
    labels: tuple[str, ...] = ()
    is_gauge: bool = False


@typing.final
class Metrics:
    """The counters and gauges of one process.

    An update costs one dictionary write; aioprometheus collectors are
    filled only when the metrics are rendered.
    """

    def __init__(self, declared: typing.Sequence[MetricDeclaration]) -> None:
        """Exports exactly the ``declared`` metrics."""
        self._declared = {metric.name: metric for metric in declared}
        self._series: dict[str, dict[Labels, float]] = {
            metric.name: collections.defaultdict(float) for metric in declared
        }

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Increments a counter; raises KeyError if it is not declared."""
        self._series[name][labels] += amount

    def set_gauge(self, name: str, value: float, *labels: str) -> None:
        """Sets a gauge; raises KeyError if it is not declared."""
        self._series[name][labels] = value

    def read(self, name: str, *labels: str) -> float:
        """Returns the value of a series, 0 if it was never set."""
        return self._series[name].get(labels, 0)

    def render(self) -> tuple[bytes, str]:
        """Returns the Prometheus exposition text and its content type."""
        # Imported here so that processes whose metrics nobody reads do not
        # load it: it takes memory.
        import aioprometheus  # noqa: PLC0415, WPS433

        registry = aioprometheus.Registry()
        for metric in self._declared.values():
            kind = aioprometheus.Gauge
            if not metric.is_gauge:
                kind = aioprometheus.Counter
            collector = kind(metric.name, metric.help, registry=registry)
            for labels, value in self._series[metric.name].items():
                label_values = dict(zip(metric.labels, labels, strict=True))
                collector.set(label_values, value)
        content, headers = aioprometheus.render(registry, [])
        return content, headers['Content-Type']
