"""The subcommand that explains a request from the logs of all processes."""

from __future__ import annotations

import datetime
import json
import pathlib
import typing

from mulberryquay import settings
from mulberryquay.commands import command
from mulberryquay.coordination import clock, errors
from mulberryquay.entry import outcomes, request_records
from mulberryquay.kernel import plugins

#: Context lines (about the request's targets, its entry and control hosts)
#: are shown from this long before the request.
CONTEXT_BEFORE_MS: typing.Final = 5000.0

#: Maximum number of context lines; the newest ones are shown.
MAX_CONTEXT_LINES: typing.Final = 40

#: Format of the time in log lines.
_TIME_FORMAT: typing.Final = '%Y-%m-%d %H:%M:%S,%f'

_REQUEST_ENDED: typing.Final = 'request ended'

#: Fields that all lines share; they are not listed with the others.
_COMMON_FIELDS: typing.Final = frozenset(
    ('time', 'level', 'logger', 'message', 'role', 'node', 'request_id'),
)

#: Log messages about state changes of entries and control hosts.
_STATE_CHANGES: typing.Final = frozenset(
    (
        'configuration in force',
        'configuration is fresh',
        'control host does not vouch',
        'entry list in force',
        'lease ran out',
        'leading',
        'log lines dropped',
        'order decided',
        'quorum lost',
        'roll-out moved',
        'started',
        'stopping',
    ),
)

_CAUSES: typing.Final = {
    outcomes.Reason.NONE: 'the target answered; the status is from its answer',
    outcomes.Reason.CALLER_GONE: (
        'the caller closed the connection before the answer'
    ),
    outcomes.Reason.NO_CONFIGURATION: (
        'the entry had just started and had not received a configuration '
        'from a control host'
    ),
    outcomes.Reason.STALE_CONFIGURATION: (
        'no control host in contact with a majority confirmed that the '
        'configuration is current'
    ),
    outcomes.Reason.NO_TARGET: (
        'no target of the service could take this request: all were gone, '
        'leaving, cold, in a domain that was out, or outside its regions'
    ),
    outcomes.Reason.OVERLOADED: (
        'the queue was full of requests of the same or higher value'
    ),
    outcomes.Reason.QUEUE_TIMEOUT: 'no target had capacity in time',
    outcomes.Reason.WONT_BE_IN_TIME: (
        'no target had room, and by what was known the request would not have '
        'been answered before its deadline'
    ),
    outcomes.Reason.DEADLINE: (
        'the time of the request ran out while a target worked on it'
    ),
    outcomes.Reason.CONNECTION_LOST: (
        'the connection to the target was lost after the request was sent'
    ),
    outcomes.Reason.CONNECT_FAILED: (
        'no connection to the target could be opened'
    ),
    outcomes.Reason.TARGET_SHED: 'the targets were full and shed the request',
    outcomes.Reason.MISDIRECTED: (
        'another target had taken over the address and refused the request'
    ),
    outcomes.Reason.MALFORMED_ANSWER: (
        'the target sent bytes that are not a valid answer to this request'
    ),
    outcomes.Reason.BREAKS_TARGETS: (
        'targets failed when they ran the request, so it is refused'
    ),
    outcomes.Reason.NO_PERMIT: (
        'no control host answered in time whether the client account was '
        'within its rate'
    ),
    outcomes.Reason.NO_ROUTE: (
        'the configuration in force has no route for this request'
    ),
}

Line = dict[str, typing.Any]


@typing.final
class BadLogFileError(errors.InvalidInputError):
    """A log file cannot be read."""

    code = 'bad-log-file'


