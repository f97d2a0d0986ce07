"""Tests of several control hosts in one group."""

from __future__ import annotations

import contextlib
import functools
import pathlib
import typing
import unittest

import gevent

from mulberryquay import announcer, protocol, settings
from mulberryquay.commands import api_client
from mulberryquay.control import daemon as control_daemon
from mulberryquay.control import host_protocol
from mulberryquay.coordination import clock, errors
from mulberryquay.decisions import permits
from testing import fixtures, processes

CASE: typing.Final = unittest.TestCase()

_ANNOUNCEMENT: typing.Final = {
    'name': 't',
    'service': 'stock',
    'address': '127.0.0.1:80',
    'region': 'north',
    'domain': 'north-1',
    'slots': 2,
    'connections': 10,
    'incarnation': 5,
}

_SHORT_LEASE_MS: typing.Final = 3000


def _start_host(
    folder: pathlib.Path,
    port: int,
    hosts: typing.Sequence[int],
    *,
    found: bool = True,
    **values_set: typing.Any,
) -> fixtures.Control:
    values = settings.with_defaults(
        control_daemon.SETTINGS,
        {
            'data_folder': str(folder / str(port)),
            'api_listen': '127.0.0.1:0',
            'feed_listen': '127.0.0.1:0',
            'host_listen': f'127.0.0.1:{port}',
            'hosts': ','.join(f'127.0.0.1:{host}' for host in hosts),
            'found': found,
            **values_set,
        },
    )
    daemon = control_daemon.ControlDaemon(values, fixtures.KERNEL)
    daemon.start()
    return fixtures.Control(daemon)


@contextlib.contextmanager
def _group(
    folder: pathlib.Path | None = None, **values_set: typing.Any
) -> typing.Iterator[list[fixtures.Control]]:
    with contextlib.ExitStack() as stack:
        folder = folder or stack.enter_context(fixtures.folder())
        ports = processes.free_ports(3)
        hosts = [
            _start_host(folder, port, ports, **values_set) for port in ports
        ]
        try:
            fixtures.wait_until(lambda: _leader_of(hosts))
            yield hosts
        finally:
            for host in hosts:
                host.daemon.stop()


def _leader_of(hosts: list[fixtures.Control]) -> fixtures.Control | None:
    for host in hosts:
        if host.daemon.cluster.replica.is_caught_up_leader:
            return host
    return None


def _lists_target(host: fixtures.Control) -> bool:
    return any(row.name == 't' for row in host.daemon.targets.list_targets())


def _is_leaving(host: fixtures.Control) -> bool:
    return host.daemon.targets.get('t').is_leaving


def _put(host: fixtures.Control, name: str) -> None:
    """Declares a service, retrying after errors as operators do."""
    while True:
        try:
            host.put('services', name)
        except errors.MulberryquayError:
            gevent.sleep(0.05)
        else:
            return


def test_order_sent_to_any_host_is_read_at_every_other() -> None:
    """Guards against stale reads of a change acknowledged by another host."""
    with _group() as hosts:
        for number, host in enumerate(hosts):
            _put(host, f'service-{number}')
            for reader in hosts:
                listed = reader.client.call('GET', '/v1/services')
                names = {item['name'] for item in listed['items']}
                CASE.assertIn(f'service-{number}', names)


def test_equal_versions_at_several_hosts_have_one_winner() -> None:
    """Guards against hosts that accept different content for one version."""
    with _group() as hosts:
        attempts = [
            gevent.spawn(host.put, 'services', 's', max_queue=number)
            for number, host in enumerate(hosts)
        ]
        gevent.joinall(attempts)
        CASE.assertEqual(sum(attempt.successful() for attempt in attempts), 1)
        seen = [
            host.client.call('GET', '/v1/services/s')['spec']['max_queue']
            for host in hosts
        ]
        CASE.assertEqual(len(set(seen)), 1)


def _set_domain(
    host: fixtures.Control,
    domain_state: str,
    check_caller: typing.Callable[[], None] | None = None,
) -> None:
    """Sends an order once a leader is known to the host."""
    orders = host.daemon.cluster.orders
    fixtures.wait_until(lambda: host.daemon.cluster.replica.leader_address)
    orders.set_domain_state(
        'north-1',
        'north',
        domain_state,
        check_caller=check_caller or _find_caller_waiting,
    )


