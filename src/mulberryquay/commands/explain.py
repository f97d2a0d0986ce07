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

#: Lines about the request's targets and entry that came this long before
#: it are shown, too.
BEFORE_MS: typing.Final = 5000.0

#: Lines of surroundings that are shown at the most, the newest ones.
MAX_SURROUNDING: typing.Final = 40

#: How log lines write their time.
_TIME_FORMAT: typing.Final = '%Y-%m-%d %H:%M:%S,%f'

_REQUEST_ENDED: typing.Final = 'request ended'

#: Fields that every line has; they are not repeated in the text.
_COMMON: typing.Final = frozenset(
    ('time', 'level', 'logger', 'message', 'role', 'node', 'request_id'),
)

#: Lines that tell what an entry or control host came to believe.
_BELIEFS: typing.Final = frozenset(
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
        'started',
        'stopping',
    ),
)

_CAUSES: typing.Final = {
    outcomes.Reason.NONE: 'the target answered; its status is its own',
    outcomes.Reason.CALLER_GONE: 'the caller left before the answer',
    outcomes.Reason.NO_CONFIGURATION: (
        'the entry had just started and no control host had told it a '
        'configuration'
    ),
    outcomes.Reason.STALE_CONFIGURATION: (
        'no control host with a majority vouched for the configuration'
    ),
    outcomes.Reason.NO_TARGET: (
        'no target of the service was open to this request: all were gone, '
        'leaving, cold, in a domain that was out, or outside its regions'
    ),
    outcomes.Reason.OVERLOADED: (
        'the queue was full of requests that are worth as much or more'
    ),
    outcomes.Reason.QUEUE_TIMEOUT: 'no target had room in time',
    outcomes.Reason.DEADLINE: (
        'the time of the request ran out while a target worked on it'
    ),
    outcomes.Reason.CONNECTION_LOST: (
        'the connection to the target was lost after the request was sent'
    ),
    outcomes.Reason.CONNECT_FAILED: 'no connection to the target came about',
    outcomes.Reason.TARGET_SHED: 'the targets had no room and said so',
    outcomes.Reason.MISDIRECTED: (
        'another target had the address by then, and said so'
    ),
    outcomes.Reason.MALFORMED_ANSWER: (
        'the target sent bytes that are no answer to this request'
    ),
    outcomes.Reason.BREAKS_TARGETS: (
        'the request broke the targets that ran it, so it is refused'
    ),
    outcomes.Reason.NO_ROUTE: 'the configuration in force has no such route',
}

Line = dict[str, typing.Any]


@typing.final
class BadLogFileError(errors.InvalidInputError):
    """A log file cannot be read."""

    code = 'bad-log-file'


class _Explained(typing.NamedTuple):
    """The lines that belong to a request, in order."""

    own: list[Line]
    surrounding: list[Line]


def mulberryquay_register(kernel: plugins.Kernel) -> None:
    """Registers ``explain``."""
    kernel.commands.add(
        'explain',
        command.Command(
            'explain',
            'tell from log files why a request ended as it did',
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
    """Prints the lines of a request and of what it met, and the cause."""
    request_id, *paths = arguments
    lines = [line for path in paths for line in read_lines(path)]
    for text in explain(request_id, lines):
        command.print_line(text)
    return 0


def read_lines(path: str) -> typing.Iterator[Line]:
    """Yields the log lines of a file; other lines are skipped.

    Something may stand before the JSON object of a line, as collectors of
    logs add it. Raises BadLogFileError.
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
    """Returns the explanation of a request; raises UnknownRequestError."""
    explained = _collect(request_id, lines)
    ends = [line for line in explained.own if line['message'] == _REQUEST_ENDED]
    told = ['Around the request:']
    told += [_show(line) for line in explained.surrounding]
    told.append('The request:')
    told += [_show(line) for line in explained.own]
    told += [_cause_of(line) for line in ends]
    if not ends:
        told.append(
            'Cause: not known; the entry ended before the request did, or '
            'its line was dropped',
        )
    return told


def _collect(request_id: str, lines: typing.Sequence[Line]) -> _Explained:
    own = [line for line in lines if line.get('request_id') == request_id]
    if not own:
        raise request_records.UnknownRequestError(
            f'no line of these files names request {request_id!r}; give the '
            'logs of all entries, and mind that of plain successes only a '
            'sample is written',
        )
    own.sort(key=_time_of)
    met = {
        attempt['target'] for line in own for attempt in line.get('tries', ())
    }
    nodes = {line.get('node') for line in own}
    start = min(_started_at(line) for line in own) - BEFORE_MS
    end = _ms_of(own[-1])
    surrounding = [
        line
        for line in lines
        if 'request_id' not in line
        and (
            line.get('target') in met
            or (line['message'] in _BELIEFS and _is_near(line, nodes))
        )
        and start <= _ms_of(line) <= end
    ]
    surrounding.sort(key=_time_of)
    return _Explained(own, surrounding[-MAX_SURROUNDING:])


def _is_near(line: Line, nodes: set[typing.Any]) -> bool:
    """Whether a belief is that of the request's entry or of control."""
    return line.get('node') in nodes or line.get('role') == 'control'


def _cause_of(line: Line) -> str:
    try:
        reason = outcomes.Reason(line['reason'])
    except ValueError:
        reason = outcomes.Reason.NONE
    told = _CAUSES.get(reason, f'{line["reason"]}: {line["cause"]}')
    tries = len(line['tries'])
    return (
        f'Cause: {told}. Outcome {line["outcome"]}, status {line["status"]}, '
        f'after {line["duration_ms"]:.0f} of {line["timeout_ms"]:.0f} ms and '
        f'{tries} tries.'
    )


def _show(line: Line) -> str:
    fields = ' '.join(
        f'{name}={field}'
        for name, field in line.items()
        if name not in _COMMON and name != 'tries' and not _is_empty(field)
    )
    shown = [
        f'  {line["time"]} {line.get("node") or line.get("role")}: '
        f'{line["message"]} {fields}',
    ]
    for number, attempt in enumerate(line.get('tries', ()), start=1):
        told = ' '.join(
            f'{name}={field}'
            for name, field in attempt.items()
            if not _is_empty(field)
        )
        shown.append(f'    try {number}: {told}')
    return '\n'.join(shown)


def _time_of(line: Line) -> str:
    return str(line['time'])


def _started_at(line: Line) -> float:
    return _ms_of(line) - float(line.get('duration_ms', 0))


def _ms_of(line: Line) -> float:
    written = datetime.datetime.strptime(_time_of(line), _TIME_FORMAT)
    return written.timestamp() * clock.MS_PER_SECOND


def _is_empty(field: typing.Any) -> bool:
    return field is None or field == ''
