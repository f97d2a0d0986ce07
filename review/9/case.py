"""A tenant's request crashes backends; others' with its path hide that."""

import asyncio
import itertools
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import poison  # noqa: E402
import standins  # noqa: E402

#: As in the site file condor-obras-grown.toml.
standins.CONTRACTS = (*standins.CONTRACTS, 'pool', 'tenants', 'quota')
standins.BOUNDS.update(
    quota_window_s=5, quota_overage=0.1, quota_slack=20, contact_window_s=4,
    config_propagation_s=2.5, drain_s=2.5, catch_up_s=6, cold_slack=8,
    budget_slack=184,
)
CONTACT_S = standins.BOUNDS['contact_window_s']
PATH = '/price/nails'
KEYS = {'bad': 'n4ryrbbkf83fgfwrz56a', 'good': 'w63is47qdqiqrh4jcda9'}


def document():
    document = standins.configuration(
        1,
        [standins.rule('r-price', 'safe', '/price/', 'mostrador', timeout_s=1.5)],
        ['mostrador'],
    )
    document['tenants'] = [
        {
            'name': name,
            'api_keys': [key],
            'priority': 1,
            'rate_per_s': 126,
            'burst': 126,
            'allowed_regions': [],
        }
        for name, key in KEYS.items()
    ]
    return document


async def case(world, trouble):
    world.add_backends(
        'mostrador',
        list(standins.ZONES) * 2,
        work_s=0.14,
        is_poison=lambda path, caller: trouble and caller == 'bad',
        crash_after_s=0.02,
    )
    await world.begin(document())
    record = world.record
    edges = world.fleet.edges
    await asyncio.sleep(CONTACT_S + 1)
    end = record.now() + 45
    results = []

    async def look_up():
        tasks = []
        for number in itertools.count():
            if record.now() > end:
                break
            tasks.append(
                asyncio.ensure_future(
                    world.ask(
                        edges[number % len(edges)], 'GET', PATH,
                        deadline_ms=1249, key=KEYS['good'],
                    )
                )
            )
            await asyncio.sleep(0.05)
        for task in tasks:
            results.append(await task)

    traffic = asyncio.ensure_future(look_up())
    bad = set()
    for number in range(16):
        request_id, _ = await world.ask(
            edges[number % len(edges)], 'GET', PATH,
            deadline_ms=1249, key=KEYS['bad'],
        )
        bad.add(request_id)
        await asyncio.sleep(2.4)
    await traffic
    bad_runs = poison.runs(world, lambda run: run.request_id in bad)
    return poison.verdict(world, trouble, bad_runs, results, CONTACT_S)


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(standins.play(HERE, case, trouble=has_trouble))