def _find_caller_waiting() -> None:
    """Finds that the caller of an order still waits."""


def _return_and_take_out(host: fixtures.Control) -> None:
    _set_domain(host, 'in')
    _set_domain(host, 'out')


def test_order_that_its_host_held_does_not_undo_a_newer_one() -> None:
    """Guards against a frozen host that carries out an order when it wakes.

    Meanwhile the caller has sent the order to another host, and a newer one
    after it; the domain was in service again. Issue 34.
    """
    with _group() as hosts:
        for held_by in hosts:
            other = hosts[hosts.index(held_by) - 1]
            _set_domain(other, 'out')
            newer_orders = functools.partial(_return_and_take_out, other)
            with CASE.assertRaises(errors.MulberryquayError) as refused:
                _set_domain(held_by, 'in', newer_orders)
            CASE.assertEqual(refused.exception.code, 'outdated-order')
            other.daemon.cluster.wait_until_current()
            domain = other.daemon.store.get('failure-domains', 'north-1')
            CASE.assertEqual(domain.spec, {'region': 'north', 'state': 'out'})
            _set_domain(held_by, 'in')


def test_announcement_and_end_of_a_target_reach_all_hosts() -> None:
    """Guards against hosts that miss what a target sent to another host."""
    with _group() as hosts:
        path = '/v1/announcements'
        hosts[0].client.call('POST', path, _ANNOUNCEMENT)
        for host in hosts:
            fixtures.wait_until(host.daemon.targets.list_targets)
        hosts[1].client.call('DELETE', f'{path}/t?incarnation=5')
        for host in hosts:
            fixtures.wait_until(functools.partial(_is_leaving, host))


def test_target_with_a_short_lease_stays_listed_at_all_hosts() -> None:
    """Guards against renewals told to other hosts after the lease ran out."""
    with _group(target_lease_ms=_SHORT_LEASE_MS) as hosts:
        renewing = announcer.Announcer(
            _ANNOUNCEMENT, [hosts[0].api], time_source=clock.Clock()
        )
        renewing.start()
        try:
            fixtures.wait_until(lambda: all(map(_lists_target, hosts)))
            end = clock.Clock().now() + 2 * _SHORT_LEASE_MS
            while clock.Clock().now() < end:
                listed = [_lists_target(host) for host in hosts]
                CASE.assertEqual(listed, [True] * len(hosts))
                gevent.sleep(0.02)
        finally:
            renewing.stop()


def test_entry_keeps_serving_while_the_leader_stops() -> None:
    """Guards against an entry that loses its state with its control host.

    The entry is connected to two hosts; the remaining hosts elect a leader.
    """
    with _group() as hosts:
        with fixtures.entry(hosts[0]) as entry:
            balancer = entry.state.balancer
            hosts[0].client.call('POST', '/v1/announcements', _ANNOUNCEMENT)
            fixtures.wait_until(lambda: balancer.all_targets)
            leader = _leader_of(hosts)
            assert leader is not None
            hosts.remove(leader)
            leader.daemon.stop()
            _put(hosts[0], 'later')
            fixtures.wait_until(
                lambda: 'later' in entry.state.routing_table.services
            )
            CASE.assertTrue(balancer.all_targets)


def test_added_host_becomes_a_voter() -> None:
    """Guards against a new host that never joins the hosts in its settings."""
    with _group() as hosts, fixtures.folder() as folder:
        ports = _ports_of(hosts[0])
        hosts.append(
            _start_host(folder, processes.free_ports(1)[0], ports, found=False)
        )
        replica = hosts[-1].daemon.cluster.replica
        fixtures.wait_until(lambda: replica.identity in replica.members)
        CASE.assertEqual(len(replica.members), 4)


def _ports_of(host: fixtures.Control) -> list[int]:
    """Returns the ports of all hosts of a group."""
    addresses = host.daemon.cluster.replica.members.values()
    return [int(address.rpartition(':')[-1]) for address in addresses]


