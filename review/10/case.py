"""A request that crashes backends is not stopped if it comes in volleys."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import poison  # noqa: E402
import standins  # noqa: E402


async def case(world, trouble):
    poison.add_backends(world, trouble, crash_after_s=0.1)
    await world.begin(poison.document())
    record = world.record
    await asyncio.sleep(poison.CONTACT_S + 1)
    results = []
    traffic = asyncio.ensure_future(
        poison.orders(world, record.now() + 30, results)
    )
    for _ in range(4):
        # One caller sends it and repeats it at once, three times more.
        await asyncio.gather(
            *(
                world.ask(edge, 'POST', poison.POISON, body=b'bad')
                for edge in world.fleet.edges[:4]
            )
        )
        await asyncio.sleep(6)
    await traffic
    third = poison.run_times(world)[2]
    return poison.verdict(world, trouble, third, results)


if __name__ == '__main__':
    sys.exit(standins.play(HERE, case))
