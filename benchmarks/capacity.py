"""Computes docs/CAPACITY.md from the committed measurements.

Run by `make capacity`; `make bench` renews the measurements.
"""

from __future__ import annotations

import json
import math
import pathlib
import typing

from benchmarks import slopes
from mulberryquay.control import directory
from mulberryquay.coordination import clock

_ROOT: typing.Final = pathlib.Path(__file__).parent.parent
_PAGE: typing.Final = _ROOT / 'docs' / 'CAPACITY.md'
_TEMPLATE: typing.Final = _ROOT / 'docs' / 'CAPACITY.template.md'

#: Size and limits that the system is designed for.
_TARGETS: typing.Final = 2600
_SERVICES: typing.Final = 100
_CALLS_PER_S: typing.Final = 490_000
_REGIONS: typing.Final = 8
_DOMAINS: typing.Final = 25
_CHANGES_PER_DAY: typing.Final = 7800
_CONTROL_HOSTS: typing.Final = 19
_REPLICAS: typing.Final = 16
_CPU_LIMIT_US_PER_S: typing.Final = 19_000
_BYTES_LIMIT_PER_S: typing.Final = 7000

#: Fraction of a core that calls may use; the rest is headroom for bursts.
_MAX_CORE_UTILISATION: typing.Final = 0.6
_RENEWALS_PER_LEASE: typing.Final = 3
_RENEWAL_INTERVAL_S: typing.Final = (
    directory.TARGET_LEASE_MS / _RENEWALS_PER_LEASE / clock.MS_PER_SECOND
)
_SECONDS_PER_DAY: typing.Final = 86_400
_US_PER_S: typing.Final = 1_000_000
#: Assumed fraction of calls that carry an `Idempotency-Key`.
_KEYED_FRACTION: typing.Final = 0.01
_KIB: typing.Final = 1024
_CORES_PER_HOST: typing.Final = 8
_SMALLEST_CONNECTION_LIMIT: typing.Final = 220
_HEARTBEAT_INTERVAL_S: typing.Final = 0.5


def main() -> None:
    """Writes docs/CAPACITY.md."""
    points = json.loads(slopes.MEASUREMENTS.read_text())
    figures = compute(points)
    page = _TEMPLATE.read_text().format(**figures, points=_points_table(points))
    _PAGE.write_text(page)


