"""The settings of an entry process."""

from __future__ import annotations

import typing

from mulberryquay import settings
from mulberryquay.coordination import units
from mulberryquay.entry import (
    caller_limits,
    dialect,
    prober,
    request_records,
    state,
)

SERVE_STALE: typing.Final = 'serve'
REFUSE_STALE: typing.Final = 'refuse'
SERVE_KEYLESS_STALE: typing.Final = 'serve-keyless'

#: Largest number of requests read ahead; each may hold a buffered answer.
MAX_PIPELINED: typing.Final = 64

PERCENT: typing.Final = 100
REFUSE_OUTSIDE: typing.Final = 'refuse'
FORWARD_OUTSIDE: typing.Final = 'forward'
PARTS: typing.Final = 'parts'
LEASES: typing.Final = 'leases'
CLASS_ORDER: typing.Final = 'class'
FAIR_ORDER: typing.Final = 'fair'

#: The policy with the best results in the table in docs/DESIGN.md.
DEFAULT_POLICY: typing.Final = 'hot-cold'

#: Load probes a second to a target from all entries together.
LOAD_PROBES_PER_TARGET_S: typing.Final = 50

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
        f'health, metrics and request records: {settings.LISTEN_HELP}',
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
        'feed_listen addresses of the control hosts',
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
        'path of the probes sent to failed targets',
        required=True,
    ),
    settings.Setting(
        'probes_per_target_s',
        1,
        'probes a second that all entries together may send to a failed '
        'target; 0 turns probes off',
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
        'policy that chooses among targets with free capacity; built in are '
        'random, power-of-two, round-robin, least-loaded, join-idle-queue, '
        'hot-cold, expected-time and soonest-answer, and plug-ins add others',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'stale_config',
        REFUSE_STALE,
        'what to do with requests while no control host confirms that the '
        'configuration is current: refuse them as not run, serve them, or '
        'serve only those that need no key, as keys may have been revoked',
        choices=(REFUSE_STALE, SERVE_STALE, SERVE_KEYLESS_STALE),
    ),
    settings.Setting(
        'dialect',
        dialect.OWN_NAME,
        'headers exchanged with callers and targets; built in is own, and '
        'plug-ins add others',
        text_format='name',
        required=True,
    ),
    settings.Setting(
        'outside_homes',
        REFUSE_OUTSIDE,
        'what to do with a request outside its home regions: refuse it, or '
        'forward it to a target in one of them',
        choices=(REFUSE_OUTSIDE, FORWARD_OUTSIDE),
    ),
    settings.Setting(
        'ready_path',
        '/readyz',
        'path of the readiness check on ready_listen',
        required=True,
    ),
    settings.Setting(
        'ready_listen',
        '',
        "address for readiness checks by a platform's load balancer, as "
        'IP:PORT; the admin port answers them, too',
        text_format='address',
    ),
    settings.Setting(
        'ask_load',
        False,
        'whether nearby targets are asked for their load before each choice; '
        'their health path must answer at once',
    ),
    settings.Setting(
        'share_load',
        False,
        'whether the entries of a failure domain share what they know of the '
        'load of its targets, by datagrams to the port of peer_listen; one '
        'of them then asks targets for all; needs ask_load',
    ),
    settings.Setting(
        'load_probes_per_target_s',
        LOAD_PROBES_PER_TARGET_S,
        'load probes a second that all entries together may send to a '
        'target; 0 for no limit',
        maximum=1000,
    ),
    settings.Setting(
        'min_calls',
        1,
        'concurrent calls that this entry may always send to a warm target, '
        'regardless of the number of entries',
        minimum=1,
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'load_limit_percent',
        0,
        'calls per hundred slots, estimated from load reports and the calls '
        'of this entry, at which a target gets no more calls; 0 for no limit',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'queue_order',
        CLASS_ORDER,
        'order of requests that wait for a target: by the value of their '
        'class and arrival, or fair: by rank and by client accounts in turn, '
        'with refusal of those that will not be in time',
        choices=(CLASS_ORDER, FAIR_ORDER),
    ),
    settings.Setting(
        'retry_percent',
        int(state.RETRY_RATIO * PERCENT),
        'retries of a service per hundred first attempts',
        maximum=PERCENT,
    ),
    settings.Setting(
        'retry_reserve',
        0,
        'retries of a service beyond retry_percent that all entries together '
        'may make at once; 0 gives each entry a reserve of its own',
        maximum=units.MAX_INT64,
    ),
    settings.Setting(
        'account_rates',
        PARTS,
        'how the rates of client accounts are kept: by an equal part for '
        'each entry, or by leases that the control hosts grant on demand',
        choices=(PARTS, LEASES),
    ),
    settings.Setting(
        'pipelined_requests',
        state.PipeliningLimits().max_requests,
        'requests of one connection that are read before the first of them '
        'is answered; 1 for one at a time',
        minimum=1,
        maximum=MAX_PIPELINED,
    ),
    settings.Setting(
        'pipelined_bytes',
        state.PipeliningLimits().max_bytes,
        'size of the heads of these requests in bytes, above which no other '
        'is read',
        minimum=1,
        maximum=units.MIB,
    ),
    settings.MEMORY_MB,
    settings.Setting(
        'caller_memory_percent',
        caller_limits.MEMORY_PERCENT,
        'part of this memory that connections, heads, bodies and buffered '
        'answers of callers may hold, in percent',
        minimum=1,
        maximum=PERCENT,
    ),
    settings.Setting(
        'record_memory_percent',
        request_records.MEMORY_PERCENT,
        'part of this memory that the records of requests may hold, in '
        'percent; above it, the oldest are dropped',
        minimum=1,
        maximum=PERCENT,
    ),
    settings.Setting(
        'max_connections',
        0,
        'connections of callers; beyond them, the one that waited longest '
        'without a whole request is closed; 0 for three quarters of the '
        'descriptors of this process',
    ),
    settings.Setting(
        'max_peer_connections',
        0,
        'connections of other entries, which relay requests; bounded in the '
        'same way; 0 for an eighth of the descriptors of this process',
    ),
    settings.Setting(
        'max_open_connections',
        0,
        'connections in all, of callers, of other entries and to targets; '
        'beyond them, one to a target that is not in use is closed, else the '
        'caller that waited longest without a whole request; 0 for seven '
        'eighths of the descriptors of this process',
    ),
    settings.Setting(
        'max_address_connections',
        0,
        'connections of callers from one address; 0 for no bound of its own',
    ),
    settings.Setting(
        'drain_ms',
        2 * units.SECOND_MS,
        'milliseconds from reporting not ready to closing the ports on a stop',
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
