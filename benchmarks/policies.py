"""Compares the policies on a model of today's services."""

from __future__ import annotations

import functools
import random
import typing

from benchmarks import service_model
from mulberryquay.entry import balancer, service_queue
from mulberryquay.kernel import plugins

_SEEDS: typing.Final = (1, 2, 3)
_OVERCOMMITS: typing.Final = (1.0, 1.5, 2.0, 3.0, 6.0)

SCENARIOS: typing.Final = (
    service_model.Scenario('6 slots, calm', slots=6),
    service_model.Scenario('6 slots, noisy', slots=6, noise_factor=4),
    service_model.Scenario('6 slots, one slow', slots=6, slow_factor=10),
    service_model.Scenario('2 slots, calm', slots=2, load=0.7),
    service_model.Scenario('2 slots, noisy', slots=2, load=0.7, noise_factor=4),
    service_model.Scenario(
        '2 slots, one slow', slots=2, load=0.7, slow_factor=10
    ),
)


class Row(typing.NamedTuple):
    """The run with the median p99 of all seeds; quantiles in ms.

    ``to_ideal`` is the ratio of its p99 to that of the ideal central queue.
    """

    scenario: str
    policy: str
    overcommit: float
    p99: float
    p999: float
    to_ideal: float


class Policies(typing.NamedTuple):
    """All rows of the experiment."""

    rows: list[Row]


class _LowestLatencyPolicy:
    """The policy of the ideal central queue.

    Its single entry knows all calls in flight.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: typing.Sequence[typing.Any],
        now: float,
    ) -> typing.Any:
        """Returns the candidate with the lowest latency."""
        return min(candidates, key=lambda target: target.latency_ms)


def run() -> Policies:
    """Runs each policy, then each overcommit factor, in each scenario."""
    kernel = plugins.load_kernel()
    rows = []
    for scenario in SCENARIOS:
        ideal = _run_ideal(scenario)
        rows.append(_row(scenario, 'ideal central queue', 1.0, ideal, ideal))
        for name in kernel.policies.names:
            result = _median_run(scenario, kernel.policies.get(name))
            row = _row(scenario, name, balancer.OVERCOMMIT, result, ideal)
            rows.append(row)
        for overcommit in _OVERCOMMITS:
            result = _median_run(
                scenario,
                kernel.policies.get('least-loaded'),
                overcommit=overcommit,
            )
            rows.append(
                _row(scenario, 'least-loaded', overcommit, result, ideal),
            )
    for row in rows:
        print(  # noqa: T201
            f'{row.scenario:18} {row.policy:20} {row.overcommit:4} '
            f'{row.p99:9.1f} {row.p999:9.1f} {row.to_ideal:6.2f}',
        )
    return Policies(rows)


@functools.cache
def _run_ideal(scenario: service_model.Scenario) -> service_model.Result:
    """Runs one entry that never sends more calls than there are slots."""
    central = scenario._replace(entries=1)
    return _median_run(central, _LowestLatencyPolicy, overcommit=1.0)


def _median_run(
    scenario: service_model.Scenario,
    new_policy: typing.Callable[[random.Random], service_queue.Policy],
    *,
    overcommit: float = balancer.OVERCOMMIT,
) -> service_model.Result:
    results = [
        service_model.ServiceModel(
            scenario,
            new_policy,
            overcommit=overcommit,
            seed=seed,
        ).run()
        for seed in _SEEDS
    ]
    return sorted(results, key=lambda result: result.p99)[len(results) // 2]


def _row(
    scenario: service_model.Scenario,
    policy: str,
    overcommit: float,
    result: service_model.Result,
    ideal: service_model.Result,
) -> Row:
    return Row(
        scenario.name,
        policy,
        overcommit,
        round(result.p99, 1),
        round(result.p999, 1),
        round(result.p99 / ideal.p99, 2),
    )
