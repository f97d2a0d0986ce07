"""A process of stand-in targets.

Arguments: API, SERVICE, COUNT, SLOTS, WORK_MS, DOMAIN.
"""

from __future__ import annotations

import collections
import functools
import sys
import time

import gevent

from mulberryquay import announcer
from mulberryquay.commands import command
from mulberryquay.coordination import clock
from mulberryquay.standin import target


def main(arguments: list[str]) -> None:
    """Announces the targets and serves until the process is ended."""
    api, service, count, slots, work_ms, domain = arguments
    work_s = float(work_ms) / clock.MS_PER_SECOND

    ports = []
    for number in range(int(count)):
        stand_in = target.StandInTarget(
            functools.partial(_answer, work_s, collections.Counter()),
            slots=int(slots),
        )
        stand_in.start()
        target_announcer = announcer.Announcer(
            {
                'name': f'{service}-{domain}-{number}',
                'service': service,
                'address': stand_in.address,
                'region': 'north',
                'domain': domain,
                'slots': int(slots),
                'connections': 220,
                'incarnation': time.time_ns(),
            },
            [api],
        )
        target_announcer.start()
        ports.append(stand_in.address.rpartition(':')[2])
    command.print_line(' '.join(ports))
    gevent.wait()


def _answer(
    duration_s: float,
    started_calls: collections.Counter[str],
    request: target.ReceivedRequest,
) -> target.Answer:
    if request.head.path == b'/begun':
        return target.Answer(body=b'%d' % started_calls['calls'])
    started_calls['calls'] += 1
    if duration_s:
        gevent.sleep(duration_s)
    return target.Answer(body=b'hello')


if __name__ == '__main__':
    main(sys.argv[1:])