def _is_declared(host: fixtures.Control, body: dict[str, typing.Any]) -> bool:
    """Declares a service; returns False if it has to be sent again."""
    try:
        host.client.call('PUT', '/v1/services/stock', body)
    except api_client.ApiRefusedError as error:
        # A slow disk may take longer for a snapshot than orders wait.
        CASE.assertEqual(error.api_code, 'no-quorum')
        return False
    return True


def test_host_that_was_away_for_large_changes_catches_up() -> None:
    """Guards against messages that no host can take.

    All that it had missed came in one, above what streams may hold.
    """
    with fixtures.folder() as folder, _group(folder, memory_mb=96) as hosts:
        leader = fixtures.wait_until(lambda: _leader_of(hosts))
        away = next(host for host in hosts if host is not leader)
        hosts.remove(away)
        replica = away.daemon.cluster.replica
        address = replica.members[replica.identity]
        port = int(address.rpartition(':')[-1])
        away.daemon.stop()
        for version in range(1, 31):
            path = f'/{version}{"x" * 900_000}'
            body = {'version': version, 'spec': {'health_path': path}}
            fixtures.wait_until(functools.partial(_is_declared, leader, body))
        back = _start_host(folder, port, _ports_of(leader), memory_mb=96)
        hosts.append(back)
        fixtures.wait_until(
            lambda: back.daemon.store.revision == leader.daemon.store.revision
        )
        CASE.assertEqual(back.daemon.store.get('services', 'stock').version, 30)


def test_new_entry_gets_the_last_known_state_without_a_majority() -> None:
    """Guards against an entry that starts empty while no majority is up.

    One host of three has restarted, and the entry may serve stale state.
    """
    with fixtures.folder() as folder, contextlib.ExitStack() as stack:
        ports = processes.free_ports(3)
        hosts = [_start_host(folder, port, ports) for port in ports]
        _put(hosts[0], 'known')
        _wait_until_commit_is_durable(hosts)
        for host in hosts:
            host.daemon.stop()
        alone = _start_host(folder, ports[-1], ports)
        stack.callback(alone.daemon.stop)
        entry = stack.enter_context(
            fixtures.entry(alone, awaits_fresh=False, stale_config='serve'),
        )
        fixtures.wait_until(
            lambda: 'known' in entry.state.routing_table.services
        )
        CASE.assertFalse(entry.state.is_fresh)
        CASE.assertFalse(alone.daemon.cluster.is_in_touch)


def _wait_until_commit_is_durable(
    hosts: typing.Sequence[fixtures.Control],
) -> None:
    """Waits until a restart of each host would know that the log is committed.

    A majority has to be up: without one, the next leader's first log entry
    stays uncommitted.
    """
    replicas = [host.daemon.cluster.replica for host in hosts]
    last = max(replica.last_index for replica in replicas)
    for replica in replicas:
        fixtures.wait_until(
            functools.partial(_is_committed_on_disk, replica, last)
        )


def _is_committed_on_disk(replica: typing.Any, index: int) -> bool:
    return bool(replica.durable_commit_index >= index)


def _ask_permits(host: fixtures.Control, amount: int) -> permits.Decision:
    decided: list[permits.Decision] = []
    host.daemon.cluster.permits.ask('yard', amount, decided.append)
    fixtures.wait_until(lambda: decided)
    return decided[0]


def test_permits_are_counted_over_all_hosts_and_lost_with_the_leader() -> None:
    """Two hosts that both decide would grant the rate twice (issue 42)."""
    with _group() as hosts:
        leader = _leader_of(hosts)
        assert leader is not None
        others = [host for host in hosts if host is not leader]
        leader.put('client-accounts', 'yard', rate_per_s=1000, burst=50)
        desk = leader.daemon.cluster.permits
        fixtures.wait_until(lambda: desk.available('yard') >= 50)
        leader.put('client-accounts', 'yard', 2, rate_per_s=0.001, burst=50)
        granted = [_ask_permits(host, 20).granted for host in hosts]
        CASE.assertEqual(sum(granted), 50)
        leader.put('client-accounts', 'yard', 3, rate_per_s=0.001, burst=80)
        leader.daemon.stop()
        fixtures.wait_until(lambda: _leader_of(others))
        fixtures.wait_until(lambda: _ask_permits(others[0], 1).is_known)
        CASE.assertEqual(_ask_permits(others[0], 20).granted, 0)
        CASE.assertEqual(_ask_permits(others[1], 20).granted, 0)


