"""A deregistration that is acknowledged after a restart isn't carried out."""

import asyncio
import itertools
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import standins  # noqa: E402

CONTACT_S = standins.BOUNDS['contact_window_s']
DRAIN_S = standins.BOUNDS['drain_s']
#: The leaving backend serves for this long after the acknowledgement.
STAY_S = 20


async def orders(world, edge, until):
    """Places forty orders a second at one entry."""
    tasks = []
    for number in itertools.count():
        if world.record.now() > until():
            break
        tasks.append(
            asyncio.ensure_future(
                world.ask(edge, 'POST', f'/order/{number}', body=b'one roll')
            )
        )
        await asyncio.sleep(0.025)
    return [await task for task in tasks]


async def case(world, trouble):
    world.add_backends(
        'order-svc',
        ['taipei-b', 'taichung-a'],
        work_s=0.21,
    )
    await world.begin(
        standins.configuration(
            1,
            [standins.rule('r-order', 'unsafe', '/order/', 'order-svc')],
            ['order-svc'],
        )
    )
    record = world.record
    fleet = world.fleet
    edge = fleet.edges[0]
    await asyncio.sleep(CONTACT_S + 1)
    end = [record.now() + 60]
    traffic = asyncio.ensure_future(orders(world, edge, lambda: end[0]))
    await asyncio.sleep(2)
    # A backend is added, and is used at once.
    world.add_backends('order-svc', ['taipei-a'], work_s=0.21)
    added = world.backends[-1]
    added.sends_heartbeats = False
    await added.start(cold_s=3.0)
    node = await added.check_in()
    if node is None:
        raise standins.CannotRun('no node acknowledged the check-in')
    record.say(f'{added.instance} checked in at {node.name}')
    await asyncio.sleep(0.04)
    if trouble:
        for core in fleet.cores:
            core.send(signal.SIGKILL)
        for core in fleet.cores:
            core.reap()
        for core in fleet.cores:
            core.start()
    restored_at = record.now()
    await asyncio.sleep(0.5)
    # Before its next check-in is due it leaves.
    added.state = 'draining'
    for _ in range(100):
        node = await added.check_in('deregister')
        if node is not None:
            break
        await asyncio.sleep(0.05)
    else:
        raise standins.CannotRun('the deregistration was not acknowledged')
    acked_at = record.now()
    record.say(
        f'it left, acknowledged by {node.name} {acked_at - restored_at:.2f} s '
        'after the control hosts were started'
    )
    in_touch_at = max(restored_at + CONTACT_S + 0.5, acked_at + DRAIN_S + 0.1)
    end[0] = acked_at + STAY_S + 2
    await asyncio.sleep(STAY_S)
    added.end('exit')
    answers = dict(await traffic)
    lost = [
        run.request_id
        for run in added.runs
        if run.ended == 'exit' and (answers.get(run.request_id) or standins.Answer(0, {}, b"")).status != 200
    ]
    if fleet.crashed():
        raise standins.CannotRun(f'processes ended: {fleet.crashed()}')
    late = [
        arrival for arrival in added.arrivals if arrival[0] > in_touch_at
    ]
    if not late:
        record.say(f'no request reached it later than {DRAIN_S} s after that')
        return True
    record.say(
        f'{len(late)} requests reached it later than {DRAIN_S} s after the '
        f'acknowledgement, from {late[0][0] - acked_at:.2f} s to '
        f'{late[-1][0] - acked_at:.2f} s after it, of {len(answers)} sent'
    )
    record.say(
        f'{len(lost)} orders were running when it exited; their clients got '
        'no success'
    )
    return False


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(standins.play(HERE, case, trouble=has_trouble))