class _RequestLines(typing.NamedTuple):
    """The log lines of a request and their context, in order of time."""

    own: list[Line]
    context: list[Line]


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers ``explain``."""
    kernel.commands.add(
        'explain',
        command.Command(
            'explain',
            'explain from log files how a request ended and why',
            ('REQUEST_ID', 'LOGFILE...'),
            (),
            run_explain,
        ),
    )


def run_explain(
    _values: settings.Values,
    arguments: list[str],
    _kernel: plugins.Kernel,
) -> int:
    """Prints the lines of a request, its context and the cause."""
    request_id, *paths = arguments
    lines = [line for path in paths for line in read_lines(path)]
    for text in explain(request_id, lines):
        command.print_line(text)
    return 0


def read_lines(path: str) -> typing.Iterator[Line]:
    """Yields the log lines of a file and skips all other lines.

    Any prefix before the JSON object of a line, as log collectors add it, is
    ignored. Raises BadLogFileError.
    """
    try:
        text = pathlib.Path(path).read_text(errors='replace')
    except OSError as error:
        raise BadLogFileError(f'{path}: {error}') from error
    for written in text.splitlines():
        start = written.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(written[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and 'message' in line and 'time' in line:
            yield line


def explain(request_id: str, lines: typing.Sequence[Line]) -> list[str]:
    """Returns the text about a request; raises UnknownRequestError."""
    selected = _select_lines(request_id, lines)
    end_lines = [
        line for line in selected.own if line['message'] == _REQUEST_ENDED
    ]
    output = ['Around the request:']
    output += [_format_line(line) for line in selected.context]
    output.append('The request:')
    output += [_format_line(line) for line in selected.own]
    output += [_describe_cause(line) for line in end_lines]
    if not end_lines:
        output.append(
            'Cause: not known; the entry ended before the request did, or '
            'its line was dropped',
        )
    return output


def _select_lines(
    request_id: str, lines: typing.Sequence[Line]
) -> _RequestLines:
    own = [line for line in lines if line.get('request_id') == request_id]
    if not own:
        raise request_records.UnknownRequestError(
            f'no line of these files is about request {request_id!r}; pass '
            'the logs of all entries; only a sample of plain successes is '
            'logged',
        )
    own.sort(key=_time_of)
    attempted_targets = {
        attempt['target'] for line in own for attempt in line.get('tries', ())
    }
    nodes = {line.get('node') for line in own}
    start = min(_started_at_ms(line) for line in own) - CONTEXT_BEFORE_MS
    end = _written_at_ms(own[-1])
    context = [
        line
        for line in lines
        if 'request_id' not in line
        and (
            line.get('target') in attempted_targets
            or (
                line['message'] in _STATE_CHANGES
                and _is_from_entry_or_control(line, nodes)
            )
        )
        and start <= _written_at_ms(line) <= end
    ]
    context.sort(key=_time_of)
    return _RequestLines(own, context[-MAX_CONTEXT_LINES:])


def _is_from_entry_or_control(line: Line, nodes: set[typing.Any]) -> bool:
    """Whether a line is from the request's entry or a control host."""
    return line.get('node') in nodes or line.get('role') == 'control'


def _describe_cause(line: Line) -> str:
    try:
        reason = outcomes.Reason(line['reason'])
    except ValueError:
        reason = outcomes.Reason.NONE
    cause = _CAUSES.get(reason, f'{line["reason"]}: {line["cause"]}')
    tries = len(line['tries'])
    return (
        f'Cause: {cause}. Outcome {line["outcome"]}, status {line["status"]}, '
        f'after {line["duration_ms"]:.0f} of {line["timeout_ms"]:.0f} ms and '
        f'{tries} tries.'
    )


def _format_line(line: Line) -> str:
    fields = ' '.join(
        f'{name}={field}'
        for name, field in line.items()
        if name not in _COMMON_FIELDS
        and name != 'tries'
        and not _is_empty(field)
    )
    formatted = [
        f'  {line["time"]} {line.get("node") or line.get("role")}: '
        f'{line["message"]} {fields}',
    ]
    for number, attempt in enumerate(line.get('tries', ()), start=1):
        details = ' '.join(
            f'{name}={field}'
            for name, field in attempt.items()
            if not _is_empty(field)
        )
        formatted.append(f'    try {number}: {details}')
    return '\n'.join(formatted)


def _time_of(line: Line) -> str:
    return str(line['time'])


def _started_at_ms(line: Line) -> float:
    return _written_at_ms(line) - float(line.get('duration_ms', 0))


def _written_at_ms(line: Line) -> float:
    written = datetime.datetime.strptime(_time_of(line), _TIME_FORMAT)
    return written.timestamp() * clock.MS_PER_SECOND


def _is_empty(field: typing.Any) -> bool:
    return field is None or field == ''
