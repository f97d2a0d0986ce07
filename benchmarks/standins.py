"""A process of stand-in targets: API, SERVICE, COUNT, SLOTS, WORK_MS."""

from __future__ import annotations

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
    api, service, count, slots, work_ms = arguments
    work_s = float(work_ms) / clock.MS_PER_SECOND

    ports = []
    for number in range(int(count)):
        stand_in = target.StandInTarget(
            functools.partial(_work, work_s), slots=int(slots)
        )
        stand_in.start()
        announcing = announcer.Announcer(
            {
                'name': f'{service}-{number}',
                'service': service,
                'address': stand_in.address,
                'region': 'north',
                'domain': 'north-1',
                'slots': int(slots),
                'connections': 220,
                'incarnation': time.time_ns(),
            },
            [api],
        )
        announcing.start()
        ports.append(stand_in.address.rpartition(':')[2])
    command.say(' '.join(ports))
    gevent.wait()


def _work(duration_s: float, _request: target.Received) -> target.Answer:
    if duration_s:
        gevent.sleep(duration_s)
    return target.Answer(body=b'hello')


if __name__ == '__main__':
    main(sys.argv[1:])
