"""Parts of the cases in which a request crashes the backends that run it."""

import asyncio

import standins

POISON = '/stock/bad'
CONTACT_S = standins.BOUNDS['contact_window_s']


def add_backends(world, trouble, *, crash_after_s=0.02):
    """Adds backends that the request crashes as they begin to run it."""
    world.add_backends(
        'stock-svc',
        list(standins.ZONES) * 2,
        work_s=0.16,
        is_poison=lambda path, _caller: trouble and path == POISON,
        crash_after_s=crash_after_s,
    )


def document():
    return standins.configuration(
        1,
        [
            standins.rule('r-stock', 'safe', '/stock/', 'stock-svc'),
            standins.rule('r-order', 'unsafe', '/order/', 'stock-svc'),
        ],
        ['stock-svc'],
    )


async def send(world, edge):
    """The client sends the request that crashes backends, once."""
    await world.ask(edge, 'GET', POISON, deadline_ms=1200)


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


def runs(world, is_bad=lambda run: run.path == POISON):
    """Returns the runs of the request, in their order."""
    found = [
        run for backend in world.backends for run in backend.runs if is_bad(run)
    ]
    return sorted(found, key=lambda run: run.at)


def retries(bad_runs):
    """Returns the runs that aren't the first one of a client's attempt.

    What a client sends again is a new request; only what an entry sends once
    more is a retry.
    """
    seen = set()
    again = []
    for run in bad_runs:
        if run.request_id in seen:
            again.append(run)
        seen.add(run.request_id)
    return again


async def crash_three(world, edge):
    """Sends it at one entry until it has run three times; returns when."""
    for _ in range(8):
        await send(world, edge)
        await asyncio.sleep(1.2)
        found = runs(world)
        if len(found) >= 3:
            world.record.say(f'at {found[2].at:.3f} the third backend runs it')
            return found[2].at
    raise standins.CannotRun('the request did not run three times')


def verdict(world, trouble, bad_runs, results, contact_s=CONTACT_S):
    """Returns whether the rule held."""
    record = world.record
    if world.fleet.crashed():
        raise standins.CannotRun(f'processes ended: {world.fleet.crashed()}')
    if not trouble:
        record.say(f'it ran {len(bad_runs)} times and crashed nothing')
        return not sum(backend.crashes for backend in world.backends)
    if len(bad_runs) < 3:
        raise standins.CannotRun('the request did not run three times')
    since = bad_runs[2].at + contact_s
    late = [run for run in bad_runs if run.at > since]
    late_retries = [run for run in retries(bad_runs) if run.at > since]
    answers = dict(results)
    lost = [
        run.request_id
        for backend in world.backends
        for run in backend.runs
        if run.ended == 'crash' and run.at > since
        and run.request_id in answers
        and answers[run.request_id].status != 200
    ]
    record.say(
        f'{len(late_retries)} retries reached backends later than {contact_s} s '
        f'after the third crash, allowed are 3; with first tries {len(late)} '
        f'runs; {sum(backend.crashes for backend in world.backends)} crashes in '
        'all'
    )
    record.say(
        f'{len(lost)} ordinary requests ran on backends that it crashed after '
        'that, and their clients got no success'
    )
    return len(late_retries) <= 3
