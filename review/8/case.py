"""A first configuration with the version r0 is acknowledged and dropped."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import standins  # noqa: E402


async def case(world, trouble):
    world.add_backends('order-svc', list(standins.ZONES), work_s=0.1)
    world.fleet.start()
    record = world.record
    await world.operator.put(
        standins.configuration(
            0 if trouble else 1,
            [standins.rule('r-order', 'unsafe', '/order/', 'order-svc')],
            ['order-svc'],
        )
    )
    for backend in world.backends:
        await backend.start()
    # Longer than config_propagation_s and contact_window_s.
    await asyncio.sleep(8)
    reads = []
    for _ in range(8):
        for core in world.fleet.cores:
            answer = await standins.call(
                f'{core.ip}:{standins.CONTROL}', 'GET', '/configuration/get'
            )
            reads.append(answer.status)
        await asyncio.sleep(1)
    answers = []
    for edge in world.fleet.edges:
        _, answer = await world.ask(edge, 'POST', '/order/1', body=b'one roll')
        answers.append(answer.status)
    record.say(f'statuses of the reads at all control hosts: {set(reads)}')
    record.say(f'answers to orders at the entries: {answers}')
    if world.fleet.crashed():
        raise standins.CannotRun(f'processes ended: {world.fleet.crashed()}')
    return 200 in reads


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(standins.play(HERE, case, trouble=has_trouble))
