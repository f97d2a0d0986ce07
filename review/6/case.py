"""When the last tenant is taken away, anybody's requests run."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

import standins  # noqa: E402

#: As in the site file condor-obras-grown.toml.
standins.CONTRACTS = (*standins.CONTRACTS, 'pool', 'tenants', 'quota')
standins.BOUNDS.update(
    quota_window_s=5, quota_overage=0.1, quota_slack=20, contact_window_s=4,
    config_propagation_s=2.5, drain_s=2.5, catch_up_s=6, cold_slack=8,
    budget_slack=184, revoke_when_partitioned='false', revoke_s=5,
)
PROPAGATION_S = standins.BOUNDS['config_propagation_s']
KEY = 'n4ryrbbkf83fgfwrz56a'
NEVER_GIVEN = 'zzzzzzzzzzzzzzzzzzzz'


def document(version, tenants):
    document = standins.configuration(
        version,
        [standins.rule('r-pay', 'unsafe', '/pay/', 'mostrador', timeout_s=2)],
        ['mostrador'],
    )
    document['tenants'] = tenants
    return document


async def case(world, trouble):
    world.add_backends('mostrador', list(standins.ZONES) * 2, work_s=0.14)
    tenant = {
        'name': 'yard',
        'api_keys': [KEY],
        'priority': 1,
        'rate_per_s': 126,
        'burst': 126,
        'allowed_regions': [],
    }
    await world.begin(document(1, [tenant]))
    record = world.record
    edges = world.fleet.edges

    async def pay(label, key):
        """Sends a payment at each entry; returns the ids that ran."""
        ran = []
        statuses = []
        for edge in edges:
            request_id, answer = await world.ask(
                edge, 'POST', '/pay/1', body=b'pay', key=key
            )
            statuses.append(answer.status)
            for backend in world.backends:
                for run in backend.runs:
                    if run.request_id == request_id:
                        seen = backend.seen_headers[request_id]
                        ran.append(request_id)
                        record(
                            f'{request_id} ran with X-Tenant '
                            f'{seen.get("x-tenant")!r}, Authorization '
                            f'{seen.get("authorization")!r}'
                        )
        record.say(f'{label}: answers {statuses}, {len(ran)} ran')
        return ran

    await asyncio.sleep(standins.BOUNDS['contact_window_s'] + 1)
    if len(await pay('key of the tenant', KEY)) != len(edges):
        raise standins.CannotRun('a payment with a good key did not run')
    if await pay('key that was never given', NEVER_GIVEN):
        return False
    # The operator takes the only tenant away with its key.
    await world.operator.put(document(2, [] if trouble else [tenant]))
    await asyncio.sleep(PROPAGATION_S + 1.5)
    ran = await pay('key that was never given, after that', NEVER_GIVEN)
    if trouble:
        ran += await pay('key that was taken away', KEY)
    passed_on = [
        request_id
        for request_id in ran
        for backend in world.backends
        if backend.seen_headers.get(request_id, {}).get('authorization')
    ]
    record.say(
        f'{len(ran)} payments without a valid key ran; the key itself was '
        f'passed on with {len(passed_on)}'
    )
    if world.fleet.crashed():
        raise standins.CannotRun(f'processes ended: {world.fleet.crashed()}')
    return not ran


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(standins.play(HERE, case, trouble=has_trouble))
