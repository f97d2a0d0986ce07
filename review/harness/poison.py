"""Parts of the cases in which a request crashes the backends that run it."""

import asyncio

import standins

POISON = '/order/bad'
CONTACT_S = standins.BOUNDS['contact_window_s']
ZONES = ['taipei-a', 'taipei-b', 'taichung-a', 'taichung-b'] * 3


def add_backends(world, trouble, *, crash_after_s=0.02):
    """Adds backends that the request crashes as they begin to run it."""
    world.add_backends(
        'order-svc',
        ZONES,
        work_s=0.21,
        is_poison=lambda path, _caller: trouble and path == POISON,
        crash_after_s=crash_after_s,
    )


def document(homes=None):
    return standins.configuration(
        1,
        [standins.rule('r-order', 'unsafe', '/order/', 'order-svc', homes=homes)],
        ['order-svc'],
    )


async def orders(world, until, results, *, may_use=lambda edge: True):
    """Places twenty ordinary orders a second, at all entries in turn."""
    tasks = []
    number = 0
    while world.record.now() < until:
        number += 1
        edge = world.fleet.edges[number % len(world.fleet.edges)]
        if may_use(edge):
            tasks.append(
                asyncio.ensure_future(
                    world.ask(edge, 'POST', f'/order/{number}', body=b'one roll')
                )
            )
        await asyncio.sleep(0.05)
    for task in tasks:
        results.append(await task)


def run_times(world):
    """Returns when backends began to run the request, in order."""
    return sorted(
        run.at
        for backend in world.backends
        for run in backend.runs
        if run.path == POISON
    )


async def crash_three(world, edge):
    """Sends it at one entry until it has run three times; returns when."""
    for _ in range(8):
        await world.ask(edge, 'POST', POISON, body=b'bad')
        await asyncio.sleep(1.2)
        times = run_times(world)
        if len(times) >= 3:
            world.record.say(f'at {times[2]:.3f} it has run on three backends')
            return times[2]
    raise standins.CannotRun('the request did not run three times')


def verdict(world, trouble, third, results):
    """Returns whether the rule held."""
    record = world.record
    late = [at for at in run_times(world) if at > third + CONTACT_S]
    lost = [
        run.request_id
        for backend in world.backends
        for run in backend.runs
        if run.ended == 'crash' and run.at > third + CONTACT_S
    ]
    answers = dict(results)
    unanswered = [
        request_id
        for request_id in lost
        if request_id in answers and answers[request_id].status != 200
    ]
    if world.fleet.crashed():
        raise standins.CannotRun(f'processes ended: {world.fleet.crashed()}')
    if not trouble:
        record.say(f'it ran {len(run_times(world))} times and crashed nothing')
        return not sum(backend.crashes for backend in world.backends)
    record.say(
        f'{len(late)} times it reached a backend later than {CONTACT_S} s '
        'after the third, allowed are 3; backends crashed '
        f'{sum(backend.crashes for backend in world.backends)} times'
    )
    record.say(
        f'{len(unanswered)} ordinary orders ran on backends that it crashed '
        'after that, and their clients got no success'
    )
    return len(late) <= 3
