"""An order that a frozen control host held is carried out once it wakes."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'common'))

import deployment as parts  # noqa: E402

ZONE = 'south-a'


def run(record: parts.Record, with_trouble: bool) -> int:
    system = parts.Deployment(record, controls=5, entries=3)
    runs: list[parts.Run] = []
    backends = [
        parts.Backend(system, f'i-{zone}-{copy}', 'stock', zone, index * 2 + copy, runs)
        for index, zone in enumerate(parts.ZONES)
        for copy in range(2)
    ]
    evacuated = {backend.name for backend in backends if ZONE in backend.name}
    client = parts.Client(system, 'stock.example', '/p/x', per_s=60)
    try:
        system.start()
        others, frozen = system.controls[:4], system.controls[4]
        time.sleep(4)
        first = parts.configuration(1, {'stock': {}})
        parts.order(record, others, 'POST', '/configuration/put', first)
        for backend in backends:
            backend.start()
            backend.keep_checking_in()
        system.wait_until_ready()
        client.start()
        time.sleep(4)
        system.check_running()
        if not any(run.backend in evacuated for run in runs):
            raise parts.CannotRunError('the zone got no request before')

        # A zone is evacuated and taken back, then evacuated again. All three
        # orders are acknowledged before the next one is sent.
        parts.order(record, others, 'POST', f'/evacuation/{ZONE}/start')
        time.sleep(3)
        if with_trouble:
            frozen.signal(signal.SIGSTOP)
        taken_back = parts.order(
            record, [frozen, *others], 'POST', f'/evacuation/{ZONE}/end'
        )
        time.sleep(1)
        again = parts.order(record, others, 'POST', f'/evacuation/{ZONE}/start')
        time.sleep(0.5)
        woken = record.now()
        if with_trouble:
            frozen.signal(signal.SIGCONT)
            woken = record.now()
        # From here on the zone is evacuated. The rule's deadline is stretched
        # by outer_s, as the core was unstable; the machines are in touch from
        # contact_window_s after the last disturbance.
        bounds = parts.BOUNDS
        late_from = max(
            again + bounds['evacuation_deadline_s'] + bounds['outer_s'],
            woken + bounds['contact_window_s'],
        )
        record.add(f'end acknowledged at {taken_back:.3f}, start at {again:.3f}')
        record.add(f'requests at the zone break the rule from {late_from:.3f}')
        time.sleep(late_from - record.now() + 5)
        system.check_running()
        client.stop()
        late = [
            run
            for run in runs
            if run.backend in evacuated and run.at > late_from
        ]
        served = [run for run in runs if run.at > late_from]
        record.add(
            f'{len(late)} of {len(served)} requests ran in the evacuated zone '
            f'after {late_from:.3f}; client statuses {dict(client.statuses)}'
        )
        if not served:
            raise parts.CannotRunError('nothing was served at the end')
        return parts.BROKEN if late else parts.HOLDS
    finally:
        client.stop()
        system.stop()


parts.main(run)