def compute(points: dict[str, slopes.Points]) -> dict[str, typing.Any]:
    """Returns the values of the template's fields by name."""
    call_us = points['entry_cpu_per_call_by_connections'][-1][1]
    calls_per_process = _MAX_CORE_UTILISATION * _US_PER_S / call_us
    processes = math.ceil(_CALLS_PER_S / calls_per_process)
    entries_per_replica = math.ceil(processes / _REPLICAS)
    renewals_per_s = _TARGETS / _RENEWAL_INTERVAL_S / _REPLICAS
    renewal_us = _slope(points, 'control_cpu_by_renewals')
    heartbeat_us = _slope(points, 'control_cpu_by_entries')
    entry_bytes = _slope(points, 'control_bytes_by_entries')
    change_us = _slope(points, 'control_cpu_per_change_by_entries')
    changes_per_s = _CHANGES_PER_DAY / _SECONDS_PER_DAY
    change_bytes = _last_value(points, 'entry_bytes_per_change_by_entries')
    idle_us = _extrapolate(points, 'entry_idle_cpu_by_targets', _TARGETS)
    apply_us = _extrapolate(
        points,
        'entry_cpu_per_change_by_resources',
        _SERVICES * 3,
    )
    # Each of 160 restarts and 6 host failures a day changes the entry list
    # twice.
    membership_changes_per_s = (160 + 6) * 2 / _SECONDS_PER_DAY
    entry_cpu_us = idle_us + apply_us * changes_per_s
    entry_bytes_per_s = entry_bytes + change_bytes * changes_per_s
    replica_cpu_us = (
        renewals_per_s * renewal_us
        + entries_per_replica * heartbeat_us
        + entries_per_replica * change_us * changes_per_s
    )
    entry_list_bytes = processes * 12
    return {
        'call_us': _round(call_us),
        'calls_per_process': round(calls_per_process),
        'processes': processes,
        'hosts': math.ceil(processes / _CORES_PER_HOST),
        'per_replica': entries_per_replica,
        'renew_s': round(_RENEWAL_INTERVAL_S),
        'renewals': _round(renewals_per_s),
        'renewal_us': _round(renewal_us),
        'renewals_us': round(renewals_per_s * renewal_us),
        'beat_us': _round(heartbeat_us),
        'beats_us': round(entries_per_replica * heartbeat_us),
        'entry_bytes': round(entry_bytes),
        'change_us': _round(change_us),
        'change_bytes': round(change_bytes),
        'changes_us': round(entries_per_replica * change_us * changes_per_s),
        'changes_per_s': _round(changes_per_s),
        'replica_cpu': round(replica_cpu_us),
        'replica_share': _round(replica_cpu_us / _US_PER_S * 100),
        'replica_over': _round(replica_cpu_us / _CPU_LIMIT_US_PER_S),
        'replica_bytes': round(
            entries_per_replica * (entry_bytes + change_bytes * changes_per_s),
        ),
        'replica_bytes_over': _round(
            entries_per_replica * entry_bytes / _BYTES_LIMIT_PER_S,
        ),
        'entry_idle_us': round(idle_us),
        'entry_apply_us': round(apply_us),
        'entry_cpu_us': round(entry_cpu_us),
        'entry_share': _round(entry_cpu_us / _US_PER_S * 100),
        'entry_traffic': round(entry_bytes_per_s),
        'entry_memory': _round(
            _extrapolate(points, 'entry_memory_by_targets', _TARGETS),
        ),
        'control_memory': _round(
            _extrapolate(points, 'control_memory_by_targets', _TARGETS),
        ),
        'in_force_ms': _round(
            _extrapolate(points, 'in_force_ms_by_entries', entries_per_replica),
        ),
        'claim_us': _round(
            _last_value(points, 'ledger_cpu_per_claim_by_tasks'),
        ),
        'claims_per_s': round(
            _last_value(points, 'ledger_claims_per_s_by_tasks')
        ),
        'claims_alone': round(
            points['ledger_claims_per_s_by_tasks'][0][1],
        ),
        'ledgers': math.ceil(
            _KEYED_FRACTION
            * _CALLS_PER_S
            * _last_value(points, 'ledger_cpu_per_claim_by_tasks')
            / (_MAX_CORE_UTILISATION * _US_PER_S),
        ),
        'entries_today': 18,
        'in_force_today_ms': _round(
            _extrapolate(points, 'in_force_ms_by_entries', 18),
        ),
        'today_cpu': round(
            18 * heartbeat_us + 96 / _RENEWAL_INTERVAL_S * renewal_us
        ),
        'today_share': _round(
            (18 * heartbeat_us + 96 / _RENEWAL_INTERVAL_S * renewal_us)
            / _US_PER_S
            * 100,
        ),
        'today_calls': round(18 * calls_per_process),
        'links': processes,
        'links_per_target': _SMALLEST_CONNECTION_LIMIT,
        'links_verdict': (
            'fits'
            if processes <= _SMALLEST_CONNECTION_LIMIT
            else 'does not fit'
        ),
        'members_kib': _round(entry_list_bytes / _KIB),
        'members_rate': round(entry_list_bytes * membership_changes_per_s * 2),
        'spread_messages': _round(
            _CHANGES_PER_DAY / _SECONDS_PER_DAY * processes
        ),
    }


def _extrapolate(
    points: dict[str, slopes.Points],
    name: str,
    x: float,
) -> float:
    slope, intercept = slopes.fit_line(points[name])
    return max(0.0, slope * x + intercept)


def _slope(points: dict[str, slopes.Points], name: str) -> float:
    return max(0.0, slopes.fit_line(points[name])[0])


def _last_value(points: dict[str, slopes.Points], name: str) -> float:
    return points[name][-1][1]


def _round(figure: float) -> float:
    return float(f'{figure:.3g}')


def _points_table(points: dict[str, slopes.Points]) -> str:
    rows = ['| measurement | points (x: y) | slope | intercept |']
    rows.append('|---|---|---|---|')
    for name, pairs in points.items():
        slope, intercept = slopes.fit_line(pairs)
        shown = ', '.join(f'{_round(x):g}: {_round(y):g}' for x, y in pairs)
        line = f'{_round(slope):g} | {_round(intercept):g}'
        rows.append(f'| `{name}` | {shown} | {line} |')
    return '\n'.join(rows)


if __name__ == '__main__':
    main()
