"""A request with home regions that crashes backends is not stopped."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import poison  # noqa: E402
import standins  # noqa: E402


async def case(world, trouble):
    poison.add_backends(world, trouble)
    await world.begin(poison.document(['north-tw', 'central-tw']))
    record = world.record
    await asyncio.sleep(poison.CONTACT_S + 1)
    results = []
    traffic = asyncio.ensure_future(
        poison.orders(world, record.now() + 40, results)
    )
    edges = world.fleet.edges
    third = await poison.crash_three(world, edges[0])
    await asyncio.sleep(max(0, third + poison.CONTACT_S + 0.5 - record.now()))
    # It comes again, at any machine, a little more than once in a second.
    for number in range(20):
        await world.ask(
            edges[number % len(edges)], 'POST', poison.POISON, body=b'bad'
        )
        await asyncio.sleep(1.2)
    await traffic
    return poison.verdict(world, trouble, third, results)


if __name__ == '__main__':
    sys.exit(standins.play(HERE, case))
