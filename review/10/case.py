"""A rolling restart lets a request through that crashes backends."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import poison  # noqa: E402
import standins  # noqa: E402


async def case(world, trouble):
    poison.add_backends(world, trouble)
    await world.begin(poison.document())
    record = world.record
    await asyncio.sleep(poison.CONTACT_S + 1)
    usable = dict.fromkeys(world.fleet.edges, True)
    results = []
    traffic = asyncio.ensure_future(
        poison.orders(
            world, record.now() + 75, results, may_use=usable.__getitem__
        )
    )
    edges = world.fleet.edges
    third = await poison.crash_three(world, edges[0])
    await asyncio.sleep(max(0, third + poison.CONTACT_S + 0.5 - record.now()))
    for edge in edges:
        # It is refused everywhere.
        await poison.send(world, edge)
    before = len(poison.runs(world))
    record.say(f'it has run {before} times before the rolling restart')
    for edge in edges:
        usable[edge] = False
        edge.send(signal.SIGTERM)
        await asyncio.get_running_loop().run_in_executor(None, edge.reap)
        edge.start()
        while True:
            answer = await standins.call(
                f'{edge.ip}:{standins.READY}', 'GET', '/readiness'
            )
            if answer.status == 200:
                break
            await asyncio.sleep(0.1)
        usable[edge] = True
        # The machine is in touch again when it comes there.
        await asyncio.sleep(poison.CONTACT_S + 0.5)
        await poison.send(world, edge)
    await traffic
    return poison.verdict(world, trouble, poison.runs(world), results)


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(standins.play(HERE, case, trouble=has_trouble))
