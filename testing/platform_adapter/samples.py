"""Handwritten samples of the platform's messages."""

from __future__ import annotations

import copy
import json
import typing

SETTINGS: typing.Final = """
[self]
node = "edge-north-1-1"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip_address = "127.0.0.1"
zone = "north-1"
region = "north"
counted_in_tolerance = false
first_start = true
unknown_key = 7
[network]
internal_port_range = [7620, 7635]
seeds = ["10.1.0.1:8649", "10.2.0.1:8649"]
[network.listen_addresses]
front = "127.0.0.1:8641"
readiness_address = "127.0.0.1:8640"
control = "127.0.0.1:8649"
[network.zones]
north-1 = "north"
south-1 = "south"
[terms.bounds]
retry_budget_ratio = 0.2
budget_slack = 50
grace_period_s = 6
probes_per_s = 60
"""

_CONFIGURATION: typing.Final[dict[str, typing.Any]] = {
    'version': 'r7',
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1024,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    },
    'listeners': [
        {
            'host': 'shop.example',
            'rules': [
                {
                    'name': 'r-order',
                    'kind': 'unsafe',
                    'target_latency_s': 0.5,
                    'priority': 1,
                    'match': {'path_prefix': '/order/'},
                    'action': {
                        'service': 'order',
                        'timeout_s': 2,
                        'attempts': 2,
                        'allowed_regions': ['north'],
                    },
                },
                {
                    'name': 'r-stock',
                    'kind': 'safe',
                    'target_latency_s': 0.4,
                    'priority': 2,
                    'match': {'path_prefix': '/stock/'},
                    'action': {
                        'traffic_split': [
                            {'service': 'stock', 'weight': 90},
                            {'service': 'order', 'weight': 10},
                        ],
                        'timeout_s': 1.5,
                        'attempts': 3,
                        'allowed_regions': [],
                    },
                },
            ],
        },
    ],
    'clusters': [
        {
            'name': name,
            'health_check_path': '/health',
            'max_connections': 220,
            'protocol': 'h1',
            'tls': False,
            'cold_period_s': 3.0,
            'cold_per_s': 2.8,
        }
        for name in ('order', 'stock')
    ],
}

#: Start of the run in `heartbeat`, in ms since the Unix epoch.
BORN: typing.Final = 1_700_000_000_000


def configuration(version: int = 7) -> dict[str, typing.Any]:
    """Returns a copy of the sample configuration."""
    document = copy.deepcopy(_CONFIGURATION)
    document['version'] = f'r{version}'
    return document


def encoded(document: typing.Any) -> bytes:
    """Returns the encoded document."""
    return json.dumps(document).encode()


def heartbeat(**changes: typing.Any) -> dict[str, typing.Any]:
    """Returns a heartbeat; a change to None removes the field."""
    fields = {
        'service': 'stock',
        'address': '127.0.0.1:8080',
        'zone': 'north-1',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'cold_remaining_s': 0,
        'sequence': 4,
        'born': BORN,
        **changes,
    }
    return {name: field for name, field in fields.items() if field is not None}