def _start_roll_out(host: fixtures.Control) -> typing.Any:
    """Starts a roll-out, retrying after errors as operators do."""
    body = {'version': 'v2', 'duration_ms': 60_000}
    while True:
        try:
            return host.client.call('POST', '/v1/roll-outs/stock', body)
        except errors.MulberryquayError:
            gevent.sleep(0.05)


def _roll_out_state(host: fixtures.Control) -> str:
    """Returns the state of the roll-out, empty while it is not known."""
    try:
        found = host.client.call('GET', '/v1/roll-outs/stock')
    except errors.MulberryquayError:
        return ''
    return str(found['state'])


def _wait_for_roll_out(host: fixtures.Control, state: str) -> None:
    fixtures.wait_until(lambda: _roll_out_state(host) == state)


def test_repeated_roll_out_is_acknowledged_by_every_host() -> None:
    """Guards against an accepted order that another host refuses."""
    with _group() as hosts:
        _put(hosts[0], 'stock')
        first = _start_roll_out(hosts[0])
        for host in hosts:
            CASE.assertEqual(_start_roll_out(host), first)


def test_roll_out_outlives_the_disk_of_the_host_that_accepted_it() -> None:
    """Guards against an acknowledged order that one host alone has."""
    with _group() as hosts:
        _put(hosts[0], 'stock')
        leader = _leader_of(hosts)
        assert leader is not None
        _start_roll_out(leader)
        leader.daemon.cluster.replica.stop()
        leader.daemon.stop()
        others = [host for host in hosts if host is not leader]
        fixtures.wait_until(lambda: _leader_of(others))
        for host in others:
            _wait_for_roll_out(host, 'running')


def test_roll_out_goes_on_after_its_decider_ended_between_two_stages() -> None:
    """Guards against a stage that a new leader forgets or begins again.

    The next leader goes by the time since the order.
    """
    with _group() as hosts:
        _put(hosts[0], 'stock')
        _start_roll_out(hosts[0])
        leader = _leader_of(hosts)
        assert leader is not None
        decider = leader.daemon.cluster.roll_outs
        leader.daemon.cluster.orders.execute(
            host_protocol.MoveRollOut(
                'stock', 0, 'running', 'half', 0.5, ['v1'], 50_000, ''
            )
        )
        decider.stop()
        leader.daemon.cluster.replica.stop()
        leader.daemon.stop()
        others = [host for host in hosts if host is not leader]
        next_leader = fixtures.wait_until(lambda: _leader_of(others))
        deciding = next_leader.daemon.cluster.roll_outs
        fixtures.wait_until(
            lambda: (
                [roll_out.stage for roll_out in deciding.running.values()]
                == ['half']
            )
        )
        situation = deciding.describe('stock', deciding.running['stock'])
        CASE.assertLess(situation.elapsed, 60_000)
        ended = next_leader.daemon.cluster.roll_outs.end('stock', 'test')
        CASE.assertEqual(ended.old_versions, ['v1'])
        for host in others:
            _wait_for_roll_out(host, 'rolled-back')


def test_answers_reported_to_any_host_reach_the_decider() -> None:
    """Guards against evidence that stays at a host that does not lead."""
    with _group() as hosts:
        _put(hosts[0], 'stock')
        _start_roll_out(hosts[0])
        follower = next(host for host in hosts if host is not _leader_of(hosts))
        decider = follower.daemon.cluster.roll_outs
        fixtures.wait_until(lambda: decider.running)
        rows = [
            list(
                protocol.VersionAnswers(
                    'stock', version, domain, 'r', version == 'v2', 20, 10
                )
            )
            for version in ('v1', 'v2')
            for domain in ('north-1', 'north-2', 'north-3')
        ]
        decider.record(rows)
        _wait_for_roll_out(follower, 'rolled-back')
