"""A configuration that cannot be encoded stops the control hosts for good."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'common'))

import deployment as parts  # noqa: E402

#: Dates as versions, in whole seconds and in microseconds.
SECONDS = 20261205084714
MICROSECONDS = 20261205084714000001


def send_until_clear(record, hosts, body, limit_s: float) -> str:
    """Sends a configuration as the pages say; returns the clear answer."""
    pause = 0.1
    deadline = time.monotonic() + limit_s
    number = 0
    while time.monotonic() < deadline:
        host = hosts[number % len(hosts)]
        number += 1
        try:
            status, answer = parts.call(
                host.control_address, 'POST', '/configuration/put', body
            )
        except OSError as error:
            record.add(f'{body["version"]} to {host.name}: {error!r}')
        else:
            record.add(f'{body["version"]} to {host.name}: {status}')
            if status < 500 and status not in {408, 429}:
                return str(status)
        time.sleep(pause)
        pause = min(1.0, pause * 2)
    return 'none'


def read_back(record, hosts, limit_s: float) -> str:
    """Asks all hosts in turn for the configuration; returns its version."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        for host in hosts:
            try:
                status, answer = parts.call(
                    host.control_address, 'GET', '/configuration/get'
                )
            except OSError as error:
                record.add(f'read at {host.name}: {error!r}')
                continue
            record.add(f'read at {host.name}: {status}')
            if status == 200:
                version = json.loads(answer)['version']
                record.add(f'read at {host.name}: {version}')
                return version
        time.sleep(0.3)
    return 'none'


def run(record: parts.Record, with_trouble: bool) -> int:
    system = parts.Deployment(record, controls=5, entries=2)
    runs: list[parts.Run] = []
    client = parts.Client(system, 'stock.example', '/p/x', per_s=20)
    hosts = system.controls
    try:
        system.start()
        time.sleep(4)
        first = parts.configuration(1, {'stock': {}})
        parts.order(record, hosts, 'POST', '/configuration/put', first)
        backend = parts.Backend(system, 'i-1', 'stock', 'north-a', 0, runs)
        backend.start()
        backend.keep_checking_in()
        system.wait_until_ready()
        client.start()
        time.sleep(2)
        number = MICROSECONDS if with_trouble else SECONDS
        changed = parts.configuration(number, {'stock': {}, 'order': {}})
        answer = send_until_clear(record, hosts, changed, 20)
        record.add(f'r{number}: clear answer {answer}')
        # What comes after it: one more order and the read of the end of day.
        later = 'acknowledged'
        began = record.now()
        try:
            parts.order(
                record, hosts, 'POST', '/evacuation/south-a/start', limit_s=15
            )
        except parts.CannotRunError:
            later = 'not acknowledged'
        record.add(f'evacuation {later} after {record.now() - began:.1f} s')
        version = read_back(record, hosts, 8)
        system.check_running()
        client.stop()
        record.add(f'client statuses {dict(client.statuses)}')
        newest = 'r1' if answer != '200' else f'r{number}'
        record.add(f'newest acknowledged {newest}, read back {version}')
        is_broken = later != 'acknowledged' or version != newest
        return parts.BROKEN if is_broken else parts.HOLDS
    finally:
        client.stop()
        for machine in hosts:
            log = machine.folder / 'log'
            is_writer_dead = any(
                'GroupCommit._run' in line and 'failed with' in line
                for line in log.read_text(errors='replace').splitlines()
            )
            record.add(f'{machine.name}: disk writer ended: {is_writer_dead}')
        system.stop()


parts.main(run)
