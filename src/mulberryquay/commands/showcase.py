"""The demo: control host, entry and stand-in targets in one process."""

from __future__ import annotations

import sys
import tempfile
import typing

from mulberryquay import announcer, logs, settings
from mulberryquay.commands import command, gc_tuning
from mulberryquay.control import daemon as control_daemon
from mulberryquay.control import host_protocol, kinds
from mulberryquay.coordination import schema, units
from mulberryquay.entry import daemon as entry_daemon
from mulberryquay.kernel import plugins
from mulberryquay.standin import target

SETTINGS: typing.Final = (
    settings.Setting(
        'listen',
        '127.0.0.1:7700',
        f'callers: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting(
        'api_listen',
        '127.0.0.1:7600',
        f'resource API: {settings.LISTEN_HELP}',
        text_format='address',
        required=True,
    ),
    settings.Setting('log_level', 'warning', settings.LOG_LEVEL.help),
)

_REGION: typing.Final = 'north'
_DOMAINS: typing.Final = ('north-1', 'north-2')
_TARGETS_PER_DOMAIN: typing.Final = 2
_SLOTS: typing.Final = 6
_CONNECTIONS: typing.Final = 220
_DRAIN_MS: typing.Final = 200
_STOP_TIMEOUT_MS: typing.Final = 10_000

_RESOURCES: typing.Final[tuple[tuple[str, str, schema.Spec], ...]] = (
    *(
        (
            kinds.FAILURE_DOMAIN,
            domain,
            {'region': _REGION, 'state': kinds.STATE_IN},
        )
        for domain in _DOMAINS
    ),
    (kinds.SERVICE, 'stock', {'timeout_ms': 10_000}),
    (kinds.SERVICE_CLASS, 'lookup', {'idempotent': True}),
    (
        kinds.ROUTE,
        'stock',
        {
            'path_prefix': '/stock',
            'service': 'stock',
            'service_class': 'lookup',
        },
    ),
)


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers ``demo``."""
    kernel.commands.add(
        'demo',
        command.Command(
            'demo',
            'run everything in one process, with stand-in targets',
            (),
            SETTINGS,
            run_demo,
        ),
    )


def run_demo(
    values: settings.Values,
    _arguments: list[str],
    kernel: plugins.Kernel,
) -> int:
    """Runs the demo until SIGTERM or SIGINT."""
    logs.configure(
        level=values['log_level'],
        role='demo',
        stream=sys.stderr,
    )
    stopping = command.catch_stop_signals()
    with tempfile.TemporaryDirectory() as folder:
        control = _start_control(values, kernel, folder)
        entry = _start_entry(values, kernel, control.feed_port)
        announcers = _start_targets(control.api_port)
        gc_tuning.freeze_startup_objects()
        _print_guide(entry.port, control.api_port)
        stopping.wait()
        command.print_line('stopping')
        for target_announcer in announcers:
            target_announcer.stop()
        entry.stop()
        control.stop()
    return 0


def _start_control(
    values: settings.Values,
    kernel: plugins.Kernel,
    folder: str,
) -> control_daemon.ControlDaemon:
    control = control_daemon.ControlDaemon(
        settings.with_defaults(
            control_daemon.SETTINGS,
            {
                'data_folder': folder,
                'api_listen': values['api_listen'],
                'feed_listen': '127.0.0.1:0',
                'host_listen': '127.0.0.1:0',
                'target_lease_ms': 3000,
            },
        ),
        kernel,
    )
    control.start()
    for kind, name, spec in _RESOURCES:
        fields = kernel.resource_kinds.get(kind)
        control.cluster.orders.execute(
            host_protocol.PutResource(
                kind,
                name,
                1,
                schema.check_spec(spec, fields, label=kind),
            ),
        )
    return control


def _start_entry(
    values: settings.Values,
    kernel: plugins.Kernel,
    feed_port: int,
) -> entry_daemon.EntryDaemon:
    entry = entry_daemon.EntryDaemon(
        settings.with_defaults(
            entry_daemon.SETTINGS,
            {
                'name': 'entry-1',
                'region': _REGION,
                'domain': _DOMAINS[0],
                'listen': values['listen'],
                'admin_listen': '127.0.0.1:0',
                'peer_listen': '127.0.0.1:0',
                'control': f'127.0.0.1:{feed_port}',
                'probe_bytes_s': units.MIB,
                'drain_ms': _DRAIN_MS,
                'stop_timeout_ms': _STOP_TIMEOUT_MS,
            },
        ),
        kernel,
    )
    entry.start()
    return entry


def _start_targets(api_port: int) -> list[announcer.Announcer]:
    announcers = []
    for domain in _DOMAINS:
        for number in range(_TARGETS_PER_DOMAIN):
            name = f'stock-{domain}-{number}'
            stand_in = target.StandInTarget(
                target.echo_handler(name),
                slots=_SLOTS,
            )
            stand_in.start()
            target_announcer = announcer.Announcer(
                {
                    'name': name,
                    'service': 'stock',
                    'address': stand_in.address,
                    'region': _REGION,
                    'domain': domain,
                    'slots': _SLOTS,
                    'connections': _CONNECTIONS,
                    'incarnation': 1,
                },
                [f'127.0.0.1:{api_port}'],
            )
            target_announcer.start()
            announcers.append(target_announcer)
    return announcers


def _print_guide(port: int, api_port: int) -> None:
    command.print_line(
        f"""mulberryquay demo: one control host, one entry, four targets

  Ask the stock service through the entry:
    curl -i http://127.0.0.1:{port}/stock/canvas

  See the targets that announced themselves:
    mulberryquay get targets --api=127.0.0.1:{api_port}

  Take a failure domain out, watch it, and bring it back:
    mulberryquay drain north-1 --api=127.0.0.1:{api_port}
    mulberryquay watch --since=0 --count=6 --api=127.0.0.1:{api_port}
    mulberryquay restore north-1 --api=127.0.0.1:{api_port}

  Read what happened to a request (its id is in the answer's headers):
    mulberryquay account REQUEST_ID --api=127.0.0.1:{api_port}

  Stop with Ctrl-C.""",
    )
