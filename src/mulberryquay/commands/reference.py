"""Generates the reference pages from the declarations in the code."""

from __future__ import annotations

import pathlib
import sys
import typing

from mulberryquay import metrics, settings
from mulberryquay.commands import command
from mulberryquay.control import announcements, api, roll_out_api
from mulberryquay.control import daemon as control_daemon
from mulberryquay.coordination import schema
from mulberryquay.entry import outcomes
from mulberryquay.entry import state as entry_state
from mulberryquay.kernel import plugins

_HEADER: typing.Final = (
    '<!-- Written by `make docs` from the code; do not edit. -->'
)


def pages(kernel: plugins.Kernel) -> dict[str, str]:
    """Returns the text of each reference page by file name."""
    return {
        'SETTINGS.md': _settings_page(kernel),
        'METRICS.md': _metrics_page(),
        'API.md': _api_page(kernel),
    }


def main(folder: str) -> None:
    """Writes all pages into a folder."""
    for name, text in pages(plugins.load_kernel()).items():
        (pathlib.Path(folder) / name).write_text(text)


def _settings_page(kernel: plugins.Kernel) -> str:
    lines = [
        _HEADER,
        '# Settings',
        '',
        'Each flag is also read from the environment as '
        f'`{settings.ENVIRONMENT_PREFIX}<FLAG>`; a flag takes precedence '
        'over its variable. A value that is not allowed ends the program '
        'with exit code 2 and an error that names the flag.',
    ]
    for name in kernel.commands.names:
        subcommand: command.Command = kernel.commands.get(name)
        arguments = ' '.join(('', *subcommand.arguments))
        lines += [
            '',
            f'## mulberryquay {name}{arguments}',
            '',
            subcommand.summary,
        ]
        if subcommand.settings:
            lines += ['', '| flag | meaning | allowed | default |']
            lines.append('|---|---|---|---|')
            lines += [_setting_row(setting) for setting in subcommand.settings]
    return '\n'.join(lines) + '\n'


def _setting_row(setting: settings.Setting) -> str:
    return (
        f'| `--{setting.name}` | {setting.help} | '
        f'{settings.describe_allowed(setting)} | `{setting.default}` |'
    )


def _metrics_page() -> str:
    lines = [_HEADER, '# Metrics', '', 'Served at `/metrics`.']
    for role, declared in (
        ('entry', entry_state.METRICS),
        ('control', control_daemon.METRICS),
    ):
        lines += ['', f'## {role}', '', '| name | labels | meaning |']
        lines.append('|---|---|---|')
        lines += [_metric_row(metric) for metric in declared]
    lines += ['', '## Reasons', '', 'Values of the label `reason`:', '']
    lines += [f'- `{reason.value}`' for reason in outcomes.Reason]
    return '\n'.join(lines) + '\n'


def _metric_row(metric: metrics.MetricDeclaration) -> str:
    labels = ', '.join(metric.labels)
    return f'| `{metric.name}` | {labels} | {metric.help} |'


def _api_page(kernel: plugins.Kernel) -> str:
    lines = [
        _HEADER,
        '# Resource API',
        '',
        'JSON over HTTP. Errors are `{"error": {"code": ..., "message": '
        '...}}` with a 4xx or 5xx status. A request that takes more than 30 s '
        'from its first byte to its last one gets a 408 with code '
        '`request-timeout`, or a 400 if its head is not complete.',
        '',
        '| request | meaning |',
        '|---|---|',
    ]
    lines += [
        f'| `{request}` | {meaning} |'
        for request, meaning in (*api.ROUTES, *roll_out_api.ROUTES)
    ]
    for name in kernel.resource_kinds.names:
        fields = kernel.resource_kinds.get(name)
        lines += ['', f'## {name}', '', *_field_rows(fields)]
    lines += ['', '## Announcement of a target', '']
    lines += _field_rows(announcements.ANNOUNCEMENT_FIELDS)
    return '\n'.join(lines) + '\n'


def _field_rows(fields: schema.Fields) -> list[str]:
    rows = ['| field | allowed | default |', '|---|---|---|']
    for name, field in fields.items():
        allowed, default = _describe_field(field)
        rows.append(f'| `{name}` | {allowed} | {default} |')
    return rows


def _describe_field(field: schema.Field) -> tuple[str, str]:
    match field:
        case schema.Text(required, default, choices, prefix):
            allowed = (
                f'string that starts with `{prefix}`' if prefix else 'string'
            )
            if choices:
                allowed = ', '.join(f'`{choice}`' for choice in choices)
            return allowed, 'required' if required else f'`{default}`'
        case schema.Integer(minimum, maximum, default_number, required):
            allowed = f'{minimum} to {maximum}'
            return allowed, 'required' if required else f'`{default_number}`'
        case schema.Flag(default_flag):
            return 'true or false', f'`{str(default_flag).lower()}`'
        case schema.Names(default_names):
            return 'list of names', f'`{list(default_names)}`'
        case schema.Number(least, most, default_rate):
            return f'number from {least} to {most}', f'`{default_rate}`'
        case schema.Weights():
            return 'object of names with a weight each', '`{}`'
        case schema.Digests(length):
            return f'list of digests of {length} hexadecimal digits', '`[]`'


if __name__ == '__main__':
    main(sys.argv[1])
