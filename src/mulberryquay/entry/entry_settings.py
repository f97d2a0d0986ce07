"""The settings of an entry process."""

from __future__ import annotations

import typing

from mulberryquay import settings
from mulberryquay.coordination import units
from mulberryquay.entry import dialect, prober, state

SERVE_STALE: typing.Final = 'serve'
REFUSE_STALE: typing.Final = 'refuse'

PERCENT: typing.Final = 100
REFUSE_OUTSIDE: typing.Final = 'refuse'
FORWARD_OUTSIDE: typing.Final = 'forward'

#: The policy that measured best; docs/DESIGN.md has the table.
DEFAULT_POLICY: typing.Final = 'hot-cold'

SETTINGS: typing.Final = (
    settings.Setting(
        'name',
        '',
        'name of this entry process, unique among all entries',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'region',
        '',
        'region in which this process runs',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'domain',
        '',
        'failure domain in which this process runs',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'listen',
        '127.0.0.1:7700',
        f'callers: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'admin_listen',
        '127.0.0.1:7701',
        f'health, metrics and accounts: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'peer_listen',
        '127.0.0.1:7702',
        f'requests relayed by other entries: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'control',
        '127.0.0.1:7601',
        'feeds of the control hosts',
        text_format='addresses',
        required=True,
    ),
    settings.Setting(
        'ledger',
        '',
        'the ledger of this region as IP:PORT; without one, requests with an '
        'Idempotency-Key that are not idempotent are refused',
        text_format='address',
    ),
    settings.Setting(
        'probe_path',
        '/healthz',
        'path that probes of failed targets ask for',
        required=True,
    ),
    settings.Setting(
        'probes_per_target_s',
        1,
        'probes a second that all entries together may send a failed '
        'target; 0 sends none',
        maximum=1000,
    ),
    settings.Setting(
        'probe_bytes_s',
        10 * prober.PROBE_BYTES,
        'bytes a second that this entry may spend on probes',
        maximum=units.GIB,
    ),
    settings.Setting(
        'policy',
        DEFAULT_POLICY,
        'how to choose among targets that have room; built in are random, '
        'power-of-two, round-robin, least-loaded, join-idle-queue and '
        'hot-cold, and plug-ins add others',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'stale_config',
        REFUSE_STALE,
        'what to do with requests while no control host vouches for the '
        'configuration: refuse them as not run, or serve on',
        choices=(REFUSE_STALE, SERVE_STALE),
    ),
    settings.Setting(
        'dialect',
        dialect.OWN_NAME,
        'headers by which callers and targets speak; built in is own, and '
        'plug-ins add others',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'outside_homes',
        REFUSE_OUTSIDE,
        'what to do here with a request whose home regions are others: '
        'refuse it, or forward it to a target in one of them',
        choices=(REFUSE_OUTSIDE, FORWARD_OUTSIDE),
    ),
    settings.Setting(
        'ready_path',
        '/readyz',
        'path at which ready_listen tells whether this entry is ready',
        required=True,
    ),
    settings.Setting(
        'ready_listen',
        '',
        "a platform's balancer that asks for readiness only, as IP:PORT; the "
        'admin port answers it, too',
        text_format='address',
    ),
    settings.Setting(
        'ask_load',
        False,
        'whether near targets are asked for their load before each choice; '
        'their health path has to answer at once',
    ),
    settings.Setting(
        'min_calls',
        1,
        'calls at once that this entry may send a warm target, however many '
        'entries there are',
        minimum=1,
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'load_limit_percent',
        0,
        'calls for a hundred slots, as a target reports them, at which it '
        'gets no more; 0 for any',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'retry_percent',
        int(state.RETRY_RATIO * PERCENT),
        'resends of a service for a hundred fresh requests',
        maximum=PERCENT,
    ),
    settings.Setting(
        'retry_reserve',
        0,
        'resends of a service beyond that which all entries together may '
        'make at once; 0 gives each entry a reserve of its own',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'drain_ms',
        2 * units.SECOND_MS,
        'milliseconds between readiness off and closing the port on a stop',
        maximum=10 * units.MINUTE_MS,
    ),
    settings.Setting(
        'stop_timeout_ms',
        10 * units.MINUTE_MS,
        'milliseconds that a stop waits for requests in flight',
        maximum=units.DAY_MS,
    ),
    settings.LOG_LEVEL,
)
